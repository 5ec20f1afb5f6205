"""Open-loop arrival times: requests arrive whether or not earlier requests have finished."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Annotated, Literal

from pydantic import Field

from carobspool_standins._settings import Settings

Rate = Annotated[float, Field(ge=0)]


class Steady(Settings):
    """Constant rate of ``rate`` requests per second."""

    kind: Literal["steady"]
    rate: Rate


class OnOff(Settings):
    """Bursts of ``on_s`` seconds at ``rate``, separated by ``off_s`` seconds at ``idle_rate``."""

    kind: Literal["on_off"]
    rate: Rate
    on_s: float = Field(default=3.0, gt=0)
    off_s: float = Field(default=9.0, ge=0)
    idle_rate: Rate = 0.0


class Ramp(Settings):
    """Rate that grows linearly from ``start_rate`` to ``rate`` over the whole run."""

    kind: Literal["ramp"]
    rate: Rate
    start_rate: Rate = 0.0


Arrivals = Annotated[Steady | OnOff | Ramp, Field(discriminator="kind")]


def rate_function(arrivals: Steady | OnOff | Ramp, seconds: float) -> Callable[[float], float]:
    """Return the requests per second as a function of the seconds since the start.

    Args:
        arrivals: Arrival pattern.
        seconds: Length of the run.
    """
    if isinstance(arrivals, Steady):
        return lambda _at: arrivals.rate
    if isinstance(arrivals, Ramp):
        growth = (arrivals.rate - arrivals.start_rate) / seconds
        return lambda at: arrivals.start_rate + growth * at
    period = arrivals.on_s + arrivals.off_s
    return lambda at: arrivals.rate if at % period < arrivals.on_s else arrivals.idle_rate


def arrival_times(
    arrivals: Steady | OnOff | Ramp, seconds: float, rng: random.Random, *, factor: float = 1.0
) -> list[float]:
    """Return the arrivals of a Poisson process of varying rate, in seconds from the start.

    Args:
        arrivals: Arrival pattern.
        seconds: Length of the run.
        rng: Seeded random number generator.
        factor: Factor by which all rates are multiplied.
    """
    rate = rate_function(arrivals, seconds)
    max_rate = max(
        arrivals.rate, getattr(arrivals, "idle_rate", 0), getattr(arrivals, "start_rate", 0)
    )
    max_rate *= factor
    times: list[float] = []
    if max_rate <= 0:
        return times
    at = 0.0
    while True:
        at += rng.expovariate(max_rate)
        if at >= seconds:
            return times
        # Thinning: candidates arrive at the maximum rate, and each is accepted with probability
        # current rate / maximum rate.
        if rng.random() * max_rate < rate(at) * factor:
            times.append(at)
