"""The list of upstreams: invalid registrations, store outages, caches and snapshots."""

from __future__ import annotations

from dataclasses import replace

import pytest

from carobspool_core.direct import LAPSE_GRACE, Upstream, UpstreamList, _upstreams


def _upstream(instance: str) -> Upstream:
    return Upstream(
        instance=instance,
        service="s",
        address=("10.0.0.1", 80),
        failure_domain="z",
        slots=8,
        ready=True,
    )


def test_upstream_with_an_invalid_registration_is_not_used_after_an_outage() -> None:
    """Most registrations lapsed in an outage of the store. Their upstreams are used for a short
    time, but an upstream whose registration exists and is invalid is not."""
    upstreams = UpstreamList()
    upstreams.replace([_upstream(each) for each in "abc"], 0.0)
    upstreams.store_recovered(0.0)
    upstreams.replace([], 0.0, unusable=["a"])
    assert {each.instance for each in upstreams.usable("s", 1.0)} == {"b", "c"}
    upstreams.reject_registration("b")
    assert {each.instance for each in upstreams.usable("s", 1.0)} == {"c"}
    upstreams.put(_upstream("a"))
    assert {each.instance for each in upstreams.usable("s", 1.0)} == {"a", "c"}


def test_upstreams_of_another_service_are_not_used() -> None:
    """Upstreams are found by the service of a route, so one of another service stays unused."""
    upstreams = UpstreamList()
    upstreams.put(_upstream("a"))
    assert upstreams.usable("s", 0.0)
    assert upstreams.usable("another", 0.0) == []


def test_key_shared_by_two_upstreams_identifies_neither(monkeypatch: pytest.MonkeyPatch) -> None:
    """Load hints identify upstreams by four-byte keys. Loads attributed to the wrong upstream would
    make it look full, or free, for as long as both upstreams run."""
    monkeypatch.setattr(_upstreams, "short_key_of", lambda identity: len(identity))
    upstreams = UpstreamList()
    for instance in ("a", "b", "cc"):
        upstreams.put(_upstream(instance))
    assert upstreams.identities_by_key() == {2: "cc"}
    upstreams.remove("b", 0.0)
    assert upstreams.identities_by_key() == {1: "a", 2: "cc"}


def test_usable_upstreams_follow_each_change_of_the_list() -> None:
    """The answer is cached between requests. A stale answer would send requests to upstreams that
    have left."""
    upstreams = UpstreamList()
    upstreams.put(_upstream("a"))
    assert [each.instance for each in upstreams.usable("s", 0.0)] == ["a"]
    upstreams.put(_upstream("b"))
    assert [each.instance for each in upstreams.usable("s", 0.0)] == ["a", "b"]
    upstreams.put(replace(_upstream("a"), ready=False))
    assert [each.instance for each in upstreams.usable("s", 0.0)] == ["b"]
    upstreams.remove("b", 0.0)
    assert upstreams.usable("s", 0.0) == []
    upstreams.replace([_upstream("c")], 0.0)
    assert [each.instance for each in upstreams.usable("s", 0.0)] == ["c"]


def test_lapsed_upstreams_are_adopted_from_another_entry() -> None:
    """Most registrations of a service lapsed in an outage of the store. An entry that learns of it
    from another entry must use the lapsed upstreams for as long as that entry does, and no
    longer."""
    upstreams = UpstreamList()
    upstreams.replace([_upstream(each) for each in "abc"], 0.0)
    upstreams.store_recovered(1_000.0)
    upstreams.replace([], 1_500.0)
    other = UpstreamList()
    other.replace([_upstream(each) for each in "abc"], 0.0)
    other.apply_snapshot(upstreams.snapshot(1_600.0), 90_000.0)
    lapsed_for = LAPSE_GRACE - 600.0
    assert {each.instance for each in other.usable("s", 90_000.0)} == {"a", "b", "c"}
    assert {each.instance for each in other.usable("s", 89_999.0 + lapsed_for)} == {"a", "b", "c"}
    assert other.usable("s", 90_000.0 + lapsed_for) == []


def test_earlier_start_known_to_another_entry_is_not_listed_again() -> None:
    upstreams, other = UpstreamList(), UpstreamList()
    upstreams.put(replace(_upstream("a"), started=1))
    other.put(replace(_upstream("a"), started=2))
    assert other.apply_snapshot(upstreams.snapshot(0.0), 0.0) == []
    assert [each.started for each in other.listed()] == [2]
    assert [each.started for each in upstreams.apply_snapshot(other.snapshot(0.0), 0.0)] == [2]
