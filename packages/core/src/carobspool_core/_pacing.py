"""How many batch streams run, and when a batch prompt starts, while online requests are present.

Load pattern: online bursts over a standing backlog of batch work. A decoding batch stream slows an
online token by a fraction of a millisecond; a batch prompt in prefill stalls every online stream
for a hundred. Without pacing, between-token times grow fourfold and first tokens by half.

- **Prompt starts are paid from an error budget.** The limit is a 95th percentile, so 5% of the
  online gaps between tokens may be longer than it. Each gap earns a twentieth of a unit, each that
  is longer costs one. A batch prompt starts when the budget covers the online streams that it would
  stall: where it hurts fewest, in the tail of a burst, and never by the clock.
- **Width follows from the costs of a step.** While online requests keep arriving, decoding batch
  streams may add to a first token no more than the limit allows, and down to half of that when more
  first tokens were late than may be. In the tail of a burst, where streams still decode but nobody
  waits for a first token, batch takes every free slot again.
"""

from __future__ import annotations

from carobspool_core._clock import Millis
from carobspool_core._config import OnlineSlowdown
from carobspool_core._harm import QUANTILE, HarmMeter
from carobspool_core._messages import RequestId
from carobspool_core._replay import Replay
from carobspool_core._stepmodel import Step, StepModel
from carobspool_core._streams import Streams

_EARNED = 1.0 - QUANTILE - 0.003
"""Earned by each online gap: the share that may be long, less a little for what is not foreseen."""

_RESERVE = 4.0
"""The budget must hold the price of a start so many times over. Then the early tail of a burst,
when many streams decode, is passed over, and the budget buys more starts a second or two later."""

_MOST_EARNED = 60.0
"""Bound of the budget. It allows about a dozen prompts over a tail of few streams; more would let a
long calm pay for a stretch of stalls that a caller notices."""

_MOST_LATE = 5.0
"""Bound of the budget of first tokens, in late ones, either way: what a few hundred first tokens
earn at a loose limit. An overdraft beyond it would stop batch prompts long after its cause."""

_UNLEARNT_INTERVAL: Millis = 500.0
"""Time between batch prompts while the cost of a step is unknown, as at the start or before an
upstream that reports no tokens. Without any start batch would starve there; more often, prompts
would stall the online streams all the time."""

_STEPS_TO_FIRST_TOKEN = 2.0
"""Steps that slow a first token: the one under way at its arrival, and its own."""

_LEAST_SHARE = 0.125
"""Batch streams never fall below an eighth of the slots for first tokens' sake: the harm of so few
is below what can be measured, and batch would starve."""

_ARRIVAL_GAPS = 3.0
"""Mean gaps between arrivals after which a burst counts as over: e^-3, one chance in twenty."""

_LONGEST_GAP: Millis = 2_000.0
"""A longer gap separates bursts and does not count into their mean gap."""


class Pacer:
    """Controls batch work beside online requests."""

    def __init__(self, slots: int, slowdown: OnlineSlowdown, allowance: Millis) -> None:
        self._slots = slots
        self._slowdown = slowdown
        self._allowance = allowance
        self._steps = StepModel()
        self._harm = HarmMeter(slowdown.first_token)
        self._replay = Replay(slots)
        self._budget = 0.0
        self._first_budget = 0.0
        self._unlearnt_until: Millis = 0.0
        self._arrival = -1e12
        self._gap: Millis = 500.0

    @property
    def steps(self) -> StepModel:
        """What a step costs."""
        return self._steps

    @property
    def harm(self) -> HarmMeter:
        """What the harm is."""
        return self._harm

    def arrived(self, now: Millis) -> None:
        """Note the arrival of an online request."""
        gap = now - self._arrival
        self._arrival = now
        if gap < _LONGEST_GAP:
            self._gap += 0.1 * (gap - self._gap)

    def started(self, id: RequestId, prompt_tokens: int, offered: Millis) -> None:
        """Note that an online request, which arrived at ``offered``, was sent to the upstream."""
        self._replay.arrived(id, prompt_tokens, offered)
        self._harm.offered(id, offered)

    def ended(self, id: RequestId, tokens: int) -> None:
        """Note the end of an online request that received so many tokens."""
        self._harm.gone(id)
        self._replay.ended(id, tokens)

    def step(self, step: Step) -> None:
        """Note a step of the upstream."""
        self._harm.step(step)
        if self._steps.is_ready:
            for replayed in self._replay.advance(step.ended, self._steps.costs):
                self._harm.replayed(replayed)
        limit = self._limit()
        if limit is not None:
            earned = _EARNED - float(step.length > limit)
            budget = self._budget + earned * step.online_tokens
            self._budget = max(-_MOST_EARNED, min(_MOST_EARNED, budget))
        first = self._first_budget - self._harm.take_excess()
        self._first_budget = max(-_MOST_LATE, min(_MOST_LATE, first))

    def in_burst(self, now: Millis) -> bool:
        """Tell whether further online requests are likely to arrive at any moment."""
        return now < self.burst_end()

    def burst_end(self) -> Millis:
        """Return when the present burst counts as over if nothing arrives."""
        return self._arrival + _ARRIVAL_GAPS * self._gap

    def width(self, now: Millis) -> int:
        """Return how many batch streams may run beside online requests."""
        if not self.in_burst(now):
            return self._slots
        baseline = self._harm.first_baseline()
        stream = self._steps.costs.stream
        least = round(_LEAST_SHARE * self._slots)
        if baseline is None or stream <= 0.0:
            return least
        allowed = (self._slowdown.first_token - 1.0) * baseline
        allowed *= 1.0 + min(0.0, self._first_budget) / (2.0 * _MOST_LATE)
        return max(least, min(self._slots, int(allowed / (_STEPS_TO_FIRST_TOKEN * stream))))

    def may_start(self, streams: Streams, now: Millis) -> bool:
        """Tell whether a batch prompt may start beside online requests."""
        if not self._steps.is_ready:
            return now >= self._unlearnt_until
        if streams.batch_prefill or streams.online_prefill:
            return False
        return self._budget >= _RESERVE * max(1, streams.online)

    def prompt_started(self, now: Millis) -> None:
        """Note that a batch prompt was started."""
        if not self._steps.is_ready:
            self._unlearnt_until = now + _UNLEARNT_INTERVAL

    def wake_at(self) -> list[Millis]:
        """Return the instants at which batch may start without any event."""
        return [self.burst_end(), self._unlearnt_until]

    def _limit(self) -> Millis | None:
        baseline = self._harm.between_baseline()
        if baseline is None:
            return None
        return max(self._allowance, self._slowdown.between_tokens * baseline)
