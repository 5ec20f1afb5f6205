"""How much batch work slows the online requests of one upstream.

Load pattern: online traffic whose size and mix change by the minute, over batch work without end.
Each online time is kept beside what it would have been without the batch work in the same steps
(`StepModel`), so both change together when the traffic does, and their ratio is the harm. Without
the pairs, a burst of long prompts would look like harm done by batch work and would stop it.
"""

from __future__ import annotations

from collections import deque

from carobspool_core._clock import Millis
from carobspool_core._messages import RequestId
from carobspool_core._stepmodel import Step

QUANTILE = 0.95
"""The users state their limits for 95 requests in 100."""

_FIRST_TOKENS = 256
"""First tokens remembered, some minutes of one server: fewer would leave less than a dozen beyond
the quantile."""

_STEPS = 2048
"""Steps remembered: about a minute."""

_FEWEST_FIRST_TOKENS = 40
"""First tokens before their ratio is believed: two beyond the quantile."""

_SORT_EVERY = 64
"""Steps between two sorts; a sort of 2,048 entries takes half a millisecond."""


class HarmMeter:
    """Pairs of observed and undisturbed times of online requests."""

    def __init__(self) -> None:
        self._awaited: dict[RequestId, tuple[Millis, Millis]] = {}
        self._ended: list[tuple[Millis, Millis]] = []
        self._first: deque[tuple[Millis, Millis]] = deque(maxlen=_FIRST_TOKENS)
        self._steps: deque[tuple[Millis, Millis, int]] = deque(maxlen=_STEPS)
        self._unsorted = 0
        self._between_baseline: Millis | None = None
        self.first_tokens = 0

    def offered(self, id: RequestId, now: Millis) -> None:
        """Note the arrival of an online request."""
        self._awaited[id] = (now, 0.0)

    def first_token(self, id: RequestId, now: Millis) -> None:
        """Note the first token of an online request."""
        awaited = self._awaited.pop(id, None)
        if awaited is not None:
            self._ended.append((awaited[0], awaited[1]))

    def gone(self, id: RequestId) -> None:
        """Note that an online request ended or was refused before its first token."""
        self._awaited.pop(id, None)

    def step(self, step: Step) -> None:
        """Note a step of the upstream."""
        for id, (offered, harm) in self._awaited.items():
            self._awaited[id] = (offered, harm + _share(step, offered))
        for offered, harm in self._ended:
            observed = step.ended - offered
            total = min(observed, harm + _share(step, offered))
            self._first.append((observed, observed - total))
            self.first_tokens += 1
        self._ended.clear()
        if step.online_tokens:
            self._steps.append((step.length, step.length - step.harm, step.online_tokens))
            self._unsorted += 1

    def first_token_ratio(self) -> float | None:
        """Return how many times longer the first token takes at the quantile; ``None``: unknown."""
        if len(self._first) < _FEWEST_FIRST_TOKENS:
            return None
        rank = int(QUANTILE * len(self._first))
        observed = sorted(pair[0] for pair in self._first)[rank]
        baseline = sorted(pair[1] for pair in self._first)[rank]
        return observed / max(1.0, baseline)

    def between_baseline(self) -> Millis | None:
        """Return the undisturbed time between tokens at the quantile; ``None`` while unknown."""
        if self._unsorted >= _SORT_EVERY:
            self._unsorted = 0
            self._between_baseline = self._sorted_baseline()
        return self._between_baseline

    def _sorted_baseline(self) -> Millis:
        undisturbed = sorted((baseline, tokens) for _, baseline, tokens in self._steps)
        beyond = (1.0 - QUANTILE) * sum(tokens for _, tokens in undisturbed)
        for baseline, tokens in reversed(undisturbed):
            beyond -= tokens
            if beyond < 0.0:
                return baseline
        return undisturbed[0][0]


def _share(step: Step, offered: Millis) -> Millis:
    """Return the part of a step's harm that falls to a request offered at ``offered``."""
    overlap = step.ended - max(step.began, offered)
    return step.harm * max(0.0, overlap) / step.length
