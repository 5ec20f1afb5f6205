"""Following a set of objects: list, then watch, through outages and forgotten revisions."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from absl import logging
from returns.result import Failure, Result

from carobspool_core import (
    Millis,
    ObjectChange,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFault,
)

WATCH_TIMEOUT: Millis = 3_000.0
RETRY_PAUSE: Millis = 500.0

Load = Callable[[], Result[tuple[int, list[StoredObject]], StoreFailure]]


@dataclass(frozen=True, slots=True, kw_only=True)
class Followed:
    """Where the news of a followed set go; all are called on the following thread.

    Attributes:
        reset: Takes the whole set, at the start and whenever events were missed.
        changed: Takes changes in order; a change may be told twice.
        answered: Called after each successful call, also one without news.
        failed: Called after each failed call.
    """

    reset: Callable[[Iterable[StoredObject]], None]
    changed: Callable[[Iterable[ObjectChange]], None]
    answered: Callable[[], None]
    failed: Callable[[], None]


def follow(
    store: ObjectStore,
    prefix: str,
    load: Load,
    followed: Followed,
    stopping: threading.Event,
    *,
    watch_timeout: Millis = WATCH_TIMEOUT,
) -> None:
    """Follow the objects under a prefix until told to stop.

    Args:
        store: The object store.
        prefix: What to watch.
        load: Reads the whole set with the revision from which to watch.
        followed: Receiver of the news.
        stopping: Set to end the loop, within one watch.
        watch_timeout: Longest wait of one call, in milliseconds.
    """
    revision: int | None = None
    while not stopping.is_set():
        if revision is None:
            loaded = load()
            if isinstance(loaded, Failure):
                _failed(prefix, loaded.failure(), followed, stopping)
                continue
            revision, objects = loaded.unwrap()
            followed.reset(objects)
            followed.answered()
        answer = store.watch(prefix, revision=revision, timeout=watch_timeout)
        if isinstance(answer, Failure):
            if answer.failure().fault is StoreFault.COMPACTED:
                revision = None
                continue
            _failed(prefix, answer.failure(), followed, stopping)
            continue
        batch = answer.unwrap()
        revision = max(revision, batch.revision)
        followed.changed(batch.changes)
        followed.answered()


def _failed(
    prefix: str, failure: StoreFailure, followed: Followed, stopping: threading.Event
) -> None:
    logging.warning("event=follow_failed prefix=%s fault=%s", prefix, failure.fault.value)
    followed.failed()
    stopping.wait(RETRY_PAUSE / 1000.0)
