"""Declaration of models: the base class, fields, and constraints on their values."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from copy import copy
from typing import Any, ClassVar, Literal, NoReturn, get_type_hints

from msgspec import Struct

REQUIRED = object()
"""Default that marks a field as required."""


class Bounds(Struct, frozen=True, kw_only=True):
    """Constraints on a value; ``None`` where there is none.

    Attributes:
        gt: The value is greater than this.
        ge: The value is greater than or equal to this.
        lt: The value is less than this.
        le: The value is less than or equal to this.
        min_length: Smallest number of characters or elements.
        max_length: Largest number of characters or elements.
        pattern: Regular expression that a string must match.

    Since 0.3.
    """

    gt: float | None = None
    ge: float | None = None
    lt: float | None = None
    le: float | None = None
    min_length: int | None = None
    max_length: int | None = None
    pattern: str | None = None

    def as_dict(self) -> dict[str, Any]:
        """Return the bounds that are set, by name."""
        found = {name: getattr(self, name) for name in self.__struct_fields__}
        return {name: value for name, value in found.items() if value is not None}


class ValidatedBy(Struct, frozen=True):
    """Validates a value with a function.

    Attributes:
        function: Returns the checked or converted value; raises ``ValueError`` with a text that
            says which values are allowed.
        mode: ``plain`` to run in place of the type's own check, ``before`` or ``after`` to run
            before or after it.

    Since 0.3.
    """

    function: Callable[[Any], Any]
    mode: Literal["plain", "before", "after"] = "plain"


class UnionBy(Struct, frozen=True):
    """Selects the member of a union by a field that has a different literal in each member.

    Since 0.3.
    """

    field: str


class _JsonValue:
    """Type of `JSON_VALUE`."""


JSON_VALUE = _JsonValue()
"""Annotation of a field that holds any JSON value; its numbers are finite at every depth."""


class Field(Struct, frozen=True, kw_only=True):
    """Declaration of a field, apart from its type.

    Attributes:
        bounds: Constraints on the value.
        alias: Name of the field in the input, if it differs.
        default: Value of a field that is left out; `REQUIRED` if there is no default.
        description: What the field controls, for the reference page.
        unit: Unit or kind of the value, for the reference page.

    Since 0.3.
    """

    bounds: Bounds = Bounds()
    alias: str | None = None
    default: Any = REQUIRED
    description: str = ""
    unit: str = ""

    @property
    def required(self) -> bool:
        """Whether the field has no default."""
        return self.default is REQUIRED


def field(
    *,
    alias: str | None = None,
    default: Any = REQUIRED,
    description: str = "",
    unit: str = "",
    **bounds: Any,
) -> Any:
    """Return the declaration of a field, to be assigned in the class body in place of a default.

    Args:
        alias: Name of the field in the input, if it differs.
        default: Value of a field that is left out.
        description: What the field controls, for the reference page.
        unit: Unit or kind of the value, for the reference page.
        bounds: Constraints on the value, by the attribute names of `Bounds`.

    Since 0.3.
    """
    return Field(
        bounds=Bounds(**bounds), alias=alias, default=default, description=description, unit=unit
    )


class Record:
    """Base of the models. Unknown keys are ignored, since other writers may add fields.

    A subclass with ``unknown_keys="forbid"`` refuses unknown keys. Attributes of a record cannot be
    assigned.

    Since 0.3.
    """

    __slots__ = (
        "__dict__",
        "__pydantic_extra__",
        "__pydantic_fields_set__",
        "__pydantic_private__",
    )
    unknown_keys: ClassVar[str] = "ignore"

    def __init_subclass__(cls, *, unknown_keys: str | None = None) -> None:
        if unknown_keys is not None:
            cls.unknown_keys = unknown_keys

    def __init__(self, **values: Any) -> None:
        """Set the fields without validation; fields that are left out get their defaults."""
        for name, (_, declared) in fields_of(type(self)).items():
            if name not in values and declared.required:
                raise TypeError(f"{type(self).__name__} needs {name}")
            self.__dict__[name] = values[name] if name in values else copy(declared.default)

    def __setattr__(self, name: str, value: Any) -> NoReturn:
        raise AttributeError(f"{type(self).__name__} is immutable")

    def __repr__(self) -> str:
        values = ", ".join(f"{name}={value!r}" for name, value in self.__dict__.items())
        return f"{type(self).__name__}({values})"


def fields_of(model: type[Record]) -> Mapping[str, tuple[Any, Field]]:
    """Return a model's fields by name, each as its type and its declaration.

    Since 0.3.
    """
    hints = get_type_hints(model, include_extras=True)
    found = {}
    for name, annotation in hints.items():
        if name in Record.__annotations__:
            continue
        declared = getattr(model, name, REQUIRED)
        if not isinstance(declared, Field):
            declared = Field(default=declared)
        found[name] = (annotation, declared)
    return found
