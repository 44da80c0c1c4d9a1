"""The log tells how long a start took."""

from __future__ import annotations

import asyncio
import re
import time
from pathlib import Path

from tests.sidecar_support import Program, program, ready, run


async def ready_line(running: Program) -> str:
    """The log line on readiness, past whatever comes before it."""
    assert running.process.stderr is not None
    while "ready after" not in (line := await asyncio.to_thread(running.process.stderr.readline)):
        assert line, "the log has ended"
    return line


def test_the_log_tells_the_time_to_ready_once_a_list_is_known(tmp_path: Path) -> None:
    async def test() -> None:
        begun = time.monotonic()
        async with program(tmp_path, {}) as running:
            line = await ready_line(running)
            took_s = time.monotonic() - begun
            found = re.search(r"ready after (\d+\.\d\d) s$", line.strip())
            assert found is not None, line
            # The interpreter alone takes some hundredths; the kernel counts starts in hundredths too.
            assert 0.02 <= float(found[1]) <= took_s + 0.02
            assert await ready(await running.client()) == 200

    run(test())
