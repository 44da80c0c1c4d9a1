"""The emulator's stand-ins over real sockets: endpoints, open-loop clients, and a sidecar between them."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator

import numpy as np
import pytest
from hdrh.histogram import HdrHistogram

from emulator.clients import Job, Result, Target, arrivals, held_rate, play
from emulator.endpoint import Change, Count, Endpoint, Endpoints, Kind, Open, Release
from emulator.sidecar import Sidecar, SidecarError, free_port
from emulator.worker import Worker, WorkerError
from tests.http_messages import Message, read_message
from tests.sidecar_support import run


@contextlib.asynccontextmanager
async def opened(
    kind: Kind, count: int = 1, cold: bool = False
) -> AsyncIterator[tuple[Endpoints, list[str]]]:
    endpoints = Endpoints()
    answer = await endpoints.do(Open("s", count, kind, cold=cold))
    addresses = answer["addresses"]
    assert isinstance(addresses, dict)
    try:
        yield endpoints, list(addresses.values())
    finally:
        for endpoint in endpoints.by_name.values():
            endpoint.crash()


class Asker:
    """A connection to an endpoint, as a sidecar holds it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def to(cls, address: str) -> Asker:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, path: str = "/look/a", request_id: str = "r1", deadline_ms: int = 2500) -> None:
        lines = [f"GET {path} HTTP/1.1", "Host: a", f"Req-Deadline-Ms: {deadline_ms}"]
        lines += [f"Req-Id: {request_id}"] if request_id else []
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def ask(self, path: str = "/look/a", request_id: str = "r1") -> Message:
        self.send(path, request_id)
        return await read_message(self.reader)


def test_an_endpoint_serves_on_a_kept_connection_and_reports_its_load() -> None:
    async def body() -> None:
        async with opened(Kind(reports=("pending", "served_ps", "svc_ms"))) as (endpoints, (address,)):
            asker = await Asker.to(address)
            first, second = await asker.ask(), await asker.ask(request_id="r2")
            assert (first.status, first.body, second.status) == (200, b"done", 200)
            fields = dict(pair.split("=") for pair in first.headers["srv-load"].split(","))
            assert list(fields) == ["pending", "served_ps", "svc_ms"] and fields["pending"] == "0"
            assert float(fields["svc_ms"]) > 0
            assert endpoints.counts["connections"] == 1 and endpoints.counts["served"] == 2

    run(body())


def test_a_request_without_an_id_is_answered_404() -> None:
    async def body() -> None:
        async with opened(Kind()) as (_, (address,)):
            assert (await (await Asker.to(address)).ask(request_id="")).status == 404

    run(body())


def test_probes_are_answered_only_where_they_are_allowed() -> None:
    async def body() -> None:
        async with opened(Kind()) as (_, (address,)):
            assert (await (await Asker.to(address)).ask("/alive")).status == 404
        async with opened(Kind(probes=True, reports=("queue",))) as (endpoints, (address,)):
            asker = await Asker.to(address)
            assert (await asker.ask("/alive")).status == 200
            assert (await asker.ask("/metrics/load")).body == b"queue=0"
            await endpoints.do(Change("s0", "drain"))
            assert (await asker.ask("/alive")).status == 503

    run(body())


def test_a_draining_endpoint_finishes_what_it_has_and_turns_the_rest_away_unrun() -> None:
    async def body() -> None:
        async with opened(Kind()) as (endpoints, (address,)):
            await endpoints.do(Change("s0", "hang"))
            busy, late = await Asker.to(address), await Asker.to(address)
            busy.send()
            while not endpoints.by_name["s0"].hanging:
                await asyncio.sleep(0)
            await endpoints.do(Change("s0", "drain"))
            refused = await late.ask(request_id="r2")
            assert (refused.status, refused.headers["srv-declined"]) == (503, "1")
            await endpoints.do(Release("s0"))
            assert (await read_message(busy.reader)).status == 200
            assert (endpoints.counts["served"], endpoints.counts["declined"]) == (1, 1)

    run(body())


def test_a_full_queue_turns_away_and_what_waited_too_long_is_never_run() -> None:
    async def body() -> None:
        async with opened(Kind(median_ms=50.0, cores=1, queue=1)) as (endpoints, (address,)):
            endpoint = endpoints.by_name["s0"]
            runs, waits, refused = [await Asker.to(address) for _ in range(3)]
            runs.send()
            while not endpoint.running:
                await asyncio.sleep(0)
            waits.send(request_id="r2", deadline_ms=0)
            while not endpoint.waiting:
                await asyncio.sleep(0)
            assert (await refused.ask(request_id="r3")).status == 503
            assert (await read_message(runs.reader)).status == 200
            over = await read_message(waits.reader)
            assert (over.status, over.headers["srv-declined"]) == (504, "1")
            assert (endpoint.served, endpoints.counts["declined"]) == (1, 2)

    run(body())


