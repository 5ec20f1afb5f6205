"""Encode and read bundles: the datagrams in which relays pass hints on."""

from __future__ import annotations

from collections.abc import Sequence

import cbor2
from msgspec import Struct

from carobspool_core import Json
from carobspool_core.hint_relays import MAX_BUNDLE_BYTES
from carobspool_core.problems import Problem, UnusableRecordError

_BUNDLE_KIND = "b"
_ENCODED_BUNDLE_START = b"\x61b"
"""The kind of a bundle as it is encoded after the byte that states a list's length."""


class Bundle(Struct, frozen=True, kw_only=True):
    """Hints that a relay passes on.

    Attributes:
        relay: Name of the relay.
        incarnation: Incarnation of the relay's process.
        hints: The encoded hints, as their entries sent them; empty if the relay only reports that
            it acts as the relay.
    """

    relay: str
    incarnation: str
    hints: Sequence[bytes]


def encode_bundle(relay: str, incarnation: str, hints: Sequence[bytes]) -> bytes:
    """Encode a bundle."""
    return cbor2.dumps([_BUNDLE_KIND, relay, incarnation, list(hints)])


def read_bundle(message: Json) -> Bundle | None:
    """Read a decoded datagram as a bundle.

    Returns:
        The bundle, or ``None`` if the datagram is of another kind.

    Raises:
        UnusableRecordError: The bundle is invalid, or contains another bundle.
    """
    match message:
        case [str() as kind, *rest] if kind == _BUNDLE_KIND:
            pass
        case _:
            return None
    match rest:
        case [str() as relay, str() as incarnation, list() as hints] if all(
            isinstance(each, bytes) for each in hints
        ):
            pass
        case _:
            raise _unusable(repr(message)[:80], "a bundle of hints")
    if any(each[1:3] == _ENCODED_BUNDLE_START for each in hints):
        raise _unusable("a bundle in a bundle", "load hints and counts hints")
    if sum(map(len, hints)) > MAX_BUNDLE_BYTES:
        raise _unusable(f"{sum(map(len, hints))} bytes", f"at most {MAX_BUNDLE_BYTES} bytes")
    return Bundle(relay=relay, incarnation=incarnation, hints=hints)


def _unusable(found: str, allowed: str) -> UnusableRecordError:
    return UnusableRecordError([Problem(file="", path="bundle", found=found, allowed=allowed)])
