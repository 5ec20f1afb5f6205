"""Requests, answers and header names used by the forwarding code."""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from carobspool_core import Millis

Headers = list[tuple[bytes, bytes]]
AUTHORIZATION = b"authorization"

_HOP_BY_HOP_HEADERS = frozenset(
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
    """Names of the headers that entries read or set, in lower case.

    Attributes:
        request_id: The caller's id of one attempt; upstreams echo it.
        deadline: Milliseconds left for a request.
        expect_instance: Id of the upstream that the request is meant for.
        not_run: In an answer: shows that the upstream did not run the request.
        signature: In an answer: shows that an upstream produced it.
        last_event: Id of the last event received from a stream.
        resumes: In a request that takes a stream up: request id of the caller's attempt that
            brought the stream's first event.
        wait: Milliseconds for which a read may wait for results.
        organisation: Name of the caller's organisation; set in requests to upstreams.
        model: Name of the model that a request needs.
        token_count: ``PROMPT,MAX_OUTPUT``: tokens of the prompt, and most tokens of the output.
        prompt_parts: ``ID:TOKENS,…``: parts of the prompt, the last one not shared.
        run_backup: ``IP:PORT`` of the engine that receives a copy of the run's memory.
        run_from: ``IP:PORT/ID``: the engine and request id, or handle, of the run to continue.
    """

    request_id: bytes = b"request-id"
    deadline: bytes = b"carobspool-timeout-ms"
    expect_instance: bytes = b"carobspool-instance"
    not_run: bytes = b"carobspool-not-run"
    signature: bytes = b"carobspool-signature"
    last_event: bytes = b"last-event-id"
    resumes: bytes = b"carobspool-resumes"
    wait: bytes = b"carobspool-wait-ms"
    organisation: bytes = b"carobspool-organisation"
    model: bytes = b"carobspool-model"
    token_count: bytes = b"carobspool-tokens"
    prompt_parts: bytes = b"carobspool-prompt-parts"
    run_backup: bytes = b"carobspool-run-backup"
    run_from: bytes = b"carobspool-run-from"


class CallerRequest(Struct, frozen=True, kw_only=True):
    """A caller's request, including its whole body."""

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
        """Return the first value of a header, ``None`` if the header is absent."""
        return find_header(self.headers, name)

    def header_values(self, name: bytes) -> list[bytes]:
        """Return the values of all headers called ``name``, which is in lower case."""
        return [value for key, value in self.headers if key.lower() == name]

    def time_limit(self, name: bytes, limit: Millis) -> Millis:
        """Return how long the caller waits for its answer.

        Args:
            name: Header that contains the caller's limit.
            limit: Upper limit, and the result if the header is absent or invalid.
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
        """Return the first value of a header, ``None`` if the header is absent."""
        return find_header(self.headers, name)

    @property
    def succeeded(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """Return the first value of the header ``name``, which is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def replace_credentials(headers: Headers, names: HeaderNames, organisation: str | None) -> Headers:
    """Return headers with the caller's API key replaced by its organisation's name.

    Args:
        headers: Headers as the caller sent them.
        names: Header names of the deployment.
        organisation: Name of the caller's organisation; empty if the caller has none, ``None`` if
            no organisations are declared, in which case the headers are returned unchanged.
            Otherwise an organisation header that the caller sent is removed.
    """
    if organisation is None:
        return headers
    removed = (AUTHORIZATION, names.organisation)
    found = [(key, value) for key, value in headers if key.lower() not in removed]
    if organisation:
        found.append((names.organisation, organisation.encode()))
    return found


def end_to_end_headers(
    headers: Iterable[tuple[bytes, bytes]], *, without: Iterable[bytes] = ()
) -> Headers:
    """Return the headers to forward: all but hop-by-hop headers and those in ``without``."""
    headers = list(headers)
    connection_options = find_header(headers, b"connection") or b""
    dropped = {each.strip().lower() for each in connection_options.split(b",")}
    dropped |= _HOP_BY_HOP_HEADERS
    dropped |= set(without)
    return [(key, value) for key, value in headers if key.lower() not in dropped]
