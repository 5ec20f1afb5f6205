"""Open-loop load generator: one thread runs many transfers with pycurl's multi interface."""

from __future__ import annotations

import json
import time
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any

import pycurl

from carobspool_standins._load_result import CallerTokens, LoadResult, Measure, new_histogram
from carobspool_standins._workload import Kind, PlannedRequest

TOKEN_MARKER = b'"content":"'
STREAM_END = b"data: [DONE]\n\n"
HTTP_OK = 200
MAX_WAIT_S = 0.02
MIN_WAIT_S = 0.0002
MICROSECONDS_PER_SECOND = 1_000_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """Requests that one load generator process sends.

    Attributes:
        requests: Requests in order of arrival.
        targets: Base URLs, used in rotation.
        keys: Bearer keys by the index of the caller.
        start_at: Start of the load on the monotonic clock, the same for all processes.
        count_from_s: Length of the warm-up in seconds; requests planned from then on are counted.
        settle_s: Longest wait for requests in progress after the last arrival.
        timeout_ms: Timeout of a request.
    """

    requests: Sequence[PlannedRequest]
    targets: Sequence[str]
    keys: Sequence[str]
    start_at: float
    count_from_s: float
    settle_s: float
    timeout_ms: int


@dataclass(slots=True, kw_only=True)
class _Transfer:
    """A request in progress.

    Attributes:
        planned: The request.
        counted: Whether the request is planned for after the warm-up.
        planned_at: Planned send time, from which durations are measured.
        last_token_at: Arrival of the latest token.
        tokens: Number of tokens received.
        body_tail: Last bytes of the response body, as many as `STREAM_END` has.
        retry_after: Whether the response has a Retry-After header.
        body: Chunks of the response body; for chats, only those without tokens.
    """

    planned: PlannedRequest
    counted: bool
    planned_at: float
    last_token_at: float = 0.0
    tokens: int = 0
    body_tail: bytes = b""
    retry_after: bool = False
    body: list[bytes] = field(default_factory=list)


class _Recorder:
    """Records histograms and counts of the requests after the warm-up."""

    def __init__(self) -> None:
        self._histograms = {measure: new_histogram() for measure in Measure}
        self.result = LoadResult()

    def record(self, measure: Measure, seconds: float, *, zero_gaps: int = 0) -> None:
        """Record a duration and ``zero_gaps`` further durations of zero.

        The histogram starts at 1 µs, so that zero is recorded as 1 µs.
        """
        self._histograms[measure].record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))
        if zero_gaps:
            self._histograms[measure].record_value(1, zero_gaps)

    def finish(self) -> LoadResult:
        """Return the result with the encoded histograms."""
        self.result.histograms = {
            measure: histogram.encode() for measure, histogram in self._histograms.items()
        }
        return self.result


