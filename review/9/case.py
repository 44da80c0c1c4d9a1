"""Pushed lists: after a 503 the agent is not called for seconds, and endpoints that drain get new work."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins2 as s  # noqa: E402 - the folder above holds the stand-ins

SITE = "harbour-tickets"
SECONDS = 80.0
REQUESTS_PER_S = 15.0  # at each sidecar
DEADLINE_S = 1.0
ENDPOINTS_PER_ZONE = 4
OUTAGES_S = (8.0, 42.0)  # when discovery goes down
OUTAGE_S = 8.0  # herd+mass: "discovery is down for 8 s"
REFUSED_AFTER_S = 1.0  # `timeout_ms` of the site: a call that waited too long ends with 503
DRAIN_AFTER_RETURN_S = 0.5  # herd+brink: "endpoints begin to drain within seconds of its return"
TIME_LIMIT_SLACK_S = 0.05  # PROTOCOL: "every time limit is 50 ms longer"
MIN_SERVED = 0.5
REFUSED = 503


async def refuse(writer: asyncio.StreamWriter) -> bool:
    """End a call as discovery does while it is down; the connection stays open."""
    await asyncio.sleep(REFUSED_AFTER_S)
    writer.write(s.encode_response(REFUSED, b""))
    return True


class Platform:
    """Discovery with its outages, and one endpoint of each zone that drains after each of them.

    Attributes:
        told_s: when the agents had the drain of an endpoint and could be reached, by the endpoint's name.
    """

    def __init__(self, discovery: s.Discovery, endpoints: list[s.Endpoint], record: s.Record) -> None:
        self.discovery = discovery
        self.endpoints = endpoints
        self.record = record
        self.told_s: dict[str, float] = {}

    async def run(self) -> None:
        """Go down and come back at the times of the case."""
        self.discovery.refusal = refuse
        for number, begins_s in enumerate(OUTAGES_S):
            await asyncio.sleep(begins_s - self.record.seconds())
            if s.trouble():
                self.record.note("discovery goes down: its watches end, and calls end with 503")
                self.discovery.down = True
                self.discovery.server.reset_connections()
            await asyncio.sleep(OUTAGE_S)
            self.discovery.down = False
            self.record.note("discovery is back")
            await asyncio.sleep(DRAIN_AFTER_RETURN_S)
            for endpoint in self.endpoints[number::ENDPOINTS_PER_ZONE]:
                self.discovery.change(endpoint.name, "draining")
                self.told_s[endpoint.name] = self.record.seconds()

    def late_runs(self, runs: list[s.Run], grace_s: float) -> list[s.Run]:
        """Return the attempts that came to a draining endpoint after the grace, and note them."""
        late = []
        for run in runs:
            told_s = self.told_s.get(run.endpoint)
            if told_s is not None and run.at_s > told_s + grace_s + TIME_LIMIT_SLACK_S:
                late.append(run)
                after_s = run.at_s - told_s
                self.record.note(f"late: {run.request_id} at {run.endpoint}, {after_s:.3f} s after it drains")
        return late


async def run() -> int:
    """Run the case, and return its exit status."""
    record = s.Record(HERE)
    runs: list[s.Run] = []
    settings = s.site_settings(SITE)
    discovery, endpoints = await s.start_endpoints(record, runs, settings, ENDPOINTS_PER_ZONE)
    platform = Platform(discovery, endpoints, record)
    sidecars = [
        s.Sidecar(f"n{rank}", discovery.server.port, s.site_settings(SITE, zone=rank, rank=rank), record)
        for rank in range(len(settings["Localities"]))
    ]
    clients = [s.Clients(sidecar, record, settings["Parties"][0]["Name"]) for sidecar in sidecars]
    try:
        if not await s.start_all(sidecars, discovery.whole_list()):
            return record.close(s.NOT_RUN, "a sidecar is not ready")
        loads = [
            s.send_steadily(each, settings["Categories"], REQUESTS_PER_S, SECONDS, DEADLINE_S)
            for each in clients
        ]
        await asyncio.gather(platform.run(), *loads)
        for each in clients:
            each.close()
    finally:
        for sidecar in sidecars:
            sidecar.end()
    late = platform.late_runs(runs, settings["Rules"]["DrainGraceUs"] / 1e6)
    sent = [one for each in clients for one in each.sent]
    served = sum(one.status == s.OK for one in sent)
    text = f"{len(sent)} sent, {served} served, {len(late)} sent to draining endpoints after the grace"
    if served < MIN_SERVED * len(sent):
        return record.close(s.NOT_RUN, text)
    return record.close(s.BROKEN if late else s.HELD, text)


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
