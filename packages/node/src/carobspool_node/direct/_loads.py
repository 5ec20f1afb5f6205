"""Requests in flight at each upstream, and which upstream gets the next one.

The only shared state of forwarding. Choosing and counting happen under one lock, so that requests
which arrive together do not all see the same upstream free.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping, Sequence

from carobspool_core import Clock, Millis
from carobspool_core.direct import (
    NO_LOAD,
    BatchUrgency,
    FleetLoads,
    Load,
    MeanDuration,
    Upstream,
    by_identity,
    choose_batch_upstream,
    choose_upstream,
    excess_of_batch,
    queue_limit,
    room_for_batch,
    share_of_excess,
)
from carobspool_node.direct._in_flight import BatchRun, OwnRequests, Placement
from carobspool_node.direct._suspects import Suspects

QUIET_TIME: Millis = 600.0
"""An engine with running requests sends an event every 30 ms or so, and a plain service answers in
some 100 ms. One that has requests and says nothing for this long has probably stopped."""


GAVE_WAY_HERE = "gave way to an online request of this entry"
GAVE_WAY_TO_OTHERS = "gave way to requests of other entries"


class LoadTable:
    """What this entry and the others have in flight.

    Args:
        clock: The process's clock.
        failure_domain: Where this entry runs.
        name: Name of this entry, as its peers know it.
    """

    def __init__(self, clock: Clock, failure_domain: str, *, name: str) -> None:
        self._clock = clock
        self._failure_domain = failure_domain
        self._name = name
        self._lock = threading.Lock()
        self._own: dict[str, OwnRequests] = {}
        self._fleet = FleetLoads()
        self._suspects = Suspects()
        self._durations: dict[str, MeanDuration] = {}
        self._on_change: Callable[[], None] = lambda: None
        self._on_own_change: Callable[[], None] = lambda: None

    def on_room(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when a request, of this entry or of another, has left an upstream."""
        self._on_change = callback

    def on_own_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when something that this entry has in flight began or ended."""
        self._on_own_change = callback

    def place_online(
        self,
        upstreams: Sequence[Upstream],
        *,
        target_latency: Millis,
        returned: bool,
        excluded: frozenset[str] = frozenset(),
        far: Sequence[Upstream] = (),
    ) -> Placement | None:
        """Choose an upstream and count the request; cancels batch items that stand in its way.

        Args:
            upstreams: Candidates.
            target_latency: Within which the answer is on time.
            returned: Whether the caller was refused before.
            excluded: Identities of upstreams that this request has met already.
            far: Further candidates for when the first ones are full or suspects; their loads are
                known by heartbeats only.

        Returns:
            The placement, ``None`` when all upstreams are full for such a request.
        """

        def queue(upstream: Upstream) -> int:
            return queue_limit(
                slots=upstream.slots,
                mean_duration=self._duration(upstream.service).value,
                target_latency=target_latency,
                returned=returned,
            )

        now = self._clock.now()
        with self._lock:
            loads = self._loads(now)
            suspects = self._suspected(now, first_try=not excluded)
            chosen = None
            for candidates in (upstreams, far):
                if excluded:
                    candidates = [each for each in candidates if each.identity not in excluded]
                found = choose_upstream(
                    candidates,
                    loads,
                    failure_domain=self._failure_domain,
                    queue=queue,
                    suspects=suspects,
                )
                if found is not None and (chosen is None or found.identity not in suspects):
                    chosen = found
                if chosen is not None and chosen.identity not in suspects:
                    break
            if chosen is None:
                return None
            load = loads.get(chosen.identity, NO_LOAD)
            self._begin(chosen, now).online += 1
            self._fleet.add_own(chosen.identity, online=1)
            victims = self._victims(chosen, now, own_first=True)
        self._on_own_change()
        for run in victims:
            run.cancellation.cancel(GAVE_WAY_HERE)
        return Placement(upstream=chosen, started=now, load=load)

    def describe(self, upstreams: Sequence[Upstream]) -> str:
        """Return what decides about a refusal, for the log: loads, mean duration, hints' age."""
        now = self._clock.now()
        with self._lock:
            loads = self._loads(now)
            loads = {each.identity: loads.get(each.identity, NO_LOAD) for each in upstreams}
            suspects = self._suspected(now)
            ages = list(self._fleet.ages(now))
            mean = self._duration(upstreams[0].service).value if upstreams else 0.0
        shown = []
        for each in upstreams:
            load = loads[each.identity]
            mark = "!" if each.identity in suspects else ""
            shown.append(f"{each.instance}{mark}:{load.online}+{load.batch}/{each.slots}")
        oldest = max(ages, default=0.0)
        return f"loads={','.join(shown)} mean_ms={mean:.0f} hints_age_ms={oldest:.0f}"

    def end_online(self, placement: Placement, *, completed: bool) -> None:
        """Count the end of a request; a completed one tells how long such requests run."""
        upstream = placement.upstream
        with self._lock:
            own = self._own[upstream.identity]
            own.online -= 1
            self._fleet.add_own(upstream.identity, online=-1)
            self._drop_if_idle(own)
            if completed and placement.found_free:
                self._duration(upstream.service).add(self._clock.now() - placement.started)
        self._on_own_change()
        self._on_change()

    def place_batch(
        self, upstreams: Sequence[Upstream], *, urgency: BatchUrgency, due: float
    ) -> tuple[Upstream, BatchRun] | None:
        """Choose an upstream with room for a batch item and count it.

        Args:
            upstreams: Candidates.
            urgency: How the item stands; a more urgent one may take more room.
            due: When the item's job is due, by the wall clock.
        """
        now = self._clock.now()
        with self._lock:
            chosen = choose_batch_upstream(
                upstreams, self._loads(now), urgency=urgency, suspects=self._suspected(now)
            )
            if chosen is None:
                return None
            run = BatchRun(started=now, urgency=urgency, due=due)
            self._begin(chosen, now).runs.append(run)
            self._fleet.add_own(chosen.identity, batch=1)
        self._on_own_change()
        return chosen, run

    def room_for_batch(self, upstreams: Sequence[Upstream], *, urgency: BatchUrgency) -> int:
        """Return how many batch items of one urgency could start now."""
        now = self._clock.now()
        with self._lock:
            loads = self._loads(now)
            suspects = self._suspected(now)
            return room_for_batch(upstreams, loads, urgency=urgency, suspects=suspects)

    def end_batch(self, upstream: Upstream, run: BatchRun) -> None:
        """Count the end of a batch item's run."""
        with self._lock:
            own = self._own[upstream.identity]
            own.runs.remove(run)
            self._fleet.add_own(upstream.identity, batch=-1)
            self._drop_if_idle(own)
        self._on_own_change()
        self._on_change()

    def mean_duration(self, service: str) -> Millis:
        """Return how long requests of a service run that find a free slot."""
        with self._lock:
            return self._duration(service).value

    def suspect(self, upstream: Upstream) -> None:
        """Take a failure at an upstream: avoid it for a while, and tell the other entries."""
        with self._lock:
            self._suspects.note(upstream, self._clock.now())

    def heard(self, upstream: Upstream) -> None:
        """Note that an upstream has sent something."""
        own = self._own.get(upstream.identity)
        if own is not None:
            own.heard = self._clock.now()

    def heard_at(self, upstream: Upstream) -> Millis:
        """Return when an upstream has last sent something to this entry, 0 when it never has."""
        own = self._own.get(upstream.identity)
        return own.heard if own is not None else 0.0

    def take_hint(
        self,
        peer: str,
        loads: Mapping[str, Load],
        upstreams: Sequence[Upstream],
        failures: Mapping[str, int] | None,
        *,
        knows_starts: bool = True,
    ) -> None:
        """Take what another entry tells; cancels own batch items that stand in its requests' way.

        Args:
            peer: Its name.
            loads: What it has in flight, by the upstream's identity.
            upstreams: The upstreams known here.
            failures: Failures that it has seen since its start, likewise; ``None`` if it tells
                nothing of them.
            knows_starts: Whether it tells upstreams' starts; if not, both come by the bare id.
        """
        now = self._clock.now()
        victims: list[BatchRun] = []
        with self._lock:
            if not knows_starts:
                loads = self._of_current_starts(loads, upstreams)
            frees_room = self._fleet.take(peer, loads, now)
            if failures is not None:
                self._suspects.take(peer, failures, now)
            for identity in loads:
                own = self._own.get(identity)
                if own is not None and own.runs:
                    victims.extend(self._victims(own.upstream, now, own_first=False))
        for run in victims:
            run.cancellation.cancel(GAVE_WAY_TO_OTHERS)
        if frees_room:
            self._on_change()

    def restarted(self, upstream: Upstream) -> None:
        """Note that an upstream has started again, and has room."""
        with self._lock:
            self._suspects.restarted(upstream)
        self._on_change()

    def own_loads(self) -> dict[str, Load]:
        """Return what this entry has in flight, for its hints."""
        with self._lock:
            return {
                identity: Load(own.online, len(own.runs)) for identity, own in self._own.items()
            }

    def own_failures(self) -> dict[str, int]:
        """Return the failures that this entry has seen at each upstream, for its hints."""
        with self._lock:
            return self._suspects.own_failures()

    def forget(self, identities: set[str]) -> None:
        """Drop what is known of upstreams that are gone and have nothing in flight."""
        now = self._clock.now()
        with self._lock:
            self._fleet.expire(now)
            self._suspects.forget(identities, self._fleet.peers(), now)

    def _of_current_starts(
        self, loads: Mapping[str, Load], upstreams: Sequence[Upstream]
    ) -> dict[str, Load]:
        """Return by identity what an entry of the version before has in flight.

        Without it, entries of two versions would not see each other's requests and overfill
        upstreams for as long as both run. Of one that was seen to start again it cannot be told
        which start is meant, and nothing is taken. Failures without a start are never taken.
        """
        starts = {
            each.instance: each.started
            for each in upstreams
            if not self._suspects.has_restarted(each.instance)
        }
        return by_identity(loads, starts)

    def _duration(self, service: str) -> MeanDuration:
        return self._durations.setdefault(service, MeanDuration())

    def _begin(self, upstream: Upstream, now: Millis) -> OwnRequests:
        own = self._own.get(upstream.identity)
        if own is None:
            own = OwnRequests(upstream=upstream, heard=now)
            self._own[upstream.identity] = own
        return own

    def _drop_if_idle(self, own: OwnRequests) -> None:
        if not own.total:
            del self._own[own.upstream.identity]

    def _victims(self, upstream: Upstream, now: Millis, *, own_first: bool) -> list[BatchRun]:
        """Return the own batch runs that give way at an upstream.

        Args:
            upstream: Where.
            now: The clock's instant.
            own_first: Whether this entry has just placed the request that needs the place. Its own
                runs then go first, since nobody else knows of the request yet.
        """
        own = self._own.get(upstream.identity)
        if own is None or not own.runs:
            return []
        live = [run for run in own.runs if not run.cancellation.cancelled]
        load = self._loads(now).get(upstream.identity, NO_LOAD)
        excess = excess_of_batch(
            upstream, Load(load.online, load.batch - (len(own.runs) - len(live)))
        )
        count = min(excess, len(live))
        if count and not own_first:
            peers = self._fleet.at(upstream.identity)
            runs = {peer: theirs.batch for peer, theirs in peers.items()}
            runs[self._name] = len(live)
            count = share_of_excess(upstream, excess, runs, self._name)
        if not count:
            return []
        # What is late anyway gives way first, then what is due last. By the start alone an item
        # that has just resumed would be the next to go, again and again, and end its job late.
        return sorted(live, key=lambda run: (run.urgency, -run.due, -run.started))[:count]

    def _suspected(self, now: Millis, *, first_try: bool = True) -> frozenset[str]:
        suspects = self._suspects.current(now, first_try=first_try)
        for identity, own in self._own.items():
            if now - own.heard > QUIET_TIME:
                suspects.add(identity)
        return frozenset(suspects)

    def _loads(self, now: Millis) -> Mapping[str, Load]:
        """Return what all entries have in flight; valid while the lock is held."""
        self._fleet.expire(now)
        return self._fleet.totals
