"""Identity of an upstream: its id and its start.

Failure: an upstream crashes and starts again under its id. What was believed of it before (requests
in flight, failures, silence) would be held against a process that knows nothing of it, and what was
sent before would wait for an answer that never comes. So all that is believed of an upstream is
kept under its identity, and ends with it; only requests on the wire name the bare id.

Starts are compared with each other and never with this host's clock, which may be anywhere.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TypeVar

from xxhash import xxh32_intdigest

UNKNOWN_START = 0
"""Start of an upstream that does not tell it; any known start is a later one."""
_Value = TypeVar("_Value")
_SEPARATOR = "/"
"""Stands in no id, since ids are single segments of an object's key."""


def identity_of(instance: str, started: int) -> str:
    """Return the identity of one start of an upstream; the bare id when the start is unknown.

    Args:
        instance: Its id.
        started: Unix milliseconds of its start, by its own clock.
    """
    return instance if started == UNKNOWN_START else f"{instance}{_SEPARATOR}{started}"


def key_of(identity: str) -> int:
    """Return a key of four bytes, short enough for hints; two identities may share one."""
    return xxh32_intdigest(identity.encode())


def split_identity(identity: str) -> tuple[str, int]:
    """Return id and start."""
    instance, _, started = identity.partition(_SEPARATOR)
    return instance, int(started) if started else UNKNOWN_START


def latest_starts(identities: Iterable[str]) -> dict[str, int]:
    """Return the latest start of each id among ``identities``."""
    found: dict[str, int] = {}
    for identity in identities:
        instance, started = split_identity(identity)
        found[instance] = max(started, found.get(instance, UNKNOWN_START))
    return found


def by_instance(values: Mapping[str, _Value], starts: Mapping[str, int]) -> dict[str, _Value]:
    """Return what is known by identity by the bare id, of the given starts only."""
    found: dict[str, _Value] = {}
    for identity, value in values.items():
        instance, started = split_identity(identity)
        if starts.get(instance) == started:
            found[instance] = value
    return found


def by_identity(values: Mapping[str, _Value], starts: Mapping[str, int]) -> dict[str, _Value]:
    """Return what is known by id by identity; ids without a start in ``starts`` stay bare."""
    return {
        identity_of(instance, starts.get(instance, UNKNOWN_START)): value
        for instance, value in values.items()
    }
