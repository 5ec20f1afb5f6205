"""Runs the jobs that this entry owns: starts items at upstreams with capacity and commits their
results."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor, wait

from absl import logging

from carobspool_core import Clock, Millis, steady_wall_millis
from carobspool_core.direct import (
    Configuration,
    ItemDurationEstimate,
    ItemOutcome,
    ItemWork,
    PeerBacklog,
    Route,
    Upstream,
    WaitingGroup,
    may_begin_run,
    reserved_runs,
    short_key_of,
)
from carobspool_core.organisations import waiting_tokens_key
from carobspool_node.direct._in_flight import BatchRun
from carobspool_node.direct._item_order import (
    WaitingItems,
    WaitingReport,
    order_waiting_items,
    report_waiting_items,
)
from carobspool_node.direct._item_run import ItemRunner, RunEnd, RunOutcome
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._owned_job import OwnedJob
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.direct._waiting_log import WaitingLog, WaitReason

MAX_CONCURRENT_RUNS = 96
"""Items that one entry runs at once. It exceeds the slots of all engines of a fleet of this size,
and bounds the number of threads."""
MAX_POLL_INTERVAL_S = 0.1
"""Longest interval between two passes of the scheduling loop. Events of this entry wake the loop
earlier, so that this bounds how long capacity freed by other entries stays unnoticed."""
MIN_POLL_INTERVAL_S = 0.015
"""Shortest interval between two passes of the scheduling loop. Hints report freed capacity hundreds
of times a second, and each pass visits all jobs with waiting items."""
PAUSE_PER_PASS = 3.0
"""Pause after a pass, as a multiple of its duration: with ten thousand jobs a pass takes a tenth of
a second, and requests need the processor too."""
MAX_PAUSE_S = 0.5
"""Bounds the pause after a pass during which the process was stopped."""
PAUSE_PER_COUNT = 10.0
"""Pause after a count of all waiting tokens, as a multiple of its duration: each acceptance needs
the count, and takes a lock for it."""
MAX_COUNT_PAUSE: Millis = 200.0
NOT_FULL = -1
"""Lower than the urgency of any item."""
NOT_RUN_RETRY_DELAY: Millis = 60.0
BROKEN_RETRY_DELAY: Millis = 100.0
START_PROOF_MAX_AGE: Millis = 1_500.0
"""Maximum age of the proof of ownership with which an item may start when other entries may have
taken over or ended the job since. A job that was ended through another entry must not start items
three seconds later, and a loss of contact between entries is detected within 0.9 s."""
ENDS_REMEMBERED_FOR: Millis = 10_000.0
"""Time for which a reported end of a job is remembered. The entry that wrote the end reports it for
5 s, and the answer to a write that made this entry the owner can arrive 3.5 s after the write."""
MAX_FINISHED_JOBS = 64
"""Finished jobs that an entry serves from memory; older ones are read from the store."""


class JobRunner:
    """Schedules the items of the owned jobs and runs the threads that execute them.

    Args:
        clock: The process's clock.
        loads: Work in flight at the upstreams.
        runner: Runs single items.
        telemetry: Counts runs, verifications and changes of owners; measures runs and commits.
        configuration: Returns the current routes, ``None`` before they are known.
        usable: Returns the upstreams of a service that this entry may use.
        ownership_uncertain_until: Returns until when other entries may have taken over or ended
            jobs of this one.
        has_other_version: Returns whether an upstream has started again at another software
            version.
        on_taken: Called with the id of a job whose record shows another owner, and the version of
            that record.
    """

    def __init__(
        self,
        clock: Clock,
        loads: LoadTable,
        runner: ItemRunner,
        telemetry: Telemetry,
        *,
        configuration: Callable[[], Configuration | None],
        usable: Callable[[str], Sequence[Upstream]],
        ownership_uncertain_until: Callable[[], Millis],
        has_other_version: Callable[[Upstream], bool] = lambda upstream: False,
        on_taken: Callable[[str, int], None] = lambda job_id, version: None,
    ) -> None:
        self._clock = clock
        self._loads = loads
        self._item_runner = runner
        self._telemetry = telemetry
        self._configuration = configuration
        self._usable = usable
        self._ownership_uncertain_until = ownership_uncertain_until
        self._has_other_version = has_other_version
        self._on_taken = on_taken
        self._lock = threading.Lock()
        self._jobs: dict[str, OwnedJob] = {}
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._run_pool = ThreadPoolExecutor(MAX_CONCURRENT_RUNS, thread_name_prefix="item")
        self._commit_pool = ThreadPoolExecutor(8, thread_name_prefix="commit")
        self._verify_pool = ThreadPoolExecutor(4, thread_name_prefix="proof")
        self._reported_ends: dict[str, Millis] = {}
        self._runs: Counter[str] = Counter()
        self._counted_tokens: Mapping[str, int] = {}
        self._added_tokens: Counter[str] = Counter()
        """Tokens of the jobs that were added since the last count began, by key."""
        self._count_again_at: Millis = 0.0
        self._is_counting = False
        self._committing: set[str] = set()
        self._verifying: set[str] = set()
        self._released: frozenset[str] = frozenset()
        self._duration_estimate = ItemDurationEstimate()
        self._backlog = PeerBacklog()
        self._backlog_lock = threading.Lock()
        self._waiting = WaitingReport()
        self._waiting_log = WaitingLog(clock)

    @property
    def released(self) -> frozenset[str]:
        """Unfinished jobs that this entry has released during its shutdown."""
        return self._released

    def start(self) -> None:
        """Start the scheduling loop."""
        self._loads.add_departure_callback(self._wake.set)
        threading.Thread(target=self._loop, name="jobs", daemon=True).start()

    def stop(self, timeout: Millis) -> None:
        """Stop the loop, cancel running items, commit progress and stop serving all jobs.

        Args:
            timeout: How long to wait for the commits.
        """
        self._stopped.set()
        self._wake.set()
        self.release_unfinished_jobs(timeout)
        for job in self.owned():
            job.mark_lost()

    def release_unfinished_jobs(self, timeout: Millis) -> None:
        """Commit the progress of the unfinished jobs and release them to other entries.

        Args:
            timeout: How long to wait for the commits.
        """
        jobs = [job for job in self.owned() if not job.lost and not job.finished]
        for job in jobs:
            job.start_release()
        commits = [self._commit_pool.submit(job.commit) for job in jobs if job.needs_final_commit()]
        wait(commits, timeout / 1000.0)
        for job in jobs:
            if job.lost or job.finished:
                continue
            self._released |= {job.job_id}
            job.mark_lost()
            self._telemetry.count("job_owners", change="released")
            logging.info("event=job_released job=%s", job.job_id)

    def add(self, job: OwnedJob) -> None:
        """Start to run a job.

        An entry that searches the store can take over a job that it is just accepting itself. The
        earlier record of the job then stops, so that its items do not run twice.
        """
        key = self.waiting_key(job.input.host, job.input.path, job.input.organisation)
        with self._lock:
            replaced = self._jobs.get(job.job_id)
            self._jobs[job.job_id] = job
            if key is not None:
                self._added_tokens[key] += job.work.waiting_tokens
            is_end_reported = job.job_id in self._reported_ends
        if replaced is not None:
            replaced.mark_lost()
        if is_end_reported and job.report_ended():
            self._submit_verification(job)
        self._wake.set()

    def get(self, job_id: str) -> OwnedJob | None:
        """Return an owned job by its id, or ``None``."""
        with self._lock:
            return self._jobs.get(job_id)

    def owned(self) -> list[OwnedJob]:
        """Return all owned jobs."""
        with self._lock:
            return list(self._jobs.values())

    def job_ids(self, *, finished: bool) -> frozenset[str]:
        """Return the ids of the owned jobs that are finished, or of those that are not."""
        jobs = self.owned()
        return frozenset(job.job_id for job in jobs if job.finished is finished and not job.lost)

    def handle_ended_jobs(self, job_ids: Sequence[str]) -> None:
        """Handle a report that jobs were ended in the store, by verifying each at once.

        A job can also be added after the report, when the answer to a takeover from before the end
        arrives.
        """
        now = self._clock.now()
        with self._lock:
            for job_id in job_ids:
                self._reported_ends[job_id] = now
            expired = [
                job_id
                for job_id, at in self._reported_ends.items()
                if now - at >= ENDS_REMEMBERED_FOR
            ]
            for job_id in expired:
                del self._reported_ends[job_id]
            ended = [self._jobs[job_id] for job_id in job_ids if job_id in self._jobs]
        for job in ended:
            if job.report_ended():
                self._submit_verification(job)

    def handle_jobs_of_peer(self, peer: str, job_ids: Iterable[str]) -> None:
        """Verify the unfinished jobs of this entry that a peer names as its own.

        Args:
            peer: Identity of the peer.
            job_ids: The jobs that the peer works on or holds results of.
        """
        with self._lock:
            claimed = [self._jobs[job_id] for job_id in job_ids if job_id in self._jobs]
        for job in claimed:
            if job.lost or job.finished:
                continue
            logging.info("event=job_claimed job=%s peer=%s", job.job_id, peer)
            job.proof.report_claimed()
            self._submit_verification(job)

    def backlog(self) -> Sequence[WaitingGroup]:
        """Return the waiting items of this entry, grouped for the hints to its peers."""
        return self._waiting.groups_at(steady_wall_millis())

    def update_peer_backlog(self, peer: str, groups: Sequence[WaitingGroup]) -> None:
        """Record the waiting items that a peer reports."""
        with self._backlog_lock:
            self._backlog.update_peer(peer, groups, self._clock.now())

    def waiting_key(self, host: str, path: str, organisation: str | None) -> str | None:
        """Return the key under which the tokens of a job count, ``None`` without a route."""
        configuration = self._configuration()
        route = None if configuration is None else configuration.route_for(host, path)
        return None if route is None else waiting_tokens_key(route.name, organisation)

    def waiting_tokens(self) -> dict[str, int]:
        """Return the unfinished items' tokens by route and organisation (`waiting_tokens_key`)."""
        configuration = self._configuration()
        found: dict[str, int] = {}
        if configuration is None:
            return found
        for job in self.owned():
            route = configuration.route_for(job.input.host, job.input.path)
            if route is None or job.finished:
                continue
            key = waiting_tokens_key(route.name, job.input.organisation)
            with job.lock:
                found[key] = found.get(key, 0) + job.work.waiting_tokens
        return found

    def recent_waiting_tokens(self, key: str) -> int:
        """Return `waiting_tokens` of a key, counted once in some time if that takes long.

        Jobs that were added since are counted, items that were finished since still are.
        """
        now = self._clock.now()
        with self._lock:
            if self._is_counting or now < self._count_again_at:
                return self._counted_tokens.get(key, 0) + self._added_tokens[key]
            self._is_counting = True
            added_before = Counter(self._added_tokens)
        try:
            # A job that is added meanwhile may be counted twice until the next count.
            counted = self.waiting_tokens()
            with self._lock:
                self._counted_tokens = counted
                self._added_tokens -= added_before
                end = self._clock.now()
                self._count_again_at = end + min(MAX_COUNT_PAUSE, (end - now) * PAUSE_PER_COUNT)
                return counted.get(key, 0) + self._added_tokens[key]
        finally:
            with self._lock:
                self._is_counting = False

    def _loop(self) -> None:
        pause = MIN_POLL_INTERVAL_S
        while not self._stopped.is_set():
            self._wake.wait(MAX_POLL_INTERVAL_S)
            self._stopped.wait(pause)
            self._wake.clear()
            started = self._clock.now()
            try:
                self._evict_jobs()
                self._submit_due_commits()
                self._start_items()
            except Exception:  # noqa: BLE001
                logging.exception("event=job_loop_failed")
            took = (self._clock.now() - started) / 1000.0
            pause = min(MAX_PAUSE_S, max(MIN_POLL_INTERVAL_S, took * PAUSE_PER_PASS))

    def _evict_jobs(self) -> None:
        jobs = self.owned()
        finished = [job for job in jobs if job.finished]
        excess = max(0, len(finished) - MAX_FINISHED_JOBS)
        evicted = [job for job in jobs if job.lost] + finished[:excess]
        for job in evicted:
            with self._lock:
                is_current = self._jobs.get(job.job_id) is job
                if is_current:
                    del self._jobs[job.job_id]
            logging.info("event=job_dropped job=%s lost=%s", job.job_id, job.lost)
            if is_current and job.lost_at_version is not None:
                self._on_taken(job.job_id, job.lost_at_version)

    def _submit_due_commits(self) -> None:
        now = self._clock.now()
        for job in self.owned():
            if job.job_id in self._committing or not job.is_commit_due(now):
                continue
            self._committing.add(job.job_id)
            self._commit_pool.submit(self._commit, job)

    def _commit(self, job: OwnedJob) -> None:
        started = self._clock.now()
        try:
            done = job.commit()
            took = self._clock.now() - started
            self._telemetry.observe_duration("job_commit", took)
            with job.lock:
                committed = len(job.work.committed)
                left = len(job.work.open_items())
            logging.info(
                "event=job_commit job=%s done=%s lost=%s committed=%d open=%d took_ms=%.0f",
                job.job_id,
                done,
                job.lost,
                committed,
                left,
                took,
            )
        except Exception:  # noqa: BLE001
            logging.exception("event=job_commit_failed job=%s", job.job_id)
        finally:
            self._committing.discard(job.job_id)

    def _start_items(self) -> None:
        configuration = self._configuration()
        if configuration is None:
            return
        order = order_waiting_items(
            self.owned(), configuration, self._duration_estimate, now=self._clock.now()
        )
        # A service without room stops its own items only, and only those that may not use more of
        # its slots: items of one service may wait for a minute while another service is idle.
        full: dict[str, int] = {}
        services = {each.service for each in order}
        reserved = reserved_runs(
            {each: sum(u.slots for u in self._usable(each)) for each in services},
            MAX_CONCURRENT_RUNS,
        )
        for waiting in order:
            if self._stopped.is_set():
                break
            if self._give_up(waiting):
                continue
            if full.get(waiting.service, NOT_FULL) >= waiting.urgency:
                continue
            if not self._may_start_items(waiting.job):
                continue
            if not self._start_while_room(waiting, reserved):
                full[waiting.service] = waiting.urgency
        self._waiting = report_waiting_items(order)
        self._waiting_log.retain_only(services)

    def _give_up(self, waiting: WaitingItems) -> bool:
        """Finish items as dead that have no batch route or are past their retention."""
        job, route = waiting.job, waiting.route
        if route is not None and not self._is_past_retention(job, route):
            return False
        for work in list(waiting.works.values()):
            self._dead_letter(job, work, "no batch route" if route is None else "past retention")
        return True

    def _start_while_room(self, waiting: WaitingItems, reserved: Mapping[str, int]) -> bool:
        """Start items while an upstream has capacity; return whether their service may have more.

        An item that only some upstreams can resume leaves capacity at the others.

        Args:
            waiting: The items.
            reserved: Runs that each service can always have.
        """
        route = waiting.route
        assert route is not None
        upstreams = self._usable(waiting.service)
        for work in list(waiting.works.values()):
            reason = self._reason_to_wait(waiting, upstreams, reserved)
            if reason is not None:
                self._waiting_log.record(waiting.service, reason, work.item.item_id, len(upstreams))
                return False
            candidates = self._candidates(work, upstreams)
            placed = self._loads.place_batch(
                candidates,
                urgency=waiting.urgency,
                due=waiting.due,
                demand=self._loads.choice.demand_of_item(work.item.headers),
            )
            if placed is None and len(candidates) < len(upstreams):
                continue
            if placed is None:
                reason = WaitReason.NO_SLOT
                self._waiting_log.record(waiting.service, reason, work.item.item_id, len(upstreams))
                return False
            upstream, run = placed
            job = waiting.job
            with job.lock:
                job.work.start(work)
            job.add_run(run)
            with self._lock:
                self._runs[waiting.service] += 1
            self._run_pool.submit(self._run, job, work, route, upstream, run)
        return True

    def _candidates(self, work: ItemWork, upstreams: Sequence[Upstream]) -> Sequence[Upstream]:
        """Return the upstreams at which an item may run now.

        An item resumes where its version runs, if it does not have to wait too long for that, and
        starts over elsewhere.
        """
        resumable_at = [each for each in upstreams if work.may_resume_at(each)]
        if len(resumable_at) in (0, len(upstreams)):
            return upstreams
        now = self._clock.now()
        if work.waits_since is None:
            work.waits_since = now
        repeated = self._duration_estimate.estimate_time_of(work.last_event)
        return upstreams if work.may_start_over(now, repeated=repeated) else resumable_at

    def _reason_to_wait(
        self, waiting: WaitingItems, upstreams: Sequence[Upstream], reserved: Mapping[str, int]
    ) -> WaitReason | None:
        """Return why no item may start, ``None`` if one may.

        There must be capacity beyond what more urgent items of peers need.
        """
        with self._lock:
            has_run = may_begin_run(
                waiting.service, runs=self._runs, reserved=reserved, limit=MAX_CONCURRENT_RUNS
            )
        if not has_run:
            return WaitReason.RUN_LIMIT
        start_order = waiting.start_order_at(steady_wall_millis())
        free_slots = self._loads.free_batch_slots(upstreams, urgency=waiting.urgency)
        with self._backlog_lock:
            may_start = self._backlog.may_start(
                start_order,
                free_slots=free_slots,
                now=self._clock.now(),
                service_key=short_key_of(waiting.service),
            )
        if may_start:
            return None
        if free_slots > 0:
            return WaitReason.PEERS_FIRST
        return WaitReason.NO_SLOT if upstreams else WaitReason.NO_UPSTREAM

    def _is_past_retention(self, job: OwnedJob, route: Route) -> bool:
        age = steady_wall_millis() - job.input.submitted
        return bool(route.retention) and age >= route.retention

    def _dead_letter(self, job: OwnedJob, work: ItemWork, reason: str) -> None:
        with job.lock:
            job.work.finish(work, ItemOutcome.DEAD)
        self._count_item(job, work, "dead", reason, None, None)

    def _may_start_items(self, job: OwnedJob) -> bool:
        """Whether items of a job may start; request a verification if the proof is too old."""
        if job.releasing:
            return False
        if (
            job.proof.is_valid(
                ownership_uncertain_until=self._ownership_uncertain_until(),
                max_age=START_PROOF_MAX_AGE,
            )
            or job.proof.is_in_grace
        ):
            return not job.lost
        if job.proof.may_verify:
            self._submit_verification(job)
        return False

    def _submit_verification(self, job: OwnedJob) -> None:
        # The verification calls the store, which may hang. Its own pool keeps it from delaying
        # other jobs and commits.
        with self._lock:
            if self._stopped.is_set() or job.job_id in self._verifying:
                return
            self._verifying.add(job.job_id)
        self._verify_pool.submit(self._verify, job)

    def _verify(self, job: OwnedJob) -> None:
        try:
            proven = job.verify()
            outcome = "lost" if job.lost else "ended" if job.work.ended else "ours"
            self._telemetry.count("job_proofs", outcome=outcome if proven or job.lost else "unread")
            logging.info(
                "event=job_proof job=%s proven=%s lost=%s ended=%s",
                job.job_id,
                proven,
                job.lost,
                job.work.ended,
            )
        except Exception:  # noqa: BLE001
            logging.exception("event=job_proof_failed job=%s", job.job_id)
        finally:
            with self._lock:
                self._verifying.discard(job.job_id)
            self._wake.set()

    def _run(
        self, job: OwnedJob, work: ItemWork, route: Route, upstream: Upstream, run: BatchRun
    ) -> None:
        started = self._clock.now()
        try:
            if run.cancellation.cancelled or job.lost or job.work.ended:
                outcome = RunOutcome(end=RunEnd.INTERRUPTED, detail=run.cancellation.reason)
            else:
                if not work.may_resume_at(upstream):
                    self._start_over(job, work, upstream)
                before = work.last_event
                outcome = self._item_runner.run(job.input, work, upstream, run)
                events = work.last_event - before
                if self._has_other_version(upstream):
                    outcome = self._doubt(job, work, upstream, outcome, resumed=before > 0)
                self._duration_estimate.record_run(
                    events=events, duration=self._clock.now() - started
                )
            self._apply_outcome(job, work, route, outcome)
            self._telemetry.observe_duration("item_run", self._clock.now() - started)
            self._count_item(job, work, outcome.end.value, outcome.detail, upstream, run)
        except Exception:  # noqa: BLE001
            logging.exception("event=item_failed job=%s item=%s", job.job_id, work.item.item_id)
            work.not_before = self._clock.now() + BROKEN_RETRY_DELAY
        finally:
            job.remove_run(run)
            work.running = False
            with self._lock:
                self._runs[upstream.service] -= 1
            self._loads.end_batch(upstream, run)
            self._wake.set()

    def _start_over(self, job: OwnedJob, work: ItemWork, upstream: Upstream) -> None:
        """Discard the events of an item that cannot resume at an upstream."""
        logging.info(
            "event=item_started_over job=%s item=%s events=%d from_version=%s to=%s to_version=%s",
            job.job_id,
            work.item.item_id,
            work.last_event,
            work.version,
            upstream.instance,
            upstream.version,
        )
        with job.lock:
            work.discard_received()

    def _doubt(
        self,
        job: OwnedJob,
        work: ItemWork,
        upstream: Upstream,
        outcome: RunOutcome,
        *,
        resumed: bool,
    ) -> RunOutcome:
        """Discard events that may come from a later start of an upstream at another version.

        Args:
            job: The job of the item.
            work: The item.
            upstream: The upstream as it was when the run began.
            outcome: How the run ended.
            resumed: Whether the run resumed after events of an earlier one.

        Returns:
            How the run counts. A run that brought the whole item comes from one start.
        """
        if not work.last_event or (outcome.end is RunEnd.COMPLETED and not resumed):
            return outcome
        self._start_over(job, work, upstream)
        if outcome.end is not RunEnd.COMPLETED:
            return outcome
        return RunOutcome(end=RunEnd.BROKEN, detail="its upstream has another software version")

    def _apply_outcome(
        self, job: OwnedJob, work: ItemWork, route: Route, outcome: RunOutcome
    ) -> None:
        now = self._clock.now()
        with job.lock:
            if outcome.end is RunEnd.COMPLETED:
                self._duration_estimate.record_item(events=work.last_event)
                job.work.finish(work, ItemOutcome.COMPLETED)
            elif outcome.end is RunEnd.FAILED:
                work.discard_received()
                job.work.record_failed_run(work, max_attempts=route.max_attempts)
            elif outcome.end is RunEnd.REJECTED:
                job.work.record_rejection(work)
            elif outcome.end is RunEnd.NOT_RUN:
                work.not_before = now + NOT_RUN_RETRY_DELAY
            elif outcome.end is RunEnd.BROKEN:
                work.not_before = now + BROKEN_RETRY_DELAY
            work.not_before = max(work.not_before, outcome.not_before)

    def _count_item(
        self,
        job: OwnedJob,
        work: ItemWork,
        outcome: str,
        detail: str,
        upstream: Upstream | None,
        run: BatchRun | None,
    ) -> None:
        self._telemetry.count("items", outcome=outcome)
        logging.info(
            "event=item job=%s item=%s outcome=%s upstream=%s last_event=%d failures=%d"
            " ran_ms=%.0f urgency=%s until_due_ms=%.0f proof_age_ms=%.0f detail=%r",
            job.job_id,
            work.item.item_id,
            outcome,
            "" if upstream is None else upstream.instance,
            work.last_event,
            work.failures,
            0.0 if run is None else self._clock.now() - run.started,
            "" if run is None else run.urgency.name.lower(),
            0.0 if run is None else run.due - steady_wall_millis(),
            job.proof.age,
            detail,
        )
