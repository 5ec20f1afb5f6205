"""Expected time from a request's start to its first event, by prompt tokens still to be read.

Load pattern: prompts of 250 to 17,000 tokens, of which an engine reads some 50 in a millisecond.
The estimate is a straight line for each upstream, drawn towards that of its service.
"""

from __future__ import annotations

from msgspec import Struct

from carobspool_core._clock import Millis

ESTIMATE_TTL: Millis = 30_000.0
"""As for paces: an upstream without samples counts as average."""
INITIAL_BASE: Millis = 45.0
"""Time to the first event of a short prompt at an idle engine: a round trip and one step."""
INITIAL_PER_TOKEN: Millis = 0.02
"""50 tokens in a millisecond."""
FORGETTING = 0.95
"""Weight of the earlier samples at each new one; about twenty samples count."""
PRIOR_SAMPLES = 4.0
"""Weight of the service's line in that of an upstream."""
MAX_SAMPLE_RATIO = 3.0
"""A longer time counts as this multiple of the expected time, so one hung call adds little."""
_PRIOR_POINTS = (0.0, 4_000.0)
"""Tokens at which the previous line counts as samples; keeps a line defined by equal samples."""
_MIN_PER_TOKEN: Millis = 0.001
_MAX_PER_TOKEN: Millis = 1.0


class Line(Struct):
    """A straight line: the time of a prompt without unread tokens, and the time for each token."""

    base: Millis = INITIAL_BASE
    per_token: Millis = INITIAL_PER_TOKEN

    def at(self, tokens: float) -> Millis:
        """Return the expected time for a number of unread tokens."""
        return self.base + self.per_token * tokens


class _Fit:
    __slots__ = ("line", "samples", "sums", "updated_at")

    def __init__(self) -> None:
        self.line = Line()
        self.samples = 0.0
        self.sums = [0.0] * 5
        self.updated_at: Millis = 0.0

    def add(self, tokens: float, time: Millis, prior: Line, now: Millis) -> None:
        values = (1.0, tokens, time, tokens * tokens, tokens * time)
        self.sums = [
            known * FORGETTING + value for known, value in zip(self.sums, values, strict=True)
        ]
        self.samples = self.sums[0]
        self.updated_at = now
        n, x, y, xx, xy = self.sums
        for point in _PRIOR_POINTS:
            weight = PRIOR_SAMPLES / len(_PRIOR_POINTS)
            expected = prior.at(point)
            n, x, y = n + weight, x + weight * point, y + weight * expected
            xx, xy = xx + weight * point * point, xy + weight * point * expected
        slope = (n * xy - x * y) / (n * xx - x * x)
        slope = min(max(slope, _MIN_PER_TOKEN), _MAX_PER_TOKEN)
        self.line = Line(max(1.0, (y - slope * x) / n), slope)


class FirstEventTimes:
    """Lines by identity of the upstream and by service. Not thread-safe."""

    __slots__ = ("_by_identity", "_by_service")

    def __init__(self) -> None:
        self._by_identity: dict[str, _Fit] = {}
        self._by_service: dict[str, _Fit] = {}

    def expected(self, identity: str, service: str, relative_pace: float, tokens: float) -> Millis:
        """Return the expected time, without samples by the service's line and the pace."""
        fit = self._by_identity.get(identity)
        if fit is not None:
            line = fit.line
            return line.base + line.per_token * tokens
        known = self._by_service.get(service)
        if known is not None:
            line = known.line
            return (line.base + line.per_token * tokens) * relative_pace
        return (INITIAL_BASE + INITIAL_PER_TOKEN * tokens) * relative_pace

    def add_sample(
        self,
        identity: str,
        service: str,
        *,
        tokens: float,
        time: Millis,
        relative_pace: float,
        now: Millis,
    ) -> None:
        """Add the first event of a request that found a free slot.

        Args:
            identity: Identity of the upstream.
            service: Its service.
            tokens: Prompt tokens that the upstream probably had to read.
            time: Time from the placement to the first event.
            relative_pace: Pace of the upstream by the mean of its service.
            now: Current time.
        """
        expected = self.expected(identity, service, relative_pace, tokens)
        time = min(time, expected * MAX_SAMPLE_RATIO)
        of_service = self._by_service.setdefault(service, _Fit())
        of_service.add(tokens, time, of_service.line, now)
        fit = self._by_identity.get(identity)
        if fit is None:
            fit = self._by_identity[identity] = _Fit()
        scaled = of_service.line
        scaled = Line(scaled.base * relative_pace, scaled.per_token * relative_pace)
        fit.add(tokens, time, scaled, now)

    def retain_only(self, identities: set[str], now: Millis) -> None:
        """Drop other upstreams, and those without a sample for `ESTIMATE_TTL`."""
        for identity, fit in list(self._by_identity.items()):
            if identity not in identities or now - fit.updated_at >= ESTIMATE_TTL:
                del self._by_identity[identity]