class _Generator:
    """Sends the requests of a plan at their planned times and measures the responses."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._multi = pycurl.CurlMulti()
        self._recorder = _Recorder()
        self._active: dict[pycurl.Curl, _Transfer] = {}
        self._idle: list[pycurl.Curl] = []

    def run(self) -> LoadResult:
        """Send everything and return the measurements."""
        waiting = deque(enumerate(self._plan.requests))
        last = self._plan.requests[-1].at if self._plan.requests else 0.0
        end = self._plan.start_at + last + self._plan.settle_s
        while waiting or self._active:
            now = time.monotonic()
            while waiting and self._planned_time(waiting[0][1]) <= now:
                number, planned = waiting.popleft()
                self._send(number, planned)
            self._multi.perform()
            self._handle_finished()
            if not waiting and time.monotonic() > end:
                break
            self._wait(self._planned_time(waiting[0][1]) if waiting else end)
        for transfer in self._active.values():
            self._record_ending(transfer, "unfinished")
        return self._recorder.finish()

    def _planned_time(self, planned: PlannedRequest) -> float:
        return self._plan.start_at + planned.at

    def _wait(self, until: float) -> None:
        seconds = min(until - time.monotonic(), MAX_WAIT_S)
        if seconds <= 0:
            return
        # Without an open connection `select` returns at once, and the loop would spin.
        if self._multi.select(seconds) == -1:
            time.sleep(min(seconds, MAX_WAIT_S) if not self._active else MIN_WAIT_S)

    def _send(self, number: int, planned: PlannedRequest) -> None:
        now = time.monotonic()
        counted = planned.at >= self._plan.count_from_s
        transfer = _Transfer(
            planned=planned, counted=counted, planned_at=self._planned_time(planned)
        )
        if counted:
            self._recorder.record(Measure.LATENESS, now - self._planned_time(planned))
            self._recorder.result.sent += 1
        curl = self._idle.pop() if self._idle else pycurl.Curl()
        curl.reset()
        target = self._plan.targets[number % len(self._plan.targets)]
        curl.setopt(pycurl.URL, target + planned.path)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        # libcurl silently resends the request if a reused connection breaks.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
        curl.setopt(pycurl.TIMEOUT_MS, self._plan.timeout_ms)
        headers = [
            "Expect:",
            f"Authorization: Bearer {self._plan.keys[planned.caller]}",
            f"carobspool-timeout-ms: {self._plan.timeout_ms}",
        ]
        if planned.body:
            headers.append("Content-Type: application/json")
            curl.setopt(pycurl.POSTFIELDS, planned.body)
        curl.setopt(pycurl.HTTPHEADER, headers)
        curl.setopt(pycurl.WRITEFUNCTION, lambda data: self._receive(transfer, data))
        curl.setopt(pycurl.HEADERFUNCTION, lambda line: _detect_retry_after(transfer, line))
        self._active[curl] = transfer
        self._multi.add_handle(curl)

    def _receive(self, transfer: _Transfer, data: bytes) -> None:
        transfer.body_tail = (transfer.body_tail + data)[-len(STREAM_END) :]
        count = data.count(TOKEN_MARKER)
        if transfer.planned.kind is not Kind.CHAT or not count:
            transfer.body.append(data)
            return
        now = time.monotonic()
        if transfer.counted and transfer.tokens == 0:
            self._recorder.record(Measure.FIRST_TOKEN, now - transfer.planned_at)
            if count > 1:
                self._recorder.record(Measure.BETWEEN_TOKENS, 0.0, zero_gaps=count - 2)
        elif transfer.counted:
            gap = now - transfer.last_token_at
            self._recorder.record(Measure.BETWEEN_TOKENS, gap, zero_gaps=count - 1)
        transfer.tokens += count
        transfer.last_token_at = now

    def _handle_finished(self) -> None:
        more = 1
        while more:
            more, completed, failed = self._multi.info_read()
            for curl in completed:
                transfer = self._remove(curl)
                status = curl.getinfo(pycurl.RESPONSE_CODE)
                self._record_ending(transfer, _classify_ending(transfer, status))
                self._idle.append(curl)
            for curl, code, _message in failed:
                transfer = self._remove(curl)
                timed_out = code == pycurl.E_OPERATION_TIMEDOUT
                self._record_ending(transfer, "timeout" if timed_out else "broken")
                self._idle.append(curl)

    def _remove(self, curl: pycurl.Curl) -> _Transfer:
        self._multi.remove_handle(curl)
        return self._active.pop(curl)

    def _record_ending(self, transfer: _Transfer, ending: str) -> None:
        if not transfer.counted:
            return
        result = self._recorder.result
        result.endings[f"{transfer.planned.kind} {ending}"] += 1
        duration_s = time.monotonic() - transfer.planned_at
        if ending not in ("whole", "broken", "timeout", "unfinished"):
            self._recorder.record(Measure.REFUSAL, duration_s)
            result.refusals_with_retry_after += transfer.retry_after
        if transfer.planned.kind is Kind.SERVICE:
            if ending == "whole":
                self._recorder.record(Measure.SERVICE_CALL, duration_s)
            return
        tokens = result.callers.setdefault(transfer.planned.caller, CallerTokens())
        tokens.requested += transfer.planned.answer_tokens
        if ending == "whole":
            tokens.delivered += transfer.planned.answer_tokens
            self._recorder.record(Measure.WHOLE_ANSWER, duration_s)


def run_load(plan: LoadPlan) -> LoadResult:
    """Send the requests of a plan and return what was measured."""
    return _Generator(plan).run()


def _classify_ending(transfer: _Transfer, status: int) -> str:
    if status != HTTP_OK:
        return f"{status} {_error_code(b''.join(transfer.body))}"
    if transfer.planned.kind is Kind.SERVICE:
        return "whole"
    whole = transfer.body_tail == STREAM_END and transfer.tokens == transfer.planned.answer_tokens
    return "whole" if whole else "broken"


def _error_code(body: bytes) -> str:
    try:
        value: Any = json.loads(body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return "unknown"
    return str(value)


def _detect_retry_after(transfer: _Transfer, line: bytes) -> None:
    if line.lower().startswith(b"retry-after:"):
        transfer.retry_after = True
