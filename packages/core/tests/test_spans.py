"""Tests of span operations against sets of integers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from carobspool_core import (
    iterate_indexes,
    spans_from_indexes,
    spans_overlap,
    subtract_spans,
    union_spans,
)

INDEXES = st.sets(st.integers(min_value=0, max_value=30))


@given(INDEXES, INDEXES)
def test_spans_agree_with_sets(first: set[int], second: set[int]) -> None:
    """Union, difference and overlap agree with those of the sets of indexes."""
    left, right = spans_from_indexes(first), spans_from_indexes(second)
    assert list(iterate_indexes(left)) == sorted(first)
    assert union_spans(left, right) == spans_from_indexes(first | second)
    assert subtract_spans(left, right) == spans_from_indexes(first - second)
    assert spans_overlap(left, right) == bool(first & second)
