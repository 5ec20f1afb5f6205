"""Failures at upstreams as all entries saw them."""

from __future__ import annotations

from carobspool_core.direct import FailureReports


def test_two_failures_of_late_wherever_seen_mark_an_upstream() -> None:
    reports = FailureReports()
    reports.take("p", {}, now=0.0)
    reports.note("x", now=100.0)
    assert reports.failing(200.0) == set()
    reports.take("p", {"x": 1, "y": 1}, now=300.0)
    assert reports.failing(400.0) == {"x"}
    assert reports.failing(2_200.0) == set()


def test_what_a_peer_saw_before_it_was_heard_of_counts_for_nothing() -> None:
    reports = FailureReports()
    reports.take("p", {"x": 40}, now=0.0)
    assert reports.failing(1.0) == set()
    reports.take("p", {"x": 42}, now=100.0)
    assert reports.failing(101.0) == {"x"}


def test_a_peer_that_started_again_counts_from_nothing() -> None:
    reports = FailureReports()
    reports.take("p", {"x": 40}, now=0.0)
    reports.take("p", {"x": 1}, now=100.0)
    assert reports.failing(101.0) == set()
    reports.take("p", {"x": 2}, now=200.0)
    assert reports.failing(201.0) == {"x"}


def test_a_repeated_hint_adds_nothing() -> None:
    reports = FailureReports()
    reports.take("p", {}, now=0.0)
    for step in range(5):
        reports.take("p", {"x": 1}, now=step * 10.0)
    assert reports.failing(60.0) == set()


def test_upstreams_and_peers_that_are_gone_are_forgotten() -> None:
    reports = FailureReports()
    reports.take("p", {}, now=0.0)
    reports.take("p", {"x": 2}, now=1.0)
    reports.note("x", now=1.0)
    reports.keep_only(set(), set())
    assert reports.failing(2.0) == set()
    assert reports.own() == {}
