"""Routing: the upstream to which a request is sent."""

from __future__ import annotations

from random import Random

from hypothesis import example, given
from hypothesis import strategies as st
from returns.result import Success

from carobspool_core import (
    DeclaredUpstream,
    Failure,
    Load,
    ManualClock,
    Outcome,
    Priority,
    RouteChoice,
    Router,
    RouteRequest,
    RoutingSettings,
    SidecarState,
    make_router,
)

MODEL = "reading-desk"


def report(tokens: int = 0, **changes: object) -> Load:
    """Return a load report of an idle and ready upstream, with changed fields."""
    values: dict[str, object] = {
        "state": SidecarState.READY,
        "running": 0,
        "queued": 0,
        "tokens": tokens,
        "slots": 8,
        "batch_credits": 0,
        "targets": (MODEL,),
        "revision": 1,
        "first_token": 0.0,
        "fencing_epoch": 1,
    }
    return Load(**(values | changes))  # type: ignore[arg-type]


def router_of(count: int, settings: RoutingSettings | None = None, seed: int = 1) -> Router:
    """Return a router with ``count`` idle upstreams in three failure domains."""
    router = make_router(ManualClock(), Random(seed), settings)
    router.set_upstreams(
        [
            DeclaredUpstream(
                host=f"up-{n}", failure_domain=f"domain-{n % 3}", targets=(MODEL,), slots=8
            )
            for n in range(count)
        ]
    )
    for n in range(count):
        router.apply_load_report(f"up-{n}", report(), 0.0)
    return router


def pick(router: Router, now: float = 0.0, **values: object) -> RouteChoice | Failure:
    """Return the choice or the failure for a request of 100 tokens."""
    request = RouteRequest(**({"target": MODEL, "cost_tokens": 100} | values))  # type: ignore
    result = router.pick(request, now)
    return result.unwrap() if isinstance(result, Success) else result.failure()


def picked(router: Router, now: float = 0.0, **values: object) -> str:
    """Return the host chosen for a request."""
    choice = pick(router, now, **values)
    assert isinstance(choice, RouteChoice)
    return choice.host


def test_unknown_target_is_answered_with_404() -> None:
    """A request for a target that no upstream declares is answered with 404 and not run."""
    failure = pick(router_of(3), target="unknown")
    assert isinstance(failure, Failure)
    assert (failure.status, failure.code) == (404, "model_not_found")
    assert failure.outcome is Outcome.NOT_RUN


def test_no_candidate_returns_a_retry_delay() -> None:
    """If every upstream is lost the caller receives 503, not run, with a retry delay."""
    router = router_of(3)
    for n in range(3):
        router.mark_lost(f"up-{n}", 1.0)
    failure = pick(router, 2.0)
    assert isinstance(failure, Failure)
    assert (failure.status, failure.outcome) == (503, Outcome.NOT_RUN)
    assert failure.retry_after_ms is not None and failure.retry_after_ms >= 500


def test_lost_and_leaving_upstreams_receive_no_requests_until_they_return() -> None:
    """An upstream that is lost or leaving receives no requests until it returns."""
    router = router_of(3)
    router.mark_lost("up-0", 1.0)
    router.set_leaving("up-1")
    assert {picked(router) for _ in range(50)} == {"up-2"}
    router.apply_load_report("up-1", report(), 2.0)
    router.mark_found("up-0", 3.0)
    assert {picked(router) for _ in range(50)} == {"up-0", "up-2"}


def test_burst_within_one_report_spreads() -> None:
    """A burst between two load reports spreads evenly, because the entry counts what it sent."""
    router = router_of(9)
    counts = dict.fromkeys((f"up-{n}" for n in range(9)), 0)
    for n in range(180):
        host = picked(router)
        router.record_start(host, n, 100, 0.0)
        counts[host] += 1
    assert max(counts.values()) <= 24
    assert min(counts.values()) >= 16


def test_batch_goes_only_where_credits_are_left() -> None:
    """A batch request uses a granted credit, and is refused as not run if none is left."""
    router = router_of(3)
    router.apply_load_report("up-1", report(batch_credits=2), 1.0)
    for n in range(2):
        host = picked(router, 20.0, priority=Priority.BATCH)
        assert host == "up-1"
        router.record_start(host, n, 10, 20.0, priority=Priority.BATCH)
    assert isinstance(pick(router, 20.0, priority=Priority.BATCH), Failure)


def fail_all(router: Router, hosts: set[str], rounds: int, now: float) -> None:
    """Run requests of which those sent to ``hosts`` fail and the others succeed."""
    for n in range(rounds):
        host = picked(router, now)
        router.record_start(host, (now, n), 100, now)
        router.record_end(host, (now, n), host not in hosts, now)


def test_failing_upstreams_are_ejected_but_never_more_than_a_third() -> None:
    """If five of nine upstreams fail every request, three are ejected and six remain in use."""
    router = router_of(9)
    bad = {f"up-{n}" for n in range(5)}
    fail_all(router, bad, 2_000, 1.0)
    used = {picked(router, 2.0) for _ in range(500)}
    assert len(used) == 6
    assert {f"up-{n}" for n in range(5, 9)} <= used


