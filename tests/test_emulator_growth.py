"""The table of growth: its limits, and a short run of it."""

from __future__ import annotations

import asyncio

import pytest

from emulator.growth import MEGABYTE, Needs, compare, rows

USUAL = Needs(200, 1.0, 30 * MEGABYTE, 100, 110, 40 * 1024, 1.0, True)
AT_THE_LIMIT = Needs(3200, 1.8039, int(65.8 * MEGABYTE), 240, 315, 1744 * 1024, 0.85, True)


def test_each_need_is_held_at_its_limit() -> None:
    assert [row.need for row in rows(USUAL, AT_THE_LIMIT) if not row.held] == []


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
def test_each_need_past_its_limit_is_told(changed: dict[str, float], need: str) -> None:
    large = Needs(**{**{name: getattr(AT_THE_LIMIT, name) for name in Needs.__struct_fields__}, **changed})
    assert [row.need for row in rows(USUAL, large) if not row.held] == [need]


def test_short_run_measures_both_sizes() -> None:
    few, many = asyncio.run(compare(8, 32, 3.0))
    assert (few.endpoints, many.endpoints) == (8, 32)
    for needs in (few, many):
        assert needs.share_served > 0.5
        assert needs.cpu_s > 0 and needs.peak_memory_bytes > MEGABYTE
        assert needs.connections > 0 and needs.list_bytes > 0 and needs.descriptors > 5
