"""Checks across the whole desired state: unique names and valid references."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from carobspool_core.border import Problem, join_path
from carobspool_core.schema._models import StateModel, UpstreamModel

OPERATOR_ROLE = "operator"
KEY_HASH_KIND = "key hash"
MAX_NAMES_SHOWN = 12
"""Declared names that one problem lists as allowed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """A validated file, or a piece of a long section of one.

    Attributes:
        file: Name of the file; empty for a state that was given as one JSON value.
        model: The validated content.
        offset: Index in the whole section of the piece's first entry.
    """

    file: str
    model: StateModel
    offset: int = 0


Location = tuple[str, tuple[str | int, ...]]
"""A file and a path in it."""


@dataclass(slots=True)
class _Index:
    """The location at which each unique value was first seen, and the problems found so far."""

    problems: list[Problem] = field(default_factory=list)
    seen: dict[str, dict[str, Location]] = field(default_factory=dict)

    def add_unique(self, kind: str, value: str, file: str, path: tuple[str | int, ...]) -> None:
        # Called for every name and key hash of the state, so only a duplicate is formatted as text.
        location = (file, path)
        first = self.seen.setdefault(kind, {}).setdefault(value, location)
        if first is location:
            return
        found = f"the {kind} {value!r} again" if kind != KEY_HASH_KIND else "a key hash again"
        allowed = f"each {kind} once; it is also at {_location_text(first)}"
        self.add_problem(file, path, found, allowed)

    def add_problem(self, file: str, path: tuple[str | int, ...], found: str, allowed: str) -> None:
        text = join_path(path)
        self.problems.append(Problem(file=file, path=text, found=found, allowed=allowed))

    def values(self, kind: str) -> set[str]:
        return set(self.seen.get(kind, ()))


def check_sources(sources: Sequence[Source]) -> tuple[Problem, ...]:
    """Return every problem that the validation of single fields does not find.

    These are duplicate names, references to undeclared names, upstreams whose fields contradict
    their kind, and a state without an operator.
    """
    index = _Index()
    for source in sources:
        _index_names(index, source)
        _index_sections(index, source)
    known = {kind: index.values(kind) for kind in ("organisation", "model", "service")}
    for source in sources:
        _check_callers(index, source, known["organisation"])
        _check_upstreams(index, source, known["model"], known["service"])
    _check_operator(index, sources)
    return tuple(index.problems)


def _index_names(index: _Index, source: Source) -> None:
    file, model = source.file, source.model
    for number, organisation in enumerate(model.organisations, source.offset):
        path = ("organisations", number, "name")
        index.add_unique("organisation", organisation.name, file, path)
    for number, caller in enumerate(model.callers, source.offset):
        index.add_unique("caller", caller.id, file, ("callers", number, "id"))
        for position, key_hash in enumerate(caller.key_hashes):
            path_of_hash = ("callers", number, "key_hashes", position)
            index.add_unique(KEY_HASH_KIND, key_hash, file, path_of_hash)
    for number, served in enumerate(model.models, source.offset):
        index.add_unique("model", served.name, file, ("models", number, "name"))
    for number, upstream in enumerate(model.upstreams, source.offset):
        index.add_unique("host", upstream.host, file, ("upstreams", number, "host"))
        index.add_unique("address", upstream.address, file, ("upstreams", number, "address"))
    for number, service in enumerate(model.services, source.offset):
        index.add_unique("service", service.name, file, ("services", number, "name"))
        for position, route in enumerate(service.routes):
            path_of_route = ("services", number, "routes", position, "prefix")
            index.add_unique(f"prefix of {service.name}", route.prefix, file, path_of_route)


def _index_sections(index: _Index, source: Source) -> None:
    if source.model.batch is not None:
        index.add_unique("section", "batch", source.file, ("batch",))
    if source.model.online_slowdown is not None:
        index.add_unique("section", "online_slowdown", source.file, ("online_slowdown",))


def _check_operator(index: _Index, sources: Sequence[Source]) -> None:
    """Refuse a state without an operator: nobody could replace it, as only operators can apply."""
    roles = {caller.role for source in sources for caller in source.model.callers}
    if OPERATOR_ROLE in roles:
        return
    allowed = f"at least one caller with the role '{OPERATOR_ROLE}', since only operators can apply"
    index.add_problem("", ("callers",), f"no caller with the role '{OPERATOR_ROLE}'", allowed)


def _check_callers(index: _Index, source: Source, organisations: set[str]) -> None:
    for number, caller in enumerate(source.model.callers, source.offset):
        if caller.organisation in organisations:
            continue
        path = ("callers", number, "organisation")
        allowed = _one_of("organisation", organisations)
        index.add_problem(source.file, path, f"the unknown {caller.organisation!r}", allowed)


def _check_upstreams(index: _Index, source: Source, models: set[str], services: set[str]) -> None:
    checks: dict[str, Callable[[UpstreamModel], Iterator[tuple[str, str, str]]]] = {
        "engine": lambda upstream: _engine_problems(upstream, models),
        "service": lambda upstream: _service_problems(upstream, services),
    }
    for number, upstream in enumerate(source.model.upstreams, source.offset):
        for name, found, allowed in checks[upstream.kind](upstream):
            index.add_problem(source.file, ("upstreams", number, name), found, allowed)


def _engine_problems(upstream: UpstreamModel, models: set[str]) -> Iterator[tuple[str, str, str]]:
    if upstream.service is not None:
        yield "service", repr(upstream.service), "no service for an upstream of kind 'engine'"
    if not upstream.models:
        yield "models", "no model", _one_of("model", models)
    for name in upstream.models:
        if name not in models:
            yield "models", f"the unknown {name!r}", _one_of("model", models)


def _service_problems(
    upstream: UpstreamModel, services: set[str]
) -> Iterator[tuple[str, str, str]]:
    if upstream.models:
        yield "models", "models", "no models for an upstream of kind 'service'"
    if upstream.service is None:
        yield "service", "nothing", _one_of("service", services)
        return
    if upstream.service not in services:
        yield "service", f"the unknown {upstream.service!r}", _one_of("service", services)


def _location_text(location: Location) -> str:
    file, path = location
    text = join_path(path)
    return f"{file}: {text}" if file else text


def _one_of(kind: str, names: set[str]) -> str:
    if not names:
        return f"a declared {kind}; none is declared"
    shown = sorted(names)[:MAX_NAMES_SHOWN]
    more = "" if len(names) <= MAX_NAMES_SHOWN else f" and {len(names) - MAX_NAMES_SHOWN} more"
    return f"a declared {kind}: {', '.join(shown)}{more}"
