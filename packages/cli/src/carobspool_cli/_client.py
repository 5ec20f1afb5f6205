"""HTTP client of the entries: goes on to the next one when an entry is down."""

from __future__ import annotations

import json
import os
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from http import HTTPStatus
from io import BytesIO
from pathlib import Path
from typing import BinaryIO

import pycurl
from returns.result import Failure, Result, Success

from carobspool_cli.errors import ClientFailure
from carobspool_core import Json, Millis

CONNECT_TIMEOUT: Millis = 2_000.0
CALL_TIMEOUT: Millis = 30_000.0
STALL_SECONDS = 120
"""A transfer that moves nothing for this long is broken off."""

_NEVER_SENT = (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)

Progress = Callable[[int, int], None]
"""Takes the bytes moved and the bytes in all, 0 while unknown."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One call. Every call of this client may be repeated without harm.

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
class _Broken:
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
        """Make a call at the first entry that answers it.

        An entry that is down, or says that it cannot serve now, is passed over. Repeating is
        harmless: an apply carries its base, a batch its idempotency key, and the other calls set a
        state.
        """
        last: _Reply | None = None
        broken: list[tuple[str, _Broken]] = []
        for entry in self.entries:
            received = BytesIO()
            reply = self._exchange(entry, call, received, progress)
            if isinstance(reply, _Broken):
                broken.append((entry, reply))
                continue
            last = _Reply(status=reply.status, body=received.getvalue())
            if last.status != HTTPStatus.SERVICE_UNAVAILABLE:
                return _answer(last)
        if last is not None:
            return _answer(last)
        return Failure(_unanswered(broken))

    def download(
        self, path: str, target: Path, progress: Progress | None = None
    ) -> Result[int, ClientFailure]:
        """Read a path into a file, which appears only when it is whole.

        Returns:
            Its size in bytes.
        """
        part = target.with_name(f"{target.name}.part")
        call = Call(method="GET", path=path)
        last: _Reply | None = None
        broken: list[tuple[str, _Broken]] = []
        for entry in self.entries:
            with part.open("wb") as stream:
                reply = self._exchange(entry, call, stream, progress)
            if isinstance(reply, _Broken):
                broken.append((entry, reply))
                continue
            if reply.status == HTTPStatus.OK:
                part.replace(target)
                return Success(target.stat().st_size)
            last = _Reply(status=reply.status, body=part.read_bytes())
            if last.status != HTTPStatus.SERVICE_UNAVAILABLE:
                break
        part.unlink(missing_ok=True)
        return Failure(_refusal(last) if last is not None else _unanswered(broken))

    def _exchange(
        self, entry: str, call: Call, target: BinaryIO, progress: Progress | None
    ) -> _Reply | _Broken:
        handle = pycurl.Curl()
        handle.setopt(pycurl.URL, entry.rstrip("/") + call.path)
        handle.setopt(pycurl.CUSTOMREQUEST, call.method)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT))
        handle.setopt(pycurl.WRITEFUNCTION, target.write)
        handle.setopt(pycurl.HTTPHEADER, self._headers(call))
        _set_body(handle, call)
        _set_limits(handle, call, progress)
        try:
            handle.perform()
            return _Reply(status=handle.getinfo(pycurl.RESPONSE_CODE), body=b"")
        except pycurl.error as error:
            code = error.args[0]
            return _Broken(sent=code not in _NEVER_SENT, detail=str(error.args[-1]))
        finally:
            handle.close()

    def _headers(self, call: Call) -> list[str]:
        headers = ["Expect:"]
        if self.key is not None:
            headers.append(f"Authorization: Bearer {self.key}")
        if call.body is not None:
            headers.append("Content-Type: application/json")
        headers.extend(f"{name}: {value}" for name, value in call.headers.items())
        return headers


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
        handle.setopt(pycurl.TIMEOUT_MS, int(CALL_TIMEOUT))
        return
    handle.setopt(pycurl.LOW_SPEED_LIMIT, 1)
    handle.setopt(pycurl.LOW_SPEED_TIME, STALL_SECONDS)
    handle.setopt(pycurl.NOPROGRESS, 0)
    handle.setopt(pycurl.XFERINFOFUNCTION, _progress_reader(progress, upload=bool(call.upload)))


def _progress_reader(progress: Progress, *, upload: bool) -> Callable[[int, int, int, int], int]:
    def read(down_all: int, down: int, up_all: int, up: int) -> int:
        if upload:
            progress(up, up_all)
        else:
            progress(down, down_all)
        return 0

    return read


def _answer(reply: _Reply) -> Result[Json, ClientFailure]:
    if not HTTPStatus.OK <= reply.status < HTTPStatus.MULTIPLE_CHOICES:
        return Failure(_refusal(reply))
    try:
        return Success(json.loads(reply.body))
    except ValueError:
        return Failure(_refusal(reply))


def _refusal(reply: _Reply) -> ClientFailure:
    error = _error_in(reply.body)
    details = {name: value for name, value in error.items() if name not in _COMMON}
    refused = HTTPStatus.BAD_REQUEST <= reply.status < HTTPStatus.INTERNAL_SERVER_ERROR
    return ClientFailure(
        status=reply.status,
        code=str(error.get("code", f"status_{reply.status}")),
        message=str(error.get("message", f"the entry answered with status {reply.status}")),
        outcome=str(error.get("outcome", "not_run" if refused else "unknown")),
        details=details,
    )


def _error_in(body: bytes) -> Mapping[str, Json]:
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    error = value.get("error") if isinstance(value, dict) else None
    return error if isinstance(error, dict) else {}


def _unanswered(broken: Sequence[tuple[str, _Broken]]) -> ClientFailure:
    sent = any(each.sent for _, each in broken)
    tried = "; ".join(f"{entry}: {each.detail}" for entry, each in broken)
    return ClientFailure(
        status=0,
        code="answer_lost" if sent else "unreachable",
        message=f"no entry answered ({tried})",
        outcome="unknown" if sent else "not_run",
    )


_COMMON = frozenset({"type", "code", "message", "outcome", "retry_after_ms"})
