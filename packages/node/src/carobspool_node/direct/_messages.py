"""Requests and answers as the forwarding code sees them, and the header names of a deployment."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from carobspool_core import Millis

Headers = list[tuple[bytes, bytes]]
AUTHORIZATION = b"authorization"

_ONE_CONNECTION_ONLY = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class HeaderNames(Struct, frozen=True, kw_only=True):
    """Names, in lower case, of the headers that entries read or set.

    Attributes:
        request_id: The caller's id of one attempt; upstreams echo it.
        deadline: Milliseconds that are left for a request.
        expect_instance: Instance that a request is meant for.
        not_run: In an answer: the upstream did not run the request.
        signature: In an answer: the upstream made it.
        last_event: Id of the last event that was received of a stream.
        wait: Milliseconds that a read may be kept waiting.
        organisation: Name of the caller's organisation; set for upstreams.
    """

    request_id: bytes = b"request-id"
    deadline: bytes = b"carobspool-timeout-ms"
    expect_instance: bytes = b"carobspool-instance"
    not_run: bytes = b"carobspool-not-run"
    signature: bytes = b"carobspool-signature"
    last_event: bytes = b"last-event-id"
    wait: bytes = b"carobspool-wait-ms"
    organisation: bytes = b"carobspool-organisation"


class CallerRequest(Struct, frozen=True, kw_only=True):
    """One request of a caller, read whole."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived: Millis
    request_id: str
    host: str
    path: str
    query: str

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, ``None`` when it is not there."""
        return find_header(self.headers, name)

    def header_values(self, name: bytes) -> list[bytes]:
        """Return the values of all headers of a name given in lower case."""
        return [value for key, value in self.headers if key.lower() == name]

    def time_limit(self, name: bytes, limit: Millis) -> Millis:
        """Return how long the caller waits.

        Args:
            name: Header in which it says so.
            limit: Longest time in any case.
        """
        value = self.header(name)
        if value is None or not value.isdigit():
            return limit
        return min(limit, float(value))


class UpstreamHead(Struct, frozen=True, kw_only=True):
    """Status and headers of an upstream's answer."""

    status: int
    headers: Headers
    reason: bytes = b""

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, ``None`` when it is not there."""
        return find_header(self.headers, name)

    @property
    def succeeded(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of a header whose name is given in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def with_organisation(headers: Headers, names: HeaderNames, organisation: str | None) -> Headers:
    """Return headers as an upstream sees them: who calls, and no key.

    Args:
        headers: As the caller sent them.
        names: Header names of the deployment.
        organisation: The caller's; empty when it has none, ``None`` when none are declared.
    """
    if organisation is None:
        return headers
    hidden = (AUTHORIZATION, names.organisation)
    found = [(key, value) for key, value in headers if key.lower() not in hidden]
    if organisation:
        found.append((names.organisation, organisation.encode()))
    return found


def end_to_end(headers: Iterable[tuple[bytes, bytes]], *, without: Iterable[bytes] = ()) -> Headers:
    """Return the headers that are passed on: all but those that concern one connection."""
    headers = list(headers)
    named = find_header(headers, b"connection") or b""
    dropped = {each.strip().lower() for each in named.split(b",")}
    dropped |= _ONE_CONNECTION_ONLY
    dropped |= set(without)
    return [(key, value) for key, value in headers if key.lower() not in dropped]
