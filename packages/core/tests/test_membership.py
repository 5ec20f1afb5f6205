"""Failure detector: detection of silent hosts."""

from __future__ import annotations

from carobspool_core import ManualClock, heartbeat_interval, make_failure_detector


def test_a_host_is_lost_after_three_missed_heartbeats_until_its_next_message() -> None:
    """A silent host is lost after 3 s, not before, and its next message ends that state."""
    clock = ManualClock()
    detector = make_failure_detector(clock)
    detector.record_message("up-0", 0.0)
    lost_at = []
    for second in range(1, 5):
        detector.record_message("up-1", second * 1000.0)
        lost_at += [(second, host) for host in detector.mark_silent_lost(second * 1000.0)]
    assert lost_at == [(3, "up-0")]
    assert detector.record_message("up-0", 5000.0)
    assert not detector.record_message("up-0", 5001.0)
    assert detector.lost == frozenset()


def test_a_pause_of_this_process_marks_no_host_lost() -> None:
    """A process that was stopped for a minute marks no host lost when it resumes.

    Afterwards a host that stays silent is still detected.
    """
    detector = make_failure_detector(ManualClock())
    for host in ("up-0", "up-1"):
        detector.record_message(host, 0.0)
    assert detector.mark_silent_lost(60_000.0) == []
    detector.record_message("up-0", 60_500.0)
    lost = [host for at in range(61, 65) for host in detector.mark_silent_lost(at * 1000.0)]
    assert lost[0] == "up-1"


def test_heartbeats_stay_within_half_of_the_control_budget() -> None:
    """With 7 models x 24 sidecars an entry's heartbeats cost at most 1.5 KB a second."""
    assert heartbeat_interval(20) == 1_000.0
    for connections in (100, 168, 2_900):
        assert connections * 60 / (heartbeat_interval(connections) / 1000.0) <= 1_500.0 + 1e-6
