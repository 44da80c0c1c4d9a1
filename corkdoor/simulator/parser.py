"""Parses the lines of the simulator; each ProtocolError names a value as the protocol does."""

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
INSTANCE_START_VALUES = 3  # number of values of an instance start; the last value contains spaces
PAGE_ROW = "row"
PAGE_ROW_VALUES = 7  # number of values of a row
MAX_PAGES = 16
COST_HINT_VALID = 1  # bit of a request's options: the cost hint is valid
NO_TENANT_CODES = (ABSENT, "0")
DEFAULT_WEIGHT = 1.0  # weight of an endpoint that states none, or none above 0
MAX_QUOTED_CHARACTERS = 40  # number of characters of an invalid value that an error message quotes
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
    """Return an invalid value as an error message quotes it."""
    return repr(text[:MAX_QUOTED_CHARACTERS])


def _parse_integer(text: str, name: str) -> int:
    if not INTEGER.match(text):
        raise ProtocolError(f"{name} must be an integer")
    return int(text)


def _parse_optional_integer(text: str, name: str) -> int | None:
    return None if text == ABSENT else _parse_integer(text, name)


def _parse_code(codes: Mapping[str, Code], text: str, name: str) -> Code:
    value = codes.get(text)
    if value is None:
        raise ProtocolError(f"{name} must be a known code")
    return value


# --- one function for each message; it takes the message's line, split at spaces ---


def _parse_request(parts: list[str]) -> messages.RequestReceived:
    _, instance, request_id, class_name, tenant, _key, timeout_us, cost_hint_us, options = parts
    flags = _parse_optional_integer(options, "Options") or 0
    hint_us = _parse_optional_integer(cost_hint_us, "HintUs")
    return messages.RequestReceived(
        instance,
        request_id,
        class_name,
        None if tenant in NO_TENANT_CODES else tenant,
        _parse_integer(timeout_us, "ExpiresInUs"),
        hint_us if flags & COST_HINT_VALID else None,
    )


def _parse_request_cancelled(parts: list[str]) -> messages.RequestCancelled:
    _, instance, request_id = parts
    return messages.RequestCancelled(instance, request_id)


def _parse_response_started(parts: list[str]) -> messages.ResponseStarted:
    _, instance, request_id, _endpoint_id, attempt, elapsed_us = parts
    _parse_integer(elapsed_us, "SpentUs")
    return messages.ResponseStarted(instance, request_id, _parse_integer(attempt, "Hop"))


def _parse_attempt_ended(parts: list[str]) -> messages.AttemptEnded:
    _, instance, request_id, attempt, endpoint_id, elapsed_us, closed, outcome, load = parts
    return messages.AttemptEnded(
        instance,
        request_id,
        _parse_integer(attempt, "Hop"),
        endpoint_id,
        _parse_integer(elapsed_us, "SpentUs"),
        _parse_code(FLAGS, closed, "Closed"),
        _parse_code(OUTCOMES, outcome, "Result"),
        parse_load_report(load, ":"),
    )


def _parse_timer_expired(parts: list[str]) -> messages.TimerExpired:
    _, instance, timer = parts
    return messages.TimerExpired(instance, TIMERS.get(timer))


def _parse_endpoint_page(parts: list[str]) -> messages.EndpointPage:
    number, row_count = _parse_integer(parts[1], "Page"), _parse_integer(parts[2], "Lines")
    if not 0 <= number < MAX_PAGES:
        raise ProtocolError(f"Page must be between 0 and {MAX_PAGES - 1}")
    if row_count < 0:
        raise ProtocolError("Lines must not be negative")
    return messages.EndpointPage(number, row_count)


def _parse_watch_event(parts: list[str]) -> messages.WatchEvent:
    _, instance, kind_code, generation, page = parts
    kind = _parse_code(WATCH_EVENT_KINDS, kind_code, "Form")
    _parse_optional_integer(generation, "Index")
    failed = kind is WatchEventKind.FAILED
    return messages.WatchEvent(instance, kind, None if failed else _parse_integer(page, "Page"))


def _parse_health_checked(parts: list[str]) -> messages.HealthChecked:
    _, instance, _endpoint_id, outcome, elapsed_us, _load = parts
    _parse_code(OUTCOMES, outcome, "Result")
    _parse_integer(elapsed_us, "SpentUs")
    return messages.HealthChecked(instance)


