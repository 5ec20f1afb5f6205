"""The upstreams of an entry around registrations that cannot be used."""

from __future__ import annotations

from carobspool_core.direct import Upstream, UpstreamList


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
