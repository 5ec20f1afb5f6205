"""Receive hints from peers and pass them to the table of peers and to event callbacks."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterable, Mapping, Sequence
from itertools import chain

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
from carobspool_node.direct._origin_messages import OriginsHint, read_origins_hint
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_messages import Announcement, decode_cbor
from carobspool_node.direct._peer_table import NewContent, PeerTable
from carobspool_node.direct._relayed_hints import RelayedHints
from carobspool_node.direct._suspect_messages import SuspectState, read_suspects_hint
from carobspool_node.hint_relays import HintRelays, read_bundle
from carobspool_node.online_queue import unpack_keys
from carobspool_node.organisations import unpack_counts

MAX_DATAGRAM_BYTES = 60_000
BATCH_WINDOW: Millis = 8.0
"""Time for which hints are collected before they are processed as a batch. Dozens of entries send
hundreds of hints a second, and each wake-up of the process costs more than reading a hint."""
MAX_BATCH_HINTS = 1_000
"""Maximum number of hints in a batch, about as many as hundreds of entries send in a second."""

LoadsCallback = Callable[[str, Mapping[str, Load], Mapping[str, int] | None, bool], None]
"""Called with a peer's name, its requests in flight, the failures that it has seen, ``None`` if
the hint reports none, and whether the peer knows start times of upstreams. Loads and failures are
keyed by the upstream's identity, or by its instance id if the peer does not know start times."""
HandoversCallback = Callable[[str, bytes | None, Mapping[int, Load]], None]
BacklogCallback = Callable[[str, Sequence[WaitingGroup]], None]
"""Called with a peer's name and the batch items that wait at the peer."""


class PeerCallbacks(Struct, frozen=True, kw_only=True):
    """Callbacks for the content of peers' hints and for silent peers.

    Attributes:
        loads: Called with a peer's loads and failures.
        backlog: Called with a peer's name and the batch items that wait at the peer.
        versions: Called with a peer's name and the versions that the peer has seen.
        lost: Called with a peer whose jobs need new owners.
        gone: Called with a peer that is not expected to come back.
        ended: Called with the ids of jobs that a peer has ended in the store.
        jobs: Called with the identity of a peer and the ids of the jobs that it works on or holds
            results of.
        counts: Called with a peer's name, its incarnation and the number of requests that it has
            admitted, by the organisation's key.
        without_loads: Called with a peer's name when a hint without loads has arrived.
        suspects: Called with changed evidence against requests that crash upstreams.
        origins: Called with the origin of streams that began at a peer.
        waiting: Called with a peer's name, the packed numbers of online requests that wait there
            and the packed keys of their services.
        handovers: Called with a peer's name, the packed slots that it hands over, and its loads by
            the upstream's key, after `waiting` and before `loads`.
    """

    loads: LoadsCallback = lambda peer, loads, failures, knows_starts: None
    backlog: BacklogCallback = lambda peer, groups: None
    versions: Callable[[str, Mapping[str, int]], None] = lambda peer, versions: None
    lost: Callable[[Peer], None] = lambda peer: None
    gone: Callable[[Peer], None] = lambda peer: None
    ended: Callable[[Sequence[str]], None] = lambda job_ids: None
    jobs: Callable[[str, Iterable[str]], None] = lambda peer, job_ids: None
    counts: Callable[[str, str, Mapping[int, int]], None] = lambda peer, incarnation, counts: None
    without_loads: Callable[[str], None] = lambda peer: None
    suspects: Callable[[Sequence[SuspectState]], None] = lambda suspects: None
    origins: Callable[[OriginsHint], None] = lambda hint: None
    paces: Callable[[bytes], None] = lambda packed: None
    waiting: Callable[[str, bytes, bytes], None] = lambda peer, packed, services: None
    handovers: HandoversCallback = lambda peer, packed, loads: None


