"""Which entry relays hints, when relays are in force, and what is passed on when."""

from __future__ import annotations

import pytest

from carobspool_core import Millis
from carobspool_core.hint_relays import (
    NO_RELAYS,
    PASS_ON_INTERVAL,
    RELAY_SILENT_AFTER,
    SEND_DIRECTLY_AFTER,
    BundleBuffer,
    RelayEntry,
    RelayPlan,
    WaitingHint,
    choose_relay,
    cut_off_entries,
    make_relay_plan,
    relays_in_force,
    sends_directly,
    with_bundle,
)

NOW: Millis = 10_000.0


def _entries(count: int, domains: int = 3, **changes: object) -> list[RelayEntry]:
    return [
        RelayEntry(name=f"e{at}", domain=f"d{at % domains}", heard_at=NOW, **changes)  # type: ignore[arg-type]
        for at in range(count)
    ]


def _plans(entries: list[RelayEntry], group: frozenset[str] | None = None) -> list[RelayPlan]:
    return [
        make_relay_plan(own, [each for each in entries if each is not own], group, NOW)
        for own in entries
    ]


def test_all_entries_find_the_same_relay_of_each_domain() -> None:
    """Different choices would leave hints with an entry that does not pass them on."""
    entries = _entries(24, domains=4)
    plans = _plans(entries)
    acting = {
        own.domain: own.name for own, plan in zip(entries, plans, strict=True) if plan.is_relay
    }
    assert len(acting) == 4
    for own, plan in zip(entries, plans, strict=True):
        assert plan.own_relay == acting[own.domain]
        assert {**plan.relays, own.domain: plan.own_relay} == acting
        assert plan.served == {each.name for each in entries if each.domain != own.domain}


def test_hosts_with_more_capacity_relay() -> None:
    """A relay handles the hints of its domain, which a host of 0.3 cores may not manage."""
    small, large = _entries(6, 1, capacity=0.3), RelayEntry(
        name="large", domain="d0", heard_at=NOW, capacity=1.2
    )
    unknown = RelayEntry(name="unknown", domain="d0", heard_at=NOW)
    assert choose_relay("d0", [*small, unknown, large], NOW) == "large"
    assert choose_relay("d0", [*small, unknown], NOW) != "unknown"


@pytest.mark.parametrize(
    "change",
    [
        {"leaving": True},
        {"relays": False},
        {"is_cut_off": True},
        {"heard_at": NOW - RELAY_SILENT_AFTER - 1.0},
    ],
)
def test_an_entry_that_cannot_relay_is_replaced(change: dict[str, object]) -> None:
    """Hints that are left to it would not arrive until it is declared dead."""
    entries = _entries(4, 1)
    first = choose_relay("d0", entries, NOW)
    rest = [each for each in entries if each.name != first]
    changed = RelayEntry(**{"name": str(first), "domain": "d0", "heard_at": NOW, **change})  # type: ignore[arg-type]
    assert choose_relay("d0", [changed, *rest], NOW) == choose_relay("d0", rest, NOW) != first


def test_an_entry_that_reports_all_others_as_silent_ends_no_relaying() -> None:
    """One broken link would otherwise make the whole fleet send directly."""
    entries = _entries(4, 1, is_cut_off=True)
    assert choose_relay("d0", entries, NOW) is not None


def test_a_relay_of_another_domain_whose_bundles_end_is_passed_over() -> None:
    """In a partition each side would send its hints to relays on the other side for 600 ms."""
    relay = RelayEntry(name="e1", domain="d1", heard_at=NOW)
    for age, is_cut_off in ((None, False), (100.0, False), (200.0, True), (3_000.0, False)):
        at = None if age is None else NOW - age
        assert with_bundle(relay, at, own_domain="d2", now=NOW).is_cut_off is is_cut_off
        assert not with_bundle(relay, at, own_domain="d1", now=NOW).is_cut_off


def test_entries_that_do_not_hear_each_other_are_cut_off_unless_one_is_dead() -> None:
    """A relay that is cut off from a domain would lose the hints of its own."""
    heard = {"e1", "e2", "e3"}
    assert cut_off_entries({"e1": ["e2"]}, heard, "e3") == {"e1", "e2"}
    assert cut_off_entries({"e1": ["e3"]}, heard, "e3") == {"e1", "e3"}
    assert cut_off_entries({"e1": ["dead"], "e2": ["dead"]}, heard, "e3") == frozenset()
    assert cut_off_entries({"e3": ["dead"], "e1": ["dead"]}, heard, "e3") == frozenset()
    assert cut_off_entries({"e3": ["e9"]}, heard, "e3") == {"e3"}


