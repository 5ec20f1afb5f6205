"""Moving averages of the service times observed at one upstream.

Load pattern: requests queue for an upstream at capacity. Without a predicted wait, requests that
cannot meet their deadline are accepted; they occupy slots that other requests need and then fail.
"""

from __future__ import annotations

from carobspool_core._clock import Millis

_SAMPLE_WEIGHT = 0.05
"""Weight of a new sample; averages over about twenty requests, a few seconds of traffic."""

_DURATION_MARGIN = 1.3
"""Durations vary around their mean. Without the margin, half of the requests that start at the
latest possible time miss their deadline and waste their slots (docs/design/fair-queueing.md)."""


class ServiceTime:
    """Exponential moving averages of request times at one upstream."""

    def __init__(self) -> None:
        self.first_token_ewma: Millis = 0.0
        self.between_tokens_ewma: Millis = 0.0
        self._duration_ewma: Millis = 0.0
        self._cost_ewma = 0.0
        self._answer_ewma = 0.0

    def record_first_token(self, sample: Millis) -> None:
        """Record the time from offer to first token of an online request."""
        self.first_token_ewma = _smooth(self.first_token_ewma, sample)

    def record_token_gap(self, sample: Millis) -> None:
        """Record the time between two tokens of an online request."""
        self.between_tokens_ewma = _smooth(self.between_tokens_ewma, sample)

    def record_completion(self, duration: Millis, cost_tokens: int, prompt_tokens: int) -> None:
        """Record the duration of a completed online request.

        Args:
            duration: Time from the request's start to its end at the upstream.
            cost_tokens: Estimated tokens of prompt and answer together.
            prompt_tokens: Estimated tokens of the prompt.
        """
        self._duration_ewma = _smooth(self._duration_ewma, duration)
        self._cost_ewma = _smooth(self._cost_ewma, max(1, cost_tokens))
        self._answer_ewma = _smooth(self._answer_ewma, max(1, cost_tokens - prompt_tokens))

    def tokens_per_ms(self, slots: int) -> float:
        """Return the throughput with all slots in use; 0 while unknown."""
        return slots * self._cost_ewma / self._duration_ewma if self._duration_ewma > 0.0 else 0.0

    def likely_duration(self, cost_tokens: int, prompt_tokens: int) -> Millis:
        """Return the time within which a request is likely to end; 0 while unknown.

        The estimate scales with the answer tokens: a prompt takes a few steps in all, each answer
        token takes one step.
        """
        if self._duration_ewma <= 0.0:
            return 0.0
        answer = max(1, cost_tokens - prompt_tokens)
        return _DURATION_MARGIN * self._duration_ewma * answer / self._answer_ewma


def _smooth(value: Millis, sample: Millis) -> Millis:
    return sample if value == 0.0 else value + _SAMPLE_WEIGHT * (sample - value)
