"""Sets of item indexes as sorted, disjoint, half-open spans: a finished chunk is one span."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

Span = tuple[int, int]
Spans = tuple[Span, ...]


def spans_of(indexes: Iterable[int]) -> Spans:
    """Return the spans that hold exactly ``indexes``."""
    merged: list[Span] = []
    for index in sorted(set(indexes)):
        if merged and merged[-1][1] == index:
            merged[-1] = (merged[-1][0], index + 1)
            continue
        merged.append((index, index + 1))
    return tuple(merged)


def span_indexes(spans: Spans) -> Iterator[int]:
    """Yield each index in ascending order."""
    for start, stop in spans:
        yield from range(start, stop)


def span_count(spans: Spans) -> int:
    """Return how many indexes the spans hold."""
    return sum(stop - start for start, stop in spans)


def unite_spans(first: Spans, second: Spans) -> Spans:
    """Return the spans of the indexes that stand in either."""
    merged: list[Span] = []
    for start, stop in sorted([*first, *second]):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(stop, merged[-1][1]))
            continue
        merged.append((start, stop))
    return tuple(merged)


def subtract_spans(first: Spans, second: Spans) -> Spans:
    """Return the spans of the indexes that stand in ``first`` and not in ``second``."""
    left: list[Span] = []
    for start, stop in first:
        position = start
        for low, high in second:
            if high <= position or low >= stop:
                continue
            if low > position:
                left.append((position, low))
            position = high
        if position < stop:
            left.append((position, stop))
    return tuple(left)


def spans_overlap(first: Spans, second: Spans) -> bool:
    """Tell whether an index stands in both."""
    return any(start < high and low < stop for start, stop in first for low, high in second)
