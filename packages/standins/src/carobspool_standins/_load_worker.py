"""Open-loop load generator: one process, one thread, many transfers by pycurl's multi interface."""

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

TOKEN_MARK = b'"content":"'
END_MARK = b"data: [DONE]\n\n"
OK = 200
LONGEST_WAIT = 0.02
SHORTEST_WAIT = 0.0002
MICROS = 1_000_000.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """What one process sends.

    Attributes:
        requests: Its requests in order of arrival.
        targets: URLs to send to in turn.
        keys: Bearer keys by caller's number.
        start_at: Monotonic instant of the load's start, the same for all processes.
        count_from: Seconds after it from which requests are counted.
        settle_s: Longest wait after the last arrival.
        timeout_ms: Deadline of a request.
    """

    requests: Sequence[PlannedRequest]
    targets: Sequence[str]
    keys: Sequence[str]
    start_at: float
    count_from: float
    settle_s: float
    timeout_ms: int


@dataclass(slots=True, kw_only=True)
class _Transfer:
    """A request in progress."""

    planned: PlannedRequest
    counted: bool
    started: float
    last_token: float = 0.0
    tokens: int = 0
    tail: bytes = b""
    retry_after: bool = False
    body: list[bytes] = field(default_factory=list)


class _Recorder:
    """Histograms and counts of the counted requests."""

    def __init__(self) -> None:
        self._histograms = {measure: new_histogram() for measure in Measure}
        self.result = LoadResult()

    def record(self, measure: Measure, seconds: float, *, zeros: int = 0) -> None:
        """Record a duration, and ``zeros`` more of no length that came along with it."""
        self._histograms[measure].record_value(max(1, int(seconds * MICROS)))
        if zeros:
            self._histograms[measure].record_value(1, zeros)

    def finish(self) -> LoadResult:
        """Return all that was recorded."""
        self.result.histograms = {
            measure: histogram.encode() for measure, histogram in self._histograms.items()
        }
        return self.result


class _Generator:
    """Sends the requests of a plan at their instants and takes what comes back."""

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
            while waiting and self._due(waiting[0][1]) <= now:
                number, planned = waiting.popleft()
                self._send(number, planned)
            self._multi.perform()
            self._take_finished()
            if not waiting and time.monotonic() > end:
                break
            self._wait(self._due(waiting[0][1]) if waiting else end)
        for transfer in self._active.values():
            self._end(transfer, "unfinished")
        return self._recorder.finish()

    def _due(self, planned: PlannedRequest) -> float:
        return self._plan.start_at + planned.at

    def _wait(self, until: float) -> None:
        seconds = min(until - time.monotonic(), LONGEST_WAIT)
        if seconds <= 0:
            return
        # Without an open connection `select` returns at once, which would spin.
        if self._multi.select(seconds) == -1:
            time.sleep(min(seconds, LONGEST_WAIT) if not self._active else SHORTEST_WAIT)

    def _send(self, number: int, planned: PlannedRequest) -> None:
        now = time.monotonic()
        counted = planned.at >= self._plan.count_from
        transfer = _Transfer(planned=planned, counted=counted, started=self._due(planned))
        if counted:
            self._recorder.record(Measure.LATENESS, now - self._due(planned))
            self._recorder.result.sent += 1
        curl = self._idle.pop() if self._idle else pycurl.Curl()
        curl.reset()
        target = self._plan.targets[number % len(self._plan.targets)]
        curl.setopt(pycurl.URL, target + planned.path)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.TCP_NODELAY, 1)
        # A kept connection that breaks would make libcurl send the request again on its own.
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
        curl.setopt(pycurl.HEADERFUNCTION, lambda line: _read_header(transfer, line))
        self._active[curl] = transfer
        self._multi.add_handle(curl)

    def _receive(self, transfer: _Transfer, data: bytes) -> None:
        transfer.tail = (transfer.tail + data)[-len(END_MARK) :]
        count = data.count(TOKEN_MARK)
        if transfer.planned.kind is not Kind.CHAT or not count:
            transfer.body.append(data)
            return
        now = time.monotonic()
        if transfer.counted and transfer.tokens == 0:
            self._recorder.record(Measure.FIRST_TOKEN, now - transfer.started)
            if count > 1:
                self._recorder.record(Measure.BETWEEN_TOKENS, 0.0, zeros=count - 2)
        elif transfer.counted:
            gap = now - transfer.last_token
            self._recorder.record(Measure.BETWEEN_TOKENS, gap, zeros=count - 1)
        transfer.tokens += count
        transfer.last_token = now

    def _take_finished(self) -> None:
        more = 1
        while more:
            more, good, bad = self._multi.info_read()
            for curl in good:
                transfer = self._remove(curl)
                status = curl.getinfo(pycurl.RESPONSE_CODE)
                self._end(transfer, _ending(transfer, status))
                self._idle.append(curl)
            for curl, code, _message in bad:
                transfer = self._remove(curl)
                timed_out = code == pycurl.E_OPERATION_TIMEDOUT
                self._end(transfer, "timeout" if timed_out else "broken")
                self._idle.append(curl)

    def _remove(self, curl: pycurl.Curl) -> _Transfer:
        self._multi.remove_handle(curl)
        return self._active.pop(curl)

    def _end(self, transfer: _Transfer, ending: str) -> None:
        if not transfer.counted:
            return
        result = self._recorder.result
        result.endings[f"{transfer.planned.kind} {ending}"] += 1
        taken = time.monotonic() - transfer.started
        if ending not in ("whole", "broken", "timeout", "unfinished"):
            self._recorder.record(Measure.REFUSAL, taken)
            result.refusals_with_return += transfer.retry_after
        if transfer.planned.kind is Kind.SERVICE:
            if ending == "whole":
                self._recorder.record(Measure.SERVICE_CALL, taken)
            return
        tokens = result.callers.setdefault(transfer.planned.caller, CallerTokens())
        tokens.asked += transfer.planned.answer_tokens
        if ending == "whole":
            tokens.got += transfer.planned.answer_tokens
            self._recorder.record(Measure.WHOLE_ANSWER, taken)


def run_load(plan: LoadPlan) -> LoadResult:
    """Send the requests of a plan and return the measurements."""
    return _Generator(plan).run()


def _ending(transfer: _Transfer, status: int) -> str:
    if status != OK:
        return f"{status} {_error_code(b''.join(transfer.body))}"
    if transfer.planned.kind is Kind.SERVICE:
        return "whole"
    whole = transfer.tail == END_MARK and transfer.tokens == transfer.planned.answer_tokens
    return "whole" if whole else "broken"


def _error_code(body: bytes) -> str:
    try:
        value: Any = json.loads(body)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return "unknown"
    return str(value)


def _read_header(transfer: _Transfer, line: bytes) -> None:
    if line.lower().startswith(b"retry-after:"):
        transfer.retry_after = True
