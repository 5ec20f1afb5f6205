"""Operations on batch jobs that callers invoke at any entry: submit, read results, read an item's
body, end.

An entry accepts a job with one create in the object store and owns it from then on. Other entries
serve the job by calling its owner, or from the store when the owner is unreachable. Only the store
can show that a job does not exist.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum

from absl import logging
from msgspec import Struct
from msgspec.structs import replace
from returns.pipeline import is_successful

from carobspool_core import Clock, Millis, StoreFailure, StoreFault, steady_wall_millis
from carobspool_core.direct import (
    ItemResult,
    JobInput,
    Route,
)
from carobspool_core.organisations import qualified_job_id
from carobspool_core.problems import UnusableRecordError
from carobspool_node.direct._job_adoption import JobAdoption
from carobspool_node.direct._job_catalog import JobCatalog, initial_progress
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._owned_job import OwnedJob
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_calls import PeerCaller, PeerCallError
from carobspool_node.direct._peer_messages import read_results
from carobspool_node.direct._peers import Peers
from carobspool_node.direct._waiting_quota import QuotaDecision, WaitingQuota

READ_PROOF_MAX_AGE: Millis = 700.0
"""Maximum age of the proof of ownership with which results are served without a new verification
while other entries may have considered this one dead. A reader that saw a position at another entry
must find that position here within a second."""
PEER_CALL_TIMEOUT: Millis = 900.0
MAX_END_ATTEMPTS = 4
RESUBMITTED = "submitted again"


class Outcome(StrEnum):
    """How an operation on a job ended.

    Attributes:
        DONE: The operation took effect.
        NOT_FOUND: The job or the item does not exist.
        OVER_QUOTA: The job exceeds the waiting quota of its route.
        UNAVAILABLE: The store could not be reached and nothing was done.
        UNKNOWN: Whether the operation took effect is unknown.
    """

    DONE = "done"
    NOT_FOUND = "not_found"
    OVER_QUOTA = "over_quota"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"


class ResultsPage(Struct, frozen=True, kw_only=True):
    """Results of a job after one position.

    Attributes:
        total: Number of items of the job.
        after: Number of results that precede this page.
        results: The results.
    """

    total: int
    after: int
    results: Sequence[ItemResult]


class Jobs:
    """Operations on batch jobs.

    Args:
        clock: The process's clock.
        catalog: The jobs in the store.
        runner: Runs the jobs that this entry owns.
        adoption: Makes this entry the owner of jobs.
        peers: The other entries.
        caller: Calls the other entries.
        quota: Decides whether jobs fit the waiting quotas.
    """

    def __init__(
        self,
        clock: Clock,
        catalog: JobCatalog,
        runner: JobRunner,
        adoption: JobAdoption,
        peers: Peers,
        caller: PeerCaller,
        quota: WaitingQuota,
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._runner = runner
        self._adoption = adoption
        self._peers = peers
        self._caller = caller
        self._quota = quota

    def submit(
        self, job: JobInput, route: Route, *, id_without_organisation: str | None = None
    ) -> Outcome:
        """Accept a job; repeated submissions of the same job have no further effect.

        Args:
            job: The job. Its owner and submission time are set here.
            route: The route of the job.
            id_without_organisation: Id under which the job is stored if it was accepted before
                organisations were declared.
        """
        job_id = job.job_id
        if self._has_known_owner(job_id):
            return Outcome.DONE
        if id_without_organisation is not None:
            repeated = self._repeat_known(id_without_organisation)
            if repeated is not Outcome.NOT_FOUND:
                return repeated
        tokens = sum(item.tokens for item in job.items)
        decision = self._quota.reserve(route, job.organisation, tokens)
        if decision is not QuotaDecision.FITS:
            if self._repeat_stored(job_id) is Outcome.DONE:
                return Outcome.DONE
            is_over = decision is QuotaDecision.OVER
            return Outcome.OVER_QUOTA if is_over else Outcome.UNAVAILABLE
        try:
            return self._create(job, route, tokens)
        finally:
            self._quota.release(route, job.organisation, tokens)

    def _repeat_known(self, job_id: str) -> Outcome:
        """Repeat the submission of a job, ``NOT_FOUND`` if this entry does not know it."""
        if self._has_known_owner(job_id):
            return Outcome.DONE
        if not self._catalog.has_cached_input(job_id):
            return Outcome.NOT_FOUND
        return self._repeat_stored(job_id)

    def _repeat_stored(self, job_id: str) -> Outcome:
        """Repeat the submission of a job, ``NOT_FOUND`` if the store does not have it.

        A cached input does not show that the store still has the job.
        """
        stored = self._catalog.records.read_input(job_id)
        if not is_successful(stored):
            return _failure_outcome(stored.failure())
        self._ensure_owner(job_id)
        return Outcome.DONE

    def _create(self, job: JobInput, route: Route, tokens: int) -> Outcome:
        job_id = job.job_id
        job = replace(job, owner=self._peers.identity, submitted=steady_wall_millis())
        requested_at = self._clock.now()
        created = self._catalog.records.create_input(job)
        if is_successful(created):
            self._quota.add_accepted(route, job.organisation, tokens)
            self._adoption.start_owning(job, initial_progress(job), requested_at=requested_at)
            return Outcome.DONE
        failure = created.failure()
        if failure.fault is StoreFault.CONFLICT:
            self._ensure_owner(job_id)
            return Outcome.DONE
        if failure.fault is StoreFault.UNKNOWN:
            self._adoption.add_unsettled(job_id, "accepted without an answer")
            self._quota.add_accepted(route, job.organisation, tokens)
            return Outcome.UNKNOWN
        return Outcome.UNAVAILABLE

    def _ensure_owner(self, job_id: str) -> None:
        """Make sure that a stored job is run by somebody, at once or as soon as that is known."""
        if not self._adoption.ensure_owner(job_id, RESUBMITTED):
            self._adoption.add_orphans([job_id], RESUBMITTED, verify=True)

    def find_job_without_organisation(self, job_id: str, organisation: str | None) -> str | None:
        """Return the qualified id of a stored job with this id that belongs to no organisation.

        Such jobs were accepted while no organisations were declared, and any API key may access
        them.

        Returns:
            The qualified id, ``None`` when there is no such job or no organisation is given.
        """
        if not organisation:
            return None
        name = qualified_job_id(job_id, None)
        return None if isinstance(self._read_input(name), Outcome) else name

    def results(self, job_id: str, after: int, wait: Millis) -> ResultsPage | Outcome:
        """Return the results after a position, waiting up to ``wait`` for the first.

        The sources are tried in order: this entry if it owns the job, the cache of finished jobs,
        the owner, and the store.
        """
        until = self._clock.now() + wait
        page = self.results_if_owned(job_id, after, wait)
        if page is not None:
            return page
        finished = self._catalog.cached_finished(job_id)
        if finished is not None:
            return _page_from(finished.total, after, finished.results)
        peer = self._peers.find_job_peer(job_id)
        if peer is not None:
            page = self._results_from_peer(peer, job_id, after, max(0.0, until - self._clock.now()))
            if page is not None:
                return page
        return self._results_from_store(job_id, after)

    def results_if_owned(self, job_id: str, after: int, wait: Millis) -> ResultsPage | None:
        """Return results of a job that this entry owns, or ``None`` if it does not own the job."""
        job = self._runner.get(job_id)
        if job is None or job.lost:
            return None
        if not job.finished and not self._is_proven(job) and not job.verify():
            return None
        found = job.results_after(after, self._clock.now() + wait)
        if found is None:
            return None
        return ResultsPage(total=len(job.input.items), after=after, results=found)

    def body(self, job_id: str, item_id: str) -> bytes | Outcome:
        """Return the body of an item as submitted."""
        job = self._read_input(job_id)
        if isinstance(job, Outcome):
            return job
        for item in job.items:
            if item.item_id == item_id:
                return item.body
        return Outcome.NOT_FOUND

    def end(self, job_id: str) -> Outcome:
        """End a job, so that no further items of it start."""
        own = self.end_if_owned(job_id)
        if own is not None:
            return own
        peer = self._peers.find_job_peer(job_id)
        if peer is None:
            return self._end_in_store(job_id)
        if self._end_at_peer(peer, job_id):
            return Outcome.DONE
        outcome = self._end_in_store(job_id)
        # The owner may have ended the job in memory and may still write the end to the store. A
        # caller that receives UNAVAILABLE would wait for results that never come.
        return Outcome.UNKNOWN if outcome is Outcome.UNAVAILABLE else outcome

    def _end_at_peer(self, peer: Peer, job_id: str) -> bool:
        try:
            status, _ = self._caller.call(peer, "end", {"id": job_id}, PEER_CALL_TIMEOUT * 2)
        except PeerCallError as error:
            logging.warning("event=peer_call_failed peer=%s reason=%r", peer.identity, error)
            return False
        return status == 200

    def end_if_owned(self, job_id: str) -> Outcome | None:
        """End a job that this entry owns; return ``None`` if it does not own the job."""
        job = self._runner.get(job_id)
        if job is None or job.lost:
            return None
        job.end()
        for _ in range(MAX_END_ATTEMPTS):
            if job.commit():
                logging.info("event=job_ended job=%s through=owner", job_id)
                return Outcome.DONE
            if job.lost:
                return None
        # The end has taken effect in memory and a later commit writes it, so that UNAVAILABLE would
        # be wrong.
        return Outcome.UNKNOWN

    def confirm_jobs(self, job_ids: Sequence[str]) -> list[str]:
        """Return which of the jobs whose records name this entry this entry runs.

        It starts to run the others if the store confirms that they are its own.
        """
        return self._adoption.confirm_jobs(job_ids)

    def _is_proven(self, job: OwnedJob) -> bool:
        return job.proof.is_valid(
            ownership_uncertain_until=self._peers.ownership_uncertain_until,
            max_age=READ_PROOF_MAX_AGE,
        )

    def _has_known_owner(self, job_id: str) -> bool:
        """Whether this entry runs a job, or a peer names it: the job is stored, and has an owner.

        A peer that does not know that it has lost the job loses it to an entry that runs it, or
        `JobReconciliation` finds the job.
        """
        return self._adoption.runs(job_id) or self._peers.find_job_peer(job_id) is not None

    def _results_from_peer(
        self, peer: Peer, job_id: str, after: int, wait: Millis
    ) -> ResultsPage | None:
        body = {"id": job_id, "after": after, "wait": wait}
        try:
            status, answer = self._caller.call(peer, "results", body, PEER_CALL_TIMEOUT + wait)
            if status != 200:
                return None
            total, results = read_results(answer)
        except (PeerCallError, UnusableRecordError) as error:
            logging.warning("event=peer_call_failed peer=%s reason=%r", peer.identity, error)
            return None
        return ResultsPage(total=total, after=after, results=results)

    def _results_from_store(self, job_id: str, after: int) -> ResultsPage | Outcome:
        read = self._catalog.records.read_progress(job_id)
        if is_successful(read):
            progress = read.unwrap().progress
            self._catalog.cache_if_finished(job_id, progress)
            return _page_from(progress.total, after, progress.results)
        if read.failure().fault is not StoreFault.NOT_FOUND:
            return Outcome.UNAVAILABLE
        # A cached input does not show that the job still exists.
        job = self._catalog.records.read_input(job_id)
        if not is_successful(job):
            return _failure_outcome(job.failure())
        return ResultsPage(total=len(job.unwrap().items), after=after, results=())

    def _read_input(self, job_id: str) -> JobInput | Outcome:
        job = self._catalog.read_input(job_id)
        return job.unwrap() if is_successful(job) else _failure_outcome(job.failure())

    def _end_in_store(self, job_id: str) -> Outcome:
        """End a job in the store because its owner is unknown or unreachable.

        Another entry may own the job nevertheless, or may be taking it over. The hints of this
        entry report the end to all peers for some seconds. An owner that receives no hints detects
        the loss of contact and verifies its ownership before it starts further items.
        """
        for _ in range(MAX_END_ATTEMPTS):
            read = self._catalog.read_job(job_id)
            if not is_successful(read):
                return _failure_outcome(read.failure())
            _, state = read.unwrap()
            if state.progress.ended:
                self._report_ended(job_id)
                return Outcome.DONE
            written = self._catalog.records.write_progress(
                job_id,
                replace(state.progress, ended=True),
                version=state.version,
                segments=state.segments,
            )
            if is_successful(written):
                logging.info(
                    "event=job_ended job=%s through=store owner=%s revision=%d owner_heard=%s",
                    job_id,
                    state.progress.owner,
                    written.unwrap().version,
                    self._peers.by_identity(state.progress.owner) is not None,
                )
                self._report_ended(job_id)
                return Outcome.DONE
            fault = written.failure().fault
            if fault is StoreFault.UNKNOWN:
                self._report_ended(job_id)
                return Outcome.UNKNOWN
            if fault is not StoreFault.CONFLICT:
                return Outcome.UNAVAILABLE
        return Outcome.UNAVAILABLE

    def _report_ended(self, job_id: str) -> None:
        """Report an end in the store to the peers, and to this entry.

        Another thread of this entry may have taken the job over between the read that found no
        owner here and the write of the end.
        """
        self._peers.announce_ended(job_id)
        self._runner.handle_ended_jobs([job_id])


def _page_from(total: int, after: int, results: Sequence[ItemResult]) -> ResultsPage:
    return ResultsPage(total=total, after=after, results=results[after:])


def _failure_outcome(failure: StoreFailure) -> Outcome:
    if failure.fault is StoreFault.NOT_FOUND:
        return Outcome.NOT_FOUND
    return Outcome.UNAVAILABLE
