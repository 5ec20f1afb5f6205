"""Send hints to the other entries, to each in a format that it can read."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence

from carobspool_core import Clock, Millis, SuspectUpdate
from carobspool_core.direct import Load, WaitingGroup
from carobspool_core.hint_relays import HintKind, WaitingHint
from carobspool_core.online_queue import NOTHING_QUEUED, QueueReport
from carobspool_node.direct._announcement import (
    Sender,
    encode_announcement,
    encode_announcement_for_previous_version,
)
from carobspool_node.direct._load_hint import encode_counts_hint, encode_load_hint
from carobspool_node.direct._peer import AnnouncementContent
from carobspool_node.direct._peer_table import HintTargets
from carobspool_node.direct._suspect_messages import encode_suspects_hint
from carobspool_node.hint_relays import HintTraffic

Address = tuple[str, int]

COUNTS_INTERVAL_PER_ENTRY: Millis = 2.0
"""Minimum time between two counts hints to the entries that share no upstream with this one, for
each such entry. They need the counts only for request limits, which tolerate the delay, and
heartbeats carry all counts."""


class HintSender:
    """Numbers and sends hints; safe for threads.

    Args:
        clock: The process's clock.
        sock: Socket from which hints are sent.
        sender: Name, incarnation and address of this entry.
        traffic: Counts the sent datagrams.
        collect: Called with each hint that this entry, as the relay, has to pass on.
    """

    def __init__(
        self,
        clock: Clock,
        sock: socket.socket,
        sender: Sender,
        traffic: HintTraffic | None = None,
        collect: Callable[[WaitingHint], None] = lambda hint: None,
    ) -> None:
        self._clock = clock
        self._socket = sock
        self._counts_sent_at: Millis = float("-inf")
        self._sender = sender
        self._traffic = traffic
        self._collect = collect
        self._lock = threading.Lock()
        self._sequence = 0

    def announce(
        self,
        hint: AnnouncementContent,
        *,
        current: Iterable[Address],
        others: Iterable[Address],
        silent: Sequence[str],
        ended: Sequence[str],
    ) -> None:
        """Send an announcement.

        Args:
            hint: Content of the announcement.
            current: Addresses of entries that read load hints.
            others: Addresses of all other entries, which get the format of the previous version.
            silent: Names of peers from which this entry receives no hints.
            ended: Ids of jobs that this entry has recently ended in the store.
        """
        sequence = self._next_sequence()
        for addresses, encode in (
            (list(current), encode_announcement),
            (list(others), encode_announcement_for_previous_version),
        ):
            if addresses:
                data = encode(self._sender, hint, sequence=sequence, silent=silent, ended=ended)
                self._dispatch("announcement", data, addresses)

    def send_loads(
        self,
        loads: Mapping[str, Load],
        backlog: Sequence[WaitingGroup],
        counts: Mapping[int, int],
        *,
        targets: HintTargets,
        sharers: frozenset[str] | None,
        queue: QueueReport = NOTHING_QUEUED,
    ) -> None:
        """Send load hints and counts hints, or leave them to the relays for some entries.

        Args:
            loads: Requests in flight at this entry, by the upstream's identity.
            backlog: Batch items that wait at this entry.
            counts: Changed counts of admitted requests, by the organisation's key.
            targets: Addresses of the other entries.
            sharers: Entries that use the same upstreams, ``None`` for all; only these get loads.
            queue: What this entry reports of the online requests that wait here.
        """
        sequence = self._next_sequence()
        all_recipients = targets.load_recipients(sharers)
        recipients = all_recipients - targets.relayed
        with_counts = (
            recipients & targets.count_readers if counts or queue.is_reported else frozenset()
        )
        self._send_load_hint(
            loads, backlog, {}, sequence, _addresses(targets, recipients - with_counts)
        )
        self._send_load_hint(
            loads, backlog, counts, sequence, _addresses(targets, with_counts), queue
        )
        is_relay = bool(targets.relayed) and targets.relay is None
        if is_relay:
            data = self._load_hint(loads, backlog, counts, sequence, queue)
            self._pass_on("load", sequence, data)
        counts_only = targets.count_readers - all_recipients
        if counts and counts_only and self._admit_counts_hint(len(counts_only)):
            data = self._counts_hint(counts, sequence)
            names = counts_only - targets.relayed
            if is_relay:
                self._pass_on("counts", sequence, data)
            elif targets.relay is not None and counts_only & targets.relayed:
                names |= {targets.relay}
            self._dispatch("counts", data, _addresses(targets, names & targets.current.keys()))

    def send_heartbeat_without_loads(
        self, counts: Mapping[int, int], targets: HintTargets, names: frozenset[str]
    ) -> None:
        """Send a heartbeat to entries that need no loads of this entry."""
        data = self._counts_hint(counts, self._next_sequence())
        self._dispatch("counts", data, _addresses(targets, names & targets.count_readers))

    def send_bundle(self, data: bytes, addresses: Sequence[Address]) -> None:
        """Send hints that this entry passes on as a relay."""
        self._dispatch("relayed", data, addresses)

    def send_suspects(self, updates: Sequence[SuspectUpdate], targets: HintTargets) -> None:
        """Send changed evidence against requests to the entries that read such hints."""
        data = encode_suspects_hint(
            name=self._sender.name, incarnation=self._sender.incarnation, updates=updates
        )
        self._dispatch("suspects", data, _addresses(targets, targets.suspect_readers))

    def _send_load_hint(
        self,
        loads: Mapping[str, Load],
        backlog: Sequence[WaitingGroup],
        counts: Mapping[int, int],
        sequence: int,
        addresses: Sequence[Address],
        queue: QueueReport = NOTHING_QUEUED,
    ) -> None:
        if addresses:
            data = self._load_hint(loads, backlog, counts, sequence, queue)
            self._dispatch("load", data, addresses)

    def _load_hint(
        self,
        loads: Mapping[str, Load],
        backlog: Sequence[WaitingGroup],
        counts: Mapping[int, int],
        sequence: int,
        queue: QueueReport,
    ) -> bytes:
        return encode_load_hint(
            name=self._sender.name,
            incarnation=self._sender.incarnation,
            sequence=sequence,
            loads=loads,
            backlog=backlog,
            counts=counts,
            waiting=queue.waiting,
            handovers=queue.handovers,
        )

    def _counts_hint(self, counts: Mapping[int, int], sequence: int) -> bytes:
        return encode_counts_hint(
            name=self._sender.name,
            incarnation=self._sender.incarnation,
            sequence=sequence,
            counts=counts,
        )

    def _pass_on(self, kind: HintKind, sequence: int, data: bytes) -> None:
        self._collect(
            WaitingHint(
                name=self._sender.name,
                incarnation=self._sender.incarnation,
                sequence=sequence,
                kind=kind,
                data=data,
            )
        )

    def _admit_counts_hint(self, entries: int) -> bool:
        """Return whether a counts hint may be sent now, and restart its interval if so."""
        now = self._clock.now()
        if now - self._counts_sent_at < entries * COUNTS_INTERVAL_PER_ENTRY:
            return False
        self._counts_sent_at = now
        return True

    def _next_sequence(self) -> int:
        with self._lock:
            self._sequence += 1
            return self._sequence

    def _dispatch(self, kind: str, data: bytes, addresses: Sequence[Address]) -> None:
        self._send(data, addresses)
        if self._traffic is not None:
            self._traffic.record(kind, len(data), addresses)

    def _send(self, data: bytes, addresses: Iterable[Address]) -> None:
        for address in addresses:
            with contextlib.suppress(OSError):
                self._socket.sendto(data, address)


def _addresses(targets: HintTargets, names: Iterable[str]) -> list[Address]:
    return [targets.current[name] for name in names]
