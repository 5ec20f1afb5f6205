"""Tests of lease observation."""

from __future__ import annotations

from carobspool_core import LeaseObserver


def _observer() -> LeaseObserver:
    observer = LeaseObserver(ttl=10_000.0, longest_step=3_000.0)
    observer.read_succeeded(0.0)
    observer.seen(node="a", incarnation="a1", version=5, leaving=False)
    return observer


def _read_until(observer: LeaseObserver, start: int, stop: int) -> None:
    for now in range(start, stop + 1, 1_000):
        observer.read_succeeded(float(now))


def test_lease_expires_when_its_version_stands_still() -> None:
    """A version unchanged for the time to live is an expired lease; a renewal starts anew."""
    observer = _observer()
    _read_until(observer, 1_000, 9_000)
    assert observer.live() == ("a",)
    observer.seen(node="a", incarnation="a1", version=6, leaving=False)
    _read_until(observer, 10_000, 18_000)
    assert not observer.expired("a", "a1")
    _read_until(observer, 19_000, 20_000)
    assert observer.expired("a", "a1")
    assert observer.live() == ()


def test_outage_expires_nobody() -> None:
    """In an outage holders cannot renew.

    Ten seconds without an answer from the store, then the first answer: without care the observer
    would take every other process for dead and all chunks would change hands.
    """
    observer = _observer()
    observer.read_succeeded(1_000.0)
    observer.read_failed()
    observer.read_succeeded(60_000.0)
    assert not observer.expired("a", "a1")


def test_paused_observer_expires_nobody() -> None:
    """An observer paused for a minute finds an old answer and adds one step for it, no more."""
    observer = _observer()
    observer.read_succeeded(60_000.0)
    assert not observer.expired("a", "a1")


def test_other_incarnation_is_dead() -> None:
    """A restarted process has a new incarnation; claims of the old one are free at once."""
    observer = _observer()
    observer.seen(node="a", incarnation="a2", version=6, leaving=False)
    assert observer.expired("a", "a1")
    assert not observer.expired("a", "a2")
    observer.seen(node="a", incarnation="a1", version=5, leaving=False)
    assert not observer.expired("a", "a2")


def test_leaving_node_takes_no_new_work() -> None:
    """A node that shuts down keeps its claims and gets no more."""
    observer = _observer()
    observer.seen(node="a", incarnation="a1", version=7, leaving=True)
    assert observer.live() == ()
    assert not observer.expired("a", "a1")
