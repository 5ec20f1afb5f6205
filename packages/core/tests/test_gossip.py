"""Gossip: hints reach every entry once and cost little."""

from __future__ import annotations

from random import Random

from carobspool_core import Hint, HintKind, ManualClock, make_gossip, peers_to_dial


def hint(sequence: int, kind: HintKind = HintKind.SUSPECT) -> Hint:
    """Return a hint of entry-0."""
    return Hint(kind=kind, subject="f", origin="entry-0", sequence=sequence)


def links_of(count: int, gone: frozenset[str] = frozenset()) -> dict[str, set[str]]:
    """Return who is connected with whom when the entries of ``gone`` have just died."""
    entries = [f"entry-{n}" for n in range(count)]
    links: dict[str, set[str]] = {entry: set() for entry in entries}
    for entry in entries:
        for peer in peers_to_dial(entry, entries):
            links[entry].add(peer)
            links[peer].add(entry)
    return {entry: peers - gone for entry, peers in links.items() if entry not in gone}


def hops_to_all(links: dict[str, set[str]], origin: str) -> int | None:
    """Return after how many hops every entry has heard, ``None`` if some never do."""
    heard, front, hops = {origin}, {origin}, 0
    while front:
        front = {peer for entry in front for peer in links[entry]} - heard
        heard |= front
        hops += bool(front)
    return hops if len(heard) == len(links) else None


def test_380_entries_hear_within_four_hops() -> None:
    """An urgent hint reaches all of 380 entries in at most four hops."""
    hops = hops_to_all(links_of(380), "entry-0")
    assert hops is not None and hops <= 4


def test_loss_of_a_third_keeps_the_rest_connected() -> None:
    """When 126 of 380 entries die at once, the others still reach each other."""
    gone = frozenset(f"entry-{n}" for n in range(1, 380, 3))
    hops = hops_to_all(links_of(380, gone), "entry-0")
    assert hops is not None and hops <= 6


def test_two_entries_dial_each_other_and_one_dials_nobody() -> None:
    """The smallest sites work without special cases."""
    assert peers_to_dial("a", ["a", "b"]) == ["b"]
    assert peers_to_dial("a", ["a"]) == []


def test_a_hint_is_new_once_in_any_order() -> None:
    """Late and repeated hints are told apart, also out of order."""
    gossip = make_gossip(ManualClock(), Random(1))
    fresh = [gossip.is_new(hint(sequence)) for sequence in (5, 3, 5, 4, 3, 9, 4, 2_000, 9)]
    assert fresh == [True, True, False, True, False, True, False, True, False]


def test_a_flood_of_hints_keeps_within_the_budget_and_spares_the_urgent() -> None:
    """A minute of 100 ordinary hints a second costs 1.5 KB/s; a suspect still goes to all."""
    gossip = make_gossip(ManualClock(), Random(1))
    peers = [f"entry-{n}" for n in range(10)]
    sent = 0
    for n in range(6_000):
        news = hint(n, HintKind.JOB_CHANGED)
        sent += len(gossip.links_for(news, peers, 100, n * 10.0)) * 100
    assert sent <= 1_500 * 60 + 15_000
    assert gossip.links_for(hint(7_000), peers, 100, 60_000.0, source="entry-3") == [
        peer for peer in peers if peer != "entry-3"
    ]
