"""Batch jobs as callers see them, at any entry: submit, read, read a body, end.

A job is accepted by one create in the object store. The entry that accepts it owns it; another
answers for it by asking the owner, or from the store when the owner cannot be reached. Only the
store's word makes a job unknown.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum

from absl import logging
from returns.pipeline import is_successful

from carobspool_core import Clock, Millis, StoreFailure, StoreFault, wall_millis
from carobspool_core.direct import (
    ItemResult,
    JobInput,
    JobItem,
    JobProgress,
    Route,
    fits_quota,
)
from carobspool_node.direct._bounded_cache import BoundedCache
from carobspool_node.direct._job_records import INPUTS, PROGRESS, JobRecords, StoredProgress
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._owned_job import OwnedJob
from carobspool_node.direct._peer_calls import PeerCaller, PeerCallError
from carobspool_node.direct._peers import Peer, Peers
from carobspool_node.direct._telemetry import Telemetry

VERIFY_AGE: Millis = 700.0
"""Age of the last proof of ownership beyond which reads are preceded by a new one while others may
have taken this entry for dead: a reader may see a position elsewhere and must find it here within a
second."""
PEER_TIMEOUT: Millis = 900.0
INPUT_CACHE_BYTES = 32 * 1024 * 1024
FINISHED_CACHE_BYTES = 16 * 1024 * 1024
END_TRIES = 4
OTHERS_TURN: Millis = 3_000.0
"""How long a job without an owner is left to the entry that all others would choose: it knows of
the loss within a few hints, and its takeover takes three calls to the store."""


class Outcome(StrEnum):
    """How a call on a job ended."""

    DONE = "done"
    NOT_FOUND = "not_found"
    OVER_QUOTA = "over_quota"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True, kw_only=True)
class ResultsPage:
    """Results of a job from one position on."""

    total: int
    after: int
    results: Sequence[ItemResult]


class Jobs:
    """Calls on batch jobs."""

    def __init__(
        self,
        clock: Clock,
        records: JobRecords,
        runner: JobRunner,
        peers: Peers,
        caller: PeerCaller,
        telemetry: Telemetry,
        *,
        peers_settled: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._records = records
        self._runner = runner
        self._peers = peers
        self._caller = caller
        self._telemetry = telemetry
        self._peers_settled = peers_settled
        self._inputs: BoundedCache[JobInput] = BoundedCache(INPUT_CACHE_BYTES)
        self._finished: BoundedCache[JobProgress] = BoundedCache(FINISHED_CACHE_BYTES)
        self._adopting = threading.Lock()
        self._orphans: dict[str, tuple[Millis, str]] = {}
        self._orphans_lock = threading.Lock()

    def submit(
        self, job_id: str, host: str, path: str, items: Sequence[JobItem], route: Route
    ) -> Outcome:
        """Accept a job, once however often it comes."""
        if self._runner.get(job_id) is not None or self._peers.holder_of(job_id) is not None:
            return Outcome.DONE
        if self._inputs.get(job_id) is not None:
            return Outcome.DONE
        tokens = sum(item.tokens for item in items)
        if not self._fits(route, tokens):
            known = self._known(job_id)
            return Outcome.DONE if known else Outcome.OVER_QUOTA
        job = JobInput(
            job_id=job_id,
            host=host,
            path=path,
            owner=self._peers.identity,
            submitted=wall_millis(),
            items=tuple(items),
        )
        created = self._records.create_input(job)
        if is_successful(created):
            self._own(job, _nothing_done(job))
            return Outcome.DONE
        failure = created.failure()
        if failure.fault is StoreFault.CONFLICT:
            if not self._find_owner(job_id):
                self.orphaned([job_id], "submitted again")
            return Outcome.DONE
        if failure.fault is StoreFault.UNKNOWN:
            return Outcome.UNKNOWN
        return Outcome.UNAVAILABLE

    def results(self, job_id: str, after: int, wait: Millis) -> ResultsPage | Outcome:
        """Return results from a position on, waiting up to ``wait`` for the first."""
        until = self._clock.now() + wait
        page = self.own_results(job_id, after, wait)
        if page is not None:
            return page
        finished = self._finished.get(job_id)
        if finished is not None:
            return _page(finished.total, after, finished.results)
        peer = self._peers.holder_of(job_id)
        if peer is not None:
            page = self._results_from(peer, job_id, after, max(0.0, until - self._clock.now()))
            if page is not None:
                return page
        return self._results_from_store(job_id, after)

    def own_results(self, job_id: str, after: int, wait: Millis) -> ResultsPage | None:
        """Return results of a job that this entry owns, ``None`` when it does not."""
        job = self._runner.get(job_id)
        if job is None or job.lost:
            return None
        doubtful = not job.finished and self._peers.in_doubt()
        is_old = self._clock.now() - job.verified > VERIFY_AGE
        if doubtful and is_old and not job.verify():
            return None
        found = job.page(after, self._clock.now() + wait)
        if found is None:
            return None
        return ResultsPage(total=len(job.input.items), after=after, results=found)

    def body(self, job_id: str, item_id: str) -> bytes | Outcome:
        """Return the body of an item as submitted."""
        job = self._input(job_id)
        if isinstance(job, Outcome):
            return job
        for item in job.items:
            if item.item_id == item_id:
                return item.body
        return Outcome.NOT_FOUND

    def end(self, job_id: str) -> Outcome:
        """End a job: nothing of it starts any more."""
        own = self.end_own(job_id)
        if own is not None:
            return own
        peer = self._peers.holder_of(job_id)
        if peer is not None:
            try:
                status, _ = self._caller.call(peer, "end", {"id": job_id}, PEER_TIMEOUT * 2)
                if status == 200:
                    return Outcome.DONE
            except PeerCallError as error:
                logging.warning("event=peer_call_failed peer=%s reason=%r", peer.identity, error)
        return self._end_in_store(job_id)

    def end_own(self, job_id: str) -> Outcome | None:
        """End a job that this entry owns; ``None`` when it does not own it."""
        job = self._runner.get(job_id)
        if job is None or job.lost:
            return None
        job.end()
        for _ in range(END_TRIES):
            if job.commit():
                logging.info("event=job_ended job=%s", job_id)
                return Outcome.DONE
            if job.lost:
                return None
        return Outcome.UNAVAILABLE

    def orphaned(self, job_ids: Iterable[str], reason: str) -> None:
        """Note jobs whose owner is gone; `adopt_orphans` finds each a new one."""
        now = self._clock.now()
        with self._orphans_lock:
            for job_id in job_ids:
                self._orphans.setdefault(job_id, (now, reason))

    def adopt_orphans(self, mine: Callable[[str], bool]) -> None:
        """Take over orphans; those that cannot be read stay for the next call.

        Args:
            mine: Whether this entry, of all live ones, is to take a job over. After
                `OTHERS_TURN` it does so anyway, since the chosen one may know nothing of the job.
        """
        now = self._clock.now()
        with self._orphans_lock:
            orphans = dict(self._orphans)
        for job_id, (since, reason) in orphans.items():
            if self._has_owner(job_id):
                settled = True
            elif mine(job_id) or now - since > OTHERS_TURN:
                settled = self._find_owner(job_id, reason=reason)
            else:
                settled = False
            if settled:
                with self._orphans_lock:
                    self._orphans.pop(job_id, None)

    def _has_owner(self, job_id: str) -> bool:
        return self._runner.get(job_id) is not None or self._peers.holder_of(job_id) is not None

    def recover(self, mine: Callable[[str, str], bool]) -> bool:
        """Take over open jobs in the store whose owner is gone; return whether it was read.

        Args:
            mine: Whether this entry is to take a job over, by the job's id and its last owner. The
                other jobs without an owner are noted as orphans.
        """
        progress = self._records.list_all(PROGRESS)
        inputs = self._records.list_all(INPUTS)
        if not is_successful(progress) or not is_successful(inputs):
            return False
        for job_id, stored in inputs.unwrap().items():
            job = self._records.input_of(stored)
            if not is_successful(job):
                return False
            self._cache_input(job.unwrap())
            state = _nothing_done(job.unwrap())
            if job_id in progress.unwrap():
                read = self._records.progress_of(progress.unwrap()[job_id])
                if not is_successful(read):
                    return False
                state = read.unwrap()
            if self._cache_if_finished(job_id, state.progress) or self._has_owner(job_id):
                continue
            if not mine(job_id, state.progress.owner) or not self._adopt(
                job.unwrap(), state, "recovered"
            ):
                self.orphaned([job_id], "recovered")
        return True

    def _fits(self, route: Route, tokens: int) -> bool:
        peers = self._peers.live()
        return fits_quota(
            limit=route.waiting_limit,
            own_tokens=self._runner.waiting_tokens().get(route.name, 0),
            other_tokens=sum(each.waiting.get(route.name, 0) for each in peers),
            job_tokens=tokens,
            entries=1 + len(peers),
        )

    def _known(self, job_id: str) -> bool:
        return not isinstance(self._input(job_id), Outcome)

    def _own(self, job: JobInput, stored: StoredProgress) -> None:
        self._cache_input(job)
        self._runner.add(OwnedJob(job, stored, self._records, self._peers.identity, self._clock))
        self._peers.tell_now()
        logging.info(
            "event=job_owned job=%s items=%d committed=%d",
            job.job_id,
            len(job.items),
            len(stored.progress.results),
        )

    def _find_owner(self, job_id: str, reason: str = "submitted again") -> bool:
        """Make sure that a stored job has a living owner; return whether that is settled."""
        if self._runner.get(job_id) is not None:
            return True
        if not self._peers_settled():
            return False
        job = self._input(job_id)
        if isinstance(job, Outcome):
            return job is Outcome.NOT_FOUND
        read = self._records.read_progress(job_id)
        if is_successful(read):
            state = read.unwrap()
        elif read.failure().fault is StoreFault.NOT_FOUND:
            state = _nothing_done(job)
        else:
            return False
        if self._cache_if_finished(job_id, state.progress):
            return True
        return self._adopt(job, state, reason)

    def _adopt(self, job: JobInput, state: StoredProgress, reason: str) -> bool:
        """Become the owner of a job unless it has a living one; return whether it has one now."""
        job_id = job.job_id
        progress = state.progress
        if self._answers_for(progress.owner, job_id):
            return True
        with self._adopting:
            if self._runner.get(job_id) is not None:
                return True
            written = self._records.write_progress(
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
            self._own(job, written.unwrap())
            return True

    def _answers_for(self, owner: str, job_id: str) -> bool:
        peer = self._peers.by_identity(owner)
        return peer is not None and not peer.leaving and peer.answers_for(job_id)

    def _results_from(
        self, peer: Peer, job_id: str, after: int, wait: Millis
    ) -> ResultsPage | None:
        body = {"id": job_id, "after": after, "wait": wait}
        try:
            status, answer = self._caller.call(peer, "results", body, PEER_TIMEOUT + wait)
        except PeerCallError as error:
            logging.warning("event=peer_call_failed peer=%s reason=%r", peer.identity, error)
            return None
        if status != 200:
            return None
        results = [
            ItemResult(item_id=item_id, end=end, text=text)
            for item_id, end, text in answer["results"]
        ]
        return ResultsPage(total=answer["total"], after=after, results=results)

    def _results_from_store(self, job_id: str, after: int) -> ResultsPage | Outcome:
        read = self._records.read_progress(job_id)
        if is_successful(read):
            progress = read.unwrap().progress
            self._cache_if_finished(job_id, progress)
            return _page(progress.total, after, progress.results)
        if read.failure().fault is not StoreFault.NOT_FOUND:
            return Outcome.UNAVAILABLE
        job = self._input(job_id)
        if isinstance(job, Outcome):
            return job
        return ResultsPage(total=len(job.items), after=after, results=())

    def _input(self, job_id: str) -> JobInput | Outcome:
        job = self._inputs.get(job_id)
        if job is not None:
            return job
        read = self._records.read_input(job_id)
        if not is_successful(read):
            return _outcome_of(read.failure())
        self._cache_input(read.unwrap())
        return read.unwrap()

    def _end_in_store(self, job_id: str) -> Outcome:
        """End a job whose owner cannot be asked; the owner learns it from its next commit."""
        job = self._input(job_id)
        if isinstance(job, Outcome):
            return job
        for _ in range(END_TRIES):
            read = self._records.read_progress(job_id)
            if is_successful(read):
                state = read.unwrap()
            elif read.failure().fault is StoreFault.NOT_FOUND:
                state = _nothing_done(job)
            else:
                return Outcome.UNAVAILABLE
            if state.progress.ended:
                return Outcome.DONE
            written = self._records.write_progress(
                job_id,
                replace(state.progress, ended=True),
                version=state.version,
                segments=state.segments,
            )
            if is_successful(written):
                logging.info("event=job_ended job=%s through=store", job_id)
                return Outcome.DONE
            if written.failure().fault is not StoreFault.CONFLICT:
                return Outcome.UNAVAILABLE
        return Outcome.UNAVAILABLE

    def _cache_input(self, job: JobInput) -> None:
        size = sum(len(item.body) + 500 for item in job.items)
        self._inputs.put(job.job_id, job, size)

    def _cache_if_finished(self, job_id: str, progress: JobProgress) -> bool:
        if len(progress.results) < progress.total and not progress.ended:
            return False
        if len(progress.results) == progress.total:
            size = sum(len(each.text) for each in progress.results) + 1_000
            self._finished.put(job_id, progress, size)
        return True


def _nothing_done(job: JobInput) -> StoredProgress:
    """Return the progress of a job of which nothing is committed yet."""
    progress = JobProgress(owner=job.owner, total=len(job.items))
    return StoredProgress(progress=progress, segments=(), version=0)


def _page(total: int, after: int, results: Sequence[ItemResult]) -> ResultsPage:
    return ResultsPage(total=total, after=after, results=results[after:])


def _outcome_of(failure: StoreFailure) -> Outcome:
    if failure.fault is StoreFault.NOT_FOUND:
        return Outcome.NOT_FOUND
    return Outcome.UNAVAILABLE
