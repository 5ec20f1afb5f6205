"""A fault-injecting proxy on the connection between an entry and a sidecar.

It reorders, duplicates, drops and delays the messages of answers, by a seeded random generator, and
cuts connections on request.
"""

from __future__ import annotations

import contextlib
import random
import socket
import threading
import time
from dataclasses import dataclass

from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.sync.client import ClientConnection, connect
from websockets.sync.server import ServerConnection, serve

from carobspool_core import Data, End, Head, Message
from carobspool_node.links import decode_frame, encode_frame

MAX_BYTES = 64 * 1024 * 1024


@dataclass(frozen=True, slots=True, kw_only=True)
class Tampering:
    """Faults on the messages of answers.

    Attributes:
        repeat: Probability that a message is sent twice.
        hold_back: Probability that a message is held back and sent after later ones.
        drop: Probability that a message is dropped.
        delay: Maximum random delay of a frame, in seconds.
    """

    repeat: float = 0.0
    hold_back: float = 0.0
    drop: float = 0.0
    delay: float = 0.0


class FrameProxy:
    """Forwards frames between one sidecar and the entries that connect to it."""

    def __init__(self, target: str, tampering: Tampering, *, seed: int) -> None:
        self._target = target
        self._tampering = tampering
        self._rng = random.Random(seed)
        self._sockets: list[ServerConnection | ClientConnection] = []
        self._lock = threading.Lock()
        self._server = serve(
            self._serve, "127.0.0.1", 0, compression=None, max_size=MAX_BYTES, ping_interval=None
        )
        self._thread = threading.Thread(target=self._server.serve_forever, daemon=True)
        self._thread.start()
        self.tampered_messages = 0

    @property
    def address(self) -> str:
        """``ip:port`` to declare as the address of the upstream instead of the sidecar's."""
        return f"127.0.0.1:{self._server.socket.getsockname()[1]}"

    def cut(self) -> None:
        """Shut every connection down without a closing handshake."""
        with self._lock:
            sockets = self._sockets
            self._sockets = []
        for each in sockets:
            with contextlib.suppress(OSError):
                each.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Cut every connection and stop the server."""
        self.cut()
        self._server.shutdown()

    def _serve(self, entry: ServerConnection) -> None:
        try:
            sidecar = connect(
                f"ws://{self._target}",
                compression=None,
                max_size=MAX_BYTES,
                ping_interval=None,
                proxy=None,
                legacy=True,
            )
        except (OSError, WebSocketException):
            return
        with self._lock:
            self._sockets += [entry, sidecar]
        answers_thread = threading.Thread(
            target=self._forward_answers, args=(sidecar, entry), daemon=True
        )
        answers_thread.start()
        with contextlib.suppress(ConnectionClosed, OSError):
            while True:
                sidecar.send(entry.recv())
        sidecar.close()
        answers_thread.join(5.0)

    def _forward_answers(self, sidecar: ClientConnection, entry: ServerConnection) -> None:
        held_back: list[Message] = []
        with contextlib.suppress(ConnectionClosed, OSError):
            while True:
                frame = sidecar.recv()
                assert isinstance(frame, bytes)
                forwarded = self._apply_faults(decode_frame(frame), held_back)
                if self._tampering.delay:
                    time.sleep(self._rng.random() * self._tampering.delay)
                if forwarded:
                    entry.send(encode_frame(forwarded))
        entry.close()

    def _apply_faults(self, messages: list[Message], held_back: list[Message]) -> list[Message]:
        forwarded: list[Message] = []
        for message in messages:
            if not isinstance(message, Data | Head | End):
                forwarded.append(message)
                continue
            draw = self._rng.random()
            if draw < self._tampering.drop:
                self.tampered_messages += 1
                continue
            if draw < self._tampering.drop + self._tampering.hold_back:
                self.tampered_messages += 1
                held_back.append(message)
                continue
            forwarded.append(message)
            if self._rng.random() < self._tampering.repeat:
                self.tampered_messages += 1
                forwarded.append(message)
            if held_back and self._rng.random() < 0.5:
                forwarded.append(held_back.pop(self._rng.randrange(len(held_back))))
        return forwarded
