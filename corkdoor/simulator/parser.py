"""Parses the lines of the simulator; each ProtocolError names the value by the wire's own name."""

from __future__ import annotations

import base64
import binascii
import json
import re
from collections.abc import Callable, Mapping
from typing import NamedTuple, TypeVar

from corkdoor.load_report import parse_load_report
from corkdoor.model import Endpoint, Outcome, Readiness, Timer, WatchEventKind
from corkdoor.settings import SettingsError
from corkdoor.settings_reader import read_settings
from corkdoor.simulator import messages
from corkdoor.simulator.errors import ProtocolError

ABSENT = "-"
BATCH_START = "sync"
BATCH_END = "over_to_you"
INSTANCE_START = "power_on"
INSTANCE_START_VALUES = 3  # the last of which holds spaces
PAGE_ROW = "row"
PAGE_ROW_VALUES = 7
MAX_PAGES = 16
COST_HINT_VALID = 1  # bit of a request's options
NO_TENANT = (ABSENT, "0")
DEFAULT_WEIGHT = 1.0
QUOTED_CHARACTERS = 40  # of a bad value, in an error
INTEGER = re.compile(r"-?[0-9]+\Z")

OUTCOMES = {str(int(outcome)): outcome for outcome in Outcome}
WATCH_EVENT_KINDS = {
    kind.value: kind
    for kind in (WatchEventKind.DELTA, WatchEventKind.FULL, WatchEventKind.CACHED, WatchEventKind.FAILED)
}
READINESS = {readiness.value: readiness for readiness in Readiness}
TIMERS = {timer.value: timer for timer in Timer}
FLAGS = {"0": False, "1": True}

Code = TypeVar("Code")


def quote(text: str) -> str:
    """Return a bad value as it is named in an error."""
    return repr(text[:QUOTED_CHARACTERS])


def _integer(text: str, name: str) -> int:
    if not INTEGER.match(text):
        raise ProtocolError(f"{name} is no integer")
    return int(text)


def _optional_integer(text: str, name: str) -> int | None:
    return None if text == ABSENT else _integer(text, name)


def _decode(codes: Mapping[str, Code], text: str, name: str) -> Code:
    value = codes.get(text)
    if value is None:
        raise ProtocolError(f"{name} is unknown")
    return value


# --- one function for each message, which takes its line split at spaces ---


def _parse_request(parts: list[str]) -> messages.RequestReceived:
    _, instance, request_id, class_name, tenant, _key, timeout_us, cost_hint_us, options = parts
    flags = _optional_integer(options, "Options") or 0
    hint_us = _optional_integer(cost_hint_us, "HintUs")
    return messages.RequestReceived(
        instance,
        request_id,
        class_name,
        None if tenant in NO_TENANT else tenant,
        _integer(timeout_us, "ExpiresInUs"),
        hint_us if flags & COST_HINT_VALID else None,
    )


def _parse_request_cancelled(parts: list[str]) -> messages.RequestCancelled:
    _, instance, request_id = parts
    return messages.RequestCancelled(instance, request_id)


def _parse_response_started(parts: list[str]) -> messages.ResponseStarted:
    _, instance, request_id, _endpoint_id, attempt, elapsed_us = parts
    _integer(elapsed_us, "SpentUs")
    return messages.ResponseStarted(instance, request_id, _integer(attempt, "Hop"))


def _parse_attempt_ended(parts: list[str]) -> messages.AttemptEnded:
    _, instance, request_id, attempt, endpoint_id, elapsed_us, closed, outcome, load = parts
    return messages.AttemptEnded(
        instance,
        request_id,
        _integer(attempt, "Hop"),
        endpoint_id,
        _integer(elapsed_us, "SpentUs"),
        _decode(FLAGS, closed, "Closed"),
        _decode(OUTCOMES, outcome, "Result"),
        parse_load_report(load, ":"),
    )


def _parse_timer_expired(parts: list[str]) -> messages.TimerExpired:
    _, instance, timer = parts
    return messages.TimerExpired(instance, TIMERS.get(timer))


def _parse_endpoint_page(parts: list[str]) -> messages.EndpointPage:
    number, row_count = _integer(parts[1], "Page"), _integer(parts[2], "Lines")
    if not 0 <= number < MAX_PAGES:
        raise ProtocolError(f"Page must lie in 0..{MAX_PAGES - 1}")
    if row_count < 0:
        raise ProtocolError("Lines must not be negative")
    return messages.EndpointPage(number, row_count)


def _parse_watch_event(parts: list[str]) -> messages.WatchEvent:
    _, instance, kind_code, generation, page = parts
    kind = _decode(WATCH_EVENT_KINDS, kind_code, "Form")
    _optional_integer(generation, "Index")
    failed = kind is WatchEventKind.FAILED
    return messages.WatchEvent(instance, kind, None if failed else _integer(page, "Page"))


