"""Reasons why something that was read is refused, and reading of files.

Shared by the two ways of validation: `carobspool_core.border` for files that people write, and
`carobspool_core.records` for what a direct entry reads.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pyjson5
from returns.result import Failure, Result, Success

from carobspool_core._ports import Json

FOUND_LIMIT = 80
"""Characters of a refused value that an error shows."""

LONG_INT_BITS = 256
"""Length of a whole number from which on an error tells its length in its place."""

PROBLEMS_SHOWN = 3
"""Problems of one record that its error tells; one is enough to find the writer."""

SECRET_FIELDS = frozenset({"key_hashes", "api_keys", "order_key", "first_operator_key_hash"})
"""Fields whose values an error never shows: a key may stand there by mistake."""

_OFFSET = re.compile(r"near (\d+)")
_RANGES = {"gt": "above", "ge": "at least", "lt": "below", "le": "at most"}
_LENGTHS = {"min_length": "length at least", "max_length": "length at most"}


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One reason why a declared file is refused.

    Attributes:
        file: Name of the file; empty when the value did not come from a file.
        path: Where in the file, for example ``callers[3].weight`` or ``line 7``.
        found: What stands there.
        allowed: What may stand there.

    Since 0.1.
    """

    file: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return the problem as one line for a person."""
        place = f"{self.file}: " if self.file else ""
        return f"{place}{self.path}: found {self.found}; allowed: {self.allowed}"


class UnusableRecordError(ValueError):
    """A record is not what its kind asks for.

    Attributes:
        problems: What is wrong with it: field, what was found, what is allowed.

    Since 0.2.
    """

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        shown = "; ".join(str(each) for each in self.problems[:PROBLEMS_SHOWN])
        left = len(self.problems) - PROBLEMS_SHOWN
        super().__init__(shown if left <= 0 else f"{shown}; and {left} more")


def read_json(path: Path, *, name: str | None = None) -> Result[Json, Problem]:
    """Read a file of JSON with comments.

    Args:
        path: The file.
        name: Name that the problem shows; by default the file's own.

    Since 0.1.
    """
    shown = path.name if name is None else name
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(_unreadable(shown, error))
    try:
        return Success(pyjson5.decode(text))
    except pyjson5.Json5DecoderException as error:
        return Failure(_malformed(shown, text, str(error.args[0])))


def join_path(parts: Sequence[str | int]) -> str:
    """Return a place in a JSON value as text, for example ``routes[2].prefix``."""
    text = ""
    for part in parts:
        if isinstance(part, int):
            text += f"[{part}]"
            continue
        text += f".{part}" if text else part
    return text or "(top)"


def describe_problem(
    detail: Mapping[str, Any], file: str, known_keys: Callable[[Sequence[str | int]], Sequence[str]]
) -> Problem:
    """Return one error of the validation engine as a problem.

    Args:
        detail: The error, in the engine's words.
        file: Name that the problem shows.
        known_keys: Returns the keys that the model at a place has.
    """
    place = tuple(part for part in detail["loc"] if not _is_tag(part))
    return Problem(
        file=file,
        path=join_path(place),
        found=_found(detail, place),
        allowed=_allowed(detail, place, known_keys),
    )


def _unreadable(file: str, error: Exception) -> Problem:
    found = type(error).__name__
    return Problem(file=file, path="(file)", found=found, allowed="a readable file in UTF-8")


def _malformed(file: str, text: str, detail: str) -> Problem:
    match = _OFFSET.search(detail)
    offset = int(match.group(1)) if match else 0
    line = text.count("\n", 0, offset) + 1
    return Problem(file=file, path=f"line {line}", found=detail, allowed="JSON with comments")


def _is_tag(part: str | int) -> bool:
    return isinstance(part, str) and part.startswith("function-")


def _found(detail: Mapping[str, Any], place: tuple[str | int, ...]) -> str:
    if detail["type"] == "missing":
        return "nothing"
    if detail["type"] == "extra_forbidden":
        return f"the unknown key '{place[-1]}'"
    value = detail["input"]
    if any(part in SECRET_FIELDS for part in place):
        return f"a value of type {type(value).__name__} (not shown)"
    if isinstance(value, dict | list):
        return "an object" if isinstance(value, dict) else "a list"
    if isinstance(value, int) and value.bit_length() > LONG_INT_BITS:
        # Python refuses to write such a number out, and the error would hide the record's own.
        return f"a number of {value.bit_length()} bits"
    text = repr(value[:FOUND_LIMIT] if isinstance(value, str | bytes) else value)
    return text if len(text) <= FOUND_LIMIT else f"{text[:FOUND_LIMIT]}…"


def _allowed(
    detail: Mapping[str, Any],
    place: tuple[str | int, ...],
    known_keys: Callable[[Sequence[str | int]], Sequence[str]],
) -> str:
    kind = detail["type"]
    context = detail.get("ctx", {})
    if kind == "extra_forbidden":
        return ", ".join(known_keys(place[:-1])) or "no such key"
    if kind == "missing":
        return "a value is required"
    if kind == "literal_error":
        return str(context["expected"])
    if kind == "string_pattern_mismatch":
        return f"text that matches {context['pattern']}"
    for names in (_RANGES, _LENGTHS):
        for name, words in names.items():
            if name in context:
                return f"{words} {context[name]}"
    return str(detail["msg"]).removeprefix("Value error, ").removeprefix("Input should be ")
