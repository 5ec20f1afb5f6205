"""Define an entry's record of a peer, and the content of the entry's own announcements."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct, field

from carobspool_core import Millis
from carobspool_core.direct import Load, WaitingGroup

QUARANTINES = "quarantines"
"""Name of the digest of the quarantined requests among the versions."""


class Peer(Struct, kw_only=True):
    """Another entry, as its last hints describe it.

    Attributes:
        name: Name of the peer.
        incarnation: Identifier of the peer's process; changes at each start.
        address: Address at which the peer receives hints and calls.
        last_heard_at: Time at which its last hint arrived.
        open_jobs: Jobs that the peer works on.
        done_jobs: Finished jobs whose results the peer serves.
        waiting: Waiting tokens by route.
        versions: Versions of the configuration and of the upstreams that the peer has seen.
        leaving: Whether the peer is shutting down.
        store_ok: Whether the store answered the peer's last call.
        answer_age: Time from the store's last answer to the peer's last announcement.
        sequence: Sequence number of the newest hint.
        reads_load_hints: Whether the peer reads load hints.
        reads_counts: Whether the peer reads hints that carry request counts.
    """

    name: str
    incarnation: str
    address: tuple[str, int]
    last_heard_at: Millis
    open_jobs: frozenset[str] = frozenset()
    done_jobs: frozenset[str] = frozenset()
    waiting: Mapping[str, int] = field(default_factory=dict)
    versions: Mapping[str, int] = field(default_factory=dict)
    leaving: bool = False
    store_ok: bool = True
    answer_age: Millis = 0.0
    sequence: int = -1
    reads_load_hints: bool = False
    reads_counts: bool = False

    @property
    def reads_suspects(self) -> bool:
        """Whether the peer reads hints about requests that crash upstreams."""
        return QUARANTINES in self.versions

    @property
    def identity(self) -> str:
        """Name and incarnation of the peer."""
        return f"{self.name}#{self.incarnation}"

    def serves_job(self, job_id: str) -> bool:
        """Whether the peer works on a job or serves its results."""
        return job_id in self.open_jobs or job_id in self.done_jobs


class AnnouncementContent(Struct, frozen=True, kw_only=True):
    """Content of this entry's announcements."""

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
    queued: bytes = b""