def _parse_health_checked(parts: list[str]) -> messages.HealthChecked:
    _, instance, _endpoint_id, outcome, elapsed_us, _load = parts
    _decode(OUTCOMES, outcome, "Result")
    _integer(elapsed_us, "SpentUs")
    return messages.HealthChecked(instance)


def _parse_peer_message(parts: list[str]) -> messages.PeerMessage:
    _, instance, sender, content = parts
    _integer(sender, "Neighbour")
    if content != ABSENT:
        try:
            base64.b64decode(content, validate=True)
        except (binascii.Error, ValueError):
            raise ProtocolError("Octets is no base64") from None
    return messages.PeerMessage(instance)


def _parse_instance_stopped(parts: list[str]) -> messages.InstanceStopped:
    return messages.InstanceStopped(parts[1])


def _parse_instance_started(line: str) -> messages.InstanceStarted:
    parts = line.split(" ", INSTANCE_START_VALUES)
    value_count = len(parts) - 1
    if value_count != INSTANCE_START_VALUES:
        raise ProtocolError(f"{INSTANCE_START} takes {INSTANCE_START_VALUES} values, {value_count} came")
    _, instance, seed, document = parts
    seed_number = _integer(seed, "Entropy")
    try:
        settings = read_settings(json.loads(document))
    except (SettingsError, OverflowError) as error:
        raise ProtocolError(f"Setup: {error}") from None
    except (ValueError, RecursionError):
        raise ProtocolError("Setup is no JSON object") from None
    return messages.InstanceStarted(instance, seed_number, settings)


class MessageForm(NamedTuple):
    """How one message is written.

    Attributes:
        value_count: the number of values behind its name.
        parse: parses its line, split at spaces.
    """

    value_count: int
    parse: Callable[[list[str]], messages.Message]


MESSAGE_FORMS = {
    "order": MessageForm(8, _parse_request),
    "reply": MessageForm(8, _parse_attempt_ended),
    "wake": MessageForm(2, _parse_timer_expired),
    "expired": MessageForm(2, _parse_request_cancelled),
    "discovery": MessageForm(4, _parse_watch_event),
    "manifest": MessageForm(2, _parse_endpoint_page),
    "streaming": MessageForm(5, _parse_response_started),
    "sampled": MessageForm(5, _parse_health_checked),
    "mail": MessageForm(3, _parse_peer_message),
    "stop": MessageForm(1, _parse_instance_stopped),
}


def parse_batch_start(line: str) -> int:
    """Return the time of a batch, in microseconds."""
    name, *values = line.split(" ")
    if name != BATCH_START or len(values) != 1:
        raise ProtocolError(f"a batch must start with '{BATCH_START} TIME'")
    return _integer(values[0], "the batch clock")


def is_batch_end(line: str) -> bool:
    """Return whether a line ends its batch."""
    if line.startswith(f"{BATCH_END} "):
        raise ProtocolError(f"{BATCH_END} takes no values")
    return line == BATCH_END


def parse_message(line: str) -> messages.Message:
    """Parse one message of a batch."""
    parts = line.split(" ")
    name = parts[0]
    if name == INSTANCE_START:
        return _parse_instance_started(line)
    form = MESSAGE_FORMS.get(name)
    if form is None:
        raise ProtocolError(f"unknown message {quote(name)}")
    value_count = len(parts) - 1
    if value_count != form.value_count:
        raise ProtocolError(f"{name} takes {form.value_count} values, {value_count} came")
    return form.parse(parts)


def parse_endpoint(line: str) -> Endpoint:
    """Parse one row of a page of endpoints."""
    parts = line.split(" ")
    if parts[0] != PAGE_ROW or len(parts) - 1 != PAGE_ROW_VALUES:
        raise ProtocolError(f"a manifest takes rows of {PAGE_ROW_VALUES} values")
    _, endpoint_id, zone, machine_type, cell, readiness, weight, started_us = parts
    return Endpoint(
        id=endpoint_id,
        zone=zone,
        machine_type=machine_type,
        cell=_optional_integer(cell, "Cohort"),
        readiness=_decode(READINESS, readiness, "Readiness"),
        weight=_parse_weight(weight),
        started_us=_optional_integer(started_us, "LaunchedUs") or None,  # 0: long ago
    )


def _parse_weight(text: str) -> float:
    if text == ABSENT:
        return DEFAULT_WEIGHT
    try:
        weight = float(text)
    except ValueError:
        raise ProtocolError("Nominal is no number") from None
    return weight if weight > 0 else DEFAULT_WEIGHT
