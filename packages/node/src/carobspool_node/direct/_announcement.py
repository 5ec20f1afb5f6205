"""Writing what an entry tells of itself, for entries of this version and of the one before."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import cbor2
from msgspec import Struct

from carobspool_core.direct import by_instance, latest_starts
from carobspool_node.direct._load_hint import pack_loads
from carobspool_node.direct._peer import OwnHint
from carobspool_node.organisations import pack_counts


class Sender(Struct, frozen=True, kw_only=True):
    """Who tells.

    Attributes:
        name: Name of the entry.
        incarnation: Of its process.
        address: Where it takes hints and calls.
    """

    name: str
    incarnation: str
    address: tuple[str, int]


def encode_announcement(
    sender: Sender,
    hint: OwnHint,
    *,
    sequence: int,
    silent: Sequence[str],
    ended: Sequence[str],
) -> bytes:
    """Return an announcement for entries of this version.

    Args:
        sender: Who tells.
        hint: What it tells.
        sequence: Grows with each hint.
        silent: Peers that it does not hear.
        ended: Jobs that it has ended in the store of late.
    """
    message = _common(sender, hint, sequence)
    message |= {"k": pack_loads(hint.loads), "w": dict(hint.waiting)}
    message |= {"q": list(silent), "d": list(ended), "g": pack_counts(hint.counts)}
    return cbor2.dumps(message | _jobs(hint))


def encode_for_version_before(
    sender: Sender,
    hint: OwnHint,
    *,
    sequence: int,
    silent: Sequence[str],
    ended: Sequence[str],
) -> bytes:
    """Return an announcement that entries of the version before understand too."""
    # By the bare id with the starts beside it.
    starts = latest_starts([*hint.loads, *hint.failures])
    loads = by_instance(hint.loads, starts)
    message = _common(sender, hint, sequence)
    message |= {
        "l": {key: [load.online, load.batch] for key, load in loads.items()},
        "b": starts,
        "w": dict(hint.waiting),
        "q": list(silent),
        "d": list(ended),
    }
    return cbor2.dumps(message | _jobs(hint))


def _common(sender: Sender, hint: OwnHint, sequence: int) -> dict[str, Any]:
    starts = latest_starts([*hint.loads, *hint.failures])
    return {
        "n": sender.name,
        "i": sender.incarnation,
        "a": list(sender.address),
        "c": sequence,
        "e": by_instance(hint.failures, starts),
        "b": latest_starts(hint.failures),
        "v": dict(hint.versions),
        "x": hint.leaving,
        "r": sorted(hint.released),
        "s": hint.store_ok,
        "o": int(hint.answer_age),
        "p": [[int(group.turn), group.items] for group in hint.backlog],
    }


def _jobs(hint: OwnHint) -> dict[str, Any]:
    return {"j": sorted(hint.open_jobs), "f": sorted(hint.done_jobs)}
