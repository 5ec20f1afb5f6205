"""Read the desired state from a folder of files, or from one JSON value."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core._config import DesiredState
from carobspool_core._ports import Json
from carobspool_core.border import Problem, read_json, validate
from carobspool_core.schema._check import Source, check_sources
from carobspool_core.schema._convert import dump_state, to_state
from carobspool_core.schema._models import StateModel

FILE_PATTERN = "*.json"
MAX_ENTRIES_PER_VALIDATION = 500
"""Entries of a section that one call of the validator checks."""

_FIRST_INDEX = re.compile(r"\[(\d+)\]")


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigError(Problem):
    """One reason why a desired state is refused.

    Since 0.1.
    """


def load_folder(path: Path) -> Result[DesiredState, tuple[ConfigError, ...]]:
    """Read every ``*.json`` file of a folder as one desired state.

    Files are JSON with comments. If any file is invalid, the whole state is refused, and all errors
    are returned together.

    Args:
        path: The folder; its subfolders are not read.

    Since 0.1.
    """
    files = sorted(file for file in path.glob(FILE_PATTERN) if file.is_file())
    if not files:
        return Failure((_no_files_error(path),))
    sources: list[Source] = []
    problems: list[Problem] = []
    for file in files:
        file_sources, file_problems = _read_file(file)
        sources.extend(file_sources)
        problems.extend(file_problems)
    if problems:
        # The names that a refused file declares are unknown, so references to them would be
        # reported as errors although they may be valid.
        return Failure(_config_errors(problems))
    return _check_and_convert(sources, revision=0)


def parse_state(value: Json, *, revision: int = 0) -> Result[DesiredState, tuple[ConfigError, ...]]:
    """Read a desired state from one JSON value, as `dump_state` writes it.

    Args:
        value: The JSON value.
        revision: Revision number of the result.

    Since 0.1.
    """
    sources, problems = _read_value(value, "")
    if problems:
        return Failure(_config_errors(problems))
    return _check_and_convert(sources, revision=revision)


def find_state_errors(state: DesiredState) -> tuple[ConfigError, ...]:
    """Return the errors of a state that was merged from two others; empty if it is valid.

    Since 0.1.
    """
    result = parse_state(dump_state(state))
    return () if is_successful(result) else result.failure()


def _read_file(file: Path) -> tuple[list[Source], list[Problem]]:
    value = read_json(file)
    if not is_successful(value):
        return [], [value.failure()]
    return _read_value(value.unwrap(), file.name)


def _read_value(value: Json, file: str) -> tuple[list[Source], list[Problem]]:
    sources: list[Source] = []
    problems: list[Problem] = []
    for offset, piece in _split_long_sections(value):
        model = validate(StateModel, piece, file=file)
        if is_successful(model):
            sources.append(Source(file=file, model=model.unwrap(), offset=offset))
            continue
        problems.extend(_with_shifted_index(problem, offset) for problem in model.failure())
    return sources, problems


def _split_long_sections(value: Json) -> Iterator[tuple[int, Json]]:
    """Cut long sections, and yield each piece with the index of its first entry.

    One call of the validator blocks all other threads until it returns. With 30,000 organisations,
    validating a section in one call would stall an entry process and its online streams.
    """
    if not isinstance(value, dict):
        yield 0, value
        return
    long_sections = [name for name, items in value.items() if _is_long(items)]
    yield 0, {name: items for name, items in value.items() if name not in long_sections}
    for name in long_sections:
        items = value[name]
        for offset in range(0, len(items), MAX_ENTRIES_PER_VALIDATION):
            yield offset, {name: items[offset : offset + MAX_ENTRIES_PER_VALIDATION]}


def _is_long(items: Json) -> bool:
    return isinstance(items, list) and len(items) > MAX_ENTRIES_PER_VALIDATION


def _with_shifted_index(problem: Problem, offset: int) -> Problem:
    """Return a problem of a piece with its index counted from the start of the section."""
    if not offset:
        return problem
    path = _FIRST_INDEX.sub(lambda match: f"[{int(match[1]) + offset}]", problem.path, count=1)
    return replace(problem, path=path)


def _check_and_convert(
    sources: Sequence[Source], *, revision: int
) -> Result[DesiredState, tuple[ConfigError, ...]]:
    problems = check_sources(sources)
    if problems:
        return Failure(_config_errors(problems))
    return Success(to_state([source.model for source in sources], revision=revision))


def _no_files_error(path: Path) -> ConfigError:
    allowed = "a folder with at least one file *.json"
    return ConfigError(file=path.name, path="(folder)", found="no file *.json", allowed=allowed)


def _config_errors(problems: Iterable[Problem]) -> tuple[ConfigError, ...]:
    return tuple(
        ConfigError(file=each.file, path=each.path, found=each.found, allowed=each.allowed)
        for each in problems
    )
