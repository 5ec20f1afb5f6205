"""Control of batch concurrency and batch prompt starts while online requests are present.

Load pattern: online bursts on top of a permanent batch backlog. A decoding batch stream delays an
online token by a fraction of a millisecond; a batch prompt in prefill stalls every online stream
for a hundred milliseconds. Without pacing, the time between tokens grows fourfold and the time to
the first token by half.

- **Prompt starts are charged to an error budget.** The limit is a 95th percentile, so 5% of the
  online gaps between tokens may be longer than the limit. Each gap adds a twentieth of a unit to
  the budget, less a small margin; each gap above the limit costs one unit. A batch prompt starts
  when the budget covers the online streams that the prompt would stall. This favours the tail of a
  burst, where few streams are affected. Once the step costs are known, no timer starts prompts.
- **The number of batch streams follows from the step costs.** While online requests keep arriving,
  decoding batch streams may delay a first token by no more than the limit allows. This allowance
  shrinks, at most to half, when more first tokens were late than the limit permits. In the tail of
  a burst, when online streams still decode but no request waits for its first token, batch requests
  use every free slot again.
"""

from __future__ import annotations

from carobspool_core._clock import Millis
from carobspool_core._config import OnlineSlowdown
from carobspool_core._interference import QUANTILE, InterferenceMeter
from carobspool_core._messages import RequestId
from carobspool_core._replay import BaselineReplay
from carobspool_core._stepmodel import Step, StepModel
from carobspool_core._streams import Streams

_BUDGET_PER_GAP = 1.0 - QUANTILE - 0.003
"""Budget added by each online gap: the share that may exceed the limit, less a safety margin."""

_START_COST_FACTOR = 4.0
"""Multiple of a start's cost that the budget must hold. No prompt then starts in the early tail of
a burst, when many streams decode, and the same budget covers more starts a second or two later."""

_BUDGET_BOUND = 60.0
"""Bound of the budget, allowing about a dozen prompt starts in a tail with few streams. With a
higher bound, a long quiet period would permit a series of stalls that a caller notices."""

_FIRST_TOKEN_BUDGET_BOUND = 5.0
"""Bound of the first-token budget in both directions, in late first tokens. It equals what a few
hundred first tokens add at a loose limit. A larger overdraft would stop batch prompts long after
its cause."""

_UNFITTED_START_INTERVAL: Millis = 500.0
"""Interval between batch prompt starts while the step costs are unknown, as after the start or with
an upstream that reports no tokens. Without any start, batch requests would starve there; with more
frequent starts, prompts would stall the online streams permanently."""

_STEPS_TO_FIRST_TOKEN = 2.0
"""Steps that delay a first token: the step in progress when its request arrives, and its own."""

_MIN_BATCH_SHARE = 0.125
"""Share of the slots that batch streams may use even in a burst: an eighth. With fewer streams,
batch requests would starve; the slowdown by so few streams is too small to measure."""

_BURST_END_GAPS = 3.0
"""Mean gaps without an arrival after which a burst counts as over. The probability that a burst is
still going on is then e^-3, one in twenty."""

_MAX_ARRIVAL_GAP: Millis = 2_000.0
"""Longest gap within a burst. A longer gap separates bursts and is left out of the mean gap."""


