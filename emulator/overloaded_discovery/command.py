"""`python -m emulator overload`: plays a scenario with several seeds and sums up how late sidecars were."""

from __future__ import annotations

from typing import Annotated

import typer

from emulator.overloaded_discovery.scenario import MS, OverloadResult, OverloadScenario, S
from emulator.overloaded_discovery.simulation import Simulation

app = typer.Typer(add_completion=False)


@app.callback(invoke_without_command=True)
def overload(
    sidecars: Annotated[int, typer.Option(help="of all tiers: discovery is one service")] = 7,
    cost_ms: Annotated[float, typer.Option(help="what a poll costs discovery")] = 280.0,
    capacity: Annotated[int, typer.Option("--capacity", "--room", help="polls that may wait")] = 1,
    lost: Annotated[float, typer.Option(help="share of responses that are lost")] = 0.0,
    queue_limit_s: Annotated[float | None, typer.Option(help="after which a poll is rejected")] = None,
    change_ms: Annotated[float, typer.Option(help="mean time between two changes")] = 4_000.0,
    move_ms: Annotated[float | None, typer.Option(help="mean time between moves of one sidecar")] = None,
    seeds: Annotated[int, typer.Option(help="how many, from 1 on")] = 20,
) -> None:
    """Moves and changes at an overloaded discovery: how late sidecars know them, by a simulated clock."""
    scenarios = [
        OverloadScenario(
            sidecars,
            int(cost_ms * MS),
            capacity,
            lost,
            move_interval_us=None if move_ms is None else int(move_ms * MS),
            change_interval_us=int(change_ms * MS),
            queue_limit_us=None if queue_limit_s is None else int(queue_limit_s * S),
            seed=seed,
        )
        for seed in range(1, seeds + 1)
    ]
    results = [Simulation(scenario).play() for scenario in scenarios]
    played = (
        f"{sidecars} sidecars, {cost_ms:g} ms a poll, capacity {capacity}, {lost:.0%} lost,"
        f" a change in {change_ms:g} ms"
    )
    print(f"{played}: {_summary(results)}")


def _summary(results: list[OverloadResult]) -> str:
    delays_us = sorted(delay_us for result in results for delay_us in result.delays_us)
    late = sum(result.late for result in results)
    late_seeds = sum(result.late > 0 for result in results)
    longest_s, p99_s = delays_us[-1] / S, delays_us[int(0.99 * len(delays_us))] / S
    polls, rejected = sum(result.polls for result in results), sum(result.rejected for result in results)
    return (
        f"{late_seeds} of {len(results)} seeds late, {late} of {len(delays_us)} changes;"
        f" longest {longest_s:.1f} s, 99th {p99_s:.1f} s; {polls} polls, {rejected} rejected"
    )
