"""Track the other entries, which of them are live, and which have been silent for too long."""

from __future__ import annotations

import threading
from collections.abc import Sequence

from absl import logging
from msgspec import Struct
from msgspec.structs import replace
from xxhash import xxh3_64_intdigest

from carobspool_core import Clock, Millis
from carobspool_core.direct import DEAD_AFTER, FORGET_AFTER, SILENT_AFTER, Liveness
from carobspool_core.hint_relays import RELAYED_HINT_AGE
from carobspool_core.organisations import KnownPeer
from carobspool_core.problems import printable_text
from carobspool_node.direct._hint_targets import HintTargets
from carobspool_node.direct._load_hint import CountsHint, LoadHint
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_messages import MAX_NAME_CHARS, Announcement

SETTLED_AFTER: Millis = 10_000.0
"""Time after a sign that a peer may have missed announcements in which it gets each one; these are
five, beside the repetitions after a change."""


class NewContent(Struct, frozen=True, kw_only=True):
    """Which contents of a hint are newer than all that were received before.

    Attributes:
        loads: Whether its loads, backlog and numbers of waiting requests are.
        counts: Whether its request counts are.
    """

    loads: bool
    counts: bool


NOTHING_NEW = NewContent(loads=False, counts=False)


class SilentPeers(Struct, frozen=True, kw_only=True):
    """Peers that a check for silence has newly found.

    Attributes:
        lost: Peers whose jobs need new owners.
        gone: Peers that are not expected to come back.
    """

    lost: Sequence[Peer] = ()
    gone: Sequence[Peer] = ()