def test_an_ejected_upstream_is_probed_and_returns() -> None:
    """After 5 s it receives one probe at a time; three successes readmit it, a failure does not."""
    router = router_of(3)
    fail_all(router, {"up-0"}, 200, 1.0)
    assert "up-0" not in {picked(router, 4_000.0) for _ in range(100)}
    assert picked(router, 5_100.0) == "up-0"
    router.record_start("up-0", "probe", 100, 5_100.0)
    assert "up-0" not in {picked(router, 5_101.0) for _ in range(100)}
    router.record_end("up-0", "probe", False, 5_200.0)
    assert "up-0" not in {picked(router, 15_000.0) for _ in range(100)}
    for n in range(3):
        assert picked(router, 15_300.0) == "up-0"
        router.record_start("up-0", n, 100, 15_300.0)
        router.record_first_token("up-0", n, 15_310.0)
        router.record_end("up-0", n, True, 15_320.0)
    assert {picked(router, 15_400.0) for _ in range(100)} == {"up-0", "up-1", "up-2"}


def test_own_failure_domain_is_preferred_when_idle_and_avoided_when_busy() -> None:
    """Requests stay in the entry's failure domain unless its upstreams are busier."""
    router = router_of(9)
    own_domain = {"up-1", "up-4", "up-7"}
    assert {picked(router, failure_domain="domain-1") for _ in range(100)} == own_domain
    for host in own_domain:
        router.apply_load_report(host, report(900, running=8), 1.0)
    assert not own_domain & {picked(router, failure_domain="domain-1") for _ in range(100)}


def test_suspects_are_isolated_from_each_other_and_from_other_requests() -> None:
    """Suspects run at different upstreams, others avoid these, and a fourth suspect is refused."""
    router = router_of(3)
    hosts = []
    for n in range(3):
        hosts.append(picked(router, suspect=True))
        router.record_start(hosts[-1], n, 1, 0.0, suspect=True)
        if n == 1:
            assert set(hosts).isdisjoint({picked(router) for _ in range(50)})
    assert len(set(hosts)) == 3
    failure = pick(router, suspect=True)
    assert isinstance(failure, Failure) and failure.outcome is Outcome.NOT_RUN


def test_a_tried_upstream_is_not_chosen_again() -> None:
    """A retry goes to another upstream, and is refused as not run if there is none."""
    router = router_of(2)
    assert {picked(router, exclude=frozenset({"up-0"})) for _ in range(50)} == {"up-1"}
    assert isinstance(pick(router, exclude=frozenset({"up-0", "up-1"})), Failure)


@example(steps=[("fail", 0)] * 6, exclude=frozenset({"up-1", "up-2", "up-3"}), suspect=False)
@example(
    steps=[("fail", 0)] * 6 + [("lost", 1), ("lost", 2), ("down", 3)],
    exclude=frozenset(),
    suspect=False,
)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["ready", "down", "other", "lost", "found", "leave", "stay", "fail"]),
            st.integers(0, 3),
        ),
        max_size=40,
    ),
    exclude=st.frozensets(st.sampled_from(["up-0", "up-1", "up-2", "up-3"]), max_size=3),
    suspect=st.booleans(),
)
def test_only_usable_upstreams_are_chosen_after_any_sequence_of_events(
    steps: list[tuple[str, int]], exclude: frozenset[str], suspect: bool
) -> None:
    """After any reports, losses, drains and failures, the router chooses a usable upstream.

    Requests must never reach an upstream that is down, lost, leaving or excluded, and must be
    refused only if no other upstream is left.
    """
    router = router_of(4)
    ready, lost, leaving = {f"up-{n}" for n in range(4)}, set(), set()
    for n, (action, which) in enumerate(steps):
        host = f"up-{which}"
        if action in ("ready", "down", "other"):
            state = SidecarState.UPSTREAM_DOWN if action == "down" else SidecarState.READY
            names = ("another",) if action == "other" else (MODEL,)
            router.apply_load_report(host, report(state=state, targets=names), float(n))
            lost.discard(host)
            ready = ready | {host} if action == "ready" else ready - {host}
        elif action in ("lost", "found"):
            lost = lost | {host} if action == "lost" else lost - {host}
            (router.mark_lost if action == "lost" else router.mark_found)(host, float(n))
        elif action in ("leave", "stay"):
            leaving = leaving | {host} if action == "leave" else leaving - {host}
            router.set_leaving(host, action == "leave")
        else:
            router.record_start(host, n, 100, float(n))
            router.record_end(host, n, False, float(n))
        allowed = ready - lost - leaving - exclude
        choice = pick(router, float(n), exclude=exclude, suspect=suspect)
        assert isinstance(choice, RouteChoice) == bool(allowed)
        assert not isinstance(choice, RouteChoice) or choice.host in allowed
