"""Who the other entries are, which of them live, and what their silence means."""

from __future__ import annotations

import threading
from collections.abc import Mapping, Sequence

from absl import logging
from msgspec import Struct
from msgspec.structs import replace
from xxhash import xxh3_64_intdigest

from carobspool_core import Clock, Millis
from carobspool_core.direct import DEAD_AFTER, FORGET_AFTER, SILENT_AFTER, Liveness
from carobspool_core.organisations import Neighbour
from carobspool_node.direct._bad_records import shown
from carobspool_node.direct._load_hint import CountsHint, LoadHint
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_messages import MAX_NAME, Announcement


class Targets(Struct, frozen=True, kw_only=True):
    """Where hints go.

    Attributes:
        current: Addresses of live entries that read load hints, by name.
        counting: The names of those that read counts of requests too.
        others: Addresses of entries of the version before, and of those of which nothing is heard.
    """

    current: Mapping[str, tuple[str, int]]
    counting: frozenset[str]
    others: Sequence[tuple[str, int]]

    def told_loads(self, sharers: frozenset[str] | None) -> frozenset[str]:
        """Return the names of those that are told a change of loads.

        Args:
            sharers: Entries that use the same upstreams, ``None`` for all.
        """
        names = frozenset(self.current)
        return names if sharers is None else names & sharers


class Losses(Struct, frozen=True, kw_only=True):
    """What silence has shown.

    Attributes:
        lost: Peers whose jobs need new owners.
        gone: Peers that do not come back.
    """

    lost: Sequence[Peer] = ()
    gone: Sequence[Peer] = ()


