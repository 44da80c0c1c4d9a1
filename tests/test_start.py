"""The start of the process: how long it takes, and reloads that arrive during it."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

from testbed.ports import free_port
from tests.fake_server import FakeServer, endpoint_list, endpoint_row
from tests.sidecar_client import Client, readiness_status
from tests.sidecar_process import SidecarProcess, running_sidecar
from tests.sidecar_support import SETTINGS, run, wait_until

ROOT = Path(__file__).parent.parent


async def ready_line(running: SidecarProcess) -> str:
    """Read the log up to the line on readiness, and return that line."""
    assert running.process.stderr is not None
    while "event=ready " not in (line := await asyncio.to_thread(running.process.stderr.readline)):
        assert line, "the log ended before the line on readiness"
    return line


def test_log_states_the_time_until_ready_when_a_list_is_known(tmp_path: Path) -> None:
    async def test() -> None:
        started_s = time.monotonic()
        async with running_sidecar(tmp_path, {}) as running:
            line = await ready_line(running)
            took_s = time.monotonic() - started_s
            found = re.search(r"event=ready after_s=(\d+\.\d{3})$", line.strip())
            assert found is not None, line
            # The interpreter alone needs some hundredths of a second to start. The kernel counts start times
            # in hundredths of a second too, hence the tolerance.
            assert 0.02 <= float(found[1]) <= took_s + 0.02
            assert await readiness_status(await running.client()) == 200

    run(test())


def run_command() -> str:
    """Return the `run` command of deploy/balancer.toml, with the interpreter that runs the tests."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
    command: str = deploy["run"]
    assert ".venv/bin/python" in command
    return command.replace(".venv/bin/python", sys.executable)


def withstands_sighup(pid: int) -> bool:
    """Whether a process ignores, blocks or handles SIGHUP: the shell has run its trap, if not more."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    masks = re.findall(r"^Sig(?:Ign|Blk|Cgt):\s*([0-9a-f]+)$", status, re.MULTILINE)
    return any(int(mask, 16) >> (signal.SIGHUP - 1) & 1 for mask in masks)


async def send_reloads_until_ready(process: subprocess.Popen[bytes], address: tuple[str, int]) -> None:
    """Send SIGHUP until the sidecar is ready: whoever replaces its file doesn't know that it is starting."""
    while process.poll() is None:
        process.send_signal(signal.SIGHUP)
        try:
            client = Client(*await asyncio.open_connection(*address))
        except OSError:
            await asyncio.sleep(0.002)
            continue
        assert await readiness_status(client) == 200
        return
    raise AssertionError(f"expects a sidecar that becomes ready, got exit status {process.returncode}")


async def respond_to_all(endpoint: FakeServer) -> None:
    while True:
        (await endpoint.next_request()).respond()


async def status_of_added_class(address: tuple[str, int]) -> int:
    """Send a request of the class that only the new configuration has; return the status of its response."""
    client = Client(*await asyncio.open_connection(*address))
    client.writer.write(
        b"GET /other/a HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 900\r\n\r\n"
    )
    return (await client.read_response()).status


@pytest.mark.parametrize("replaced_after_s", [0.0, 0.02, 0.05, 0.1, 0.2])
def test_reload_during_the_start_is_applied_and_does_not_end_the_process(
    replaced_after_s: float, tmp_path: Path
) -> None:
    async def test() -> None:
        endpoint = await FakeServer().start()
        address = ("127.0.0.1", free_port())
        path = tmp_path / "config.json"
        document = {
            "name": "n0",
            "listen": f"127.0.0.1:{address[1]}",
            "discovery": "127.0.0.1:1",
            "seed": "8c1f",
            "settings": SETTINGS,
            "known": json.loads(endpoint_list(1, True, endpoint_row("s-0", endpoint.address))),
        }
        path.write_text(json.dumps(document), encoding="utf-8")
        new_document = {
            **document,
            "settings": {**SETTINGS, "Categories": [{**SETTINGS["Categories"][0], "Name": "other"}]},
        }
        environ = {**os.environ, "GW_CONFIG": str(path)}
        process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environ)
        try:
            await wait_until(lambda: withstands_sighup(process.pid), 0.001)
            until_ready = asyncio.create_task(send_reloads_until_ready(process, address))
            await asyncio.sleep(replaced_after_s)
            path.with_suffix(".new").write_text(json.dumps(new_document), encoding="utf-8")
            path.with_suffix(".new").replace(path)
            process.send_signal(signal.SIGHUP)
            await until_ready
            serving = asyncio.create_task(respond_to_all(endpoint))
            while (status := await status_of_added_class(address)) == 404:  # the reload is not applied yet
                await asyncio.sleep(0.02)
            assert status == 200
            serving.cancel()
        finally:
            process.kill()
            process.wait()

    run(test())
