"""Works on the owned jobs: starts items where there is room and commits their results."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor, wait

from absl import logging

from carobspool_core import Clock, Millis, wall_millis
from carobspool_core.direct import (
    Backlog,
    Configuration,
    ItemEnd,
    ItemPace,
    ItemWork,
    Route,
    Upstream,
    WaitingGroup,
    group_waiting,
)
from carobspool_core.organisations import waiting_key
from carobspool_node.direct._in_flight import BatchRun
from carobspool_node.direct._item_order import WaitingItem, waiting_in_order
from carobspool_node.direct._item_run import ItemRunner, RunEnd, RunOutcome
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._owned_job import OwnedJob
from carobspool_node.direct._telemetry import Telemetry

MAX_RUNS = 96
"""Items run at once by one entry: more than all places of an engine fleet of this size, and a bound
on threads."""
IDLE_WAIT_S = 0.1
"""Longest pause between two looks for room; events of this entry wake it earlier, so this is how
long room that others made goes unnoticed."""
SHORTEST_WAIT_S = 0.015
"""Shortest pause between two looks. Hints tell of room hundreds of times a second, and a look goes
through all that waits."""
TURNED_AWAY_PAUSE: Millis = 60.0
BROKEN_PAUSE: Millis = 100.0
VIEW_AGE: Millis = 1_500.0
"""Age of the last proof of ownership beyond which it is renewed before an item starts, when others
may have acted for this entry since. A job that was ended through another entry must not start items
three seconds later, and a sign of separation is seen within 0.9 s."""
KEPT_FINISHED = 64
"""Finished jobs that an entry answers for from memory; older ones are read from the store."""


class JobRunner:
    """The owned jobs and the tasks that work on them."""

    def __init__(
        self,
        clock: Clock,
        loads: LoadTable,
        runner: ItemRunner,
        telemetry: Telemetry,
        *,
        configuration: Callable[[], Configuration | None],
        usable: Callable[[str], Sequence[Upstream]],
        doubt_until: Callable[[], Millis],
    ) -> None:
        self._clock = clock
        self._loads = loads
        self._runner = runner
        self._telemetry = telemetry
        self._configuration = configuration
        self._usable = usable
        self._doubt_until = doubt_until
        self._lock = threading.Lock()
        self._jobs: dict[str, OwnedJob] = {}
        self._wake = threading.Event()
        self._stopped = threading.Event()
        self._runs = ThreadPoolExecutor(MAX_RUNS, thread_name_prefix="item")
        self._commits = ThreadPoolExecutor(8, thread_name_prefix="commit")
        self._proofs = ThreadPoolExecutor(4, thread_name_prefix="proof")
        self._running = 0
        self._committing: set[str] = set()
        self._proving: set[str] = set()
        self._released: frozenset[str] = frozenset()
        self._pace = ItemPace()
        self._backlog = Backlog()
        self._backlog_lock = threading.Lock()
        self._waiting: Sequence[WaitingItem] = ()

    @property
    def released(self) -> frozenset[str]:
        """Unfinished jobs that this entry has given up as it leaves."""
        return self._released

    def start(self) -> None:
        """Start to work."""
        self._loads.on_room(self._wake.set)
        threading.Thread(target=self._loop, name="jobs", daemon=True).start()

    def stop(self, patience: Millis) -> None:
        """Start nothing more, cancel what runs, commit what is done and answer for nothing.

        Args:
            patience: How long to wait for the commits.
        """
        self._stopped.set()
        self._wake.set()
        self.let_go(patience)
        for job in self.owned():
            job.lose()

    def let_go(self, patience: Millis) -> None:
        """Give up the unfinished jobs, with what is done of them committed.

        Args:
            patience: How long to wait for the commits.
        """
        jobs = [job for job in self.owned() if not job.lost and not job.finished]
        for job in jobs:
            job.leave()
        commits = [self._commits.submit(job.commit) for job in jobs if job.leave_due()]
        wait(commits, patience / 1000.0)
        for job in jobs:
            if job.lost or job.finished:
                continue
            self._released |= {job.job_id}
            job.lose()
            self._telemetry.count("job_owners", change="released")
            logging.info("event=job_released job=%s", job.job_id)

    def add(self, job: OwnedJob) -> None:
        """Take a job on."""
        with self._lock:
            self._jobs[job.job_id] = job
        self._wake.set()

    def get(self, job_id: str) -> OwnedJob | None:
        """Return an owned job."""
        with self._lock:
            return self._jobs.get(job_id)

    def owned(self) -> list[OwnedJob]:
        """Return all owned jobs."""
        with self._lock:
            return list(self._jobs.values())

    def job_ids(self, *, finished: bool) -> frozenset[str]:
        """Return the ids of the owned jobs that are finished, or that are not."""
        jobs = self.owned()
        return frozenset(job.job_id for job in jobs if job.finished is finished and not job.lost)

    def told_ended(self, job_ids: Iterable[str]) -> None:
        """Take a peer's word that jobs have been ended in the store; the store is asked at once."""
        for job_id in job_ids:
            job = self.get(job_id)
            if job is not None and job.told_ended():
                self._ask_for_proof(job)

    def backlog(self) -> Sequence[WaitingGroup]:
        """Return the items that wait here, for hints."""
        wall = wall_millis()
        return group_waiting(each.turn_at(wall) for each in self._waiting)

    def take_backlog(self, peer: str, groups: Sequence[WaitingGroup]) -> None:
        """Take what waits at another entry."""
        with self._backlog_lock:
            self._backlog.take(peer, groups, self._clock.now())

    def waiting_tokens(self) -> dict[str, int]:
        """Return the tokens of unfinished items by route and organisation (`waiting_key`)."""
        configuration = self._configuration()
        found: dict[str, int] = {}
        if configuration is None:
            return found
        for job in self.owned():
            route = configuration.route_for(job.input.host, job.input.path)
            if route is None or job.finished:
                continue
            key = waiting_key(route.name, job.input.organisation)
            with job.lock:
                found[key] = found.get(key, 0) + job.work.waiting_tokens
        return found

    def _loop(self) -> None:
        while not self._stopped.is_set():
            self._wake.wait(IDLE_WAIT_S)
            self._stopped.wait(SHORTEST_WAIT_S)
            self._wake.clear()
            try:
                self._drop_lost()
                self._commit_due()
                self._start_items()
            except Exception:  # noqa: BLE001
                logging.exception("event=job_loop_failed")

    def _drop_lost(self) -> None:
        jobs = self.owned()
        finished = [job for job in jobs if job.finished]
        too_many = max(0, len(finished) - KEPT_FINISHED)
        dropped = [job for job in jobs if job.lost] + finished[:too_many]
        for job in dropped:
            with self._lock:
                self._jobs.pop(job.job_id, None)
            logging.info("event=job_dropped job=%s lost=%s", job.job_id, job.lost)

    def _commit_due(self) -> None:
        now = self._clock.now()
        for job in self.owned():
            if job.job_id in self._committing or not job.commit_due(now):
                continue
            self._committing.add(job.job_id)
            self._commits.submit(self._commit, job)

    def _commit(self, job: OwnedJob) -> None:
        started = self._clock.now()
        try:
            done = job.commit()
            took = self._clock.now() - started
            self._telemetry.time("job_commit", took)
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
        order = waiting_in_order(self.owned(), configuration, self._pace, now=self._clock.now())
        for waiting in order:
            if self._stopped.is_set() or self._running >= MAX_RUNS:
                break
            if not self._start(waiting):
                break
        self._waiting = [each for each in order if not each.work.running]

    def _start(self, waiting: WaitingItem) -> bool:
        """Start an item if there is room; return whether there may be room for the next one."""
        job, work, route = waiting.job, waiting.work, waiting.route
        if route is None or self._is_too_old(job, route):
            self._give_up(job, work, "its route is gone" if route is None else "too old")
            return True
        if not self._is_still_ours(job):
            return True
        upstreams = self._usable(route.service_for(work.item.item_id))
        if not self._goes_first(waiting, upstreams):
            return False
        placed = self._loads.place_batch(upstreams, urgency=waiting.urgency, due=waiting.due)
        if placed is None:
            return False
        upstream, run = placed
        work.running = True
        job.add_run(run)
        self._running += 1
        self._runs.submit(self._run, job, work, route, upstream, run)
        return True

    def _goes_first(self, waiting: WaitingItem, upstreams: Sequence[Upstream]) -> bool:
        """Whether there is room for an item that is not left to items of other entries."""
        turn = waiting.turn_at(wall_millis())
        room = self._loads.room_for_batch(upstreams, urgency=waiting.urgency)
        with self._backlog_lock:
            return self._backlog.may_start(turn, room=room, now=self._clock.now())

    def _is_too_old(self, job: OwnedJob, route: Route) -> bool:
        return bool(route.retention) and wall_millis() - job.input.submitted >= route.retention

    def _give_up(self, job: OwnedJob, work: ItemWork, reason: str) -> None:
        with job.lock:
            job.work.finish(work, ItemEnd.DEAD)
        self._count_item(job, work, "dead", reason, None, None)

    def _is_still_ours(self, job: OwnedJob) -> bool:
        """Whether an item of a job may start; if that needs a proof, ask for it."""
        if job.leaving:
            return False
        if (
            job.proof.holds(doubt_until=self._doubt_until(), max_age=VIEW_AGE)
            or job.proof.is_excused
        ):
            return not job.lost
        if job.proof.may_ask:
            self._ask_for_proof(job)
        return False

    def _ask_for_proof(self, job: OwnedJob) -> None:
        # The proof is a call to the store, which may hang; other jobs and commits do not wait.
        with self._lock:
            if self._stopped.is_set() or job.job_id in self._proving:
                return
            self._proving.add(job.job_id)
        self._proofs.submit(self._prove, job)

    def _prove(self, job: OwnedJob) -> None:
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
                self._proving.discard(job.job_id)
            self._wake.set()

    def _run(
        self, job: OwnedJob, work: ItemWork, route: Route, upstream: Upstream, run: BatchRun
    ) -> None:
        started = self._clock.now()
        try:
            if run.cancellation.cancelled or job.lost or job.work.ended:
                outcome = RunOutcome(end=RunEnd.INTERRUPTED, detail=run.cancellation.reason)
            else:
                before = work.last_event
                outcome = self._runner.run(job.input, work, upstream, run)
                events = work.last_event - before
                self._pace.ran(events=events, duration=self._clock.now() - started)
            self._take_outcome(job, work, route, outcome)
            self._telemetry.time("item_run", self._clock.now() - started)
            self._count_item(job, work, outcome.end.value, outcome.detail, upstream, run)
        except Exception:  # noqa: BLE001
            logging.exception("event=item_failed job=%s item=%s", job.job_id, work.item.item_id)
            work.not_before = self._clock.now() + BROKEN_PAUSE
        finally:
            job.remove_run(run)
            work.running = False
            self._running -= 1
            self._loads.end_batch(upstream, run)
            self._wake.set()

    def _take_outcome(
        self, job: OwnedJob, work: ItemWork, route: Route, outcome: RunOutcome
    ) -> None:
        now = self._clock.now()
        with job.lock:
            if outcome.end is RunEnd.COMPLETED:
                self._pace.ended(events=work.last_event)
                job.work.finish(work, ItemEnd.COMPLETED)
            elif outcome.end is RunEnd.FAILED:
                work.restart()
                job.work.failed(work, max_attempts=route.max_attempts)
            elif outcome.end is RunEnd.REJECTED:
                job.work.rejected(work)
            elif outcome.end is RunEnd.TURNED_AWAY:
                work.not_before = now + TURNED_AWAY_PAUSE
            elif outcome.end is RunEnd.BROKEN:
                work.not_before = now + BROKEN_PAUSE

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
            0.0 if run is None else run.due - wall_millis(),
            job.proof.age,
            detail,
        )
