"""Read files of JSON with comments and validate them, reporting every problem at once.

The desired state and the settings of processes use this module; each converts a `Problem` to its
own error type. Values that direct entries read are validated under the same rules by
`carobspool_core.records`.
"""

from __future__ import annotations

import types
from collections.abc import Sequence
from typing import Any, TypeVar, Union, get_args, get_origin

from pydantic import BaseModel, ConfigDict, ValidationError
from returns.result import Failure, Result, Success

from carobspool_core._ports import Json
from carobspool_core.problems import (
    Problem,
    UnusableRecordError,
    describe_problem,
    join_path,
    read_json,
)

__all__ = [
    "BorderModel",
    "Problem",
    "UnusableRecordError",
    "join_path",
    "read_json",
    "validate",
]


class BorderModel(BaseModel):
    """Base of the models that validate external input.

    Values are not coerced; unknown keys, NaN and infinities are refused.
    """

    model_config = ConfigDict(strict=True, extra="forbid", frozen=True, allow_inf_nan=False)


AnyModel = TypeVar("AnyModel", bound=BorderModel)


def validate(
    model: type[AnyModel], value: Json, *, file: str = ""
) -> Result[AnyModel, tuple[Problem, ...]]:
    """Validate a JSON value against a model.

    Args:
        model: The model.
        value: The JSON value.
        file: File name that the problems show.

    Returns:
        An instance of the model, or every problem that was found.

    Since 0.1.
    """

    def known_keys(location: Sequence[str | int]) -> Sequence[str]:
        owner = _model_at_path(model, location)
        return sorted(owner.model_fields) if owner is not None else ()

    try:
        return Success(model.model_validate(value))
    except ValidationError as error:
        details = error.errors(include_url=False)
        return Failure(tuple(describe_problem(dict(each), file, known_keys) for each in details))


def _model_at_path(model: type[BaseModel], location: Sequence[str | int]) -> type[BaseModel] | None:
    owner: type[BaseModel] | None = model
    for part in location:
        if isinstance(part, int) or owner is None:
            continue
        field = owner.model_fields.get(part)
        owner = _model_in_annotation(field.annotation) if field else None
    return owner


def _model_in_annotation(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    if get_origin(annotation) not in (list, dict, Union, types.UnionType):
        return None
    for argument in get_args(annotation):
        found = _model_in_annotation(argument)
        if found:
            return found
    return None
