"""The limit on the time of each test: one that hangs fails, tells where it stands, and the others go on."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
MAX_LIMIT_S = 600  # a hang may cost minutes, and not the whole run
TESTS = {
    "a thread's lock": """
import threading

def test_hangs():
    threading.Lock().acquire() and threading.Event().wait()

def test_follows():
    pass
""",
    "a loop without a wait": """
def test_hangs():
    while True:
        pass

def test_follows():
    pass
""",
}


IN_EVENT_LOOP = """
import asyncio
import uvloop

def test_hangs():
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(asyncio.sleep(3600))
"""


def run_pytest(folder: Path, text: str, *options: str) -> subprocess.CompletedProcess[str]:
    """Run these tests with the options of the project, but for the ones given."""
    (folder / "test_sample.py").write_text(text, encoding="utf-8")
    command = [sys.executable, "-m", "pytest", "-c", str(ROOT / "pyproject.toml"), "-p", "no:cacheprovider"]
    changes = [argument for option in ("addopts=", *options) for argument in ("-o", option)]
    return subprocess.run([*command, *changes, str(folder)], capture_output=True, text=True, check=False)


@pytest.mark.parametrize("text", TESTS.values(), ids=TESTS)
def test_hanging_test_fails_by_name_and_the_next_one_runs(text: str, tmp_path: Path) -> None:
    """Guards against a test that hangs and takes the whole run of CI with it (issue 52)."""
    completed = run_pytest(tmp_path, text, "timeout=1")
    assert "1 failed, 1 passed" in completed.stdout
    assert "test_sample.py::test_hangs - Failed: Timeout" in completed.stdout


def test_run_ends_with_the_stack_when_a_test_hangs_where_no_signal_reaches_it(tmp_path: Path) -> None:
    """The event loop drops the error of the first limit, so a second one ends the run."""
    completed = run_pytest(tmp_path, IN_EVENT_LOOP, "timeout=1", "faulthandler_timeout=2")
    assert completed.returncode != 0
    assert "in test_hangs" in completed.stderr


def test_every_test_has_a_limit() -> None:
    options = tomllib.loads((ROOT / "pyproject.toml").read_text(encoding="utf-8"))["tool"]["pytest"][
        "ini_options"
    ]
    assert 0 < options["timeout"] < options["faulthandler_timeout"] <= MAX_LIMIT_S
