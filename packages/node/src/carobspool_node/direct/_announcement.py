"""Encode announcements, for entries of this version and of the previous one.

An announcement is one datagram. The jobs that do not fit are left out: first those whose results
the sender serves, then those it works on, then released ones, and ended ones last. What is left out
is found in other ways: an owner is asked, and the store is read.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import cbor2
from msgspec import Struct

from carobspool_core.direct import by_instance, latest_starts
from carobspool_node.direct._load_hint import pack_loads, pack_service_keys
from carobspool_node.direct._peer import AnnouncementContent
from carobspool_node.organisations import pack_counts

MAX_ANNOUNCEMENT_BYTES = 56_000
"""Below the longest datagram that a receiver reads, 60,000 bytes."""
_TEXT_OVERHEAD_BYTES = 3
"""Bytes that CBOR puts before a text of up to 65,535 bytes."""
_JOBS_OVERHEAD_BYTES = 32
"""Keys and lengths of the four lists of jobs."""


class Sender(Struct, frozen=True, kw_only=True):
    """The entry that sends hints.

    Attributes:
        name: Name of the entry.
        incarnation: Incarnation of the entry's process.
        address: Address at which the entry receives hints and calls.
        failure_domain: Failure domain of the entry; announced, if not empty, to state that the
            entry reads bundles.
        host_capacity: Announced capacity of the host, ``None`` if the entry does not relay hints.
    """

    name: str
    incarnation: str
    address: tuple[str, int]
    failure_domain: str = ""
    host_capacity: float | None = None


def encode_announcement(
    sender: Sender,
    hint: AnnouncementContent,
    *,
    sequence: int,
    silent: Sequence[str],
    ended: Sequence[str],
) -> bytes:
    """Encode an announcement for entries of this version.

    Args:
        sender: The sending entry.
        hint: Content of the announcement.
        sequence: Grows with each hint.
        silent: Names of peers from which the sender receives no hints.
        ended: Ids of jobs that the sender has recently ended in the store.
    """
    message = _common_fields(sender, hint, sequence)
    message |= {"k": pack_loads(hint.loads), "w": dict(hint.waiting)}
    message |= {"q": list(silent), "g": pack_counts(hint.counts)}
    if hint.backlog:
        message["t"] = pack_service_keys(hint.backlog)
    if hint.paces:
        message["m"] = hint.paces
    if hint.queue.waiting:
        message |= {"u": hint.queue.waiting, "us": hint.queue.services}
    return _with_jobs(message | _relay_fields(sender), hint, ended)


def encode_announcement_for_previous_version(
    sender: Sender,
    hint: AnnouncementContent,
    *,
    sequence: int,
    silent: Sequence[str],
    ended: Sequence[str],
) -> bytes:
    """Encode an announcement in the format of the previous version.

    Loads are keyed by the upstream's instance id, with start times in a field of their own.
    """
    starts = latest_starts([*hint.loads, *hint.failures])
    loads = by_instance(hint.loads, starts)
    message = _common_fields(sender, hint, sequence)
    message |= {
        "l": {key: [load.online, load.batch] for key, load in loads.items()},
        "b": starts,
        "w": dict(hint.waiting),
        "q": list(silent),
    }
    return _with_jobs(message, hint, ended)


def _common_fields(sender: Sender, hint: AnnouncementContent, sequence: int) -> dict[str, Any]:
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
        "s": hint.store_ok,
        "o": int(hint.answer_age),
        "p": [[int(group.start_order), group.items] for group in hint.backlog],
    }


def _relay_fields(sender: Sender) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    if sender.failure_domain:
        fields["z"] = sender.failure_domain
        # States that the sender compares load hints and counts hints separately.
        fields["y"] = True
    if sender.host_capacity is not None:
        fields["h"] = sender.host_capacity
    return fields


def _with_jobs(message: dict[str, Any], hint: AnnouncementContent, ended: Sequence[str]) -> bytes:
    """Return a message with the jobs that fit into it."""
    room = MAX_ANNOUNCEMENT_BYTES - len(cbor2.dumps(message)) - _JOBS_OVERHEAD_BYTES
    jobs: dict[str, list[str]] = {}
    for key, names in (
        ("d", list(ended)),
        ("r", sorted(hint.released)),
        ("j", sorted(hint.open_jobs)),
        ("f", sorted(hint.done_jobs)),
    ):
        jobs[key], room = _take_fitting(names, room)
    return cbor2.dumps(message | jobs)


def _take_fitting(names: Sequence[str], room: int) -> tuple[list[str], int]:
    """Return the first names that fit, and the room that is left."""
    for count, name in enumerate(names):
        size = len(name.encode()) + _TEXT_OVERHEAD_BYTES
        if size > room:
            return list(names[:count]), room
        room -= size
    return list(names), room