class PeerTable:
    """The other entries; safe for threads.

    Args:
        clock: A clock that goes on while the machine is suspended.
        name: Name of this entry.
    """

    def __init__(self, clock: Clock, name: str) -> None:
        self._clock = clock
        self._name = name
        self._lock = threading.Lock()
        self._peers: dict[str, Peer] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._names: int | None = None
        self._newcomers: set[str] = set()
        self._liveness = Liveness(clock.now())

    @property
    def doubt_until(self) -> Millis:
        """Until when others may have acted on jobs of this entry without its knowledge."""
        return self._liveness.doubt_until

    def set_address(self, name: str, address: tuple[str, int] | None) -> None:
        """Take or drop a peer's address from the list of entries."""
        if name == self._name:
            return
        with self._lock:
            self._names = None
            if address is None:
                self._addresses.pop(name, None)
            else:
                self._addresses[name] = address

    def digest_of_names(self) -> int:
        """Return a number that differs when the entries known, living or not, differ."""
        with self._lock:
            if self._names is None:
                names = sorted((*self._addresses, self._name))
                self._names = xxh3_64_intdigest("\n".join(names).encode())
            return self._names

    def live(self) -> list[Peer]:
        """Return the peers that were heard of late."""
        now = self._clock.now()
        with self._lock:
            return [each for each in self._peers.values() if now - each.heard < DEAD_AFTER]

    def targets(self) -> Targets:
        """Return where hints go."""
        now = self._clock.now()
        with self._lock:
            others = dict(self._addresses)
            current = {}
            counting = set()
            for peer in self._peers.values():
                if peer.is_current and now - peer.heard < DEAD_AFTER:
                    current[peer.name] = peer.address
                    if peer.reads_counts:
                        counting.add(peer.name)
                    others.pop(peer.name, None)
                elif now - peer.heard < FORGET_AFTER:
                    others[peer.name] = peer.address
        return Targets(current=current, counting=frozenset(counting), others=list(others.values()))

    def neighbours(self) -> list[Neighbour]:
        """Return all other entries, those that are only listed included."""
        with self._lock:
            found = [
                Neighbour(name=each.name, heard=each.heard, leaving=each.leaving)
                for each in self._peers.values()
            ]
            listed = self._addresses.keys() - self._peers.keys()
        return found + [Neighbour(name=name, heard=None) for name in listed]

    def take_newcomers(self) -> set[str]:
        """Return the processes that were first heard since the last call."""
        with self._lock:
            found = self._newcomers
            self._newcomers = set()
        return found

    def members(self) -> frozenset[str]:
        """Return the peers that were heard within the time of a restart and more."""
        now = self._clock.now()
        with self._lock:
            return frozenset(
                each.name for each in self._peers.values() if now - each.heard < FORGET_AFTER
            )

    def silent(self) -> list[str]:
        """Return the peers that are not heard although they did not leave."""
        now = self._clock.now()
        with self._lock:
            return [
                peer.name
                for peer in self._peers.values()
                if now - peer.heard > SILENT_AFTER and not peer.leaving
            ]

    def receive(self, told: Announcement) -> Peer | None:
        """Take an announcement; return a peer whose jobs need new owners, with these jobs."""
        now = self._clock.now()
        lost: Peer | None = None
        with self._lock:
            known = self._peers.get(told.name)
            silence = None
            if known is not None and known.incarnation == told.incarnation:
                silence = now - known.heard
            self._liveness.heard(silence, now)
            if known is None or known.incarnation != told.incarnation:
                if known is not None and known.open_jobs:
                    lost = known
                known = Peer(
                    name=told.name, incarnation=told.incarnation, address=told.address, heard=now
                )
                self._peers[told.name] = known
                self._newcomers.add(told.name)
                logging.info("event=peer_seen peer=%s", shown(known.identity, 2 * MAX_NAME))
            known.heard = now
            known.address = told.address
            if told.name not in self._addresses:
                self._addresses[told.name] = told.address
                self._names = None
            known.leaving = told.leaving
            known.store_ok = told.store_ok
            known.answer_age = float(told.answer_age)
            known.versions = told.versions
            known.is_current = told.sequence is not None
            known.reads_counts = told.packed_counts is not None
            if told.open_jobs is not None:
                known.open_jobs = frozenset(told.open_jobs)
                known.done_jobs = frozenset(told.done_jobs)
            if told.open_jobs is not None or known.is_current:
                known.waiting = told.waiting
            if self._name in told.silent:
                self._liveness.reported_silent(now)
            if told.released is None and known.leaving and known.open_jobs:
                # An entry of the version before gives up all its jobs as soon as it leaves.
                lost = known
                self._peers[told.name] = _without_jobs(known)
            elif told.released:
                # It has committed what it had of these and works on them no more.
                lost = replace(known, open_jobs=frozenset(told.released))
        return lost

    def is_newest(self, name: str, incarnation: str, sequence: int) -> bool:
        """Take the sequence of a hint; return whether no later one of its process came before."""
        with self._lock:
            known = self._peers.get(name)
            if known is None or known.incarnation != incarnation or sequence <= known.sequence:
                return False
            known.sequence = sequence
            return True

    def receive_small(self, told: LoadHint | CountsHint) -> bool:
        """Take a hint of loads or counts; return whether it is the newest of a known process."""
        if not self.is_newest(told.name, told.incarnation, told.sequence):
            return False
        now = self._clock.now()
        with self._lock:
            known = self._peers[told.name]
            self._liveness.heard(now - known.heard, now)
            known.heard = now
        return True

    def notice_silence(self) -> Losses:
        """Judge the silence of each peer; nobody is lost to a pause of this process."""
        now = self._clock.now()
        lost = []
        gone = []
        with self._lock:
            gap = self._liveness.look(now)
            if gap:
                # Hints that arrived during the pause are still unread; nobody is declared dead.
                for peer in self._peers.values():
                    peer.heard = max(peer.heard, now - SILENT_AFTER)
                logging.warning("event=process_stalled gap_ms=%.0f", gap)
                return Losses()
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
        return Losses(lost=lost, gone=gone)


def _without_jobs(peer: Peer) -> Peer:
    return replace(
        peer, open_jobs=frozenset(), done_jobs=frozenset(), waiting={}, versions={}, store_ok=False
    )
