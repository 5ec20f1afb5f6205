"""Partition of entries and upstreams into groups."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from carobspool_core.direct import group_count, group_of_entry, upstreams_of_group


def _names(count: int) -> list[str]:
    return [f"entry-{number}" for number in range(count)]


def _ids(count: int) -> list[str]:
    return [f"i-{number:08x}" for number in range(count)]


@pytest.mark.parametrize(
    ("entries", "upstreams", "expected"),
    [(4, 5, 1), (24, 27, 1), (58, 30, 1), (28, 300, 1), (100, 1_000, 6), (380, 414, 12)],
)
def test_group_count_leaves_enough_entries_and_upstreams_per_group(
    entries: int, upstreams: int, expected: int
) -> None:
    assert group_count(entries=entries, upstreams=upstreams) == expected


# No part of a time limit: the examples with the most entries take long on a busy machine.
@settings(deadline=None)
@given(st.integers(1, 200), st.integers(1, 12))
def test_groups_have_equal_sizes_and_contain_each_entry_once(entries: int, groups: int) -> None:
    names = _names(entries)
    groups_by_entry = {name: group_of_entry(name, names, groups) for name in names}
    parts = dict(groups_by_entry.values())
    assert sum(len(members) for members in parts.values()) == entries
    for name, (number, members) in groups_by_entry.items():
        assert name in members
        assert parts[number] == members
    sizes = [len(members) for members in parts.values()]
    if entries >= groups:
        assert len(parts) == groups
        assert max(sizes) - min(sizes) <= 1


@given(st.integers(0, 400), st.integers(1, 12))
def test_each_upstream_of_a_large_service_belongs_to_one_group(count: int, groups: int) -> None:
    ids = _ids(count)
    parts = [upstreams_of_group(ids, ids, number, groups) for number in range(groups)]
    if count < 8 * groups or groups == 1:
        assert all(list(part) == ids for part in parts)
        return
    assert sorted(each for part in parts for each in part) == sorted(ids)
    sizes = [len(part) for part in parts]
    assert max(sizes) - min(sizes) <= 1


def test_few_members_move_when_an_upstream_or_entry_leaves() -> None:
    """After each move an entry has to open new connections and knows no loads at first."""
    ids = _ids(414)
    before = [set(upstreams_of_group(ids, ids, number, 12)) for number in range(12)]
    remaining = ids[:200] + ids[201:]
    after = [set(upstreams_of_group(remaining, remaining, number, 12)) for number in range(12)]
    assert all(len(new - old) <= 1 for old, new in zip(before, after, strict=True))
    names = _names(380)
    moved = sum(
        group_of_entry(name, names, 12)[0] != group_of_entry(name, names[:-1], 12)[0]
        for name in names[:-1]
    )
    assert moved <= 12
