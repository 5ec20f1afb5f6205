"""A small blocking HTTP client on pycurl for the tools and tests of this package."""

from __future__ import annotations

import io
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import pycurl

from carobspool_standins.errors import StandinError

DEFAULT_TIMEOUT_MS = 30_000


class NoAnswer(StandinError):
    """A call ended without a whole answer: refused, reset, cut short or timed out."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """An answer; header names are in lower case."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)

    @property
    def text(self) -> str:
        """The body as text."""
        return self.body.decode("utf-8")


class HttpClient:
    """Calls one server, each time over a new connection; not to be shared by threads.

    Args:
        base: URL without a path.
        key: Bearer key to send.
        timeout_ms: Limit of each call.
    """

    def __init__(
        self, base: str, *, key: str | None = None, timeout_ms: int = DEFAULT_TIMEOUT_MS
    ) -> None:
        self._base = base
        self._key = key
        self._timeout_ms = timeout_ms
        self._curl = pycurl.Curl()

    @property
    def base(self) -> str:
        """URL without a path."""
        return self._base

    def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | str | None = None,
        json_body: Any = None,
        headers: Mapping[str, str] | None = None,
        on_data: Callable[[bytes], int | None] | None = None,
    ) -> Reply:
        """Make one call.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Body to send.
            json_body: Value to send as a JSON body.
            headers: Further headers.
            on_data: Takes the body's pieces as they come, in place of the reply's body; any
                answer but ``None`` aborts the call.

        Raises:
            NoAnswer: If there was no whole answer.
        """
        sent = dict(headers or {})
        if json_body is not None:
            body = json.dumps(json_body)
            sent.setdefault("Content-Type", "application/json")
        if self._key is not None:
            sent.setdefault("Authorization", f"Bearer {self._key}")
        curl = self._curl
        curl.reset()
        received = io.BytesIO()
        reply_headers: dict[str, str] = {}
        curl.setopt(pycurl.URL, self._base + path)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        # On a kept connection that breaks before the answer, libcurl sends the request once more
        # on its own: a cut connection would then run a call twice and be reported as a success.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.TIMEOUT_MS, self._timeout_ms)
        if method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        if body is not None:
            curl.setopt(pycurl.POSTFIELDS, body)
        curl.setopt(pycurl.HTTPHEADER, ["Expect:", *(f"{k}: {v}" for k, v in sent.items())])
        curl.setopt(pycurl.HEADERFUNCTION, lambda line: _read_header(line, reply_headers))
        curl.setopt(pycurl.WRITEFUNCTION, on_data or received.write)
        try:
            curl.perform()
        except pycurl.error as error:
            raise NoAnswer(f"{method} {path}: {error.args[-1]}") from error
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        return Reply(status=status, headers=reply_headers, body=received.getvalue())

    def close(self) -> None:
        """Free what the client holds."""
        self._curl.close()


def _read_header(line: bytes, headers: dict[str, str]) -> None:
    name, mark, value = line.decode("latin-1").partition(":")
    if mark:
        headers[name.strip().lower()] = value.strip()
