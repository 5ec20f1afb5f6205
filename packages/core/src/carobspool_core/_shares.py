"""Division of a limit among the entries that enforce it together.

Load pattern: a caller sends all requests to one entry, or spreads them over all entries, and
switches between the two. Fixed equal shares would admit only a fraction of the limit while one
entry receives all requests; without shares, a caller that uses all entries would get its limit once
per entry.

Each entry reports its demand to the others about once a second. While the total demand is below
the limit, the share of each entry is its own demand plus an equal part of the rest, so a caller
that switches to another entry is admitted there immediately. Above the limit the shares are
proportional to the demand. An entry computes its share from its own demand as last reported, so
that the other entries have reduced their shares before its share grows. For a live entry without a
valid report, an equal share is set aside. When reports are lost, all entries therefore fall back to
equal shares, whose sum never exceeds the limit.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from carobspool_core._clock import Millis

_REPORT_LIFETIME: Millis = 3_500.0
"""Validity of a report: three and a half report intervals, so that two lost reports do no harm."""

_SPARE_FRACTION = 0.05
"""Fraction of a fully used limit that is divided equally, so that an entry without demand so far
can admit requests before its first report. It is half of the 10% by which a total may deviate."""


_SHARE_DECIMALS = 6
"""Decimal places to which shares are rounded before a comparison. Entries add the same demands in
different orders, so the last digits of their sums differ. Without rounding, two entries could both
claim the last unit of a limit, or neither."""


class SubjectKind(StrEnum):
    """Kind of subject that a limit applies to."""

    CALLER = "caller"
    ORGANISATION = "organisation"


@dataclass(frozen=True, slots=True)
class Subject:
    """The caller or organisation that a limit applies to."""

    kind: SubjectKind
    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Demand of one subject at one entry, admitted or not.

    Attributes:
        requests: Requests per minute.
        tokens: Estimated tokens per minute.
        concurrent: Concurrent requests.
        in_flight: Admitted requests that have not ended; may exceed the entry's current share.
    """

    requests: float = 0.0
    tokens: float = 0.0
    concurrent: float = 0.0
    in_flight: int = 0


NO_DEMAND = Demand()


@dataclass(frozen=True, slots=True, kw_only=True)
class DemandReport:
    """Report of one entry's demand to the other entries.

    Subjects whose demand is small compared with an equal share of their limit are left out.

    Attributes:
        entry: Name of the reporting entry.
        demands: Demand of the entry by subject.
    """

    entry: str
    demands: Mapping[Subject, Demand]


class PeerDemands:
    """The demands reported by the other entries.

    Args:
        entry: Name of this entry.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._live: set[str] = set()
        self._report_times: dict[str, Millis] = {}
        self._sorted_reporting: list[str] | None = None
        self._demands_by_entry: dict[str, Mapping[Subject, Demand]] = {}
        self._demands_by_subject: dict[Subject, dict[str, Demand]] = {}

    @property
    def entries(self) -> int:
        """Number of live entries, including this one."""
        return len(self._live) + 1

    @property
    def missing(self) -> int:
        """Number of other live entries without a valid report."""
        return len(self._live) - len(self._report_times)

    @property
    def reporting(self) -> list[str]:
        """Sorted names of the other live entries with a valid report."""
        if self._sorted_reporting is None:
            self._sorted_reporting = sorted(self._report_times)
        return self._sorted_reporting

    @property
    def rank(self) -> int:
        """Number of reporting entries whose names sort before this entry's."""
        return bisect_left(self.reporting, self._entry)

    def set_live(self, live: Iterable[str]) -> None:
        """Set the live entries and drop the reports of entries that are not live."""
        self._live = set(live) - {self._entry}
        for entry in [entry for entry in self._report_times if entry not in self._live]:
            self._drop_report(entry)

    def apply_report(self, report: DemandReport, now: Millis) -> None:
        """Replace the last report of the same entry; ignore an entry that is not live."""
        if report.entry not in self._live:
            return
        self._drop_report(report.entry)
        self._report_times[report.entry] = now
        self._sorted_reporting = None
        self._demands_by_entry[report.entry] = report.demands
        for subject, demand in report.demands.items():
            self._demands_by_subject.setdefault(subject, {})[report.entry] = demand

    def expire(self, now: Millis) -> None:
        """Drop reports that are too old."""
        for entry, reported_at in list(self._report_times.items()):
            if now - reported_at > _REPORT_LIFETIME:
                self._drop_report(entry)

    def demands(self, subject: Subject) -> Mapping[str, Demand]:
        """Return the reported demand of a subject by entry."""
        return self._demands_by_subject.get(subject, {})

    def _drop_report(self, entry: str) -> None:
        self._report_times.pop(entry, None)
        self._sorted_reporting = None
        for subject in self._demands_by_entry.pop(entry, {}):
            demands = self._demands_by_subject[subject]
            del demands[entry]
            if not demands:
                del self._demands_by_subject[subject]


def share_rate(limit: float, own: float, others: float, entries: int, missing: int) -> float:
    """Return this entry's share of a rate limit.

    Args:
        limit: The declared limit.
        own: This entry's demand, as last reported to the other entries.
        others: Sum of the demands of the other entries.
        entries: Number of live entries.
        missing: Number of live entries without a valid report; an equal share is set aside for
            each.
    """
    reporting = entries - missing
    shared = limit * reporting / entries
    demand = own + others
    if demand <= (1.0 - _SPARE_FRACTION) * shared:
        return own + (shared - demand) / reporting
    return (1.0 - _SPARE_FRACTION) * shared * own / demand + _SPARE_FRACTION * shared / reporting


def share_count(limit: int, own: float, others: Sequence[Demand], rank: int, missing: int) -> int:
    """Return this entry's share of a limit on concurrent requests.

    Whole units are allocated by the largest remainder method. All entries compute the allocation
    from the same reports, so their shares add up to the limit. The requests that another entry has
    in flight beyond its share are subtracted: the share of that entry shrank, and its requests have
    not ended yet. Without this, the total would exceed the limit whenever shares change.

    Args:
        limit: The declared limit.
        own: This entry's demand, as last reported to the other entries.
        others: Demand of each reporting entry, including those without demand.
        rank: Number of entries among ``others`` that take precedence over this entry in a tie.
        missing: Number of live entries without a valid report.
    """
    reporting = 1 + len(others)
    total = limit * reporting // (reporting + missing)
    demand = own + sum(other.concurrent for other in others)
    own_share = _exact_share(total, own, demand, reporting)
    peer_shares = [_exact_share(total, other.concurrent, demand, reporting) for other in others]
    units_left = total - int(own_share) - sum(int(peer_share) for peer_share in peer_shares)
    fraction = own_share - int(own_share)
    ahead = sum(
        1
        for index, peer_share in enumerate(peer_shares)
        if _precedes(peer_share, fraction, index < rank)
    )
    excess = sum(
        max(0, other.in_flight - math.ceil(peer_share))
        for other, peer_share in zip(others, peer_shares, strict=True)
    )
    return max(0, int(own_share) + int(ahead < units_left) - excess)


def _exact_share(total: int, own: float, demand: float, reporting: int) -> float:
    return round(share_rate(total, own, demand - own, reporting, 0), _SHARE_DECIMALS)


def _precedes(peer_share: float, fraction: float, wins_tie: bool) -> bool:
    remainder = peer_share - int(peer_share)
    return remainder > fraction or (remainder == fraction and wins_tie)
