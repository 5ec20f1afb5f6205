"""The upstreams of an entry around registrations that cannot be used."""

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


def test_a_refused_registration_names_nobody_also_around_an_outage() -> None:
    """The store was away, and most registrations have lapsed since. What lapsed is used for a short
    time, but what is there and cannot be used is not."""
    upstreams = UpstreamList()
    upstreams.replace([_upstream(each) for each in "abc"], 0.0)
    upstreams.regained(0.0)
    upstreams.replace([], 0.0, unusable=["a"])
    assert {each.instance for each in upstreams.usable("s", 1.0)} == {"b", "c"}
    upstreams.refuse("b")
    assert {each.instance for each in upstreams.usable("s", 1.0)} == {"c"}
    upstreams.put(_upstream("a"))
    assert {each.instance for each in upstreams.usable("s", 1.0)} == {"a", "c"}


def test_a_service_that_nobody_names_is_never_asked_for() -> None:
    """Upstreams are found by the service of a route, so one of another service stays unused."""
    upstreams = UpstreamList()
    upstreams.put(_upstream("a"))
    assert upstreams.usable("s", 0.0)
    assert upstreams.usable("another", 0.0) == []


def test_two_upstreams_with_one_key_are_told_by_neither(monkeypatch: pytest.MonkeyPatch) -> None:
    """Load hints name upstreams by keys of four bytes. Loads of one that were taken for those of
    another would keep it full, or free, for as long as both run."""
    monkeypatch.setattr(_upstreams, "key_of", lambda identity: len(identity))
    upstreams = UpstreamList()
    for instance in ("a", "b", "cc"):
        upstreams.put(_upstream(instance))
    assert upstreams.identities_by_key() == {2: "cc"}
    upstreams.remove("b", 0.0)
    assert upstreams.identities_by_key() == {1: "a", 2: "cc"}


def test_what_is_usable_follows_each_change_of_the_list() -> None:
    """The answer is kept between requests; a kept one would send requests to what has left."""
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


def test_what_lapsed_around_an_outage_is_taken_over_from_another_entry() -> None:
    """Most registrations of a service lapsed while the store was away. An entry that learns of it
    from another one must go on using them for as long as that one does, and no longer."""
    upstreams = UpstreamList()
    upstreams.replace([_upstream(each) for each in "abc"], 0.0)
    upstreams.regained(1_000.0)
    upstreams.replace([], 1_500.0)
    other = UpstreamList()
    other.replace([_upstream(each) for each in "abc"], 0.0)
    other.adopt(upstreams.view(1_600.0), 90_000.0)
    left = LAPSE_GRACE - 600.0
    assert {each.instance for each in other.usable("s", 90_000.0)} == {"a", "b", "c"}
    assert {each.instance for each in other.usable("s", 89_999.0 + left)} == {"a", "b", "c"}
    assert other.usable("s", 90_000.0 + left) == []


def test_an_earlier_start_that_another_entry_knows_does_not_come_back() -> None:
    upstreams, other = UpstreamList(), UpstreamList()
    upstreams.put(replace(_upstream("a"), started=1))
    other.put(replace(_upstream("a"), started=2))
    assert other.adopt(upstreams.view(0.0), 0.0) == []
    assert [each.started for each in other.listed()] == [2]
    assert [each.started for each in upstreams.adopt(other.view(0.0), 0.0)] == [2]
