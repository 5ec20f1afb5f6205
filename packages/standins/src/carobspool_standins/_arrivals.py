"""Open-loop arrivals: instants at which requests come, whatever became of the ones before."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Annotated, Literal

from pydantic import Field

from carobspool_standins._settings import Settings

Rate = Annotated[float, Field(ge=0)]


class Steady(Settings):
    """A constant rate of ``rate`` a second."""

    kind: Literal["steady"]
    rate: Rate


class OnOff(Settings):
    """Bursts of ``on_s`` seconds at ``rate``, with ``off_s`` seconds at ``idle_rate`` between."""

    kind: Literal["on_off"]
    rate: Rate
    on_s: float = Field(default=3.0, gt=0)
    off_s: float = Field(default=9.0, ge=0)
    idle_rate: Rate = 0.0


class Ramp(Settings):
    """A rate that grows evenly from ``start_rate`` to ``rate`` over the whole run."""

    kind: Literal["ramp"]
    rate: Rate
    start_rate: Rate = 0.0


Arrivals = Annotated[Steady | OnOff | Ramp, Field(discriminator="kind")]


def rate_function(arrivals: Steady | OnOff | Ramp, seconds: float) -> Callable[[float], float]:
    """Return the rate as a function of the time since the start.

    Args:
        arrivals: Their pattern.
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
    arrivals: Steady | OnOff | Ramp, seconds: float, source: random.Random, *, factor: float = 1.0
) -> list[float]:
    """Return the instants of a Poisson process with a changing rate, in seconds from the start.

    Args:
        arrivals: Pattern of the rate.
        seconds: Length of the run.
        source: Seeded random numbers.
        factor: Factor on all rates.
    """
    rate = rate_function(arrivals, seconds)
    highest = max(
        arrivals.rate, getattr(arrivals, "idle_rate", 0), getattr(arrivals, "start_rate", 0)
    )
    highest *= factor
    found: list[float] = []
    if highest <= 0:
        return found
    at = 0.0
    while True:
        at += source.expovariate(highest)
        if at >= seconds:
            return found
        # Thinning: candidates come at the highest rate and are taken with the present share of it.
        if source.random() * highest < rate(at) * factor:
            found.append(at)
