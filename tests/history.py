"""Histories of concurrent test runs: calls with their answers, and one checker for each promise.

A checker compares the history with the records of the stand-ins, and returns descriptions of the
violations that it finds.
"""

from __future__ import annotations

import hashlib
import json
import threading
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from harness import Site, chat_body, ended_clean, stream_text

from carobspool_standins._client import HttpClient, IncompleteResponseError

NO_ANSWER = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One request as its caller saw it.

    Attributes:
        digest: SHA-256 (hex) of the request body, which identifies it in the engines' records.
        entry: Name of the entry that received the request.
        status: HTTP status, 0 when the connection broke.
        outcome: Response header that says whether the request ran; empty without a response.
        code: Error code of a failure; empty otherwise.
        body: Response body.
        is_complete: Whether the response was successful and complete.
        sent_at: When the request was sent, in seconds on the monotonic clock.
        first_data_after_s: Seconds from sending to the first bytes of the response, or ``None``.
        duration_s: Seconds from sending to the end of the response.
        retry_after: Response header ``Retry-After``; empty when absent.
        idempotency_key: Idempotency key of the request; empty when absent.
    """

    digest: str
    entry: str
    status: int
    outcome: str
    code: str
    body: bytes
    is_complete: bool
    sent_at: float
    first_data_after_s: float | None
    duration_s: float
    retry_after: str = ""
    idempotency_key: str = ""

    @property
    def text(self) -> str:
        """The generated text, from a stream or a single JSON body."""
        if self.body.startswith(b"data:"):
            return stream_text(self.body)
        return str(json.loads(self.body)["choices"][0]["message"]["content"])


@dataclass(slots=True)
class History:
    """Calls in the order in which they ended; thread-safe."""

    calls: list[Call] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def chat(
        self,
        site: Site,
        text: str,
        *,
        entry: str = "entry-1",
        stream: bool = False,
        tokens: int = 20,
        headers: Mapping[str, str] | None = None,
        timeout_ms: int = 60_000,
    ) -> Call:
        """Send a chat completion, and record and return the call."""
        body = json.dumps(chat_body(text, stream=stream, tokens=tokens)).encode()
        client = site.caller(entry, timeout_ms=timeout_ms)
        return self.send(
            client,
            "POST",
            "/v1/chat/completions",
            body,
            entry=entry,
            stream=stream,
            headers=headers,
        )

    def send(
        self,
        client: HttpClient,
        method: str,
        path: str,
        body: bytes,
        *,
        entry: str,
        stream: bool = False,
        headers: Mapping[str, str] | None = None,
    ) -> Call:
        """Send a request, and record and return the call."""
        sent_at = time.monotonic()
        first: list[float] = []
        chunks: list[bytes] = []

        def on_data(data: bytes) -> None:
            if not first:
                first.append(time.monotonic() - sent_at)
            chunks.append(data)

        status = NO_ANSWER
        response_headers: Mapping[str, str] = {}
        try:
            reply = client.call(method, path, body=body, headers=headers, on_data=on_data)
            status = reply.status
            response_headers = reply.headers
            is_complete = True
        except IncompleteResponseError:
            is_complete = False
        content = b"".join(chunks)
        call = Call(
            digest=hashlib.sha256(body).hexdigest(),
            entry=entry,
            status=status,
            outcome=response_headers.get("carobspool-outcome", ""),
            code=_error_code(status, content),
            body=content,
            is_complete=is_complete and status == 200 and (not stream or ended_clean(content)),
            sent_at=sent_at,
            first_data_after_s=first[0] if first else None,
            duration_s=time.monotonic() - sent_at,
            retry_after=response_headers.get("retry-after", ""),
            idempotency_key=(headers or {}).get("Idempotency-Key", ""),
        )
        with self._lock:
            self.calls.append(call)
        return call


def false_not_run_answers(calls: Iterable[Call], runs: Iterable[Mapping[str, Any]]) -> list[str]:
    """Return the requests that ran although every call of them was answered "not run".

    A request may be sent several times. If any call of it was answered otherwise, that call may
    account for all its runs; another checker limits the number of runs.
    """
    may_have_run: Counter[str] = Counter()
    for call in calls:
        may_have_run[call.digest] += call.outcome != "not_run"
    ran = Counter(run["digest"] for run in runs if run["digest"] in may_have_run)
    return [
        f"{digest[:8]} ran {count} times although every call was answered not_run"
        for digest, count in ran.items()
        if may_have_run[digest] == 0
    ]


def failures_without_outcome(calls: Iterable[Call]) -> list[str]:
    """Return the failures without an outcome, and the refusals without ``Retry-After``."""
    found = []
    for call in calls:
        if call.status in (NO_ANSWER, 200):
            continue
        if call.outcome not in ("ran", "not_run", "unknown"):
            found.append(f"{call.digest[:8]}: status {call.status} without an outcome")
        if call.status in (429, 503) and not call.retry_after:
            found.append(f"{call.digest[:8]}: {call.code} without Retry-After")
    return found


def requests_run_more_than_once(
    runs: Iterable[Mapping[str, Any]], digests: Iterable[str]
) -> list[str]:
    """Return the requests among ``digests`` that upstreams ran more than once."""
    wanted = set(digests)
    counts = Counter(run["digest"] for run in runs if run["digest"] in wanted)
    return [f"{digest[:8]} ran {count} times" for digest, count in counts.items() if count > 1]


def wrong_answers(calls: Iterable[Call], expected: Mapping[str, str]) -> list[str]:
    """Return the complete answers whose text is not the expected one of their request.

    Args:
        calls: The history.
        expected: The correct text by digest.
    """
    found = []
    for call in calls:
        if not call.is_complete:
            continue
        if call.text != expected[call.digest]:
            found.append(f"{call.digest[:8]} ended cleanly with a wrong text")
    return found


def items_without_one_result(
    items: Iterable[Mapping[str, Any]], results: Iterable[Mapping[str, Any]]
) -> list[str]:
    """Return the items that do not have exactly one result."""
    counts = Counter(result["custom_id"] for result in results)
    wanted = [item["custom_id"] for item in items]
    found = [f"{name} has {counts[name]} results" for name in wanted if counts[name] != 1]
    found.extend(f"{name} was never submitted" for name in counts if name not in set(wanted))
    return found


def _error_code(status: int, content: bytes) -> str:
    if status in (NO_ANSWER, 200):
        return ""
    try:
        return str(json.loads(content)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return "unreadable"
