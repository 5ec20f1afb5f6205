"""Identity of an upstream: its id and the time of its start.

Failure: an upstream crashes and starts again under the same id. State of the previous process
(requests in flight, failures, silence) would be attributed to the new process, and requests sent to
the previous process would wait for answers that never arrive. All state of an upstream is therefore
stored under its identity and dropped with it. Only requests on the wire contain the bare id.

Start times are compared with each other, never with the clock of this host, which may differ by any
amount.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TypeVar

from xxhash import xxh32_intdigest

UNKNOWN_START = 0
"""Start time of an upstream that reports none; every known start counts as later."""
_Value = TypeVar("_Value")
_SEPARATOR = "/"
"""Does not occur in ids, since an id is a single segment of an object key."""


def identity_of(instance: str, started: int) -> str:
    """Return the identity of an upstream, which is the bare id if the start is unknown.

    Args:
        instance: Id of the upstream.
        started: Start of the upstream in Unix milliseconds, by its own clock.
    """
    return instance if started == UNKNOWN_START else f"{instance}{_SEPARATOR}{started}"


def short_key_of(identity: str) -> int:
    """Return a four-byte hash that is short enough for hints; two identities may share a hash."""
    return xxh32_intdigest(identity.encode())


def split_identity(identity: str) -> tuple[str, int]:
    """Return the id and the start of an identity."""
    instance, _, started = identity.partition(_SEPARATOR)
    return instance, int(started) if started else UNKNOWN_START


def latest_starts(identities: Iterable[str]) -> dict[str, int]:
    """Return the latest start of each id in ``identities``."""
    result: dict[str, int] = {}
    for identity in identities:
        instance, started = split_identity(identity)
        result[instance] = max(started, result.get(instance, UNKNOWN_START))
    return result


def by_instance(values: Mapping[str, _Value], starts: Mapping[str, int]) -> dict[str, _Value]:
    """Convert a mapping by identity to one by id; starts other than ``starts`` are dropped."""
    result: dict[str, _Value] = {}
    for identity, value in values.items():
        instance, started = split_identity(identity)
        if starts.get(instance) == started:
            result[instance] = value
    return result


def by_identity(values: Mapping[str, _Value], starts: Mapping[str, int]) -> dict[str, _Value]:
    """Convert a mapping by id to one by identity; ids missing from ``starts`` stay bare."""
    return {
        identity_of(instance, starts.get(instance, UNKNOWN_START)): value
        for instance, value in values.items()
    }
