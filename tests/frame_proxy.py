"""A proxy on the connection between an entry and a sidecar that tampers with its frames.

It stands where the network stands. Seeded, it holds messages of answers back, repeats them, drops
them, delays them, or cuts the connection.
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
    """What happens to messages of answers; each a probability, the delay in seconds."""

    repeat: float = 0.0
    hold_back: float = 0.0
    drop: float = 0.0
    delay: float = 0.0


class FrameProxy:
    """Passes frames between one sidecar and the entries that connect to it."""

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
        self.tampered = 0

    @property
    def address(self) -> str:
        """``ip:port`` to declare in the place of the sidecar's."""
        return f"127.0.0.1:{self._server.socket.getsockname()[1]}"

    def cut(self) -> None:
        """Cut every connection without a closing handshake."""
        with self._lock:
            sockets = self._sockets
            self._sockets = []
        for each in sockets:
            with contextlib.suppress(OSError):
                each.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Cut everything and end."""
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
        back = threading.Thread(target=self._pump_back, args=(sidecar, entry), daemon=True)
        back.start()
        with contextlib.suppress(ConnectionClosed, OSError):
            while True:
                sidecar.send(entry.recv())
        sidecar.close()
        back.join(5.0)

    def _pump_back(self, sidecar: ClientConnection, entry: ServerConnection) -> None:
        held: list[Message] = []
        with contextlib.suppress(ConnectionClosed, OSError):
            while True:
                frame = sidecar.recv()
                assert isinstance(frame, bytes)
                out = self._tamper(decode_frame(frame), held)
                if self._tampering.delay:
                    time.sleep(self._rng.random() * self._tampering.delay)
                if out:
                    entry.send(encode_frame(out))
        entry.close()

    def _tamper(self, messages: list[Message], held: list[Message]) -> list[Message]:
        out: list[Message] = []
        for message in messages:
            if not isinstance(message, Data | Head | End):
                out.append(message)
                continue
            chance = self._rng.random()
            if chance < self._tampering.drop:
                self.tampered += 1
                continue
            if chance < self._tampering.drop + self._tampering.hold_back:
                self.tampered += 1
                held.append(message)
                continue
            out.append(message)
            if self._rng.random() < self._tampering.repeat:
                self.tampered += 1
                out.append(message)
            if held and self._rng.random() < 0.5:
                out.append(held.pop(self._rng.randrange(len(held))))
        return out
