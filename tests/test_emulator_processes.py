"""The emulator's processes on real sockets: endpoints, open-loop clients, and a sidecar between them."""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator

import numpy as np
import pytest
from hdrh.histogram import HdrHistogram

from emulator.clients.load import run_load
from emulator.clients.messages import LoadRequest, LoadResult, LoadTarget
from emulator.clients.stream import draw_arrivals, sustained_rate
from emulator.endpoints.endpoint import Endpoint
from emulator.endpoints.messages import (
    ChangeEndpoint,
    EndpointAction,
    EndpointCounter,
    EndpointProfile,
    OpenEndpoints,
    ReadCounters,
    ReleaseRequests,
)
from emulator.endpoints.process import EndpointGroup
from emulator.errors import SidecarStartError, WorkerError
from emulator.sidecar import Sidecar
from emulator.worker import Worker
from testbed.ports import free_port
from tests.http_messages import Message, read_message
from tests.sidecar_support import run


@contextlib.asynccontextmanager
async def open_endpoints(
    profile: EndpointProfile, count: int = 1, warming_up: bool = False
) -> AsyncIterator[tuple[EndpointGroup, list[str]]]:
    endpoints = EndpointGroup()
    response = await endpoints.handle(OpenEndpoints("s", count, profile, warming_up=warming_up))
    addresses = response["addresses"]
    assert isinstance(addresses, dict)
    try:
        yield endpoints, list(addresses.values())
    finally:
        for endpoint in endpoints.by_name.values():
            endpoint.crash()


