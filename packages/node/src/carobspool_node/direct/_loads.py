"""Requests in flight at each upstream, and which upstream gets the next one.

The only shared state of forwarding. Choosing and counting happen under one lock, so that requests
which arrive together do not all see the same upstream free.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterator, Mapping, Sequence

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.direct import (
    BatchUrgency,
    FailureReports,
    Load,
    MeanDuration,
    Upstream,
    by_identity,
    choose_batch_upstream,
    choose_upstream,
    excess_of_batch,
    latest_starts,
    queue_limit,
    room_for_batch,
    share_of_excess,
)
from carobspool_node.direct._in_flight import BatchRun, OwnRequests, Placement

SUSPECT_TIME: Millis = 1_000.0
"""How long an upstream is avoided after it could not be reached. A crashed server is back after
some seconds or drops from the list after three heartbeats; one try a second finds out."""
QUIET_TIME: Millis = 600.0
"""An engine with running requests sends an event every 30 ms or so, and a plain service answers in
some 100 ms. One that has requests and says nothing for this long has probably stopped."""
PEER_TIME: Millis = 2_000.0
"""How long the last hint of another entry counts; its hints come several times a second."""


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
        self._peers: dict[str, tuple[Millis, Mapping[str, Load]]] = {}
        self._suspects: dict[str, Millis] = {}
        self._failures = FailureReports()
        self._restarts: dict[str, int] = {}
        self._avoided: set[str] = set()
        self._durations: dict[str, MeanDuration] = {}
        self._on_change: Callable[[], None] = lambda: None

    def on_room(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when a request, of this entry or of another, has left an upstream."""
        self._on_change = callback

    def place_online(
        self,
        upstreams: Sequence[Upstream],
        *,
        target_latency: Millis,
        returned: bool,
        excluded: frozenset[str] = frozenset(),
    ) -> Placement | None:
        """Choose an upstream and count the request; cancels batch items that stand in its way.

        Args:
            upstreams: Candidates.
            target_latency: Within which the answer is on time.
            returned: Whether the caller was refused before.
            excluded: Identities of upstreams that this request has met already.

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
            candidates = [each for each in upstreams if each.identity not in excluded]
            loads = self._loads(now)
            chosen = choose_upstream(
                candidates,
                loads,
                failure_domain=self._failure_domain,
                queue=queue,
                suspects=self._suspected(now),
            )
            if chosen is None:
                return None
            load = loads.get(chosen.identity, Load())
            self._begin(chosen.identity, now).online += 1
            victims = self._victims(chosen, now, own_first=True)
        for run in victims:
            run.cancellation.cancel()
        return Placement(upstream=chosen, started=now, load=load)

    def describe(self, upstreams: Sequence[Upstream]) -> str:
        """Return what decides about a refusal, for the log: loads, mean duration, hints' age."""
        now = self._clock.now()
        with self._lock:
            loads = self._loads(now)
            suspects = self._suspected(now)
            ages = [now - received for received, _ in self._peers.values()]
            mean = self._duration(upstreams[0].service).value if upstreams else 0.0
        shown = []
        for each in upstreams:
            load = loads.get(each.identity, Load())
            mark = "!" if each.identity in suspects else ""
            shown.append(f"{each.instance}{mark}:{load.online}+{load.batch}/{each.slots}")
        oldest = max(ages, default=0.0)
        return f"loads={','.join(shown)} mean_ms={mean:.0f} hints_age_ms={oldest:.0f}"

    def end_online(self, placement: Placement, *, completed: bool) -> None:
        """Count the end of a request; a completed one tells how long such requests run."""
        upstream = placement.upstream
        with self._lock:
            self._own[upstream.identity].online -= 1
            if completed and placement.found_free:
                self._duration(upstream.service).add(self._clock.now() - placement.started)
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
            self._begin(chosen.identity, now).runs.append(run)
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
            self._own[upstream.identity].runs.remove(run)
        self._on_change()

    def mean_duration(self, service: str) -> Millis:
        """Return how long requests of a service run that find a free slot."""
        with self._lock:
            return self._duration(service).value

    def suspect(self, upstream: Upstream) -> None:
        """Take a failure at an upstream: avoid it for a while, and tell the other entries."""
        now = self._clock.now()
        with self._lock:
            if upstream.started < self._restarts.get(upstream.instance, upstream.started):
                # Entries of the version before would hold it against the new start.
                return
            self._suspects[upstream.identity] = now + SUSPECT_TIME
            self._failures.note(upstream.identity, now)
            self._note_avoided(now)

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
        failures: Mapping[str, int],
        *,
        knows_starts: bool = True,
    ) -> None:
        """Take what another entry tells; cancels own batch items that stand in its requests' way.

        Args:
            peer: Its name.
            loads: What it has in flight, by the upstream's identity.
            upstreams: The upstreams known here.
            failures: Failures that it has seen since its start, likewise.
            knows_starts: Whether it tells upstreams' starts; if not, both come by the bare id.
        """
        now = self._clock.now()
        victims: list[BatchRun] = []
        with self._lock:
            if not knows_starts:
                loads = self._of_current_starts(loads, upstreams)
            _, before = self._peers.get(peer, (now, loads))
            makes_room = any(
                load.total > loads.get(identity, Load()).total for identity, load in before.items()
            )
            self._peers[peer] = (now, loads)
            self._failures.take(peer, failures, now)
            self._note_avoided(now)
            for upstream in upstreams:
                if upstream.identity in loads:
                    victims.extend(self._victims(upstream, now, own_first=False))
        for run in victims:
            run.cancellation.cancel()
        if makes_room:
            self._on_change()

    def restarted(self, upstream: Upstream) -> None:
        """Note that an upstream has started again, and has room."""
        with self._lock:
            self._restarts[upstream.instance] = upstream.started
        self._on_change()

    def own_loads(self) -> dict[str, Load]:
        """Return what this entry has in flight, for its hints."""
        with self._lock:
            return {
                identity: Load(own.online, len(own.runs))
                for identity, own in self._own.items()
                if own.total
            }

    def own_failures(self) -> dict[str, int]:
        """Return the failures that this entry has seen at each upstream, for its hints."""
        with self._lock:
            return self._failures.own()

    def forget(self, identities: set[str]) -> None:
        """Drop what is known of upstreams that are gone and have nothing in flight."""
        now = self._clock.now()
        with self._lock:
            for identity in set(self._own) - identities:
                if not self._own[identity].total:
                    del self._own[identity]
            self._suspects = {key: at for key, at in self._suspects.items() if at > now}
            self._peers = {
                key: each for key, each in self._peers.items() if now - each[0] < PEER_TIME
            }
            known = latest_starts(identities)
            self._restarts = {key: at for key, at in self._restarts.items() if key in known}
            self._failures.keep_only(identities, set(self._peers))
            self._note_avoided(now)

    def _of_current_starts(
        self, loads: Mapping[str, Load], upstreams: Sequence[Upstream]
    ) -> dict[str, Load]:
        """Return by identity what an entry of the version before has in flight.

        Without it, entries of two versions would not see each other's requests and overfill
        upstreams for as long as both run. Of one that was seen to start again it cannot be told
        which start is meant, and nothing is taken. Failures without a start are never taken.
        """
        starts = {
            each.instance: each.started for each in upstreams if each.instance not in self._restarts
        }
        return by_identity(loads, starts)

    def _duration(self, service: str) -> MeanDuration:
        return self._durations.setdefault(service, MeanDuration())

    def _begin(self, identity: str, now: Millis) -> OwnRequests:
        own = self._own.setdefault(identity, OwnRequests())
        if not own.total:
            own.heard = now
        return own

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
        load = self._load(upstream.identity, now)
        excess = excess_of_batch(
            upstream, Load(load.online, load.batch - (len(own.runs) - len(live)))
        )
        count = min(excess, len(live))
        if count and not own_first:
            peers = self._peer_loads(upstream.identity, now)
            runs = {peer: theirs.batch for peer, theirs in peers}
            runs[self._name] = len(live)
            count = share_of_excess(upstream, excess, runs, self._name)
        if not count:
            return []
        # What is late anyway gives way first, then what is due last. By the start alone an item
        # that has just resumed would be the next to go, again and again, and end its job late.
        return sorted(live, key=lambda run: (run.urgency, -run.due, -run.started))[:count]

    def _peer_loads(self, identity: str, now: Millis) -> Iterator[tuple[str, Load]]:
        """Yield what each peer has in flight at an upstream, by hints that still count."""
        for peer, (received, loads) in self._peers.items():
            if now - received <= PEER_TIME and identity in loads:
                yield peer, loads[identity]

    def _note_avoided(self, now: Millis) -> None:
        failing = self._failures.failing(now)
        for identity in failing - self._avoided:
            logging.info("event=upstream_avoided upstream=%s reason='failures of late'", identity)
        for identity in self._avoided - failing:
            logging.info("event=upstream_used_again upstream=%s", identity)
        self._avoided = failing

    def _suspected(self, now: Millis) -> frozenset[str]:
        suspects = self._failures.failing(now)
        suspects.update(identity for identity, until in self._suspects.items() if now < until)
        for identity, own in self._own.items():
            if own.total and now - own.heard > QUIET_TIME:
                suspects.add(identity)
        return frozenset(suspects)

    def _loads(self, now: Millis) -> dict[str, Load]:
        identities = set(self._own)
        for _, loads in self._peers.values():
            identities.update(loads)
        return {identity: self._load(identity, now) for identity in identities}

    def _load(self, identity: str, now: Millis) -> Load:
        own = self._own.get(identity)
        online = own.online if own else 0
        batch = len(own.runs) if own else 0
        for _, theirs in self._peer_loads(identity, now):
            online += theirs.online
            batch += theirs.batch
        return Load(online, batch)