def test_a_crash_resets_what_runs_and_a_start_brings_back_the_same_address_cold() -> None:
    async def body() -> None:
        async with opened(Kind(cold_from=0.2, cold_s=60.0)) as (endpoints, (address,)):
            endpoint = endpoints.by_name["s0"]
            loop = asyncio.get_running_loop()
            assert endpoint.warmth(loop.time()) == 1.0
            await endpoints.do(Change("s0", "hang"))
            asker = await Asker.to(address)
            asker.send()
            while not endpoint.hanging:
                await asyncio.sleep(0)
            await endpoints.do(Change("s0", "crash"))
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await read_message(asker.reader)
            with pytest.raises(OSError):
                await Asker.to(address)
            await endpoints.do(Change("s0", "start"))
            assert 0.2 <= endpoint.warmth(loop.time()) < 0.4
            assert endpoint.warmth(endpoint.started + 30) == pytest.approx(0.6)
            assert endpoint.warmth(endpoint.started + 60) == pytest.approx(1.0, rel=1e-12)
            assert endpoint.warmth(endpoint.started + 60.001) == 1.0
            assert (await (await Asker.to(address)).ask()).status == 200

    run(body())


def test_service_times_come_from_the_seed_and_a_cold_endpoint_takes_longer_in_proportion() -> None:
    kind = Kind(median_ms=20.0, sigma=0.5, cold_from=0.25, cold_s=10.0)

    def drawn(started: float) -> list[float]:
        endpoint = Endpoint("s0", kind, np.random.default_rng(7), Counter())
        endpoint.started = started
        return [endpoint.service_s(100.0) for _ in range(2001)]

    warm, cold = drawn(0.0), drawn(100.0)
    assert warm == drawn(0.0) and cold == pytest.approx([4 * t for t in warm])
    assert float(np.median(warm)) == pytest.approx(0.020, rel=0.1)


def test_an_unknown_report_field_is_a_fault() -> None:
    with pytest.raises(ValueError, match="sojourn"):
        Endpoint("s0", Kind(reports=("sojourn",)), np.random.default_rng(1), Counter())


def test_arrivals_are_poisson_and_come_from_the_seed() -> None:
    times = arrivals(100.0, 100.0, np.random.default_rng(3))
    gaps = np.diff(times)
    assert times == arrivals(100.0, 100.0, np.random.default_rng(3))
    assert 9_600 < len(times) < 10_400 and times == sorted(times) and times[-1] < 100e6
    assert float(gaps.std() / gaps.mean()) == pytest.approx(1.0, abs=0.05)


def test_a_stream_that_came_late_or_was_cut_did_not_hold_its_rate() -> None:
    assert held_rate(1000, 1000, 10)
    assert not held_rate(1000, 1000, 11)
    assert not held_rate(1000, 999, 0)


def test_a_run_counts_every_request_of_its_plan_and_compares_both_ways() -> None:
    async def body() -> None:
        async with opened(Kind(), 2) as (endpoints, addresses):
            async with Sidecar(dict(zip(("s0", "s1"), addresses, strict=True))) as sidecar:
                assert sidecar.usage().pss_bytes > 1 << 20 and sidecar.runtime_s() > 0
                targets = [Target("via", [sidecar.address], 100.0), Target("direct", addresses, 100.0)]
                result = await play(Job(targets, 1.0, 5))
            planned = sum(stream.planned for stream in result.streams)
            assert planned == sum(s.sent for s in result.streams) == sum(s.served for s in result.streams)
            assert endpoints.counts["served"] == planned
            for stream in result.streams:
                kept = HdrHistogram.decode(stream.histogram).get_total_count()
                assert (stream.statuses, stream.failed, kept) == ({"200": stream.planned}, 0, stream.planned)

    run(body())


def test_requests_that_nobody_answers_have_failed_and_a_slow_answer_holds_back_no_arrival() -> None:
    async def body() -> None:
        async with opened(Kind()) as (endpoints, addresses):
            await endpoints.do(Change("s0", "hang"))
            result: Result = await play(Job([Target("direct", addresses, 200.0)], 0.3, 5, deadline_ms=200))
            (stream,) = result.streams
            assert stream.sent == stream.planned == stream.failed == endpoints.counts["hung"]
            assert stream.served == 0

    run(body())


def test_a_worker_tells_of_a_fault_and_goes_on() -> None:
    async def body() -> None:
        async with Worker("emulator.endpoint") as worker:
            with pytest.raises(WorkerError, match="KeyError"):
                await worker.ask(Change("nobody", "drain"))
            assert list((await worker.ask(Open("s", 2)))["addresses"]) == ["s0", "s1"]
            assert (await worker.ask(Count()))["counts"] == {}

    run(body())


def test_a_sidecar_that_can_not_start_says_why() -> None:
    async def body() -> None:
        sidecar = Sidecar({"s0": f"127.0.0.1:{free_port()}"}, Categories=[])
        with pytest.raises(SidecarError, match="Categories: at least one is needed"):
            async with sidecar:
                pass

    run(body())
