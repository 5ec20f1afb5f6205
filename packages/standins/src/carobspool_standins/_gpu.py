"""The simulated GPU: continuous batching in steps, admission in arrival order, no priorities."""

from __future__ import annotations

import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import StrEnum

from carobspool_core import wall_millis
from carobspool_standins._engine_settings import EngineSettings
from carobspool_standins._prefix_cache import KvMemory

MAX_CATCH_UP_MS = 20.0


class StreamEnd(StrEnum):
    """Why a stream produces no more tokens."""

    DONE = "done"
    CANCELLED = "cancelled"
    ABORTED = "aborted"
    CRASHED = "crashed"


class Stream:
    """One run of a request; callers of everything but ``wait`` hold the GPU's lock.

    Args:
        id: Stream id, chosen by the caller.
        total: Tokens in the complete answer.
        prompt_tokens: Tokens in the prompt.
        blocks: Prefix blocks of the prompt.
    """

    __slots__ = (
        "id",
        "total",
        "prompt_tokens",
        "blocks",
        "prefilled",
        "produced",
        "end",
        "_progressed",
    )

    def __init__(self, id: str, total: int, prompt_tokens: int, blocks: Sequence[str]) -> None:
        self.id = id
        self.total = total
        self.prompt_tokens = prompt_tokens
        self.blocks = blocks
        self.prefilled = 0
        self.produced = 0
        self.end: StreamEnd | None = None
        self._progressed = threading.Condition(threading.Lock())

    @property
    def in_prefill(self) -> bool:
        """Whether some prompt tokens are not prefilled yet."""
        return self.prefilled < self.prompt_tokens

    @property
    def kv_tokens(self) -> int:
        """Number of tokens whose KV the stream occupies."""
        return self.prefilled + self.produced

    def wait(self, last_count: int, timeout: float) -> tuple[int, StreamEnd | None]:
        """Wait until more than ``last_count`` tokens exist, the stream ends or time runs out.

        Returns:
            The number of tokens produced, and how the stream ended, if it has.
        """
        with self._progressed:
            if self.produced <= last_count and self.end is None:
                self._progressed.wait(timeout)
            return self.produced, self.end

    def publish(self, produced: int, end: StreamEnd | None) -> None:
        """Set the progress and wake the request handler that waits for it."""
        with self._progressed:
            self.produced = produced
            self.end = end
            self._progressed.notify_all()


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """The load at one instant; ``at`` is wall-clock time in milliseconds."""

    running: int
    waiting: int
    kv_tokens: int
    slots: int
    at: int


