"""Reading of the desired state: a folder of files, or one JSON value."""

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
from carobspool_core.schema._check import Source, check_whole
from carobspool_core.schema._convert import dump_state, to_state
from carobspool_core.schema._models import StateModel

FILE_PATTERN = "*.json"
SLICE = 500
"""Entries of a section that are validated in one go."""

_FIRST_INDEX = re.compile(r"\[(\d+)\]")


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigError(Problem):
    """One reason why a desired state is refused.

    Since 0.1.
    """


def load_folder(path: Path) -> Result[DesiredState, tuple[ConfigError, ...]]:
    """Read every ``*.json`` file of a folder as one desired state.

    Files are JSON with comments. Nothing is taken when anything is wrong; all errors come at once.

    Args:
        path: The folder; its subfolders are not read.

    Since 0.1.
    """
    files = sorted(file for file in path.glob(FILE_PATTERN) if file.is_file())
    if not files:
        return Failure((_no_files(path),))
    sources: list[Source] = []
    problems: list[Problem] = []
    for file in files:
        found, wrong = _read_file(file)
        sources.extend(found)
        problems.extend(wrong)
    if problems:
        # Names in a refused file are unknown, so references to them would be reported falsely.
        return Failure(_own(problems))
    return _whole(sources, revision=0)


def parse_state(value: Json, *, revision: int = 0) -> Result[DesiredState, tuple[ConfigError, ...]]:
    """Read a desired state from one JSON value, as `dump_state` writes it.

    Args:
        value: The JSON value.
        revision: Revision that the result carries.

    Since 0.1.
    """
    sources, problems = _read_value(value, "")
    if problems:
        return Failure(_own(problems))
    return _whole(sources, revision=revision)


def check_state(state: DesiredState) -> tuple[ConfigError, ...]:
    """Return the errors of a state put together from two others.

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
    for first, piece in _slices(value):
        model = validate(StateModel, piece, file=file)
        if is_successful(model):
            sources.append(Source(file=file, model=model.unwrap(), first=first))
            continue
        problems.extend(_shifted(problem, first) for problem in model.failure())
    return sources, problems


def _slices(value: Json) -> Iterator[tuple[int, Json]]:
    """Cut long sections, and yield each piece with the place of its first entry.

    The validation of one value runs in one call that lets no other thread go on. At 30,000
    organisations an entry would stand still for as long, and its online streams with it.
    """
    if not isinstance(value, dict):
        yield 0, value
        return
    long = [name for name, items in value.items() if _is_long(items)]
    yield 0, {name: items for name, items in value.items() if name not in long}
    for name in long:
        items = value[name]
        for first in range(0, len(items), SLICE):
            yield first, {name: items[first : first + SLICE]}


def _is_long(items: Json) -> bool:
    return isinstance(items, list) and len(items) > SLICE


def _shifted(problem: Problem, first: int) -> Problem:
    """Return a problem of a piece with its place in the whole section."""
    if not first:
        return problem
    path = _FIRST_INDEX.sub(lambda found: f"[{int(found[1]) + first}]", problem.path, count=1)
    return replace(problem, path=path)


def _whole(
    sources: Sequence[Source], *, revision: int
) -> Result[DesiredState, tuple[ConfigError, ...]]:
    problems = check_whole(sources)
    if problems:
        return Failure(_own(problems))
    return Success(to_state([source.model for source in sources], revision=revision))


def _no_files(path: Path) -> ConfigError:
    allowed = "a folder with at least one file *.json"
    return ConfigError(file=path.name, path="(folder)", found="no file *.json", allowed=allowed)


def _own(problems: Iterable[Problem]) -> tuple[ConfigError, ...]:
    return tuple(
        ConfigError(file=each.file, path=each.path, found=each.found, allowed=each.allowed)
        for each in problems
    )
