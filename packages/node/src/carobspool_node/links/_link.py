"""One websocket between two processes, with a writer that joins waiting messages.

Frames are bounded in size and the queue of unsent messages in bytes, so a peer that stops reading
costs this process a bounded amount of memory and then its connection.
"""

from __future__ import annotations

import queue
import threading
from collections.abc import Iterator
from typing import Protocol

from websockets.exceptions import ConnectionClosed

from carobspool_core import Data, Hello, Message, Millis, Open
from carobspool_node.errors import CodecError, LinkClosedError
from carobspool_node.links._codec import decode_frame, encode_frame

MAX_FRAME_BYTES = 32 * 1024 * 1024
JOIN_MESSAGES = 128
JOIN_BYTES = 1024 * 1024
MAX_QUEUED_BYTES = 64 * 1024 * 1024
SMALL_MESSAGE_BYTES = 128
FRAME_OVERHEAD = 8
"""Bytes of a websocket header, about; those of TCP and IP are left out."""


class Traffic:
    """Bytes of all links of this process, both ways. Since 0.1."""

    __slots__ = ("_lock", "received", "sent")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.sent = 0
        self.received = 0

    def count(self, *, sent: int = 0, received: int = 0) -> None:
        """Add the bytes of a frame."""
        with self._lock:
            self.sent += sent
            self.received += received


TRAFFIC = Traffic()


class Socket(Protocol):
    """What a link needs of a websocket connection of either side."""

    def send(self, message: bytes) -> None: ...

    def recv(self, timeout: float | None = None) -> str | bytes: ...

    def close(self) -> None: ...


class Link:
    """An established connection to a peer.

    Messages are queued by `send` from any thread and written by one writer task; `messages` is
    read by one reader task. Since 0.1.
    """

    def __init__(self, socket: Socket, peer: Hello, clock_offset: Millis) -> None:
        self._socket = socket
        self._peer = peer
        self._clock_offset = clock_offset
        self._queue: queue.SimpleQueue[Message | None] = queue.SimpleQueue()
        self._queued_bytes = 0
        self._lock = threading.Lock()
        self._closed = threading.Event()
        self._writer = threading.Thread(
            target=self._write_all, name=f"write-{peer.node}", daemon=True
        )
        self._writer.start()

    @property
    def peer(self) -> Hello:
        """What the peer said of itself."""
        return self._peer

    @property
    def closed(self) -> bool:
        """Whether the connection is gone."""
        return self._closed.is_set()

    def age(self, sent: Millis, now: Millis) -> Millis:
        """Return how long ago a message was sent, beyond the fastest delivery seen so far.

        Args:
            sent: The peer's clock when it sent the message.
            now: This process's clock.
        """
        offset = now - sent
        self._clock_offset = min(self._clock_offset, offset)
        return offset - self._clock_offset

    def send(self, message: Message) -> None:
        """Queue a message.

        Raises:
            LinkClosedError: If the connection is gone or the peer has stopped reading.
        """
        if self._closed.is_set():
            raise LinkClosedError(f"connection to {self._peer.node} is closed")
        size = _size(message)
        with self._lock:
            self._queued_bytes += size
            overflow = self._queued_bytes > MAX_QUEUED_BYTES
        if overflow:
            self.close()
            raise LinkClosedError(f"{self._peer.node} does not read")
        self._queue.put(message)

    def messages(self) -> Iterator[Message]:
        """Yield the peer's messages until the connection is gone.

        Raises:
            CodecError: If the peer sends a malformed frame.
        """
        while True:
            try:
                frame = self._socket.recv()
            except (ConnectionClosed, OSError):
                self.close()
                return
            if isinstance(frame, str):
                self.close()
                raise CodecError("text frame")
            TRAFFIC.count(received=len(frame) + FRAME_OVERHEAD)
            yield from decode_frame(frame)

    def close(self) -> None:
        """Close the connection; safe to call more than once and from any thread."""
        if self._closed.is_set():
            return
        self._closed.set()
        self._queue.put(None)
        threading.Thread(target=self._close_socket, name="close", daemon=True).start()

    def flush(self, timeout: Millis) -> None:
        """Wait until the queued messages are written or the time is over."""
        self._queue.put(None)
        self._writer.join(timeout / 1000.0)

    def _close_socket(self) -> None:
        # Closing waits for the peer's closing frame, which a frozen peer never sends.
        try:
            self._socket.close()
        except Exception:  # noqa: BLE001, S110
            return

    def _write_all(self) -> None:
        while True:
            first = self._queue.get()
            if first is None:
                return
            batch, last = self._join(first)
            frame = encode_frame(batch)
            TRAFFIC.count(sent=len(frame) + FRAME_OVERHEAD)
            try:
                self._socket.send(frame)
            except (ConnectionClosed, OSError):
                self.close()
                return
            if last:
                return

    def _join(self, first: Message) -> tuple[list[Message], bool]:
        batch = [first]
        size = _size(first)
        last = False
        while len(batch) < JOIN_MESSAGES and size < JOIN_BYTES:
            try:
                message = self._queue.get_nowait()
            except queue.Empty:
                break
            if message is None:
                last = True
                break
            batch.append(message)
            size += _size(message)
        with self._lock:
            self._queued_bytes -= size
        return batch, last


def send_quietly(link: Link, message: Message) -> None:
    """Send a message whose loss does no harm when the connection is gone."""
    try:
        link.send(message)
    except LinkClosedError:
        return


def _size(message: Message) -> int:
    if isinstance(message, Data):
        return len(message.payload) + SMALL_MESSAGE_BYTES
    if isinstance(message, Open):
        return len(message.body) + SMALL_MESSAGE_BYTES
    return SMALL_MESSAGE_BYTES
