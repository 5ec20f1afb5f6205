"""What one step of the upstream costs, learnt from the times between tokens.

Load pattern: online and batch work always run together, so what each of them costs cannot be
seen apart. Without it the harm done by batch work could not be told from a change of online load.

The sidecar sees every token, and an engine that batches gives each decoding stream one token a
step. So a step begins when a stream that already had its token gets the next. Its length is fitted
as ``base + stream x decoding streams + prefill x prompt tokens``.
"""

from __future__ import annotations

from dataclasses import dataclass

from carobspool_core._clock import Millis
from carobspool_core._leastsquares import LeastSquares
from carobspool_core._messages import RequestId
from carobspool_core._streams import Stream

_FORGETTING = 0.999
"""Memory of a thousand steps, some thirty seconds: long against a step, short against a change of
model or adapter."""

_PREFILL_UNIT = 100.0
"""Prompt tokens are counted in hundreds, so that the three unknowns are of like size."""

_FEWEST_STEPS = 60
"""Steps before the model is used: twenty for each unknown, so that a few outliers do no harm."""

_LONGEST_STEP: Millis = 2_000.0
"""A longer one is a pause of the upstream or of this process and says nothing of its load."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StepCosts:
    """What a step costs: in itself, for each decoding stream, and for each prompt token."""

    base: Millis
    stream: Millis
    prefill: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One step of the upstream, as observed.

    Attributes:
        began: When the step before it ended.
        ended: When its tokens came.
        harm: The part of its length that batch work added.
        online_tokens: Online streams that got a token other than their first.
    """

    began: Millis
    ended: Millis
    harm: Millis
    online_tokens: int

    @property
    def length(self) -> Millis:
        """Its length."""
        return self.ended - self.began


class StepModel:
    """Finds the steps in the tokens of all streams and learns what they cost."""

    def __init__(self) -> None:
        self._fit = LeastSquares(3, _FORGETTING)
        self._began: Millis | None = None
        self._ended: Millis = 0.0
        self._seen: set[RequestId] = set()
        self._decoding = 0
        self._batch_decoding = 0
        self._prompt = 0
        self._batch_prompt = 0
        self._blurred = False

    @property
    def is_ready(self) -> bool:
        """Whether enough steps were seen."""
        return self._fit.samples >= _FEWEST_STEPS

    @property
    def costs(self) -> StepCosts:
        """The costs as learnt so far."""
        base, stream, prefill = self._fit.coefficients
        return StepCosts(base=base, stream=stream, prefill=prefill / _PREFILL_UNIT)

    def idle(self) -> None:
        """Note that nothing runs any more: the time until the next start belongs to no step."""
        self._clear()
        self._began = None

    def started(self, now: Millis) -> None:
        """Note that a stream was started; after idleness the first step begins with it."""
        if self._began is None and not self._seen:
            self._began = now

    def token(self, stream: Stream, now: Millis, *, count: int, prompt: int) -> Step | None:
        """Note tokens of ``stream``.

        Args:
            stream: The stream.
            now: When they came.
            count: How many came together; more than one hides a step.
            prompt: Prompt tokens computed for a first token; 0 for any other.

        Returns:
            The step before when these are the first tokens of the next one, otherwise ``None``.
        """
        step = None
        if not self._seen:
            self._ended = now
        elif stream.work.id in self._seen:
            step = self._close(now)
        self._seen.add(stream.work.id)
        self._blurred = self._blurred or count > 1
        self._count(stream, prompt)
        return step

    def _count(self, stream: Stream, prompt: int) -> None:
        if prompt:
            self._prompt += prompt
            self._batch_prompt += 0 if stream.is_online else prompt
            return
        self._decoding += 1
        self._batch_decoding += 0 if stream.is_online else 1

    def _close(self, now: Millis) -> Step | None:
        step = self._observe()
        self._clear()
        self._began = self._ended
        self._ended = now
        return step

    def _observe(self) -> Step | None:
        if self._began is None or self._blurred:
            return None
        length = self._ended - self._began
        if not 0.0 < length < _LONGEST_STEP:
            return None
        self._fit.add((1.0, self._decoding, self._prompt / _PREFILL_UNIT), length)
        return Step(
            began=self._began,
            ended=self._ended,
            harm=min(length, self._harm()),
            online_tokens=self._decoding - self._batch_decoding,
        )

    def _harm(self) -> Millis:
        if not self.is_ready:
            return 0.0
        costs = self.costs
        return costs.stream * self._batch_decoding + costs.prefill * self._batch_prompt

    def _clear(self) -> None:
        self._seen.clear()
        self._decoding = 0
        self._batch_decoding = 0
        self._prompt = 0
        self._batch_prompt = 0
        self._blurred = False
