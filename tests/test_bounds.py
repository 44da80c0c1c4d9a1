"""Configurations that leave something out, or hold numbers past all bounds."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from corkdoor.settings_reader import read_settings
from tests.sidecar_support import SETUP, started


def test_inner_tier_starts_where_the_names_of_tiers_are_left_out() -> None:
    assert read_settings({**SETUP, "Tiers": None, "Layer": 2}).layer == 2


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({"settings": {**SETUP, "OverShareWorth": 10**400}}, "settings"),
        ({"settings": SETUP, "limits": {"memory_mb": 10**400}}, "limits.memory_mb"),
        ({"settings": SETUP, "limits": {"sockets": float("inf")}}, "limits.sockets"),
    ],
)
def test_numbers_past_all_bounds_end_with_one_line(
    tmp_path: Path, changes: dict[str, Any], reason: str
) -> None:
    process = started(tmp_path, changes)
    _, said = process.communicate(timeout=20)
    assert (process.returncode, len(said.splitlines())) == (1, 1)
    assert reason in said
