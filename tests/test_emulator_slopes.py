"""The fit against known lines, the benches, and the whole of the slopes at sizes that take seconds."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import msgspec
import numpy as np
import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from emulator.breakdown import STEPS, Stopwatch
from emulator.clients import histogram
from emulator.fit import fit
from emulator.microbench import ListBench, ModuleBench, body_of, rows_of
from emulator.sidecar import usage
from emulator.slopes import (
    MEASURES,
    Feeder,
    Point,
    Record,
    Scale,
    app,
    collect,
    read_points,
    summed,
    table,
)
from tests.http_messages import read_message
from tests.sidecar_support import run

SMOKE = Scale((5, 10, 20, 40), (20.0, 40.0), 0.4, 1, (0, 10, 20, 40), (0.0, 20.0, 40.0), 0.05)
NUMBERS = st.floats(-1e3, 1e3).map(lambda x: round(x, 3))


@given(NUMBERS, NUMBERS, st.lists(st.integers(-1000, 1000), min_size=3, max_size=20, unique=True))
def test_points_on_a_line_give_that_line_without_spread(a: float, b: float, x: list[int]) -> None:
    line = fit(x, [a + b * at for at in x])
    assert line.slope == pytest.approx(b, abs=1e-6) and line.intercept == pytest.approx(a, abs=1e-4)
    assert line.residual == pytest.approx(0, abs=1e-6) and line.slope_error < 1e-6
    assert line.points == len(x) and line.furthest == max(x)
    assert line.at(7) == pytest.approx(a + 7 * b, abs=1e-4)


def test_the_spread_is_that_of_a_known_example() -> None:
    line = fit([1, 2, 3, 4], [2.1, 3.9, 6.2, 7.8])
    # By hand: slope 1.94, residuals 0.09 -0.05 ... sum of squares 0.082, two degrees of freedom.
    assert line.slope == pytest.approx(1.94) and line.intercept == pytest.approx(0.15)
    assert line.residual == pytest.approx(0.20248, abs=1e-5)
    assert line.slope_error == pytest.approx(0.090554, abs=1e-6)
    assert line.intercept_error == pytest.approx(0.247992, abs=1e-6)
    assert line.r2 == pytest.approx(0.995661, abs=1e-6)


def test_the_true_slope_lies_within_three_errors_of_noisy_points_nearly_always() -> None:
    rng = np.random.default_rng(11)
    x = np.arange(10.0)
    lines = [fit(list(x), list(5 + 2 * x + rng.normal(0, 1, 10))) for _ in range(300)]
    within = sum(abs(line.slope - 2) < 3 * line.slope_error for line in lines)
    assert within > 285


def test_a_line_through_too_few_points_is_refused() -> None:
    with pytest.raises(ValueError, match="points or more"):
        fit([1, 2], [1, 2])
    with pytest.raises(ValueError, match="one x"):
        fit([1, 1, 1], [1, 2, 3])


def test_a_chain_adds_its_parts() -> None:
    via, direct = histogram(), histogram()
    for _ in range(100):
        via.record_value(900)
        direct.record_value(200)
    median, last = summed(via.encode().decode(), direct.encode().decode(), 27, 100)
    assert median == last == pytest.approx(27 * 700, rel=0.002)


def test_the_bench_of_the_module_sends_every_call_to_its_subset() -> None:
    bench = ModuleBench(400, 40)
    cost = bench.measure(3, 50)
    assert bench.serial == 50 + 3 * 50 and not bench.balancer.requests
    assert cost.subset == 64, "wide enough for a copy with few calls, whose cap would allow 140"
    assert cost.call_us > cost.in_use_us > 0


def test_the_bench_of_lists_leaves_the_list_as_it_was() -> None:
    async def body() -> None:
        bench = ListBench(20)
        for cost in (bench.whole(), bench.delta(), bench.renewal()):
            assert cost.parse_us > 0 and cost.take_us > 0
        assert len(bench.host.balancer.endpoints) == len(bench.host.upstream.pools) == 20
        assert len({row["instanceId"] for row in rows_of(2000)}) == 2000

    run(body())


def test_the_stopwatch_tells_a_step_apart_from_those_inside_it() -> None:
    stopwatch = Stopwatch()
    inner = stopwatch.round("inner", lambda: sum(range(20_000)))
    outer = stopwatch.round("outer", lambda: inner() and None)
    outer()
    outer()
    figures = stopwatch.figures()
    assert figures["counts"] == {"inner": 2, "outer": 2}
    assert 0 <= figures["self_us"]["outer"] < figures["self_us"]["inner"]


def test_every_step_of_the_breakdown_is_there() -> None:
    for _, owner, method in STEPS:
        assert callable(getattr(owner, method))


def test_a_feeder_answers_each_watch_with_the_next_list() -> None:
    async def body() -> None:
        async with Feeder([body_of(2, False, []), body_of(3, True, rows_of(2))]) as feeder:
            host, _, port = feeder.address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            got = []
            for _ in range(3):
                writer.write(b"GET /discovery/hosts?after=1&wait_ms=1000 HTTP/1.1\r\nHost: a\r\n\r\n")
                got.append(json.loads((await read_message(reader)).body)["generation"])
            assert got == [2, 3, 2] and feeder.answered == 3

    run(body())


def test_records_come_back_as_they_were_kept(tmp_path: Path) -> None:
    points = [Point("a", "n", float(x), 2.0 * x, "us", x != 4, {"run": x}) for x in range(5)]
    record = Record(tmp_path, "a")
    for point in points:
        record.keep(point)
    assert read_points([record.path]) == points
    line = json.loads(record.path.read_text().splitlines()[0])
    assert {"at", "commit", "load1", "measurement"} <= line.keys()
    with pytest.raises(msgspec.MsgspecError):
        read_points([Path(__file__)])


def test_what_did_not_hold_its_rate_takes_no_part_in_the_fit(tmp_path: Path) -> None:
    record = Record(tmp_path, "a")
    for x in range(5):
        record.keep(Point("a", "n", x, 1000.0 if x == 4 else 2.0 * x, "us", x != 4))
    shown = CliRunner().invoke(app, ["--show", str(record.path)])
    assert shown.exit_code == 0, shown.output
    assert "2 ± 0" in shown.output and "6 at 3" in shown.output and "1000" not in shown.output


def test_an_unknown_measurement_is_refused() -> None:
    result = CliRunner().invoke(app, ["--only", "weather"])
    assert result.exit_code == 2 and "weather" in result.output


@pytest.mark.parametrize("name", MEASURES)
def test_each_measurement_gives_a_point_for_each_of_its_sizes(name: str) -> None:
    async def body() -> None:
        points = await collect(MEASURES[name], SMOKE, lambda _: None)
        for point in points:
            json.dumps(msgspec.to_builtins(point))
            assert point.x >= 0 and point.name and point.unit
        groups = {point.name for point in points}
        for group in groups:
            assert len([p for p in points if p.name == group]) >= (2 if name == "latency" else 3)
        assert len(table(points).rows) == len(groups)

    asyncio.run(asyncio.wait_for(body(), 60))


def test_a_process_that_ended_has_no_usage() -> None:
    with pytest.raises(OSError):
        usage(1 << 30)
