"""Reading of the desired state: a folder of files, or one JSON value."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
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
        found = _read_file(file)
        if isinstance(found, Source):
            sources.append(found)
            continue
        problems.extend(found)
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
    model = validate(StateModel, value)
    if not is_successful(model):
        return Failure(_own(model.failure()))
    return _whole([Source(file="", model=model.unwrap())], revision=revision)


def check_state(state: DesiredState) -> tuple[ConfigError, ...]:
    """Return the errors of a state put together from two others.

    Since 0.1.
    """
    result = parse_state(dump_state(state))
    return () if is_successful(result) else result.failure()


def _read_file(file: Path) -> Source | Sequence[Problem]:
    value = read_json(file)
    if not is_successful(value):
        return [value.failure()]
    model = validate(StateModel, value.unwrap(), file=file.name)
    if not is_successful(model):
        return model.failure()
    return Source(file=file.name, model=model.unwrap())


def _whole(
    sources: Sequence[Source], *, revision: int
) -> Result[DesiredState, tuple[ConfigError, ...]]:
    problems = check_whole(sources)
    if problems:
        return Failure(_own(problems))
    return Success(to_state(_joined(sources), revision=revision))


def _joined(sources: Sequence[Source]) -> StateModel:
    if len(sources) == 1:
        return sources[0].model
    models = [source.model for source in sources]
    batches = [model.batch for model in models if model.batch is not None]
    slowdowns = [model.online_slowdown for model in models if model.online_slowdown is not None]
    return StateModel(
        organisations=[item for model in models for item in model.organisations],
        callers=[item for model in models for item in model.callers],
        models=[item for model in models for item in model.models],
        upstreams=[item for model in models for item in model.upstreams],
        services=[item for model in models for item in model.services],
        batch=batches[0] if batches else None,
        online_slowdown=slowdowns[0] if slowdowns else None,
    )


def _no_files(path: Path) -> ConfigError:
    allowed = "a folder with at least one file *.json"
    return ConfigError(file=path.name, path="(folder)", found="no file *.json", allowed=allowed)


def _own(problems: Iterable[Problem]) -> tuple[ConfigError, ...]:
    return tuple(
        ConfigError(file=each.file, path=each.path, found=each.found, allowed=each.allowed)
        for each in problems
    )
