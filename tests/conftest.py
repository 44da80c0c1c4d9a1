"""Coroutines as tests, and property tests that draw the same examples on every run."""

from __future__ import annotations

import inspect

import pytest
from hypothesis import settings

from tests.sidecar_support import run

# The same examples on every run, so that no verdict is random.
settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("fixed")


def pytest_configure(config: pytest.Config) -> None:
    """Make the marker known."""
    config.addinivalue_line("markers", "time_limit_s(seconds): how long a coroutine may take as a test")


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a test that is a coroutine on the event loop that the sidecar has in service."""
    test = pyfuncitem.function
    if not inspect.iscoroutinefunction(test):
        return None
    arguments = {name: pyfuncitem.funcargs[name] for name in inspect.signature(test).parameters}
    marker = pyfuncitem.get_closest_marker("time_limit_s")
    run(test(**arguments), *(marker.args if marker else ()))
    return True
