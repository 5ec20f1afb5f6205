"""How long requests take at one upstream, as observed.

Load pattern: a queue before a full upstream. Without a predicted wait, requests are accepted that
cannot meet their deadline; they use slots that others needed and then fail anyway.
"""

from __future__ import annotations

from carobspool_core._clock import Millis

_GAIN = 0.05
"""Weight of a new sample: a memory of some twenty requests, a few seconds of a server's traffic."""

_MARGIN = 1.3
"""Durations vary around their mean. Without the margin, half of the requests that start at the last
moment end too late, and their slots were taken for nothing (docs/design/fair-queueing.md)."""


class ServiceTime:
    """Smoothed times of requests at one upstream."""

    def __init__(self) -> None:
        self.first_token_ewma: Millis = 0.0
        self.between_tokens_ewma: Millis = 0.0
        self._duration: Millis = 0.0
        self._cost = 0.0
        self._answer = 0.0

    def first_token(self, sample: Millis) -> None:
        """Note the time from offer to first token of an online request."""
        self.first_token_ewma = _smooth(self.first_token_ewma, sample)

    def between_tokens(self, sample: Millis) -> None:
        """Note the time between two tokens of an online request."""
        self.between_tokens_ewma = _smooth(self.between_tokens_ewma, sample)

    def finished(self, duration: Millis, cost_tokens: int, prompt_tokens: int) -> None:
        """Note the time that a whole online request took at the upstream.

        Args:
            duration: From its start to its end.
            cost_tokens: Its estimated tokens, prompt and answer together.
            prompt_tokens: Its prompt tokens.
        """
        self._duration = _smooth(self._duration, duration)
        self._cost = _smooth(self._cost, max(1, cost_tokens))
        self._answer = _smooth(self._answer, max(1, cost_tokens - prompt_tokens))

    def rate(self, slots: int) -> float:
        """Return the tokens served in a millisecond with all slots in use; 0 while unknown."""
        return slots * self._cost / self._duration if self._duration > 0.0 else 0.0

    def likely_duration(self, cost_tokens: int, prompt_tokens: int) -> Millis:
        """Return within what time a request ends, more likely than not; 0 while unknown.

        Answer tokens decide: a prompt is computed in a few steps, each answer token takes one.
        """
        if self._duration <= 0.0:
            return 0.0
        answer = max(1, cost_tokens - prompt_tokens)
        return _MARGIN * self._duration * answer / self._answer


def _smooth(value: Millis, sample: Millis) -> Millis:
    return sample if value == 0.0 else value + _GAIN * (sample - value)
