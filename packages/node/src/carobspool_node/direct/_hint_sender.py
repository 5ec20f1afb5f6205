"""Send hints to the other entries, to each in a format that it can read."""

from __future__ import annotations

import errno
import socket
import threading
from collections.abc import Callable, Iterable, Mapping, Sequence

from absl import logging

from carobspool_core import Clock, Millis, SuspectUpdate
from carobspool_core.direct import Load, WaitingGroup
from carobspool_core.hint_relays import HintKind, WaitingHint
from carobspool_core.online_queue import NOTHING_QUEUED, QueueReport
from carobspool_core.stream_versions import StreamOrigin
from carobspool_node.direct._announcement import (
    Sender,
    encode_announcement,
    encode_announcement_for_previous_version,
)
from carobspool_node.direct._hint_targets import HintTargets
from carobspool_node.direct._load_hint import encode_counts_hint, encode_load_hint
from carobspool_node.direct._origin_messages import encode_origins_hint
from carobspool_node.direct._peer import AnnouncementContent
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
        loads_changed: bool = True,
    ) -> None:
        """Send load hints and counts hints, or leave them to the relays for some entries.

        While counts go directly, the load hint and the counts hint of a change have the same
        number, since they carry the same counts.

        Args:
            loads: Requests in flight at this entry, by the upstream's identity.
            backlog: Batch items that wait at this entry.
            counts: Changed counts of admitted requests, by the organisation's key.
            targets: Addresses of the other entries.
            sharers: Entries that use the same upstreams, ``None`` for all; only these get loads.
            queue: What this entry reports of the online requests that wait here.
            loads_changed: Whether the loads or the report of waiting requests have changed since
                the last hint. If they have not, and counts go directly, counts hints are sent in
                place of load hints.
        """
        sequence = self._next_sequence()
        all_recipients = targets.load_recipients(sharers)
        recipients = all_recipients - targets.relayed
        counts_recipients: frozenset[str] = frozenset()
        if targets.sends_counts_directly:
            if not loads_changed:
                recipients = all_recipients - targets.kind_separators
            counts_recipients = all_recipients - recipients
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
        if is_relay and (loads_changed or not targets.sends_counts_directly):
            data = self._load_hint(loads, backlog, counts, sequence, queue)
            self._pass_on("load", sequence, data)
        self._send_counts(counts, sequence, targets, all_recipients, counts_recipients)

    def _send_counts(
        self,
        counts: Mapping[int, int],
        sequence: int,
        targets: HintTargets,
        load_recipients: frozenset[str],
        names: frozenset[str],
    ) -> None:
        """Send a counts hint to the named entries and, if due, to those that get no loads."""
        counts_only = targets.count_readers - load_recipients
        passes_on = False
        if counts and counts_only and self._admit_counts_hint(len(counts_only)):
            if targets.sends_counts_directly:
                names |= counts_only
            else:
                names |= counts_only - targets.relayed
                passes_on = bool(targets.relayed) and targets.relay is None
                if targets.relay is not None and counts_only & targets.relayed:
                    names |= {targets.relay}
        if not names and not passes_on:
            return
        data = self._counts_hint(counts, sequence)
        if passes_on:
            self._pass_on("counts", sequence, data)
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

    def send_origins(
        self,
        origin: StreamOrigin,
        streams: Sequence[str],
        targets: HintTargets,
        names: Sequence[str],
    ) -> None:
        """Tell some of the current entries where streams began."""
        data = encode_origins_hint(
            name=self._sender.name,
            incarnation=self._sender.incarnation,
            origin=origin,
            streams=streams,
        )
        known = [name for name in names if name in targets.current]
        self._dispatch("origins", data, _addresses(targets, known))

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
            queue=queue,
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
            try:
                self._socket.sendto(data, address)
            except OSError as error:
                # Other errors are those of single addresses, whose hosts may be gone.
                if error.errno == errno.EMSGSIZE:
                    logging.error("event=hint_too_long bytes=%d", len(data))
                    return


def _addresses(targets: HintTargets, names: Iterable[str]) -> list[Address]:
    return [targets.current[name] for name in names]
