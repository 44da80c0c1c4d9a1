"""Sets up the log, with a limit on the lines per second.

Without the limit the log could fill up faster than it is read, and writing to it would delay every request.
"""

from __future__ import annotations

import logging

from corkdoor.sidecar.request_registry import request_log

MAX_LINES_PER_S = 20
# The part of MAX_LINES_PER_S that lines on single requests may use; the rest is for all other lines.
MAX_REQUEST_LINES_PER_S = 10


class LineRateFilter(logging.Filter):
    """Limits the lines that are written per second; errors are always written.

    Args:
        max_lines_per_s: the limit.
    """

    def __init__(self, max_lines_per_s: int = MAX_LINES_PER_S) -> None:
        super().__init__()
        self.max_lines_per_s = max_lines_per_s
        self._second: int | None = None
        self._lines = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Count the line, and return whether it is written."""
        if record.levelno >= logging.ERROR:
            return True
        if int(record.created) != self._second:
            self._second, self._lines = int(record.created), 0
        self._lines += 1
        return self._lines <= self.max_lines_per_s


def configure_logging() -> None:
    """Write the log to standard error, within the limits on its lines."""
    handler = logging.StreamHandler()
    handler.addFilter(LineRateFilter())
    request_log.addFilter(LineRateFilter(MAX_REQUEST_LINES_PER_S))
    logging.basicConfig(
        level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", handlers=[handler]
    )
