"""Starts one sidecar, reloads on SIGHUP, ends on SIGTERM, and sets the exit status."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
import time
from functools import partial
from pathlib import Path

import uvloop

from corkdoor.sidecar.clients.server import Server
from corkdoor.sidecar.clock import now_us
from corkdoor.sidecar.config import Config, ConfigError, load
from corkdoor.sidecar.proxy import Proxy, request_log
from corkdoor.sidecar.signals import SignalActions

ACCEPT_S = 0.6  # all is served for so long after SIGTERM at least: the front sends some for up to 0.4 s
LONGEST_S = 3.0  # SIGKILL comes this, or the longest deadline if that is shorter, and 0.7 s after SIGTERM
AFTER_LONGEST_S = 0.4  # so that everything is answered by then
SERVE_SHARE = 0.75  # of that time, how long kept connections are served: the rest is for what is open then
FLUSH_S = 0.2  # for the last bytes to leave, and to turn away what still comes
LAG_EVERY_S = 0.1
LAG_LOG_S = 10.0
LAG_WORTH_US = 50_000  # a lag that eats a good part of the margin for answers
REPORT_EVERY_S = 2.0
LINES_PER_S = 20
REQUEST_LINES_PER_S = 10  # of them on single requests, so that these leave room for all else
log = logging.getLogger("corkdoor.sidecar")


class Sparse(logging.Filter):
    """Lets through so many lines a second: a log that runs full would hold up every request."""

    def __init__(self, most: int = LINES_PER_S) -> None:
        super().__init__()
        self.most = most
        self.second = 0
        self.count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        if record.levelno >= logging.ERROR:
            return True
        if int(record.created) != self.second:
            self.second, self.count = int(record.created), 0
        self.count += 1
        return self.count <= self.most


async def watch_lag() -> None:
    """Log the longest lag of the event loop, sparsely: it adds to every latency that is measured here."""
    worst, next_log = 0, now_us() + int(LAG_LOG_S * 1e6)
    while True:
        before = now_us()
        await asyncio.sleep(LAG_EVERY_S)
        now = now_us()
        worst = max(worst, now - before - int(LAG_EVERY_S * 1e6))
        if now >= next_log:
            if worst >= LAG_WORTH_US:
                log.warning("the event loop was late by up to %d ms", worst // 1000)
            worst, next_log = 0, now + int(LAG_LOG_S * 1e6)


async def report(proxy: Proxy, server: Server) -> None:
    """Log the figures of the last while: a bad stretch is compared with a good one by them."""
    while True:
        await asyncio.sleep(REPORT_EVERY_S)
        log.info("figures: callers %d of %d, %s", len(server.clients), server.clients.limit, proxy.report())


def age_s() -> float:
    """How long ago this process was made: the interpreter and the imports are a part of every start."""
    fields = Path("/proc/self/stat").read_text(encoding="utf-8").rpartition(")")[2].split()
    return time.clock_gettime(time.CLOCK_BOOTTIME) - int(fields[19]) / os.sysconf("SC_CLK_TCK")


async def tell_ready(proxy: Proxy) -> None:
    """Log once how long the start took, from when on `/up` answers 200."""
    await proxy.listed.wait()
    log.info("ready after %.2f s", age_s())


async def drain(server: Server, proxy: Proxy) -> None:
    """Answer all that was taken, in time for SIGKILL, while new callers are sent elsewhere.

    Callers use the connections that they have for as long as these stay open, so those are served on for a
    while. Closing them at once would send a whole sidecar's load to its neighbours in one moment, and to
    nobody where the neighbour is about to come back from a restart of its own.
    """
    end = min(LONGEST_S, server.admission.longest_deadline_s) + AFTER_LONGEST_S
    begun_us = now_us()
    server.start_draining()
    await asyncio.sleep(max(ACCEPT_S, SERVE_SHARE * end))
    server.start_closing_connections()
    log.info("drain: %d callers, %d requests open", len(server.clients), len(proxy.requests))
    await _emptied(server, begun_us + int(end * 1e6))
    took_s = (now_us() - begun_us) / 1e6
    log.info(
        "drain: ends after %.1f s, %d callers, %d requests open",
        took_s,
        len(server.clients),
        len(proxy.requests),
    )
    proxy.end()
    server.reject_incomplete_requests()
    await _emptied(server, now_us() + int(FLUSH_S * 1e6))


async def _emptied(server: Server, until_us: int) -> None:
    """Wait until all callers have their answers and are gone, or until that time."""
    while not (server.stop_accepting() and not server.clients) and now_us() < until_us:
        server.close_idle()
        await asyncio.sleep(0.01)


def reload(server: Server) -> None:
    """Read the configuration again; a bad one is logged and changes nothing."""
    before = server.proxy.config
    try:
        server.reload(load(os.environ))
    except Exception as error:  # whatever is wrong with a file, it must not end a process that serves
        log.error("the configuration is not taken: %s", error)
        return
    config = server.proxy.config
    news = "unchanged" if config.digest == before.digest else "in force"
    bounds = config.resource_limits
    log.info(
        "the configuration is taken, settings %s: %s; bounds: callers %d, connections %d, bytes held %d",
        news,
        server.proxy.version(),
        bounds.client_connections,
        bounds.endpoint_connections,
        bounds.held_bytes,
    )


async def serve(config: Config) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    signals = SignalActions()
    for number in (signal.SIGTERM, signal.SIGINT):
        signals.handle(number, stop.set)
    proxy = Proxy(config)
    server = Server(proxy, config.resource_limits.client_connections)
    signals.handle(signal.SIGHUP, partial(reload, server))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    server.bind(config.listen.host, config.listen.port)
    proxy.start()
    chores = (
        proxy.upstream.sweep(),
        server.watch_timeouts(),
        signals.watch(),
        watch_lag(),
        report(proxy, server),
    )
    background = [loop.create_task(chore) for chore in chores]
    # What lives from here to the end need not be walked again: a full collection holds up every request.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 50)
    server.listener.start()
    settings = config.settings
    log.info(
        "%s serves on %s:%d: layer %d, copy %d of %d, zone %s",
        config.name,
        config.listen.host,
        config.listen.port,
        settings.layer,
        settings.instance_index,
        settings.instance_count,
        settings.zone or "-",
    )
    background.append(loop.create_task(tell_ready(proxy)))
    await stop.wait()
    await drain(server, proxy)
    for task in background:
        task.cancel()


def main() -> int:
    # From before the configuration is read until the handler is set: a reload asked for then is due
    # afterwards. What came earlier was ignored (`run` in deploy/balancer.toml); the file is read after it.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    handler = logging.StreamHandler()
    handler.addFilter(Sparse())
    request_log.addFilter(Sparse(REQUEST_LINES_PER_S))
    logging.basicConfig(
        level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", handlers=[handler]
    )
    try:
        config = load(os.environ)
        runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        runner.run(serve(config))
    except (ConfigError, OSError) as error:
        print(f"corkdoor.sidecar: {error}", file=sys.stderr)
        return 1
    # Not by way of the interpreter's end: that gives signals back, and a reload that is asked for then, or a
    # second SIGTERM, would end the process in its own way. All is answered, and the log is not buffered.
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
