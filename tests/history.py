"""Histories of concurrent runs: what callers sent and were told, and one checker per promise.

A checker takes the history and what the stand-ins recorded themselves, and returns the violations
that it finds, in words.
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

from carobspool_standins._client import HttpClient, NoAnswer

NO_ANSWER = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One request as its caller saw it.

    Attributes:
        digest: SHA-256 (hex) of the body, by which the engines' records name it.
        entry: Entry that was asked.
        status: HTTP status, 0 when the connection broke.
        outcome: The header that tells whether it ran; empty when there was no answer.
        code: Code of the failure; empty after an answer.
        body: Body of the answer.
        clean: Whether the body ended as a whole answer does.
        began: Seconds on the monotonic clock when it was sent.
        first: Seconds from sending to the first bytes of the answer, or ``None``.
        took: Seconds until its end.
        retry_after: Header ``Retry-After``; empty when there was none.
        key: Idempotency key, if any.
    """

    digest: str
    entry: str
    status: int
    outcome: str
    code: str
    body: bytes
    clean: bool
    began: float
    first: float | None
    took: float
    retry_after: str = ""
    key: str = ""

    @property
    def text(self) -> str:
        """The answer's text, of a stream or of a whole body."""
        if self.body.startswith(b"data:"):
            return stream_text(self.body)
        return str(json.loads(self.body)["choices"][0]["message"]["content"])


@dataclass(slots=True)
class History:
    """Calls in the order of their ends; safe for several threads."""

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
        """Send a chat completion and record what came of it."""
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
        """Send any request and record what came of it."""
        began = time.monotonic()
        first: list[float] = []
        pieces: list[bytes] = []

        def on_data(data: bytes) -> None:
            if not first:
                first.append(time.monotonic() - began)
            pieces.append(data)

        status = NO_ANSWER
        answered: Mapping[str, str] = {}
        try:
            reply = client.call(method, path, body=body, headers=headers, on_data=on_data)
            status = reply.status
            answered = reply.headers
            whole = True
        except NoAnswer:
            whole = False
        content = b"".join(pieces)
        call = Call(
            digest=hashlib.sha256(body).hexdigest(),
            entry=entry,
            status=status,
            outcome=answered.get("carobspool-outcome", ""),
            code=_code(status, content),
            body=content,
            clean=whole and status == 200 and (not stream or ended_clean(content)),
            began=began,
            first=first[0] if first else None,
            took=time.monotonic() - began,
            retry_after=answered.get("retry-after", ""),
            key=(headers or {}).get("Idempotency-Key", ""),
        )
        with self._lock:
            self.calls.append(call)
        return call


def untrue_not_run(calls: Iterable[Call], runs: Iterable[Mapping[str, Any]]) -> list[str]:
    """Return the requests that ran although each call of them was told "not run".

    A request may be sent several times; one call that was not told so may stand for the runs, and
    how many those may be is another promise.
    """
    may_have_run: Counter[str] = Counter()
    for call in calls:
        may_have_run[call.digest] += call.outcome != "not_run"
    ran = Counter(run["digest"] for run in runs if run["digest"] in may_have_run)
    return [
        f"{digest[:8]} ran {count} times and was always told not_run"
        for digest, count in ran.items()
        if may_have_run[digest] == 0
    ]


def untyped(calls: Iterable[Call]) -> list[str]:
    """Return the failures without type: no outcome, or a refusal without when to come back."""
    found = []
    for call in calls:
        if call.status in (NO_ANSWER, 200):
            continue
        if call.outcome not in ("ran", "not_run", "unknown"):
            found.append(f"{call.digest[:8]}: status {call.status} without an outcome")
        if call.status in (429, 503) and not call.retry_after:
            found.append(f"{call.digest[:8]}: {call.code} without Retry-After")
    return found


def run_twice(runs: Iterable[Mapping[str, Any]], digests: Iterable[str]) -> list[str]:
    """Return the requests among ``digests`` that upstreams ran more than once."""
    wanted = set(digests)
    counts = Counter(run["digest"] for run in runs if run["digest"] in wanted)
    return [f"{digest[:8]} ran {count} times" for digest, count in counts.items() if count > 1]


def wrong_answers(calls: Iterable[Call], expected: Mapping[str, str]) -> list[str]:
    """Return the answers that ended clean and are not their own request's whole answer.

    Args:
        calls: The history.
        expected: The right text by digest.
    """
    found = []
    for call in calls:
        if not call.clean:
            continue
        if call.text != expected[call.digest]:
            found.append(f"{call.digest[:8]} ended clean with another text")
    return found


def not_exactly_once(
    items: Iterable[Mapping[str, Any]], results: Iterable[Mapping[str, Any]]
) -> list[str]:
    """Return the items that do not have exactly one result."""
    counts = Counter(result["custom_id"] for result in results)
    wanted = [item["custom_id"] for item in items]
    found = [f"{name} has {counts[name]} results" for name in wanted if counts[name] != 1]
    found.extend(f"{name} was never submitted" for name in counts if name not in set(wanted))
    return found


def _code(status: int, content: bytes) -> str:
    if status in (NO_ANSWER, 200):
        return ""
    try:
        return str(json.loads(content)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return "unreadable"
