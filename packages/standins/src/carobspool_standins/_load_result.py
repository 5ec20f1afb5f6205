"""What a load generator measured: HDR histograms and counts, which add up over processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram

HIGHEST_US = 3_600_000_000
DIGITS = 3
QUANTILES = (50.0, 95.0, 99.0)


class Measure(StrEnum):
    """What is measured, each in a histogram of microseconds."""

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    WHOLE_ANSWER = "whole_answer"
    SERVICE_CALL = "service_call"
    REFUSAL = "refusal"
    LATENESS = "lateness"


def new_histogram() -> Any:
    """Return an empty histogram from 1 µs to an hour."""
    return HdrHistogram(1, HIGHEST_US, DIGITS)


@dataclass(slots=True, kw_only=True)
class CallerTokens:
    """Answer tokens that a caller asked for and got in whole answers."""

    asked: int = 0
    got: int = 0


@dataclass(slots=True, kw_only=True)
class LoadResult:
    """Measurements of one process.

    Attributes:
        histograms: Encoded histograms by measure.
        endings: How many requests ended in which way: ``whole``, ``broken``, ``timeout``,
            ``unfinished``, or status and code of a refusal.
        refusals_with_return: Refusals that tell when to come back.
        callers: Tokens by caller.
        sent: Requests sent in the counted time.
    """

    histograms: dict[Measure, bytes] = field(default_factory=dict)
    endings: Counter[str] = field(default_factory=Counter)
    refusals_with_return: int = 0
    callers: dict[int, CallerTokens] = field(default_factory=dict)
    sent: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSummary:
    """Measurements of all processes together."""

    histograms: Mapping[Measure, Any]
    endings: Mapping[str, int]
    refusals_with_return: int
    callers: Mapping[int, CallerTokens]
    sent: int

    def quantiles_ms(self, measure: Measure) -> dict[str, float]:
        """Return the quantiles of a measure in milliseconds; empty without measurements."""
        histogram = self.histograms[measure]
        if histogram.get_total_count() == 0:
            return {}
        values = {
            f"p{quantile:g}": histogram.get_value_at_percentile(quantile) / 1000.0
            for quantile in QUANTILES
        }
        return {**values, "max": histogram.get_max_value() / 1000.0}


def add_up(results: Iterable[LoadResult]) -> LoadSummary:
    """Return the measurements of several processes as one."""
    histograms = {measure: new_histogram() for measure in Measure}
    endings: Counter[str] = Counter()
    callers: dict[int, CallerTokens] = {}
    sent = 0
    with_return = 0
    for result in results:
        for measure, encoded in result.histograms.items():
            histograms[measure].decode_and_add(encoded)
        endings.update(result.endings)
        sent += result.sent
        with_return += result.refusals_with_return
        for number, tokens in result.callers.items():
            total = callers.setdefault(number, CallerTokens())
            total.asked += tokens.asked
            total.got += tokens.got
    return LoadSummary(
        histograms=histograms,
        endings=endings,
        refusals_with_return=with_return,
        callers=callers,
        sent=sent,
    )


def jain_index(shares: Iterable[float]) -> float:
    """Return Jain's fairness index of shares: 1 when all are equal, 1/n when one has all."""
    values = list(shares)
    squares = sum(value * value for value in values)
    if not values or squares == 0:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)
