"""How two processes come to a link: dialling, accepting, and proving themselves to each other."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass

from absl import logging
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.sync.client import connect
from websockets.sync.server import Server, ServerConnection, serve

from carobspool_core import PROTOCOL_VERSION, Clock, Hello, Message, Millis, Proof
from carobspool_node.errors import CodecError, HandshakeError
from carobspool_node.links._codec import decode_frame, encode_frame
from carobspool_node.links._link import MAX_FRAME_BYTES, Link, Socket
from carobspool_node.links._peer_keys import PeerKeys, check_proof, make_proof, new_nonce

HANDSHAKE_TIMEOUT: Millis = 3_000.0
CLOSE_TIMEOUT: Millis = 1_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Who this process is, as told to its peers.

    Attributes:
        node: Name of the process, unique in the fleet.
        incarnation: Random id of this run of the process.
        role: ``entry`` or ``sidecar``.
        failure_domain: Where it runs.
    """

    node: str
    incarnation: str
    role: str
    failure_domain: str


def establish(
    socket: Socket, *, identity: Identity, keys: PeerKeys, clock: Clock, server: bool
) -> Link:
    """Run the handshake on a new connection.

    Both sides send `Hello`, then each proves by an HMAC over both nonces that it holds a shared
    key. The client proves itself first, so a stranger learns nothing from a server.

    Raises:
        HandshakeError: If the peer speaks another version or fails its proof.
        CodecError: If the peer sends a malformed frame.
    """
    nonce = new_nonce()
    hello = Hello(
        version=PROTOCOL_VERSION,
        node=identity.node,
        incarnation=identity.incarnation,
        role=identity.role,
        failure_domain=identity.failure_domain,
        nonce=nonce,
        sent=clock.now(),
    )
    _send_one(socket, hello)
    peer = _receive_one(socket)
    offset = clock.now()
    if not isinstance(peer, Hello):
        raise HandshakeError(f"expected Hello, got {type(peer).__name__}")
    if peer.version != PROTOCOL_VERSION:
        raise HandshakeError(f"peer speaks version {peer.version}, not {PROTOCOL_VERSION}")
    offset -= peer.sent
    side, other = ("server", "client") if server else ("client", "server")
    key_id, mac = make_proof(keys, own_nonce=nonce, peer_nonce=peer.nonce, role=side)
    proof = Proof(key_id=key_id, mac=mac)
    if not server:
        _send_one(socket, proof)
    _check_peer(_receive_one(socket), keys, nonce, peer.nonce, other)
    if server:
        _send_one(socket, proof)
    return Link(socket, peer, offset)


def dial(address: str, *, identity: Identity, keys: PeerKeys, clock: Clock) -> Link | None:
    """Connect to a peer and run the handshake; ``None`` when that fails.

    Args:
        address: ``ip:port``.
        identity: This process.
        keys: Shared keys.
        clock: This process's clock.
    """
    try:
        socket = connect(
            f"ws://{address}",
            compression=None,
            max_size=MAX_FRAME_BYTES,
            ping_interval=None,
            open_timeout=HANDSHAKE_TIMEOUT / 1000.0,
            close_timeout=CLOSE_TIMEOUT / 1000.0,
            proxy=None,
            legacy=True,
        )
    except (OSError, TimeoutError, WebSocketException) as error:
        logging.vlog(1, "event=peer_not_reached address=%s error=%s", address, error)
        return None
    try:
        return establish(socket, identity=identity, keys=keys, clock=clock, server=False)
    except (HandshakeError, CodecError) as error:
        logging.warning("event=handshake_failed address=%s error=%s", address, error)
        socket.close()
        return None


class LinkServer:
    """Accepts links from entries on a port. Made by `listen`."""

    def __init__(self, server: Server, name: str) -> None:
        self._server = server
        threading.Thread(target=server.serve_forever, name=name, daemon=True).start()

    @property
    def port(self) -> int:
        """The port on which it listens."""
        port: int = self._server.socket.getsockname()[1]
        return port

    def stop(self) -> None:
        """Accept no more; the links there are stay."""
        self._server.shutdown()


def listen(
    address: str,
    port: int,
    *,
    name: str,
    identity: Identity,
    keys: PeerKeys,
    clock: Clock,
    on_entry: Callable[[Link], None],
) -> LinkServer:
    """Accept links from entries, in tasks of its own.

    Args:
        address: IP number to listen on.
        port: Port to listen on; 0 takes a free one.
        name: Name of the listening task.
        identity: This process.
        keys: Shared keys.
        clock: This process's clock.
        on_entry: Serves a link to an entry until it is gone, on a task of its own.
    """

    def accept(socket: ServerConnection) -> None:
        try:
            link = establish(socket, identity=identity, keys=keys, clock=clock, server=True)
        except (HandshakeError, CodecError) as error:
            logging.warning("event=handshake_refused error=%s", error)
            return
        if is_entry(link):
            on_entry(link)

    server = serve(
        accept,
        address,
        port,
        compression=None,
        max_size=MAX_FRAME_BYTES,
        ping_interval=None,
    )
    return LinkServer(server, name)


def is_entry(link: Link) -> bool:
    """Tell whether the peer is an entry; the link of another one is closed."""
    if link.peer.role == "entry":
        return True
    logging.warning("event=peer_refused role=%s", link.peer.role)
    link.close()
    return False


def _check_peer(
    message: Message, keys: PeerKeys, own_nonce: str, peer_nonce: str, role: str
) -> None:
    if not isinstance(message, Proof):
        raise HandshakeError(f"expected Proof, got {type(message).__name__}")
    check_proof(
        keys,
        key_id=message.key_id,
        mac=message.mac,
        own_nonce=own_nonce,
        peer_nonce=peer_nonce,
        role=role,
    )


def _send_one(socket: Socket, message: Message) -> None:
    try:
        socket.send(encode_frame([message]))
    except (ConnectionClosed, OSError) as error:
        raise HandshakeError(f"connection lost in the handshake: {error}") from error


def _receive_one(socket: Socket) -> Message:
    try:
        frame = socket.recv(timeout=HANDSHAKE_TIMEOUT / 1000.0)
    except (ConnectionClosed, OSError, TimeoutError) as error:
        raise HandshakeError(f"no answer in the handshake: {error}") from error
    if isinstance(frame, str):
        raise HandshakeError("text frame in the handshake")
    messages = decode_frame(frame)
    if len(messages) != 1:
        raise HandshakeError(f"{len(messages)} messages in a handshake frame")
    return messages[0]
