"""Hints between entries: who lives, what each has in flight, which jobs each works on.

Datagrams of CBOR. A lost one is replaced by the next; nothing that must be true rests on them. They
choose upstreams, tell where a job's results are read without a call to the store, and show that an
entry has fallen silent, whose jobs another then takes over by conditional write.

An announcement tells all that an entry is and holds, when that changes and now and then. Loads
change far more often and are told at each change, to the entries that use the same upstreams, in a
hint of some sixty bytes. The same hint goes to all twice a second, as the heartbeat.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Hashable, Mapping, Sequence

from absl import logging
from msgspec import Struct

from carobspool_core import Clock, Json, Millis
from carobspool_core.direct import Load, LoadPace, WaitingGroup, by_identity
from carobspool_core.organisations import Neighbour
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import read_record
from carobspool_node.direct._announcement import Sender
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._hint_sender import HintSender
from carobspool_node.direct._load_hint import (
    CountsHint,
    LoadHint,
    read_counts_hint,
    read_load_hint,
    unpack_loads,
)
from carobspool_node.direct._peer import OwnHint, Peer
from carobspool_node.direct._peer_messages import Announcement, decode_cbor
from carobspool_node.direct._peer_table import PeerTable, Targets
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.organisations import unpack_counts

TICK: Millis = 50.0
"""Time between two looks at the silence of peers, and at what has to be announced at once."""
HEARTBEAT_INTERVAL: Millis = 500.0
"""Time between two heartbeats."""
ANNOUNCEMENT_INTERVAL: Millis = 2_000.0
"""Time between two announcements while nothing changes."""
REPEATED_FOR: Millis = 1_100.0
"""How long heartbeats are announcements after a change: a lost datagram is made up for by the next
two."""
ENDS_TOLD_FOR: Millis = 5_000.0
"""How long announcements name a job that this entry has ended in the store, twice a second: ten of
them, and longer than a takeover that was under way takes (three calls of at most 1.5 s)."""
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


class OwnState(Struct, frozen=True, kw_only=True):
    """What this entry tells of itself.

    Attributes:
        loads: Returns what is in flight here, by the upstream's identity.
        backlog: Returns the batch items that wait here.
        urgent: Returns what is announced as soon as it changes.
        describe: Returns all that an announcement holds.
        shares_upstreams: Returns the peers that use the same upstreams, ``None`` for all.
        identities_by_key: Returns the upstreams that load hints may name.
        has_untold_counts: Whether requests were admitted that the others have not been told.
        counts_to_tell: Returns the counts of requests for a hint to all, which tells them; takes
            whether it is a heartbeat.
    """

    loads: Callable[[], Mapping[str, Load]]
    backlog: Callable[[], Sequence[WaitingGroup]]
    urgent: Callable[[], Hashable]
    describe: Callable[[], OwnHint]
    shares_upstreams: Callable[[], frozenset[str] | None]
    identities_by_key: Callable[[], Mapping[int, str]]
    has_untold_counts: Callable[[], bool] = lambda: False
    counts_to_tell: Callable[[bool], Mapping[int, int]] = lambda is_heartbeat: {}


class PeerEvents(Struct, frozen=True, kw_only=True):
    """What is done with what peers tell, and with their silence."""

    loads: OnLoads = lambda peer, loads, failures, knows_starts: None
    backlog: OnBacklog = lambda peer, groups: None
    versions: Callable[[str, Mapping[str, int]], None] = lambda peer, versions: None
    lost: Callable[[Peer], None] = lambda peer: None
    gone: Callable[[Peer], None] = lambda peer: None
    ended: Callable[[Sequence[str]], None] = lambda job_ids: None
    counts: Callable[[str, str, Mapping[int, int]], None] = lambda peer, incarnation, counts: None


class Peers:
    """The other entries of the deployment.

    Args:
        clock: A clock that goes on while the machine is suspended.
        telemetry: Counts hints that are none.
        name: Name of this entry.
        incarnation: Of this process.
        address: Where this entry takes hints.
        own: What this entry tells.
    """

    def __init__(
        self,
        clock: Clock,
        telemetry: Telemetry,
        *,
        name: str,
        incarnation: str,
        address: tuple[str, int],
        own: OwnState,
    ) -> None:
        self._clock = clock
        self._sender = Sender(name=name, incarnation=incarnation, address=address)
        self._own = own
        self._bad_hints = BadRecords(clock, telemetry, "hint", "sender")
        self._table = PeerTable(clock, name)
        self._events = PeerEvents()
        self._lock = threading.Lock()
        self._announced: Millis = 0.0
        self._repeat_until: Millis = clock.now() + REPEATED_FOR
        self._ended: dict[str, Millis] = {}
        self._loads_changed = threading.Event()
        self._stopped = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        self._hints = HintSender(clock, self._socket, self._sender)

    @property
    def identity(self) -> str:
        """Name and incarnation of this entry."""
        return f"{self._sender.name}#{self._sender.incarnation}"

    @property
    def doubt_until(self) -> Millis:
        """Until when others may have acted on jobs of this entry without its knowledge."""
        return self._table.doubt_until

    def start(self, events: PeerEvents) -> None:
        """Start to send and to receive."""
        self._events = events
        threading.Thread(target=self._receive_loop, name="hints-in", daemon=True).start()
        threading.Thread(target=self._send_loop, name="hints-out", daemon=True).start()

    def stop(self) -> None:
        """Announce once more and stop."""
        self.announce()
        self._stopped.set()

    def set_address(self, name: str, address: tuple[str, int] | None) -> None:
        """Take or drop a peer's address from the list of entries."""
        self._table.set_address(name, address)

    def digest_of_names(self) -> int:
        """Return a number that differs when the entries known, living or not, differ."""
        return self._table.digest_of_names()

    def live(self) -> list[Peer]:
        """Return the peers that were heard of late."""
        return self._table.live()

    def by_name(self, name: str) -> Peer | None:
        """Return a live peer by name."""
        for peer in self.live():
            if peer.name == name:
                return peer
        return None

    def by_identity(self, identity: str) -> Peer | None:
        """Return a live peer by name and incarnation."""
        for peer in self.live():
            if peer.identity == identity:
                return peer
        return None

    def holder_of(self, job_id: str) -> Peer | None:
        """Return the live peer that answers for a job."""
        for peer in self.live():
            if peer.answers_for(job_id):
                return peer
        return None

    def loads_changed(self) -> None:
        """Tell the others soon what is in flight here."""
        self._loads_changed.set()

    def announce_ended(self, job_id: str) -> None:
        """Tell all peers, now and for some seconds, that a job has been ended in the store."""
        now = self._clock.now()
        with self._lock:
            self._ended = {key: at for key, at in self._ended.items() if now - at < ENDS_TOLD_FOR}
            self._ended[job_id] = now
        self.announce()

    def announce(self) -> None:
        """Tell all peers everything, at once."""
        now = self._clock.now()
        with self._lock:
            self._announced = now
            self._repeat_until = now + REPEATED_FOR
        targets = self._table.targets()
        self._announce_to(list(targets.current.values()), targets.others)

    def members(self) -> frozenset[str]:
        """Return the peers that were heard within the time of a restart and more."""
        return self._table.members()

    def neighbours(self) -> list[Neighbour]:
        """Return all other entries with when they were heard, those only listed included."""
        return self._table.neighbours()

    def _announce_to(
        self, current: Sequence[tuple[str, int]], others: Sequence[tuple[str, int]]
    ) -> None:
        self._hints.announce(
            self._own.describe(),
            current=current,
            others=others,
            silent=self._table.silent(),
            ended=self._ends_to_tell(),
        )

    def _ends_to_tell(self) -> list[str]:
        now = self._clock.now()
        with self._lock:
            return [key for key, at in self._ended.items() if now - at < ENDS_TOLD_FOR]

    def _send_loop(self) -> None:
        announced: Hashable = None
        told: Mapping[str, Load] = {}
        pace = LoadPace()
        heartbeat_at: Millis = 0.0
        tick_at: Millis = 0.0
        while not self._stopped.is_set():
            pause = TICK
            try:
                now = self._clock.now()
                if now >= tick_at:
                    tick_at = now + TICK
                    self._notice_silence()
                    urgent = (self._own.urgent(), tuple(self._table.silent()))
                    if urgent != announced:
                        announced = urgent
                        heartbeat_at = now + HEARTBEAT_INTERVAL
                        self.announce()
                    elif now >= heartbeat_at:
                        heartbeat_at = now + HEARTBEAT_INTERVAL
                        self._beat(now)
                    self._greet_newcomers()
                loads = self._own.loads()
                if loads != told or self._own.has_untold_counts():
                    targets = self._table.targets()
                    sharers = self._own.shares_upstreams()
                    told_peers = len(targets.told_loads(sharers))
                    pause = pace.wait(now, peers=told_peers)
                    if pause <= 0.0:
                        told = loads
                        self._tell_loads(loads, targets, sharers, is_heartbeat=False)
                        pace.sent(now, peers=told_peers)
                        pause = TICK
                pause = min(pause, max(0.0, tick_at - self._clock.now()))
            except Exception:  # noqa: BLE001
                logging.exception("event=hint_failed")
            self._wait_for_change(pause)

    def _beat(self, now: Millis) -> None:
        """Tell all peers that this entry lives, by a load hint if there is nothing else to tell."""
        targets = self._table.targets()
        if now < self._repeat_until or now - self._announced >= ANNOUNCEMENT_INTERVAL:
            self._announced = now
            self._announce_to(list(targets.current.values()), targets.others)
            return
        if self._ends_to_tell() or self._table.silent():
            self._announce_to(list(targets.current.values()), targets.others)
            return
        self._tell_loads(self._own.loads(), targets, None, is_heartbeat=True)
        self._announce_to((), targets.others)

    def _greet_newcomers(self) -> None:
        """Tell who has just started everything; it understands no load hint before."""
        newcomers = self._table.take_newcomers()
        if newcomers:
            current = self._table.targets().current
            self._announce_to([current[name] for name in newcomers if name in current], ())

    def _wait_for_change(self, pause: Millis) -> None:
        self._loads_changed.wait(pause / 1000.0)
        self._loads_changed.clear()

    def _tell_loads(
        self,
        loads: Mapping[str, Load],
        targets: Targets,
        sharers: frozenset[str] | None,
        *,
        is_heartbeat: bool,
    ) -> None:
        self._hints.tell_loads(
            loads,
            self._own.backlog(),
            self._own.counts_to_tell(is_heartbeat),
            targets=targets,
            sharers=sharers,
        )

    def _notice_silence(self) -> None:
        losses = self._table.notice_silence()
        for peer in losses.lost:
            self._events.lost(peer)
        for peer in losses.gone:
            self._events.gone(peer)

    def _receive_loop(self) -> None:
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
            self._receive(decode_cbor(data))
        except UnusableRecordError as error:
            self._bad_hints.tell(f"{sender[0]}:{sender[1]}", error)
        except Exception:  # noqa: BLE001
            # Whatever one hint causes, the next ones must be heard: a deaf entry takes all
            # others for dead and runs their jobs again.
            logging.exception("event=hint_failed")

    def _receive(self, message: Json) -> None:
        loads = read_load_hint(message)
        if loads is not None:
            self._receive_loads(loads)
            return
        counts = read_counts_hint(message)
        if counts is not None:
            self._receive_counts(counts)
            return
        self._receive_announcement(read_record(Announcement, message))

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
        identities = self._own.identities_by_key()
        return {identities[key]: load for key, load in loads.items() if key in identities}
