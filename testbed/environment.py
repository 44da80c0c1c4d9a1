"""The environment that a sidecar's process is started with."""

from __future__ import annotations

import os
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SETTINGS_PREFIX = "GW_"


def sidecar_environment(config_path: Path) -> dict[str, str]:
    """Return this process's variables, with the sidecar's own replaced by the path of its configuration."""
    environment = {name: value for name, value in os.environ.items() if not name.startswith(SETTINGS_PREFIX)}
    return environment | {"GW_CONFIG": str(config_path)}
