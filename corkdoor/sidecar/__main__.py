"""Starts one sidecar, and returns its exit status."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

import uvloop

from corkdoor.sidecar.config import ConfigError, load
from corkdoor.sidecar.log_limits import configure_logging
from corkdoor.sidecar.process import run


def main() -> int:
    """Run the sidecar; return 1 if it can't start, and exit with 0 after a graceful shutdown."""
    # SIGHUP stays pending until its handler is set, so a reload that is requested during the start is carried
    # out later. The `run` command in deploy/balancer.toml ignores SIGHUP before this point: such a reload is
    # not needed, since the configuration file is read only below.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    configure_logging()
    try:
        config = load(os.environ)
        # The runner is never closed: closing it restores the default actions of the signals, and a SIGHUP
        # after that would end the process.
        runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        runner.run(run(config))
    except (ConfigError, OSError) as error:
        print(f"corkdoor.sidecar: {error}", file=sys.stderr)
        return 1
    # `os._exit` skips the interpreter's finalization, which restores the default actions of the signals too.
    # Nothing is lost: all requests have had their responses, and the log is unbuffered.
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
