"""The environment variables that a sidecar process is started with."""

from __future__ import annotations

import os
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
VARIABLE_PREFIX = "GW_"  # of the environment variables that the sidecar reads


def sidecar_environment(config_path: Path) -> dict[str, str]:
    """Return this process's variables without those of a sidecar, plus the path of its configuration."""
    environment = {name: value for name, value in os.environ.items() if not name.startswith(VARIABLE_PREFIX)}
    return environment | {"GW_CONFIG": str(config_path)}
