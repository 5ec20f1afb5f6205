"""Head of an HTTP answer, read line by line."""

from __future__ import annotations

MAX_HEADERS = 256
"""Header lines of an answer; libcurl bounds their bytes, but not those of interim answers."""
_LINE_ENDS = (b"\r\n", b"\n")
_FIRST_STATUS, _FIRST_FINAL_STATUS, _LAST_STATUS = 100, 200, 599


def is_status(status: int) -> bool:
    """Return whether HTTP defines a status, or at least its class.

    Since 0.3.
    """
    return _FIRST_STATUS <= status <= _LAST_STATUS


class AnswerHead:
    """Reads the head of an answer as libcurl passes it on, interim answers before it included.

    libcurl takes a head that ends with its connection for a whole one, and the answer for one
    without a body. Only the empty line after the headers tells that the head is whole.

    Since 0.1.
    """

    __slots__ = ("_ended", "_headers", "_status")

    def __init__(self) -> None:
        self._status = 0
        self._headers: dict[str, str] = {}
        self._ended = False

    @property
    def status(self) -> int:
        """Status, 0 before a first line."""
        return self._status

    @property
    def headers(self) -> dict[str, str]:
        """Headers, names in lower case."""
        return self._headers

    @property
    def is_whole(self) -> bool:
        """Whether the head of the final answer has arrived to its end."""
        return self._ended and self._status >= _FIRST_FINAL_STATUS

    @property
    def has_framing(self) -> bool:
        """Whether the body has a length or comes in chunks, so that a cut of it shows."""
        return "content-length" in self._headers or "transfer-encoding" in self._headers

    def find_cut(self, *, sent: float, length: float) -> str | None:
        """Return why an answer may be cut although its connection ended in order, or ``None``.

        A server that closes a connection with a part of the request unread resets it. The end of
        the connection is then not the end of a body that has neither a length nor chunks.

        Args:
            sent: Bytes of the request's body that were sent.
            length: All bytes of the request's body.
        """
        if not self.is_whole:
            return "closed inside the head of the answer"
        if not self.has_framing and sent < length:
            return "closed before the request was sent"
        return None

    def read_line(self, line: bytes) -> int | None:
        """Read one line.

        Returns:
            ``None``, or 0 if there are too many headers or the status is none of HTTP, which ends
            a transfer of libcurl.

        Raises:
            ValueError: A status line without a status.
        """
        if self.is_whole:
            # What follows the body are trailers, which change nothing.
            return None
        if len(self._headers) >= MAX_HEADERS:
            return 0
        text = line.decode("latin-1").strip()
        if text.startswith("HTTP/"):
            self._status = int(text.split(" ", 2)[1])
            self._headers = {}
            self._ended = False
            return None if is_status(self._status) else 0
        if text:
            name, _, value = text.partition(":")
            self._headers[name.strip().lower()] = value.strip()
            return None
        self._ended = line in _LINE_ENDS
        return None