class HintReceiver:
    """Receives and decodes the hints of other entries.

    Args:
        hints: Socket on which hints arrive.
        table: Table of the peers.
        identities_by_key: Returns the upstreams that load hints may name.
        bad_hints: Logs and counts invalid datagrams.
        relays: Passes hints on between failure domains.
    """

    def __init__(
        self,
        hints: socket.socket,
        table: PeerTable,
        identities_by_key: Callable[[], Mapping[int, str]],
        bad_hints: BadRecords,
        relays: HintRelays,
    ) -> None:
        self._socket = hints
        self._table = table
        self._identities_by_key = identities_by_key
        self._bad_hints = bad_hints
        self._relayed = RelayedHints(table, relays, bad_hints)
        self._events = PeerCallbacks()
        self._stopped = threading.Event()

    def start(self, events: PeerCallbacks) -> None:
        """Start the receiving thread.

        Args:
            events: Callbacks for received hints.
        """
        self._events = events
        threading.Thread(target=self._receive_loop, name="hints-in", daemon=True).start()

    def stop(self) -> None:
        """Make the receiving thread exit at the next socket error."""
        self._stopped.set()

    def receive(self, message: Json, data: bytes = b"") -> None:
        """Apply one decoded hint.

        Args:
            message: The decoded hint.
            data: The hint as received, which this entry may have to pass on.

        Raises:
            UnusableRecordError: The message is not a valid hint.
        """
        loads = read_load_hint(message)
        if loads is not None:
            self._relayed.collect(loads, data)
            self._apply_load_hint(loads)
            return
        counts = read_counts_hint(message)
        if counts is not None:
            self._relayed.collect(counts, data)
            self._apply_counts_hint(counts)
            return
        bundle = read_bundle(message)
        if bundle is not None:
            for hint in self._relayed.open_bundle(bundle.relay, bundle.incarnation, bundle.hints):
                self._apply_relayed(hint)
            return
        suspects = read_suspects_hint(message)
        if suspects is not None:
            if self._table.knows(suspects.name, suspects.incarnation):
                self._events.suspects(suspects.suspects)
            return
        origins = read_origins_hint(message)
        if origins is not None:
            if self._table.knows(origins.name, origins.incarnation):
                self._events.origins(origins)
            return
        self._apply_announcement(read_record(Announcement, message))

    def _receive_loop(self) -> None:
        while True:
            try:
                received = self._receive_batch()
            except OSError as error:
                if self._stopped.is_set():
                    return
                logging.warning("event=hint_socket_failed reason=%r", error)
                continue
            for data, sender in received:
                self._receive_datagram(data, sender)

    def _receive_batch(self) -> list[tuple[bytes, tuple[str, int]]]:
        """Wait for a hint; return it with those that arrive within `BATCH_WINDOW` after it."""
        received = [self._socket.recvfrom(MAX_DATAGRAM_BYTES)]
        time.sleep(BATCH_WINDOW / 1000.0)
        with contextlib.suppress(BlockingIOError):
            while len(received) < MAX_BATCH_HINTS:
                received.append(self._socket.recvfrom(MAX_DATAGRAM_BYTES, socket.MSG_DONTWAIT))
        return received

    def _receive_datagram(self, data: bytes, sender: tuple[str, int]) -> None:
        try:
            self.receive(decode_cbor(data), data)
        except UnusableRecordError as error:
            self._bad_hints.report(f"{sender[0]}:{sender[1]}", error)
        except Exception:  # noqa: BLE001
            # An error in one hint must not stop the thread: an entry that receives no hints
            # declares all peers dead and runs their jobs again.
            logging.exception("event=hint_failed")

    def _apply_relayed(self, hint: LoadHint | CountsHint) -> None:
        if isinstance(hint, LoadHint):
            self._apply_load_hint(hint, relayed=True)
        else:
            self._apply_counts_hint(hint, relayed=True)

    def _apply_load_hint(self, hint: LoadHint, *, relayed: bool = False) -> None:
        """Pass the backlog, loads and counts of a hint to the callbacks, as far as they are new."""
        new = self._table.record_hint(hint, relayed=relayed)
        if new.loads:
            self._events.backlog(hint.name, hint.backlog)
            self._events.waiting(hint.name, hint.waiting, hint.waiting_services)
            self._events.handovers(hint.name, hint.handovers, hint.loads)
            self._events.loads(hint.name, self._by_known_identity(hint.loads), None, True)
        if new.counts:
            self._events.counts(hint.name, hint.incarnation, hint.counts)

    def _apply_counts_hint(self, hint: CountsHint, *, relayed: bool = False) -> None:
        if self._table.record_hint(hint, relayed=relayed).counts:
            self._events.without_loads(hint.name)
            self._events.counts(hint.name, hint.incarnation, hint.counts)

    def _apply_announcement(self, announcement: Announcement) -> None:
        packed = unpack_loads(announcement.packed_loads)
        counts = unpack_counts(announcement.packed_counts or b"")
        lost = self._table.apply_announcement(announcement)
        if lost is not None:
            self._events.lost(lost)
        self._events.ended(announcement.ended)
        self._events.jobs(
            f"{announcement.name}#{announcement.incarnation}",
            chain(announcement.open_jobs or (), announcement.done_jobs),
        )
        services = unpack_keys(announcement.packed_services, len(announcement.backlog))
        groups = [
            WaitingGroup(float(start_order), count, service)
            for (start_order, count), service in zip(announcement.backlog, services, strict=True)
        ]
        self._events.backlog(announcement.name, groups)
        self._apply_announced_loads(announcement, packed, counts)
        self._events.paces(announcement.packed_paces)
        self._events.versions(announcement.name, announcement.versions)

    def _apply_announced_loads(
        self, announcement: Announcement, packed: Mapping[int, Load], counts: Mapping[int, int]
    ) -> None:
        starts = announcement.starts or {}
        failures = by_identity(announcement.failures, starts)
        new = NewContent(loads=True, counts=True)
        if announcement.sequence is not None:
            # A hint that was sent later may have arrived already.
            new = self._table.advance_sequence(
                announcement.name, announcement.incarnation, announcement.sequence
            )
        if new.loads:
            self._events.waiting(
                announcement.name, announcement.packed_waiting, announcement.waiting_services
            )
            loads = by_identity(
                {key: Load(*pair) for key, pair in announcement.loads.items()}, starts
            )
            loads |= self._by_known_identity(packed)
            self._events.loads(announcement.name, loads, failures, announcement.starts is not None)
        if new.counts:
            self._events.counts(announcement.name, announcement.incarnation, counts)

    def _by_known_identity(self, loads: Mapping[int, Load]) -> dict[str, Load]:
        identities = self._identities_by_key()
        return {identities[key]: load for key, load in loads.items() if key in identities}