def _parse_peer_message(parts: list[str]) -> messages.PeerMessage:
    _, instance, sender, content = parts
    _parse_integer(sender, "Neighbour")
    if content != ABSENT:
        try:
            base64.b64decode(content, validate=True)
        except (binascii.Error, ValueError):
            raise ProtocolError("Octets must be valid base64") from None
    return messages.PeerMessage(instance)


def _parse_instance_stopped(parts: list[str]) -> messages.InstanceStopped:
    return messages.InstanceStopped(parts[1])


def _parse_instance_started(line: str) -> messages.InstanceStarted:
    parts = line.split(" ", INSTANCE_START_VALUES)
    value_count = len(parts) - 1
    if value_count != INSTANCE_START_VALUES:
        raise ProtocolError(f"{INSTANCE_START} expects {INSTANCE_START_VALUES} values, got {value_count}")
    _, instance, seed, document = parts
    seed_number = _parse_integer(seed, "Entropy")
    try:
        settings = read_settings(json.loads(document))
    except (SettingsError, OverflowError) as error:
        raise ProtocolError(f"Setup: {error}") from None
    except (ValueError, RecursionError):
        raise ProtocolError("Setup must be a JSON object") from None
    return messages.InstanceStarted(instance, seed_number, settings)


class MessageFormat(NamedTuple):
    """The format of one message.

    Attributes:
        value_count: the number of values after the message's name.
        parse: parses the message's line, split at spaces.
    """

    value_count: int
    parse: Callable[[list[str]], messages.Message]


MESSAGE_FORMATS = {
    "order": MessageFormat(8, _parse_request),
    "reply": MessageFormat(8, _parse_attempt_ended),
    "wake": MessageFormat(2, _parse_timer_expired),
    "expired": MessageFormat(2, _parse_request_cancelled),
    "discovery": MessageFormat(4, _parse_watch_event),
    "manifest": MessageFormat(2, _parse_endpoint_page),
    "streaming": MessageFormat(5, _parse_response_started),
    "sampled": MessageFormat(5, _parse_health_checked),
    "mail": MessageFormat(3, _parse_peer_message),
    "stop": MessageFormat(1, _parse_instance_stopped),
}


def parse_batch_start(line: str) -> int:
    """Parse the first line of a batch, and return the batch's time in microseconds."""
    name, *values = line.split(" ")
    if name != BATCH_START or len(values) != 1:
        raise ProtocolError(f"a batch must start with '{BATCH_START} TIME'")
    return _parse_integer(values[0], "the batch time")


def is_batch_end(line: str) -> bool:
    """Return whether a line ends its batch."""
    if line.startswith(f"{BATCH_END} "):
        raise ProtocolError(f"{BATCH_END} expects no values")
    return line == BATCH_END


def parse_message(line: str) -> messages.Message:
    """Parse one message of a batch."""
    parts = line.split(" ")
    name = parts[0]
    if name == INSTANCE_START:
        return _parse_instance_started(line)
    message_format = MESSAGE_FORMATS.get(name)
    if message_format is None:
        raise ProtocolError(f"unknown message {quote(name)}")
    value_count = len(parts) - 1
    if value_count != message_format.value_count:
        raise ProtocolError(f"{name} expects {message_format.value_count} values, got {value_count}")
    return message_format.parse(parts)


def parse_endpoint(line: str) -> Endpoint:
    """Parse one row of a page of endpoints."""
    parts = line.split(" ")
    if parts[0] != PAGE_ROW or len(parts) - 1 != PAGE_ROW_VALUES:
        raise ProtocolError(f"a manifest expects rows of {PAGE_ROW_VALUES} values")
    _, endpoint_id, zone, machine_type, cell, readiness, weight, started_us = parts
    return Endpoint(
        id=endpoint_id,
        zone=zone,
        machine_type=machine_type,
        cell=_parse_optional_integer(cell, "Cohort"),
        readiness=_parse_code(READINESS, readiness, "Readiness"),
        weight=_parse_weight(weight),
        started_us=_parse_optional_integer(started_us, "LaunchedUs") or None,  # 0 means long ago
    )


def _parse_weight(text: str) -> float:
    if text == ABSENT:
        return DEFAULT_WEIGHT
    try:
        weight = float(text)
    except ValueError:
        raise ProtocolError("Nominal must be a number") from None
    return weight if weight > 0 else DEFAULT_WEIGHT
