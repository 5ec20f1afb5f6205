"""Gossip: hints reach every entry, are new once, and stay within the byte budget."""

from __future__ import annotations

from random import Random

from carobspool_core import Hint, HintKind, ManualClock, make_gossip, peers_to_dial


def hint(sequence: int, kind: HintKind = HintKind.SUSPECT) -> Hint:
    """Return a hint created by entry-0."""
    return Hint(kind=kind, subject="f", origin="entry-0", sequence=sequence)


def links_of(count: int, gone: frozenset[str] = frozenset()) -> dict[str, set[str]]:
    """Return the connections of each live entry just after the entries in ``gone`` died."""
    entries = [f"entry-{n}" for n in range(count)]
    links: dict[str, set[str]] = {entry: set() for entry in entries}
    for entry in entries:
        for peer in peers_to_dial(entry, entries):
            links[entry].add(peer)
            links[peer].add(entry)
    return {entry: peers - gone for entry, peers in links.items() if entry not in gone}


def hops_to_all(links: dict[str, set[str]], origin: str) -> int | None:
    """Return the number of hops to reach every entry, ``None`` if some are unreachable."""
    reached, frontier, hops = {origin}, {origin}, 0
    while frontier:
        frontier = {peer for entry in frontier for peer in links[entry]} - reached
        reached |= frontier
        hops += bool(frontier)
    return hops if len(reached) == len(links) else None


def test_a_hint_reaches_380_entries_within_four_hops() -> None:
    """An urgent hint reaches all of 380 entries in at most four hops."""
    hops = hops_to_all(links_of(380), "entry-0")
    assert hops is not None and hops <= 4


def test_loss_of_a_third_keeps_the_rest_connected() -> None:
    """If 126 of 380 entries die at once, the others are still connected."""
    gone = frozenset(f"entry-{n}" for n in range(1, 380, 3))
    hops = hops_to_all(links_of(380, gone), "entry-0")
    assert hops is not None and hops <= 6


def test_two_entries_dial_each_other_and_a_single_entry_dials_none() -> None:
    """The smallest sites are connected as well."""
    assert peers_to_dial("a", ["a", "b"]) == ["b"]
    assert peers_to_dial("a", ["a"]) == []


def test_a_hint_is_new_once_in_any_order() -> None:
    """Late hints are new and repeated hints are not, in any order of arrival."""
    gossip = make_gossip(ManualClock(), Random(1))
    fresh = [gossip.record_if_new(hint(sequence)) for sequence in (5, 3, 5, 4, 3, 9, 4, 2_000, 9)]
    assert fresh == [True, True, False, True, False, True, False, True, False]


def test_many_hints_stay_within_the_budget_and_urgent_hints_are_still_sent() -> None:
    """100 ordinary hints a second for a minute cost 1.5 KB/s; a suspect still goes to all peers."""
    gossip = make_gossip(ManualClock(), Random(1))
    peers = [f"entry-{n}" for n in range(10)]
    sent = 0
    for n in range(6_000):
        ordinary = hint(n, HintKind.JOB_CHANGED)
        sent += len(gossip.choose_links(ordinary, peers, 100, n * 10.0)) * 100
    assert sent <= 1_500 * 60 + 15_000
    assert gossip.choose_links(hint(7_000), peers, 100, 60_000.0, source="entry-3") == [
        peer for peer in peers if peer != "entry-3"
    ]
