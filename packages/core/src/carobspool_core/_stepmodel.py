"""Model of the length of an engine step, fitted to the times between tokens.

Load pattern: online and batch requests always run together, so their costs cannot be observed
separately. Without the model, a slowdown by batch requests could not be distinguished from a change
of the online load.

The sidecar sees every token, and a batching engine produces one token for each decoding stream in
each step. A new step therefore begins when a stream that already had a token in the current step
receives the next one. The length of a step is fitted as
``fixed + per_stream x decoding streams + per_prompt_token x prompt tokens``.
"""

from __future__ import annotations

from dataclasses import dataclass

from carobspool_core._clock import Millis
from carobspool_core._leastsquares import LeastSquares
from carobspool_core._messages import RequestId
from carobspool_core._streams import Stream

_FORGETTING_FACTOR = 0.999
"""Forgetting factor of the fit: a memory of a thousand steps, about thirty seconds. That is long
compared with a step, and short compared with the time between changes of model or adapter."""

_PREFILL_UNIT_TOKENS = 100.0
"""Prompt tokens enter the fit in hundreds, so that the three coefficients are of similar size."""

_MIN_STEPS = 60
"""Steps before the model is used: twenty per coefficient, so that a few outliers have no effect."""

_MAX_STEP: Millis = 2_000.0
"""A longer step is a pause of the upstream or of this process, unrelated to the load."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StepCosts:
    """Costs of a step: the fixed part, the cost per decoding stream and per prompt token."""

    fixed: Millis
    per_stream: Millis
    per_prompt_token: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One observed step of the upstream.

    Attributes:
        began: When the previous step ended.
        ended: When the tokens of the step arrived.
        batch_part: The part of its length caused by batch requests.
        online_tokens: Number of online streams that received a token other than their first.
    """

    began: Millis
    ended: Millis
    batch_part: Millis
    online_tokens: int

    @property
    def length(self) -> Millis:
        """Duration of the step."""
        return self.ended - self.began


class StepModel:
    """Detects steps from the tokens of all streams and fits their costs."""

    def __init__(self) -> None:
        self._fit = LeastSquares(3, _FORGETTING_FACTOR)
        self._began: Millis | None = None
        self._ended: Millis = 0.0
        self._streams_in_step: set[RequestId] = set()
        self._decoding = 0
        self._batch_decoding = 0
        self._prompt_tokens = 0
        self._batch_prompt_tokens = 0
        self._missed_boundary = False

    @property
    def is_ready(self) -> bool:
        """Whether enough steps were observed to use the costs."""
        return self._fit.samples >= _MIN_STEPS

    @property
    def costs(self) -> StepCosts:
        """The costs as fitted so far."""
        fixed, per_stream, per_hundred_prompt_tokens = self._fit.coefficients
        return StepCosts(
            fixed=fixed,
            per_stream=per_stream,
            per_prompt_token=per_hundred_prompt_tokens / _PREFILL_UNIT_TOKENS,
        )

    def record_idle(self) -> None:
        """Record that no stream is running; the time until the next start belongs to no step."""
        self._reset_step()
        self._began = None

    def record_start(self, now: Millis) -> None:
        """Record the start of a stream; after an idle period the first step begins with it."""
        if self._began is None and not self._streams_in_step:
            self._began = now

    def record_tokens(self, stream: Stream, now: Millis, *, count: int, prompt: int) -> Step | None:
        """Record tokens of ``stream``.

        Args:
            stream: The stream.
            now: When the tokens arrived.
            count: Number of tokens that arrived together; with more than one, a step boundary was
                missed, and the step is left out of the fit.
            prompt: Prompt tokens computed for a first token; 0 for any other token.

        Returns:
            The completed step if these tokens are the first of the next one, otherwise ``None``.
        """
        step = None
        if not self._streams_in_step:
            self._ended = now
        elif stream.work.id in self._streams_in_step:
            step = self._close(now)
        self._streams_in_step.add(stream.work.id)
        self._missed_boundary = self._missed_boundary or count > 1
        self._count(stream, prompt)
        return step

    def _count(self, stream: Stream, prompt: int) -> None:
        if prompt:
            self._prompt_tokens += prompt
            self._batch_prompt_tokens += 0 if stream.is_online else prompt
            return
        self._decoding += 1
        self._batch_decoding += 0 if stream.is_online else 1

    def _close(self, now: Millis) -> Step | None:
        step = self._fit_step()
        self._reset_step()
        self._began = self._ended
        self._ended = now
        return step

    def _fit_step(self) -> Step | None:
        if self._began is None or self._missed_boundary:
            return None
        length = self._ended - self._began
        if not 0.0 < length < _MAX_STEP:
            return None
        self._fit.add((1.0, self._decoding, self._prompt_tokens / _PREFILL_UNIT_TOKENS), length)
        return Step(
            began=self._began,
            ended=self._ended,
            batch_part=min(length, self._batch_part()),
            online_tokens=self._decoding - self._batch_decoding,
        )

    def _batch_part(self) -> Millis:
        if not self.is_ready:
            return 0.0
        costs = self.costs
        return (
            costs.per_stream * self._batch_decoding
            + costs.per_prompt_token * self._batch_prompt_tokens
        )

    def _reset_step(self) -> None:
        self._streams_in_step.clear()
        self._decoding = 0
        self._batch_decoding = 0
        self._prompt_tokens = 0
        self._batch_prompt_tokens = 0
        self._missed_boundary = False
