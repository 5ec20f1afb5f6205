"""Drain orders: a host that an operator takes out of service, and its return."""

from __future__ import annotations

import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import (
    AuditKind,
    AuditRecord,
    Json,
    ObjectStore,
    StoredObject,
    StoreFault,
    audit_to_json,
    wall_millis,
)

DRAINS_PREFIX = "drains/"
MAX_ROUNDS = 8
KEPT_RECORDS = 50
"""Audit records kept in a host's drain object."""

PAGE = 500


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainError:
    """A drain order that was not written.

    Attributes:
        detail: What failed.
        unknown: Whether it may have taken effect; giving it again is harmless.

    Since 0.1.
    """

    detail: str
    unknown: bool = False


def drain_key(host: str) -> str:
    """Return the key of a host's drain order."""
    return f"{DRAINS_PREFIX}{host}"


def set_drain(
    store: ObjectStore,
    host: str,
    drain: bool,
    who: str,
    reason: str,
    *,
    now: Callable[[], int] = wall_millis,
) -> Result[AuditRecord | None, DrainError]:
    """Drain a host, or return it to service.

    Args:
        store: The object store.
        host: Name of the upstream's host.
        drain: Whether it is to be drained; else it is returned.
        who: Caller id of the operator.
        reason: Why.
        now: Wall clock in milliseconds since the Unix epoch.

    Returns:
        The audit record, or ``None`` when the host is in that state already.

    Since 0.1.
    """
    write = uuid.uuid4().hex
    lost: AuditRecord | None = None
    for _ in range(MAX_ROUNDS):
        present = _present(store, host)
        if not is_successful(present):
            return Failure(replace(present.failure(), unknown=lost is not None))
        stored = present.unwrap()
        if lost is not None and stored is not None and stored.value.get("write") == write:
            return Success(lost)
        before = is_drained(stored.value) if stored else False
        if before is drain:
            return Success(None)
        record = _record(host, before, drain, now(), who, reason)
        value = _value(stored, drain, write, record)
        if stored is None:
            result = store.create(drain_key(host), value)
        else:
            result = store.update(drain_key(host), value, version=stored.version)
        if is_successful(result):
            return Success(record)
        failure = result.failure()
        if failure.fault is StoreFault.UNKNOWN:
            lost = record
            continue
        if failure.fault is not StoreFault.CONFLICT:
            return Failure(DrainError(detail=f"{failure.key}: {failure.fault}"))
    return Failure(DrainError(detail=f"{host}: no answer could be settled", unknown=True))


def drained_hosts(store: ObjectStore) -> Result[frozenset[str], DrainError]:
    """Return the hosts that are to be drained.

    Since 0.1.
    """
    hosts: set[str] = set()
    last = ""
    while True:
        page = store.list(DRAINS_PREFIX, after=last, limit=PAGE)
        if not is_successful(page):
            failure = page.failure()
            return Failure(DrainError(detail=f"{failure.key}: {failure.fault}"))
        for stored in page.unwrap().objects:
            last = stored.key
            if is_drained(stored.value):
                hosts.add(stored.key.removeprefix(DRAINS_PREFIX))
        if not page.unwrap().more:
            return Success(frozenset(hosts))


def is_drained(value: Json) -> bool:
    """Return whether a stored drain object says that its host is to be drained."""
    return isinstance(value, dict) and value.get("drain") is True


def _present(store: ObjectStore, host: str) -> Result[StoredObject | None, DrainError]:
    found = store.get(drain_key(host))
    if is_successful(found):
        return Success(found.unwrap())
    failure = found.failure()
    if failure.fault is StoreFault.NOT_FOUND:
        return Success(None)
    return Failure(DrainError(detail=f"{failure.key}: {failure.fault}"))


def _record(host: str, before: bool, after: bool, at: int, who: str, reason: str) -> AuditRecord:
    return AuditRecord(
        at=at,
        who=who,
        kind=AuditKind.DRAIN,
        subject=host,
        reason=reason,
        before={"drain": before},
        after={"drain": after},
    )


def _value(stored: StoredObject | None, drain: bool, write: str, record: AuditRecord) -> Json:
    earlier = stored.value.get("audit", []) if stored else []
    records = [*earlier, audit_to_json(record)][-KEPT_RECORDS:]
    return {"drain": drain, "write": write, "audit": records}
