"""Problems that validation reports, and reading of JSON files.

Shared by the two validation modules: `carobspool_core.border` for files that people write, and
`carobspool_core.records` for values that a direct entry reads.
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

MAX_FOUND_CHARS = 80
"""Longest excerpt of a refused value in an error."""

MAX_PRINTED_INT_BITS = 256
"""Longest integer that an error prints; a longer integer is described by its length in bits."""

MAX_PROBLEMS_SHOWN = 3
"""Problems that the error of one record lists; one problem is enough to find the writer."""

SECRET_FIELDS = frozenset({"key_hashes", "api_keys", "order_key", "first_operator_key_hash"})
"""Fields whose values an error never shows, since they may hold a plain key by mistake."""

_SYNTAX_ERROR_OFFSET = re.compile(r"near (\d+)")
_RANGE_WORDS = {"gt": "above", "ge": "at least", "lt": "below", "le": "at most"}
_LENGTH_WORDS = {"min_length": "length at least", "max_length": "length at most"}


@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """One reason why a file or a record is refused.

    Attributes:
        file: Name of the file; empty when the value did not come from a file.
        path: Location in the file, for example ``callers[3].weight`` or ``line 7``.
        found: Description of the value at this location.
        allowed: Description of the values that are valid there.

    Since 0.1.
    """

    file: str
    path: str
    found: str
    allowed: str

    def __str__(self) -> str:
        """Return the problem as one human-readable line."""
        prefix = f"{self.file}: " if self.file else ""
        return f"{prefix}{self.path}: found {self.found}; allowed: {self.allowed}"


class UnusableRecordError(ValueError):
    """A record does not match its model.

    Attributes:
        problems: The fields at fault, each with the value found and the values allowed.

    Since 0.2.
    """

    def __init__(self, problems: Sequence[Problem]) -> None:
        self.problems = tuple(problems)
        shown = "; ".join(str(each) for each in self.problems[:MAX_PROBLEMS_SHOWN])
        omitted = len(self.problems) - MAX_PROBLEMS_SHOWN
        super().__init__(shown if omitted <= 0 else f"{shown}; and {omitted} more")


def read_json(path: Path, *, name: str | None = None) -> Result[Json, Problem]:
    """Read a file of JSON with comments.

    Args:
        path: The file.
        name: File name that the problem shows; by default the name of ``path``.

    Since 0.1.
    """
    shown_name = path.name if name is None else name
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(_unreadable_file_problem(shown_name, error))
    try:
        return Success(pyjson5.decode(text))
    except pyjson5.Json5DecoderException as error:
        return Failure(_syntax_problem(shown_name, text, str(error.args[0])))


def join_path(parts: Sequence[str | int]) -> str:
    """Return a path in a JSON value as text, for example ``routes[2].prefix``."""
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
    """Convert one error of pydantic to a problem.

    Args:
        detail: The error, an item of ``ValidationError.errors()``.
        file: File name that the problem shows.
        known_keys: Returns the keys of the model at a path.
    """
    location = tuple(part for part in detail["loc"] if not _is_validator_tag(part))
    return Problem(
        file=file,
        path=join_path(location),
        found=_describe_found(detail, location),
        allowed=_describe_allowed(detail, location, known_keys),
    )


def printable_text(text: str, limit: int) -> str:
    """Return untrusted text in a form fit for a log line: printable ASCII, cut to ``limit``."""
    found = text[: limit + 1].encode("ascii", "backslashreplace").decode()
    found = "".join(each if each.isprintable() else "?" for each in found)
    return found if len(found) <= limit else f"{found[:limit]}..."


def _unreadable_file_problem(file: str, error: Exception) -> Problem:
    found = type(error).__name__
    return Problem(file=file, path="(file)", found=found, allowed="a readable file in UTF-8")


def _syntax_problem(file: str, text: str, detail: str) -> Problem:
    match = _SYNTAX_ERROR_OFFSET.search(detail)
    offset = int(match.group(1)) if match else 0
    line = text.count("\n", 0, offset) + 1
    return Problem(file=file, path=f"line {line}", found=detail, allowed="JSON with comments")


def _is_validator_tag(part: str | int) -> bool:
    return isinstance(part, str) and part.startswith("function-")


def _describe_found(detail: Mapping[str, Any], location: tuple[str | int, ...]) -> str:
    if detail["type"] == "missing":
        return "nothing"
    if detail["type"] == "extra_forbidden":
        return f"the unknown key '{location[-1]}'"
    value = detail["input"]
    if any(part in SECRET_FIELDS for part in location):
        return f"a value of type {type(value).__name__} (not shown)"
    if isinstance(value, dict | list):
        return "an object" if isinstance(value, dict) else "a list"
    if isinstance(value, int) and value.bit_length() > MAX_PRINTED_INT_BITS:
        # Python refuses to convert very long integers to text, and its ValueError would replace
        # the error about the record.
        return f"a number of {value.bit_length()} bits"
    text = repr(value[:MAX_FOUND_CHARS] if isinstance(value, str | bytes) else value)
    return text if len(text) <= MAX_FOUND_CHARS else f"{text[:MAX_FOUND_CHARS]}…"


def _describe_allowed(
    detail: Mapping[str, Any],
    location: tuple[str | int, ...],
    known_keys: Callable[[Sequence[str | int]], Sequence[str]],
) -> str:
    kind = detail["type"]
    context = detail.get("ctx", {})
    if kind == "extra_forbidden":
        return ", ".join(known_keys(location[:-1])) or "no such key"
    if kind == "missing":
        return "a value is required"
    if kind == "literal_error":
        return str(context["expected"])
    if kind == "string_pattern_mismatch":
        return f"text that matches {context['pattern']}"
    for constraints in (_RANGE_WORDS, _LENGTH_WORDS):
        for name, words in constraints.items():
            if name in context:
                return f"{words} {context[name]}"
    return str(detail["msg"]).removeprefix("Value error, ").removeprefix("Input should be ")
