"""Hints between entries: who lives, what each has in flight, which jobs each works on.

Datagrams of CBOR, several a second. A lost one is replaced by the next; nothing that must be true
rests on them. They choose upstreams, tell where a job's results are read without a call to the
store, and show that an entry has fallen silent, whose jobs another then takes over by conditional
write.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from typing import Any

import cbor2
from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.border import UnusableRecordError, read_record
from carobspool_core.direct import (
    DEAD_AFTER,
    FORGET_AFTER,
    SILENT_AFTER,
    Liveness,
    Load,
    WaitingGroup,
    by_identity,
    by_instance,
    latest_starts,
)
from carobspool_node.direct._bad_records import BadRecords, shown
from carobspool_node.direct._peer import OwnHint, Peer
from carobspool_node.direct._peer_messages import MAX_NAME, Hint, decode_cbor
from carobspool_node.direct._telemetry import Telemetry

HINT_INTERVAL: Millis = 50.0
"""Time between two hints while loads change. What all entries place in it is how wrong their
picture of each other can be: requests meet at one upstream and wait there while others have free
slots, the longer the older the hints are. A hint costs each of the others a datagram to read."""
FULL_HINT_INTERVAL: Millis = 500.0
"""Time between two hints that also name jobs; they are also the heartbeat."""
ENDS_TOLD_FOR: Millis = 5_000.0
"""How long hints name a job that this entry has ended in the store: ten full hints, and longer than
a takeover that was under way takes (three calls of at most 1.5 s)."""
MAX_DATAGRAM = 60_000

OnLoads = Callable[[str, Mapping[str, Load], Mapping[str, int], bool], None]
"""Takes a peer's name, what it has in flight, the failures that it has seen, both by the upstream's
identity, and whether it knows upstreams' starts; if not, both come by the bare id."""
OnBacklog = Callable[[str, Sequence[WaitingGroup]], None]
"""Takes a peer's name and the batch items that wait there."""


