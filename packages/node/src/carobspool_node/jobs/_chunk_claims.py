"""Claims of chunks, just ahead of what this process can run."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from absl import logging
from returns.result import Failure, Result

from carobspool_core import (
    ChunkHolder,
    Clock,
    Job,
    JobStatus,
    Millis,
    ObjectStore,
    StoreFailure,
    StoreFault,
)
from carobspool_node.jobs._chunk_store import Claimed, Standing, claim
from carobspool_node.jobs._job_work import JobWork
from carobspool_node.links import Members
from carobspool_node.store import StoreCalls

CLAIMS_AT_ONCE = 4
CLAIM_PAUSE: Millis = 500.0

OnClaimed = Callable[[str, int, Claimed | Standing], None]


class ChunkClaims:
    """Claims under way. Belongs to the runner's loop.

    Args:
        store: The object store.
        holder: This process.
        clock: The process's clock.
        members: The live entries.
        choose: Picks the job whose chunk comes next.
        calls: Runs store calls beside the loop.
        on_claimed: Takes a chunk that was claimed, or the state in which somebody else has it.
    """

    def __init__(
        self,
        store: ObjectStore,
        holder: ChunkHolder,
        clock: Clock,
        members: Members,
        choose: Callable[[Sequence[Job]], str],
        calls: StoreCalls,
        on_claimed: OnClaimed,
    ) -> None:
        self._store = store
        self._holder = holder
        self._clock = clock
        self._members = members
        self._choose = choose
        self._calls = calls
        self._on_claimed = on_claimed
        self._under_way = 0
        self._not_before: Millis = clock.now()

    @property
    def under_way(self) -> int:
        """Number of claims without an answer yet."""
        return self._under_way

    def claim_ahead(
        self, works: Mapping[str, JobWork], live: Sequence[str], *, missing: int, now: Millis
    ) -> None:
        """Claim chunks until ``missing`` more items wait; just enough to keep the capacity busy.

        A chunk claimed early is a chunk that no other entry can run, so nothing more is claimed.

        Args:
            works: The open jobs.
            live: Names of the live entries.
            missing: How many more items should wait here.
            now: The clock's instant in milliseconds.
        """
        if now < self._not_before or self._holder.node not in live:
            return
        jobs = {
            job_id: work.job
            for job_id, work in works.items()
            if work.job.status is not JobStatus.CANCELLING
        }
        while self._under_way < CLAIMS_AT_ONCE and missing > 0 and jobs:
            job_id = self._choose(list(jobs.values()))
            work = works[job_id]
            number = work.next_candidate(self._holder.node, live, self._members.is_dead)
            if number is None:
                del jobs[job_id]
                continue
            missing -= work.job.chunk_sizes[number]
            self._claim(work, number)

    def _claim(self, work: JobWork, number: int) -> None:
        job = work.job
        work.mark_taken(number)
        self._under_way += 1
        self._calls.submit(
            lambda: claim(
                self._store, job, number, self._holder, is_dead=self._members.confirm_dead
            ),
            lambda found: self._take(work, number, found),
        )

    def _take(
        self, work: JobWork, number: int, found: Result[Claimed | Standing, StoreFailure]
    ) -> None:
        self._under_way -= 1
        if isinstance(found, Failure):
            self._take_failure(work, number, found.failure())
            return
        self._on_claimed(work.job.id, number, found.unwrap())

    def _take_failure(self, work: JobWork, number: int, failure: StoreFailure) -> None:
        work.mark_free(number)
        if failure.fault is StoreFault.NOT_FOUND:
            # Missing or damaged items stay so. A pause for all claims, as below, would let one
            # damaged job hold up every other; this chunk is looked at again with the next sweep.
            logging.error(
                "event=chunk_unreadable job=%s chunk=%d detail=%s",
                work.job.id,
                number,
                failure.detail,
            )
            return
        self._not_before = self._clock.now() + CLAIM_PAUSE
        work.look_again()
