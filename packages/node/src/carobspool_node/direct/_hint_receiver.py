"""Receiving of hints: what a datagram says goes to the table of peers and to whoever uses it."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Mapping, Sequence

from absl import logging
from msgspec import Struct

from carobspool_core import Json, Millis
from carobspool_core.direct import Load, WaitingGroup, by_identity
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import read_record
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._load_hint import (
    CountsHint,
    LoadHint,
    read_counts_hint,
    read_load_hint,
    unpack_loads,
)
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_messages import Announcement, decode_cbor
from carobspool_node.direct._peer_table import PeerTable
from carobspool_node.organisations import unpack_counts

MAX_DATAGRAM = 60_000
GATHER: Millis = 8.0
"""Time in which hints are gathered before they are taken together. Dozens of entries send hundreds
of them a second, and each waking of the process costs more than what a hint says."""
MOST_AT_ONCE = 1_000
"""Hints taken together; what a second brings from hundreds of entries."""

OnLoads = Callable[[str, Mapping[str, Load], Mapping[str, int] | None, bool], None]
"""Takes a peer's name, what it has in flight, the failures that it has seen if it tells them, both
by the upstream's identity, and whether it knows upstreams' starts; if not, both come by the bare
id."""
OnBacklog = Callable[[str, Sequence[WaitingGroup]], None]
"""Takes a peer's name and the batch items that wait there."""


class PeerEvents(Struct, frozen=True, kw_only=True):
    """What is done with what peers tell, and with their silence."""

    loads: OnLoads = lambda peer, loads, failures, knows_starts: None
    backlog: OnBacklog = lambda peer, groups: None
    versions: Callable[[str, Mapping[str, int]], None] = lambda peer, versions: None
    lost: Callable[[Peer], None] = lambda peer: None
    gone: Callable[[Peer], None] = lambda peer: None
    ended: Callable[[Sequence[str]], None] = lambda job_ids: None
    counts: Callable[[str, str, Mapping[int, int]], None] = lambda peer, incarnation, counts: None


class HintReceiver:
    """Takes the hints of other entries.

    Args:
        hints: Socket on which they come.
        table: Who the peers are.
        identities_by_key: Returns the upstreams that load hints may name.
        bad_hints: Tells of datagrams that are no hints.
    """

    def __init__(
        self,
        hints: socket.socket,
        table: PeerTable,
        identities_by_key: Callable[[], Mapping[int, str]],
        bad_hints: BadRecords,
    ) -> None:
        self._socket = hints
        self._table = table
        self._identities_by_key = identities_by_key
        self._bad_hints = bad_hints
        self._events = PeerEvents()
        self._stopped = threading.Event()

    def start(self, events: PeerEvents) -> None:
        """Start to receive.

        Args:
            events: What is done with what peers tell.
        """
        self._events = events
        threading.Thread(target=self._loop, name="hints-in", daemon=True).start()

    def stop(self) -> None:
        """Take an error of the socket for its end."""
        self._stopped.set()

    def receive(self, message: Json) -> None:
        """Take one decoded hint.

        Raises:
            UnusableRecordError: It is none.
        """
        loads = read_load_hint(message)
        if loads is not None:
            self._receive_loads(loads)
            return
        counts = read_counts_hint(message)
        if counts is not None:
            self._receive_counts(counts)
            return
        self._receive_announcement(read_record(Announcement, message))

    def _loop(self) -> None:
        while True:
            try:
                received = self._await_hints()
            except OSError as error:
                if self._stopped.is_set():
                    return
                logging.warning("event=hint_socket_failed reason=%r", error)
                continue
            for data, sender in received:
                self._receive_datagram(data, sender)

    def _await_hints(self) -> list[tuple[bytes, tuple[str, int]]]:
        """Return the hints that come within `GATHER` of the next one."""
        received = [self._socket.recvfrom(MAX_DATAGRAM)]
        time.sleep(GATHER / 1000.0)
        with contextlib.suppress(BlockingIOError):
            while len(received) < MOST_AT_ONCE:
                received.append(self._socket.recvfrom(MAX_DATAGRAM, socket.MSG_DONTWAIT))
        return received

    def _receive_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            self.receive(decode_cbor(data))
        except UnusableRecordError as error:
            self._bad_hints.tell(f"{sender[0]}:{sender[1]}", error)
        except Exception:  # noqa: BLE001
            # Whatever one hint causes, the next ones must be heard: a deaf entry takes all
            # others for dead and runs their jobs again.
            logging.exception("event=hint_failed")

    def _receive_loads(self, told: LoadHint) -> None:
        if not self._table.receive_small(told):
            return
        self._events.backlog(told.name, told.backlog)
        self._events.loads(told.name, self._known(told.loads), None, True)
        self._events.counts(told.name, told.incarnation, told.counts)

    def _receive_counts(self, told: CountsHint) -> None:
        if self._table.receive_small(told):
            self._events.counts(told.name, told.incarnation, told.counts)

    def _receive_announcement(self, told: Announcement) -> None:
        packed = unpack_loads(told.packed_loads)
        counts = unpack_counts(told.packed_counts or b"")
        lost = self._table.receive(told)
        if lost is not None:
            self._events.lost(lost)
        self._events.ended(told.ended)
        groups = [WaitingGroup(float(turn), count) for turn, count in told.backlog]
        self._events.backlog(told.name, groups)
        self._receive_all_loads(told, packed, counts)
        self._events.versions(told.name, told.versions)

    def _receive_all_loads(
        self, told: Announcement, packed: Mapping[int, Load], counts: Mapping[int, int]
    ) -> None:
        starts = told.starts or {}
        failures = by_identity(told.failures, starts)
        if told.sequence is not None and not self._table.is_newest(
            told.name, told.incarnation, told.sequence
        ):
            # A load hint sent after it has come before it.
            return
        loads = by_identity({key: Load(*pair) for key, pair in told.loads.items()}, starts)
        loads |= self._known(packed)
        self._events.loads(told.name, loads, failures, told.starts is not None)
        self._events.counts(told.name, told.incarnation, counts)

    def _known(self, loads: Mapping[int, Load]) -> dict[str, Load]:
        identities = self._identities_by_key()
        return {identities[key]: load for key, load in loads.items() if key in identities}
