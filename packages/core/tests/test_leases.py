"""Tests of lease observation."""

from __future__ import annotations

from carobspool_core import LeaseObserver


def _observer() -> LeaseObserver:
    observer = LeaseObserver(ttl=10_000.0, max_read_interval=3_000.0)
    observer.record_successful_read(0.0)
    observer.record_lease(node="a", incarnation="a1", version=5, leaving=False)
    return observer


def _read_until(observer: LeaseObserver, start: int, stop: int) -> None:
    for now in range(start, stop + 1, 1_000):
        observer.record_successful_read(float(now))


def test_lease_expires_when_its_version_does_not_change() -> None:
    """A lease expires when its version is unchanged for the time to live; a renewal resets this."""
    observer = _observer()
    _read_until(observer, 1_000, 9_000)
    assert observer.available_nodes() == ("a",)
    observer.record_lease(node="a", incarnation="a1", version=6, leaving=False)
    _read_until(observer, 10_000, 18_000)
    assert not observer.is_presumed_dead("a", "a1")
    _read_until(observer, 19_000, 20_000)
    assert observer.is_presumed_dead("a", "a1")
    assert observer.available_nodes() == ()


def test_store_outage_expires_no_lease() -> None:
    """Time without responses from the store is not counted, since holders can't renew either.

    If it were counted, then after an outage of ten seconds or more the first response would make
    the observer presume every other process dead, and all chunks would be claimed by others.
    """
    observer = _observer()
    observer.record_successful_read(1_000.0)
    observer.record_failed_read()
    observer.record_successful_read(60_000.0)
    assert not observer.is_presumed_dead("a", "a1")


def test_paused_observer_expires_no_lease() -> None:
    """The first read after a pause of a minute, possibly stale, adds at most one longest step."""
    observer = _observer()
    observer.record_successful_read(60_000.0)
    assert not observer.is_presumed_dead("a", "a1")


def test_previous_incarnation_is_presumed_dead() -> None:
    """A restarted process has a new incarnation; claims of the old one are free at once."""
    observer = _observer()
    observer.record_lease(node="a", incarnation="a2", version=6, leaving=False)
    assert observer.is_presumed_dead("a", "a1")
    assert not observer.is_presumed_dead("a", "a2")
    observer.record_lease(node="a", incarnation="a1", version=5, leaving=False)
    assert not observer.is_presumed_dead("a", "a2")


def test_leaving_node_gets_no_new_work() -> None:
    """A node that is shutting down keeps its claims and gets no new work."""
    observer = _observer()
    observer.record_lease(node="a", incarnation="a1", version=7, leaving=True)
    assert observer.available_nodes() == ()
    assert not observer.is_presumed_dead("a", "a1")
