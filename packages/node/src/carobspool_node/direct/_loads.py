"""Track the requests in flight at each upstream and choose the upstream of the next request.

`LoadTable` is the only state that forwarding threads share. An upstream is chosen and the request
counted under one lock, so that concurrent requests do not all pick the same free upstream.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable, Mapping, Sequence

from carobspool_core import Clock, Millis
from carobspool_core.direct import (
    NO_LOAD,
    BatchUrgency,
    FleetLoads,
    Load,
    MeanDuration,
    Upstream,
    by_identity,
    excess_batch_runs,
    free_batch_slots,
    queue_limit,
    runs_to_cancel,
)
from carobspool_core.upstream_pace import PromptDemand
from carobspool_node.direct._in_flight import BatchRun, Placement, UpstreamInFlight
from carobspool_node.direct._suspects import Suspects
from carobspool_node.upstream_pace import UpstreamChoice, UpstreamPaces

UPSTREAM_SILENCE_LIMIT: Millis = 600.0
"""Time without data after which an upstream with requests in flight counts as hung. A working
engine sends an event about every 30 ms, and a plain service answers in about 100 ms."""

PREEMPTED_BY_OWN_REQUEST = "preempted by an online request of this entry"
PREEMPTED_BY_PEER_REQUESTS = "preempted by requests of other entries"


class LoadTable:
    """The requests that this entry and its peers have in flight at each upstream.

    Attributes:
        choice: The choice of upstreams that is in force.

    Args:
        clock: The process's clock.
        failure_domain: Failure domain in which this entry runs.
        name: Name of this entry, as in its hints to peers.
        prefers_own_domain: Returns whether placement prefers upstreams of the own failure domain.
        paces: Estimates of what upstreams can do now, ``None`` if slots alone decide.
    """

    def __init__(
        self,
        clock: Clock,
        failure_domain: str,
        *,
        name: str,
        prefers_own_domain: Callable[[], bool] = lambda: False,
        paces: UpstreamPaces | None = None,
    ) -> None:
        self._clock = clock
        self._name = name
        self.choice = UpstreamChoice(failure_domain, prefers_own_domain, paces)
        self._lock = threading.Lock()
        self._own: dict[str, UpstreamInFlight] = {}
        self._fleet = FleetLoads()
        self._suspects = Suspects()
        self._durations: dict[str, MeanDuration] = {}
        self._capacity_callbacks: list[Callable[[], None]] = []
        self._on_own_change: Callable[[], None] = lambda: None

    def add_departure_callback(self, callback: Callable[[], None]) -> None:
        """Add a callback for freed capacity at an upstream.

        A request or batch item of this entry or of a peer has ended there, or the upstream has
        restarted.
        """
        self._capacity_callbacks.append(callback)

    def set_own_change_callback(self, callback: Callable[[], None]) -> None:
        """Set the callback for the start or end of a request or batch item of this entry."""
        self._on_own_change = callback

    def place_online(
        self,
        upstreams: Sequence[Upstream],
        *,
        target_latency: Millis,
        is_retry: bool,
        excluded: frozenset[str] = frozenset(),
        far: Sequence[Upstream] = (),
        demand: PromptDemand | None = None,
        queue_places: int | None = None,
    ) -> Placement | None:
        """Choose an upstream for an online request, count it, and preempt batch items if needed.

        Args:
            upstreams: Preferred candidates.
            target_latency: Longest time to the answer that counts as on time.
            is_retry: Whether the caller retries after a refusal.
            excluded: Identities of upstreams that this request has already tried.
            far: Candidates to use when all preferred upstreams are full or suspect. Their loads are
                known from heartbeats only.
            demand: Tokens and prompt parts of the request, ``None`` if not stated.
            queue_places: Limit of the online requests beyond the slots of each upstream; ``None``
                for the limit that follows from the target latency.

        Returns:
            The placement, or ``None`` when no upstream has room for the request.
        """

        def queue_limit_of(upstream: Upstream) -> int:
            if queue_places is not None:
                return queue_places
            return queue_limit(
                slots=upstream.slots,
                mean_duration=self._mean_duration(upstream.service).value
                * self.choice.pace_of(upstream),
                target_latency=target_latency,
                is_retry=is_retry,
            )

        now = self._clock.now()
        with self._lock:
            loads = self._total_loads(now)
            suspects = self._current_suspects(now, first_try=not excluded)
            chosen = None
            for candidates in (upstreams, far):
                if excluded:
                    candidates = [each for each in candidates if each.identity not in excluded]
                candidate = self.choice.online(
                    candidates,
                    loads=loads,
                    suspects=suspects,
                    queue_limit_of=queue_limit_of,
                    demand=demand,
                    mean_duration_of=self._mean_duration_of,
                )
                if candidate is not None and (chosen is None or candidate.identity not in suspects):
                    chosen = candidate
                if chosen is not None and chosen.identity not in suspects:
                    break
            if chosen is None:
                return None
            load = loads.get(chosen.identity, NO_LOAD)
            self._get_or_add_own(chosen, now).online += 1
            self._fleet.add_own(chosen.identity, online=1)
            preempted = self._runs_to_preempt(chosen, now, own_first=True)
            forecast = self.choice.forecast(
                chosen,
                upstreams,
                load,
                demand=demand,
                mean_duration_of=self._mean_duration_of,
                entries=self._fleet.peer_count + 1,
            )
        self._on_own_change()
        for run in preempted:
            run.cancellation.cancel(PREEMPTED_BY_OWN_REQUEST)
        return Placement(upstream=chosen, started=now, load=load, forecast=forecast)

    def online_room(
        self, upstreams: Sequence[Upstream], queue_places: int
    ) -> tuple[dict[str, int], int]:
        """Return how many more online requests each upstream takes, and the slots of all of them.

        Upstreams without room are omitted, by identity.

        Upstreams that seem to have stopped are left out unless all of them do.

        Args:
            upstreams: The upstreams.
            queue_places: Limit of the online requests beyond the slots of each upstream.
        """
        now = self._clock.now()
        with self._lock:
            loads = self._total_loads(now)
            suspects = self._current_suspects(now)
            healthy = [each for each in upstreams if each.identity not in suspects]
            free: dict[str, int] = {}
            slots = 0
            for upstream in healthy or upstreams:
                slots += upstream.slots
                load = loads.get(upstream.identity, NO_LOAD)
                room = upstream.slots + queue_places - load.online
                if room > 0:
                    free[upstream.identity] = room
        return free, slots

    def healthy(self, upstreams: Iterable[Upstream]) -> list[Upstream]:
        """Return those upstreams that neither failed recently nor are silent."""
        with self._lock:
            suspects = self._current_suspects(self._clock.now())
        return [each for each in upstreams if each.identity not in suspects]

    def healthy_loads(self, upstreams: Sequence[Upstream]) -> list[tuple[Upstream, Load]]:
        """Return the upstreams of `healthy` with their loads."""
        now = self._clock.now()
        with self._lock:
            loads = self._total_loads(now)
            suspects = self._current_suspects(now)
            return [
                (each, loads.get(each.identity, NO_LOAD))
                for each in upstreams
                if each.identity not in suspects
            ]

    def describe(self, upstreams: Sequence[Upstream]) -> str:
        """Return the loads, mean duration and age of hints that explain a refusal, for the log."""
        now = self._clock.now()
        with self._lock:
            loads = self._total_loads(now)
            loads = {each.identity: loads.get(each.identity, NO_LOAD) for each in upstreams}
            suspects = self._current_suspects(now)
            ages = list(self._fleet.report_ages(now))
            mean = self._mean_duration(upstreams[0].service).value if upstreams else 0.0
        shown = []
        for each in upstreams:
            load = loads[each.identity]
            mark = "!" if each.identity in suspects else ""
            shown.append(f"{each.instance}{mark}:{load.online}+{load.batch}/{each.slots}")
        oldest = max(ages, default=0.0)
        return f"loads={','.join(shown)} mean_ms={mean:.0f} hints_age_ms={oldest:.0f}"

    def end_online(self, placement: Placement, *, completed: bool) -> None:
        """Count the end of an online request.

        Args:
            placement: The request's placement.
            completed: Whether the request completed. Its duration then enters the service's mean
                if the request found a free slot.
        """
        upstream = placement.upstream
        with self._lock:
            own = self._own[upstream.identity]
            own.online -= 1
            self._fleet.add_own(upstream.identity, online=-1)
            self._drop_if_idle(own)
            if completed and placement.had_free_slot:
                self._mean_duration(upstream.service).add(self._clock.now() - placement.started)
        self.choice.end(placement.forecast, has_read=completed)
        self._on_own_change()
        self._notify_capacity_freed()

    def place_batch(
        self,
        upstreams: Sequence[Upstream],
        *,
        urgency: BatchUrgency,
        due: float,
        demand: PromptDemand | None = None,
    ) -> tuple[Upstream, BatchRun] | None:
        """Choose an upstream with room for a batch item and count the item.

        Args:
            upstreams: Candidates.
            urgency: Urgency of the item; a more urgent item may use more slots.
            due: Wall-clock time at which the item's job is due.
            demand: Tokens and prompt parts of the item, ``None`` if not stated.

        Returns:
            The upstream and the item's run, or ``None`` when no candidate has room.
        """
        now = self._clock.now()
        with self._lock:
            loads = self._total_loads(now)
            chosen = self.choice.batch(
                upstreams,
                loads=loads,
                suspects=self._current_suspects(now),
                urgency=urgency,
                demand=demand,
                mean_duration_of=self._mean_duration_of,
            )
            if chosen is None:
                return None
            forecast = self.choice.forecast(
                chosen,
                upstreams,
                loads.get(chosen.identity, NO_LOAD),
                demand=demand,
                mean_duration_of=self._mean_duration_of,
                entries=self._fleet.peer_count + 1,
            )
            run = BatchRun(started=now, urgency=urgency, due=due, forecast=forecast)
            self._get_or_add_own(chosen, now).runs.append(run)
            self._fleet.add_own(chosen.identity, batch=1)
        self._on_own_change()
        return chosen, run

    def free_batch_slots(self, upstreams: Sequence[Upstream], *, urgency: BatchUrgency) -> int:
        """Return how many batch items of an urgency could start now."""
        now = self._clock.now()
        with self._lock:
            loads = self._total_loads(now)
            suspects = self._current_suspects(now)
            return free_batch_slots(upstreams, loads, urgency=urgency, suspects=suspects)

    def end_batch(self, upstream: Upstream, run: BatchRun) -> None:
        """Count the end of a batch item's run at an upstream."""
        with self._lock:
            own = self._own[upstream.identity]
            own.runs.remove(run)
            self._fleet.add_own(upstream.identity, batch=-1)
            self._drop_if_idle(own)
        self.choice.end(run.forecast, has_read=False)
        self._on_own_change()
        self._notify_capacity_freed()

    def mean_duration(self, service: str) -> Millis:
        """Return the mean duration of a service's requests that found a free slot."""
        with self._lock:
            return self._mean_duration(service).value

    def record_failure(self, upstream: Upstream) -> None:
        """Record a failure at an upstream, which is then avoided for a while.

        Hints report the failure to the other entries. A failure of an upstream that has restarted
        since is ignored.
        """
        with self._lock:
            self._suspects.record_failure(upstream, self._clock.now())

    def record_activity(self, upstream: Upstream) -> None:
        """Record that an upstream has just sent data to this entry."""
        own = self._own.get(upstream.identity)
        if own is not None:
            own.last_activity_at = self._clock.now()

    def last_activity_at(self, upstream: Upstream) -> Millis:
        """Return when an upstream last sent data to this entry.

        The time is that of the first request in flight if no data came since, and 0 when this
        entry has nothing in flight at the upstream.
        """
        own = self._own.get(upstream.identity)
        return own.last_activity_at if own is not None else 0.0

    def apply_hint(
        self,
        peer: str,
        loads: Mapping[str, Load],
        upstreams: Sequence[Upstream],
        failures: Mapping[str, int] | None,
        *,
        knows_starts: bool = True,
    ) -> None:
        """Apply a peer's loads and failures; preempt own batch items for the peer's requests.

        Args:
            peer: Name of the peer.
            loads: Requests that the peer has in flight, by the upstream's identity.
            upstreams: The upstreams known to this entry.
            failures: Failures that the peer has seen since its start, by the upstream's identity;
                ``None`` if the hint reports none.
            knows_starts: Whether the peer reports start times of upstreams. If it does not, loads
                and failures are keyed by the upstream's instance id.
        """
        now = self._clock.now()
        preempted: list[BatchRun] = []
        with self._lock:
            if not knows_starts:
                loads = self._by_current_identity(loads, upstreams)
            frees_capacity = self._fleet.update_peer(peer, loads, now)
            if failures is not None:
                self._suspects.merge_peer_failures(peer, failures, now)
            for identity in loads:
                own = self._own.get(identity)
                if own is not None and own.runs:
                    preempted.extend(self._runs_to_preempt(own.upstream, now, own_first=False))
        for run in preempted:
            run.cancellation.cancel(PREEMPTED_BY_PEER_REQUESTS)
        if frees_capacity:
            self._notify_capacity_freed()

    def record_hint_without_loads(self, peer: str) -> None:
        """Keep the loads of a peer from which a hint without loads has arrived."""
        with self._lock:
            self._fleet.record_hint_without_loads(peer, self._clock.now())

    def record_restart(self, upstream: Upstream) -> None:
        """Record that an upstream has restarted, which leaves its slots free."""
        with self._lock:
            self._suspects.record_restart(upstream)
        self._notify_capacity_freed()

    def own_loads(self) -> dict[str, Load]:
        """Return the requests that this entry has in flight, by the upstream's identity."""
        with self._lock:
            return {
                identity: Load(own.online, len(own.runs)) for identity, own in self._own.items()
            }

    def own_failures(self) -> dict[str, int]:
        """Return the failures that this entry has seen, by the upstream's identity."""
        with self._lock:
            return self._suspects.own_failures()

    def retain_only(self, identities: set[str]) -> None:
        """Drop expired loads, and the failures of upstreams that are not in ``identities``."""
        now = self._clock.now()
        with self._lock:
            self._fleet.expire(now)
            self._suspects.retain_only(identities, now)

    def _by_current_identity(
        self, loads: Mapping[str, Load], upstreams: Sequence[Upstream]
    ) -> dict[str, Load]:
        """Return the loads of a peer that runs the previous version, by the upstream's identity.

        If these loads were ignored, entries of the two versions would not see each other's requests
        and would overfill upstreams while both versions run. The loads of an upstream that has
        restarted are left out, since they may belong to either of its starts. Failures reported
        without a start time are never used.
        """
        starts = {
            each.instance: each.started
            for each in upstreams
            if not self._suspects.has_restarted(each.instance)
        }
        return by_identity(loads, starts)

    def _notify_capacity_freed(self) -> None:
        for callback in self._capacity_callbacks:
            callback()

    def _mean_duration(self, service: str) -> MeanDuration:
        return self._durations.setdefault(service, MeanDuration())

    def _mean_duration_of(self, service: str) -> Millis:
        return self._mean_duration(service).value

    def _get_or_add_own(self, upstream: Upstream, now: Millis) -> UpstreamInFlight:
        """Return this entry's work at an upstream; add an empty record if there is none."""
        own = self._own.get(upstream.identity)
        if own is None:
            own = UpstreamInFlight(upstream=upstream, last_activity_at=now)
            self._own[upstream.identity] = own
        return own

    def _drop_if_idle(self, own: UpstreamInFlight) -> None:
        if not own.total:
            del self._own[own.upstream.identity]

    def _runs_to_preempt(
        self, upstream: Upstream, now: Millis, *, own_first: bool
    ) -> list[BatchRun]:
        """Return the batch runs of this entry to preempt at an upstream.

        Args:
            upstream: The upstream.
            now: Current time of the clock.
            own_first: Whether this entry has just placed the request that needs the slot. The
                entry then preempts its own runs, since no peer has received the request's hint yet.
        """
        own = self._own.get(upstream.identity)
        if own is None or not own.runs:
            return []
        running = [run for run in own.runs if not run.cancellation.cancelled]
        load = self._total_loads(now).get(upstream.identity, NO_LOAD)
        excess = excess_batch_runs(
            upstream, Load(load.online, load.batch - (len(own.runs) - len(running)))
        )
        count = min(excess, len(running))
        if count and not own_first:
            peers = self._fleet.loads_by_peer(upstream.identity)
            runs = {peer: theirs.batch for peer, theirs in peers.items()}
            runs[self._name] = len(running)
            count = runs_to_cancel(upstream, excess, runs, self._name)
        if not count:
            return []
        # Items that are already late are preempted first, then those with the latest due time. If
        # the start time alone decided, an item that has just resumed would be preempted again and
        # again, and its job would end late.
        return sorted(running, key=lambda run: (run.urgency, -run.due, -run.started))[:count]

    def _current_suspects(self, now: Millis, *, first_try: bool = True) -> frozenset[str]:
        suspects = self._suspects.avoided(now, first_try=first_try)
        for identity, own in self._own.items():
            if now - own.last_activity_at > UPSTREAM_SILENCE_LIMIT:
                suspects.add(identity)
        return frozenset(suspects)

    def _total_loads(self, now: Millis) -> Mapping[str, Load]:
        """Return the loads of all entries; the mapping is valid while the lock is held."""
        self._fleet.expire(now)
        return self._fleet.totals
