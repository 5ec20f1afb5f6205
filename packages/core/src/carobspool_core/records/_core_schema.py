"""Schemas of models in the words of the validation engine."""

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

Schema = dict[str, Any]

_PLAIN: dict[Any, str] = {
    Any: "any",
    bool: "bool",
    bytes: "bytes",
    float: "float",
    int: "int",
    str: "str",
    types.NoneType: "none",
}
_JSON_VALUE: Schema = {"type": "definition-ref", "schema_ref": "json"}
_JSON_DEFINITION: Schema = {
    "type": "tagged-union",
    "ref": "json",
    "discriminator": lambda value: type(value).__name__,
    "custom_error_type": "invalid-json-value",
    "custom_error_message": "input was not a valid JSON value",
    "choices": {
        "NoneType": {"type": "none"},
        "bool": {"type": "bool"},
        "float": {"type": "float"},
        "int": {"type": "int"},
        "str": {"type": "str"},
        "list": {"type": "list", "items_schema": _JSON_VALUE},
        "dict": {"type": "dict", "keys_schema": {"type": "str"}, "values_schema": _JSON_VALUE},
    },
}


def schema_of(model: type[Record]) -> Schema:
    """Return the whole schema of a model."""
    schema = _model(model)
    return {"type": "definitions", "schema": schema, "definitions": [_JSON_DEFINITION]}


def _model(model: type[Record]) -> Schema:
    fields = {name: _field(*declared) for name, declared in fields_of(model).items()}
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


def _field(annotation: Any, declared: Field) -> Schema:
    schema = _bounded(_schema(annotation), declared.bounds)
    if not declared.required:
        # A mutable default is shared by all that is read unless it is copied.
        copied = isinstance(declared.default, dict | list)
        schema = {
            "type": "default",
            "schema": schema,
            "default": declared.default,
            "copy_default": copied,
        }
    found = {"type": "model-field", "schema": schema}
    if declared.alias is not None:
        found["validation_alias"] = declared.alias
    return found


def _schema(annotation: Any) -> Schema:
    if annotation in _PLAIN:
        return {"type": _PLAIN[annotation]}
    if isinstance(annotation, type) and issubclass(annotation, Record):
        return _model(annotation)
    read = _BY_ORIGIN.get(get_origin(annotation))
    if read is None:
        raise TypeError(f"records have no fields of type {annotation!r}")
    return read(annotation)


def _annotated(annotation: Any) -> Schema:
    inner, *marks = get_args(annotation)
    for mark in marks:
        if mark is JSON_VALUE:
            return _JSON_VALUE
        if isinstance(mark, UnionBy):
            return _tagged_union(inner, mark.field)
        if isinstance(mark, ValidatedBy) and mark.when == "plain":
            return {"type": "function-plain", "function": _function(mark)}
    schema = _schema(inner)
    for mark in marks:
        if isinstance(mark, Bounds):
            schema = _bounded(schema, mark)
        if isinstance(mark, ValidatedBy):
            schema = {
                "type": f"function-{mark.when}",
                "function": _function(mark),
                "schema": schema,
            }
    return schema


def _function(mark: ValidatedBy) -> Schema:
    return {"type": "no-info", "function": mark.function}


def _tagged_union(union: Any, name: str) -> Schema:
    choices: Schema = {}
    for member in get_args(union):
        annotation, _ = fields_of(member)[name]
        choices.update((tag, _model(member)) for tag in get_args(annotation))
    return {"type": "tagged-union", "discriminator": name, "choices": choices}


def _bounded(schema: Schema, bounds: Bounds) -> Schema:
    given = bounds.given()
    if not given:
        return schema
    if schema["type"] == "nullable":
        return {**schema, "schema": _bounded(schema["schema"], bounds)}
    return {**schema, **given}


def _union(annotation: Any) -> Schema:
    members = [each for each in get_args(annotation) if each is not types.NoneType]
    if len(members) == 1:
        schema = _schema(members[0])
    else:
        schema = {"type": "union", "choices": [_schema(each) for each in members]}
    if len(members) < len(get_args(annotation)):
        return {"type": "nullable", "schema": schema}
    return schema


def _literal(annotation: Any) -> Schema:
    return {"type": "literal", "expected": list(get_args(annotation))}


def _list(annotation: Any) -> Schema:
    return {"type": "list", "items_schema": _schema(get_args(annotation)[0])}


def _dict(annotation: Any) -> Schema:
    keys, values = get_args(annotation)
    return {"type": "dict", "keys_schema": _schema(keys), "values_schema": _schema(values)}


_BY_ORIGIN: dict[Any, Callable[[Any], Schema]] = {
    Annotated: _annotated,
    Literal: _literal,
    Union: _union,
    types.UnionType: _union,
    list: _list,
    dict: _dict,
}
