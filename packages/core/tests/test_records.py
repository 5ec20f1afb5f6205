"""Models of `carobspool_core.records`."""

from __future__ import annotations

import math
from typing import Annotated, Any, Literal

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic import Field, JsonValue
from returns.pipeline import is_successful

from carobspool_core import border
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import (
    JSON_VALUE,
    Bounds,
    Record,
    UnionBy,
    ValidatedBy,
    field,
    read_record,
    validate,
)


def _even(value: Any) -> int:
    if isinstance(value, int) and value % 2 == 0:
        return value
    raise ValueError("an even number")


class _InnerRecord(Record, unknown_keys="forbid"):
    name: Annotated[str, Bounds(min_length=1, max_length=3)]
    share: float = field(ge=0, le=1)


class _OuterRecord(Record, unknown_keys="forbid"):
    count: int = field(ge=0, le=9)
    kind: Literal["a", "b"]
    inner: _InnerRecord | None = None
    rows: list[Annotated[list[int], Bounds(min_length=1, max_length=2)]] = field(
        alias="r", default=[]
    )
    tags: dict[str, bool] = {}
    value: Annotated[Any, JSON_VALUE] = None
    mixed: str | int | float = ""
    limit: float | None = field(default=None, gt=0)
    node: str = field(default="x", pattern="^[a-z]+$")


class _InnerModel(border.BorderModel):
    name: str = Field(min_length=1, max_length=3)
    share: float = Field(ge=0, le=1)


class _OuterModel(border.BorderModel):
    count: int = Field(ge=0, le=9)
    kind: Literal["a", "b"]
    inner: _InnerModel | None = None
    rows: list[Annotated[list[int], Field(min_length=1, max_length=2)]] = Field(
        alias="r", default=[]
    )
    tags: dict[str, bool] = {}
    value: JsonValue = None
    mixed: str | int | float = ""
    limit: float | None = Field(default=None, gt=0)
    node: str = Field(default="x", pattern="^[a-z]+$")


_SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-2, 12),
    st.floats(),
    st.sampled_from(["", "a", "b", "abcd", "A", "\ud800"]),
    st.binary(max_size=2),
)
_VALUES = st.recursive(
    _SCALARS,
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.sampled_from(["name", "share", "q"]) | st.integers(0, 2), inner),
    max_leaves=6,
)
_RECORDS = st.dictionaries(
    st.sampled_from(
        ["count", "kind", "inner", "r", "tags", "value", "mixed", "limit", "node", "other"]
    ),
    _VALUES,
)


@given(_RECORDS | _VALUES, st.integers(-1, 10), st.sampled_from(["a", "b", "c"]))
def test_records_refuse_what_declared_files_refuse(drawn: Any, count: int, kind: str) -> None:
    """Two ways of validation that differ would take from a peer what a file may not hold."""
    value = {"count": count, "kind": kind, **drawn} if isinstance(drawn, dict) else drawn
    found, expected = validate(_OuterRecord, value), border.validate(_OuterModel, value)
    assert is_successful(found) == is_successful(expected)
    if not is_successful(expected):
        problems = [str(each).replace("Record", "Model") for each in found.failure()]
        assert problems == [str(each) for each in expected.failure()]
        return
    read, model = found.unwrap(), expected.unwrap()
    for name in _OuterModel.model_fields:
        if name != "inner":
            assert _same(getattr(read, name), getattr(model, name))


def _same(one: Any, other: Any) -> bool:
    return type(one) is type(other) and (one == other or repr(one) == repr(other))


def test_a_field_says_what_is_unusable() -> None:
    """A checking function's words reach the reader of the log, with the place."""

    class Sized(Record):
        size: Annotated[int, ValidatedBy(_even)]

    with pytest.raises(UnusableRecordError, match="size: found 3; allowed: an even number"):
        read_record(Sized, {"size": 3})
    assert read_record(Sized, {"size": 4, "unknown": True}).size == 4


class _Get(Record):
    op: Literal["get"]
    key: str


class _Put(Record):
    op: Literal["put"]
    value: int


class _Call(Record):
    call: Annotated[_Get | _Put, UnionBy("op")]


def test_a_union_is_told_apart_by_a_field() -> None:
    """A call with another call's fields is refused, not read as that one."""
    assert isinstance(read_record(_Call, {"call": {"op": "put", "value": 1}}).call, _Put)
    with pytest.raises(UnusableRecordError):
        read_record(_Call, {"call": {"op": "get", "value": 1}})


def test_records_share_no_default_and_cannot_be_changed() -> None:
    """A list that all records share would carry one peer's rows into the next one's."""
    first = read_record(_OuterRecord, {"count": 1, "kind": "a"})
    first.rows.append([1])
    assert read_record(_OuterRecord, {"count": 1, "kind": "a"}).rows == []
    with pytest.raises(AttributeError):
        first.count = 2  # type: ignore[misc]


def test_numbers_are_finite() -> None:
    """NaN passes every comparison that follows."""
    for value in (math.nan, math.inf):
        with pytest.raises(UnusableRecordError):
            read_record(_InnerRecord, {"name": "a", "share": value})


def test_a_record_made_in_code_has_its_defaults() -> None:
    """A field that was left out would read as its declaration."""
    made = _OuterRecord(count=1, kind="a")
    assert (made.rows, made.limit, made.node) == ([], None, "x")
    made.rows.append([1])
    assert _OuterRecord(count=1, kind="a").rows == []
    with pytest.raises(TypeError, match="needs kind"):
        _OuterRecord(count=1)
