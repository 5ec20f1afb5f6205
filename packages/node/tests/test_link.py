"""Tests of connections between processes, over real websockets on loopback."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
from websockets.sync.server import ServerConnection, serve

from carobspool_core import Cancel, Heartbeat, Message, RequestId, monotonic_clock
from carobspool_node.errors import HandshakeError, LinkClosedError
from carobspool_node.links._handshake import Identity, dial, establish
from carobspool_node.links._link import Link
from carobspool_node.links._peer_keys import PeerKeys

_KEYS = PeerKeys(keys={"k1": b"one", "k2": b"two"}, use="k1")
_CLOCK = monotonic_clock()


def _identity(role: str) -> Identity:
    return Identity(node=role, incarnation=f"{role}-1", role=role, failure_domain="d")


@contextmanager
def _server(keys: PeerKeys, received: list[Message], errors: list[Exception]) -> Iterator[str]:
    def handle(socket: ServerConnection) -> None:
        try:
            link = establish(
                socket, identity=_identity("sidecar"), keys=keys, clock=_CLOCK, server=True
            )
        except HandshakeError as error:
            errors.append(error)
            return
        for message in link.messages():
            received.append(message)
            link.send(message)

    with serve(handle, "127.0.0.1", 0, compression=None) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        port = server.socket.getsockname()[1]
        yield f"127.0.0.1:{port}"
        server.shutdown()
        thread.join(5.0)


def _dial(address: str, keys: PeerKeys) -> Link | None:
    return dial(address, identity=_identity("entry"), keys=keys, clock=_CLOCK)


def test_messages_pass_in_order() -> None:
    """Messages queued by one side arrive at the other in order."""
    received: list[Message] = []
    with _server(_KEYS, received, []) as address:
        link = _dial(address, _KEYS)
        assert link is not None
        assert link.peer.node == "sidecar"
        wanted: list[Message] = [Cancel(id=RequestId("e", number)) for number in range(500)]
        for message in wanted:
            link.send(message)
        back = []
        for message in link.messages():
            back.append(message)
            if len(back) == len(wanted):
                break
        link.close()
    assert back == wanted


def test_a_peer_with_a_rotated_key_is_accepted() -> None:
    """While keys are rotated, both the old and the new key are good."""
    rotated = PeerKeys(keys=_KEYS.keys, use="k2")
    with _server(_KEYS, [], []) as address:
        link = _dial(address, rotated)
        assert link is not None
        link.close()


@pytest.mark.parametrize(
    "keys",
    [
        PeerKeys(keys={"k1": b"wrong"}, use="k1"),
        PeerKeys(keys={"k9": b"one"}, use="k9"),
    ],
)
def test_a_stranger_is_refused(keys: PeerKeys) -> None:
    """A process without a shared key gets no link and is reported."""
    errors: list[Exception] = []
    with _server(_KEYS, [], errors) as address:
        assert _dial(address, keys) is None
    assert errors


def test_a_closed_link_refuses_messages() -> None:
    """After the peer is gone, sending fails instead of losing the message silently."""
    with _server(_KEYS, [], []) as address:
        link = _dial(address, _KEYS)
        assert link is not None
        link.close()
        with pytest.raises(LinkClosedError):
            link.send(Heartbeat(sent=0.0))


def test_age_is_measured_against_the_fastest_delivery() -> None:
    """A message that was held up for two seconds shows that age, whatever the clocks' offset."""
    with _server(_KEYS, [], []) as address:
        link = _dial(address, _KEYS)
        assert link is not None
        base = _CLOCK.now()
        # The peer's clock is 5 s ahead: the fastest delivery shows the offset.
        link.age(base + 5000.0, base)
        assert link.age(base + 5000.0, base) < 50.0
        assert link.age(base + 5000.0, base + 2000.0) >= 1950.0
        link.close()
