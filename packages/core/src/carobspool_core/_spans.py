"""Sets of item indexes as sorted, disjoint, half-open spans.

A completed chunk takes a single span, however many items it has.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

Span = tuple[int, int]
Spans = tuple[Span, ...]


def spans_from_indexes(indexes: Iterable[int]) -> Spans:
    """Return the spans that contain exactly ``indexes``."""
    merged: list[Span] = []
    for index in sorted(set(indexes)):
        if merged and merged[-1][1] == index:
            merged[-1] = (merged[-1][0], index + 1)
            continue
        merged.append((index, index + 1))
    return tuple(merged)


def iterate_indexes(spans: Spans) -> Iterator[int]:
    """Yield the indexes in ascending order."""
    for start, stop in spans:
        yield from range(start, stop)


def count_indexes(spans: Spans) -> int:
    """Return the number of indexes in ``spans``."""
    return sum(stop - start for start, stop in spans)


def union_spans(first: Spans, second: Spans) -> Spans:
    """Return the union of two sets of spans."""
    merged: list[Span] = []
    for start, stop in sorted([*first, *second]):
        if merged and start <= merged[-1][1]:
            merged[-1] = (merged[-1][0], max(stop, merged[-1][1]))
            continue
        merged.append((start, stop))
    return tuple(merged)


def subtract_spans(first: Spans, second: Spans) -> Spans:
    """Return the spans of the indexes in ``first`` but not in ``second``."""
    remaining: list[Span] = []
    for start, stop in first:
        position = start
        for low, high in second:
            if high <= position or low >= stop:
                continue
            if low > position:
                remaining.append((position, low))
            position = high
        if position < stop:
            remaining.append((position, stop))
    return tuple(remaining)


def spans_overlap(first: Spans, second: Spans) -> bool:
    """Return whether ``first`` and ``second`` have an index in common."""
    return any(start < high and low < stop for start, stop in first for low, high in second)
