"""The limits of callers and organisations at this entry, kept in step with the other entries."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping, Sequence

from absl import logging
from returns.result import Result

from carobspool_core import (
    Caller,
    Clock,
    Demand,
    DemandReport,
    Failure,
    Grant,
    Hint,
    HintKind,
    Limiter,
    Millis,
    Organisation,
    Subject,
    SubjectKind,
)

IDLE_INTERVAL: Millis = 2_500.0
"""Between two reports of an entry without demand: inside the 3.5 s for which a report counts."""
_SEPARATOR = ":"


class SharedLimits:
    """Serialises the use of the limiter and carries its reports by hints. Since 0.1.

    Args:
        limiter: The decision.
        clock: This process's clock.
        tell: Tells a hint to the other entries: kind, subject, values.
    """

    def __init__(
        self,
        limiter: Limiter,
        clock: Clock,
        *,
        tell: Callable[[HintKind, str, dict[str, str]], None],
    ) -> None:
        self._limiter = limiter
        self._clock = clock
        self._tell = tell
        self._lock = threading.Lock()
        self._told_at: Millis = clock.now() - IDLE_INTERVAL

    def admit(
        self, caller: Caller, organisation: Organisation, cost_tokens: int
    ) -> Result[Grant, Failure]:
        """Take a request's share, or return why it is refused and when to come back."""
        with self._lock:
            return self._limiter.admit(caller, organisation, cost_tokens, self._clock.now())

    def release(self, grant: Grant, used_tokens: int) -> None:
        """Give a grant back with the tokens that were really used."""
        with self._lock:
            self._limiter.release(grant, used_tokens, self._clock.now())

    def exchange(self, live: Sequence[str]) -> None:
        """Tell this entry's demand; called about each second.

        Args:
            live: Names of the entries that take requests.
        """
        now = self._clock.now()
        with self._lock:
            self._limiter.set_live_entries(live, now)
            report = self._limiter.measure_demand(now)
        if not report.demands and now - self._told_at < IDLE_INTERVAL:
            return
        # Told also without demand: an entry that is not heard keeps its equal part set aside.
        self._told_at = now
        self._tell(HintKind.USAGE, report.entry, report_values(report))

    def merge(self, hint: Hint) -> None:
        """Take another entry's demand."""
        try:
            report = read_report(hint.subject, hint.values)
        except ValueError as error:
            logging.warning("event=usage_unreadable entry=%s error=%s", hint.subject, error)
            return
        with self._lock:
            self._limiter.apply_report(report, self._clock.now())


def report_values(report: DemandReport) -> dict[str, str]:
    """Return a report as the values of a hint."""
    return {
        f"{subject.kind.value}{_SEPARATOR}{subject.name}": (
            f"{demand.requests:.3f} {demand.tokens:.1f}"
            f" {demand.concurrent:.2f} {demand.in_flight}"
        )
        for subject, demand in report.demands.items()
    }


def read_report(entry: str, values: Mapping[str, str]) -> DemandReport:
    """Return the report that a hint's values hold.

    Raises:
        ValueError: If they hold none.
    """
    demands: dict[Subject, Demand] = {}
    for key, text in values.items():
        kind, _, name = key.partition(_SEPARATOR)
        requests, tokens, concurrent, in_flight = text.split()
        demands[Subject(SubjectKind(kind), name)] = Demand(
            requests=float(requests),
            tokens=float(tokens),
            concurrent=float(concurrent),
            in_flight=int(in_flight),
        )
    return DemandReport(entry=entry, demands=demands)
