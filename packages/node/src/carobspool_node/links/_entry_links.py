"""A sidecar's connections to entries, one for each process of an entry."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging

from carobspool_core import Clock, Message, Millis
from carobspool_node.links._link import Link, send_quietly

REATTACH_GRACE: Millis = 5_000.0
"""How long requests of an entry that is not heard go on; the entry waits as long to come back."""

SILENCE_LIMIT: Millis = 1_600.0
"""Entries send a heartbeat each second. A frozen entry cannot pass on that a job was cancelled, so
what it has waiting here must not start; the bound on a cancel is two seconds."""


@dataclass(slots=True)
class _EntryLink:
    """The current connection of one entry process."""

    link: Link
    heard_at: Millis
    lost_at: Millis | None = None


class EntryLinks:
    """The current connection of each entry process, by its incarnation. Since 0.1."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._links: dict[str, _EntryLink] = {}

    @property
    def connected(self) -> list[Link]:
        """The connections that stand."""
        with self._lock:
            return [entry.link for entry in self._links.values() if entry.lost_at is None]

    def adopt(self, link: Link) -> None:
        """Take a new connection; an earlier one of the same process is closed."""
        with self._lock:
            previous = self._links.get(link.peer.incarnation)
            self._links[link.peer.incarnation] = _EntryLink(link=link, heard_at=self._clock.now())
        if previous is not None:
            previous.link.close()
        logging.info("event=entry_connected entry=%s", link.peer.node)

    def hear(self, link: Link) -> None:
        """Take note that a message came on a connection."""
        entry = self._links.get(link.peer.incarnation)
        if entry is not None and entry.link is link:
            entry.heard_at = self._clock.now()

    def is_heard(self, incarnation: str) -> bool:
        """Whether an entry process has sent anything within the last heartbeats."""
        entry = self._links.get(incarnation)
        return entry is not None and self._clock.now() - entry.heard_at < SILENCE_LIMIT

    def lose(self, link: Link) -> None:
        """Take note that a connection has ended."""
        with self._lock:
            entry = self._links.get(link.peer.incarnation)
            if entry is None or entry.link is not link:
                return
            entry.lost_at = self._clock.now()
        logging.info("event=entry_lost entry=%s", link.peer.node)

    def while_current(self, link: Link, add: Callable[[], bool]) -> bool:
        """Do something only while ``link`` is its process's current connection.

        An entry that has connected again asks about its requests on the new connection; what the
        old one still holds must not start after it was told "not run".

        Args:
            link: The connection on which a message came.
            add: What to do; called under the lock that `adopt` takes.

        Returns:
            What ``add`` returned, or false when it was not called.
        """
        with self._lock:
            current = self._links.get(link.peer.incarnation)
            return current is not None and current.link is link and add()

    def sender(self, incarnation: str) -> Callable[[Message], None]:
        """Return a function that sends on whatever connection the process has then."""

        def send(message: Message) -> None:
            entry = self._links.get(incarnation)
            if entry is not None:
                send_quietly(entry.link, message)

        return send

    def broadcast(self, message: Message) -> None:
        """Send a message to every connected entry."""
        for link in self.connected:
            send_quietly(link, message)

    def forget_lost(self) -> list[str]:
        """Forget the processes that have not come back in time, and return their incarnations."""
        now = self._clock.now()
        with self._lock:
            gone = [
                incarnation
                for incarnation, entry in self._links.items()
                if entry.lost_at is not None and now - entry.lost_at > REATTACH_GRACE
            ]
            for incarnation in gone:
                del self._links[incarnation]
        return gone

    def close(self) -> None:
        """Write what is queued and close every connection."""
        for link in self.connected:
            link.flush(1_000.0)
            link.close()
