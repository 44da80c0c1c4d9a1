"""`python -m emulator overload`: runs a scenario with several seeds and prints how late sidecars were."""

from __future__ import annotations

from typing import Annotated

import typer

from emulator.overloaded_discovery.scenario import MS, OverloadResult, OverloadScenario, S
from emulator.overloaded_discovery.simulation import Simulation

app = typer.Typer(add_completion=False)


@app.callback(invoke_without_command=True)
def overload(
    sidecars: Annotated[int, typer.Option(help="sidecars of all tiers: they share one discovery")] = 7,
    cost_ms: Annotated[float, typer.Option(help="service time of a poll at discovery")] = 280.0,
    capacity: Annotated[
        int, typer.Option("--capacity", "--room", help="polls that may wait in the queue")
    ] = 1,
    lost: Annotated[float, typer.Option(help="share of responses that are lost")] = 0.0,
    queue_limit_s: Annotated[
        float | None, typer.Option(help="longest wait in the queue; then a poll is rejected")
    ] = None,
    change_ms: Annotated[float, typer.Option(help="mean time between two changes of the list")] = 4_000.0,
    move_ms: Annotated[
        float | None, typer.Option(help="mean time between address changes at one sidecar")
    ] = None,
    seeds: Annotated[int, typer.Option(help="number of seeds, starting with 1")] = 20,
) -> None:
    """Simulate an overloaded discovery, and print how late sidecars know of changes of the list."""
    scenarios = [
        OverloadScenario(
            sidecars,
            int(cost_ms * MS),
            capacity,
            lost,
            address_change_interval_us=None if move_ms is None else int(move_ms * MS),
            list_change_interval_us=int(change_ms * MS),
            queue_limit_us=None if queue_limit_s is None else int(queue_limit_s * S),
            seed=seed,
        )
        for seed in range(1, seeds + 1)
    ]
    results = [Simulation(scenario).run() for scenario in scenarios]
    description = (
        f"{sidecars} sidecars, {cost_ms:g} ms a poll, capacity {capacity}, {lost:.0%} lost,"
        f" a list change every {change_ms:g} ms"
    )
    print(f"{description}: {_summary(results)}")


def _summary(results: list[OverloadResult]) -> str:
    delays_us = sorted(delay_us for result in results for delay_us in result.delays_us)
    late = sum(result.late for result in results)
    late_seeds = sum(result.late > 0 for result in results)
    longest_s, p99_s = delays_us[-1] / S, delays_us[int(0.99 * len(delays_us))] / S
    polls, rejected = sum(result.polls for result in results), sum(result.rejected for result in results)
    return (
        f"{late_seeds} of {len(results)} seeds with late changes, {late} of {len(delays_us)} changes late;"
        f" longest delay {longest_s:.1f} s, p99 {p99_s:.1f} s; {polls} polls, {rejected} rejected"
    )
