"""Assigns jobs to this entry as their owner: new jobs, and jobs whose owner is gone.

Hints between entries show which owners are gone, but only the conditional write of the new owner
decides. A takeover that rests on a wrong assumption costs one failed write.

A write that makes this entry the owner may take effect after this entry has stopped waiting for the
answer. The entry therefore reads such a job again for a while, and it runs each job whose record
names it, whether or not it remembers the write.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from enum import Enum, auto

from absl import logging
from msgspec import Struct
from msgspec.structs import replace
from returns.pipeline import is_successful

from carobspool_core import Clock, Millis, StoredObject, StoreFailure, StoreFault
from carobspool_core.direct import JobInput
from carobspool_node.direct._job_catalog import JobCatalog, initial_progress
from carobspool_node.direct._job_records import INPUTS, PROGRESS, StoredProgress, stored_owner
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._owned_job import OwnedJob
from carobspool_node.direct._peer_messages import MAX_JOBS_ASKED
from carobspool_node.direct._peers import Peers
from carobspool_node.direct._telemetry import Telemetry

FALLBACK_ADOPTION_DELAY: Millis = 3_000.0
"""Time in which only the assigned entry takes over a job without an owner. That entry detects the
loss within a few hints, and its takeover takes three calls to the store."""
UNNAMED_JOB_DELAY: Millis = 3_000.0
"""Time for which a job is left to a live owner whose hints do not name it. A new owner announces
the job as soon as the store has answered, and an entry can read the job from the store before. An
owner that still does not name the job has not received the answer to its write and does not run the
job. The time exceeds that of a call to a store that does not answer (1.5 s) and two heartbeats."""
UNSETTLED_TIME: Millis = 15_000.0
"""Time in which a write that was not answered may still take effect: the store does such writes
seconds later. The search of `JobReconciliation` finds jobs of still later writes."""
UNSETTLED_POLL: Millis = 1_000.0
"""First pause between two reads of a job with such a write; each further pause is twice as long."""
UNATTENDED_TIME: Millis = 4_000.0
"""Time without a change of its record after which a job that another entry took from this one is
offered an owner again. An owner commits the progress of running items each 2.5 s."""
UNNAMED_JOB_MEMORY: Millis = 60_000.0
"""Time after which the first read of such a job is forgotten. Orphans are read far more often; a
job that a caller has submitted again may never be read a second time."""

_UNRECOVERABLE_FAULTS = (StoreFault.NOT_FOUND, StoreFault.UNREADABLE)
"""Faults that no retry resolves. Retries would cost a call to the store each half second for as
long as the record exists."""


ConfirmJobs = Callable[[str, Sequence[str]], Collection[str]]
"""Asks a live peer, by its identity, which of some jobs it runs; none if it does not answer."""


class _Keeper(Enum):
    """What is known of the owner that a job's record names.

    Attributes:
        RUNS: It runs the job.
        MAY_RUN: It is live and may not have learned yet that it owns the job.
        DOES_NOT: It is gone, or does not run the job.
    """

    RUNS = auto()
    MAY_RUN = auto()
    DOES_NOT = auto()


class _Waiting(Struct, frozen=True, kw_only=True):
    """The unfinished items of a job without an owner.

    Attributes:
        host: Host to which the job was submitted.
        path: Path to which the job was submitted.
        organisation: Organisation of the job, ``None`` if it has none.
        tokens: Tokens of the items.
    """

    host: str
    path: str
    organisation: str | None
    tokens: int


class _Orphan(Struct, frozen=True, kw_only=True):
    """A job without an owner.

    Attributes:
        since: When this entry added the orphan.
        reason: Why the job has no owner, for the log.
        lost_owner: Identity of the entry that released the job or is gone, ``None`` if unknown.
        waiting: Its unfinished items, ``None`` if the job has not been read.
        verify: Whether the hints of a peer that names the job do not show that it has an owner.
        not_before: Time before which the job is not read.
        at_version: Version of the record of a job that counts as an orphan only while the record
            stays at that version, ``None`` for any version.
        unsettled_until: Time until which a write of this entry, which was not answered, may make
            it the owner; 0 if there is no such write.
        poll: Pause before the next read of a job with such a write.
    """

    since: Millis
    reason: str
    lost_owner: str | None = None
    waiting: _Waiting | None = None
    verify: bool = False
    not_before: Millis = 0.0
    at_version: int | None = None
    unsettled_until: Millis = 0.0
    poll: Millis = UNSETTLED_POLL


class JobAdoption:
    """Makes this entry the owner of jobs.

    Args:
        clock: The process's clock.
        catalog: The jobs in the store.
        runner: Runs the owned jobs.
        peers: The other entries.
        telemetry: Counts takeovers and measures how long jobs had no owner.
        are_peers_known: Returns whether this entry has run for long enough to know which peers
            are alive.
        confirm: Asks a live peer which of some jobs it runs. Its hints may not have arrived.
    """

    def __init__(
        self,
        clock: Clock,
        catalog: JobCatalog,
        runner: JobRunner,
        peers: Peers,
        telemetry: Telemetry,
        *,
        are_peers_known: Callable[[], bool],
        confirm: ConfirmJobs = lambda identity, job_ids: (),
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._runner = runner
        self._peers = peers
        self._telemetry = telemetry
        self._are_peers_known = are_peers_known
        self._confirm = confirm
        self._takeover_lock = threading.Lock()
        self._orphans: dict[str, _Orphan] = {}
        self._orphans_lock = threading.Lock()
        self._unnamed: dict[str, tuple[str, Millis]] = {}
        """Owner and time of the first read of each orphan that its live owner does not name."""
        self._are_stored_jobs_known = False

    @property
    def are_stored_jobs_known(self) -> bool:
        """Whether the jobs that were stored before this entry started are known."""
        return self._are_stored_jobs_known

    def assume_empty_store(self) -> None:
        """Consider the stored jobs as known, since none can have been stored."""
        self._are_stored_jobs_known = True

    def unowned_tokens(self, key: str) -> int:
        """Return the tokens of unfinished items of stored jobs that await an owner or its hints.

        Args:
            key: Route and organisation (`waiting_tokens_key`).
        """
        with self._orphans_lock:
            found = [each.waiting for each in self._orphans.values() if each.waiting is not None]
        return sum(
            each.tokens
            for each in found
            if self._runner.waiting_key(each.host, each.path, each.organisation) == key
        )

    def start_owning(self, job: JobInput, stored: StoredProgress, *, requested_at: Millis) -> None:
        """Start to run a job that the store shows as owned by this entry.

        Args:
            job: The job as submitted.
            stored: Its progress in the store.
            requested_at: When the write that made this entry the owner was sent to the store.
        """
        self._catalog.cache_input(job)
        records = self._catalog.records
        identity = self._peers.identity
        self._runner.add(
            OwnedJob(job, stored, records, identity, self._clock, requested_at=requested_at)
        )
        self._peers.announce_soon()
        logging.info(
            "event=job_owned job=%s items=%d committed=%d",
            job.job_id,
            len(job.items),
            len(stored.progress.results),
        )

    def runs(self, job_id: str) -> bool:
        """Return whether this entry owns a job and has not found another owner in its record."""
        job = self._runner.get(job_id)
        return job is not None and not job.lost

    def confirm_jobs(self, job_ids: Sequence[str]) -> list[str]:
        """Return which of the jobs that a peer takes for this entry's own this entry runs.

        The others are read from the store: this entry runs those whose records name it.
        """
        running = [job_id for job_id in job_ids if self.runs(job_id)]
        unknown = set(job_ids) - set(running)
        if unknown:
            logging.info("event=jobs_not_run asked=%d unknown=%d", len(job_ids), len(unknown))
            self.add_orphans(unknown, "named by the store", verify=True)
        return running

    def ensure_owner(
        self,
        job_id: str,
        reason: str,
        *,
        lost_owner: str | None = None,
        at_version: int | None = None,
    ) -> bool:
        """Take over a stored job unless it has a live owner.

        Args:
            job_id: The job.
            reason: Why the job may have no owner, for the log.
            lost_owner: Identity of the entry that is known to have stopped working on the job. If
                it is given, a process that has just started does not wait for hints of all peers.
            at_version: Version of the record that no entry has replaced if the job has no owner,
                ``None`` if any version may be taken over.

        Returns:
            Whether nothing is left to do: the job has a live owner, is finished or can have none.
        """
        if self.runs(job_id):
            return True
        peers_known = self._are_peers_known()
        if lost_owner is None and not peers_known:
            return False
        requested_at = self._clock.now()
        read = self._catalog.read_job(job_id)
        if not is_successful(read):
            return read.failure().fault in _UNRECOVERABLE_FAULTS
        job, state = read.unwrap()
        progress = state.progress
        if self._catalog.cache_if_finished(job_id, progress):
            return True
        if progress.owner == self._peers.identity:
            return self._resume_own(job, state, reason, requested_at)
        if at_version is not None and state.version != at_version:
            return True
        if not peers_known and progress.owner != lost_owner:
            # Another entry has taken the job over, and this process has received no hint from it
            # yet. Taking over the job would interrupt its runs once for each process that starts.
            return False
        if progress.owner != lost_owner:
            keeper = self._find_keeper(job_id, progress.owner)
            if keeper is not _Keeper.DOES_NOT:
                return keeper is _Keeper.RUNS
        return self._take_over(job, state, reason)

    def add_orphans(
        self,
        job_ids: Iterable[str],
        reason: str,
        *,
        lost_owner: str | None = None,
        verify: bool = False,
    ) -> None:
        """Add jobs whose owner is gone, for `adopt_orphans` to find them a new one.

        Args:
            job_ids: The jobs.
            reason: Why the jobs have no owner, for the log.
            lost_owner: Identity of the entry that released them or is gone, ``None`` if unknown.
            verify: Whether only their records show that they have an owner again, because no other
                entry knows that they may have none.
        """
        now = self._clock.now()
        orphan = _Orphan(since=now, reason=reason, lost_owner=lost_owner, verify=verify)
        with self._orphans_lock:
            for job_id in job_ids:
                known = self._orphans.get(job_id)
                # An orphan that was added without a known owner, after a listing at the start, must
                # not delay a takeover now that the owner is known to be gone.
                if known is None:
                    self._orphans[job_id] = orphan
                elif lost_owner is not None and known.lost_owner != lost_owner:
                    self._orphans[job_id] = replace(
                        known,
                        since=now,
                        reason=reason,
                        lost_owner=lost_owner,
                        not_before=0.0,
                        at_version=None,
                    )
                elif verify and not known.verify:
                    self._orphans[job_id] = replace(known, verify=True)

    def add_unattended(
        self, job_id: str, reason: str, *, version: int, after: Millis = UNATTENDED_TIME
    ) -> None:
        """Add a job that needs an owner unless its record changes.

        If this entry runs the job, the record shows that it has lost it without knowing.

        Args:
            job_id: The job.
            reason: Why the job may have no owner, for the log.
            version: Version of its record.
            after: Time in which its owner can still show by a commit that it runs the job.
        """
        if self.runs(job_id):
            self._runner.handle_jobs_of_peer("store", [job_id])
            return
        now = self._clock.now()
        orphan = _Orphan(
            since=now, reason=reason, verify=True, not_before=now + after, at_version=version
        )
        with self._orphans_lock:
            self._orphans.setdefault(job_id, orphan)

    def add_unsettled(self, job_id: str, reason: str) -> None:
        """Add a job of which a write that was not answered may still make this entry the owner."""
        now = self._clock.now()
        with self._orphans_lock:
            known = self._orphans.get(job_id) or _Orphan(since=now, reason=reason)
            self._orphans[job_id] = replace(
                known,
                verify=True,
                not_before=now + UNSETTLED_POLL,
                unsettled_until=now + UNSETTLED_TIME,
                poll=2.0 * UNSETTLED_POLL,
            )

    def adopt_orphans(self, is_assigned: Callable[[str], bool]) -> None:
        """Take over orphans; those whose records cannot be read remain for the next call.

        Args:
            is_assigned: Whether this entry, among all live ones, is assigned to take a job over.
                After `FALLBACK_ADOPTION_DELAY` this entry takes the job over anyway, since the
                assigned entry may have no record of the job.
        """
        with self._orphans_lock:
            orphans = dict(self._orphans)
        for job_id, orphan in orphans.items():
            try:
                resolved = self._resolve(job_id, orphan, is_assigned)
            except Exception:  # noqa: BLE001
                # The other orphans must not wait for one that fails each time.
                logging.exception("event=takeover_failed job=%s", job_id)
                continue
            if resolved:
                self._drop_orphan(job_id, orphan)

    def _resolve(self, job_id: str, orphan: _Orphan, is_assigned: Callable[[str], bool]) -> bool:
        """Find an owner for an orphan if this entry has to; return whether nothing is left to do.

        A peer that names a job may not know that it has lost it. Its hints settle the matter only
        for entries to which the job is not assigned: the assigned one reads the record.
        """
        now = self._clock.now()
        if self.runs(job_id):
            return True
        if now < orphan.not_before:
            return False
        assigned = is_assigned(job_id)
        if not assigned and not orphan.verify and self._peers.find_job_peer(job_id) is not None:
            return True
        if now < orphan.unsettled_until:
            self._adopt(job_id, orphan)
            self._postpone(job_id, orphan)
            return self.runs(job_id)
        is_due = now - orphan.since > FALLBACK_ADOPTION_DELAY
        return (assigned or is_due) and self._adopt(job_id, orphan)

    def _postpone(self, job_id: str, orphan: _Orphan) -> None:
        """Read an orphan again after a pause, while an unanswered write may still take effect."""
        now = self._clock.now()
        with self._orphans_lock:
            known = self._orphans.get(job_id)
            if known is not None and known.unsettled_until == orphan.unsettled_until:
                self._orphans[job_id] = replace(
                    known,
                    not_before=min(now + known.poll, known.unsettled_until),
                    poll=2.0 * known.poll,
                )

    def _drop_orphan(self, job_id: str, orphan: _Orphan) -> None:
        """Remove an orphan, unless there is a new reason since it was looked at."""
        with self._orphans_lock:
            known = self._orphans.get(job_id)
            if known is None or known.since != orphan.since:
                return
            if known.unsettled_until == orphan.unsettled_until:
                del self._orphans[job_id]
                self._unnamed.pop(job_id, None)

    def take_over_stored_jobs(self, is_assigned: Callable[[str, str], bool]) -> bool:
        """Take over open jobs in the store whose owner is gone; return whether the store was read.

        Args:
            is_assigned: Whether this entry is assigned to take a job over, by the job's id and its
                last owner. The other jobs without an owner are added as orphans.
        """
        requested_at = self._clock.now()
        progress = self._catalog.records.list_all(PROGRESS)
        inputs = self._catalog.records.list_all(INPUTS)
        if not is_successful(progress) or not is_successful(inputs):
            return False
        states = progress.unwrap().objects
        owners = {
            job_id: stored_owner(states.get(job_id, stored))
            for job_id, stored in inputs.unwrap().objects.items()
        }
        confirmed = self.confirmed_jobs(owners)
        for job_id, stored in inputs.unwrap().objects.items():
            if job_id in confirmed:
                continue
            try:
                self._recover_job(job_id, stored, states.get(job_id), is_assigned, requested_at)
            except Exception:  # noqa: BLE001
                logging.exception("event=takeover_failed job=%s", job_id)
                self.add_orphans([job_id], "recovered")
        self._are_stored_jobs_known = True
        return True

    def confirmed_jobs(self, owners: Mapping[str, str | None]) -> set[str]:
        """Return the jobs that the owners in their records run.

        A live owner that does not name a job is asked: its hints may not have arrived.

        Args:
            owners: The owner that each job's record names, ``None`` if it names none.
        """
        confirmed: set[str] = set()
        unnamed: dict[str, list[str]] = {}
        named = {owner for owner in owners.values() if owner is not None}
        peers = {owner: self._peers.by_identity(owner) for owner in named}
        for job_id, owner in owners.items():
            if owner in (None, self._peers.identity) and self.runs(job_id):
                confirmed.add(job_id)
            peer = None if owner is None else peers[owner]
            if peer is None:
                continue
            if peer.serves_job(job_id):
                confirmed.add(job_id)
            else:
                unnamed.setdefault(peer.identity, []).append(job_id)
        for owner, job_ids in unnamed.items():
            for start in range(0, len(job_ids), MAX_JOBS_ASKED):
                confirmed.update(self._confirm(owner, job_ids[start : start + MAX_JOBS_ASKED]))
        return confirmed

    def _adopt(self, job_id: str, orphan: _Orphan) -> bool:
        """Find an owner for an orphan; return whether nothing is left to do."""
        resolved = self.ensure_owner(
            job_id, orphan.reason, lost_owner=orphan.lost_owner, at_version=orphan.at_version
        )
        if resolved and self.runs(job_id):
            self._telemetry.observe_duration("job_orphan", self._clock.now() - orphan.since)
        return resolved

    def _recover_job(
        self,
        job_id: str,
        stored: StoredObject,
        progress: StoredObject | None,
        is_assigned: Callable[[str, str], bool],
        requested_at: Millis,
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
        owner = state.progress.owner
        if owner == self._peers.identity:
            self._resume_own(job.unwrap(), state, "recovered", requested_at)
            return
        if (
            not is_assigned(job_id, owner)
            or self._peers.by_identity(owner) is not None
            or not self._take_over(job.unwrap(), state, "recovered")
        ):
            self.add_orphans([job_id], "recovered")
            self._note_waiting(job.unwrap(), state)

    def _note_waiting(self, job: JobInput, state: StoredProgress) -> None:
        """Keep how many tokens of an orphan wait."""
        done = {each.item_id for each in state.progress.results}
        waiting = _Waiting(
            host=job.host,
            path=job.path,
            organisation=job.organisation,
            tokens=sum(each.tokens for each in job.items if each.item_id not in done),
        )
        with self._orphans_lock:
            orphan = self._orphans.get(job.job_id)
            if orphan is not None:
                self._orphans[job.job_id] = replace(orphan, waiting=waiting)

    def _skip_unreadable(self, job_id: str, failure: StoreFailure) -> None:
        """Skip a job whose records cannot be read, so that it does not block the other jobs.

        The job becomes an orphan to be tried again, unless its records are permanently unreadable.
        """
        if failure.fault is not StoreFault.UNREADABLE:
            self.add_orphans([job_id], "recovered")

    def _find_keeper(self, job_id: str, owner: str) -> _Keeper:
        """Return whether the owner that a job's record names runs the job.

        A live owner that does not name the job is asked, and asked again after
        `UNNAMED_JOB_DELAY`.
        """
        peer = self._peers.by_identity(owner)
        if peer is None:
            return _Keeper.DOES_NOT
        if peer.serves_job(job_id):
            return _Keeper.RUNS
        now = self._clock.now()
        with self._orphans_lock:
            for other, (_, read_at) in list(self._unnamed.items()):
                if now - read_at > UNNAMED_JOB_MEMORY:
                    del self._unnamed[other]
            known_owner, since = self._unnamed.get(job_id, (owner, now))
            if known_owner != owner:
                since = now
            is_new = job_id not in self._unnamed or known_owner != owner
            self._unnamed[job_id] = (owner, since)
        is_over = now - since >= UNNAMED_JOB_DELAY
        if (is_new or is_over) and job_id in self._confirm(owner, [job_id]):
            return _Keeper.RUNS
        return _Keeper.DOES_NOT if is_over else _Keeper.MAY_RUN

    def _resume_own(
        self, job: JobInput, state: StoredProgress, reason: str, requested_at: Millis
    ) -> bool:
        """Run a job whose record names this process, which does not know that it owns the job."""
        with self._takeover_lock:
            if not self.runs(job.job_id):
                logging.info("event=job_resumed job=%s reason=%r", job.job_id, reason)
                self._telemetry.count("job_owners", change="resumed")
                self.start_owning(job, state, requested_at=requested_at)
        return True

    def _take_over(self, job: JobInput, state: StoredProgress, reason: str) -> bool:
        """Become the owner of a job unless it has a live owner; return whether it has one now."""
        job_id = job.job_id
        progress = state.progress
        if self._is_owned_by_live_peer(progress.owner, job_id):
            return True
        with self._takeover_lock:
            if self.runs(job_id):
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
                if fault is StoreFault.UNKNOWN:
                    self.add_unsettled(job_id, reason)
                return False
            logging.info(
                "event=job_taken_over job=%s reason=%r from=%s", job_id, reason, progress.owner
            )
            self._telemetry.count("job_owners", change="taken_over")
            self.start_owning(job, written.unwrap(), requested_at=requested_at)
            return True

    def _is_owned_by_live_peer(self, owner: str, job_id: str) -> bool:
        peer = self._peers.by_identity(owner)
        return peer is not None and peer.serves_job(job_id)
