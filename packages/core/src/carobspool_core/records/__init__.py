"""Validation of what a direct entry reads: its settings, records of the store, messages of peers.

Models are classes with annotations, like those of `carobspool_core.border`, and are checked by the
same engine under the same rules: values are not coerced, and NaN and infinities are refused. The
difference is when they are built. A process that starts again after a crash serves nobody while it
imports, so nothing is built before a model is first used, and the library that derives schemas,
documentation and serializers from models is not loaded.
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
from carobspool_core.records._reading import read_record, validate

__all__ = [
    "JSON_VALUE",
    "ValidatedBy",
    "Field",
    "Bounds",
    "Record",
    "UnionBy",
    "field",
    "fields_of",
    "read_record",
    "validate",
]
