"""Tokens that requests occupy in the memory of engines.

Load pattern: prompts of 250 to 17,000 tokens at engines that hold some 100,000. When an engine's
memory is full, its newest request is preempted and read again.
"""

from __future__ import annotations

from msgspec import Struct

from carobspool_core._clock import Millis
from carobspool_core.direct import Load

SMOOTHING = 0.05
"""Weight of a new request in the mean tokens of a service, which covers about twenty requests."""


class Forecast(Struct, frozen=True, kw_only=True):
    """What was expected of a request when it was placed.

    Attributes:
        identity: Identity of the upstream.
        service: Its service.
        started: Time of the placement.
        expected: Expected time to the first event.
        unread: Prompt tokens that the upstream probably has to read.
        tokens: Tokens that the request occupies in the upstream's memory.
        has_free_slot: Whether a slot seemed free, so that the time includes no queueing.
        relative_pace: Pace of the upstream by the mean of its service.
        prefixes: Keys and tokens of the prompt's shared prefixes.
    """

    identity: str
    service: str
    started: Millis
    expected: Millis
    unread: float
    tokens: float
    has_free_slot: bool
    relative_pace: float = 1.0
    prefixes: tuple[tuple[int, int], ...] = ()


class EngineMemory:
    """Tokens of this entry's requests at each upstream. Not thread-safe.

    Attributes:
        unread: Tokens that each upstream still has to read for requests of this entry.
    """

    __slots__ = ("_mean_tokens", "_own", "_reading", "unread")

    def __init__(self) -> None:
        self._own: dict[str, tuple[int, float]] = {}
        self.unread: dict[str, float] = {}
        # Ids of the forecasts whose first event has not arrived; their owners keep them alive.
        self._reading: set[int] = set()
        self._mean_tokens: dict[str, float] = {}

    def begin(self, forecast: Forecast) -> None:
        """Count a request that was placed."""
        count, tokens = self._own.get(forecast.identity, (0, 0.0))
        self._own[forecast.identity] = (count + 1, tokens + forecast.tokens)
        self._reading.add(id(forecast))
        self._add_unread(forecast, forecast.unread)
        mean = self._mean_tokens.get(forecast.service, forecast.tokens)
        self._mean_tokens[forecast.service] = mean + (forecast.tokens - mean) * SMOOTHING

    def prompt_read(self, forecast: Forecast) -> None:
        """Record that an upstream has read the prompt of a request, by its first event."""
        if id(forecast) in self._reading:
            self._reading.remove(id(forecast))
            self._add_unread(forecast, -forecast.unread)

    def end(self, forecast: Forecast) -> bool:
        """Count the end of a request; return whether its first event has arrived."""
        has_read = id(forecast) not in self._reading
        self.prompt_read(forecast)
        count, tokens = self._own.get(forecast.identity, (0, 0.0))
        if count > 1:
            self._own[forecast.identity] = (count - 1, tokens - forecast.tokens)
        else:
            self._own.pop(forecast.identity, None)
        return has_read

    def used(self, identity: str, service: str, load: Load) -> float:
        """Return the tokens in use at an upstream; requests of other entries count as average."""
        count, tokens = self._own.get(identity, (0, 0.0))
        return tokens + max(0, load.total - count) * self._mean_tokens.get(service, 0.0)

    def _add_unread(self, forecast: Forecast, tokens: float) -> None:
        left = self.unread.get(forecast.identity, 0.0) + tokens
        if left > 0.5:
            self.unread[forecast.identity] = left
        else:
            self.unread.pop(forecast.identity, None)
