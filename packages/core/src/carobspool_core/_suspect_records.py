"""What is known of a request suspected of crashing upstreams, and what its caller is told."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from http import HTTPStatus

from carobspool_core._clock import Millis
from carobspool_core._outcome import Failure, invalid_request, unavailable

CRASHES_TO_QUARANTINE = 2
SUSPECT_KEPT: Millis = 86_400_000.0
"""Evidence is kept for a day: a caller that resends each hour takes down two upstreams, not two an
hour. An innocent that comes back within the day is cleared by its first run."""
QUARANTINE_KEPT: Millis = 7 * 86_400_000.0
"""A week: engines are updated about as often, and a new one may well run the request."""
BUSY_RETRY_AFTER: Millis = 2_000.0
"""When to come back while the single run is under way: most answers take a few seconds."""


class VerdictKind(StrEnum):
    """What may be done with a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """The judgement of a fingerprint.

    Attributes:
        kind: ``SUSPECT``: `Suspects.claim` comes before running it.
        failure: What its caller gets at once; ``None`` when it may run.
    """

    kind: VerdictKind
    failure: Failure | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspectChange:
    """News of a fingerprint, for other entries and for its object in the store.

    Attributes:
        fingerprint: Digest of organisation and body.
        quarantined: Whether it is quarantined now.
        values: What `Suspects.merge` takes.
    """

    fingerprint: str
    quarantined: bool
    values: dict[str, str]


@dataclass(slots=True, kw_only=True)
class SuspectRecord:
    """One fingerprint's evidence and the claim of its single run."""

    changed: Millis
    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    claim: str = ""
    holder: str = ""
    host: str = ""
    held_until: Millis = 0.0

    @property
    def evidence(self) -> int:
        """Crashes that it is not cleared of."""
        return len(self.crashes - self.cleared)

    @property
    def kept_for(self) -> Millis:
        """How long it is remembered after its last change."""
        quarantined = self.evidence >= CRASHES_TO_QUARANTINE
        return QUARANTINE_KEPT if quarantined else SUSPECT_KEPT


def quarantined_failure() -> Failure:
    """Return the final answer to a request in quarantine."""
    message = "this request crashed two upstreams and is not run again"
    return invalid_request(
        "request_quarantined", message, status=HTTPStatus.UNPROCESSABLE_ENTITY.value
    )


def busy_failure() -> Failure:
    """Return the answer to a suspect that runs elsewhere."""
    message = "the request is suspected of crashing upstreams and runs elsewhere now"
    return unavailable("suspect_running", message, retry_after_ms=BUSY_RETRY_AFTER)
