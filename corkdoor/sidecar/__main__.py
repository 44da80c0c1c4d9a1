"""Starts one sidecar, and sets the exit status."""

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
    """Run the sidecar; return 1 where it can't start, and exit with 0 after a graceful shutdown."""
    # Until its handler is set a reload waits; `run` in deploy/balancer.toml ignores earlier ones, which the
    # file that is read below holds already.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    configure_logging()
    try:
        config = load(os.environ)
        # Never closed: that restores the signals' defaults, and a late SIGHUP would end the process.
        runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        runner.run(run(config))
    except (ConfigError, OSError) as error:
        print(f"corkdoor.sidecar: {error}", file=sys.stderr)
        return 1
    # Not by way of the interpreter's end, which restores them too. All is answered, and the log unbuffered.
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
