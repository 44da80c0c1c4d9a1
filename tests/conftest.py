"""What holds for every test: fixed examples of property tests, and no illegal transition of any object."""

import logging
from collections.abc import Iterator

import pytest
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("fixed")


class _Collector(logging.Handler):
    """Keeps the messages that it is given."""

    def __init__(self) -> None:
        super().__init__()
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.messages.append(record.getMessage())


@pytest.fixture(autouse=True)
def no_illegal_transition() -> Iterator[None]:
    """Fail a test in which an object goes from one state to one that may not follow."""
    collector, logger = _Collector(), logging.getLogger("corkdoor.state_machine")
    logger.addHandler(collector)
    yield
    logger.removeHandler(collector)
    assert not collector.messages
