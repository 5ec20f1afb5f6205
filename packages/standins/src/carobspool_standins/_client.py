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


class IncompleteResponseError(StandinError):
    """A call that got no complete response: refused, reset, truncated or timed out."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def json(self) -> Any:
        """Body parsed as JSON."""
        return json.loads(self.body)

    @property
    def text(self) -> str:
        """Body decoded as UTF-8."""
        return self.body.decode("utf-8")


class HttpClient:
    """Client of one server that opens a new connection for each call; not thread-safe.

    Args:
        base: Base URL, without a path.
        key: Bearer key to send.
        timeout_ms: Time limit of each call.
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
        """Base URL, without a path."""
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
        """Make one call and return the response.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Body to send.
            json_body: Value to send as a JSON body.
            headers: Further headers.
            on_data: Called with each chunk of the body as it arrives; the reply's body then stays
                empty. Any return value but ``None`` aborts the call.

        Raises:
            IncompleteResponseError: If the call got no complete response.
        """
        request_headers = dict(headers or {})
        if json_body is not None:
            body = json.dumps(json_body)
            request_headers.setdefault("Content-Type", "application/json")
        if self._key is not None:
            request_headers.setdefault("Authorization", f"Bearer {self._key}")
        curl = self._curl
        curl.reset()
        received = io.BytesIO()
        reply_headers: dict[str, str] = {}
        curl.setopt(pycurl.URL, self._base + path)
        curl.setopt(pycurl.CUSTOMREQUEST, method)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        # If a reused connection breaks before the response, libcurl silently resends the request.
        # The call would then run twice and the broken connection be reported as a success.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.TIMEOUT_MS, self._timeout_ms)
        if method == "HEAD":
            curl.setopt(pycurl.NOBODY, 1)
        if body is not None:
            curl.setopt(pycurl.POSTFIELDS, body)
        curl.setopt(
            pycurl.HTTPHEADER, ["Expect:", *(f"{k}: {v}" for k, v in request_headers.items())]
        )
        curl.setopt(pycurl.HEADERFUNCTION, lambda line: _store_header(line, reply_headers))
        curl.setopt(pycurl.WRITEFUNCTION, on_data or received.write)
        try:
            curl.perform()
        except pycurl.error as error:
            raise IncompleteResponseError(f"{method} {path}: {error.args[-1]}") from error
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        return Reply(status=status, headers=reply_headers, body=received.getvalue())

    def close(self) -> None:
        """Release the libcurl handle."""
        self._curl.close()


def _store_header(line: bytes, headers: dict[str, str]) -> None:
    name, separator, value = line.decode("latin-1").partition(":")
    if separator:
        headers[name.strip().lower()] = value.strip()
