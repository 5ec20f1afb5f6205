"""How long a new request would wait, and when a refused caller may return.

Load pattern: more requests arrive than can be served in time. A request that would be late is
refused while its caller can still use the time. Callers that were refused together would return
together, so each entry gives them one return time after the other, at its share of the rate at
which slots become free.
"""

from __future__ import annotations

import math

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.online_queue._entry_queue import STARTS_PER_TURN, EntryQueue
from carobspool_core.online_queue._fleet_waiting import FleetWaiting

MIN_RETRY_AFTER: Millis = 300.0
"""Shortest Retry-After: an earlier return would meet the same queue."""
MAX_TIME_SHARE = 3.0
"""Callers wait at most a third of their remaining time before a retry."""
SPREAD = 0.2
"""Fraction of the longest Retry-After over which callers are spread that would have to wait longer
than that."""
FIRST_EVENT_SHARE = 0.5
"""Largest fraction of the target latency that the time to the first event may take up. If upstreams
are slower than that, requests would never count as on time, although some are."""
INITIAL_FIRST_EVENT: Millis = 50.0
"""Time to the first event of a prompt of 450 tokens, until it is measured."""
INITIAL_RUN: Millis = 400.0
"""Time that a request occupies a slot, until it is measured."""
RATE_TIME: Millis = 1_000.0
"""Time over which arrivals are averaged; bursts and pauses last two to three seconds."""
SMOOTHING = 0.05
"""Weight of a new sample; the means cover about the last forty requests."""


class RunTimes(Struct):
    """Moving means of the times that requests of a service take at an upstream.

    Attributes:
        first_event: Time to the first event of a stream, or to the answer.
        run: Time to the end.
        first_events: Number of samples of the first event.
        runs: Number of samples of the end.
    """

    first_event: Millis = INITIAL_FIRST_EVENT
    run: Millis = INITIAL_RUN
    first_events: int = 0
    runs: int = 0

    def add_first_event(self, duration: Millis) -> None:
        """Add the time to the first event of one request."""
        self.first_events += 1
        self.first_event += (duration - self.first_event) * _weight(self.first_events)

    def add_run(self, duration: Millis) -> None:
        """Add the time that one request took."""
        self.runs += 1
        self.run += (duration - self.run) * _weight(self.runs)

    def on_time_until(self, arrived: Millis, target_latency: Millis) -> Millis:
        """Return the latest start with which a request is on time."""
        reserved = min(self.first_event, target_latency * FIRST_EVENT_SHARE)
        return arrived + target_latency - reserved

    def free_rate(self, slots: int) -> float:
        """Return how many of a number of slots become free in a millisecond under full load."""
        return slots / max(1.0, self.run)


class ArrivalRates:
    """Recent arrivals at this entry by rank. Not thread-safe; callers pass in the time."""

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        self._rates: dict[int, tuple[float, Millis]] = {}

    def add(self, rank: int, now: Millis) -> None:
        """Count an arrival."""
        self._rates[rank] = (self.rate(rank, now) + 1.0 / RATE_TIME, now)

    def rate(self, rank: int, now: Millis) -> float:
        """Return the arrivals of a rank in a millisecond."""
        rate, at = self._rates.get(rank, (0.0, now))
        return rate * math.exp((at - now) / RATE_TIME)

    def rate_before(self, rank: int, now: Millis) -> float:
        """Return the arrivals of all more urgent ranks in a millisecond."""
        return sum(self.rate(each, now) for each in self._rates if each < rank)


def _weight(samples: int) -> float:
    """Return the weight of a sample; the first ones replace the initial value."""
    return max(SMOOTHING, 1.0 / samples)


def predicted_wait(
    queue: EntryQueue,
    peers: FleetWaiting,
    *,
    rank: int,
    organisation: str,
    is_retry: bool,
    free_rate: float,
) -> Millis:
    """Return how long a new request would wait for a slot when none is free.

    All requests of more urgent ranks go first, here and at the peers. Of the requests of its own
    rank at the peers, the same fraction goes first as of those at this entry.

    Args:
        queue: The requests that wait here.
        peers: The requests that wait at the peers.
        rank: Rank of the request.
        organisation: Name of the organisation that sent it.
        is_retry: Whether the caller has returned after a refusal.
        free_rate: Slots that become free in a millisecond.
    """
    if free_rate <= 0.0:
        return float("inf")
    waiting = (rank, 0)
    counts = queue.counts()
    own, total = queue.requests_ahead(rank, organisation, is_retry=is_retry)
    fraction = min(1.0, (own + 1.0) / (total + 1.0))
    ahead = own + peers.equal(waiting) * fraction + peers.ahead(waiting)
    ahead += sum(count for key, count in counts.items() if key < waiting)
    if peers.has_less_urgent(waiting) or any(key[0] > rank for key in counts):
        ahead *= STARTS_PER_TURN / (STARTS_PER_TURN - 1.0)
    return (ahead + 1.0) / free_rate


def rate_left(free_rate: float, urgent_rate: float) -> float:
    """Return the slots that become free for a rank in a millisecond.

    Requests of more urgent ranks that arrive during the wait take their slots first. Without them
    the prediction was too short for all ranks but the first, whose requests then waited and were
    late in place of a refusal that leaves time for a retry.

    Args:
        free_rate: Slots that become free in a millisecond.
        urgent_rate: Arrivals of more urgent ranks at all entries in a millisecond.
    """
    return max(free_rate - urgent_rate, free_rate / STARTS_PER_TURN)


class ReturnTimes:
    """Return times given to refused callers. Not thread-safe; callers pass in the time."""

    __slots__ = ("_last",)

    def __init__(self) -> None:
        self._last: Millis = float("-inf")

    def next_after(
        self, earliest: Millis, spacing: Millis, *, now: Millis, limit: Millis
    ) -> Millis:
        """Return the delay after which the next refused caller may return.

        Args:
            earliest: Delay after which a caller could be served if none had been refused before.
            spacing: Time between two callers.
            now: Current time.
            limit: Longest delay that the caller accepts; the time of a caller who gets this limit
                is not counted for the next ones.
        """
        at = max(now + earliest, self._last + spacing)
        if at - now > limit:
            return limit
        self._last = at
        return at - now


def retry_after(
    returns: ReturnTimes,
    *,
    wait: Millis,
    spacing: Millis,
    time_left: Millis,
    now: Millis,
    drawn: float,
) -> Millis:
    """Return the Retry-After of a caller that is refused because of the requests that wait.

    Args:
        returns: Return times of the callers that this entry has refused before.
        wait: Predicted time until the requests that wait now have started.
        spacing: Time in which one slot becomes free for the callers of this entry.
        time_left: Remaining time of the caller.
        now: Current time.
        drawn: Random number from 0 to 1 that spreads the callers.
    """
    longest = max(MIN_RETRY_AFTER, time_left / MAX_TIME_SHARE)
    delay = returns.next_after(max(MIN_RETRY_AFTER, wait), spacing, now=now, limit=longest)
    if delay >= longest:
        return max(MIN_RETRY_AFTER, longest * (1.0 - SPREAD * drawn))
    return delay
