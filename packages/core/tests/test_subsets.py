"""Subsets: the sidecars that each entry connects to."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from carobspool_core import make_subset_assignment, subset_size


def assignment(entries: int, sidecars: int) -> dict[str, list[str]]:
    """Return the assignment computed from scratch for a fleet."""
    subsets = make_subset_assignment()
    subsets.set_members(
        [f"entry-{n}" for n in range(entries)], [f"up-{n}" for n in range(sidecars)]
    )
    return subsets.all_subsets()


def entries_per_sidecar(assigned: dict[str, list[str]]) -> Counter[str]:
    """Return the number of entries of each sidecar."""
    return Counter(host for hosts in assigned.values() for host in hosts)


def test_small_site_is_a_full_mesh() -> None:
    """With nine sidecars every entry connects to all of them."""
    assert {len(hosts) for hosts in assignment(3, 9).values()} == {9}


def test_large_fleet_covers_every_sidecar_evenly() -> None:
    """With 380 entries and 414 sidecars of a model each sidecar has 20 to 24 entries."""
    assigned = assignment(380, 414)
    assert {len(hosts) for hosts in assigned.values()} == {24}
    counts = entries_per_sidecar(assigned)
    assert len(counts) == 414
    assert 20 <= min(counts.values()) <= max(counts.values()) <= 24


@settings(max_examples=60, deadline=None)
@given(entries=st.integers(1, 40), sidecars=st.integers(1, 150))
def test_every_sidecar_has_entries_and_every_entry_has_sidecars(
    entries: int, sidecars: int
) -> None:
    """At any size no sidecar lacks entries, and a subset exceeds its size by at most two."""
    assigned = assignment(entries, sidecars)
    size = subset_size(entries, sidecars)
    assert all(len(set(hosts)) == len(hosts) for hosts in assigned.values())
    assert all(size <= len(hosts) <= size + 2 for hosts in assigned.values())
    counts = entries_per_sidecar(assigned)
    assert len(counts) == sidecars
    assert min(counts.values()) >= min(entries, 3)


@settings(max_examples=30, deadline=None)
@given(changes=st.lists(st.integers(0, 39), max_size=12))
def test_incremental_changes_agree_with_a_fresh_start(changes: list[int]) -> None:
    """An entry that saw members join and leave computes the same assignment as a new one."""
    sidecars = [f"up-{n}" for n in range(120)]
    entries = {f"entry-{n}" for n in range(30)}
    subsets = make_subset_assignment()
    subsets.set_members(sorted(entries), sidecars)
    subsets.all_subsets()
    for change in changes:
        entries ^= {f"entry-{change}"}
        subsets.set_members(sorted(entries), sidecars)
        subsets.all_subsets()
    fresh = make_subset_assignment()
    fresh.set_members(sorted(entries), sidecars)
    assert subsets.all_subsets() == fresh.all_subsets()
