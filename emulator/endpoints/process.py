"""The endpoints of one process, and the handling of requests that open and change them."""

from __future__ import annotations

from collections import Counter

import msgspec
import numpy as np

from emulator.endpoints.endpoint import Endpoint, EndpointMode
from emulator.endpoints.messages import (
    ChangeEndpoint,
    EndpointAction,
    EndpointCounter,
    EndpointRequest,
    OpenEndpoints,
    ReadCounters,
    ReleaseRequests,
)
from emulator.worker import serve_requests


class EndpointGroup:
    """The endpoints of a process by name, and the counters that they share."""

    def __init__(self) -> None:
        self.counters: Counter[EndpointCounter] = Counter()
        self.by_name: dict[str, Endpoint] = {}

    async def handle(self, request: EndpointRequest) -> dict[str, object]:
        """Handle one request, and return the response.

        Raises:
            KeyError: no endpoint has that id.
            OSError: no port is available.
        """
        match request:
            case OpenEndpoints():
                return {"addresses": await self._open(request)}
            case ChangeEndpoint():
                await self._change(self.by_name[request.id], request.action)
            case ReleaseRequests():
                self.by_name[request.id].release()
            case ReadCounters():
                return {"counters": dict(self.counters)}
        return {"done": True}

    async def _open(self, request: OpenEndpoints) -> dict[str, str]:
        rng = np.random.default_rng(request.seed)
        addresses = {}
        for number in range(request.first, request.first + request.count):
            endpoint = Endpoint(f"{request.prefix}{number}", request.profile, rng, self.counters)
            await endpoint.listen(request.warming_up)
            self.by_name[endpoint.name] = endpoint
            addresses[endpoint.name] = f"127.0.0.1:{endpoint.port}"
        return addresses

    async def _change(self, endpoint: Endpoint, action: EndpointAction) -> None:
        match action:
            case EndpointAction.CRASH:
                endpoint.crash()
            case EndpointAction.START:
                await endpoint.listen(warming_up=True)
            case _:
                endpoint.mode = EndpointMode(action.value)


async def serve() -> None:
    """Handle the requests on standard input until it ends."""
    group = EndpointGroup()
    decoder = msgspec.json.Decoder(EndpointRequest)
    await serve_requests(lambda line: group.handle(decoder.decode(line)))
