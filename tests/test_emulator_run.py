"""The player: what it works out, and a short run of hollow sidecars in two processes."""

from __future__ import annotations

import ast
import asyncio
import json
from pathlib import Path
from typing import Any

import msgspec
import pytest
import uvloop
from rich.console import Console

from emulator import run as fleet_run
from emulator.run import (
    Changed,
    Player,
    PlayError,
    Record,
    Told,
    keep,
    last_applied_s,
    last_asked_s,
    last_told_s,
    running_at,
)
from emulator.scenario import Scenario, parse

S = 1_000_000_000

SHORT: dict[str, Any] = {
    "name": "short",
    "seed": 7,
    "sizes": [60],
    "seconds": 9,
    "processes": 2,
    "start_spread_s": 0.2,
    "load": {"calls_per_s": 2.0, "service_ms": 5.0},
    "events": [
        {"kind": "measure", "at_s": 1, "name": "window", "seconds": 1},
        {"kind": "change", "at_s": 1, "times": 2, "every_s": 0.5},
        {"kind": "outage", "at_s": 2.5, "seconds": 1},
        {"kind": "zone_lost", "at_s": 5.5, "zone": 1, "noticed_after_s": 0.5, "back_after_s": 1},
        {"kind": "settings", "at_s": 8},
    ],
}


def quiet() -> Console:
    return Console(quiet=True)


def play(scenario: Scenario, size: int) -> dict[str, Record]:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return {record.measurement: record for record in runner.run(fleet_run.play(scenario, size, quiet()))}


# --- what is worked out ---


def test_the_last_to_apply_a_change_counts_and_a_later_generation_holds_it() -> None:
    change = Changed("change", "a", 5, 10 * S)
    told = {0: [Told(0, 4, 11 * S), Told(0, 5, 12 * S)], 1: [Told(1, 7, 13 * S)], 2: [Told(2, 4, 11 * S)]}
    assert last_applied_s(change, [0, 1], told) == 3.0
    assert last_applied_s(change, [0, 1, 2], told) is None
    assert last_applied_s(change, [3], told) is None


def test_who_runs_at_a_moment_follows_the_order_of_kills_and_starts() -> None:
    lives = [(5, [1, 2], False), (0, [0, 1, 2], True), (9, [2], True), (9, [2], False)]
    assert running_at(4, [0, 1, 2], lives) == [0, 1, 2]
    assert running_at(5, [0, 1, 2], lives) == [0]
    assert running_at(9, [0, 1, 2], lives) == [0, 2]


def test_the_last_to_be_told_after_a_moment() -> None:
    told = {0: [Told(0, 1, 1 * S), Told(0, 1, 12 * S)], 1: [Told(1, 1, 14 * S), Told(1, 1, 20 * S)]}
    assert last_told_s(10 * S, [0, 1], told) == 4.0
    assert last_told_s(13 * S, [0, 1], told) is None


def test_the_last_to_ask_is_the_last_new_connection() -> None:
    arrivals = [(1.0, 1), (1.5, 1), (2.0, 2), (2.5, 1), (4.0, 3)]
    assert last_asked_s(1.0, 3, arrivals) == 3.0
    assert last_asked_s(3.0, 2, arrivals) == 0.0
    assert last_asked_s(1.0, 4, arrivals) is None


def test_records_are_added_to_those_kept(tmp_path: Path) -> None:
    scenario = parse(SHORT)
    for value in (1.0, 2.0):
        path = keep([Record("short", 60, "x", value, "s", True)], scenario, tmp_path, trial=value == 2.0)
    lines = [json.loads(line) for line in path.read_text(encoding="utf-8").splitlines()]
    assert [line["value"] for line in lines] == [1.0, 2.0]
    assert [line["trial"] for line in lines] == [False, True]
    assert {"taken", "commit", "seed", "size", "measurement", "unit", "held"} <= lines[0].keys()


# --- runs ---


def test_a_short_run_reaches_all_sixty() -> None:
    records = play(parse(SHORT), 60)
    for name in ("start.last_asked", "change.last_applied", "outage.last_asked", "outage.last_told"):
        assert records[name].value is not None, records[name]
    assert records["change.last_applied"].detail["count"] == 2
    assert records["outage.last_told"].detail["count"] == 60
    # Only those that still ran are waited for: the zone is back 0.5 s after the change.
    lost = records["zone_lost.last_applied"].value
    assert lost is not None and lost < 0.5
    assert records["zone_back.last_applied"].value is not None
    assert records["zone_back.last_asked"].value is not None
    assert records["run.calls"].detail["kinds"]["watch"] >= 120  # once at the start, once after the outage
    assert records["run.calls"].detail["synthetic"]["ok"] > 0
    assert (records["window.rss"].value or 0) > 0
    settings = records["settings.last_in_force"]
    assert settings.value is not None and settings.value < 3.0


def test_a_run_that_was_late_counts_for_nothing() -> None:
    late = {**SHORT, "sizes": [2], "seconds": 1, "events": [], "latest_ms": 0.000001}
    records = play(parse(late), 2)
    assert records["emulator.late_p99"].note.startswith("it could not hold")
    assert not any(record.held for record in records.values())


def test_a_process_that_ends_fails_the_run_and_the_others_are_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scenario = parse({**SHORT, "sizes": [4], "seconds": 2, "events": []})
    players: list[Player] = []
    begin = Player.begin

    async def begin_and_lose_one(player: Player) -> None:
        await begin(player)
        players.append(player)
        player.hollow[0].process.kill()

    monkeypatch.setattr(Player, "begin", begin_and_lose_one)
    with pytest.raises(PlayError, match="has ended"):
        play(scenario, 4)
    assert all(one.process.returncode is not None for one in players[0].hollow)


def test_a_failed_run_is_kept_as_such(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def fail(*_: object) -> list[Record]:
        raise PlayError("for a test")

    monkeypatch.setattr(fleet_run, "play", fail)
    assert not fleet_run.play_kept(parse(SHORT), 60, tmp_path, quiet())
    line = msgspec.json.decode((tmp_path / "short.jsonl").read_bytes())
    assert (line["value"], line["held"], line["note"]) == (None, False, "failed: for a test")


# --- what stands apart ---


def test_the_sidecar_imports_nothing_of_the_emulator_and_is_not_deployed_with_it() -> None:
    root = Path(__file__).parent.parent
    for path in (root / "corkdoor").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            names = [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
            names += [node.module or ""] if isinstance(node, ast.ImportFrom) else []
            assert not any(name.partition(".")[0] == "emulator" for name in names), path
    assert "emulator" not in (root / "deploy" / "balancer.toml").read_text(encoding="utf-8")
