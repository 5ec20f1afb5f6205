"""Audit records: who changed what, when and why.

A record is stored in the same conditional write as the change that it describes, so that neither
exists without the other.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from pydantic import Field
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core._clock import Millis
from carobspool_core._ports import Json
from carobspool_core.border import BorderModel, validate


class AuditKind(StrEnum):
    """What was changed."""

    CONFIGURATION = "configuration"
    DRAIN = "drain"
    CANCEL = "cancel"
    QUARANTINE = "quarantine"


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditRecord:
    """One accepted change.

    Attributes:
        at: When it was accepted, in milliseconds since the Unix epoch.
        who: Caller id of the operator, or name of the node that made the change automatically.
        kind: What was changed, one of `AuditKind`.
        subject: What the change applies to: a revision number, host, job id or fingerprint.
        reason: Reason stated by whoever made the change.
        before: Previous value; ``None`` when there was none.
        after: New value; ``None`` when it was removed.

    Since 0.1.
    """

    at: Millis
    who: str
    kind: str
    subject: str
    reason: str
    before: Json
    after: Json


@dataclass(frozen=True, slots=True, kw_only=True)
class AuditError:
    """A stored audit record that cannot be read."""

    detail: str


class _AuditModel(BorderModel):
    at: float
    who: str
    kind: str = Field(pattern="^(configuration|drain|cancel|quarantine)$")
    subject: str
    reason: str
    before: Json = None
    after: Json = None


def audit_to_json(record: AuditRecord) -> Json:
    """Return the JSON value in which an audit record is stored."""
    return {
        "at": record.at,
        "who": record.who,
        "kind": str(record.kind),
        "subject": record.subject,
        "reason": record.reason,
        "before": record.before,
        "after": record.after,
    }


def audit_from_json(value: Json) -> Result[AuditRecord, AuditError]:
    """Read a stored audit record."""
    model = validate(_AuditModel, value)
    if not is_successful(model):
        return Failure(AuditError(detail="; ".join(str(each) for each in model.failure())))
    found = model.unwrap()
    return Success(
        AuditRecord(
            at=found.at,
            who=found.who,
            kind=found.kind,
            subject=found.subject,
            reason=found.reason,
            before=found.before,
            after=found.after,
        )
    )
