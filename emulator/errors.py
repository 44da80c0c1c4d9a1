"""The errors of the emulator. Each one states what failed."""

from __future__ import annotations


class EmulatorError(Exception):
    """Base class of all errors that the emulator raises itself."""


class ScenarioError(EmulatorError):
    """A scenario that can't be run. The message is one line.

    Args:
        where: the file, or the path of the invalid key.
        problem: the value, and which values are valid.
    """

    def __init__(self, where: str, problem: str) -> None:
        super().__init__(f"{where}: {problem}")
        self.where = where
        self.problem = problem


class RunError(EmulatorError):
    """A run that failed because of the emulator itself. All its results are invalid."""


class ProcessEndedError(RunError):
    """A process of the run ended by itself.

    Args:
        process: a description of the process.
        status: its exit status; None if that is not known yet.
    """

    def __init__(self, process: str, status: int | None = None) -> None:
        super().__init__(f"{process} has ended" + ("" if status is None else f" with exit status {status}"))
        self.process = process
        self.status = status


class ProcessTimeoutError(RunError):
    """A process of the run wrote no output in time.

    Args:
        process: a description of the process.
        timeout_s: the time limit, in seconds.
    """

    def __init__(self, process: str, timeout_s: float) -> None:
        super().__init__(f"{process} wrote no output within {timeout_s:g} s")
        self.process = process
        self.timeout_s = timeout_s


class WorkerError(EmulatorError):
    """A worker process reported an error, or ended.

    Args:
        module: the module that the worker runs.
        problem: the error that it reported, or "has ended" if it ended without a response.
    """

    def __init__(self, module: str, problem: str) -> None:
        super().__init__(f"{module}: {problem}")
        self.module = module
        self.problem = problem


class SidecarStartError(EmulatorError):
    """A sidecar did not start.

    Args:
        log_tail: the end of its log.
    """

    def __init__(self, log_tail: str) -> None:
        super().__init__(f"sidecar did not start: {log_tail}")
        self.log_tail = log_tail


class FitError(EmulatorError, ValueError):
    """No line can be fitted through the points."""


class BenchError(EmulatorError):
    """The subject of a benchmark did not perform the operation that is timed."""