class PeerTable:
    """The other entries by name. Thread-safe.

    Args:
        clock: A clock that keeps running while the host is suspended.
        name: Name of this entry.
    """

    def __init__(self, clock: Clock, name: str) -> None:
        self._clock = clock
        self._name = name
        self._lock = threading.Lock()
        self._peers: dict[str, Peer] = {}
        self._addresses: dict[str, tuple[str, int]] = {}
        self._names_digest: int | None = None
        self._new_peers: set[str] = set()
        self._liveness = Liveness(clock.now())

    @property
    def ownership_uncertain_until(self) -> Millis:
        """Time until which peers may have acted on this entry's jobs without its knowledge."""
        return self._liveness.ownership_uncertain_until

    def recent_pause(self) -> Millis:
        """Return how long this process was suspended last, 0 if it was not recently."""
        with self._lock:
            return self._liveness.recent_pause(self._clock.now())

    def set_address(self, name: str, address: tuple[str, int] | None) -> None:
        """Set a peer's address as the store lists it, or remove it with ``None``."""
        if name == self._name:
            return
        with self._lock:
            self._names_digest = None
            if address is None:
                self._addresses.pop(name, None)
            else:
                self._addresses[name] = address

    def names_digest(self) -> int:
        """Return a digest of the names of all known entries, live or not."""
        with self._lock:
            if self._names_digest is None:
                names = sorted((*self._addresses, self._name))
                self._names_digest = xxh3_64_intdigest("\n".join(names).encode())
            return self._names_digest

    def live(self) -> list[Peer]:
        """Return the peers whose last hint arrived within `DEAD_AFTER`."""
        now = self._clock.now()
        with self._lock:
            return [each for each in self._peers.values() if now - each.last_heard_at < DEAD_AFTER]

    def targets(self) -> HintTargets:
        """Return the addresses to which hints are sent."""
        now = self._clock.now()
        with self._lock:
            others = dict(self._addresses)
            current = {}
            count_readers = set()
            suspect_readers = set()
            kind_separators = set()
            settled = set()
            for peer in self._peers.values():
                if peer.reads_load_hints and now - peer.last_heard_at < DEAD_AFTER:
                    current[peer.name] = peer.address
                    if peer.reads_counts:
                        count_readers.add(peer.name)
                        if peer.separates_kinds:
                            kind_separators.add(peer.name)
                    if peer.reads_suspects:
                        suspect_readers.add(peer.name)
                    if now - peer.unsettled_at >= SETTLED_AFTER:
                        settled.add(peer.name)
                    others.pop(peer.name, None)
                elif now - peer.last_heard_at < FORGET_AFTER:
                    others[peer.name] = peer.address
        return HintTargets(
            current=current,
            count_readers=frozenset(count_readers),
            suspect_readers=frozenset(suspect_readers),
            others=list(others.values()),
            kind_separators=frozenset(kind_separators),
            settled=frozenset(settled),
        )

    def peers(self) -> list[Peer]:
        """Return all peers that are not forgotten."""
        with self._lock:
            return list(self._peers.values())

    def domain_of(self, name: str, incarnation: str) -> str | None:
        """Return the announced failure domain of a process, ``None`` if there is none."""
        with self._lock:
            peer = self._peers.get(name)
            if peer is None or peer.incarnation != incarnation:
                return None
            return peer.failure_domain

    def known_peers(self) -> list[KnownPeer]:
        """Return all other entries with the arrival of their last hint, ``None`` if only listed.

        Hints that relays passed on count, with their age.
        """
        with self._lock:
            found = [
                KnownPeer(
                    name=each.name,
                    last_heard_at=max(each.last_heard_at, each.relayed_at - RELAYED_HINT_AGE),
                    leaving=each.leaving,
                )
                for each in self._peers.values()
            ]
            listed = self._addresses.keys() - self._peers.keys()
        return found + [KnownPeer(name=name, last_heard_at=None) for name in listed]

    def pop_new_peers(self) -> set[str]:
        """Return and clear the names of peers with a new process since the last call."""
        with self._lock:
            found = self._new_peers
            self._new_peers = set()
        return found

    def members(self) -> frozenset[str]:
        """Return the names of peers with a hint within `FORGET_AFTER`, which covers a restart."""
        now = self._clock.now()
        with self._lock:
            return frozenset(
                each.name
                for each in self._peers.values()
                if now - each.last_heard_at < FORGET_AFTER
            )

    def silent(self) -> list[str]:
        """Return the names of silent peers that did not announce that they leave."""
        now = self._clock.now()
        with self._lock:
            return [
                peer.name
                for peer in self._peers.values()
                if now - peer.alive_at > SILENT_AFTER and not peer.leaving
            ]

    def apply_announcement(self, announcement: Announcement) -> Peer | None:
        """Apply an announcement.

        Returns:
            A peer with the jobs that need new owners, ``None`` if the announcement frees no jobs.
        """
        now = self._clock.now()
        lost: Peer | None = None
        with self._lock:
            peer = self._peers.get(announcement.name)
            silence = None
            if peer is not None and peer.incarnation == announcement.incarnation:
                silence = now - peer.alive_at
            self._liveness.record_hint(silence, now)
            if peer is None or peer.incarnation != announcement.incarnation:
                if peer is not None and peer.open_jobs:
                    lost = peer
                peer = Peer(
                    name=announcement.name,
                    incarnation=announcement.incarnation,
                    address=announcement.address,
                    last_heard_at=now,
                    unsettled_at=now,
                )
                self._peers[announcement.name] = peer
                self._new_peers.add(announcement.name)
                logging.info(
                    "event=peer_seen peer=%s", printable_text(peer.identity, 2 * MAX_NAME_CHARS)
                )
            if (silence or 0.0) > SILENT_AFTER or self._name in announcement.silent:
                peer.unsettled_at = now
            peer.last_heard_at = now
            peer.address = announcement.address
            if announcement.name not in self._addresses:
                self._addresses[announcement.name] = announcement.address
                self._names_digest = None
            peer.leaving = announcement.leaving
            peer.store_ok = announcement.store_ok
            peer.answer_age = float(announcement.answer_age)
            peer.versions = announcement.versions
            peer.reads_load_hints = announcement.sequence is not None
            peer.reads_counts = announcement.packed_counts is not None
            peer.silent = frozenset(announcement.silent)
            if announcement.failure_domain is not None:
                # An entry that does not hear this one sends the format of the previous version.
                peer.failure_domain = announcement.failure_domain
                peer.host_capacity = announcement.host_capacity
                peer.separates_kinds = announcement.separates_kinds
            if announcement.open_jobs is not None:
                peer.open_jobs = frozenset(announcement.open_jobs)
                peer.done_jobs = frozenset(announcement.done_jobs)
            if announcement.open_jobs is not None or peer.reads_load_hints:
                peer.waiting = announcement.waiting
            if self._name in announcement.silent:
                self._liveness.record_reported_silent(now)
            if announcement.released is None and peer.leaving and peer.open_jobs:
                # An entry of the previous version releases all its jobs as soon as it leaves.
                lost = peer
                self._peers[announcement.name] = _without_jobs(peer)
            elif announcement.released:
                # The peer has committed its results of these jobs and has stopped work on them.
                lost = replace(peer, open_jobs=frozenset(announcement.released))
        return lost

    def knows(self, name: str, incarnation: str) -> bool:
        """Return whether a process is known from its announcements."""
        with self._lock:
            peer = self._peers.get(name)
            return peer is not None and peer.incarnation == incarnation

    def advance_sequence(self, name: str, incarnation: str, sequence: int) -> NewContent:
        """Record the sequence number of an announcement, which carries loads and counts.

        Returns:
            What is newer than all earlier hints of its process; nothing for unknown processes.
        """
        with self._lock:
            peer = self._peers.get(name)
            if peer is None or peer.incarnation != incarnation:
                return NOTHING_NEW
            new = NewContent(
                loads=sequence > peer.load_sequence, counts=sequence > peer.counts_sequence
            )
            peer.load_sequence = max(peer.load_sequence, sequence)
            peer.counts_sequence = max(peer.counts_sequence, sequence)
            peer.direct_load_sequence = max(peer.direct_load_sequence, sequence)
            return new

    def has_direct_hint(self, hint: LoadHint | CountsHint) -> bool:
        """Return whether the content of a hint, or a newer one of its process, came directly."""
        with self._lock:
            peer = self._peers.get(hint.name)
            if peer is None or peer.incarnation != hint.incarnation:
                return False
            newest = peer.direct_load_sequence
            if isinstance(hint, CountsHint):
                # A load hint that is sent directly goes to all entries, with the counts.
                newest = max(newest, peer.direct_counts_sequence)
            return hint.sequence <= newest

    def record_hint(self, hint: LoadHint | CountsHint, *, relayed: bool = False) -> NewContent:
        """Record the arrival of a load hint or counts hint.

        The loads of a hint are compared with loads and its counts with counts: while counts go
        directly and loads through relays, the counts arrive first with the higher number.

        Args:
            hint: The hint.
            relayed: Whether a relay passed it on. Such a hint is a sign of life for a short time
                only: its sender may be cut off from this entry, and its announcements may not
                arrive.

        Returns:
            What is newer than all earlier hints of its process; nothing for unknown processes.
        """
        now = self._clock.now()
        has_loads = isinstance(hint, LoadHint)
        with self._lock:
            peer = self._peers.get(hint.name)
            if peer is None or peer.incarnation != hint.incarnation:
                return NOTHING_NEW
            new = NewContent(
                loads=has_loads and hint.sequence > peer.load_sequence,
                counts=hint.sequence > peer.counts_sequence,
            )
            if relayed:
                is_newest = new.loads if has_loads else new.counts
                peer.relayed_at = now if is_newest else peer.relayed_at
            elif _advance_direct_sequence(peer, hint):
                # A relayed hint may have overtaken this one, which is a sign of life all the same.
                silence = now - peer.alive_at
                self._liveness.record_hint(silence, now)
                if silence > SILENT_AFTER:
                    peer.unsettled_at = now
                peer.last_heard_at = now
            if new.loads:
                peer.load_sequence = hint.sequence
            # A load hint without counts may be sent before a counts hint of a lower number arrives.
            if new.counts and (hint.counts or not has_loads):
                peer.counts_sequence = hint.sequence
            return new

    def check_silence(self) -> SilentPeers:
        """Return the peers that have become lost or gone, and update the table.

        The jobs of lost peers are cleared, and peers silent for `FORGET_AFTER` are removed.
        After a pause of this process no peer is declared lost.
        """
        now = self._clock.now()
        lost = []
        gone = []
        with self._lock:
            gap = self._liveness.record_tick(now)
            if gap:
                # Hints that arrived during the pause are still unread, so no peer is declared dead.
                for peer in self._peers.values():
                    peer.last_heard_at = max(peer.last_heard_at, now - SILENT_AFTER)
                logging.warning("event=process_stalled gap_ms=%.0f", gap)
                return SilentPeers()
            for peer in list(self._peers.values()):
                silence = now - peer.alive_at
                found = self._liveness.evaluate_peer(
                    peer.identity, silence, leaving=peer.leaving, now=now
                )
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
                printable_text(peer.identity, 2 * MAX_NAME_CHARS),
                now - peer.last_heard_at,
                len(peer.open_jobs),
            )
        return SilentPeers(lost=lost, gone=gone)


def _advance_direct_sequence(peer: Peer, hint: LoadHint | CountsHint) -> bool:
    """Record the number of a hint that came directly; return whether it is the newest of a kind."""
    if isinstance(hint, CountsHint):
        is_newest = hint.sequence > peer.direct_counts_sequence
        peer.direct_counts_sequence = max(peer.direct_counts_sequence, hint.sequence)
    else:
        is_newest = hint.sequence > peer.direct_load_sequence
        peer.direct_load_sequence = max(peer.direct_load_sequence, hint.sequence)
    return is_newest


def _without_jobs(peer: Peer) -> Peer:
    return replace(
        peer, open_jobs=frozenset(), done_jobs=frozenset(), waiting={}, versions={}, store_ok=False
    )
