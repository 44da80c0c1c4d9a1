"""Describes the commit, and the uncommitted changes, with which a measurement was taken."""

from __future__ import annotations

import subprocess
from datetime import UTC, datetime

from testbed.environment import ROOT

GIT_TIMEOUT_S = 10


def describe_commit() -> str:
    """Return the current commit, with a plus sign if the work tree differs from it."""
    command = ["git", "describe", "--always", "--dirty=+"]
    try:
        done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return done.stdout.strip()


def run_origin() -> dict[str, str | bool]:
    """Return the time and the commit of a run, with the keys of the records."""
    changes = _git("status", "--porcelain", "--untracked-files=no", "--", "corkdoor", "emulator")
    return {
        "taken": datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ"),
        "commit": _git("rev-parse", "--short", "HEAD"),
        "changed": bool(changes),
    }


def _git(*arguments: str) -> str:
    command = ["git", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=GIT_TIMEOUT_S, check=False)
    return done.stdout.strip()
