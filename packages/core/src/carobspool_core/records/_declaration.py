"""How a model is declared: its base class, its fields, and what may be said of a field's values."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from copy import copy
from typing import Any, ClassVar, Literal, NoReturn, get_type_hints

from msgspec import Struct

REQUIRED = object()
"""Default of a field that must be given."""


class Bounds(Struct, frozen=True, kw_only=True):
    """Bounds of a value; ``None`` where there is none.

    Attributes:
        gt: It is above this.
        ge: It is at least this.
        lt: It is below this.
        le: It is at most this.
        min_length: Least number of characters or elements.
        max_length: Largest number of characters or elements.
        pattern: Regular expression that a text matches.

    Since 0.3.
    """

    gt: float | None = None
    ge: float | None = None
    lt: float | None = None
    le: float | None = None
    min_length: int | None = None
    max_length: int | None = None
    pattern: str | None = None

    def given(self) -> dict[str, Any]:
        """Return the bounds that there are, by name."""
        found = {name: getattr(self, name) for name in self.__struct_fields__}
        return {name: value for name, value in found.items() if value is not None}


class ValidatedBy(Struct, frozen=True):
    """A function that checks or converts a value; it raises ``ValueError`` with what is allowed.

    Attributes:
        function: The function.
        when: ``plain`` in place of the type's own check, ``before`` or ``after`` it.

    Since 0.3.
    """

    function: Callable[[Any], Any]
    when: Literal["plain", "before", "after"] = "plain"


class UnionBy(Struct, frozen=True):
    """Tells which member of a union is meant, by a field that has one literal in each of them.

    Since 0.3.
    """

    field: str


class _JsonValue:
    """Marks a value of any type that JSON has."""


JSON_VALUE = _JsonValue()


class Field(Struct, frozen=True, kw_only=True):
    """What is declared of a field beside its type.

    Attributes:
        bounds: Bounds of its value.
        alias: Its name in what is read, if another one.
        default: Value when it is left out; `REQUIRED` without one.
        description: What it decides, for a reference page.
        unit: Unit or kind of the value, likewise.

    Since 0.3.
    """

    bounds: Bounds = Bounds()
    alias: str | None = None
    default: Any = REQUIRED
    description: str = ""
    unit: str = ""

    @property
    def required(self) -> bool:
        """Whether it must be given."""
        return self.default is REQUIRED


def field(
    *,
    alias: str | None = None,
    default: Any = REQUIRED,
    description: str = "",
    unit: str = "",
    **bounds: Any,
) -> Any:
    """Return the declaration of a field, to stand where its default would.

    Args:
        alias: Its name in what is read, if another one.
        default: Value when it is left out.
        description: What it decides, for a reference page.
        unit: Unit or kind of the value, likewise.
        bounds: Its bounds, by the names of `Bounds`.

    Since 0.3.
    """
    return Field(
        bounds=Bounds(**bounds), alias=alias, default=default, description=description, unit=unit
    )


class Record:
    """Base of the models. Unknown keys are ignored, since other writers may add fields.

    A subclass with ``unknown_keys="forbid"`` refuses them. What has been read is not changed.

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
        """Take values that are known to be valid; fields left out have their defaults."""
        for name, (_, declared) in fields_of(type(self)).items():
            if name not in values and declared.required:
                raise TypeError(f"{type(self).__name__} needs {name}")
            self.__dict__[name] = values[name] if name in values else copy(declared.default)

    def __setattr__(self, name: str, value: Any) -> NoReturn:
        raise AttributeError(f"{type(self).__name__} cannot be changed")

    def __repr__(self) -> str:
        values = ", ".join(f"{name}={value!r}" for name, value in self.__dict__.items())
        return f"{type(self).__name__}({values})"


def fields_of(model: type[Record]) -> Mapping[str, tuple[Any, Field]]:
    """Return a model's fields by name, each with its type.

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
