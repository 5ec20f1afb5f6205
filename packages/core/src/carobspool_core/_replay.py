"""Estimates the latency of online requests without batch work, by simulating their arrivals.

Load pattern: batch work is almost always present, so an upstream is hardly ever observed without
it. A baseline measured on mixed traffic would contain the slowdown that it is meant to detect, and
a baseline measured while batch work is absent would be out of date when the online load changes.
Subtracting batch work's share of each step is not enough either: during slower steps more online
prompts accumulate and delay one another, so in a burst the slowdown is about twice what the steps
show.

Therefore the arrivals of the online requests are replayed through a model of the upstream, without
batch work and with step costs fitted to the real upstream. The replay lags behind real time, so
that the lengths of most responses are known when it reaches them. Batch work affects this baseline
only through the step costs, and their fit has batch streams and prompts as separate inputs.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from carobspool_core._clock import Millis
from carobspool_core._messages import RequestId
from carobspool_core._stepmodel import StepCosts

REPLAY_LAG: Millis = 2_000.0
"""How far the replay lags behind real time: longer than the times to first token compared with it.
A response that has not ended by then continues in the replay and adds the cost of one stream to its
steps."""

_MAX_REQUESTS = 4096
"""Limit on the requests in the replay: they accumulate while the sidecar is paused."""


@dataclass(slots=True, kw_only=True)
class _ReplayedRequest:
    arrived: Millis
    prompt_tokens: int
    tokens: int = 0
    length: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplayedStep:
    """One step of the replay.

    Attributes:
        length: Duration of the step.
        later_tokens: Number of streams that got a token other than their first.
        first_tokens: Requests that got their first token, each with its time to first token.
    """

    length: Millis
    later_tokens: int
    first_tokens: tuple[tuple[RequestId, Millis], ...]


class BaselineReplay:
    """Simulates an upstream that runs only the online requests.

    Args:
        slots: Number of requests that the upstream runs at once.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._now: Millis = 0.0
        self._arrivals: deque[RequestId] = deque()
        self._requests: OrderedDict[RequestId, _ReplayedRequest] = OrderedDict()
        self._decoding: list[RequestId] = []

    def record_arrival(self, id: RequestId, prompt_tokens: int, now: Millis) -> None:
        """Record the arrival of an online request."""
        if len(self._requests) >= _MAX_REQUESTS:
            return
        self._requests[id] = _ReplayedRequest(arrived=now, prompt_tokens=prompt_tokens)
        self._arrivals.append(id)

    def record_end(self, id: RequestId, tokens: int) -> None:
        """Record that the real request ended after ``tokens`` tokens."""
        request = self._requests.get(id)
        if request is not None:
            request.length = tokens

    def advance(self, now: Millis, costs: StepCosts) -> list[ReplayedStep]:
        """Simulate steps until the replay reaches ``now`` minus the lag, and return them."""
        steps: list[ReplayedStep] = []
        until = now - REPLAY_LAG
        while self._now < until:
            if not self._decoding and not self._skip_idle(until):
                break
            steps.append(self._step(costs))
        return steps

    def _skip_idle(self, until: Millis) -> bool:
        """Advance to the next arrival, at most to ``until``; return whether it is due by then."""
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
        length = costs.fixed + costs.per_stream * decoding + costs.per_prompt_token * tokens
        self._now += max(1.0, length)
        first_tokens = tuple((id, self._now - self._requests[id].arrived) for id in prompts)
        self._decoding += prompts
        self._emit_tokens()
        return ReplayedStep(length=length, later_tokens=decoding, first_tokens=first_tokens)

    def _admit(self) -> list[RequestId]:
        """Remove and return the arrived requests that get a free slot."""
        prompts: list[RequestId] = []
        while self._arrivals and len(self._decoding) + len(prompts) < self._slots:
            if self._requests[self._arrivals[0]].arrived > self._now:
                break
            prompts.append(self._arrivals.popleft())
        return prompts

    def _emit_tokens(self) -> None:
        """Add a token to each stream and remove the streams that are complete."""
        remaining: list[RequestId] = []
        for id in self._decoding:
            request = self._requests[id]
            request.tokens += 1
            if request.length is not None and request.tokens >= request.length:
                del self._requests[id]
                continue
            remaining.append(id)
        self._decoding = remaining
