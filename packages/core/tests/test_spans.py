"""Tests of span operations against sets of integers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from carobspool_core import span_indexes, spans_of, spans_overlap, subtract_spans, unite_spans

INDEXES = st.sets(st.integers(min_value=0, max_value=30))


@given(INDEXES, INDEXES)
def test_spans_agree_with_sets(first: set[int], second: set[int]) -> None:
    """Union, difference and overlap agree with those of the sets of indexes."""
    left, right = spans_of(first), spans_of(second)
    assert list(span_indexes(left)) == sorted(first)
    assert unite_spans(left, right) == spans_of(first | second)
    assert subtract_spans(left, right) == spans_of(first - second)
    assert spans_overlap(left, right) == bool(first & second)
