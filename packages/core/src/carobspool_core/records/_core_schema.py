"""Conversion of models to schemas of pydantic-core."""

from __future__ import annotations

import types
from collections.abc import Callable
from typing import Annotated, Any, Literal, Union, get_args, get_origin

from carobspool_core.records._declaration import (
    JSON_VALUE,
    Bounds,
    Field,
    Record,
    UnionBy,
    ValidatedBy,
    fields_of,
)
from carobspool_core.records._depth import bounded_depth

Schema = dict[str, Any]

_SCALAR_TYPES: dict[Any, str] = {
    Any: "any",
    bool: "bool",
    bytes: "bytes",
    float: "float",
    int: "int",
    str: "str",
    types.NoneType: "none",
}
_INNER_VALUE_SCHEMA: Schema = {"type": "definition-ref", "schema_ref": "json"}
_JSON_VALUE_SCHEMA: Schema = {
    "type": "function-before",
    "function": {"type": "no-info", "function": bounded_depth},
    "schema": _INNER_VALUE_SCHEMA,
}
_JSON_DEFINITION: Schema = {
    "type": "tagged-union",
    "ref": "json",
    "discriminator": lambda value: type(value).__name__,
    "custom_error_type": "invalid-json-value",
    "custom_error_message": "input was not a valid JSON value",
    "choices": {
        "NoneType": {"type": "none"},
        "bool": {"type": "bool"},
        # The configuration of a model does not apply to definitions.
        "float": {"type": "float", "allow_inf_nan": False},
        "int": {"type": "int"},
        "str": {"type": "str"},
        "list": {"type": "list", "items_schema": _INNER_VALUE_SCHEMA},
        "dict": {
            "type": "dict",
            "keys_schema": {"type": "str"},
            "values_schema": _INNER_VALUE_SCHEMA,
        },
    },
}


def schema_of(model: type[Record]) -> Schema:
    """Return the complete pydantic-core schema of a model, with the definitions it refers to."""
    schema = _model_schema(model)
    return {"type": "definitions", "schema": schema, "definitions": [_JSON_DEFINITION]}


def _model_schema(model: type[Record]) -> Schema:
    fields = {name: _field_schema(*declared) for name, declared in fields_of(model).items()}
    return {
        "type": "model",
        "cls": model,
        "schema": {"type": "model-fields", "model_name": model.__name__, "fields": fields},
        "config": {
            "title": model.__name__,
            "strict": True,
            "allow_inf_nan": False,
            "extra_fields_behavior": model.unknown_keys,
        },
    }


def _field_schema(annotation: Any, declared: Field) -> Schema:
    schema = _with_bounds(_type_schema(annotation), declared.bounds)
    if not declared.required:
        # Without a copy, all records would share one mutable default.
        copy_default = isinstance(declared.default, dict | list)
        schema = {
            "type": "default",
            "schema": schema,
            "default": declared.default,
            "copy_default": copy_default,
        }
    field_schema = {"type": "model-field", "schema": schema}
    if declared.alias is not None:
        field_schema["validation_alias"] = declared.alias
    return field_schema


def _type_schema(annotation: Any) -> Schema:
    if annotation in _SCALAR_TYPES:
        return {"type": _SCALAR_TYPES[annotation]}
    if isinstance(annotation, type) and issubclass(annotation, Record):
        return _model_schema(annotation)
    convert = _BY_ORIGIN.get(get_origin(annotation))
    if convert is None:
        raise TypeError(f"unsupported type of a record field: {annotation!r}")
    return convert(annotation)


def _annotated_schema(annotation: Any) -> Schema:
    inner, *metadata = get_args(annotation)
    for item in metadata:
        if item is JSON_VALUE:
            return _JSON_VALUE_SCHEMA
        if isinstance(item, UnionBy):
            return _tagged_union_schema(inner, item.field)
        if isinstance(item, ValidatedBy) and item.mode == "plain":
            return {"type": "function-plain", "function": _function_schema(item)}
    schema = _type_schema(inner)
    for item in metadata:
        if isinstance(item, Bounds):
            schema = _with_bounds(schema, item)
        if isinstance(item, ValidatedBy):
            schema = {
                "type": f"function-{item.mode}",
                "function": _function_schema(item),
                "schema": schema,
            }
    return schema


def _function_schema(item: ValidatedBy) -> Schema:
    return {"type": "no-info", "function": item.function}


def _tagged_union_schema(union: Any, name: str) -> Schema:
    choices: Schema = {}
    for member in get_args(union):
        annotation, _ = fields_of(member)[name]
        choices.update((tag, _model_schema(member)) for tag in get_args(annotation))
    return {"type": "tagged-union", "discriminator": name, "choices": choices}


def _with_bounds(schema: Schema, bounds: Bounds) -> Schema:
    constraints = bounds.as_dict()
    if not constraints:
        return schema
    if schema["type"] == "nullable":
        return {**schema, "schema": _with_bounds(schema["schema"], bounds)}
    return {**schema, **constraints}


def _union_schema(annotation: Any) -> Schema:
    members = [each for each in get_args(annotation) if each is not types.NoneType]
    if len(members) == 1:
        schema = _type_schema(members[0])
    else:
        schema = {"type": "union", "choices": [_type_schema(each) for each in members]}
    if len(members) < len(get_args(annotation)):
        return {"type": "nullable", "schema": schema}
    return schema


def _literal_schema(annotation: Any) -> Schema:
    return {"type": "literal", "expected": list(get_args(annotation))}


def _list_schema(annotation: Any) -> Schema:
    return {"type": "list", "items_schema": _type_schema(get_args(annotation)[0])}


def _dict_schema(annotation: Any) -> Schema:
    keys, values = get_args(annotation)
    return {
        "type": "dict",
        "keys_schema": _type_schema(keys),
        "values_schema": _type_schema(values),
    }


_BY_ORIGIN: dict[Any, Callable[[Any], Schema]] = {
    Annotated: _annotated_schema,
    Literal: _literal_schema,
    Union: _union_schema,
    types.UnionType: _union_schema,
    list: _list_schema,
    dict: _dict_schema,
}
