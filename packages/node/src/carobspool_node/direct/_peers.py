"""Hints between entries: who lives, what each has in flight, which jobs each works on.

Datagrams of CBOR. A lost one is replaced by the next; nothing that must be true rests on them. They
choose upstreams, tell where a job's results are read without a call to the store, and show that an
entry has fallen silent, whose jobs another then takes over by conditional write.

An announcement tells all that an entry is and holds, when that changes and now and then. Loads
change far more often and are told at each change, to the entries that use the same upstreams, in a
hint of some sixty bytes. The same hint goes to all twice a second, as the heartbeat.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Hashable, Mapping, Sequence

from absl import logging
from msgspec import Struct

from carobspool_core import Clock, Millis
from carobspool_core.direct import Load, LoadPace, WaitingGroup
from carobspool_core.organisations import Neighbour
from carobspool_node.direct._announcement import Sender
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._hint_receiver import HintReceiver, PeerEvents
from carobspool_node.direct._hint_sender import HintSender
from carobspool_node.direct._peer import OwnHint, Peer
from carobspool_node.direct._peer_table import PeerTable, Targets
from carobspool_node.direct._telemetry import Telemetry

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
        bad_hints = BadRecords(clock, telemetry, "hint", "sender")
        self._receiver = HintReceiver(self._socket, self._table, own.identities_by_key, bad_hints)

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
        self._receiver.start(events)
        threading.Thread(target=self._send_loop, name="hints-out", daemon=True).start()

    def stop(self) -> None:
        """Announce once more and stop."""
        self.announce()
        self._stopped.set()
        self._receiver.stop()

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