@pytest.mark.parametrize(
    ("domains", "in_force"),
    [
        (["a"] * 4 + ["b"] * 4 + ["c"] * 4, True),
        (["a"] * 3 + ["b"] * 9, True),
        (["a"] * 4 + ["b"] * 4 + ["c"] * 3, False),
        (["a"] * 12, False),
        (["a"] * 2 + ["b"] * 10, False),
        (["a"], False),
    ],
)
def test_relays_are_in_force_in_fleets_of_several_domains(
    domains: list[str], in_force: bool
) -> None:
    """Three processes in one failure domain must behave as before."""
    assert relays_in_force(domains, "a") is in_force


def test_a_small_domain_knows_to_whom_it_distributes() -> None:
    """Its two entries send directly, but the relays of larger domains send bundles to one."""
    own = RelayEntry(name="own", domain="small", heard_at=NOW)
    fellow = RelayEntry(name="fellow", domain="small", heard_at=NOW)
    plan = make_relay_plan(own, [fellow, *_entries(12)], None, NOW)
    assert not plan.in_force
    assert plan.sharers == {"fellow"}


def test_each_group_has_its_own_relays() -> None:
    """The entries of a group alone use each other's loads."""
    entries = _entries(48, domains=3)
    group = frozenset(each.name for each in entries[:16])
    members = [each for each in entries if each.name in group]
    for own in members:
        plan = make_relay_plan(own, [each for each in entries if each is not own], group, NOW)
        assert {*plan.relays.values(), str(plan.own_relay)} <= group
        assert plan.sharers <= group
        assert not plan.others & group
        assert plan.unrelated == {
            each.name for each in entries if each.domain != own.domain and each.name not in group
        }


def test_an_entry_sends_directly_until_its_relay_shows_presence() -> None:
    """A relay that does not know of its role, or is dead, passes nothing on."""
    plan = RelayPlan(in_force=True, own_relay="e1")
    assert sends_directly(plan, None, NOW)
    assert not sends_directly(plan, NOW - SEND_DIRECTLY_AFTER, NOW)
    assert sends_directly(plan, NOW - SEND_DIRECTLY_AFTER - 1.0, NOW)
    assert not sends_directly(RelayPlan(in_force=True, own_relay="e1", is_relay=True), None, NOW)
    assert sends_directly(NO_RELAYS, NOW, NOW)


def _hint(name: str = "e1", sequence: int = 1, incarnation: str = "1") -> WaitingHint:
    return WaitingHint(
        name=name, incarnation=incarnation, sequence=sequence, kind="load", data=b"%d" % sequence
    )


def test_only_the_newest_hint_of_each_entry_is_passed_on_and_once() -> None:
    """Older ones cost bytes; a hint that is passed on twice could circle between relays."""
    buffer = BundleBuffer(NOW)
    assert buffer.add(_hint(sequence=1), NOW)
    assert buffer.add(_hint(sequence=3), NOW)
    assert not buffer.add(_hint(sequence=2), NOW)
    buffer.add(_hint("e2"), NOW)
    assert {(each.name, each.sequence) for each in buffer.take(NOW)} == {("e1", 3), ("e2", 1)}
    assert not buffer.add(_hint(sequence=3), NOW)
    assert buffer.add(_hint(sequence=1, incarnation="2"), NOW)


def test_bundles_keep_their_interval() -> None:
    """A bundle for each hint would cost the relay a datagram for each hint and domain."""
    buffer = BundleBuffer(NOW)
    buffer.add(_hint(sequence=1), NOW)
    assert len(buffer.take(NOW)) == 1
    buffer.add(_hint(sequence=2), NOW + 1.0)
    assert buffer.delay_before_take(NOW + 1.0) == PASS_ON_INTERVAL - 1.0
    assert buffer.take(NOW + 1.0) == []
    assert len(buffer.take(NOW + PASS_ON_INTERVAL)) == 1
    assert buffer.delay_before_take(NOW + PASS_ON_INTERVAL) is None


def test_a_paused_process_passes_on_neither_what_it_holds_nor_what_waited() -> None:
    """The entries of its domain have sent newer hints directly in the meantime."""
    buffer = BundleBuffer(NOW)
    buffer.add(_hint(sequence=1), NOW)
    resumed = NOW + 400.0
    assert not buffer.add(_hint(sequence=2), resumed)
    # The thread that receives hints may find the pause first; the log line must not be lost.
    assert [buffer.record_tick(resumed) for _ in range(2)] == [True, False]
    assert buffer.take(resumed + 40.0) == []
    assert buffer.add(_hint(sequence=3), resumed + 60.0)
    assert len(buffer.take(resumed + 60.0)) == 1
