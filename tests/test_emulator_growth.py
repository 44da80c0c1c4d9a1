"""The table of growth: its limits, and a short run of it."""

from __future__ import annotations

import asyncio

import pytest

from emulator.growth import MEGABYTE, Needs, compare_needs, measure_both

USUAL = Needs(200, 1.0, 30 * MEGABYTE, 100, 110, 40 * 1024, 1.0, True)
AT_THE_LIMIT = Needs(3200, 1.8039, int(65.8 * MEGABYTE), 240, 315, 1744 * 1024, 0.85, True)


def test_each_need_at_its_limit_is_allowed() -> None:
    assert [row.need for row in compare_needs(USUAL, AT_THE_LIMIT) if not row.within_limit] == []


@pytest.mark.parametrize(
    ("changed", "need"),
    [
        ({"cpu_s": 1.81}, "processor time, s"),
        ({"peak_memory_bytes": 66 * MEGABYTE}, "peak memory, MB"),
        ({"descriptors": 241}, "descriptors"),
        ({"connections": 316}, "connections to endpoints"),
        ({"list_bytes": 1745 * 1024}, "bytes of lists, KB"),
        ({"share_served": 0.84}, "share served"),
    ],
)
def test_each_need_past_its_limit_is_reported(changed: dict[str, float], need: str) -> None:
    large = Needs(**{**{name: getattr(AT_THE_LIMIT, name) for name in Needs.__struct_fields__}, **changed})
    assert [row.need for row in compare_needs(USUAL, large) if not row.within_limit] == [need]


def test_short_run_measures_both_sizes() -> None:
    few, many = asyncio.run(measure_both(8, 32, 3.0))
    assert (few.endpoints, many.endpoints) == (8, 32)
    for needs in (few, many):
        assert needs.share_served > 0.5
        assert needs.cpu_s > 0
        assert needs.peak_memory_bytes > MEGABYTE
        assert needs.connections > 0
        assert needs.list_bytes > 0
        assert needs.descriptors > 5
