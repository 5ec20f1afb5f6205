"""Checks over the whole desired state: unique names, and references that lead somewhere."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from carobspool_core.border import Problem, join_path
from carobspool_core.schema._models import StateModel, UpstreamModel

OPERATOR = "operator"
KEY_HASH = "key hash"
NAMES_SHOWN = 12
"""Allowed names that one problem lists."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Source:
    """A validated file, or a piece of a long one.

    Attributes:
        file: Its name; empty for a state that came as one JSON value.
        model: What it holds.
        first: Place of the piece's first entry in its section.
    """

    file: str
    model: StateModel
    first: int = 0


Place = tuple[str, tuple[str | int, ...]]
"""A file and a path in it."""


@dataclass(slots=True)
class _Index:
    """Where each unique value was first seen, and the problems so far."""

    problems: list[Problem] = field(default_factory=list)
    seen: dict[str, dict[str, Place]] = field(default_factory=dict)

    def claim(self, kind: str, value: str, file: str, path: tuple[str | int, ...]) -> None:
        # Runs for every name and key hash of the state, so text is made only for a duplicate.
        place = (file, path)
        first = self.seen.setdefault(kind, {}).setdefault(value, place)
        if first is place:
            return
        found = f"the {kind} {value!r} again" if kind != KEY_HASH else "a key hash again"
        allowed = f"each {kind} once; it stands at {_place_text(first)} too"
        self.refuse(file, path, found, allowed)

    def refuse(self, file: str, path: tuple[str | int, ...], found: str, allowed: str) -> None:
        place = join_path(path)
        self.problems.append(Problem(file=file, path=place, found=found, allowed=allowed))

    def names(self, kind: str) -> set[str]:
        return set(self.seen.get(kind, ()))


def check_whole(sources: Sequence[Source]) -> tuple[Problem, ...]:
    """Return every problem that only shows over all files together."""
    index = _Index()
    for source in sources:
        _claim_names(index, source)
        _claim_sections(index, source)
    known = {kind: index.names(kind) for kind in ("organisation", "model", "service")}
    for source in sources:
        _check_callers(index, source, known["organisation"])
        _check_upstreams(index, source, known["model"], known["service"])
    _check_operator(index, sources)
    return tuple(index.problems)


def _claim_names(index: _Index, source: Source) -> None:
    file, model = source.file, source.model
    for number, organisation in enumerate(model.organisations, source.first):
        path = ("organisations", number, "name")
        index.claim("organisation", organisation.name, file, path)
    for number, caller in enumerate(model.callers, source.first):
        index.claim("caller", caller.id, file, ("callers", number, "id"))
        for position, key_hash in enumerate(caller.key_hashes):
            path_of_hash = ("callers", number, "key_hashes", position)
            index.claim(KEY_HASH, key_hash, file, path_of_hash)
    for number, served in enumerate(model.models, source.first):
        index.claim("model", served.name, file, ("models", number, "name"))
    for number, upstream in enumerate(model.upstreams, source.first):
        index.claim("host", upstream.host, file, ("upstreams", number, "host"))
        index.claim("address", upstream.address, file, ("upstreams", number, "address"))
    for number, service in enumerate(model.services, source.first):
        index.claim("service", service.name, file, ("services", number, "name"))
        for position, route in enumerate(service.routes):
            path_of_route = ("services", number, "routes", position, "prefix")
            index.claim(f"prefix of {service.name}", route.prefix, file, path_of_route)


def _claim_sections(index: _Index, source: Source) -> None:
    if source.model.batch is not None:
        index.claim("section", "batch", source.file, ("batch",))
    if source.model.online_slowdown is not None:
        index.claim("section", "online_slowdown", source.file, ("online_slowdown",))


def _check_operator(index: _Index, sources: Sequence[Source]) -> None:
    """Refuse a state that nobody could change again: only an operator's key admits an apply."""
    roles = {caller.role for source in sources for caller in source.model.callers}
    if OPERATOR in roles:
        return
    allowed = f"at least one caller with the role '{OPERATOR}', or nobody could apply again"
    index.refuse("", ("callers",), f"no caller with the role '{OPERATOR}'", allowed)


def _check_callers(index: _Index, source: Source, organisations: set[str]) -> None:
    for number, caller in enumerate(source.model.callers, source.first):
        if caller.organisation in organisations:
            continue
        path = ("callers", number, "organisation")
        allowed = _one_of("organisation", organisations)
        index.refuse(source.file, path, f"the unknown {caller.organisation!r}", allowed)


def _check_upstreams(index: _Index, source: Source, models: set[str], services: set[str]) -> None:
    checks: dict[str, Callable[[UpstreamModel], Iterator[tuple[str, str, str]]]] = {
        "engine": lambda upstream: _engine_problems(upstream, models),
        "service": lambda upstream: _service_problems(upstream, services),
    }
    for number, upstream in enumerate(source.model.upstreams, source.first):
        for name, found, allowed in checks[upstream.kind](upstream):
            index.refuse(source.file, ("upstreams", number, name), found, allowed)


def _engine_problems(upstream: UpstreamModel, models: set[str]) -> Iterator[tuple[str, str, str]]:
    if upstream.service is not None:
        yield "service", repr(upstream.service), "nothing: the upstream's kind is 'engine'"
    if not upstream.models:
        yield "models", "no model", _one_of("model", models)
    for name in upstream.models:
        if name not in models:
            yield "models", f"the unknown {name!r}", _one_of("model", models)


def _service_problems(
    upstream: UpstreamModel, services: set[str]
) -> Iterator[tuple[str, str, str]]:
    if upstream.models:
        yield "models", "models", "nothing: the upstream's kind is 'service'"
    if upstream.service is None:
        yield "service", "nothing", _one_of("service", services)
        return
    if upstream.service not in services:
        yield "service", f"the unknown {upstream.service!r}", _one_of("service", services)


def _place_text(place: Place) -> str:
    file, path = place
    text = join_path(path)
    return f"{file}: {text}" if file else text


def _one_of(kind: str, names: set[str]) -> str:
    if not names:
        return f"a declared {kind}; none is declared"
    shown = sorted(names)[:NAMES_SHOWN]
    more = "" if len(names) <= NAMES_SHOWN else f" and {len(names) - NAMES_SHOWN} more"
    return f"a declared {kind}: {', '.join(shown)}{more}"
