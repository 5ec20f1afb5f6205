"""Validation of the input of a direct entry: its settings, stored records, messages of peers.

Models are annotated classes, like those of `carobspool_core.border`, and are checked by the same
engine (pydantic-core) under the same rules: values are not coerced, and NaN and infinities are
refused. They differ in when validators are built. A process that restarts after a crash serves no
requests while it imports modules, so a validator is built when its model is first used, and
pydantic, which derives schemas, documentation and serializers from models, is not loaded.
"""

from carobspool_core.records._declaration import (
    JSON_VALUE,
    Bounds,
    Field,
    Record,
    UnionBy,
    ValidatedBy,
    field,
    fields_of,
)
from carobspool_core.records._depth import MAX_JSON_DEPTH, is_too_deep
from carobspool_core.records._reading import read_record, validate

__all__ = [
    "JSON_VALUE",
    "MAX_JSON_DEPTH",
    "ValidatedBy",
    "Field",
    "Bounds",
    "Record",
    "UnionBy",
    "field",
    "fields_of",
    "is_too_deep",
    "read_record",
    "validate",
]
