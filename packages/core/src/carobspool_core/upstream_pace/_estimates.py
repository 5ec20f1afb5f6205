"""Everything that one entry estimates about upstreams, and what follows for one request.

Load pattern: upstreams of one service differ in speed by a factor of two, some become slow for a
while, and prompts take from 5 to 340 ms to read unless the upstream has kept their parts.

The expected time to a first event is the wait for a slot by the upstream's own pace, the reading of
the prompt there, and a share of the time in which a slot becomes free, for requests that other
entries have placed during the age of their reports.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from msgspec import Struct, field

from carobspool_core._clock import Millis
from carobspool_core.direct import NO_LOAD, Load, Upstream
from carobspool_core.upstream_pace._demand import PromptDemand
from carobspool_core.upstream_pace._first_event import FirstEventTimes
from carobspool_core.upstream_pace._memory import EngineMemory, Forecast
from carobspool_core.upstream_pace._paces import Paces
from carobspool_core.upstream_pace._prompt_parts import PromptParts

MIN_SHARED_TOKENS = 1_000
"""Shorter shared parts are read in 20 ms, less than a request waits for a slot."""
PREEMPTION_TIME: Millis = 20.0
"""Time in which a batch item leaves its slot: a round trip and one engine step."""
LOW_SHARE_WEIGHT = 0.3
HIGH_SHARE_WEIGHT = 1.0
"""Parts of a slot's time that a full upstream costs. The first grows with the share of slots in use
and spreads load; the second with its fourth power, since other entries may have taken the last free
slots during the age of their reports."""
BATCH_WEIGHT = 0.2
"""Batch items are preempted, so they count less than online requests, as in the choice by slots."""


class Wanted(Struct, kw_only=True):
    """A request to be placed, and what is known about the service.

    Attributes:
        demand: Tokens and parts of the prompt, ``None`` if not stated.
        mean_duration: Mean duration of requests of the service.
        queue_limit_of: Returns how many online requests may wait at an upstream beyond its slots.
        suspects: Identities of upstreams that seem to have stopped.
        capacity: Tokens that an engine of the service holds, ``None`` if not declared.
        prefixes: Keys and tokens of the shared prefixes that count.
        kept: Prompt tokens that upstreams have probably kept, by identity.
    """

    demand: PromptDemand | None
    mean_duration: Millis
    queue_limit_of: Callable[[Upstream], int] = lambda _: 0
    suspects: frozenset[str] = frozenset()
    capacity: int | None = None
    prefixes: Sequence[tuple[int, int]] = ()
    kept: Mapping[str, float] = field(default_factory=dict)


class UpstreamEstimates:
    """The estimates of one entry. Not thread-safe."""

    def __init__(self) -> None:
        self.paces = Paces()
        self.times = FirstEventTimes()
        self.parts = PromptParts()
        self.memory = EngineMemory()

    def add_parts(self, wanted: Wanted, upstreams: Sequence[Upstream], now: Millis) -> None:
        """Add to a request its shared prefixes and where they are kept, if they are long enough."""
        if wanted.prefixes or not upstreams or wanted.demand is None:
            return
        if wanted.demand.shared_tokens < MIN_SHARED_TOKENS:
            return
        wanted.prefixes = wanted.demand.prefixes()
        wanted.kept = self.parts.kept_tokens(
            wanted.prefixes, upstreams, capacity=wanted.capacity, now=now
        )

    def expected(self, upstream: Upstream, load: Load, wanted: Wanted) -> Millis:
        """Return the expected time to the first event."""
        identity = upstream.identity
        pace = self.paces.relative.get(identity, 1.0)
        slots = upstream.slots
        online, batch = load
        slot_time = wanted.mean_duration * pace / slots
        share = (online + batch * BATCH_WEIGHT) / slots
        if online >= slots:
            time = (LOW_SHARE_WEIGHT + HIGH_SHARE_WEIGHT + online - slots + 1) * slot_time
        else:
            square = share * share
            time = (LOW_SHARE_WEIGHT * share + HIGH_SHARE_WEIGHT * square * square) * slot_time
            if online + batch >= slots:
                time += PREEMPTION_TIME
        unread = 0.0
        if wanted.demand is not None:
            unread = wanted.demand.prompt_tokens - wanted.kept.get(identity, 0.0)
            unread += self.memory.unread.get(identity, 0.0)
        return time + self.times.expected(identity, upstream.service, pace, unread)

    def unread(self, upstream: Upstream, wanted: Wanted) -> float:
        """Return the prompt tokens that an upstream probably has to read."""
        if wanted.demand is None:
            return 0.0
        return wanted.demand.prompt_tokens - wanted.kept.get(upstream.identity, 0.0)

    def fits(self, upstream: Upstream, loads: Mapping[str, Load], wanted: Wanted) -> bool:
        """Whether a request's tokens fit into an upstream's memory beside what runs there."""
        if wanted.capacity is None or wanted.demand is None:
            return True
        load = loads.get(upstream.identity, NO_LOAD)
        if not load.total:
            return True
        used = self.memory.used(upstream.identity, upstream.service, load)
        return used + wanted.demand.total_tokens <= wanted.capacity

    def place(
        self, upstream: Upstream, load: Load, wanted: Wanted, *, entries: int, now: Millis
    ) -> Forecast:
        """Record that a request was placed; return what is expected of it.

        Args:
            upstream: The chosen upstream.
            load: Requests in flight there before.
            wanted: The request, with its parts if they count.
            entries: Number of entries that use the upstream.
            now: Current time.
        """
        unread = self.unread(upstream, wanted)
        demand = wanted.demand
        forecast = Forecast(
            identity=upstream.identity,
            service=upstream.service,
            started=now,
            expected=self.expected(upstream, load, wanted),
            unread=unread,
            tokens=0.0 if demand is None else unread + demand.max_output_tokens,
            has_free_slot=load.total < upstream.slots,
            relative_pace=self.paces.relative.get(upstream.identity, 1.0),
            prefixes=tuple(wanted.prefixes),
        )
        self.memory.begin(forecast)
        if demand is not None:
            self.parts.record(
                wanted.prefixes, upstream.identity, unread=unread, entries=entries, now=now
            )
        return forecast

    def record_first_event(self, forecast: Forecast, now: Millis) -> Millis:
        """Add the first event of a request; return the error of its expected time."""
        self.memory.prompt_read(forecast)
        time = now - forecast.started
        if forecast.has_free_slot:
            self.times.add_sample(
                forecast.identity,
                forecast.service,
                tokens=forecast.unread,
                time=time,
                relative_pace=forecast.relative_pace,
                now=now,
            )
        return abs(time - forecast.expected)

    def end(self, forecast: Forecast, *, has_read: bool) -> None:
        """Count the end of a request.

        Without a first event its prompt was probably not read, unless ``has_read`` says so.
        """
        if not self.memory.end(forecast) and not has_read:
            self.parts.forget(forecast.prefixes, forecast.identity)

    def retain_only(self, identities: set[str], now: Millis) -> int:
        """Drop upstreams that are gone, earlier starts included; return the number with a pace."""
        self.times.retain_only(identities, now)
        self.parts.retain_only(identities)
        return self.paces.retain_only(identities)


def counts_parts(demand: PromptDemand | None) -> bool:
    """Whether a prompt's shared parts are long enough to count in the choice."""
    return demand is not None and demand.shared_tokens >= MIN_SHARED_TOKENS