class Gpu:
    """Runs streams in steps on one thread, which sleeps while there is nothing to do.

    Args:
        settings: Step durations, slots and memory.
        memory: KV memory, guarded by the GPU's lock.
        slow_factor: Returns the current factor on step durations.
    """

    def __init__(
        self, settings: EngineSettings, memory: KvMemory, slow_factor: Callable[[], float]
    ) -> None:
        self._settings = settings
        self._memory = memory
        self._slow_factor = slow_factor
        self._lock = threading.Lock()
        self._work_available = threading.Condition(self._lock)
        self._waiting: deque[Stream] = deque()
        self._running: list[Stream] = []
        self._reports: deque[tuple[float, LoadReport]] = deque()
        self._record_load()
        threading.Thread(target=self._run, name="gpu", daemon=True).start()

    @property
    def load(self) -> LoadReport:
        """The load as it was ``load_lag_ms`` ago."""
        limit = time.monotonic() * 1000.0 - self._settings.load_lag_ms
        with self._lock:
            found = self._reports[0][1]
            for at, report in self._reports:
                if at > limit:
                    break
                found = report
            return found

    def submit(self, stream: Stream) -> None:
        """Put a stream at the end of the queue."""
        with self._lock:
            self._waiting.append(stream)
            self._record_load()
            self._work_available.notify()

    def cancel(self, stream: Stream, end: StreamEnd, *, keep_kv: bool) -> tuple[int, bool]:
        """Stop a stream unless it has ended.

        Returns:
            The number of tokens produced, and whether the KV was kept.
        """
        with self._lock:
            if stream.end is not None:
                return stream.produced, False
            self._remove(stream)
            kept = keep_kv and self._memory.keep_stream(stream.id, stream, stream.kv_tokens)
            stream.publish(stream.produced, end)
            self._record_load()
            return stream.produced, kept

    def pop_kept_stream(self, stream_id: str) -> Stream | None:
        """Remove a kept stream from memory and return a copy to submit, or ``None`` if not kept."""
        with self._lock:
            stream: Stream | None = self._memory.pop_stream(stream_id)
            if stream is None:
                return None
            resumed = Stream(stream.id, stream.total, stream.prompt_tokens, stream.blocks)
            resumed.prefilled = stream.prefilled
            resumed.produced = stream.produced
            return resumed

    def crash(self) -> None:
        """End every stream and discard all KV."""
        with self._lock:
            for stream in [*self._running, *self._waiting]:
                stream.publish(stream.produced, StreamEnd.CRASHED)
            self._running.clear()
            self._waiting.clear()
            self._memory.clear()
            self._record_load()

    def _remove(self, stream: Stream) -> None:
        if stream in self._running:
            self._running.remove(stream)
            return
        if stream in self._waiting:
            self._waiting.remove(stream)

    def _run(self) -> None:
        step_at = 0.0
        while True:
            with self._lock:
                self._admit()
                while not self._running:
                    self._work_available.wait()
                    self._admit()
                prefills = self._plan_prefills()
                decoding = [stream for stream in self._running if not stream.in_prefill]
            duration = self._step_ms(len(decoding), sum(count for _, count in prefills))
            # A step starts when the previous step was due to end, so that scheduling delays of this
            # thread don't accumulate. Longer delays, such as idle time, are not caught up.
            now = time.monotonic() * 1000.0
            start = step_at if now - step_at < MAX_CATCH_UP_MS else now
            step_at = start + duration
            time.sleep(max(0.0, step_at - time.monotonic() * 1000.0) / 1000.0)
            with self._lock:
                self._finish_step(decoding, prefills)

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._settings.slots:
            stream = self._waiting.popleft()
            if stream.prefilled == 0:
                # The last prompt token is always computed because it yields the first answer token.
                hit = self._memory.match(stream.blocks)
                stream.prefilled = min(hit, stream.prompt_tokens - 1)
            self._running.append(stream)

    def _plan_prefills(self) -> list[tuple[Stream, int]]:
        budget = self._settings.prefill_chunk
        planned: list[tuple[Stream, int]] = []
        for stream in self._running:
            if not stream.in_prefill:
                continue
            count = min(budget, stream.prompt_tokens - stream.prefilled)
            planned.append((stream, count))
            budget -= count
            if budget == 0:
                break
        return planned

    def _step_ms(self, decoding: int, prefill_tokens: int) -> float:
        settings = self._settings
        simulated = (
            settings.step_base_ms
            + settings.step_stream_ms * decoding
            + settings.step_prefill_ms * prefill_tokens
        )
        return simulated * settings.time_scale * self._slow_factor()

    def _finish_step(self, decoding: list[Stream], prefills: list[tuple[Stream, int]]) -> None:
        for stream, count in prefills:
            if stream.end is not None:
                continue
            stream.prefilled += count
            if stream.in_prefill:
                continue
            self._memory.store(stream.blocks)
            if stream.produced < stream.total:
                decoding.append(stream)
        for stream in decoding:
            if stream.end is not None:
                continue
            produced = min(stream.produced + 1, stream.total)
            done = produced == stream.total
            if done:
                self._running.remove(stream)
            stream.publish(produced, StreamEnd.DONE if done else None)
        self._record_load()

    def _record_load(self) -> None:
        now = time.monotonic() * 1000.0
        report = LoadReport(
            running=len(self._running),
            waiting=len(self._waiting),
            kv_tokens=self._memory.used + sum(stream.kv_tokens for stream in self._running),
            slots=self._settings.slots,
            at=wall_millis(),
        )
        self._reports.append((now, report))
        limit = now - self._settings.load_lag_ms
        while len(self._reports) > 1 and self._reports[1][0] <= limit:
            self._reports.popleft()
