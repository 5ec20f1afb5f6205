"""Follows the accepted configuration: from the object store, and from peers while it is down.

A follower only ever moves to a higher revision. It keeps the state and its encoded parts in memory,
so that it answers, and serves peers, through any outage of the store.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Collection, Sequence

from absl import logging
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import (
    Clock,
    Configuration,
    DesiredState,
    Millis,
    ObjectChange,
    ObjectStore,
)
from carobspool_core.revision import (
    Part,
    Parts,
    RecordedChange,
    Revision,
    apply_changes,
    decode_part,
    delta_between,
    join_parts,
    pack_delta,
    root_digest,
    unpack_delta,
)
from carobspool_node.configuration._objects import (
    REVISIONS_PREFIX,
    ConfigReadError,
    collect_parts,
    parse_revision,
    read_head,
    read_revision,
)

DELTA_VALUE = "delta"
"""Name of the value that holds a delta in a `Configuration` without parts."""

StateCallback = Callable[[DesiredState], None]


class ConfigurationFollower:
    """The configuration in force at this process.

    Safe to call from several threads. Callbacks run one at a time, in the order of revisions; they
    must be short and must not call back into the follower's writing methods.

    Since 0.1.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._lock = threading.RLock()
        self._parts: Parts = {}
        self._state = DesiredState()
        self._callbacks: list[StateCallback] = []
        self._delta: str | None = None
        self._confirmed: Millis | None = None

    @property
    def state(self) -> DesiredState:
        """The state in force."""
        return self._state

    @property
    def revision(self) -> int:
        """Number of the revision in force, 0 before the first."""
        return self._state.revision

    @property
    def parts(self) -> Parts:
        """Parts of the state in force by name."""
        return self._parts

    @property
    def digests(self) -> frozenset[str]:
        """Digests of the parts in force, to tell a peer what need not be sent."""
        return frozenset(part.digest for part in self._parts.values())

    @property
    def unconfirmed_for(self) -> Millis | None:
        """Milliseconds since the store last confirmed the revision; ``None`` before the first."""
        if self._confirmed is None:
            return None
        return self._clock.now() - self._confirmed

    def on_change(self, callback: StateCallback) -> None:
        """Have a callback called with each later state."""
        with self._lock:
            self._callbacks.append(callback)

    def take(self, revision: int, parts: Parts) -> bool:
        """Take an accepted revision whole; ``False`` when it is not newer.

        An older revision can arrive late, from a peer or from a read that was held up. Taking it
        would undo an accepted change, so only a higher number counts, whatever its source.
        """
        with self._lock:
            if revision <= self._state.revision:
                return False
            delta = delta_between(self._state.revision, self._parts, parts)
            self._delta = None if delta is None else pack_delta(delta)
            self._parts = dict(parts)
            self._state = join_parts(parts, revision)
            logging.info("event=configuration_in_force revision=%d", revision)
            for callback in self._callbacks:
                callback(self._state)
            return True

    def offer(self, message: Configuration) -> bool:
        """Take a peer's revision when it is newer and all its parts are at hand.

        Returns:
            Whether it was taken. When it is newer and parts are missing, answer the peer with
            `lacking`: it sends what is missing.
        """
        if message.revision <= self.revision:
            return False
        text = message.values.get(DELTA_VALUE)
        parts = self._from_message(message) if text is None else self._from_delta(text)
        return parts is not None and self.take(message.revision, parts)

    def lacking(self, message: Configuration) -> bool:
        """Return whether a newer revision was offered of which parts are missing here."""
        if message.revision <= self.revision:
            return False
        if DELTA_VALUE in message.values:
            return True
        known = self.digests | message.values.keys()
        return any(digest not in known for digest in message.parts.values())

    def message_for(self, known_digests: Collection[str]) -> Configuration:
        """Return the revision in force with the values of the parts that a peer lacks.

        Args:
            known_digests: Digests that the peer holds; give them all to announce the revision
                without values.
        """
        with self._lock:
            parts = self._parts
            revision = self._state.revision
        known = frozenset(known_digests)
        values = {part.digest: part.value for part in parts.values() if part.digest not in known}
        digests = {name: part.digest for name, part in parts.items()}
        return Configuration(revision=revision, parts=digests, values=values)

    def news(self) -> Configuration:
        """Return the shortest message for peers that are likely to have the revision before.

        A peer that has another revision cannot use it, and asks by its own ``message_for`` with all
        its digests.
        """
        with self._lock:
            delta = self._delta
            revision = self._state.revision
        if delta is None:
            return self.message_for(self.digests)
        return Configuration(revision=revision, values={DELTA_VALUE: delta})

    def refresh(self) -> Result[bool, ConfigReadError]:
        """Read the head, and what it names that is not at hand.

        A process can die between writing a revision and moving the head. The revision was accepted
        all the same, so those after the head are looked for too.

        Returns:
            Whether a newer revision was taken; the state stays as it is when the read fails.
        """
        head = read_head(self._store)
        if not is_successful(head):
            return Failure(head.failure())
        newest = self._newest_from(max(head.unwrap(), self.revision))
        if not is_successful(newest):
            return Failure(newest.failure())
        revision = newest.unwrap()
        if revision is None:
            self._confirmed = self._clock.now()
            return Success(False)
        return self._load(revision)

    def observe(self, changes: Sequence[ObjectChange]) -> Result[bool, ConfigReadError]:
        """Take what a watch of ``config/revisions/`` reported."""
        newest: Revision | None = None
        for change in changes:
            stored = change.object
            if change.deleted or not stored.key.startswith(REVISIONS_PREFIX):
                continue
            revision = parse_revision(stored)
            if not is_successful(revision):
                return Failure(revision.failure())
            newest = _newer(newest, revision.unwrap())
        if newest is None or newest.number <= self.revision:
            return Success(False)
        return self._load(newest)

    def _newest_from(self, number: int) -> Result[Revision | None, ConfigReadError]:
        """Return the newest revision from ``number`` on, or ``None`` when it is in force here."""
        newest: Revision | None = None
        following = number if number > self.revision else number + 1
        while True:
            read = read_revision(self._store, following)
            if not is_successful(read):
                return Failure(read.failure())
            found = read.unwrap()
            if found is None:
                return Success(newest)
            newest = found
            following += 1

    def _load(self, revision: Revision) -> Result[bool, ConfigReadError]:
        parts = self._from_changes(revision)
        if parts is None:
            read = collect_parts(self._store, revision.parts, self._parts, {})
            if not is_successful(read):
                return Failure(read.failure())
            parts = read.unwrap()
        self._confirmed = self._clock.now()
        return Success(self.take(revision.number, parts))

    def _from_changes(self, revision: Revision) -> dict[str, Part] | None:
        """Return the parts of the next revision made from its changes, without reading any."""
        if revision.changes is None or revision.number != self.revision + 1:
            return None
        return self._patched(revision.changes, root_digest(revision.parts))

    def _from_delta(self, text: str) -> dict[str, Part] | None:
        delta = unpack_delta(text).value_or(None)
        if delta is None or delta.base != self.revision:
            return None
        return self._patched(delta.changes, delta.root)

    def _patched(self, changes: Sequence[RecordedChange], root: str) -> dict[str, Part] | None:
        """Return the parts with changes, or ``None`` when they are not the ones announced."""
        parts = apply_changes(self._parts, changes).value_or(None)
        if parts is None:
            return None
        if root_digest({name: part.digest for name, part in parts.items()}) == root:
            return parts
        logging.warning("event=configuration_delta_refused revision=%d", self.revision)
        return None

    def _from_message(self, message: Configuration) -> dict[str, Part] | None:
        present = self._parts
        parts: dict[str, Part] = {}
        for name, digest in message.parts.items():
            own = present.get(name)
            if own is not None and own.digest == digest:
                parts[name] = own
                continue
            value = message.values.get(digest)
            if value is None:
                return None
            decoded = decode_part(name, digest, value)
            if not is_successful(decoded):
                error = decoded.failure()
                logging.warning(
                    "event=configuration_refused revision=%d part=%s detail=%r",
                    message.revision,
                    error.part,
                    error.detail,
                )
                return None
            parts[name] = decoded.unwrap()
        return parts


def _newer(first: Revision | None, second: Revision | None) -> Revision | None:
    if first is None or (second is not None and second.number > first.number):
        return second
    return first


def make_follower(store: ObjectStore, clock: Clock) -> ConfigurationFollower:
    """Return a follower that holds nothing yet.

    Args:
        store: The object store.
        clock: The process's clock.

    Since 0.1.
    """
    return ConfigurationFollower(store, clock)
