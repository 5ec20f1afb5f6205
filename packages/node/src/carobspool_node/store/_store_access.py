"""Small steps on the object store that several modules need."""

from __future__ import annotations

from collections.abc import Iterator

from returns.result import Failure, Result, Success

from carobspool_core import Failure as RequestFailure
from carobspool_core import (
    Json,
    ObjectStore,
    Outcome,
    StoredObject,
    StoreFailure,
    StoreFault,
    unavailable,
)

LIST_PAGE = 200
STORE_RETRY_AFTER = 2_000.0


def request_failure(failure: StoreFailure) -> RequestFailure:
    """Turn a fault of the store into the failure that a caller is told."""
    outcome = Outcome.UNKNOWN if failure.fault is StoreFault.UNKNOWN else Outcome.NOT_RUN
    return unavailable(
        "store_unavailable",
        "The platform's object store does not answer; try again later.",
        retry_after_ms=STORE_RETRY_AFTER,
        outcome=outcome,
    )


def list_all(
    store: ObjectStore, prefix: str
) -> Result[tuple[int, list[StoredObject]], StoreFailure]:
    """Read all objects under a prefix; with them the revision of the first page.

    A change made between two pages has a version above that revision, so a watch from there
    reports it, at worst a second time.
    """
    revision: int | None = None
    objects: list[StoredObject] = []
    after = ""
    while True:
        answer = store.list(prefix, after=after, limit=LIST_PAGE)
        if isinstance(answer, Failure):
            return answer
        page = answer.unwrap()
        revision = page.revision if revision is None else revision
        objects.extend(page.objects)
        if not page.more or not page.objects:
            return Success((revision, objects))
        after = page.objects[-1].key


def iterate_objects(
    store: ObjectStore, prefix: str
) -> Iterator[Result[StoredObject, StoreFailure]]:
    """Yield the objects under a prefix one by one; a failure ends the iteration."""
    after = ""
    while True:
        answer = store.list(prefix, after=after, limit=LIST_PAGE)
        if isinstance(answer, Failure):
            yield answer
            return
        page = answer.unwrap()
        for stored in page.objects:
            yield Success(stored)
        if not page.more or not page.objects:
            return
        after = page.objects[-1].key


def create_immutable(
    store: ObjectStore, key: str, value: Json
) -> Result[StoredObject, StoreFailure]:
    """Create an object whose value follows from its key; an equal one that stands there will do."""
    answer = store.create(key, value)
    if isinstance(answer, Success):
        return answer
    failure = answer.failure()
    if failure.fault not in (StoreFault.CONFLICT, StoreFault.UNKNOWN):
        return answer
    present = store.get(key)
    if isinstance(present, Success) and present.unwrap().value == value:
        return present
    return answer
