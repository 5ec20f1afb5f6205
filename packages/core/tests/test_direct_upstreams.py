"""The upstreams of an entry around registrations that cannot be used."""

from __future__ import annotations

from dataclasses import replace

import pytest

from carobspool_core.direct import Upstream, UpstreamList, _upstreams


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
