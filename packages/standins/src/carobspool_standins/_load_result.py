"""Load generator results: HDR histograms and counts that can be merged across processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from hdrh.histogram import HdrHistogram

MAX_DURATION_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
QUANTILES = (50.0, 95.0, 99.0)


class Measure(StrEnum):
    """Measured duration, recorded in a histogram in microseconds.

    Attributes:
        FIRST_TOKEN: From the planned send time to the first token.
        BETWEEN_TOKENS: Between consecutive tokens of an answer.
        WHOLE_ANSWER: From the planned send time to the end of a complete chat answer.
        SERVICE_CALL: From the planned send time to the end of a complete service call.
        REFUSAL: From the planned send time to the end of a response whose status is not 200.
        LATENESS: From the planned to the actual send time, a delay of the load generator itself.
    """

    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    WHOLE_ANSWER = "whole_answer"
    SERVICE_CALL = "service_call"
    REFUSAL = "refusal"
    LATENESS = "lateness"


def new_histogram() -> Any:
    """Return an empty histogram of durations from 1 µs to an hour."""
    return HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True, kw_only=True)
class CallerTokens:
    """Answer tokens that a caller requested, and those it received in complete answers."""

    requested: int = 0
    delivered: int = 0


@dataclass(slots=True, kw_only=True)
class LoadResult:
    """Measurements of one load generator process.

    Attributes:
        histograms: Encoded histograms by measure.
        endings: Number of requests by kind and outcome: ``whole``, ``broken``, ``timeout``,
            ``unfinished``, or the status and error code of a refusal.
        refusals_with_retry_after: Number of refusals that have a Retry-After header.
        callers: Answer tokens by the index of the caller.
        sent: Number of requests sent after the warm-up.
    """

    histograms: dict[Measure, bytes] = field(default_factory=dict)
    endings: Counter[str] = field(default_factory=Counter)
    refusals_with_retry_after: int = 0
    callers: dict[int, CallerTokens] = field(default_factory=dict)
    sent: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSummary:
    """Merged measurements of all load generator processes."""

    histograms: Mapping[Measure, Any]
    endings: Mapping[str, int]
    refusals_with_retry_after: int
    callers: Mapping[int, CallerTokens]
    sent: int

    def quantiles_ms(self, measure: Measure) -> dict[str, float]:
        """Return quantiles and maximum of a measure in milliseconds; empty if none is recorded."""
        histogram = self.histograms[measure]
        if histogram.get_total_count() == 0:
            return {}
        values = {
            f"p{quantile:g}": histogram.get_value_at_percentile(quantile) / 1000.0
            for quantile in QUANTILES
        }
        return {**values, "max": histogram.get_max_value() / 1000.0}


def merge_results(results: Iterable[LoadResult]) -> LoadSummary:
    """Merge the measurements of several load generator processes."""
    histograms = {measure: new_histogram() for measure in Measure}
    endings: Counter[str] = Counter()
    callers: dict[int, CallerTokens] = {}
    sent = 0
    with_retry_after = 0
    for result in results:
        for measure, encoded in result.histograms.items():
            histograms[measure].decode_and_add(encoded)
        endings.update(result.endings)
        sent += result.sent
        with_retry_after += result.refusals_with_retry_after
        for number, tokens in result.callers.items():
            total = callers.setdefault(number, CallerTokens())
            total.requested += tokens.requested
            total.delivered += tokens.delivered
    return LoadSummary(
        histograms=histograms,
        endings=endings,
        refusals_with_retry_after=with_retry_after,
        callers=callers,
        sent=sent,
    )


def jain_index(shares: Iterable[float]) -> float:
    """Return Jain's fairness index: 1 for equal shares, 1/n if only one of n is not zero."""
    values = list(shares)
    squares = sum(value * value for value in values)
    if not values or squares == 0:
        return 1.0
    return sum(values) ** 2 / (len(values) * squares)
