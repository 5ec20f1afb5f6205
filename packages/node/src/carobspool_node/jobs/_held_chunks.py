"""All chunks that this process holds: which may start items, which are due to be written."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping

from absl import logging

from carobspool_core import Job, JobStatus, Millis
from carobspool_node.jobs._chunk_store import ChunkWrite, Ending
from carobspool_node.jobs._owned_chunk import OwnedChunk


class HeldChunks:
    """The held chunks by job and number. Belongs to the runner's loop."""

    def __init__(self) -> None:
        self._chunks: dict[tuple[str, int], OwnedChunk] = {}

    def __len__(self) -> int:
        """Return how many there are."""
        return len(self._chunks)

    def __iter__(self) -> Iterator[tuple[str, int, OwnedChunk]]:
        """Yield job, number and chunk of each; they may be dropped meanwhile."""
        for (job_id, number), chunk in list(self._chunks.items()):
            yield job_id, number, chunk

    def add(self, job_id: str, number: int, chunk: OwnedChunk) -> None:
        """Hold a chunk that was claimed."""
        self._chunks[job_id, number] = chunk

    def pop(self, job_id: str, number: int) -> OwnedChunk:
        """Hold a chunk no more, and return it."""
        return self._chunks.pop((job_id, number))

    def holds(self, job_id: str, number: int, chunk: OwnedChunk) -> bool:
        """Tell whether this very claim is still held."""
        return self._chunks.get((job_id, number)) is chunk

    def missing(self, credits: int) -> int:
        """Return how many items should wait beyond those that do, to use the capacity ahead."""
        waiting = sum(chunk.waiting for chunk in self._chunks.values())
        running = sum(chunk.running for chunk in self._chunks.values())
        return max(credits, running // 2) - waiting

    def ready(self, now: Millis) -> dict[str, deque[OwnedChunk]]:
        """Return the chunks with an item to start, by job; the one claimed first comes first."""
        ready: dict[str, deque[OwnedChunk]] = {}
        for (job_id, _), chunk in self._chunks.items():
            if chunk.has_ready(now):
                ready.setdefault(job_id, deque()).append(chunk)
        return ready

    def due_writes(
        self, now: Millis, credits: int
    ) -> Iterator[tuple[str, int, OwnedChunk, ChunkWrite]]:
        """Yield what is due to be written; items are declared ahead for the capacity only."""
        declarable = credits - sum(chunk.declaring for chunk in self._chunks.values())
        for job_id, number, chunk in self:
            write = chunk.next_write(now, may_declare=declarable > 0)
            if write is None:
                continue
            declarable -= chunk.declaring
            yield job_id, number, chunk, write

    def stop_ended(self, jobs: Mapping[str, Job]) -> None:
        """Let go of the chunks of ended jobs; stop those of cancelled ones.

        Args:
            jobs: The open jobs by id.
        """
        for job_id, number, chunk in self:
            if job_id not in jobs:
                chunk.cancel_running()
                del self._chunks[job_id, number]
                continue
            if jobs[job_id].status is JobStatus.CANCELLING and chunk.ending is not Ending.STOP:
                chunk.part(Ending.STOP, cancel=True)

    def release_all(self) -> None:
        """Release each chunk once what runs of it has ended."""
        for chunk in self._chunks.values():
            if chunk.ending is None:
                chunk.part(Ending.RELEASE, cancel=False)

    def cut_off(self) -> None:
        """Cancel what still runs."""
        for job_id, number, chunk in self:
            if chunk.running:
                logging.warning(
                    "event=items_cut job=%s chunk=%d items=%d", job_id, number, chunk.running
                )
                chunk.cancel_running()
