"""An entry's connection to one sidecar: connects, connects again, and hands answers to attempts."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, replace

from absl import logging

from carobspool_core import (
    Attach,
    Cancel,
    Clock,
    Configuration,
    Data,
    End,
    Head,
    Heartbeat,
    Hint,
    Load,
    Message,
    Millis,
    Open,
    Outcome,
    RequestId,
    broken_upstream,
)
from carobspool_node.errors import CodecError, LinkClosedError
from carobspool_node.links._handshake import Identity, dial
from carobspool_node.links._link import Link
from carobspool_node.links._peer_keys import PeerKeys
from carobspool_node.requests import Attempt

RECONNECT_FIRST: Millis = 50.0
RECONNECT_MOST: Millis = 1_000.0
MISSED_HEARTBEATS = 3
DETACH_LIMIT: Millis = 5_000.0
"""How long attempts wait for their lost connection; the sidecar keeps their answers as long."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerEvents:
    """Whom a peer tells what it learns; all are called from its reader task.

    Attributes:
        on_load: Host and load, with each report.
        on_lost: Host, when the connection is gone or three heartbeats are missed.
        on_found: Host, when it is heard again.
        on_hint: A hint from the sidecar.
        on_configuration: Host, and the sidecar's request for parts of the configuration.
    """

    on_load: Callable[[str, Load], None]
    on_lost: Callable[[str], None]
    on_found: Callable[[str], None]
    on_hint: Callable[[Hint], None]
    on_configuration: Callable[[str, Configuration], None]


class SidecarPeer:
    """One sidecar as an entry sees it. Since 0.1."""

    def __init__(
        self,
        host: str,
        address: str,
        *,
        identity: Identity,
        keys: PeerKeys,
        clock: Clock,
        events: PeerEvents,
        heartbeat: Millis = 1_000.0,
    ) -> None:
        self._host = host
        self._address = address
        self._identity = identity
        self._keys = keys
        self._clock = clock
        self._events = events
        self._heartbeat = heartbeat
        self._lock = threading.Lock()
        self._link: Link | None = None
        self._incarnation = ""
        self._attempts: dict[RequestId, Attempt] = {}
        self._heard_at: Millis = clock.now()
        self._lost_at: Millis | None = clock.now()
        self._stopped = threading.Event()
        self._reader = threading.Thread(target=self._run, name=f"peer-{host}", daemon=True)

    @property
    def host(self) -> str:
        """The upstream's host."""
        return self._host

    @property
    def address(self) -> str:
        """``ip:port`` of the sidecar."""
        return self._address

    @property
    def connected(self) -> bool:
        """Whether the sidecar is connected and heard."""
        return self._lost_at is None

    def start(self) -> None:
        """Connect in a task of its own and stay connected until `stop`."""
        self._reader.start()

    def stop(self) -> None:
        """Close the connection for good."""
        self._stopped.set()
        link = self._link
        if link is not None:
            link.flush(500.0)
            link.close()

    def lost_for(self, now: Millis) -> Millis:
        """Return for how long the sidecar has not been heard; 0 while it is."""
        return 0.0 if self._lost_at is None else now - self._lost_at

    def open(self, request: Open, *, on_end: Callable[[], None] | None = None) -> Attempt | None:
        """Send a request; ``None`` when there is no connection, so that nothing was sent."""
        attempt = Attempt(request.id, self._clock, self._send_quietly, on_end=on_end)
        with self._lock:
            link = self._link
            if link is None or link.closed:
                return None
            self._attempts[request.id] = attempt
        try:
            link.send(replace(request, sent=self._clock.now()))
        except LinkClosedError:
            # Never queued, so it cannot have been sent.
            self._forget(request.id)
            return None
        return attempt

    def close_attempt(self, attempt: Attempt) -> None:
        """Forget an attempt; one that has not ended is cancelled at the sidecar."""
        self._forget(attempt.id)
        if not attempt.settled:
            self._send_quietly(Cancel(id=attempt.id))

    def send(self, message: Message) -> bool:
        """Send a message; false when there is no connection."""
        link = self._link
        if link is None:
            return False
        try:
            link.send(message)
        except LinkClosedError:
            return False
        return True

    def tick(self, now: Millis) -> None:
        """Send a heartbeat, notice missed ones, and give up on attempts that wait too long."""
        self.send(Heartbeat(sent=now))
        if self._lost_at is None and now - self._heard_at > MISSED_HEARTBEATS * self._heartbeat:
            self._mark_lost("heartbeats missed")
        lost_at = self._lost_at
        if lost_at is not None and now - lost_at > DETACH_LIMIT:
            self._fail_attempts()
        for attempt in self._pending():
            attempt.check_gap()

    def _run(self) -> None:
        delay = RECONNECT_FIRST
        while not self._stopped.is_set():
            link = self._connect()
            if link is None:
                self._stopped.wait(delay / 1000.0)
                delay = min(delay * 2, RECONNECT_MOST)
                continue
            delay = RECONNECT_FIRST
            self._adopt(link)
            self._read(link)
            self._drop(link)

    def _connect(self) -> Link | None:
        return dial(self._address, identity=self._identity, keys=self._keys, clock=self._clock)

    def _adopt(self, link: Link) -> None:
        same = link.peer.incarnation == self._incarnation
        self._incarnation = link.peer.incarnation
        if not same:
            # Another process has taken the address; what the old one was doing is not known.
            self._fail_attempts()
        with self._lock:
            self._link = link
        self._hear()
        for attempt in self._pending():
            attempt.ask_again()

    def _read(self, link: Link) -> None:
        try:
            for message in link.messages():
                self._hear()
                self._receive(link, message)
        except CodecError as error:
            logging.warning("event=link_broken host=%s error=%s", self._host, error)
            link.close()

    def _drop(self, link: Link) -> None:
        with self._lock:
            if self._link is link:
                self._link = None
        self._mark_lost("connection closed")

    def _receive(self, link: Link, message: Message) -> None:
        if isinstance(message, Data | Head | End):
            attempt = self._attempts.get(message.id)
            # An answer to nobody: its request was given up on, or a frame came twice.
            if attempt is not None:
                attempt.receive(message)
            return
        if isinstance(message, Heartbeat):
            link.age(message.sent, self._clock.now())
            return
        if isinstance(message, Load):
            self._events.on_load(self._host, message)
            return
        if isinstance(message, Hint):
            self._events.on_hint(message)
            return
        if isinstance(message, Configuration):
            self._events.on_configuration(self._host, message)

    def _hear(self) -> None:
        self._heard_at = self._clock.now()
        if self._lost_at is None:
            return
        self._lost_at = None
        logging.info("event=sidecar_found host=%s", self._host)
        self._events.on_found(self._host)

    def _mark_lost(self, reason: str) -> None:
        if self._lost_at is not None:
            return
        self._lost_at = self._clock.now()
        logging.warning("event=sidecar_lost host=%s reason=%s", self._host, reason)
        self._events.on_lost(self._host)

    def _fail_attempts(self) -> None:
        for attempt in self._pending():
            attempt.fail(
                broken_upstream(
                    "sidecar_lost", "the upstream's host is not heard", outcome=Outcome.UNKNOWN
                )
            )

    def _pending(self) -> list[Attempt]:
        with self._lock:
            return list(self._attempts.values())

    def _forget(self, identity: RequestId) -> None:
        with self._lock:
            self._attempts.pop(identity, None)

    def _send_quietly(self, message: Attach | Cancel) -> None:
        self.send(message)
