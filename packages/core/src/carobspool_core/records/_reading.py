"""Reading of a value by its model."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar, get_args

from pydantic_core import SchemaValidator, ValidationError
from returns.result import Failure, Result, Success

from carobspool_core._ports import Json
from carobspool_core.problems import Problem, UnusableRecordError, describe_problem
from carobspool_core.records._core_schema import schema_of
from carobspool_core.records._declaration import Record, fields_of

AnyRecord = TypeVar("AnyRecord", bound=Record)
_VALIDATORS: dict[type[Record], SchemaValidator] = {}


def validate(
    model: type[AnyRecord], value: Json, *, file: str = ""
) -> Result[AnyRecord, tuple[Problem, ...]]:
    """Check a JSON value against a model.

    Args:
        model: The model.
        value: What was read.
        file: Name that the problems show.

    Since 0.3.
    """
    try:
        return Success(_validator(model).validate_python(value))
    except ValidationError as error:
        return Failure(_problems(model, error, file))


def read_record(model: type[AnyRecord], value: Json) -> AnyRecord:
    """Check a record of another writer.

    Args:
        model: The model.
        value: What was read.

    Raises:
        UnusableRecordError: It is not one.

    Since 0.2.
    """
    try:
        found: AnyRecord = _validator(model).validate_python(value)
    except ValidationError as error:
        raise UnusableRecordError(_problems(model, error, "")) from error
    return found


def _validator(model: type[Record]) -> SchemaValidator:
    found = _VALIDATORS.get(model)
    if found is None:
        # Two threads may both build it; either result serves.
        found = _VALIDATORS[model] = SchemaValidator(schema_of(model))
    return found


def _problems(model: type[Record], error: ValidationError, file: str) -> tuple[Problem, ...]:
    def known_keys(place: Sequence[str | int]) -> Sequence[str]:
        return _keys_at(model, place)

    details = error.errors(include_url=False)
    return tuple(describe_problem(dict(each), file, known_keys) for each in details)


def _keys_at(model: type[Record], place: Sequence[str | int]) -> Sequence[str]:
    owner: type[Record] | None = model
    for part in place:
        if isinstance(part, int) or owner is None:
            continue
        declared = fields_of(owner).get(part)
        owner = _model_in(declared[0]) if declared else None
    return sorted(fields_of(owner)) if owner is not None else ()


def _model_in(annotation: object) -> type[Record] | None:
    if isinstance(annotation, type) and issubclass(annotation, Record):
        return annotation
    for argument in get_args(annotation):
        found = _model_in(argument)
        if found is not None:
            return found
    return None
