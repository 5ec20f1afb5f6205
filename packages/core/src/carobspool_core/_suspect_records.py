"""Records of requests suspected of crashing upstreams, and the failures that callers receive."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus

from carobspool_core._clock import Millis
from carobspool_core._outcome import Failure, invalid_request, unavailable

CRASHES_TO_QUARANTINE = 2
"""Enough where each run of a suspect is claimed: then no two suspects share an upstream."""
SUSPECT_RETENTION: Millis = 86_400_000.0
"""Evidence is kept for a day, so that a caller that resends each hour crashes two upstreams in all
instead of two an hour. An innocent request that returns within the day is cleared by its first run.
"""
QUARANTINE_RETENTION: Millis = 7 * 86_400_000.0
"""A week: engines are updated about as often, and a new engine may well run the request."""
PART_PREFIX = "part-"
"""Begins the fingerprint of a part of prompts, which many different requests share."""
ITEM_PREFIX = "item-"
"""Begins the fingerprint of a batch item. Items crash nothing by themselves, so evidence against
one only delays it and says nothing about other fingerprints."""
MIN_PART_SPAN: Millis = 300.0
"""Time that the crashes under a part must span before requests with it are refused. Servers that
are lost together end under each popular part at once; on the servers that are left a popular part
is written on within this time, and a rare one runs alone next."""
MAX_CLEARED_CRASHES = 32
"""Crashes of a part after which those that it is cleared of are dropped. A popular part is in
flight at each crash, and its state must fit into a hint."""
RUNNING_RETRY_AFTER: Millis = 2_000.0
"""Retry delay while the single run is in progress; most answers take a few seconds."""


class VerdictKind(StrEnum):
    """Whether a request may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """The result of checking a fingerprint.

    Attributes:
        kind: For ``SUSPECT``, call `SuspectTable.claim` before running the request.
        failure: The failure to return to the caller at once; ``None`` if the request may run.
        fingerprint: The fingerprint that is suspected, empty for ``CLEAR``.
    """

    kind: VerdictKind
    failure: Failure | None = None
    fingerprint: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspectUpdate:
    """A fingerprint's new state, for other entries and for the fingerprint's object in the store.

    Attributes:
        fingerprint: Digest of organisation and body.
        quarantined: Whether the fingerprint is quarantined now.
        values: The values for `SuspectTable.merge`.
        was_quarantined: Whether it is or was quarantined.
    """

    fingerprint: str
    quarantined: bool
    values: dict[str, str]
    was_quarantined: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """The evidence against one fingerprint.

    Attributes:
        crashes: Number of crashes that the fingerprint is not cleared of.
        last_crash_at: When the last of them became known.
    """

    crashes: int
    last_crash_at: Millis


@dataclass(slots=True, kw_only=True)
class SuspectRecord:
    """The evidence against one fingerprint, and the claim of its single run.

    Attributes:
        changed: When the record last changed.
        crashes_to_quarantine: Number of crashes after which the fingerprint is quarantined.
        min_span: Time that these crashes must span.
        first_crash_at: When the first crash that is not cleared became known.
        last_crash_at: When the last crash became known.
        crashes: All crashes.
        cleared: The crashes that the fingerprint is cleared of.
        confirmed: Crashes at which the span was long enough; those that are cleared do not count.
        claim: The claim of the single run.
        holder: The entry that holds it.
        host: The host of the upstream that runs it.
        held_until: When the claim ends.
    """

    changed: Millis
    crashes_to_quarantine: int = CRASHES_TO_QUARANTINE
    min_span: Millis = 0.0
    first_crash_at: Millis = 0.0
    last_crash_at: Millis = 0.0
    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    confirmed: set[str] = field(default_factory=set)
    claim: str = ""
    holder: str = ""
    host: str = ""
    held_until: Millis = 0.0

    @property
    def uncleared(self) -> set[str]:
        """The crashes that the fingerprint is not cleared of."""
        return self.crashes - self.cleared

    @property
    def evidence(self) -> int:
        """Number of crashes that the fingerprint is not cleared of."""
        return len(self.uncleared)

    @property
    def is_quarantined(self) -> bool:
        """Whether the evidence suffices for a quarantine."""
        if self.evidence < self.crashes_to_quarantine:
            return False
        return not self.min_span or not self.confirmed <= self.cleared

    @property
    def was_quarantined(self) -> bool:
        """Whether the evidence has sufficed for a quarantine, lifted or not."""
        if len(self.crashes) < self.crashes_to_quarantine:
            return False
        return not self.min_span or bool(self.confirmed)

    def add_crashes(self, crashes: set[str], at: Millis) -> None:
        """Add crashes that became known at a time."""
        before = self.evidence
        self.crashes |= crashes
        if self.evidence <= before:
            return
        if not before:
            self.first_crash_at = at
        self.last_crash_at = at
        if (
            self.evidence >= self.crashes_to_quarantine
            and at - self.first_crash_at >= self.min_span
        ):
            self.confirmed.add(max(crashes - self.cleared))

    def drop_cleared(self, kept: set[str]) -> None:
        """Drop crashes that the fingerprint is cleared of, if there are many of them.

        A part that was quarantined stays recognisable as one.

        Args:
            kept: Crashes that are not dropped.
        """
        if not self.min_span or len(self.crashes) <= MAX_CLEARED_CRASHES:
            return
        if self.was_quarantined:
            kept = kept | self.confirmed | set(sorted(self.crashes)[: self.crashes_to_quarantine])
        dropped = self.cleared - kept
        self.crashes -= dropped
        self.cleared -= dropped

    @property
    def retention(self) -> Millis:
        """Time for which the record is kept after its last change."""
        return QUARANTINE_RETENTION if self.is_quarantined else SUSPECT_RETENTION


def quarantined_failure() -> Failure:
    """Return the failure of a quarantined request, which the caller should not retry."""
    message = "this request crashed each upstream that ran it and is not run again"
    return invalid_request(
        "request_quarantined", message, status=HTTPStatus.UNPROCESSABLE_ENTITY.value
    )


def already_running_failure() -> Failure:
    """Return the failure of a suspect that is running at another upstream."""
    message = "the request is suspected of crashing upstreams and runs elsewhere now"
    return unavailable("suspect_running", message, retry_after_ms=RUNNING_RETRY_AFTER)
