"""A peer that speaks another protocol is served as if it had sent a proper request."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins2 as s  # noqa: E402 - the folder above holds the stand-ins

SITE = "harbour-tickets"
PEERS = 40
DEADLINE_S = 1.0
BODY_BYTES = 212
HTTP, OTHER = b" HTTP/1.1\r\n", b" RTSP/1.0\r\n"
HOST = b"Host: service.internal\r\n"
MIN_SOUND = 20


class Peers(s.Clients):
    """Peers that send something that is not a proper request; `change` makes it so."""

    old, new = b"", b""

    def encode(self, request_id: str, category: dict[str, object], deadline_s: float, body: bytes) -> bytes:
        """Return what a peer sends."""
        return super().encode(request_id, category, deadline_s, body).replace(self.old, self.new, 1)


async def send(peers: s.Clients, category: dict[str, object]) -> None:
    """Send from one peer after another, each on a connection of its own."""
    for _ in range(PEERS):
        await peers.request(category, DEADLINE_S, random.randbytes(BODY_BYTES))
        peers.close()


async def run() -> int:
    """Run the case, and return its exit status."""
    record = s.Record(HERE)
    runs: list[s.Run] = []
    settings = s.site_settings(SITE)
    discovery, _ = await s.start_endpoints(record, runs, settings, 3)
    category = next(each for each in settings["Categories"] if each["Effect"] == s.EFFECTS["unsafe"])
    sidecar = s.Sidecar("n0", discovery.server.port, settings, record)
    tenant = settings["Parties"][0]["Name"]
    sound, improper = s.Clients(sidecar, record, tenant), Peers(sidecar, record, tenant)
    if s.trouble():
        improper.old, improper.new = HTTP, OTHER
    without_host = Peers(sidecar, record, tenant)
    without_host.old = HOST
    try:
        if not await s.start_all([sidecar], discovery.whole_list()):
            return record.close(s.NOT_RUN, "the sidecar is not ready")
        await asyncio.gather(send(sound, category), send(improper, category))
        if s.trouble():
            await send(without_host, category)
    finally:
        sidecar.end()
    ran = {each.request_id for each in runs}
    served = sum(sent.status == s.OK for sent in sound.sent)
    wrong = [sent.request_id for sent in improper.sent if sent.status == s.OK or sent.request_id in ran]
    no_host = sum(sent.request_id in ran for sent in without_host.sent)
    text = f"sound requests: {served} of {len(sound.sent)} served"
    text += f"; of the other peers {len(wrong)} of {len(improper.sent)} served or run"
    text += f"; not judged, with no Host: {no_host} of {len(without_host.sent)} run"
    if served < MIN_SOUND:
        return record.close(s.NOT_RUN, text)
    return record.close(s.BROKEN if s.trouble() and wrong else s.HELD, text)


if __name__ == "__main__":
    sys.exit(s.main(run))
