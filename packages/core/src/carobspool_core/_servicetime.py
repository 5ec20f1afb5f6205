"""How long requests take at one upstream, as observed.

Load pattern: a queue before a full upstream. Without a predicted wait, requests are accepted that
cannot meet their deadline; they use slots that others needed and then fail anyway.
"""

from __future__ import annotations

from carobspool_core._clock import Millis

_GAIN = 0.05
"""Weight of a new sample: a memory of some twenty requests, a few seconds of a server's traffic."""


class ServiceTime:
    """Smoothed times of requests at one upstream."""

    def __init__(self) -> None:
        self.first_token_ewma: Millis = 0.0
        self.between_tokens_ewma: Millis = 0.0
        self._per_token: Millis = 0.0

    def first_token(self, sample: Millis) -> None:
        """Note the time from offer to first token of an online request."""
        self.first_token_ewma = _smooth(self.first_token_ewma, sample)

    def between_tokens(self, sample: Millis) -> None:
        """Note the time between two tokens of an online request."""
        self.between_tokens_ewma = _smooth(self.between_tokens_ewma, sample)

    def finished(self, duration: Millis, cost_tokens: int) -> None:
        """Note the time that a whole request took at the upstream."""
        self._per_token = _smooth(self._per_token, duration / max(1, cost_tokens))

    def rate(self, slots: int) -> float:
        """Return the tokens served in a millisecond with all slots in use; 0 while unknown."""
        return slots / self._per_token if self._per_token > 0.0 else 0.0

    def least_duration(self, cost_tokens: int) -> Millis:
        """Return the time that a request of ``cost_tokens`` needs at the least.

        Half the average, as answers are often shorter than estimated: only a request that is
        hopeless is refused before it was tried.
        """
        return self._per_token * cost_tokens / 2.0


def _smooth(value: Millis, sample: Millis) -> Millis:
    return sample if value == 0.0 else value + _GAIN * (sample - value)