class Peers:
    """The other entries of the deployment.

    Args:
        clock: A clock that goes on while the machine is suspended.
        telemetry: Counts hints that are none.
        name: Name of this entry.
        incarnation: Of this process.
        address: Where this entry takes hints.
        loads: Returns what is in flight here.
        describe: Returns what to tell.
    """

    def __init__(
        self,
        clock: Clock,
        telemetry: Telemetry,
        *,
        name: str,
        incarnation: str,
        address: tuple[str, int],
        loads: Callable[[], Mapping[str, Load]],
        describe: Callable[[], OwnHint],
    ) -> None:
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._address = address
        self._loads = loads
        self._describe = describe
        self._bad_hints = BadRecords(clock, telemetry, "hint", "sender")
        self._lock = threading.Lock()
        self._peers: dict[str, Peer] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._liveness = Liveness(clock.now())
        self._ended: dict[str, Millis] = {}
        self._on_loads: OnLoads = lambda peer, loads, failures, knows_starts: None
        self._on_backlog: OnBacklog = lambda peer, groups: None
        self._on_versions: Callable[[Mapping[str, int]], None] = lambda versions: None
        self._on_lost: Callable[[Peer], None] = lambda peer: None
        self._on_gone: Callable[[Peer], None] = lambda peer: None
        self._on_ended: Callable[[Sequence[str]], None] = lambda job_ids: None
        self._stopped = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)

    @property
    def identity(self) -> str:
        """Name and incarnation of this entry."""
        return f"{self._name}#{self._incarnation}"

    def start(
        self,
        *,
        on_loads: OnLoads,
        on_backlog: OnBacklog,
        on_versions: Callable[[Mapping[str, int]], None],
        on_lost: Callable[[Peer], None],
        on_gone: Callable[[Peer], None],
        on_ended: Callable[[Sequence[str]], None],
    ) -> None:
        """Start to send and to receive."""
        self._on_loads = on_loads
        self._on_backlog = on_backlog
        self._on_versions = on_versions
        self._on_lost = on_lost
        self._on_gone = on_gone
        self._on_ended = on_ended
        threading.Thread(target=self._receive, name="hints-in", daemon=True).start()
        threading.Thread(target=self._send, name="hints-out", daemon=True).start()

    def stop(self) -> None:
        """Tell the others once more and stop."""
        self._tell(full=True)
        self._stopped.set()

    def know(self, name: str, address: tuple[str, int] | None) -> None:
        """Take or drop a peer's address from the list of entries."""
        if name == self._name:
            return
        with self._lock:
            if address is None:
                self._addresses.pop(name, None)
            else:
                self._addresses[name] = address

    def live(self) -> list[Peer]:
        """Return the peers that were heard of late."""
        now = self._clock.now()
        with self._lock:
            return [each for each in self._peers.values() if now - each.heard < DEAD_AFTER]

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

    @property
    def doubt_until(self) -> Millis:
        """Until when others may have acted on jobs of this entry without its knowledge."""
        return self._liveness.doubt_until

    def tell_ended(self, job_id: str) -> None:
        """Tell all peers, now and for some seconds, that a job has been ended in the store."""
        now = self._clock.now()
        with self._lock:
            self._ended = {key: at for key, at in self._ended.items() if now - at < ENDS_TOLD_FOR}
            self._ended[job_id] = now
        self._tell(full=True)

    def tell_now(self) -> None:
        """Send a full hint at once."""
        self._tell(full=True)

    def _send(self) -> None:
        told: Mapping[str, Load] = {}
        full_at: Millis = 0.0
        while not self._stopped.wait(HINT_INTERVAL / 1000.0):
            try:
                now = self._clock.now()
                self._notice_gaps(now)
                full = now >= full_at
                if full:
                    full_at = now + FULL_HINT_INTERVAL
                loads = self._loads()
                if full or loads != told:
                    told = loads
                    self._tell(full=full)
            except Exception:  # noqa: BLE001
                logging.exception("event=hint_failed")

    def _notice_gaps(self, now: Millis) -> None:
        with self._lock:
            gap = self._liveness.look(now)
            if gap:
                # Hints that arrived during the pause are still unread; nobody is declared dead.
                for peer in self._peers.values():
                    peer.heard = max(peer.heard, now - SILENT_AFTER)
        if gap:
            logging.warning("event=process_stalled gap_ms=%.0f", gap)
            return
        lost = []
        gone = []
        with self._lock:
            for peer in list(self._peers.values()):
                silence = now - peer.heard
                found = self._liveness.judge(peer.identity, silence, leaving=peer.leaving, now=now)
                if found.is_lost and peer.open_jobs:
                    lost.append(peer)
                    self._peers[peer.name] = _without_jobs(peer)
                if found.is_gone:
                    gone.append(peer)
                if found.is_forgotten:
                    del self._peers[peer.name]
        for peer in lost:
            logging.warning(
                "event=peer_lost peer=%s silent_ms=%.0f jobs=%d",
                peer.identity,
                now - peer.heard,
                len(peer.open_jobs),
            )
            self._on_lost(peer)
        for peer in gone:
            self._on_gone(peer)

    def _tell(self, *, full: bool) -> None:
        hint = self._describe()
        now = self._clock.now()
        # By the bare id with the starts beside it, as entries of the version before read it.
        starts = latest_starts([*hint.loads, *hint.failures])
        loads = by_instance(hint.loads, starts)
        message: dict[str, Any] = {
            "n": self._name,
            "i": self._incarnation,
            "a": list(self._address),
            "l": {key: [load.online, load.batch] for key, load in loads.items()},
            "e": by_instance(hint.failures, starts),
            "b": starts,
            "v": dict(hint.versions),
            "x": hint.leaving,
            "r": sorted(hint.released),
            "s": hint.store_ok,
            "p": [[int(group.until_due), group.items] for group in hint.backlog],
        }
        with self._lock:
            targets = dict(self._addresses)
            for peer in self._peers.values():
                if now - peer.heard < FORGET_AFTER:
                    targets[peer.name] = peer.address
            silent = [
                peer.name
                for peer in self._peers.values()
                if now - peer.heard > SILENT_AFTER and not peer.leaving
            ]
            ended = [key for key, at in self._ended.items() if now - at < ENDS_TOLD_FOR]
        if full:
            message["j"] = sorted(hint.open_jobs)
            message["f"] = sorted(hint.done_jobs)
            message["w"] = dict(hint.waiting)
            message["q"] = silent
            message["d"] = ended
        data = cbor2.dumps(message)
        for address in targets.values():
            with contextlib.suppress(OSError):
                self._socket.sendto(data, address)

    def _receive(self) -> None:
        while True:
            try:
                data, sender = self._socket.recvfrom(MAX_DATAGRAM)
            except OSError as error:
                if self._stopped.is_set():
                    return
                logging.warning("event=hint_socket_failed reason=%r", error)
                continue
            try:
                self._take(read_record(Hint, decode_cbor(data)))
            except UnusableRecordError as error:
                self._bad_hints.tell(f"{sender[0]}:{sender[1]}", error)
            except Exception:  # noqa: BLE001
                # Whatever one hint causes, the next ones must be heard: a deaf entry takes all
                # others for dead and runs their jobs again.
                logging.exception("event=hint_failed")

    def _take(self, hint: Hint) -> None:
        now = self._clock.now()
        lost: Peer | None = None
        with self._lock:
            known = self._peers.get(hint.n)
            silence = None
            if known is not None and known.incarnation == hint.i:
                silence = now - known.heard
            self._liveness.heard(silence, now)
            if known is None or known.incarnation != hint.i:
                if known is not None and known.open_jobs:
                    lost = known
                known = Peer(name=hint.n, incarnation=hint.i, address=hint.a, heard=now)
                self._peers[hint.n] = known
                logging.info("event=peer_seen peer=%s", shown(known.identity, 2 * MAX_NAME))
            known.heard = now
            known.address = hint.a
            known.leaving = hint.x
            known.store_ok = hint.s
            known.versions = hint.v
            if hint.j is not None:
                known.open_jobs = frozenset(hint.j)
                known.done_jobs = frozenset(hint.f)
                known.waiting = hint.w
                if self._name in hint.q:
                    self._liveness.reported_silent(now)
            if hint.r is None and known.leaving and known.open_jobs:
                # An entry of the version before gives up all its jobs as soon as it leaves.
                lost = known
                self._peers[hint.n] = _without_jobs(known)
            elif hint.r:
                # It has committed what it had of these and works on them no more.
                lost = replace(known, open_jobs=frozenset(hint.r))
        if lost is not None:
            self._on_lost(lost)
        self._on_ended(hint.d)
        self._on_backlog(hint.n, [WaitingGroup(float(left), count) for left, count in hint.p])
        starts = hint.b or {}
        loads = by_identity({key: Load(*pair) for key, pair in hint.l.items()}, starts)
        self._on_loads(hint.n, loads, by_identity(hint.e, starts), hint.b is not None)
        self._on_versions(hint.v)


def _without_jobs(peer: Peer) -> Peer:
    return Peer(
        name=peer.name,
        incarnation=peer.incarnation,
        address=peer.address,
        heard=peer.heard,
        leaving=peer.leaving,
        store_ok=False,
    )