class Pacer:
    """Controls batch requests that run next to online requests."""

    def __init__(self, slots: int, slowdown: OnlineSlowdown, allowance: Millis) -> None:
        self._slots = slots
        self._slowdown = slowdown
        self._allowance = allowance
        self._steps = StepModel()
        self._interference = InterferenceMeter(slowdown.first_token)
        self._replay = BaselineReplay(slots)
        self._budget = 0.0
        self._first_token_budget = 0.0
        self._no_prompt_until: Millis = 0.0
        self._last_arrival = -1e12
        self._mean_gap: Millis = 500.0

    @property
    def steps(self) -> StepModel:
        """The step costs of the upstream."""
        return self._steps

    @property
    def interference(self) -> InterferenceMeter:
        """The slowdown of online requests by batch requests."""
        return self._interference

    def record_arrival(self, now: Millis) -> None:
        """Record the arrival of an online request."""
        gap = now - self._last_arrival
        self._last_arrival = now
        if gap < _MAX_ARRIVAL_GAP:
            self._mean_gap += 0.1 * (gap - self._mean_gap)

    def record_start(self, id: RequestId, prompt_tokens: int, submitted_at: Millis) -> None:
        """Record that an online request was sent to the upstream.

        Args:
            id: The request.
            prompt_tokens: Estimated prompt tokens.
            submitted_at: When the request was submitted to admission.
        """
        self._replay.record_arrival(id, prompt_tokens, submitted_at)
        self._interference.record_offer(id, submitted_at)

    def record_end(self, id: RequestId, tokens: int) -> None:
        """Record the end of an online request that received ``tokens`` answer tokens."""
        self._interference.drop(id)
        self._replay.record_end(id, tokens)

    def record_step(self, step: Step) -> None:
        """Record a step of the upstream."""
        self._interference.record_step(step)
        if self._steps.is_ready:
            for replayed in self._replay.advance(step.ended, self._steps.costs):
                self._interference.record_replayed_step(replayed)
        limit = self._between_tokens_limit()
        if limit is not None:
            change = _BUDGET_PER_GAP - float(step.length > limit)
            budget = self._budget + change * step.online_tokens
            self._budget = max(-_BUDGET_BOUND, min(_BUDGET_BOUND, budget))
        first_token_budget = self._first_token_budget - self._interference.pop_excess()
        self._first_token_budget = max(
            -_FIRST_TOKEN_BUDGET_BOUND, min(_FIRST_TOKEN_BUDGET_BOUND, first_token_budget)
        )

    def in_burst(self, now: Millis) -> bool:
        """Return whether further online requests are likely to arrive soon."""
        return now < self.burst_end()

    def burst_end(self) -> Millis:
        """Return when the current burst counts as over if no further request arrives."""
        return self._last_arrival + _BURST_END_GAPS * self._mean_gap

    def batch_limit(self, now: Millis) -> int:
        """Return how many batch streams may run next to online requests."""
        if not self.in_burst(now):
            return self._slots
        baseline = self._interference.first_token_baseline()
        stream = self._steps.costs.per_stream
        minimum = round(_MIN_BATCH_SHARE * self._slots)
        if baseline is None or stream <= 0.0:
            return minimum
        allowed = (self._slowdown.first_token - 1.0) * baseline
        allowed *= 1.0 + min(0.0, self._first_token_budget) / (2.0 * _FIRST_TOKEN_BUDGET_BOUND)
        return max(minimum, min(self._slots, int(allowed / (_STEPS_TO_FIRST_TOKEN * stream))))

    def may_start_prompt(self, streams: Streams, now: Millis) -> bool:
        """Return whether a batch prompt may start next to online requests."""
        if not self._steps.is_ready:
            return now >= self._no_prompt_until
        if streams.batch_prefill_tokens or streams.online_prefill_tokens:
            return False
        return self._budget >= _START_COST_FACTOR * max(1, streams.online_count)

    def record_prompt_start(self, now: Millis) -> None:
        """Record that a batch prompt was started."""
        if not self._steps.is_ready:
            self._no_prompt_until = now + _UNFITTED_START_INTERVAL

    def wake_at(self) -> list[Millis]:
        """Return the times at which batch requests may start without a further event."""
        return [self.burst_end(), self._no_prompt_until]

    def _between_tokens_limit(self) -> Millis | None:
        """Return the longest time between tokens within the limit; ``None`` without a baseline."""
        baseline = self._interference.between_tokens_baseline()
        if baseline is None:
            return None
        return max(self._allowance, self._slowdown.between_tokens * baseline)
