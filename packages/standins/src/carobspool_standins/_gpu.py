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
    """Why a stream makes no more tokens."""

    DONE = "done"
    CANCELLED = "cancelled"
    ABORTED = "aborted"
    CRASHED = "crashed"


class Stream:
    """One run of a request; the GPU's lock guards all but ``wait``.

    Args:
        id: Its id, chosen by the caller.
        total: Tokens of its whole answer.
        prompt_tokens: Tokens of its prompt.
        blocks: Prefix blocks of its prompt.
    """

    __slots__ = ("id", "total", "prompt_tokens", "blocks", "prefilled", "produced", "end", "_news")

    def __init__(self, id: str, total: int, prompt_tokens: int, blocks: Sequence[str]) -> None:
        self.id = id
        self.total = total
        self.prompt_tokens = prompt_tokens
        self.blocks = blocks
        self.prefilled = 0
        self.produced = 0
        self.end: StreamEnd | None = None
        self._news = threading.Condition(threading.Lock())

    @property
    def in_prefill(self) -> bool:
        """Whether prompt tokens are left to prefill."""
        return self.prefilled < self.prompt_tokens

    @property
    def kv_tokens(self) -> int:
        """Tokens whose KV the stream holds."""
        return self.prefilled + self.produced

    def wait(self, known: int, timeout: float) -> tuple[int, StreamEnd | None]:
        """Wait until more than ``known`` tokens are there or the stream has ended.

        Returns:
            The tokens produced, and how the stream ended, if it has.
        """
        with self._news:
            if self.produced <= known and self.end is None:
                self._news.wait(timeout)
            return self.produced, self.end

    def tell(self, produced: int, end: StreamEnd | None) -> None:
        """Publish progress to the waiting handler."""
        with self._news:
            self.produced = produced
            self.end = end
            self._news.notify_all()


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """The load at one instant; ``at`` is wall-clock time."""

    running: int
    waiting: int
    kv_tokens: int
    slots: int
    at: int


class Gpu:
    """Runs streams in steps on one thread, which sleeps while there is nothing to do.

    Args:
        settings: Step times, slots and memory.
        memory: KV memory, used under the GPU's lock.
        slow_factor: Returns the factor on step times in force.
    """

    def __init__(
        self, settings: EngineSettings, memory: KvMemory, slow_factor: Callable[[], float]
    ) -> None:
        self._settings = settings
        self._memory = memory
        self._slow_factor = slow_factor
        self._lock = threading.Lock()
        self._work = threading.Condition(self._lock)
        self._waiting: deque[Stream] = deque()
        self._running: list[Stream] = []
        self._reports: deque[tuple[float, LoadReport]] = deque()
        self._note_load()
        threading.Thread(target=self._run, name="gpu", daemon=True).start()

    @property
    def load(self) -> LoadReport:
        """The load as it was one lag ago."""
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
            self._note_load()
            self._work.notify()

    def cancel(self, stream: Stream, end: StreamEnd, *, keep_kv: bool) -> tuple[int, bool]:
        """Stop a stream unless it has ended.

        Returns:
            The tokens it produced, and whether its KV was kept.
        """
        with self._lock:
            if stream.end is not None:
                return stream.produced, False
            self._remove(stream)
            kept = keep_kv and self._memory.keep(stream.id, stream, stream.kv_tokens)
            stream.tell(stream.produced, end)
            self._note_load()
            return stream.produced, kept

    def take_kept(self, stream_id: str) -> Stream | None:
        """Return a kept stream, ready to be submitted again; ``None`` when it is not kept."""
        with self._lock:
            stream: Stream | None = self._memory.take(stream_id)
            if stream is None:
                return None
            again = Stream(stream.id, stream.total, stream.prompt_tokens, stream.blocks)
            again.prefilled = stream.prefilled
            again.produced = stream.produced
            return again

    def crash(self) -> None:
        """End every stream and forget all KV."""
        with self._lock:
            for stream in [*self._running, *self._waiting]:
                stream.tell(stream.produced, StreamEnd.CRASHED)
            self._running.clear()
            self._waiting.clear()
            self._memory.clear()
            self._note_load()

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
                    self._work.wait()
                    self._admit()
                prefills = self._plan_prefills()
                decoding = [stream for stream in self._running if not stream.in_prefill]
            duration = self._step_ms(len(decoding), sum(count for _, count in prefills))
            # A step starts when the one before was due, so that the thread's own lateness doesn't
            # add up; more than that, such as an idle time, is not made up for.
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
                # The last prompt token is always computed: it makes the first answer token.
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
            stream.tell(produced, StreamEnd.DONE if done else None)
        self._note_load()

    def _note_load(self) -> None:
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
