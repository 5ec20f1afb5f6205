"""The open jobs as this process knows them, kept by a watch and by hints."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from dataclasses import replace

from absl import logging
from returns.result import Failure, Result, Success

from carobspool_core import (
    Job,
    JobStatus,
    Millis,
    ObjectChange,
    ObjectStore,
    StoredObject,
    StoreFailure,
    StoreFault,
    job_from_json,
)
from carobspool_node.store import WATCH_TIMEOUT, Followed, follow, list_all

JOBS = "jobs/"
OPEN = "open/"


class JobTable:
    """Follows the open jobs. Made by `watch_jobs`.

    All jobs ever accepted stay readable, so listing them at each start would read months of them.
    The markers under ``open/`` list just the open ones.
    """

    def __init__(
        self, store: ObjectStore, changed: Callable[[], None], watch_timeout: Millis
    ) -> None:
        self._store = store
        self._changed = changed
        self._watch_timeout = watch_timeout
        self._lock = threading.Lock()
        self._jobs: dict[str, tuple[Job, int]] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="jobs", daemon=True)

    def start(self) -> None:
        """Start to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to follow; the thread ends within one watch."""
        self._stopping.set()

    def open_jobs(self) -> list[Job]:
        """Return the open jobs, the oldest first."""
        with self._lock:
            jobs = [job for job, _ in self._jobs.values()]
        return sorted(jobs, key=lambda job: (job.created_at, job.id))

    def take(self, job: Job, version: int) -> None:
        """Take in a job as read or written; an older version than the known one is ignored."""
        with self._lock:
            known = self._jobs.get(job.id)
            if known is not None and version <= known[1]:
                return
            if job.ended:
                self._jobs.pop(job.id, None)
            else:
                self._jobs[job.id] = (job, version)
        self._changed()

    def take_cancel_hint(self, job_id: str) -> None:
        """Treat a job as being cancelled before the store tells, or while it cannot be read."""
        with self._lock:
            known = self._jobs.get(job_id)
            if known is None:
                return
            job, version = known
            self._jobs[job_id] = (replace(job, status=JobStatus.CANCELLING), version)
        self._changed()

    def refresh(self, job_id: str) -> None:
        """Read a job now."""
        found = self._store.get(JOBS + job_id)
        if isinstance(found, Success):
            self._take_stored(found.unwrap())

    def _run(self) -> None:
        followed = Followed(
            reset=self._reset, changed=self._take_changes, answered=_nothing, failed=_nothing
        )
        follow(
            self._store,
            JOBS,
            self._load,
            followed,
            self._stopping,
            watch_timeout=self._watch_timeout,
        )

    def _load(self) -> Result[tuple[int, list[StoredObject]], StoreFailure]:
        listed = list_all(self._store, OPEN)
        if isinstance(listed, Failure):
            return listed
        revision, markers = listed.unwrap()
        jobs: list[StoredObject] = []
        for marker in markers:
            found = self._store.get(JOBS + marker.key.removeprefix(OPEN))
            if isinstance(found, Success):
                jobs.append(found.unwrap())
                self._clear_stale(marker, found.unwrap())
                continue
            if found.failure().fault is not StoreFault.NOT_FOUND:
                return Failure(found.failure())
        return Success((revision, jobs))

    def _clear_stale(self, marker: StoredObject, stored: StoredObject) -> None:
        """Delete the marker of an ended job, left by a coordinator that was lost in between."""
        job = _read_stored(stored)
        if job is not None and job.ended:
            self._store.delete(marker.key, version=marker.version)

    def _reset(self, objects: Iterable[StoredObject]) -> None:
        present: set[str] = set()
        for stored in objects:
            present.add(stored.key.removeprefix(JOBS))
            self._take_stored(stored)
        with self._lock:
            missing = self._jobs.keys() - present
        for job_id in missing:
            self.refresh(job_id)

    def _take_changes(self, changes: Iterable[ObjectChange]) -> None:
        for change in changes:
            if change.deleted:
                continue
            self._take_stored(change.object)

    def _take_stored(self, stored: StoredObject) -> None:
        job = _read_stored(stored)
        if job is not None:
            self.take(job, stored.version)


def watch_jobs(
    store: ObjectStore, changed: Callable[[], None], *, watch_timeout: Millis = WATCH_TIMEOUT
) -> JobTable:
    """Return the table of open jobs; `JobTable.start` begins.

    Args:
        store: The object store.
        changed: Called after each change, on the thread that brought it.
        watch_timeout: Longest wait of one watch, in milliseconds.

    Since 0.1.
    """
    return JobTable(store, changed, watch_timeout)


def _read_stored(stored: StoredObject) -> Job | None:
    """Read a job; a damaged one is logged and left out, so that all others still run."""
    try:
        return job_from_json(stored.value)
    except (KeyError, TypeError, ValueError) as error:
        logging.error("event=job_unreadable key=%s detail=%r", stored.key, error)
        return None


def _nothing() -> None:
    return None
