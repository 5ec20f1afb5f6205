"""Load reports: told when it matters, within the budget of control traffic."""

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


def test_leaving_is_told_at_once_a_change_of_load_soon_and_nothing_else_before_the_heartbeat() -> (
    None
):
    """Entries hear at once of a sidecar that leaves, and after the interval of a new band."""
    reporter = make_load_reporter()
    assert reporter.is_due(IDLE, 3, 0.0)
    assert not reporter.is_due(replace(IDLE, running=8), 3, 50.0)
    assert reporter.is_due(replace(IDLE, running=8), 3, 120.0)
    assert not reporter.is_due(replace(IDLE, running=8, tokens=9), 3, 900.0)
    assert reporter.is_due(replace(IDLE, running=8), 3, 1_120.0)
    assert reporter.is_due(replace(IDLE, running=8, state=SidecarState.LEAVING), 3, 1_121.0)


def test_reports_cost_at_most_half_of_the_control_budget() -> None:
    """A load that changes each millisecond costs 1.5 KB/s over 22 entries, at 60 bytes each."""
    reporter = make_load_reporter()
    sent = 0
    for n in range(60_000):
        load = replace(IDLE, running=n % 9)
        sent += reporter.is_due(load, 22, float(n))
    assert sent * 22 * 60 <= 1_500 * 60 + 22 * 60
    assert report_interval(22) == 880.0
