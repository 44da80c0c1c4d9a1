"""Sets up the log, with a bound on its lines: one that runs full would hold up every request."""

from __future__ import annotations

import logging

from corkdoor.sidecar.request_registry import request_log

MAX_LINES_PER_S = 20
MAX_REQUEST_LINES_PER_S = 10  # of them on single requests, so that these leave room for all else


class LineRateFilter(logging.Filter):
    """Lets so many lines a second through, and all errors.

    Args:
        max_lines_per_s: how many.
    """

    def __init__(self, max_lines_per_s: int = MAX_LINES_PER_S) -> None:
        super().__init__()
        self.max_lines_per_s = max_lines_per_s
        self._second: int | None = None
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line is written."""
        if record.levelno >= logging.ERROR:
            return True
        if int(record.created) != self._second:
            self._second, self._lines = int(record.created), 0
        self._lines += 1
        return self._lines <= self.max_lines_per_s


def configure_logging() -> None:
    """Write the log to standard error, within its bounds."""
    handler = logging.StreamHandler()
    handler.addFilter(LineRateFilter())
    request_log.addFilter(LineRateFilter(MAX_REQUEST_LINES_PER_S))
    logging.basicConfig(
        level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", handlers=[handler]
    )
