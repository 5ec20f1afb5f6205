"""Validation of JSON values against models."""

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
    """Validate a JSON value against a model.

    Args:
        model: The model.
        value: The JSON value.
        file: File name that the problems show.

    Returns:
        The record, or every problem that was found.

    Since 0.3.
    """
    try:
        return Success(_validator(model).validate_python(value))
    except ValidationError as error:
        return Failure(_problems_of(model, error, file))


def read_record(model: type[AnyRecord], value: Json) -> AnyRecord:
    """Validate a record that another process wrote, and return it.

    Args:
        model: The model.
        value: The record as JSON.

    Raises:
        UnusableRecordError: The value does not match the model.

    Since 0.2.
    """
    try:
        record: AnyRecord = _validator(model).validate_python(value)
    except ValidationError as error:
        raise UnusableRecordError(_problems_of(model, error, "")) from error
    return record


def _validator(model: type[Record]) -> SchemaValidator:
    validator = _VALIDATORS.get(model)
    if validator is None:
        # Two threads may both build the validator; either instance may be used.
        validator = _VALIDATORS[model] = SchemaValidator(schema_of(model))
    return validator


def _problems_of(model: type[Record], error: ValidationError, file: str) -> tuple[Problem, ...]:
    def known_keys(location: Sequence[str | int]) -> Sequence[str]:
        return _keys_at(model, location)

    details = error.errors(include_url=False)
    return tuple(describe_problem(dict(each), file, known_keys) for each in details)


def _keys_at(model: type[Record], location: Sequence[str | int]) -> Sequence[str]:
    owner: type[Record] | None = model
    for part in location:
        if isinstance(part, int) or owner is None:
            continue
        declared = fields_of(owner).get(part)
        owner = _model_in_annotation(declared[0]) if declared else None
    return sorted(fields_of(owner)) if owner is not None else ()


def _model_in_annotation(annotation: object) -> type[Record] | None:
    if isinstance(annotation, type) and issubclass(annotation, Record):
        return annotation
    for argument in get_args(annotation):
        found = _model_in_annotation(argument)
        if found is not None:
            return found
    return None
