"""The estimates of one entry: thread-safe access, samples, exchange with peers, logs."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping, Sequence

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.direct import NO_LOAD, BatchUrgency, Load, Upstream, short_key_of
from carobspool_core.upstream_pace import (
    FirstEventChoice,
    Forecast,
    PromptDemand,
    UpstreamEstimates,
    Wanted,
    choose_batch,
)
from carobspool_node.upstream_pace._demand_headers import DemandHeaderNames, demand_of
from carobspool_node.upstream_pace._event_pauses import EventPauses
from carobspool_node.upstream_pace._packing import pack_paces, unpack_paces

LOGGED_SHARE = 50
"""One choice in 50 is logged: some two lines a second at the busiest entry."""
MAX_LOGGED_CANDIDATES = 8
KEYS_CACHE_TIME: Millis = 1_000.0
"""An upstream that has just been registered has no estimates worth more than this delay."""


class UpstreamPaces:
    """Pace, reading time and kept prompt parts of upstreams. Thread-safe.

    Args:
        clock: The process's clock.
        failure_domain: Failure domain of the entry.
        names: Header names of the deployment.
        listed: Returns all registered upstreams.
        capacity_of: Returns the tokens that an engine of a service holds, ``None`` if not declared.
        on_error: Called with the error of each expected time to a first event.
    """

    def __init__(
        self,
        clock: Clock,
        failure_domain: str,
        names: DemandHeaderNames,
        *,
        listed: Callable[[], Sequence[Upstream]] = tuple,
        capacity_of: Callable[[str], int | None] = lambda service: None,
        on_error: Callable[[Millis], None] = lambda error: None,
    ) -> None:
        self._clock = clock
        self._names = names
        self._listed = listed
        self._capacity_of = capacity_of
        self._on_error = on_error
        self._lock = threading.Lock()
        self._estimates = UpstreamEstimates()
        self._choice = FirstEventChoice(failure_domain, self._estimates)
        self._choices = 0
        self._last_wanted: Wanted | None = None
        self._by_key: Mapping[int, Upstream] = {}
        self._keys_valid_until: Millis = 0.0

    def pace_of(self, upstream: Upstream) -> float:
        """Return the pace by the service's mean, above 1 if slow; 1 while paces are uniform."""
        paces = self._estimates.paces
        if paces.is_uniform(upstream.service):
            return 1.0
        return paces.relative.get(upstream.identity, 1.0)

    def demand_of(self, header: Callable[[bytes], bytes | None]) -> PromptDemand | None:
        """Return the demand that headers state, ``None`` if they state no valid one."""
        return demand_of(header, self._names)

    def exceeds_memory(self, service: str, demand: PromptDemand | None) -> bool:
        """Whether a request is larger than the memory of any engine of a service."""
        capacity = self._capacity_of(service)
        return capacity is not None and demand is not None and demand.total_tokens > capacity

    def choose_online(
        self,
        upstreams: Sequence[Upstream],
        *,
        loads: Mapping[str, Load],
        demand: PromptDemand | None,
        mean_duration: Millis,
        queue_limit_of: Callable[[Upstream], int],
        suspects: frozenset[str],
        needs_room: bool = False,
    ) -> Upstream | None:
        """Return the upstream for an online request, ``None`` if all queues are full.

        With ``needs_room``, ``None`` also if the request fits into no upstream's memory.
        """
        if not upstreams:
            return None
        wanted = Wanted(
            demand=demand,
            mean_duration=mean_duration,
            queue_limit_of=queue_limit_of,
            suspects=suspects,
            capacity=self._capacity_of(upstreams[0].service),
        )
        now = self._clock.now()
        with self._lock:
            chosen = self._choice.choose(upstreams, loads, wanted, now=now)
            self._last_wanted = wanted
            if needs_room and chosen and not self._estimates.fits(chosen, loads, wanted):
                return None
            self._choices += 1
            if chosen is not None and self._choices % LOGGED_SHARE == 0:
                self._log_choice(chosen, loads, wanted)
        return chosen

    def choose_batch(
        self,
        upstreams: Sequence[Upstream],
        *,
        loads: Mapping[str, Load],
        demand: PromptDemand | None,
        mean_duration: Millis,
        urgency: BatchUrgency,
        suspects: frozenset[str],
        needs_room: bool = False,
    ) -> Upstream | None:
        """Return the upstream for a batch item, ``None`` if none has a slot for it."""
        if not upstreams:
            return None
        wanted = Wanted(
            demand=demand,
            mean_duration=mean_duration,
            suspects=suspects,
            capacity=self._capacity_of(upstreams[0].service),
        )
        with self._lock:
            self._last_wanted = wanted
            return choose_batch(
                self._estimates,
                upstreams,
                loads,
                wanted,
                urgency=urgency,
                needs_room=needs_room,
                now=self._clock.now(),
            )

    def place(
        self,
        chosen: Upstream,
        upstreams: Sequence[Upstream],
        load: Load,
        *,
        demand: PromptDemand | None,
        mean_duration: Millis,
        entries: int,
    ) -> Forecast:
        """Record that a request was placed; return what is expected of it."""
        now = self._clock.now()
        with self._lock:
            wanted = self._last_wanted
            if wanted is None or wanted.demand is not demand:
                capacity = self._capacity_of(chosen.service)
                wanted = Wanted(demand=demand, mean_duration=mean_duration, capacity=capacity)
            self._last_wanted = None
            self._estimates.add_parts(wanted, upstreams, now)
            return self._estimates.place(chosen, load, wanted, entries=entries, now=now)

    def end(self, forecast: Forecast, *, has_read: bool) -> None:
        """Count the end of a request.

        Args:
            forecast: What was expected of the request.
            has_read: Whether the upstream has probably read the prompt.
        """
        with self._lock:
            self._estimates.end(forecast, has_read=has_read)

    def follow_events(
        self, upstream: Upstream, forecast: Forecast | None, *, is_resumed: bool
    ) -> EventPauses:
        """Return the recorder for the events of one call.

        Args:
            upstream: The upstream that is called.
            forecast: What was expected of the call.
            is_resumed: Whether a stream continues, whose text so far has to be read as well. The
                time to its first event is no sample.
        """

        def on_first() -> None:
            if forecast is None:
                return
            with self._lock:
                if is_resumed:
                    self._estimates.memory.prompt_read(forecast)
                    return
                error = self._estimates.record_first_event(forecast, self._clock.now())
            self._on_error(error)

        def on_pause(pause: Millis) -> None:
            with self._lock:
                self._estimates.paces.add_sample(
                    upstream.identity, upstream.service, pause, self._clock.now()
                )

        return EventPauses(self._clock, on_first, on_pause)

    def packed(self) -> bytes:
        """Return the estimates of this entry's own samples, for an announcement."""
        with self._lock:
            return pack_paces(self._estimates.paces.own_estimates(self._clock.now()))

    def apply_peer(self, packed: bytes) -> None:
        """Add the estimates of a peer's announcement; unknown upstreams are ignored."""
        if not packed:
            return
        now = self._clock.now()
        by_key = self._upstreams_by_key(now)
        with self._lock:
            for key, pause, samples in unpack_paces(packed):
                known = by_key.get(key)
                if known is not None:
                    self._estimates.paces.merge(known.identity, known.service, pause, samples, now)

    def retain_only(self, identities: set[str]) -> int:
        """Drop upstreams that are gone; return the number of upstreams with an estimate."""
        with self._lock:
            return self._estimates.retain_only(identities, self._clock.now())

    def _upstreams_by_key(self, now: Millis) -> Mapping[int, Upstream]:
        if now >= self._keys_valid_until:
            self._keys_valid_until = now + KEYS_CACHE_TIME
            self._by_key = {short_key_of(each.identity): each for each in self._listed()}
        return self._by_key

    def _log_choice(self, chosen: Upstream, loads: Mapping[str, Load], wanted: Wanted) -> None:
        shown = []
        for each in list(self._choice.candidates or (chosen,))[:MAX_LOGGED_CANDIDATES]:
            load = loads.get(each.identity, NO_LOAD)
            pace = self._estimates.paces.relative.get(each.identity, 1.0)
            unread = self._estimates.unread(each, wanted)
            time = self._estimates.expected(each, load, wanted)
            shown.append(
                f"{each.instance}:{load.total}/{each.slots}:{pace:.2f}:{unread:.0f}:{time:.0f}"
            )
        logging.info(
            "event=placed upstream=%s reason=%s candidates=%s",
            chosen.instance,
            self._choice.reason,
            ",".join(shown),
        )
