"""What the job runner needs from the rest of the process."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from carobspool_core import BatchItem, BatchShaping, ItemOutcome, Job, JobCounts
from carobspool_node.jobs._owned_chunk import ItemHandle


class ItemRunner(Protocol):
    """Starts attempts of items at upstreams."""

    def __call__(self, item: BatchItem, on_done: Callable[[ItemOutcome], None]) -> ItemHandle:
        """Start an attempt without waiting; ``on_done`` is called once, on any thread."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ChunkDone:
    """A chunk reached its final state; told to the job's coordinator."""

    job: str
    chunk: int
    counts: JobCounts


@dataclass(frozen=True, slots=True, kw_only=True)
class RunnerPorts:
    """What the runner needs from the rest of the process.

    Attributes:
        run: Starts an item.
        credits: How many more items could start now.
        choose: Picks the job whose item or chunk comes next, among jobs that have one.
        shaping: The batch shaping in force.
        tell_done: Passes a finished chunk to the node that coordinates the job.
    """

    run: ItemRunner
    credits: Callable[[], int]
    choose: Callable[[Sequence[Job]], str]
    shaping: Callable[[], BatchShaping]
    tell_done: Callable[[str, ChunkDone], None]
