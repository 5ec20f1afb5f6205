"""Calls from a sidecar to its upstream over HTTP, by pycurl.

The adapter tells exactly how far a call came, because only a call that never started to be sent
may be reported as not run.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum

import pycurl

from carobspool_core import AnswerHead, Millis
from carobspool_node.answers import BoundedAnswer, unacknowledged_bytes

CONNECT_TIMEOUT: Millis = 1_000.0
CONTROL_TIMEOUT: Millis = 2_000.0


class CallEnd(StrEnum):
    """How a call ended."""

    COMPLETE = "complete"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    ABORTED = "aborted"


@dataclass(frozen=True, slots=True, kw_only=True)
class UpstreamCall:
    """One HTTP request to the upstream.

    Attributes:
        method: HTTP method.
        url: Absolute URL.
        headers: Request headers.
        body: Request body, empty for none.
        timeout: Milliseconds for the whole call; 0 for no limit.
    """

    method: str
    url: str
    headers: Mapping[str, str]
    body: bytes = b""
    timeout: Millis = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallResult:
    """The end of a call; ``detail`` is for logs."""

    end: CallEnd
    status: int
    detail: str = ""


class Exchange:
    """A call in progress that another thread can abort. Since 0.1.

    Args:
        may_send: Asked before the connection is opened and again right before the request is sent
            on it; false ends the call as not sent.
    """

    def __init__(self, may_send: Callable[[], bool] = lambda: True) -> None:
        self._may_send = may_send
        self._lock = threading.Lock()
        self._sockets: list[socket.socket] = []
        self._aborted = False
        self._withheld = False

    @property
    def aborted(self) -> bool:
        """Whether `abort` was called."""
        return self._aborted

    def abort(self) -> None:
        """Cut the connection, so that the call returns at once."""
        with self._lock:
            self._aborted = True
            for opened in self._sockets:
                with contextlib.suppress(OSError):
                    opened.shutdown(socket.SHUT_RDWR)

    def run(
        self,
        call: UpstreamCall,
        on_head: Callable[[int, dict[str, str]], None],
        on_data: Callable[[bytes], int | None],
    ) -> CallResult:
        """Run the call in this thread.

        Args:
            call: What to send.
            on_head: Receives status and headers once, before any data.
            on_data: Receives the body as it comes; may return how many bytes it has accepted, which
                ends the call if these are not all.
        """
        head = AnswerHead()

        def header_line(line: bytes) -> int | None:
            if head.is_whole:
                return None
            accepted = head.read_line(line)
            if head.is_whole:
                on_head(head.status, head.headers)
            return accepted

        curl = self._prepare(call)
        curl.setopt(pycurl.HEADERFUNCTION, header_line)
        curl.setopt(pycurl.WRITEFUNCTION, on_data)
        try:
            curl.perform()
            sent = curl.getinfo(pycurl.SIZE_UPLOAD_T) - self._unacknowledged()
        except pycurl.error as error:
            return self._failed(curl, error, head.status)
        finally:
            with self._lock:
                self._sockets.clear()
            curl.close()
        cut = head.find_cut(sent=sent, length=len(call.body))
        if cut is not None:
            end = CallEnd.ABORTED if self._aborted else CallEnd.BROKEN
            return CallResult(end=end, status=head.status, detail=cut)
        return CallResult(end=CallEnd.COMPLETE, status=head.status)

    def _prepare(self, call: UpstreamCall) -> pycurl.Curl:
        curl = pycurl.Curl()
        curl.setopt(pycurl.URL, call.url)
        curl.setopt(pycurl.CUSTOMREQUEST, call.method)
        lines = [f"{name}: {value}" for name, value in call.headers.items()]
        curl.setopt(pycurl.HTTPHEADER, [*lines, "Expect:"])
        if call.body:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, call.body)
            curl.setopt(pycurl.POSTFIELDSIZE, len(call.body))
        if call.method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT))
        curl.setopt(pycurl.TIMEOUT_MS, int(call.timeout))
        # libcurl sends a request again when a reused connection dies before an answer; the
        # upstream may have run the first one. A fresh connection for each call rules that out.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.OPENSOCKETFUNCTION, self._open_socket)
        # A process that is frozen while the connection opens would send on waking. On a crowded
        # machine that moment lasts some milliseconds, long enough for a freeze to fall into it.
        curl.setopt(pycurl.PREREQFUNCTION, self._before_sending)
        return curl

    def _before_sending(self, *_: object) -> int:
        self._withheld = not self._may_send()
        answer: int = pycurl.PREREQFUNC_ABORT if self._withheld else pycurl.PREREQFUNC_OK
        return answer

    def _open_socket(
        self, purpose: int, address: tuple[int, int, int, object]
    ) -> socket.socket | int:
        if not self._may_send():
            bad: int = pycurl.SOCKET_BAD
            return bad
        family, kind, protocol, _ = address
        opened = socket.socket(family, kind, protocol)
        with self._lock:
            self._sockets.append(opened)
        return opened

    def _unacknowledged(self) -> int:
        with self._lock:
            return sum(unacknowledged_bytes(each) for each in self._sockets)

    def _failed(self, curl: pycurl.Curl, error: pycurl.error, status: int) -> CallResult:
        code = error.args[0]
        detail = str(error.args[1]) if len(error.args) > 1 else str(code)
        # The connect time stays 0 until the connection stands; before that nothing can be sent.
        if self._withheld or curl.getinfo(pycurl.CONNECT_TIME) == 0:
            return CallResult(end=CallEnd.NOT_SENT, status=0, detail=detail)
        if self._aborted:
            return CallResult(end=CallEnd.ABORTED, status=status, detail=detail)
        if code == pycurl.E_OPERATION_TIMEDOUT:
            return CallResult(end=CallEnd.TIMED_OUT, status=status, detail=detail)
        return CallResult(end=CallEnd.BROKEN, status=status, detail=detail)


def call_whole(call: UpstreamCall) -> tuple[CallResult, bytes]:
    """Run a short control call and return its result with the whole body."""
    received = BoundedAnswer()
    result = Exchange().run(call, lambda status, headers: None, received.write)
    return result, received.value()
