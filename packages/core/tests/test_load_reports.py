"""Load reports: sent on relevant changes, within the budget of control traffic."""

from __future__ import annotations

from dataclasses import replace

from carobspool_core import Load, SidecarState, make_load_reporter, report_interval

IDLE = Load(
    state=SidecarState.READY,
    running=0,
    queued=0,
    tokens=0,
    slots=8,
    batch_credits=0,
    targets=("m",),
    revision=1,
    first_token=0.0,
    fencing_epoch=1,
)


def test_leaving_is_reported_at_once_and_a_new_load_band_after_the_interval() -> None:
    """Reports are sent at once when a sidecar leaves, after the interval when the band changes.

    Any other change is sent only with the next heartbeat.
    """
    reporter = make_load_reporter()
    assert reporter.record_if_due(IDLE, 3, 0.0)
    assert not reporter.record_if_due(replace(IDLE, running=8), 3, 50.0)
    assert reporter.record_if_due(replace(IDLE, running=8), 3, 120.0)
    assert not reporter.record_if_due(replace(IDLE, running=8, tokens=9), 3, 900.0)
    assert reporter.record_if_due(replace(IDLE, running=8), 3, 1_120.0)
    assert reporter.record_if_due(replace(IDLE, running=8, state=SidecarState.LEAVING), 3, 1_121.0)


def test_reports_cost_at_most_half_of_the_control_budget() -> None:
    """A load that changes each millisecond costs 1.5 KB/s with 22 entries and 60 bytes a report."""
    reporter = make_load_reporter()
    sent = 0
    for n in range(60_000):
        load = replace(IDLE, running=n % 9)
        sent += reporter.record_if_due(load, 22, float(n))
    assert sent * 22 * 60 <= 1_500 * 60 + 22 * 60
    assert report_interval(22) == 880.0
