"""Who owns a job: taking a new one on, and taking over those whose owner is gone.

Hints tell whose owner is gone; only the conditional write of the new owner counts. A wrong guess
costs one write that fails.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable

from absl import logging
from msgspec import Struct
from msgspec.structs import replace
from returns.pipeline import is_successful

from carobspool_core import Clock, Millis, StoredObject, StoreFailure, StoreFault
from carobspool_core.direct import JobInput
from carobspool_node.direct._job_catalog import JobCatalog, initial_progress
from carobspool_node.direct._job_records import INPUTS, PROGRESS, StoredProgress
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._owned_job import OwnedJob
from carobspool_node.direct._peers import Peers
from carobspool_node.direct._telemetry import Telemetry

FALLBACK_ADOPTION_DELAY: Millis = 3_000.0
"""How long a job without an owner is left to the entry that all others would choose: it knows of
the loss within a few hints, and its takeover takes three calls to the store."""

_UNRECOVERABLE_FAULTS = (StoreFault.NOT_FOUND, StoreFault.UNREADABLE)
"""Asking again would cost a call each half second for as long as the record lies there."""


class _Orphan(Struct, frozen=True, kw_only=True):
    """A job without an owner.

    Attributes:
        since: When that was noted here.
        reason: Why, for the log.
        lost_owner: Who gave it up or was seen to be gone, ``None`` when nobody was.
    """

    since: Millis
    reason: str
    lost_owner: str | None


class JobAdoption:
    """Takes jobs on for this entry.

    Args:
        clock: The process's clock.
        catalog: The jobs in the store.
        runner: Works on the owned jobs.
        peers: The other entries.
        telemetry: Counts takeovers and the time that jobs had no owner.
        peers_settled: Returns whether this entry has been up for long enough to judge who is gone.
    """

    def __init__(
        self,
        clock: Clock,
        catalog: JobCatalog,
        runner: JobRunner,
        peers: Peers,
        telemetry: Telemetry,
        *,
        peers_settled: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._runner = runner
        self._peers = peers
        self._telemetry = telemetry
        self._peers_settled = peers_settled
        self._takeover_lock = threading.Lock()
        self._orphans: dict[str, _Orphan] = {}
        self._orphans_lock = threading.Lock()

    def start_owning(self, job: JobInput, stored: StoredProgress, *, requested_at: Millis) -> None:
        """Work on a job from now on.

        Args:
            job: As submitted.
            stored: Its progress in the store.
            asked: When the store was asked for the write that made this entry the owner.
        """
        self._catalog.cache_input(job)
        records = self._catalog.records
        identity = self._peers.identity
        self._runner.add(
            OwnedJob(job, stored, records, identity, self._clock, requested_at=requested_at)
        )
        self._peers.announce()
        logging.info(
            "event=job_owned job=%s items=%d committed=%d",
            job.job_id,
            len(job.items),
            len(stored.progress.results),
        )

    def ensure_owner(self, job_id: str, reason: str, *, lost_owner: str | None = None) -> bool:
        """Make sure that a stored job has a living owner; return whether that is settled.

        Args:
            job_id: The job.
            reason: Why it may have none, for the log.
            lost_owner: Who is known to work on it no more, so that a process which has just started
                need not wait until it has heard of all the others.
        """
        if self._runner.get(job_id) is not None:
            return True
        settled = self._peers_settled()
        if lost_owner is None and not settled:
            return False
        job = self._catalog.read_input(job_id)
        if not is_successful(job):
            return job.failure().fault in _UNRECOVERABLE_FAULTS
        state = self._catalog.current_progress(job.unwrap())
        if not is_successful(state):
            return state.failure().fault in _UNRECOVERABLE_FAULTS
        progress = state.unwrap().progress
        if self._catalog.cache_if_finished(job_id, progress):
            return True
        if not settled and progress.owner != lost_owner:
            # Another has taken it over already, and this process has not heard of that one yet.
            # Taken from it, the job's runs are cut and resumed, once for each process that starts.
            return False
        return self._take_over(job.unwrap(), state.unwrap(), reason)

    def add_orphans(
        self, job_ids: Iterable[str], reason: str, *, lost_owner: str | None = None
    ) -> None:
        """Note jobs whose owner is gone; `adopt_orphans` finds each a new one.

        Args:
            job_ids: The jobs.
            reason: Why, for the log.
            lost_owner: Who gave them up or was seen to be gone, ``None`` when nobody was.
        """
        orphan = _Orphan(since=self._clock.now(), reason=reason, lost_owner=lost_owner)
        with self._orphans_lock:
            for job_id in job_ids:
                known = self._orphans.get(job_id)
                # What a start noted in the store before it heard of the owner holds nothing back.
                if known is None or (lost_owner is not None and known.lost_owner != lost_owner):
                    self._orphans[job_id] = orphan

    def adopt_orphans(self, is_assigned: Callable[[str], bool]) -> None:
        """Take over orphans; those that cannot be read stay for the next call.

        Args:
            mine: Whether this entry, of all live ones, is to take a job over. After
                `OTHERS_TURN` it does so anyway, since the chosen one may know nothing of the job.
        """
        now = self._clock.now()
        with self._orphans_lock:
            orphans = dict(self._orphans)
        for job_id, orphan in orphans.items():
            if self._has_owner(job_id):
                settled = True
            elif is_assigned(job_id) or now - orphan.since > FALLBACK_ADOPTION_DELAY:
                settled = self.ensure_owner(job_id, orphan.reason, lost_owner=orphan.lost_owner)
                if settled and self._runner.get(job_id) is not None:
                    self._telemetry.time("job_orphan", self._clock.now() - orphan.since)
            else:
                settled = False
            if settled:
                with self._orphans_lock:
                    self._orphans.pop(job_id, None)

    def take_over_stored_jobs(self, is_assigned: Callable[[str, str], bool]) -> bool:
        """Take over open jobs in the store whose owner is gone; return whether it was read.

        Args:
            mine: Whether this entry is to take a job over, by the job's id and its last owner. The
                other jobs without an owner are noted as orphans.
        """
        progress = self._catalog.records.list_all(PROGRESS)
        inputs = self._catalog.records.list_all(INPUTS)
        if not is_successful(progress) or not is_successful(inputs):
            return False
        for job_id, stored in inputs.unwrap().objects.items():
            if not self._has_owner(job_id):
                self._recover_job(
                    job_id, stored, progress.unwrap().objects.get(job_id), is_assigned
                )
        return True

    def _recover_job(
        self,
        job_id: str,
        stored: StoredObject,
        progress: StoredObject | None,
        is_assigned: Callable[[str, str], bool],
    ) -> None:
        records = self._catalog.records
        job = records.decode_input(stored)
        if not is_successful(job):
            self._skip_unreadable(job_id, job.failure())
            return
        self._catalog.cache_input(job.unwrap())
        state = initial_progress(job.unwrap())
        if progress is not None:
            read = records.decode_progress(progress)
            if not is_successful(read):
                self._skip_unreadable(job_id, read.failure())
                return
            state = read.unwrap()
        if self._catalog.cache_if_finished(job_id, state.progress):
            return
        assigned_here = is_assigned(job_id, state.progress.owner)
        if not assigned_here or not self._take_over(job.unwrap(), state, "recovered"):
            self.add_orphans([job_id], "recovered")

    def _skip_unreadable(self, job_id: str, failure: StoreFailure) -> None:
        """Go on without a job whose records cannot be read: one must not hold up the others."""
        if failure.fault is not StoreFault.UNREADABLE:
            self.add_orphans([job_id], "recovered")

    def _has_owner(self, job_id: str) -> bool:
        return self._runner.get(job_id) is not None or self._peers.holder_of(job_id) is not None

    def _take_over(self, job: JobInput, state: StoredProgress, reason: str) -> bool:
        """Become the owner of a job unless it has a living one; return whether it has one now."""
        job_id = job.job_id
        progress = state.progress
        if self._is_owned_by_live_peer(progress.owner, job_id):
            return True
        with self._takeover_lock:
            if self._runner.get(job_id) is not None:
                return True
            requested_at = self._clock.now()
            written = self._catalog.records.write_progress(
                job_id,
                replace(progress, owner=self._peers.identity),
                version=state.version,
                segments=state.segments,
            )
            if not is_successful(written):
                fault = written.failure().fault
                logging.info("event=takeover_missed job=%s fault=%s", job_id, fault)
                return False
            logging.info(
                "event=job_taken_over job=%s reason=%r from=%s", job_id, reason, progress.owner
            )
            self._telemetry.count("job_owners", change="taken_over")
            self.start_owning(job, written.unwrap(), requested_at=requested_at)
            return True

    def _is_owned_by_live_peer(self, owner: str, job_id: str) -> bool:
        peer = self._peers.by_identity(owner)
        return peer is not None and peer.answers_for(job_id)
