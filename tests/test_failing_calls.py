"""System calls that fail for a moment, as Linux documents: every request is served all the same.

Each test has the program as a process of its own, with the library of `faults` preloaded.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import json
from pathlib import Path

import pytest

from faults.preload import SHORT, FaultControl, SystemCall, build
from tests.sidecar_support import Fake, Program, listing, program, row, run

ANSWER = b"x" * 3000


@pytest.fixture(scope="module")
def library(tmp_path_factory: pytest.TempPathFactory) -> Path:
    return build(tmp_path_factory.mktemp("preload"))


async def serve(running: Program) -> None:
    while True:
        (await running.endpoint.next()).reply(200, ANSWER)


async def served_with(
    running: Program, control: FaultControl, call: SystemCall, error: int, skip: int
) -> None:
    """Ask on a connection that is up already, and on new ones, while that call fails."""
    serving = asyncio.create_task(serve(running))
    client = await running.client()
    assert (await client.ask("look")).status == 200
    if error == SHORT:
        control.shorten_next(call, limit=3, count=50)
    else:
        control.fail_next(call, error, skip=skip)
    for class_name in ("pay", "look"):
        assert (await client.ask(class_name)).body == ANSWER
        assert (await (await running.client()).ask(class_name)).body == ANSWER
    assert control.hits(call) > 0
    serving.cancel()


def check(tmp_path: Path, library: Path, call: SystemCall, error: int, skip: int) -> None:
    control = FaultControl(tmp_path / "control")

    async def test() -> None:
        async with program(tmp_path, {}, **control.environment(library)) as running:
            await served_with(running, control, call, error, skip)
            assert running.process.poll() is None

    run(test())
    control.close()


ACCEPT_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.EINTR,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.EPERM,
)


@pytest.mark.parametrize("skip", [0, 1])
@pytest.mark.parametrize("error", ACCEPT_ERRORS, ids=errno.errorcode.get)
def test_client_whose_connection_could_not_be_taken_at_once_is_served(
    error: int, skip: int, tmp_path: Path, library: Path
) -> None:
    check(tmp_path, library, SystemCall.ACCEPT, error, skip)


MOMENTARY = [
    (SystemCall.READ, errno.EINTR),
    (SystemCall.READ, errno.EAGAIN),
    (SystemCall.READ, errno.ENOMEM),
    (SystemCall.READ, SHORT),
    (SystemCall.WRITE, errno.EINTR),
    (SystemCall.WRITE, errno.EAGAIN),
    (SystemCall.WRITE, errno.ENOBUFS),
    (SystemCall.WRITE, errno.ENOMEM),
    (SystemCall.WRITE, SHORT),
    (SystemCall.POLL, errno.EINTR),
    (SystemCall.POLL, errno.ENOMEM),
]


@pytest.mark.parametrize("skip", [0, 1, 2, 3])
@pytest.mark.parametrize(("call", "error"), MOMENTARY, ids=[f"{c.name}-{e}" for c, e in MOMENTARY])
def test_transfer_that_fails_for_a_moment_loses_nothing(
    call: SystemCall, error: int, skip: int, tmp_path: Path, library: Path
) -> None:
    """Whatever it hits: reading the request, sending it on, reading its answer or passing that on."""
    check(tmp_path, library, call, error, skip)


DIAL_ERRORS = [
    *((SystemCall.SOCKET, error) for error in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)),
    *(
        (SystemCall.CONNECT, error)
        for error in (
            errno.EADDRNOTAVAIL,
            errno.EAGAIN,
            errno.ECONNREFUSED,
            errno.EHOSTUNREACH,
            errno.EINTR,
            errno.ENETUNREACH,
            errno.ETIMEDOUT,
        )
    ),
]


@pytest.mark.parametrize(("call", "error"), DIAL_ERRORS, ids=[f"{c.name}-{e}" for c, e in DIAL_ERRORS])
def test_connection_to_an_endpoint_that_fails_at_once_is_tried_again(
    call: SystemCall, error: int, tmp_path: Path, library: Path
) -> None:
    """The request surely never ran, so it goes elsewhere, here to the other entry of the same endpoint."""
    control = FaultControl(tmp_path / "control")

    async def test() -> None:
        endpoint = await Fake().start()
        rows = [row(f"s-{number}", endpoint.address) for number in range(3)]
        known = {"known": json.loads(listing(1, True, *rows))}
        async with program(tmp_path, known, **control.environment(library)) as running:
            running.endpoint = endpoint
            serving = asyncio.create_task(serve(running))
            control.fail_next(call, error)
            for class_name in ("pay", "look"):
                assert (await (await running.client()).ask(class_name)).body == ANSWER
            assert control.hits(call) > 0
            serving.cancel()

    run(test())
    control.close()


@pytest.mark.parametrize("error", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_broken_connection_is_one_plain_line_and_no_more(error: int, tmp_path: Path, library: Path) -> None:
    """The caller's connection breaks under its request: others are served, and no traceback is logged."""
    control = FaultControl(tmp_path / "control")

    async def test() -> None:
        async with program(tmp_path, {}, **control.environment(library)) as running:
            serving = asyncio.create_task(serve(running))
            client = await running.client()
            assert (await client.ask("look")).status == 200
            control.fail_next(SystemCall.READ, error)
            client.send("look")
            with contextlib.suppress(ConnectionResetError):
                assert await client.reader.read() == b""
            assert (await (await running.client()).ask("pay")).body == ANSWER
            serving.cancel()
            running.process.terminate()
            assert running.process.stderr is not None
            log = await asyncio.to_thread(running.process.stderr.read)
            assert "Traceback" not in log

    run(test())
    control.close()
