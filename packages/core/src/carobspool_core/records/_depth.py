"""Bound of the nesting of JSON values.

Validators and encoders recurse on the C stack, whose overflow ends the process without an
exception. Their limits do not help: they assume the stack of a main thread, and those of entries
are much smaller. So a value is measured without recursion before it is passed on.
"""

from __future__ import annotations

from collections.abc import Iterable

from carobspool_core._ports import Json

MAX_JSON_DEPTH = 20
"""Levels of lists and objects in a value. Those of the platform have at most six. The validator
takes some 5 KB of stack for each level, and threads of an entry have 256 KB."""

_CONTAINERS = (list, dict)


def is_too_deep(value: Json) -> bool:
    """Return whether a value has more than `MAX_JSON_DEPTH` levels of lists and objects.

    A value that contains itself is too deep.

    Since 0.3.
    """
    level = [each for each in _children(value) if isinstance(each, _CONTAINERS)]
    for _ in range(MAX_JSON_DEPTH - 1):
        if not level:
            return False
        # By identity, since decoded CBOR may refer to the same list many times.
        inner = {
            id(child): child
            for each in level
            for child in _children(each)
            if isinstance(child, _CONTAINERS)
        }
        level = list(inner.values())
    return bool(level)


def bounded_depth(value: Json) -> Json:
    """Return the value.

    Raises:
        ValueError: It is too deep.

    Since 0.3.
    """
    if is_too_deep(value):
        raise ValueError(f"at most {MAX_JSON_DEPTH} levels of lists and objects")
    return value


def _children(value: Json) -> Iterable[Json]:
    if isinstance(value, dict):
        return value.values()
    return value if isinstance(value, list) else ()
