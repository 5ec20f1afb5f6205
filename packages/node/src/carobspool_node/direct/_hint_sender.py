"""Sends hints to the other entries: each gets the form that it reads."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterable, Mapping, Sequence

from carobspool_core import Clock, Millis
from carobspool_core.direct import Load, WaitingGroup
from carobspool_node.direct._announcement import (
    Sender,
    encode_announcement,
    encode_for_version_before,
)
from carobspool_node.direct._load_hint import encode_counts_hint, encode_load_hint
from carobspool_node.direct._peer import OwnHint
from carobspool_node.direct._peer_table import Targets

Address = tuple[str, int]

COUNTS_GAP: Millis = 2.0
"""Time between two hints of counts to entries that share no upstream, for each of these. They are
told for the limits alone, which bear that, and heartbeats tell them all."""


class HintSender:
    """Numbers and sends hints; safe for threads.

    Args:
        clock: The process's clock.
        sock: Where they are sent from.
        sender: Who this entry is.
    """

    def __init__(self, clock: Clock, sock: socket.socket, sender: Sender) -> None:
        self._clock = clock
        self._socket = sock
        self._counts_told: Millis = float("-inf")
        self._sender = sender
        self._lock = threading.Lock()
        self._sequence = 0

    def announce(
        self,
        hint: OwnHint,
        *,
        current: Iterable[Address],
        others: Iterable[Address],
        silent: Sequence[str],
        ended: Sequence[str],
    ) -> None:
        """Send all that is told.

        Args:
            hint: What this entry tells of itself.
            current: Entries that read load hints.
            others: Entries of the version before.
            silent: Peers that this entry does not hear.
            ended: Jobs that it has ended in the store of late.
        """
        sequence = self._next_sequence()
        for addresses, encode in (
            (list(current), encode_announcement),
            (list(others), encode_for_version_before),
        ):
            if addresses:
                data = encode(self._sender, hint, sequence=sequence, silent=silent, ended=ended)
                self._send(data, addresses)

    def tell_loads(
        self,
        loads: Mapping[str, Load],
        backlog: Sequence[WaitingGroup],
        counts: Mapping[int, int],
        *,
        targets: Targets,
        sharers: frozenset[str] | None,
    ) -> None:
        """Send what is in flight here and what was admitted.

        Args:
            loads: By the upstream's identity.
            backlog: Batch items that wait here.
            counts: Requests admitted, by the organisation's key; only what has changed.
            targets: Where the other entries are.
            sharers: Those that use the same upstreams, ``None`` for all; only these are told loads.
        """
        sequence = self._next_sequence()
        told = targets.told_loads(sharers)
        reading = told & targets.counting if counts else frozenset()
        self._send_loads(loads, backlog, {}, sequence, _addresses(targets, told - reading))
        self._send_loads(loads, backlog, counts, sequence, _addresses(targets, reading))
        rest = targets.counting - told
        if counts and rest and self._may_tell_counts(len(rest)):
            data = encode_counts_hint(
                name=self._sender.name,
                incarnation=self._sender.incarnation,
                sequence=sequence,
                counts=counts,
            )
            self._send(data, _addresses(targets, rest))

    def _send_loads(
        self,
        loads: Mapping[str, Load],
        backlog: Sequence[WaitingGroup],
        counts: Mapping[int, int],
        sequence: int,
        addresses: Sequence[Address],
    ) -> None:
        if not addresses:
            return
        data = encode_load_hint(
            name=self._sender.name,
            incarnation=self._sender.incarnation,
            sequence=sequence,
            loads=loads,
            backlog=backlog,
            counts=counts,
        )
        self._send(data, addresses)

    def _may_tell_counts(self, entries: int) -> bool:
        now = self._clock.now()
        if now - self._counts_told < entries * COUNTS_GAP:
            return False
        self._counts_told = now
        return True

    def _next_sequence(self) -> int:
        with self._lock:
            self._sequence += 1
            return self._sequence

    def _send(self, data: bytes, addresses: Iterable[Address]) -> None:
        for address in addresses:
            with contextlib.suppress(OSError):
                self._socket.sendto(data, address)


def _addresses(targets: Targets, names: Iterable[str]) -> list[Address]:
    return [targets.current[name] for name in names]
