"""How much batch work slows the online requests of one upstream.

Load pattern: online traffic whose size and mix change by the minute, over batch work without end.
The observed times are compared with those of the same requests without batch work (`Replay`), so
both change together when the traffic does. Without the comparison a burst of long prompts would
look like harm done by batch work and would stop it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import OrderedDict, deque

from carobspool_core._clock import Millis
from carobspool_core._messages import RequestId
from carobspool_core._replay import ReplayedStep
from carobspool_core._stepmodel import Step

QUANTILE = 0.95
"""The users state their limits for 95 requests in 100."""

_FIRST_TOKENS = 1024
"""First tokens remembered: fifty lie beyond the quantile. With 256 the ratio read between 1.03 and
1.47 over traffic that stayed the same (docs/design/admission.md)."""

_FEWEST_FIRST_TOKENS = 40
"""First tokens before their quantile is used: two beyond it."""

_FIRST_TOKENS_A_SORT = 16
"""First tokens between two sorts."""

_STEPS = 2048
"""Replayed steps remembered: about a minute of online presence."""

_SORT_EVERY = 64
"""Steps between two sorts; a sort of 2,048 entries takes half a millisecond."""

_MOST_UNMATCHED = 1024
"""Observed first tokens that wait for the replay: far more than come within its lag."""

_OVERHEAD_MOVE: Millis = 0.1
"""Move of the overhead at each request, towards the median of what nothing else explains."""


class HarmMeter:
    """Observed and undisturbed times of the same online requests."""

    def __init__(self, first_token_limit: float) -> None:
        self._ratio = first_token_limit
        self._awaited: dict[RequestId, tuple[Millis, Millis]] = {}
        self._ended: list[tuple[RequestId, Millis, Millis]] = []
        self._unmatched: OrderedDict[RequestId, tuple[Millis, Millis]] = OrderedDict()
        self._first: deque[Millis] = deque(maxlen=_FIRST_TOKENS)
        self._first_limit: Millis | None = None
        self._allowed = 0.0
        self._excess = 0.0
        self._matched = 0
        self._overhead: Millis = 0.0
        self._steps: deque[tuple[Millis, int]] = deque(maxlen=_STEPS)
        self._unsorted = 0
        self._between_baseline: Millis | None = None

    def offered(self, id: RequestId, now: Millis) -> None:
        """Note the arrival of an online request."""
        self._awaited[id] = (now, 0.0)

    def first_token(self, id: RequestId) -> None:
        """Note the first token of an online request."""
        awaited = self._awaited.pop(id, None)
        if awaited is not None:
            self._ended.append((id, awaited[0], awaited[1]))

    def gone(self, id: RequestId) -> None:
        """Note that an online request ended or was refused before its first token."""
        self._awaited.pop(id, None)

    def step(self, step: Step) -> None:
        """Note a step of the upstream."""
        for id, (offered, harm) in self._awaited.items():
            self._awaited[id] = (offered, harm + _share(step, offered))
        for id, offered, harm in self._ended:
            self._unmatched[id] = (step.ended - offered, harm + _share(step, offered))
        self._ended.clear()
        while len(self._unmatched) > _MOST_UNMATCHED:
            self._unmatched.popitem(last=False)

    def replayed(self, step: ReplayedStep) -> None:
        """Note a step of the replay."""
        for id, undisturbed in step.first:
            observed = self._unmatched.pop(id, None)
            if observed is not None:
                self._match(observed[0], observed[1], undisturbed)
        if step.tokens:
            self._steps.append((step.length, step.tokens))
            self._unsorted += 1

    def take_excess(self) -> float:
        """Return by how much more first tokens were late than allowed, since the last call.

        The limit is the allowed ratio times the undisturbed quantile. Counted is a first token that
        was later than the limit and would not have been without batch work, less the share that may
        be: so the chance that makes an editor's prompt long does not count for or against batch.
        """
        excess = self._excess
        self._excess = 0.0
        return excess

    def first_baseline(self) -> Millis | None:
        """Return the undisturbed time to the first token at the quantile; ``None``: unknown."""
        return None if self._first_limit is None else self._first_limit / self._ratio

    def between_baseline(self) -> Millis | None:
        """Return the undisturbed time between tokens at the quantile; ``None`` while unknown."""
        if self._unsorted >= _SORT_EVERY:
            self._unsorted = 0
            self._between_baseline = self._sorted_baseline()
        return self._between_baseline

    def _match(self, observed: Millis, harm: Millis, undisturbed: Millis) -> None:
        # Connections and thread switches add a few milliseconds that no step contains. Counted as
        # harm they would use up a tight limit and stop all batch work; the median of what neither
        # the replay nor the steps' harm explains is that overhead, whatever batch work runs.
        unexplained = observed - undisturbed - harm
        self._overhead += _OVERHEAD_MOVE if unexplained > self._overhead else -_OVERHEAD_MOVE
        self._overhead = max(0.0, self._overhead)
        alone = undisturbed + self._overhead
        self._first.append(alone)
        if len(self._first) >= _FEWEST_FIRST_TOKENS and self._matched % _FIRST_TOKENS_A_SORT == 0:
            self._set_first_limit()
        self._matched += 1
        if self._first_limit is not None:
            late = int(observed > self._first_limit) - int(alone > self._first_limit)
            self._excess += late - self._allowed

    def _set_first_limit(self) -> None:
        ordered = sorted(self._first)
        self._first_limit = self._ratio * ordered[int(QUANTILE * len(ordered))]
        late_alone = len(ordered) - bisect_right(ordered, self._first_limit)
        self._allowed = 1.0 - QUANTILE - late_alone / len(ordered)

    def _sorted_baseline(self) -> Millis:
        undisturbed = sorted(self._steps)
        beyond = (1.0 - QUANTILE) * sum(tokens for _, tokens in undisturbed)
        for length, tokens in reversed(undisturbed):
            beyond -= tokens
            if beyond < 0.0:
                return length
        return undisturbed[0][0]


def _share(step: Step, offered: Millis) -> Millis:
    """Return the part of a step's harm that falls to a request offered at ``offered``."""
    overlap = step.ended - max(step.began, offered)
    return step.harm * max(0.0, overlap) / step.length
