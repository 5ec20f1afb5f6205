"""Tests of revisions of the desired state."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carobspool_core import Caller, DesiredState, OnlineSlowdown, Organisation
from carobspool_core.revision import (
    Change,
    Part,
    Revision,
    Section,
    decode_part,
    diff,
    join_parts,
    rebase,
    revision_from_json,
    revision_to_audit_record,
    revision_to_json,
    split_state,
    summarise,
    to_recorded_changes,
)

names = st.text("abcdef", min_size=1, max_size=3)
organisations = st.dictionaries(names, st.sampled_from([1.0, 2.0, 3.0]), max_size=8)
slowdowns = st.sampled_from([1.1, 1.2])


def state_of(weights: dict[str, float], slowdown: float = 1.1) -> DesiredState:
    """Return a state with organisations of the given weights."""
    entries = {name: Organisation(name=name, weight=each) for name, each in weights.items()}
    return DesiredState(organisations=entries, online_slowdown=OnlineSlowdown(first_token=slowdown))


states = st.builds(state_of, organisations, slowdowns)


@given(states)
def test_parts_join_to_the_same_state(state: DesiredState) -> None:
    """A state that is split into parts, encoded, decoded and joined is unchanged."""
    parts: dict[str, Part] = {}
    for part in split_state(state).unwrap().values():
        parts[part.name] = decode_part(part.name, part.digest, part.value).unwrap()
    assert join_parts(parts, 0) == state


@given(states, states, states)
def test_rebase_merges_both_sides_or_returns_the_conflicts(
    base: DesiredState, mine: DesiredState, head: DesiredState
) -> None:
    """The merged state has the changes of both sides, unless they changed an entry differently."""
    ours = {(each.section, each.name): each.after for each in diff(base, mine)}
    theirs = {(each.section, each.name): each.after for each in diff(base, head)}
    conflicting = {key for key in ours.keys() & theirs.keys() if ours[key] != theirs[key]}
    result = rebase(base, mine, head)
    if conflicting:
        assert {(each.mine.section, each.mine.name) for each in result.failure()} == conflicting
        return
    merged = {(each.section, each.name): each.after for each in diff(base, result.unwrap())}
    assert merged == ours | theirs


def test_a_change_of_one_entry_changes_one_part() -> None:
    """Parts without a change are reused and not encoded again."""
    before = split_state(state_of({f"o{number}": 1.0 for number in range(500)})).unwrap()
    changed = state_of({f"o{number}": 1.0 for number in range(500)} | {"o7": 9.0})
    after = split_state(changed, before).unwrap()
    assert sum(after[name] is not before[name] for name in after) == 1


@pytest.mark.parametrize("value", ["", "@@", "eJwDAAAAAAE="])
def test_a_damaged_part_is_refused(value: str) -> None:
    """A part is refused if it cannot be decoded or does not match its digest."""
    part = split_state(state_of({"a": 1.0})).unwrap()["batch"]
    assert decode_part(part.name, part.digest, value).failure().part == "batch"
    assert "not ffff" in decode_part(part.name, "ffff", part.value).failure().detail


def test_an_oversized_part_is_refused() -> None:
    """Splitting a state fails if a part exceeds the platform's limit, before anything is stored."""
    hashes = tuple(f"{number:064x}"[::-1] for number in range(40_000))
    caller = Caller(id="x", organisation="o", key_hashes=hashes)
    state = DesiredState(callers={"x": caller})
    oversized = replace(state, callers={"x": replace(caller, key_hashes=hashes * 12)})
    assert split_state(state).unwrap()
    (error,) = split_state(oversized).failure()
    assert error.part.startswith("callers/")


def test_summary_names_each_change() -> None:
    """The summary lists added and removed entries and changed fields."""
    lines = summarise(diff(state_of({"a": 1.0, "b": 1.0}), state_of({"a": 2.0, "c": 1.0})))
    assert lines == (
        "organisations/a: weight 1.0 -> 2.0",
        "organisations/b: removed",
        "organisations/c: added",
    )


def test_stored_revision_reads_back_unchanged() -> None:
    """A stored revision reads back with its changes, and its audit record contains them."""
    changes = diff(state_of({"a": 1.0}), state_of({"a": 2.0}))
    revision = Revision(
        number=3,
        base=2,
        author="ana",
        reason="more",
        at=5,
        write_id="w",
        summary=summarise(changes),
        change_count=len(changes),
        parts={"models": "d"},
        changes=to_recorded_changes(changes),
    )
    stored = json.loads(json.dumps(revision_to_json(revision)))
    assert revision_from_json(stored).unwrap() == revision
    record = revision_to_audit_record(revision)
    assert (record.who, record.subject) == ("ana", "3")
    assert record.before["organisations/a"]["weight"] == 1.0
    assert record.after["organisations/a"]["weight"] == 2.0
    assert revision_from_json({"number": 0}).failure().detail


def test_change_in_a_single_entry_section_is_named_after_the_section() -> None:
    """The entry of such a section has no name of its own."""
    (change,) = diff(state_of({}, 1.1), state_of({}, 1.2))
    assert isinstance(change, Change)
    assert (change.section, change.subject) == (Section.ONLINE_SLOWDOWN, "online_slowdown")
