"""Recent failures of upstreams, counted across all entries."""

from __future__ import annotations

from carobspool_core.direct import FailureReports
from carobspool_core.direct._failure_reports import PEER_COUNTS_TTL


def test_two_recent_failures_seen_by_any_entries_mark_an_upstream() -> None:
    reports = FailureReports()
    reports.update_peer("p", {}, now=0.0)
    reports.record_failure("x", now=100.0)
    assert reports.upstreams_to_avoid(200.0) == set()
    reports.update_peer("p", {"x": 1, "y": 1}, now=300.0)
    assert reports.upstreams_to_avoid(400.0) == {"x"}
    assert reports.upstreams_to_avoid(2_200.0) == set()


def test_first_report_of_a_peer_adds_no_failures() -> None:
    reports = FailureReports()
    reports.update_peer("p", {"x": 40}, now=0.0)
    assert reports.upstreams_to_avoid(1.0) == set()
    reports.update_peer("p", {"x": 42}, now=100.0)
    assert reports.upstreams_to_avoid(101.0) == {"x"}


def test_counts_of_a_restarted_peer_start_at_zero() -> None:
    reports = FailureReports()
    reports.update_peer("p", {"x": 40}, now=0.0)
    reports.update_peer("p", {"x": 1}, now=100.0)
    assert reports.upstreams_to_avoid(101.0) == set()
    reports.update_peer("p", {"x": 2}, now=200.0)
    assert reports.upstreams_to_avoid(201.0) == {"x"}


def test_repeated_report_adds_no_failures() -> None:
    reports = FailureReports()
    reports.update_peer("p", {}, now=0.0)
    for step in range(5):
        reports.update_peer("p", {"x": 1}, now=step * 10.0)
    assert reports.upstreams_to_avoid(60.0) == set()


def test_reports_of_a_peer_may_be_seconds_apart() -> None:
    """Entries that share no upstream report every six seconds; if their counts were dropped in
    between, each report would be a baseline and its failures would not count."""
    reports = FailureReports()
    reports.update_peer("p", {"x": 1}, now=0.0)
    reports.retain_only({"x"}, 5_900.0)
    reports.update_peer("p", {"x": 3}, now=6_000.0)
    assert reports.upstreams_to_avoid(6_001.0) == {"x"}
    reports.retain_only({"x"}, 6_000.0 + PEER_COUNTS_TTL)
    reports.update_peer("p", {"x": 9}, now=40_000.0)
    assert reports.upstreams_to_avoid(40_001.0) == set()


def test_removed_upstreams_and_peers_are_forgotten() -> None:
    reports = FailureReports()
    reports.update_peer("p", {}, now=0.0)
    reports.update_peer("p", {"x": 2}, now=1.0)
    reports.record_failure("x", now=1.0)
    reports.retain_only(set(), 1.0 + PEER_COUNTS_TTL)
    assert reports.upstreams_to_avoid(2.0) == set()
    assert reports.own_counts() == {}
