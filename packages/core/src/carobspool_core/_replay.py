"""What online requests would have seen without any batch work, by replaying them.

Load pattern: batch work is always there, so an upstream is hardly ever seen without it. A baseline
taken from mixed traffic would contain the harm that it is meant to judge; one from quiet moments
would be out of date when the online load changes. Taking batch's part out of each step is not
enough either: slower steps gather more online prompts, which wait for one another, so in a burst
the harm is about twice what the steps show.

So the arrivals of the online requests are run again, through a model of the upstream with the step
costs learnt from the real one and no batch work. The replay stays behind the present, so that the
lengths of most answers are known when it comes to them. Batch work cannot reach this baseline but
through the step costs, and those are fitted with batch streams and prompts as inputs of their own.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from carobspool_core._clock import Millis
from carobspool_core._messages import RequestId
from carobspool_core._stepmodel import StepCosts

LAG: Millis = 2_000.0
"""How far the replay stays behind: longer than the first tokens that it is compared with. An answer
not finished by then goes on in the replay, which adds one stream's cost to its steps."""

_MOST_HELD = 4096
"""Requests held at once, in case a pause of the sidecar piles them up."""


@dataclass(slots=True, kw_only=True)
class _Replayed:
    arrived: Millis
    prompt_tokens: int
    tokens: int = 0
    length: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplayedStep:
    """One step of the replay.

    Attributes:
        length: Its length.
        tokens: Streams that got a token other than their first.
        first: Requests that got their first token, with their time to it.
    """

    length: Millis
    tokens: int
    first: tuple[tuple[RequestId, Millis], ...]


class Replay:
    """Online requests alone at an upstream with given step costs."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._now: Millis = 0.0
        self._arrivals: deque[RequestId] = deque()
        self._requests: OrderedDict[RequestId, _Replayed] = OrderedDict()
        self._decoding: list[RequestId] = []

    def arrived(self, id: RequestId, prompt_tokens: int, now: Millis) -> None:
        """Note the arrival of an online request."""
        if len(self._requests) >= _MOST_HELD:
            return
        self._requests[id] = _Replayed(arrived=now, prompt_tokens=prompt_tokens)
        self._arrivals.append(id)

    def ended(self, id: RequestId, tokens: int) -> None:
        """Note that the real request ended with so many tokens."""
        request = self._requests.get(id)
        if request is not None:
            request.length = tokens

    def advance(self, now: Millis, costs: StepCosts) -> list[ReplayedStep]:
        """Run all steps that end before ``now`` less the lag."""
        steps: list[ReplayedStep] = []
        until = now - LAG
        while self._now < until:
            if not self._decoding and not self._skip_idle(until):
                break
            steps.append(self._step(costs))
        return steps

    def _skip_idle(self, until: Millis) -> bool:
        if not self._arrivals:
            self._now = until
            return False
        arrived = self._requests[self._arrivals[0]].arrived
        self._now = max(self._now, min(arrived, until))
        return arrived <= until

    def _step(self, costs: StepCosts) -> ReplayedStep:
        prompts = self._admit()
        tokens = sum(self._requests[id].prompt_tokens for id in prompts)
        decoding = len(self._decoding)
        length = costs.base + costs.stream * decoding + costs.prefill * tokens
        self._now += max(1.0, length)
        first = tuple((id, self._now - self._requests[id].arrived) for id in prompts)
        self._decoding += prompts
        self._emit()
        return ReplayedStep(length=length, tokens=decoding, first=first)

    def _admit(self) -> list[RequestId]:
        prompts: list[RequestId] = []
        while self._arrivals and len(self._decoding) + len(prompts) < self._slots:
            if self._requests[self._arrivals[0]].arrived > self._now:
                break
            prompts.append(self._arrivals.popleft())
        return prompts

    def _emit(self) -> None:
        staying: list[RequestId] = []
        for id in self._decoding:
            request = self._requests[id]
            request.tokens += 1
            if request.length is not None and request.tokens >= request.length:
                del self._requests[id]
                continue
            staying.append(id)
        self._decoding = staying
