"""Runs one sidecar process: its start, reloads on SIGHUP, and graceful shutdown on SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import time
from functools import partial
from pathlib import Path

from corkdoor.log_events import LogEvent
from corkdoor.sidecar.clients.server import Server
from corkdoor.sidecar.config import Config, ConfigError, load
from corkdoor.sidecar.event_loop_lag import log_event_loop_lag
from corkdoor.sidecar.graceful_shutdown import shut_down
from corkdoor.sidecar.proxy import Proxy
from corkdoor.sidecar.signals import SignalActions
from corkdoor.sidecar.status_report import take_status_line

STATUS_INTERVAL_S = 2.0
GC_THRESHOLDS = (20_000, 20, 50)  # above the defaults, since a garbage collection delays every request
# Index of the process's start time in /proc/PID/stat, counted from the field after the program's name.
STAT_START_TIME_INDEX = 19
log = logging.getLogger(__name__)


async def run(config: Config) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully."""
    stop = asyncio.Event()
    signals = SignalActions()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signals.handle(signal_number, stop.set)
    proxy = Proxy(config)
    server = Server(proxy, config.resource_limits.client_connections)
    signals.handle(signal.SIGHUP, partial(reload, server))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    server.bind(config.listen.host, config.listen.port)
    proxy.start()
    background_tasks = _start_periodic_tasks(proxy, server, signals)
    _freeze_heap()
    server.listener.start()
    _log_serving(config)
    background_tasks.append(asyncio.create_task(_log_ready(proxy)))
    await stop.wait()
    # A reload matters as long as requests are forwarded: it may name another discovery.
    await shut_down(server, proxy, on_rejecting=partial(signals.ignore, signal.SIGHUP))
    for task in background_tasks:
        task.cancel()


def reload(server: Server) -> None:
    """Read the configuration again and apply it; an invalid one is logged and changes nothing."""
    old_config = server.proxy.config
    try:
        server.reload(load(os.environ))
    except ConfigError as error:
        log.error(LogEvent("config_rejected", key=error.key, reason=error.reason))
        return
    except Exception as error:  # no error in a file may end a process that is serving
        log.error(LogEvent("config_rejected", key="-", reason=f"{type(error).__name__}: {error}"))
        return
    config = server.proxy.config
    limits = config.resource_limits
    log.info(
        LogEvent(
            "config_reloaded",
            changed=config.digest != old_config.digest,
            **server.proxy.settings_version_fields(),
            max_clients=limits.client_connections,
            max_connections=limits.endpoint_connections,
            max_held_bytes=limits.held_bytes,
        )
    )


def _start_periodic_tasks(proxy: Proxy, server: Server, signals: SignalActions) -> list[asyncio.Task[None]]:
    periodic_tasks = (
        proxy.upstream.sweep(),
        server.check_timeouts(),
        signals.run_missed(),
        log_event_loop_lag(),
        _log_status(proxy, server),
    )
    return [asyncio.create_task(task) for task in periodic_tasks]


def _freeze_heap() -> None:
    """Exempt the objects that exist now from garbage collection: most live as long as the process."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


async def _log_status(proxy: Proxy, server: Server) -> None:
    while True:
        await asyncio.sleep(STATUS_INTERVAL_S)
        log.info(take_status_line(proxy, len(server.clients), server.clients.limit))


def _log_serving(config: Config) -> None:
    settings = config.settings
    log.info(
        LogEvent(
            "serving",
            name=config.name,
            address=config.listen,
            layer=settings.layer,
            instance=settings.instance_index,
            instances=settings.instance_count,
            zone=settings.zone or "-",
        )
    )


async def _log_ready(proxy: Proxy) -> None:
    """Log once how long the start took, up to the moment from which `/up` responds with 200."""
    await proxy.endpoint_updates.has_endpoints.wait()
    log.info(LogEvent("ready", after_s=process_age_s()))


def process_age_s() -> float:
    """Return the time since the process was created; it includes the interpreter's start and the imports."""
    fields = Path("/proc/self/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    started_s = int(fields[STAT_START_TIME_INDEX]) / os.sysconf("SC_CLK_TCK")
    return time.clock_gettime(time.CLOCK_BOOTTIME) - started_s
