"""Another entry as this one knows it, and what this one tells of itself."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct, field

from carobspool_core import Millis
from carobspool_core.direct import Load, WaitingGroup


class Peer(Struct, kw_only=True):
    """Another entry, by its last hints.

    Attributes:
        name: Its name.
        incarnation: Changes with each start of its process.
        address: Where it takes hints and calls.
        heard: When its last hint came.
        open_jobs: Jobs that it works on.
        done_jobs: Finished jobs that it answers for.
        waiting: Waiting tokens by route.
        versions: What it has seen of the configuration and of the upstreams.
        leaving: Whether it is shutting down.
        store_ok: Whether the store answered it when it last asked.
        answer_age: How long before its last announcement that was.
        sequence: Of its newest hint.
        is_current: Whether it reads load hints.
        reads_counts: Whether it reads hints that tell counts of requests.
    """

    name: str
    incarnation: str
    address: tuple[str, int]
    heard: Millis
    open_jobs: frozenset[str] = frozenset()
    done_jobs: frozenset[str] = frozenset()
    waiting: Mapping[str, int] = field(default_factory=dict)
    versions: Mapping[str, int] = field(default_factory=dict)
    leaving: bool = False
    store_ok: bool = True
    answer_age: Millis = 0.0
    sequence: int = -1
    is_current: bool = False
    reads_counts: bool = False

    @property
    def identity(self) -> str:
        """Name and incarnation."""
        return f"{self.name}#{self.incarnation}"

    def answers_for(self, job_id: str) -> bool:
        """Whether it works on a job or can tell its results."""
        return job_id in self.open_jobs or job_id in self.done_jobs


class OwnHint(Struct, frozen=True, kw_only=True):
    """What an entry tells of itself."""

    loads: Mapping[str, Load]
    failures: Mapping[str, int]
    open_jobs: frozenset[str]
    done_jobs: frozenset[str]
    waiting: Mapping[str, int]
    versions: Mapping[str, int]
    leaving: bool
    released: frozenset[str]
    store_ok: bool
    backlog: Sequence[WaitingGroup]
    answer_age: Millis = 0.0
    counts: Mapping[int, int] = field(default_factory=dict)