class UpstreamClient:
    """A connection to an endpoint, as a sidecar opens it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: str) -> UpstreamClient:
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def send(self, path: str = "/look/a", request_id: str = "r1", deadline_ms: int = 2500) -> None:
        lines = [f"GET {path} HTTP/1.1", "Host: a", f"Req-Deadline-Ms: {deadline_ms}"]
        lines += [f"Req-Id: {request_id}"] if request_id else []
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def request(self, path: str = "/look/a", request_id: str = "r1") -> Message:
        self.send(path, request_id)
        return await read_message(self.reader)


def test_endpoint_serves_on_a_persistent_connection_and_reports_its_load() -> None:
    async def body() -> None:
        async with open_endpoints(EndpointProfile(reports=("pending", "served_ps", "svc_ms"))) as (
            endpoints,
            (address,),
        ):
            client = await UpstreamClient.connect(address)
            first, second = await client.request(), await client.request(request_id="r2")
            assert (first.status, first.body, second.status) == (200, b"done", 200)
            fields = dict(pair.split("=") for pair in first.headers["srv-load"].split(","))
            assert list(fields) == ["pending", "served_ps", "svc_ms"]
            assert fields["pending"] == "0"
            assert float(fields["svc_ms"]) > 0
            assert endpoints.counters[EndpointCounter.CONNECTIONS] == 1
            assert endpoints.counters[EndpointCounter.SERVED] == 2

    run(body())


def test_response_is_404_when_a_request_has_no_id() -> None:
    async def body() -> None:
        async with open_endpoints(EndpointProfile()) as (_, (address,)):
            assert (await (await UpstreamClient.connect(address)).request(request_id="")).status == 404

    run(body())


def test_health_checks_are_served_only_when_the_profile_has_them() -> None:
    async def body() -> None:
        async with open_endpoints(EndpointProfile()) as (_, (address,)):
            assert (await (await UpstreamClient.connect(address)).request("/alive")).status == 404
        async with open_endpoints(EndpointProfile(health_checks=True, reports=("queue",))) as (
            endpoints,
            (address,),
        ):
            client = await UpstreamClient.connect(address)
            assert (await client.request("/alive")).status == 200
            assert (await client.request("/metrics/load")).body == b"queue=0"
            await endpoints.handle(ChangeEndpoint("s0", EndpointAction.DRAIN))
            assert (await client.request("/alive")).status == 503

    run(body())


def test_draining_endpoint_finishes_pending_requests_and_declines_new_ones() -> None:
    async def body() -> None:
        async with open_endpoints(EndpointProfile()) as (endpoints, (address,)):
            await endpoints.handle(ChangeEndpoint("s0", EndpointAction.HANG))
            busy, late = await UpstreamClient.connect(address), await UpstreamClient.connect(address)
            busy.send()
            while not endpoints.by_name["s0"].hanging:
                await asyncio.sleep(0)
            await endpoints.handle(ChangeEndpoint("s0", EndpointAction.DRAIN))
            declined = await late.request(request_id="r2")
            assert (declined.status, declined.headers["srv-declined"]) == (503, "1")
            await endpoints.handle(ReleaseRequests("s0"))
            assert (await read_message(busy.reader)).status == 200
            assert (
                endpoints.counters[EndpointCounter.SERVED],
                endpoints.counters[EndpointCounter.DECLINED],
            ) == (1, 1)

    run(body())


def test_request_is_declined_and_not_run_when_the_queue_is_full_or_its_deadline_has_passed() -> None:
    async def body() -> None:
        async with open_endpoints(EndpointProfile(median_ms=50.0, cores=1, queue=1)) as (
            endpoints,
            (address,),
        ):
            endpoint = endpoints.by_name["s0"]
            running, waiting, declined = [await UpstreamClient.connect(address) for _ in range(3)]
            running.send()
            while not endpoint.running:
                await asyncio.sleep(0)
            waiting.send(request_id="r2", deadline_ms=0)
            while not endpoint.waiting:
                await asyncio.sleep(0)
            assert (await declined.request(request_id="r3")).status == 503
            assert (await read_message(running.reader)).status == 200
            expired = await read_message(waiting.reader)
            assert (expired.status, expired.headers["srv-declined"]) == (504, "1")
            assert (endpoint.served, endpoints.counters[EndpointCounter.DECLINED]) == (1, 2)

    run(body())


def test_endpoint_resets_connections_at_a_crash_and_warms_up_at_the_same_address_after_it() -> None:
    async def body() -> None:
        async with open_endpoints(EndpointProfile(initial_speed=0.2, warm_up_s=60.0)) as (
            endpoints,
            (address,),
        ):
            endpoint = endpoints.by_name["s0"]
            loop = asyncio.get_running_loop()
            assert endpoint.speed(loop.time()) == 1.0
            await endpoints.handle(ChangeEndpoint("s0", EndpointAction.HANG))
            client = await UpstreamClient.connect(address)
            client.send()
            while not endpoint.hanging:
                await asyncio.sleep(0)
            await endpoints.handle(ChangeEndpoint("s0", EndpointAction.CRASH))
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await read_message(client.reader)
            with pytest.raises(ConnectionRefusedError):
                await UpstreamClient.connect(address)
            await endpoints.handle(ChangeEndpoint("s0", EndpointAction.START))
            assert 0.2 <= endpoint.speed(loop.time()) < 0.4
            assert endpoint.speed(endpoint.warming_since_s + 30) == pytest.approx(0.6)
            assert endpoint.speed(endpoint.warming_since_s + 60) == pytest.approx(1.0, rel=1e-12)
            assert endpoint.speed(endpoint.warming_since_s + 60.001) == 1.0
            assert (await (await UpstreamClient.connect(address)).request()).status == 200

    run(body())


def test_service_times_follow_the_seed_and_are_longer_in_proportion_during_warm_up() -> None:
    profile = EndpointProfile(median_ms=20.0, sigma=0.5, initial_speed=0.25, warm_up_s=10.0)

    def draw_service_times(warming_since_s: float) -> list[float]:
        endpoint = Endpoint("s0", profile, np.random.default_rng(7), Counter())
        endpoint.warming_since_s = warming_since_s
        return [endpoint.draw_service_s(100.0) for _ in range(2001)]

    warm, cold = draw_service_times(0.0), draw_service_times(100.0)
    assert warm == draw_service_times(0.0)
    assert cold == pytest.approx([4 * t for t in warm])
    assert float(np.median(warm)) == pytest.approx(0.020, rel=0.1)


def test_endpoint_raises_value_error_when_a_report_field_is_unknown() -> None:
    with pytest.raises(ValueError, match="sojourn"):
        Endpoint("s0", EndpointProfile(reports=("sojourn",)), np.random.default_rng(1), Counter())


def test_arrivals_are_a_poisson_process_drawn_from_the_seed() -> None:
    times = draw_arrivals(100.0, 100.0, np.random.default_rng(3))
    gaps = np.diff(times)
    assert times == draw_arrivals(100.0, 100.0, np.random.default_rng(3))
    assert 9_600 < len(times) < 10_400
    assert times == sorted(times)
    assert times[-1] < 100e6
    assert float(gaps.std() / gaps.mean()) == pytest.approx(1.0, abs=0.05)


def test_rate_is_not_sustained_when_requests_are_late_or_not_sent() -> None:
    assert sustained_rate(1000, 1000, 10)
    assert not sustained_rate(1000, 1000, 11)
    assert not sustained_rate(1000, 999, 0)


def test_load_counts_every_planned_request_through_the_sidecar_and_directly() -> None:
    async def body() -> None:
        async with open_endpoints(EndpointProfile(), 2) as (endpoints, addresses):
            async with Sidecar(dict(zip(("s0", "s1"), addresses, strict=True))) as sidecar:
                assert sidecar.usage().pss_bytes > 1 << 20
                assert sidecar.precise_cpu_s() > 0
                targets = [
                    LoadTarget("via", [sidecar.address], 100.0),
                    LoadTarget("direct", addresses, 100.0),
                ]
                result = await run_load(LoadRequest(targets, 1.0, 5))
            planned = sum(stream.planned for stream in result.streams)
            assert planned == sum(s.sent for s in result.streams) == sum(s.served for s in result.streams)
            assert endpoints.counters[EndpointCounter.SERVED] == planned
            for stream in result.streams:
                recorded = HdrHistogram.decode(stream.histogram).get_total_count()
                assert (stream.statuses, stream.failed, recorded) == (
                    {"200": stream.planned},
                    0,
                    stream.planned,
                )

    run(body())


def test_requests_without_a_response_fail_and_do_not_delay_later_arrivals() -> None:
    async def body() -> None:
        async with open_endpoints(EndpointProfile()) as (endpoints, addresses):
            await endpoints.handle(ChangeEndpoint("s0", EndpointAction.HANG))
            result: LoadResult = await run_load(
                LoadRequest([LoadTarget("direct", addresses, 200.0)], 0.3, 5, deadline_ms=200)
            )
            (stream,) = result.streams
            assert stream.sent == stream.planned == stream.failed == endpoints.counters[EndpointCounter.HUNG]
            assert stream.served == 0

    run(body())


def test_worker_reports_an_error_and_continues() -> None:
    async def body() -> None:
        async with Worker("emulator.endpoints") as worker:
            with pytest.raises(WorkerError, match="KeyError"):
                await worker.request(ChangeEndpoint("nobody", EndpointAction.DRAIN))
            assert list((await worker.request(OpenEndpoints("s", 2)))["addresses"]) == ["s0", "s1"]
            assert (await worker.request(ReadCounters()))["counters"] == {}

    run(body())


def test_start_error_states_the_reason_when_a_sidecar_cannot_start() -> None:
    async def body() -> None:
        sidecar = Sidecar({"s0": f"127.0.0.1:{free_port()}"}, Categories=[])
        with pytest.raises(SidecarStartError, match="Categories: at least one is needed"):
            async with sidecar:
                pass

    run(body())
