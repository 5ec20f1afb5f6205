"""Measurement of how much batch requests slow the online requests of one upstream.

Load pattern: online traffic whose volume and mix change from minute to minute, on top of a
permanent batch backlog. The observed times are compared with the undisturbed times of the same
requests, as simulated without batch requests (`BaselineReplay`), so both follow changes of the
traffic. Without the comparison, a burst of long prompts would look like a slowdown by batch
requests and would stop all batch requests.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import OrderedDict, deque

from carobspool_core._clock import Millis
from carobspool_core._messages import RequestId
from carobspool_core._replay import ReplayedStep
from carobspool_core._stepmodel import Step

QUANTILE = 0.95
"""Slowdown limits are stated for 95 requests in 100."""

_FIRST_TOKEN_WINDOW = 1024
"""Window of first tokens; fifty of them lie beyond the quantile. With a window of 256 the ratio
varied between 1.03 and 1.47 under constant traffic (docs/design/admission.md)."""

_MIN_FIRST_TOKENS = 40
"""First tokens before their quantile is used; two of them lie beyond the quantile."""

_FIRST_TOKENS_PER_SORT = 16
"""First tokens between two sorts."""

_STEP_WINDOW = 2048
"""Window of replayed steps: about a minute with online requests present."""

_STEPS_PER_SORT = 64
"""Replayed steps between two sorts; sorting 2,048 entries takes half a millisecond."""

_MAX_UNMATCHED = 1024
"""Bound of the observed first tokens not replayed yet; far more than arrive in the replay's lag."""

_OVERHEAD_STEP: Millis = 0.1
"""Change of the overhead estimate per request, towards the median of the unexplained time."""


class InterferenceMeter:
    """Compares the observed times of online requests with their undisturbed times."""

    def __init__(self, first_token_limit: float) -> None:
        self._allowed_ratio = first_token_limit
        self._awaiting_first_token: dict[RequestId, tuple[Millis, Millis]] = {}
        self._first_token_in_step: list[tuple[RequestId, Millis, Millis]] = []
        self._unmatched: OrderedDict[RequestId, tuple[Millis, Millis]] = OrderedDict()
        self._undisturbed_first: deque[Millis] = deque(maxlen=_FIRST_TOKEN_WINDOW)
        self._first_token_limit: Millis | None = None
        self._allowed_late_share = 0.0
        self._excess = 0.0
        self._compared = 0
        self._overhead: Millis = 0.0
        self._steps: deque[tuple[Millis, int]] = deque(maxlen=_STEP_WINDOW)
        self._unsorted_steps = 0
        self._between_tokens_baseline: Millis | None = None

    def record_offer(self, id: RequestId, now: Millis) -> None:
        """Record that an online request was offered at ``now``."""
        self._awaiting_first_token[id] = (now, 0.0)

    def record_first_token(self, id: RequestId) -> None:
        """Record the first token of an online request."""
        awaited = self._awaiting_first_token.pop(id, None)
        if awaited is not None:
            self._first_token_in_step.append((id, awaited[0], awaited[1]))

    def drop(self, id: RequestId) -> None:
        """Drop an online request that ended or was refused before its first token."""
        self._awaiting_first_token.pop(id, None)

    def record_step(self, step: Step) -> None:
        """Record a step of the upstream."""
        for id, (offered, batch_part) in self._awaiting_first_token.items():
            self._awaiting_first_token[id] = (
                offered,
                batch_part + _overlapping_batch_part(step, offered),
            )
        for id, offered, batch_part in self._first_token_in_step:
            self._unmatched[id] = (
                step.ended - offered,
                batch_part + _overlapping_batch_part(step, offered),
            )
        self._first_token_in_step.clear()
        while len(self._unmatched) > _MAX_UNMATCHED:
            self._unmatched.popitem(last=False)

    def record_replayed_step(self, step: ReplayedStep) -> None:
        """Record a step of the replay."""
        for id, undisturbed in step.first_tokens:
            observed = self._unmatched.pop(id, None)
            if observed is not None:
                self._compare(observed[0], observed[1], undisturbed)
        if step.later_tokens:
            self._steps.append((step.length, step.later_tokens))
            self._unsorted_steps += 1

    def pop_excess(self) -> float:
        """Return and reset the number of late first tokens beyond the allowed share.

        The limit is the allowed ratio times the undisturbed quantile. A first token counts if it
        came later than the limit and would have come in time without batch requests. The allowed
        share is subtracted. A randomly long online prompt therefore counts neither for nor against
        batch requests.
        """
        excess = self._excess
        self._excess = 0.0
        return excess

    def first_token_baseline(self) -> Millis | None:
        """Return the undisturbed time to the first token at the quantile; ``None`` if unknown."""
        return (
            None
            if self._first_token_limit is None
            else self._first_token_limit / self._allowed_ratio
        )

    def between_tokens_baseline(self) -> Millis | None:
        """Return the undisturbed time between tokens at the quantile; ``None`` if unknown."""
        if self._unsorted_steps >= _STEPS_PER_SORT:
            self._unsorted_steps = 0
            self._between_tokens_baseline = self._compute_between_tokens_baseline()
        return self._between_tokens_baseline

    def _compare(self, observed: Millis, batch_part: Millis, undisturbed: Millis) -> None:
        # Connections and thread switches add a few milliseconds outside of the engine's steps.
        # Attributed to batch requests, they would use up a tight limit and stop all batch requests.
        # The overhead is the median of the time that neither the replay nor the batch part of the
        # steps explains; it does not depend on the batch requests that run.
        unexplained = observed - undisturbed - batch_part
        self._overhead += _OVERHEAD_STEP if unexplained > self._overhead else -_OVERHEAD_STEP
        self._overhead = max(0.0, self._overhead)
        undisturbed_total = undisturbed + self._overhead
        self._undisturbed_first.append(undisturbed_total)
        if (
            len(self._undisturbed_first) >= _MIN_FIRST_TOKENS
            and self._compared % _FIRST_TOKENS_PER_SORT == 0
        ):
            self._update_first_token_limit()
        self._compared += 1
        if self._first_token_limit is not None:
            late = int(observed > self._first_token_limit) - int(
                undisturbed_total > self._first_token_limit
            )
            self._excess += late - self._allowed_late_share

    def _update_first_token_limit(self) -> None:
        ordered = sorted(self._undisturbed_first)
        self._first_token_limit = self._allowed_ratio * ordered[int(QUANTILE * len(ordered))]
        late_undisturbed = len(ordered) - bisect_right(ordered, self._first_token_limit)
        self._allowed_late_share = 1.0 - QUANTILE - late_undisturbed / len(ordered)

    def _compute_between_tokens_baseline(self) -> Millis:
        undisturbed = sorted(self._steps)
        beyond = (1.0 - QUANTILE) * sum(tokens for _, tokens in undisturbed)
        for length, tokens in reversed(undisturbed):
            beyond -= tokens
            if beyond < 0.0:
                return length
        return undisturbed[0][0]


def _overlapping_batch_part(step: Step, offered: Millis) -> Millis:
    """Return the batch part of a step, in proportion to its overlap with a request's wait."""
    overlap = step.ended - max(step.began, offered)
    return step.batch_part * max(0.0, overlap) / step.length
