"""The engine behind its HTTP views: runs, cancels and resumes streams, and crashes on demand."""

from __future__ import annotations

import hashlib
import os
import random
import threading
import time
import uuid
from collections import OrderedDict
from dataclasses import dataclass

from carobspool_standins._answers import PlannedAnswer, Prompt, plan_answer
from carobspool_standins._engine_orders import Deployment
from carobspool_standins._engine_record import Run, RunRecord
from carobspool_standins._engine_settings import EngineFaults, EngineSettings
from carobspool_standins._faults import FaultBoard
from carobspool_standins._gpu import Gpu, Stream, StreamEnd
from carobspool_standins._prefix_cache import CacheEvents, KvMemory, prefix_blocks
from carobspool_standins.errors import StandinError

CRASH_EXIT_CODE = 70
HELD_STREAMS = 5000


class BadToken(StandinError):
    """A resume asks for a token that was not produced yet."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A request in progress: its stream, its request and its line in the record."""

    stream: Stream
    prompt: Prompt
    answer: PlannedAnswer
    run: Run
    first: int = 0


class Engine:
    """One simulated engine.

    Args:
        settings: Its settings.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._jobs: OrderedDict[str, Job] = OrderedDict()
        self._random = random.Random(settings.seed)
        self._down_until = 0.0
        self.board = FaultBoard(EngineFaults)
        self.deployment = Deployment(settings)
        self.record = RunRecord()
        self.events = CacheEvents(
            settings.cache_event_delay_ms, settings.cache_event_gap_rate, settings.seed
        )
        memory = KvMemory(settings.kv_tokens, settings.block_tokens, self.events.add)
        self.gpu = Gpu(settings, memory, lambda: self.board.current.slow_factor)

    @property
    def is_down(self) -> bool:
        """Whether the engine refuses every connection at present."""
        return self.board.current.refuse or time.monotonic() < self._down_until

    def read(self, stream_id: str | None, prompt: Prompt, body: bytes) -> Job:
        """Record a request that was read whole, without running it yet."""
        answer = plan_answer(
            prompt, self._settings.answer_tokens_min, self._settings.answer_tokens_max
        )
        blocks = prefix_blocks(prompt.model, prompt.text, self._settings.block_tokens)
        name = stream_id or uuid.uuid4().hex
        stream = Stream(name, len(answer.words), prompt.tokens, blocks)
        digest = hashlib.sha256(body).hexdigest()
        run = self.record.begin(name, prompt.model, digest)
        return Job(stream=stream, prompt=prompt, answer=answer, run=run)

    def start(self, job: Job) -> None:
        """Queue a request that was read."""
        self._hold(job)
        self.gpu.submit(job.stream)
        marker = self.board.current.crash_marker
        if marker and marker in job.prompt.text:
            self._crash()

    def fails_at_random(self) -> bool:
        """Whether the fault ``error_rate`` hits this request."""
        rate = self.board.current.error_rate
        with self._lock:
            return rate > 0 and self._random.random() < rate

    def cancel(self, stream_id: str, *, keep_kv: bool) -> tuple[int, bool] | None:
        """Cancel a stream by its id; ``None`` when there is none in progress."""
        job = self._find(stream_id)
        if job is None or job.stream.end is not None:
            return None
        tokens, kept = self.gpu.cancel(job.stream, StreamEnd.CANCELLED, keep_kv=keep_kv)
        return tokens, kept

    def resume(self, stream_id: str, from_token: int) -> Job | None:
        """Go on with a kept stream; ``None`` when its KV is not kept.

        Raises:
            BadToken: If ``from_token`` was not produced yet.
        """
        before = self._find(stream_id)
        if before is None:
            return None
        if not 0 <= from_token <= before.stream.produced:
            raise BadToken(f"{before.stream.produced} tokens were produced")
        stream = self.gpu.take_kept(stream_id)
        if stream is None:
            return None
        run = self.record.begin(stream_id, before.run.model, before.run.digest, resumed=True)
        job = Job(
            stream=stream, prompt=before.prompt, answer=before.answer, run=run, first=from_token
        )
        self._hold(job)
        self.gpu.submit(stream)
        return job

    def finish(self, job: Job, end: StreamEnd) -> None:
        """Note the end of a run; a stream whose client has gone is stopped."""
        if end is StreamEnd.ABORTED:
            self.gpu.cancel(job.stream, end, keep_kv=False)
        outcome = StreamEnd.ABORTED if end is StreamEnd.CRASHED else end
        self.record.end(job.run, outcome.value, job.stream.produced)

    def _hold(self, job: Job) -> None:
        with self._lock:
            self._jobs[job.stream.id] = job
            self._jobs.move_to_end(job.stream.id)
            while len(self._jobs) > HELD_STREAMS:
                self._jobs.popitem(last=False)

    def _find(self, stream_id: str) -> Job | None:
        with self._lock:
            return self._jobs.get(stream_id)

    def _crash(self) -> None:
        faults = self.board.current
        if faults.crash_mode == "exit":
            os._exit(CRASH_EXIT_CODE)
        pause = self._settings.restart_ms if faults.restart_ms is None else faults.restart_ms
        self._down_until = time.monotonic() + pause / 1000.0
        self.deployment.restart()
        self.gpu.crash()
