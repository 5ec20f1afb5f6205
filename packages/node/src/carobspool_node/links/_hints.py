"""Hints between entries: news that spares a read of the object store, passed on peer to peer.

Each entry keeps connections to a few others. A hint is told to all of them and passed on once by
each that had not heard it, so it reaches every entry in a few steps without a full mesh.
"""

from __future__ import annotations

import itertools
import threading
from collections.abc import Callable, Mapping
from random import Random

from absl import logging

from carobspool_core import (
    Clock,
    Configuration,
    Heartbeat,
    Hint,
    HintKind,
    Message,
    Millis,
    make_gossip,
)
from carobspool_node.errors import CodecError
from carobspool_node.links._handshake import Identity, LinkServer, dial, is_entry, listen
from carobspool_node.links._link import Link, send_quietly
from carobspool_node.links._peer_keys import PeerKeys

RECONNECT_DELAY: Millis = 500.0
SILENCE_LIMIT: Millis = 5_000.0
HINT_OVERHEAD = 64
"""Bytes of a hint beside its subject and values: type, origin, sequence, frame."""


class HintExchange:
    """An entry's connections to other entries. Since 0.1.

    Args:
        address: IP number to listen on.
        port: Port to listen on; 0 takes a free one.
        identity: This entry.
        keys: Shared keys.
        clock: This process's clock.
        on_hint: Receives each hint once.
        on_configuration: Receives a peer's offer or request, with the link to answer on.
        greeting: Returns the message to send on each new connection, or ``None``.
    """

    def __init__(
        self,
        address: str,
        port: int,
        *,
        identity: Identity,
        keys: PeerKeys,
        clock: Clock,
        on_hint: Callable[[Hint], None],
        on_configuration: Callable[[Configuration, Link], None],
        greeting: Callable[[], Message | None],
    ) -> None:
        self._address = address
        self._port = port
        self._identity = identity
        self._keys = keys
        self._clock = clock
        self._on_hint = on_hint
        self._on_configuration = on_configuration
        self._greeting = greeting
        self._lock = threading.Lock()
        self._links: set[Link] = set()
        self._heard: dict[Link, Millis] = {}
        self._dialled: dict[str, threading.Event] = {}
        self._gossip = make_gossip(clock, Random(identity.incarnation))
        self._counter = itertools.count(1)
        self._server: LinkServer | None = None

    @property
    def port(self) -> int:
        """The port on which it listens."""
        assert self._server is not None
        return self._server.port

    @property
    def peers(self) -> list[str]:
        """Names of the connected entries."""
        with self._lock:
            return sorted({link.peer.node for link in self._links})

    def start(self) -> None:
        """Listen in a task of its own."""
        self._server = listen(
            self._address,
            self._port,
            name="peers",
            identity=self._identity,
            keys=self._keys,
            clock=self._clock,
            on_entry=self._serve,
        )

    def set_peers(self, peers: Mapping[str, str]) -> None:
        """Keep connections to these entries, and let go of others that this side had dialled.

        Args:
            peers: Address (``ip:port``) by name.
        """
        with self._lock:
            for address, stop in list(self._dialled.items()):
                if address not in peers.values():
                    stop.set()
                    del self._dialled[address]
            fresh = [address for address in peers.values() if address not in self._dialled]
            for address in fresh:
                self._dialled[address] = threading.Event()
        for address in fresh:
            stop = self._dialled[address]
            thread = threading.Thread(
                target=self._keep_connected, args=(address, stop), name="hints", daemon=True
            )
            thread.start()

    def tell(self, kind: HintKind, subject: str, values: Mapping[str, str] | None = None) -> None:
        """Tell a hint of this entry's own to the other entries."""
        hint = Hint(
            kind=kind,
            subject=subject,
            origin=self._identity.incarnation,
            sequence=next(self._counter),
            values=dict(values or {}),
        )
        self._is_new(hint)
        self._spread(hint)

    def pass_on(self, hint: Hint) -> None:
        """Take a hint from a sidecar: tell it here and to the other entries, if it is new."""
        if not self._is_new(hint):
            return
        self._on_hint(hint)
        self._spread(hint)

    def broadcast(self, message: Message) -> None:
        """Send a message to every connected entry."""
        with self._lock:
            links = list(self._links)
        for link in links:
            send_quietly(link, message)

    def tick(self) -> None:
        """Send heartbeats and close connections that have fallen silent."""
        now = self._clock.now()
        self.broadcast(Heartbeat(sent=now))
        with self._lock:
            silent = [link for link, at in self._heard.items() if now - at > SILENCE_LIMIT]
        for link in silent:
            link.close()

    def stop(self) -> None:
        """Close all connections."""
        with self._lock:
            links = list(self._links)
            for stop in self._dialled.values():
                stop.set()
        for link in links:
            link.flush(500.0)
            link.close()
        if self._server is not None:
            self._server.stop()

    def _keep_connected(self, address: str, stop: threading.Event) -> None:
        while not stop.is_set():
            link = self._connect(address)
            if link is not None and is_entry(link):
                self._serve(link)
            stop.wait(RECONNECT_DELAY / 1000.0)

    def _connect(self, address: str) -> Link | None:
        return dial(address, identity=self._identity, keys=self._keys, clock=self._clock)

    def _serve(self, link: Link) -> None:
        with self._lock:
            self._links.add(link)
            self._heard[link] = self._clock.now()
        greeting = self._greeting()
        if greeting is not None:
            send_quietly(link, greeting)
        try:
            for message in link.messages():
                self._heard[link] = self._clock.now()
                self._receive(link, message)
        except CodecError as error:
            logging.warning("event=link_broken peer=%s error=%s", link.peer.node, error)
            link.close()
        with self._lock:
            self._links.discard(link)
            self._heard.pop(link, None)

    def _receive(self, link: Link, message: Message) -> None:
        if isinstance(message, Configuration):
            self._on_configuration(message, link)
            return
        if not isinstance(message, Hint) or not self._is_new(message):
            return
        self._on_hint(message)
        self._spread(message, source=link.peer.node)

    def _is_new(self, hint: Hint) -> bool:
        with self._lock:
            return self._gossip.record_if_new(hint)

    def _spread(self, hint: Hint, *, source: str | None = None) -> None:
        """Pass a hint on to as many entries as its urgency and the budget of bytes allow."""
        with self._lock:
            links = {link.peer.node: link for link in self._links}
            chosen = self._gossip.choose_links(
                hint, sorted(links), _size(hint), self._clock.now(), source=source
            )
        for node in chosen:
            send_quietly(links[node], hint)


def _size(hint: Hint) -> int:
    values = sum(len(key) + len(value) for key, value in hint.values.items())
    return HINT_OVERHEAD + len(hint.subject) + values
