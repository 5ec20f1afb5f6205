"""Streams with a copy, and their continuation after their engine has ended or broken them off."""

from __future__ import annotations

from collections.abc import Callable

from carobspool_core import Clock, Millis, VerdictKind
from carobspool_core.direct import UNKNOWN_VERSION, Upstream
from carobspool_core.stream_backups import MIN_HEALTHY, LossReason, RunFacts, reason_to_end
from carobspool_core.upstream_pace import read_demand
from carobspool_node.direct._crash_isolation import CrashIsolation
from carobspool_node.direct._group_assignment import UpstreamSplit
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._messages import HeaderNames
from carobspool_node.direct._request_state import RequestState
from carobspool_node.stream_backups import BackedUpRun, NextRun, StreamBackups

MIN_CALL_TIME: Millis = 20.0
"""A call is not sent if less time than this is left."""
UNLIMITED_PLACES = 1_000_000
"""A continuation needs no free slot, since engines admit it before other requests."""


class ContinuedStreams:
    """Chooses the copies of streams, and continues broken streams.

    Args:
        clock: The process's clock.
        names: Header names of the deployment.
        loads: Requests in flight at each upstream.
        isolation: Isolates requests that crash upstreams.
        backups: The copies of this entry's streams.
        split_upstreams: Returns the upstreams of a service.
        has_other_version: Returns whether an upstream has started again at another software
            version.
    """

    def __init__(
        self,
        clock: Clock,
        names: HeaderNames,
        loads: LoadTable,
        isolation: CrashIsolation,
        backups: StreamBackups,
        split_upstreams: Callable[[str], UpstreamSplit],
        has_other_version: Callable[[Upstream], bool],
    ) -> None:
        self._clock = clock
        self._names = names
        self._loads = loads
        self._isolation = isolation
        self._backups = backups
        self._split_upstreams = split_upstreams
        self._has_other_version = has_other_version

    def begin(
        self, state: RequestState, upstream: Upstream, split: UpstreamSplit, *, is_suspect: bool
    ) -> None:
        """Choose the copy of a request that is about to run at an upstream, if it gets one."""
        run = None
        if self._backups.in_force(upstream.service):
            run = self._choose(state, upstream, split, is_suspect=is_suspect)
        state.progress.begin_run(run)

    def end(self, state: RequestState) -> None:
        """Record that the run of a request at an upstream has ended."""
        if state.progress.run is not None:
            self._backups.end(state.progress.run)

    def continue_stream(
        self, state: RequestState, call: Callable[[RequestState, Upstream, bytes], bool]
    ) -> bool:
        """Continue a stream whose run has failed; return whether the caller has all of it.

        Args:
            state: The request.
            call: Calls an upstream for a request that continues a run; returns whether the caller
                has received the answer.
        """
        progress = state.progress
        while progress.run is not None and progress.failed_at is not None:
            run = progress.run
            found = self._next_run(state, run, progress.failed_at)
            if isinstance(found, LossReason):
                self._backups.record_lost(run.request_id, run.source, found)
                return False
            if self._run(state, run, found, call):
                return True
            if progress.run is None or progress.failed_at is None:
                reason = LossReason.NO_COPY if progress.turned_away else LossReason.SECOND_FAILED
                self._backups.record_lost(run.request_id, found.upstream, reason)
        return False

    def _next_run(
        self, state: RequestState, run: BackedUpRun, failed_at: Millis
    ) -> NextRun | LossReason:
        """Return where a broken stream continues, or why it ends."""
        progress = state.progress

        def reason() -> LossReason | None:
            verdict = self._isolation.check(state.fingerprints)
            facts = RunFacts(
                last_event=state.last_event,
                first_event_at=progress.first_event_at,
                failed_at=failed_at,
                continuations=progress.continuations,
                is_quarantined=verdict.kind is VerdictKind.QUARANTINED,
                time_left=state.deadline - self._clock.now(),
            )
            return reason_to_end(facts, min_time_left=MIN_CALL_TIME)

        ends = reason()
        if ends is None and self._may_have_other_version(state, run.source):
            ends = LossReason.OTHER_VERSION
        if ends is not None:
            return ends
        found = self._backups.next_run(run, is_refused=progress.is_refused)
        if isinstance(found, LossReason):
            return found
        if found.source_crashed:
            self._isolation.record_crash((state.fingerprint(),), run.source)
        # The move took time, in which the deadline or a quarantine may have come.
        ends = reason()
        if ends is None and self._has_other_version(found.upstream):
            ends = LossReason.OTHER_VERSION
        if ends is not None and found.handle:
            self._backups.free(run, found.handle)
        return found if ends is None else ends

    def _may_have_other_version(self, state: RequestState, source: Upstream) -> bool:
        """Whether the events of a stream may come from a later start of its upstream."""
        return state.version == UNKNOWN_VERSION or self._has_other_version(source)

    def _run(
        self,
        state: RequestState,
        run: BackedUpRun,
        found: NextRun,
        call: Callable[[RequestState, Upstream, bytes], bool],
    ) -> bool:
        """Run a continuation; return whether the caller has received the rest of the stream."""
        progress = state.progress
        upstream = found.upstream
        before = progress.last_event_at
        last_event = state.last_event or 0

        def record(now: Millis) -> None:
            self._backups.record_continued(run, found, events=last_event, pause=now - before)

        progress.continuations += 1
        state.upstream_loads.append(f"{upstream.instance}:{found.way.value}")
        placement = self._loads.place_online(
            (upstream,), target_latency=0.0, is_retry=True, queue_places=UNLIMITED_PLACES
        )
        state.forecast = None if placement is None else placement.forecast
        answered = False
        try:
            verdict = self._isolation.check(state.fingerprints)
            is_suspect = verdict.kind is not VerdictKind.CLEAR
            self.begin(
                state, upstream, self._split_upstreams(upstream.service), is_suspect=is_suspect
            )
            progress.on_first_event = record
            answered = call(state, upstream, found.run_from)
            if answered and progress.first_event_at is None:
                record(self._clock.now())
            return answered
        finally:
            if placement is not None:
                self._loads.end_online(placement, completed=False)
            self.end(state)
            if found.handle and not answered and progress.first_event_at is None:
                self._backups.free(run, found.handle)

    def _choose(
        self, state: RequestState, upstream: Upstream, split: UpstreamSplit, *, is_suspect: bool
    ) -> BackedUpRun | None:
        split = split.running(upstream.version)
        # Loads of far upstreams are known from heartbeats only, and would all seem to be free.
        healthy = self._loads.healthy_loads(split.near)
        if len(healthy) < MIN_HEALTHY:
            healthy = self._loads.healthy_loads((*split.near, *split.far))
        names = self._names
        header = state.request.header
        demand = read_demand(
            header(names.model), header(names.token_count), header(names.prompt_parts)
        )
        return self._backups.begin(
            state.request.request_id,
            state.route,
            upstream,
            healthy,
            tokens=0 if demand is None else demand.total_tokens,
            is_suspect=is_suspect,
        )
