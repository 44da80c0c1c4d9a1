"""A call to discovery that is hedged by a second call if its response is late.

The first call keeps its queue position at discovery. The second call brings the response if the response to
the first is lost.
"""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple

from corkdoor.policy.discovery.connect_timeout import reconnect_timeout_s
from corkdoor.policy.discovery.response_timeout import ResponseTimeout
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.discovery.client import DiscoveryClient, DiscoveryRequest
from corkdoor.sidecar.discovery.endpoint_list import EndpointList
from corkdoor.sidecar.discovery.errors import AnswerTimeoutError, CallRejectedError, DiscoveryError

US_PER_S = 1e6


class ReceivedList(NamedTuple):
    """An endpoint list, and the client that received it."""

    endpoint_list: EndpointList
    client: DiscoveryClient


class HedgedCall:
    """One call, and one second call at a time while the response to the first is late.

    Args:
        client: makes the first call; it is closed if a second call brings the response.
        timeout: how long to wait for responses; it is updated with the results of this call.
        connect_timeout_s: how long opening a connection may take, in seconds.

    Attributes:
        address_outdated: whether discovery has another address. No second call may start then.
    """

    def __init__(self, client: DiscoveryClient, timeout: ResponseTimeout, connect_timeout_s: float) -> None:
        self.address_outdated = False
        self._client = client
        self._timeout = timeout
        self._connect_timeout_s = connect_timeout_s
        self._second_began_us = 0
        self._used_second: ReceivedList | None = None  # the list of the second call that brought the response

    async def run(self, request: DiscoveryRequest, second_request: DiscoveryRequest) -> ReceivedList:
        """Make both calls if necessary, and return the list of the first response.

        Raises:
            DiscoveryError: the first call failed, or neither call got a response in time.
            OSError: the connection for the first call could not be opened.
            OverflowError: the list holds a number that is too large.
        """
        began_us = now_us()
        first = asyncio.ensure_future(self._client.call(request, self._connect_timeout_s))
        second: asyncio.Future[ReceivedList] | None = None
        try:
            second_call_delay_us = self._timeout.second_call_delay_us(began_us, request.wait_us)
            await asyncio.wait((first,), timeout=second_call_delay_us / US_PER_S)
            if not first.done():
                second = asyncio.ensure_future(self._make_second_calls(second_request))
                await asyncio.wait(
                    (first, second),
                    timeout=self._timeout.give_up_delay_us() / US_PER_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
            if first.done():
                return self._finish_first(first, began_us, request.wait_us)
            if second is not None and second.done():
                return self._finish_second(second.result())
            self._timeout.on_given_up()
            raise AnswerTimeoutError((now_us() - began_us) / US_PER_S)
        finally:
            await _cancel(first, second)
            self._close_unused(second)

    def _finish_first(self, first: asyncio.Future[EndpointList], began_us: int, wait_us: int) -> ReceivedList:
        spent_us = now_us() - began_us
        try:
            received = ReceivedList(first.result(), self._client)
        except CallRejectedError:
            self._timeout.on_rejection(now_us(), spent_us)
            raise
        self._timeout.on_response(spent_us - wait_us)
        return received

    def _finish_second(self, received: ReceivedList) -> ReceivedList:
        self._used_second = received
        self._timeout.on_second_response(now_us(), now_us() - self._second_began_us)
        self._client.close()
        return received

    def _close_unused(self, second: asyncio.Future[ReceivedList] | None) -> None:
        """Close the connection of a second call whose response is not used.

        The first call has ended at the same time, or this call was cancelled.
        """
        if second is None or second.cancelled() or second.exception() is not None:
            return
        received = second.result()
        if received is not self._used_second:
            received.client.close()

    async def _make_second_calls(self, request: DiscoveryRequest) -> ReceivedList:
        """Make calls, each on a connection of its own, until one gets a response."""
        while True:
            rejected = False
            if not self.address_outdated:
                client = DiscoveryClient(self._client.host, self._client.port, self._client.budget)
                try:
                    return ReceivedList(await self._make_second_call(client, request), client)
                except CallRejectedError:
                    rejected = True
                except TimeoutError:
                    continue
                except (DiscoveryError, OSError, OverflowError):
                    pass
            backoff_us = self._timeout.second_call_backoff_us(rejected, random.random())
            await asyncio.sleep(backoff_us / US_PER_S)

    async def _make_second_call(self, client: DiscoveryClient, request: DiscoveryRequest) -> EndpointList:
        self._second_began_us = now_us()
        completed = False
        try:
            async with asyncio.timeout(self._timeout.second_response_timeout_us(now_us()) / US_PER_S):
                endpoint_list = await client.call(request, reconnect_timeout_s(self._connect_timeout_s))
            completed = True
            return endpoint_list
        finally:
            if not completed:
                client.close()


async def _cancel(*tasks: asyncio.Future[EndpointList] | asyncio.Future[ReceivedList] | None) -> None:
    """Cancel the tasks that still run, and retrieve the result or exception of each."""
    started = [task for task in tasks if task is not None]
    for task in started:
        task.cancel()
    await asyncio.gather(*started, return_exceptions=True)
