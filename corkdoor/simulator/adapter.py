"""Reads batches of messages, passes them to the instances, and writes the instances' actions."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, TextIO

from corkdoor.balancer import Balancer
from corkdoor.model import Endpoint
from corkdoor.simulator import messages
from corkdoor.simulator.errors import ProtocolError
from corkdoor.simulator.parser import (
    MAX_QUOTED_CHARACTERS,
    is_batch_end,
    parse_batch_start,
    parse_endpoint,
    parse_message,
    quote,
)
from corkdoor.simulator.writer import ActionWriter

OUTPUT_END = "finished"  # ends the output for each batch


class LineReader:
    """Reads lines and counts them.

    Attributes:
        line_number: the number of the last line that was read, from 1; 0 before the first.
    """

    def __init__(self, source: TextIO) -> None:
        self._source = source
        self.line_number = 0

    def read_optional(self) -> str | None:
        """Return the next line without its line end, or None at the end of the input."""
        line = self._source.readline()
        if not line:
            return None
        self.line_number += 1
        return line.removesuffix("\n")

    def read(self, context: str) -> str:
        """Return the next line without its line end.

        Args:
            context: what the line is part of, for the error.

        Raises:
            ProtocolError: the input ends before the end of the line.
        """
        line = self._source.readline()
        if line:
            self.line_number += 1
        if not line.endswith("\n"):
            raise ProtocolError(f"the input ends inside a {context}")
        return line[:-1]


class SimulatorAdapter:
    """Hosts all instances of one process.

    Args:
        source: the stream from which batches are read.
        sink: the stream to which the instances' actions are written.

    Attributes:
        now_us: the time of the current batch.
        output: the output lines for the current batch.
        instances: the running instances, by name.
        pages: the endpoints of each page, by the page's number.
        handlers: the handler of each type of message.
    """

    def __init__(self, source: TextIO, sink: TextIO) -> None:
        self.reader = LineReader(source)
        self.sink = sink
        self.now_us = 0
        self.output: list[str] = []
        self.instances: dict[str, Balancer] = {}
        self.pages: dict[int, Sequence[Endpoint]] = {}
        self.handlers: dict[type[messages.Message], Callable[[Any], None]] = {
            messages.InstanceStarted: self._start_instance,
            messages.InstanceStopped: self._stop_instance,
            messages.RequestReceived: self._on_request,
            messages.RequestCancelled: self._on_request_cancelled,
            messages.ResponseStarted: self._on_response_started,
            messages.AttemptEnded: self._on_attempt_ended,
            messages.TimerExpired: self._on_timer_expired,
            messages.EndpointPage: self._read_page,
            messages.WatchEvent: self._on_watch_event,
            messages.HealthChecked: self._check_running,
            messages.PeerMessage: self._check_running,
        }

    def run(self) -> None:
        """Process batches until the input ends.

        Raises:
            ProtocolError: the input is malformed.
        """
        while (line := self.reader.read_optional()) is not None:
            self.now_us = parse_batch_start(line)
            self._run_batch()
            self.output.append(f"{OUTPUT_END}\n")
            self.sink.write("\n".join(self.output))
            self.sink.flush()
            self.output.clear()

    def _run_batch(self) -> None:
        while not is_batch_end(line := self.reader.read("batch")):
            try:
                message = parse_message(line)
                self.handlers[type(message)](message)
            except ProtocolError:
                raise
            except Exception as error:  # a failure in one instance stops neither the process nor the others
                self._report_failure(line.split(" ")[1], error)

    def _report_failure(self, instance: str, error: Exception) -> None:
        text = " ".join(f"{type(error).__name__}: {error}".split())
        self.output.append(f"broken {instance} {text}")

    def _instance(self, name: str) -> Balancer:
        instance = self.instances.get(name)
        if instance is None:
            raise ProtocolError(f"instance {quote(name)} has not been started")
        return instance

    # --- one method for each message ---

    def _start_instance(self, message: messages.InstanceStarted) -> None:
        writer = ActionWriter(message.instance, self.output)
        balancer = Balancer(message.settings, message.seed, writer)
        balancer.start(self.now_us)
        self.instances[message.instance] = balancer

    def _stop_instance(self, message: messages.InstanceStopped) -> None:
        self._instance(message.instance)
        del self.instances[message.instance]

    def _on_request(self, message: messages.RequestReceived) -> None:
        instance = self._instance(message.instance)
        if message.class_name not in instance.classes:
            raise ProtocolError("Grade must be a class of this instance")
        instance.on_request(
            self.now_us,
            message.request_id,
            message.class_name,
            message.tenant,
            message.timeout_us,
            message.cost_hint_us,
        )

    def _on_request_cancelled(self, message: messages.RequestCancelled) -> None:
        self._instance(message.instance).on_request_cancelled(self.now_us, message.request_id)

    def _on_response_started(self, message: messages.ResponseStarted) -> None:
        instance = self._instance(message.instance)
        instance.on_response_start(self.now_us, message.request_id, message.attempt)

    def _on_attempt_ended(self, message: messages.AttemptEnded) -> None:
        self._instance(message.instance).on_attempt_end(
            self.now_us,
            message.request_id,
            message.attempt,
            message.endpoint_id,
            message.elapsed_us,
            message.request_closed,
            message.outcome,
            message.load,
        )

    def _on_timer_expired(self, message: messages.TimerExpired) -> None:
        instance = self._instance(message.instance)
        if message.timer is not None:
            instance.on_timer(self.now_us, message.timer)

    def _on_watch_event(self, message: messages.WatchEvent) -> None:
        endpoints: Sequence[Endpoint] = ()
        if message.page is not None:
            found = self.pages.get(message.page)
            if found is None:
                raise ProtocolError(
                    f"Page must be the number of a manifest, got {str(message.page)[:MAX_QUOTED_CHARACTERS]}"
                )
            endpoints = found
        self._instance(message.instance).on_watch_event(self.now_us, message.kind, endpoints)

    def _read_page(self, message: messages.EndpointPage) -> None:
        rows = range(message.row_count)
        self.pages[message.number] = [parse_endpoint(self.reader.read("manifest")) for _ in rows]

    def _check_running(self, message: messages.HealthChecked | messages.PeerMessage) -> None:
        """Check that the instance runs; the balancer uses neither health checks nor peer messages."""
        self._instance(message.instance)
