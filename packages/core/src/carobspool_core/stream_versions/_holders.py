"""Which entries keep the origin of a stream beside the one at which it began."""

from __future__ import annotations

from collections.abc import Iterable

from carobspool_core._rendezvous import preferred_nodes

HOLDERS = 2
"""Entries that are told. With the one at which the stream began, the origin outlasts the loss of
any two entries at the same moment."""
ASKED = HOLDERS + 2
"""Entries that are asked. Two more than are told: the entry at which the stream began was no
candidate there and may be one here, and so may an entry whose loss is not noticed yet."""


def holders_of(stream_id: str, peers: Iterable[str]) -> list[str]:
    """Return the peers that are told the origin of a stream which began at this entry.

    Args:
        stream_id: Request id of the caller's attempt that brought the first event.
        peers: Names of the live peers that are not leaving.
    """
    return preferred_nodes(stream_id, peers, HOLDERS)


def peers_to_ask(stream_id: str, own_name: str, peers: Iterable[str]) -> list[str]:
    """Return the peers that may have been told the origin of a stream, without this entry.

    Args:
        stream_id: Request id of the caller's attempt that brought the first event.
        own_name: Name of this entry, which may be one of those that are told.
        peers: Names of the live peers.
    """
    preferred = preferred_nodes(stream_id, (own_name, *peers), ASKED)
    return [name for name in preferred if name != own_name]
