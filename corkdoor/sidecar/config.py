"""Reads the configuration of a sidecar from environment variables and from the JSON file that they name.

The configuration is read at the start, and again on each reload.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from corkdoor.settings import Settings
from corkdoor.settings_reader import read_settings
from corkdoor.sidecar.discovery.endpoint_list import EndpointList, read_endpoint_list
from corkdoor.sidecar.resource_limits import ResourceLimits

DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
MAX_PORT = 65535
MAX_LIMIT = 1 << 53  # limits are below it: above 2**53 a float can't represent every integer
DIGEST_CHARS = 8


class ConfigError(Exception):
    """A configuration that can't be used.

    Attributes:
        key: the name of the rejected value in the environment or the file.
        reason: what was expected and what was found, for operators.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


class ConfigFileError(ConfigError):
    """The file is missing, can't be read, or doesn't contain a JSON object."""


class InvalidValueError(ConfigError):
    """A value is missing or invalid."""


class ImmutableValueError(ConfigError):
    """A reload changes a value that must stay the same until the process ends."""


@dataclass(frozen=True, slots=True)
class Address:
    """A host, by name or IP address, and a TCP port."""

    host: str
    port: int

    def __str__(self) -> str:
        """The address as it is written in the file: `host:port`."""
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Config:
    """The whole configuration of a sidecar.

    Attributes:
        name: the sidecar's name, for the log.
        listen: the address on which it accepts clients.
        discovery: the address of discovery, which provides endpoint lists.
        seed: the seed of the balancer's random draws.
        resource_limits: the limits on connections, and on the bytes of requests and responses.
        cached_list: the endpoint list in use until discovery responds.
        settings: the balancer's settings.
        digest: a digest of the settings as the file states them; it identifies the current settings.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    resource_limits: ResourceLimits
    cached_list: EndpointList
    settings: Settings
    digest: str = "-"


def load(environ: Mapping[str, str]) -> Config:
    """Read the configuration: the environment variables, and the file that `GW_CONFIG` names.

    Environment variables take precedence over the same values in the file, except for discovery's address.
    There the file takes precedence, because it may be replaced while the process runs, and the environment
    can't.

    Raises:
        ConfigError: the configuration can't be used, neither for a start nor for a reload.
    """
    path = environ.get("GW_CONFIG")
    if not path:
        raise ConfigFileError("GW_CONFIG", "must be set to the path of the configuration file")
    document = _read_document(path)
    settings = _read_settings(document.get("settings"))
    cached_list = _read_cached_list(document.get("known"))
    return Config(
        name=environ.get("GW_NAME") or str(document.get("name", "")),
        listen=parse_address(environ.get("GW_LISTEN") or document.get("listen"), "GW_LISTEN"),
        discovery=parse_address(document.get("discovery") or environ.get("GW_DISCOVERY"), "discovery"),
        seed=_parse_seed(document.get("seed")),
        resource_limits=ResourceLimits.divide(
            int(_read_limit(document, "sockets", DEFAULT_MAX_SOCKETS)),
            _read_limit(document, "memory_mb", DEFAULT_MEMORY_MB),
        ),
        cached_list=cached_list,
        settings=settings,
        digest=_digest(document["settings"]),
    )


def check_immutable_values(old: Config, new: Config) -> None:
    """Check that a reload keeps the values by which clients and the platform identify the process.

    Raises:
        ImmutableValueError: one of these values has changed.
    """
    immutable: tuple[tuple[str, object, object], ...] = (
        ("name", old.name, new.name),
        ("listen", old.listen, new.listen),
        ("settings: Layer", old.settings.layer, new.settings.layer),
    )
    for key, current, new_value in immutable:
        if new_value != current:
            raise ImmutableValueError(key, f"must stay {current} while the process runs, got {new_value}")


def parse_address(text: object, key: str) -> Address:
    """Parse `host:port`; a text of another form raises InvalidValueError with this `key`."""
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not (port.isascii() and port.isdigit()) or int(port) > MAX_PORT:
        raise InvalidValueError(key, f"expects host:port, got {text!r}")
    return Address(host, int(port))


def _read_document(path: str) -> dict[str, Any]:
    try:
        document = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigFileError("GW_CONFIG", f"{path}: {error.strerror}") from None
    except (ValueError, RecursionError):
        raise ConfigFileError("GW_CONFIG", f"{path}: can't be parsed as JSON") from None
    if not isinstance(document, dict):
        raise ConfigFileError("GW_CONFIG", f"{path}: must contain a JSON object")
    return document


def _read_settings(document: object) -> Settings:
    try:
        return read_settings(document)
    except (ValueError, OverflowError) as error:
        raise InvalidValueError("settings", str(error)) from None


def _read_cached_list(document: object) -> EndpointList:
    try:
        return read_endpoint_list(document)
    except (ValueError, OverflowError) as error:
        raise InvalidValueError("known", str(error)) from None


def _parse_seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise InvalidValueError("seed", f"expects a hexadecimal number, got {value!r}") from None


def _read_limit(document: dict[str, Any], key: str, default: int) -> float:
    limits = document.get("limits")
    value = limits.get(key, default) if isinstance(limits, dict) else default
    if isinstance(value, bool) or not isinstance(value, int | float) or not 1 <= value < MAX_LIMIT:
        raise InvalidValueError(
            f"limits.{key}", f"expects a number of at least 1 and below 2**53, got {value!r}"
        )
    return float(value)


def _digest(settings: object) -> str:
    """Return a short digest, which doesn't depend on the order of keys or the layout of the file."""
    text = json.dumps(settings, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARS]
