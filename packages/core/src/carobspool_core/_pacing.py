"""How many batch streams run, and when a batch prompt starts, while online requests are present.

Load pattern: online bursts over a standing backlog of batch work. A decoding batch stream slows an
online token by a fraction of a millisecond; a batch prompt in prefill stalls every online stream
for a hundred. Without pacing, between-token times grow fourfold and first tokens by half.

Two quantities are controlled, each by the measure that it moves:

- **Prompt starts by an error budget.** The limit is a 95th percentile, so of the online gaps
  between tokens 5% may be longer than the limit. Each gap earns a twentieth of a unit, each that is
  longer costs one. A batch prompt starts when the budget covers the online streams that it would
  stall. So prompts start where they hurt fewest, in the tail of a burst, and never by the clock.
- **Restraint by the first-token ratio**, between 0 and 1, moved slowly towards the limit. It
  narrows the batch streams while online requests keep arriving, and limits the share of time that
  batch prompts take while none is present, since the first request of a burst waits for the prompt
  that is under way.
"""

from __future__ import annotations

from carobspool_core._clock import Millis
from carobspool_core._config import OnlineSlowdown
from carobspool_core._harm import QUANTILE, HarmMeter
from carobspool_core._stepmodel import Step, StepModel
from carobspool_core._streams import Streams

_EARNED = 1.0 - QUANTILE - 0.005
"""Earned by each online gap: the share that may be long, less a tenth for what is not foreseen."""

_MOST_EARNED = 60.0
"""Bound of the budget. It allows about a dozen prompts over a tail of few streams; more would let a
long calm pay for a stretch of stalls that a caller notices."""

_FIRST_TOKENS_A_MOVE = 8
"""First tokens between two moves of the restraint; a few seconds of traffic."""

_GAIN = 0.04
"""Move of the restraint when the excess is as large as the allowed harm. The ratio remembers 256
first tokens, 32 moves, so a full swing takes about as long as the ratio's memory and is not
overshot."""

_START_RESTRAINT = 0.5
"""Restraint before anything was measured: halfway, as either error costs someone."""

_LEAST_SHARE = 0.125
"""Batch streams never fall below an eighth of the slots for first tokens' sake: below that the
harm of decoding streams is less than the noise of its measurement, and batch would starve."""

_QUIET_DUTY = 0.35
"""Least share of the time that batch prompts may take while no online request is present."""

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
        self._harm = HarmMeter()
        self._budget = 0.0
        self._restraint = _START_RESTRAINT
        self._next_move = _FIRST_TOKENS_A_MOVE
        self._arrival = -1e12
        self._gap: Millis = 500.0
        self._quiet_until: Millis = 0.0

    @property
    def steps(self) -> StepModel:
        """What a step costs."""
        return self._steps

    @property
    def harm(self) -> HarmMeter:
        """What the harm is."""
        return self._harm

    @property
    def restraint(self) -> float:
        """Present restraint, 0 to 1."""
        return self._restraint

    def arrived(self, now: Millis) -> None:
        """Note the arrival of an online request."""
        gap = now - self._arrival
        self._arrival = now
        if gap < _LONGEST_GAP:
            self._gap += 0.1 * (gap - self._gap)

    def step(self, step: Step) -> None:
        """Note a step of the upstream."""
        self._harm.step(step)
        self._budget += _EARNED * step.online_tokens
        if step.length > self._limit():
            self._budget -= step.online_tokens
        self._budget = min(_MOST_EARNED, self._budget)
        if self._harm.first_tokens >= self._next_move:
            self._next_move = self._harm.first_tokens + _FIRST_TOKENS_A_MOVE
            self._move()

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
        least = _LEAST_SHARE * self._slots
        return round(least + (1.0 - self._restraint) * (self._slots - least))

    def may_start(self, streams: Streams, now: Millis) -> bool:
        """Tell whether a batch prompt may start beside online requests."""
        if streams.batch_prefill or streams.online_prefill:
            return False
        if not self._steps.is_ready:
            return False
        return self._budget >= max(1, streams.online)

    def may_start_quiet(self, now: Millis) -> bool:
        """Tell whether a batch prompt may start while no online request is present."""
        return now >= self._quiet_until

    def started_quiet(self, tokens: int, now: Millis) -> None:
        """Note that a batch prompt was started while no online request was present."""
        duty = 1.0 - self._restraint * (1.0 - _QUIET_DUTY)
        self._quiet_until = now + self._steps.prefill_time(tokens) * (1.0 / duty - 1.0)

    def quiet_until(self) -> Millis:
        """Return when the next batch prompt may start while no online request is present."""
        return self._quiet_until

    def _limit(self) -> Millis:
        baseline = self._harm.between_baseline()
        if baseline is None:
            return self._allowance
        return max(self._allowance, self._slowdown.between_tokens * baseline)

    def _move(self) -> None:
        ratio = self._harm.first_token_ratio()
        if ratio is None:
            return
        allowed = self._slowdown.first_token - 1.0
        excess = (ratio - 1.0 - allowed) / max(0.01, allowed)
        move = _GAIN * max(-1.0, min(1.0, excess))
        self._restraint = max(0.0, min(1.0, self._restraint + move))
