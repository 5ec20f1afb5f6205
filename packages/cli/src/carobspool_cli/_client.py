"""HTTP client of the entries, with failover to the next entry when one is down."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from io import BytesIO
from pathlib import Path
from typing import Any, BinaryIO

import pycurl
from returns.result import Failure, Result, Success

from carobspool_cli.errors import ClientFailure
from carobspool_core import AnswerHead, Json, Millis

CONNECT_TIMEOUT_MS: Millis = 2_000.0
CALL_TIMEOUT_MS: Millis = 30_000.0
STALL_TIMEOUT_S = 120
"""A transfer without any progress for this long is aborted."""
MAX_BODY_BYTES = 32 * 1024 * 1024
"""Longest answer that is held in memory; content of files goes to a file."""

_NOT_SENT_ERRORS = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)

Progress = Callable[[int, int], None]
"""Callback with the bytes transferred and the total, which is 0 while unknown."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One HTTP call. Repeating any call of this client is safe.

    Attributes:
        method: HTTP method.
        path: Path and query.
        body: JSON body, or ``None``.
        upload: File to send as a multipart form, or ``None``.
        headers: Further headers.
    """

    method: str
    path: str
    body: Json = None
    upload: Path | None = None
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Reply:
    status: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class _TransportFailure:
    sent: bool
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Client:
    """Entries and the key with which to call them.

    Attributes:
        entries: Base addresses, tried in this order.
        key: Bearer key, or ``None``.

    Since 0.1.
    """

    entries: tuple[str, ...]
    key: str | None

    def call(self, call: Call, progress: Progress | None = None) -> Result[Json, ClientFailure]:
        """Send a call to the entries in order until one answers it.

        An entry that is unreachable or answers with 503 is skipped. Repeating a call is safe: an
        apply carries its base revision, a batch its idempotency key, and the other calls set a
        state.
        """
        last: _Reply | None = None
        transport_failures: list[tuple[str, _TransportFailure]] = []
        for entry in self.entries:
            received = _BoundedBody()
            reply = self._exchange(entry, call, received, progress)
            if isinstance(reply, _TransportFailure):
                transport_failures.append((entry, reply))
                continue
            last = _Reply(status=reply.status, body=received.getvalue())
            if last.status != HTTPStatus.SERVICE_UNAVAILABLE:
                return _parse_reply(last)
        if last is not None:
            return _parse_reply(last)
        return Failure(_no_answer_failure(transport_failures))

    def download(
        self, path: str, target: Path, progress: Progress | None = None
    ) -> Result[int, ClientFailure]:
        """Download a path into a file, which is created only once its content is complete.

        Returns:
            Its size in bytes.
        """
        part = target.with_name(f"{target.name}.part")
        call = Call(method="GET", path=path)
        last: _Reply | None = None
        transport_failures: list[tuple[str, _TransportFailure]] = []
        for entry in self.entries:
            with part.open("wb") as stream:
                reply = self._exchange(entry, call, stream, progress)
            if isinstance(reply, _TransportFailure):
                transport_failures.append((entry, reply))
                continue
            if reply.status == HTTPStatus.OK:
                part.replace(target)
                return Success(target.stat().st_size)
            last = _Reply(status=reply.status, body=part.read_bytes())
            if last.status != HTTPStatus.SERVICE_UNAVAILABLE:
                break
        part.unlink(missing_ok=True)
        return Failure(
            _failure_from_reply(last)
            if last is not None
            else _no_answer_failure(transport_failures)
        )

    def _exchange(
        self, entry: str, call: Call, target: BinaryIO, progress: Progress | None
    ) -> _Reply | _TransportFailure:
        head = AnswerHead()
        handle = pycurl.Curl()
        handle.setopt(pycurl.URL, entry.rstrip("/") + call.path)
        handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_MS))
        handle.setopt(pycurl.HEADERFUNCTION, head.read_line)
        handle.setopt(pycurl.WRITEFUNCTION, target.write)
        handle.setopt(pycurl.HTTPHEADER, self._headers(call))
        _set_body(handle, call)
        _set_limits(handle, call, progress)
        try:
            handle.perform()
            sent = handle.getinfo(pycurl.SIZE_UPLOAD_T)
            length = handle.getinfo(pycurl.CONTENT_LENGTH_UPLOAD_T)
        except pycurl.error as error:
            code = error.args[0]
            return _TransportFailure(sent=code not in _NOT_SENT_ERRORS, detail=str(error.args[-1]))
        finally:
            handle.close()
        cut = head.find_cut(sent=sent, length=length)
        if cut is not None:
            return _TransportFailure(sent=True, detail=cut)
        return _Reply(status=head.status, body=b"")

    def _headers(self, call: Call) -> list[str]:
        headers = ["Expect:"]
        if self.key is not None:
            headers.append(f"Authorization: Bearer {self.key}")
        if call.body is not None:
            headers.append("Content-Type: application/json")
        headers.extend(f"{name}: {value}" for name, value in call.headers.items())
        return headers


class _BoundedBody(BytesIO):
    """The body of an answer. libcurl ends a transfer whose bytes are not all accepted."""

    def write(self, data: Any) -> int:
        """Accept received bytes; return how many were accepted."""
        if self.tell() + len(data) > MAX_BODY_BYTES:
            return 0
        return super().write(data)


def _set_body(handle: pycurl.Curl, call: Call) -> None:
    if call.upload is not None:
        form = pycurl.CurlMime(handle)
        form.add(name="purpose", data="batch")
        form.add(name="file", file=os.fspath(call.upload), filename=call.upload.name)
        handle.setopt(pycurl.MIMEPOST, form)
        return
    if call.body is not None:
        handle.setopt(pycurl.POSTFIELDS, json.dumps(call.body).encode("utf-8"))


def _set_limits(handle: pycurl.Curl, call: Call, progress: Progress | None) -> None:
    if progress is None:
        handle.setopt(pycurl.TIMEOUT_MS, int(CALL_TIMEOUT_MS))
        return
    handle.setopt(pycurl.LOW_SPEED_LIMIT, 1)
    handle.setopt(pycurl.LOW_SPEED_TIME, STALL_TIMEOUT_S)
    handle.setopt(pycurl.NOPROGRESS, 0)
    handle.setopt(pycurl.XFERINFOFUNCTION, _progress_callback(progress, upload=bool(call.upload)))


def _progress_callback(progress: Progress, *, upload: bool) -> Callable[[int, int, int, int], int]:
    def report(down_all: int, down: int, up_all: int, up: int) -> int:
        if upload:
            progress(up, up_all)
        else:
            progress(down, down_all)
        return 0

    return report


def _parse_reply(reply: _Reply) -> Result[Json, ClientFailure]:
    if not HTTPStatus.OK <= reply.status < HTTPStatus.MULTIPLE_CHOICES:
        return Failure(_failure_from_reply(reply))
    try:
        return Success(json.loads(reply.body))
    except ValueError:
        return Failure(_failure_from_reply(reply))


def _failure_from_reply(reply: _Reply) -> ClientFailure:
    error = _error_object(reply.body)
    details = {name: value for name, value in error.items() if name not in _COMMON_ERROR_FIELDS}
    refused = HTTPStatus.BAD_REQUEST <= reply.status < HTTPStatus.INTERNAL_SERVER_ERROR
    return ClientFailure(
        status=reply.status,
        code=str(error.get("code", f"status_{reply.status}")),
        message=str(error.get("message", f"the entry answered with status {reply.status}")),
        outcome=str(error.get("outcome", "not_run" if refused else "unknown")),
        details=details,
    )


def _error_object(body: bytes) -> Mapping[str, Json]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    error = value.get("error") if isinstance(value, dict) else None
    return error if isinstance(error, dict) else {}


def _no_answer_failure(
    transport_failures: Sequence[tuple[str, _TransportFailure]],
) -> ClientFailure:
    sent = any(each.sent for _, each in transport_failures)
    tried = "; ".join(f"{entry}: {each.detail}" for entry, each in transport_failures)
    return ClientFailure(
        status=0,
        code="answer_lost" if sent else "unreachable",
        message=f"no entry answered ({tried})",
        outcome="unknown" if sent else "not_run",
    )


_COMMON_ERROR_FIELDS = frozenset({"type", "code", "message", "outcome", "retry_after_ms"})
