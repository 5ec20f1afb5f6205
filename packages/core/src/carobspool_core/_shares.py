"""How the entries divide a limit that holds over all of them.

Load pattern: a caller sends everything to one entry, or spreads over all, and changes between the
two. Fixed equal shares would cut the first to a fraction of its limit; no shares would let the
second have its limit once for each entry.

Each entry tells the others its demand about once a second. While the total demand is below the
limit, each entry may use its own demand and an equal part of the rest, so a caller who appears at
another entry is admitted there at once. Above the limit the parts follow the demand. An entry uses
its own demand only as it last told the others, so they have made room before it takes more. A live
entry that is not heard gets its equal part set aside: when reports are lost, all fall back to equal
parts, whose sum is never above the limit.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from carobspool_core._clock import Millis

REPORT_LAPSES: Millis = 3_500.0
"""A report counts for three and a half report intervals, so that two lost ones change nothing."""

_SPARE = 0.05
"""Part of a limit in full demand that is divided equally, so that an entry without demand so far
can admit something before its first report. Half of the 10% by which a total may be off."""


_DIGITS = 6
"""Digits that decide a tie. Entries add the same demands in another order, and the last digits of
their sums differ; uncut, two entries could each take the last part, or neither."""


class SubjectKind(StrEnum):
    """What a limit is declared for."""

    CALLER = "caller"
    ORGANISATION = "organisation"


@dataclass(frozen=True, slots=True)
class Subject:
    """Whom a limit concerns."""

    kind: SubjectKind
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """What was asked of one entry, whether it was admitted or not.

    Attributes:
        requests: Requests a minute.
        tokens: Estimated tokens a minute.
        concurrent: Requests at once.
        in_flight: Requests admitted and not ended, whatever the entry's part is now.
    """

    requests: float = 0.0
    tokens: float = 0.0
    concurrent: float = 0.0
    in_flight: int = 0


NO_DEMAND = Demand()


@dataclass(frozen=True, slots=True, kw_only=True)
class UsageReport:
    """One entry's demand, for the other entries. Subjects that need no more than an equal part of
    their limit are left out.

    Attributes:
        entry: Who reports.
        demands: Its demand by subject.
    """

    entry: str
    demands: Mapping[Subject, Demand]


class Peers:
    """What the other entries reported.

    Args:
        entry: Name of this entry.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._live: set[str] = set()
        self._heard: dict[str, Millis] = {}
        self._sorted: list[str] | None = None
        self._reported: dict[str, Mapping[Subject, Demand]] = {}
        self._demands: dict[Subject, dict[str, Demand]] = {}

    @property
    def entries(self) -> int:
        """Live entries, this one included."""
        return len(self._live) + 1

    @property
    def unheard(self) -> int:
        """Other live entries without a valid report."""
        return len(self._live) - len(self._heard)

    @property
    def heard(self) -> list[str]:
        """Other live entries with a valid report, by name."""
        if self._sorted is None:
            self._sorted = sorted(self._heard)
        return self._sorted

    @property
    def rank(self) -> int:
        """Heard entries whose names come before this one's."""
        return bisect_left(self.heard, self._entry)

    def set_live(self, live: Iterable[str]) -> None:
        """Set the live entries; what the others reported is forgotten."""
        self._live = set(live) - {self._entry}
        for entry in [entry for entry in self._heard if entry not in self._live]:
            self._forget(entry)

    def merge(self, report: UsageReport, now: Millis) -> None:
        """Take a report in the place of the last one of the same entry."""
        if report.entry not in self._live:
            return
        self._forget(report.entry)
        self._heard[report.entry] = now
        self._sorted = None
        self._reported[report.entry] = report.demands
        for subject, demand in report.demands.items():
            self._demands.setdefault(subject, {})[report.entry] = demand

    def lapse(self, now: Millis) -> None:
        """Forget reports that are too old."""
        for entry, heard in list(self._heard.items()):
            if now - heard > REPORT_LAPSES:
                self._forget(entry)

    def demands(self, subject: Subject) -> Mapping[str, Demand]:
        """Return the demand of each other entry that reported any."""
        return self._demands.get(subject, {})

    def _forget(self, entry: str) -> None:
        self._heard.pop(entry, None)
        self._sorted = None
        for subject in self._reported.pop(entry, {}):
            demands = self._demands[subject]
            del demands[entry]
            if not demands:
                del self._demands[subject]


def share_rate(limit: float, own: float, others: float, entries: int, unheard: int) -> float:
    """Return this entry's part of a rate limit.

    Args:
        limit: The declared limit.
        own: This entry's demand, as it last told the others.
        others: Sum of the demand of the others.
        entries: Live entries.
        unheard: Entries among them without a valid report; each gets its equal part set aside.
    """
    heard = entries - unheard
    shared = limit * heard / entries
    demand = own + others
    if demand <= (1.0 - _SPARE) * shared:
        return own + (shared - demand) / heard
    return (1.0 - _SPARE) * shared * own / demand + _SPARE * shared / heard


def share_count(limit: int, own: float, others: Sequence[Demand], rank: int, unheard: int) -> int:
    """Return this entry's part of a bound on requests at once.

    Whole parts are dealt out by largest remainder, so that the parts of all entries, which work
    them out from the same reports, add up to the limit. What another entry still has in flight
    above its part is taken off: its part shrank, and its requests take their time to end. Without
    that, the total goes over the bound each time that parts move.

    Args:
        limit: The declared limit.
        own: This entry's demand, as it last told the others.
        others: Demand of each other entry that is heard, also of those that have none.
        rank: Entries among ``others`` that come before this one in case of a tie.
        unheard: Live entries without a valid report.
    """
    heard = 1 + len(others)
    total = limit * heard // (heard + unheard)
    demand = own + sum(other.concurrent for other in others)
    mine = _exact_part(total, own, demand, heard)
    parts = [_exact_part(total, other.concurrent, demand, heard) for other in others]
    left = total - int(mine) - sum(int(part) for part in parts)
    fraction = mine - int(mine)
    ahead = sum(1 for index, part in enumerate(parts) if _precedes(part, fraction, index < rank))
    over = sum(
        max(0, other.in_flight - math.ceil(part)) for other, part in zip(others, parts, strict=True)
    )
    return max(0, int(mine) + int(ahead < left) - over)


def _exact_part(total: int, own: float, demand: float, heard: int) -> float:
    return round(share_rate(total, own, demand - own, heard, 0), _DIGITS)


def _precedes(part: float, fraction: float, earlier: bool) -> bool:
    remainder = part - int(part)
    return remainder > fraction or (remainder == fraction and earlier)
