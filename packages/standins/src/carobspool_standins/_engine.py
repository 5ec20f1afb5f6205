"""The engine that the HTTP views call: runs, cancels and resumes streams, and crashes on demand."""

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
MAX_RETAINED_JOBS = 5000


class InvalidResumeToken(StandinError):
    """The position of a resume lies outside the tokens produced so far."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A request in progress.

    Attributes:
        stream: Its run on the simulated GPU.
        prompt: The parsed request.
        answer: The tokens that it produces if it isn't cancelled.
        run: Its entry in the run record.
        first_token: Index of the first token to send; above 0 for a resumed stream.
    """

    stream: Stream
    prompt: Prompt
    answer: PlannedAnswer
    run: Run
    first_token: int = 0


class Engine:
    """One simulated engine.

    Args:
        settings: Settings of the engine.
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
        """Whether the engine currently refuses every connection."""
        return self.board.current.refuse or time.monotonic() < self._down_until

    def register(self, stream_id: str | None, prompt: Prompt, body: bytes) -> Job:
        """Add a completely received request to the run record, without running it yet."""
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
        """Queue a registered request, and crash if it contains the fault's ``crash_marker``."""
        self._retain_job(job)
        self.gpu.submit(job.stream)
        marker = self.board.current.crash_marker
        if marker and marker in job.prompt.text:
            self._crash()

    def fails_at_random(self) -> bool:
        """Return whether the fault ``error_rate`` applies to this request."""
        rate = self.board.current.error_rate
        with self._lock:
            return rate > 0 and self._random.random() < rate

    def cancel(self, stream_id: str, *, keep_kv: bool) -> tuple[int, bool] | None:
        """Cancel a stream.

        Returns:
            The tokens it produced and whether its KV was kept; ``None`` if no such stream is in
            progress.
        """
        job = self._find_job(stream_id)
        if job is None or job.stream.end is not None:
            return None
        tokens, kept = self.gpu.cancel(job.stream, StreamEnd.CANCELLED, keep_kv=keep_kv)
        return tokens, kept

    def resume(self, stream_id: str, from_token: int) -> Job | None:
        """Continue a cancelled stream whose KV was kept; return ``None`` if it was not.

        Raises:
            InvalidResumeToken: If ``from_token`` is outside the tokens produced so far.
        """
        previous = self._find_job(stream_id)
        if previous is None:
            return None
        if not 0 <= from_token <= previous.stream.produced:
            raise InvalidResumeToken(f"{previous.stream.produced} tokens were produced")
        stream = self.gpu.pop_kept_stream(stream_id)
        if stream is None:
            return None
        run = self.record.begin(stream_id, previous.run.model, previous.run.digest, resumed=True)
        job = Job(
            stream=stream,
            prompt=previous.prompt,
            answer=previous.answer,
            run=run,
            first_token=from_token,
        )
        self._retain_job(job)
        self.gpu.submit(stream)
        return job

    def finish(self, job: Job, end: StreamEnd) -> None:
        """Record the end of a run, and stop the stream if its client has disconnected."""
        if end is StreamEnd.ABORTED:
            self.gpu.cancel(job.stream, end, keep_kv=False)
        outcome = StreamEnd.ABORTED if end is StreamEnd.CRASHED else end
        self.record.end(job.run, outcome.value, job.stream.produced)

    def _retain_job(self, job: Job) -> None:
        with self._lock:
            self._jobs[job.stream.id] = job
            self._jobs.move_to_end(job.stream.id)
            while len(self._jobs) > MAX_RETAINED_JOBS:
                self._jobs.popitem(last=False)

    def _find_job(self, stream_id: str) -> Job | None:
        with self._lock:
            return self._jobs.get(stream_id)

    def _crash(self) -> None:
        faults = self.board.current
        if faults.crash_mode == "exit":
            os._exit(CRASH_EXIT_CODE)
        downtime_ms = self._settings.restart_ms if faults.restart_ms is None else faults.restart_ms
        self._down_until = time.monotonic() + downtime_ms / 1000.0
        self.deployment.restart()
        self.gpu.crash()
