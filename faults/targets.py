"""The sidecars of a soak as its clients see them: their ports and the states of their processes."""

from __future__ import annotations

from enum import Enum


class TargetState(Enum):
    """The state of a sidecar's process."""

    NEW = "new"
    SERVING = "serving"
    SHUTTING_DOWN = "shutting down"  # after SIGTERM, while new clients still connect
    DOWN = "down"  # no clients connect until it is started again
    FAILED = "failed"  # it was not ready in time after its start


TRANSITIONS = {
    TargetState.NEW: {TargetState.SERVING, TargetState.FAILED, TargetState.DOWN},
    TargetState.SERVING: {TargetState.SHUTTING_DOWN, TargetState.DOWN},
    TargetState.SHUTTING_DOWN: {TargetState.DOWN},
    TargetState.DOWN: {TargetState.SERVING, TargetState.FAILED, TargetState.DOWN},
    TargetState.FAILED: {TargetState.DOWN},
}


class IllegalTransitionError(Exception):
    """A bug in the soak itself: a sidecar was to enter a state that its current one does not allow.

    Args:
        target: the sidecar's name.
        current: the sidecar's current state.
        following: the state that it was to enter.
    """

    def __init__(self, target: str, current: TargetState, following: TargetState) -> None:
        super().__init__(f"{target}: from {current.value} to {following.value}")
        self.target = target
        self.current = current
        self.following = following


class SidecarTarget:
    """One sidecar: where clients connect to it, the state of its process, and when it was killed.

    Args:
        name: the sidecar's name, which stays the same when its process is restarted.
        port: its loopback port.
    """

    def __init__(self, name: str, port: int) -> None:
        self.name = name
        self.port = port
        self.state = TargetState.NEW
        # While idle clients exhaust the sidecar's descriptors, it may close new connections unread.
        self.descriptors_exhausted = False
        self.kill_times_s: list[float] = []  # loop times just before and after each SIGKILL

    def enter(self, state: TargetState) -> None:
        """Change the state.

        Raises:
            IllegalTransitionError: the current state does not allow this one to follow.
        """
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransitionError(self.name, self.state, state)
        self.state = state

    @property
    def accepts_clients(self) -> bool:
        """Whether clients may connect to it."""
        return self.state in (TargetState.SERVING, TargetState.SHUTTING_DOWN)

    @property
    def is_restarting(self) -> bool:
        """Whether its process is shutting down, or has exited and will be started again."""
        return self.state in (TargetState.SHUTTING_DOWN, TargetState.DOWN)

    def was_killed_since(self, since_s: float) -> bool:
        """Whether its process was killed since a loop time in seconds, so that no response is expected."""
        return any(killed_at_s >= since_s for killed_at_s in self.kill_times_s)
