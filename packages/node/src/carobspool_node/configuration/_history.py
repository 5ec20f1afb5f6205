"""Reads what was changed: revisions of the configuration, and the audit trail of all kinds."""

from __future__ import annotations

from collections.abc import Iterator

from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import AuditRecord, Json, ObjectStore, StoredObject, audit_from_json
from carobspool_core.revision import Revision, revision_to_audit_record
from carobspool_node.configuration._objects import (
    REVISIONS_PREFIX,
    ConfigReadError,
    parse_revision,
    read_error,
    read_head,
    revision_key,
)

AUDITED_PREFIXES = ("drains/", "jobs/", "quarantine/")
"""Objects whose value holds its own audit records in the list ``audit``."""

PAGE = 500


def history(
    store: ObjectStore, after: int, limit: int
) -> Result[tuple[Revision, ...], ConfigReadError]:
    """Return accepted revisions in their order.

    Args:
        store: The object store.
        after: Number above which to start.
        limit: Most revisions to return.

    Since 0.1.
    """
    found: list[Revision] = []
    last = revision_key(after)
    while len(found) < limit:
        wanted = min(PAGE, limit - len(found))
        page = store.list(REVISIONS_PREFIX, after=last, limit=wanted)
        if not is_successful(page):
            return Failure(read_error(page.failure()))
        for stored in page.unwrap().objects:
            last = stored.key
            revision = parse_revision(stored)
            if not is_successful(revision):
                return Failure(revision.failure())
            found.extend(_present(revision.unwrap()))
        if not page.unwrap().more:
            break
    return Success(tuple(found))


def audit(store: ObjectStore, limit: int) -> Result[tuple[AuditRecord, ...], ConfigReadError]:
    """Return the newest audit records of all kinds, newest first.

    Args:
        store: The object store.
        limit: Most records to return.

    Since 0.1.
    """
    head = read_head(store)
    if not is_successful(head):
        return Failure(head.failure())
    # Revisions beyond a head that lags are found as well: the list goes on to its end.
    revisions = history(store, max(0, head.unwrap() - limit), limit + PAGE)
    if not is_successful(revisions):
        return Failure(revisions.failure())
    records = [revision_to_audit_record(revision) for revision in revisions.unwrap()]
    for prefix in AUDITED_PREFIXES:
        found = _records_under(store, prefix)
        if not is_successful(found):
            return Failure(found.failure())
        records.extend(found.unwrap())
    records.sort(key=lambda record: record.at, reverse=True)
    return Success(tuple(records[:limit]))


def _records_under(store: ObjectStore, prefix: str) -> Result[list[AuditRecord], ConfigReadError]:
    records: list[AuditRecord] = []
    last = ""
    while True:
        page = store.list(prefix, after=last, limit=PAGE)
        if not is_successful(page):
            return Failure(read_error(page.failure()))
        for stored in page.unwrap().objects:
            last = stored.key
            records.extend(_records_in(stored))
        if not page.unwrap().more:
            return Success(records)


def _records_in(stored: StoredObject) -> Iterator[AuditRecord]:
    values: Json = stored.value.get("audit", []) if isinstance(stored.value, dict) else []
    for value in values:
        record = audit_from_json(value)
        if is_successful(record):
            yield record.unwrap()
            continue
        detail = record.failure().detail
        logging.error("event=audit_record_unreadable key=%s detail=%r", stored.key, detail)


def _present(revision: Revision | None) -> list[Revision]:
    return [] if revision is None else [revision]
