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
    """

    kind: VerdictKind
    failure: Failure | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspectUpdate:
    """A fingerprint's new state, for other entries and for the fingerprint's object in the store.

    Attributes:
        fingerprint: Digest of organisation and body.
        quarantined: Whether the fingerprint is quarantined now.
        values: The values for `SuspectTable.merge`.
    """

    fingerprint: str
    quarantined: bool
    values: dict[str, str]


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
    """The evidence against one fingerprint, and the claim of its single run."""

    changed: Millis
    crashes_to_quarantine: int = CRASHES_TO_QUARANTINE
    last_crash_at: Millis = 0.0
    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    claim: str = ""
    holder: str = ""
    host: str = ""
    held_until: Millis = 0.0

    @property
    def evidence(self) -> int:
        """Number of crashes that the fingerprint is not cleared of."""
        return len(self.crashes - self.cleared)

    @property
    def is_quarantined(self) -> bool:
        """Whether the evidence suffices for a quarantine."""
        return self.evidence >= self.crashes_to_quarantine

    @property
    def was_quarantined(self) -> bool:
        """Whether the evidence has sufficed for a quarantine, lifted or not."""
        return len(self.crashes) >= self.crashes_to_quarantine

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
