"""Define an entry's record of a peer, and the content of the entry's own announcements."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec import Struct, field

from carobspool_core import Millis
from carobspool_core.direct import Load, WaitingGroup
from carobspool_core.online_queue import NOTHING_QUEUED, QueueReport

RELAYED_ALLOWANCE: Millis = 350.0
"""Time for which relayed hints extend the last direct sign of life, so that one lost heartbeat does
not make a peer silent while its load hints go through relays. A peer that does not hear this entry
reports that 1.3 s before it takes over jobs, and the report still ends the allowed silence of
1.25 s."""
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
        load_sequence: Sequence number of the newest loads.
        counts_sequence: Sequence number of the newest request counts.
        reads_load_hints: Whether the peer reads load hints.
        reads_counts: Whether the peer reads hints that carry request counts.
        failure_domain: Failure domain of the peer, ``None`` if the peer does not read bundles.
        host_capacity: Share of processor times cores, 0 if unknown; ``None`` if the peer does not
            relay hints.
        direct_load_sequence: Sequence number of the newest loads that no relay passed on.
        direct_counts_sequence: Sequence number of the newest counts hint that no relay passed on.
        separates_kinds: Whether the peer compares the numbers of load hints with those of load
            hints only, and the numbers of counts with those of counts.
        silent: Names of the entries from which the peer receives no hints.
        relayed_at: Time at which a relay last passed on a newer hint of the peer.
        unsettled_at: Time of the last sign that the peer may have missed announcements of this
            entry: its process is new, or one of the two did not hear the other.
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
    load_sequence: int = -1
    counts_sequence: int = -1
    reads_load_hints: bool = False
    reads_counts: bool = False
    failure_domain: str | None = None
    host_capacity: float | None = None
    direct_load_sequence: int = -1
    direct_counts_sequence: int = -1
    separates_kinds: bool = False
    silent: frozenset[str] = frozenset()
    relayed_at: Millis = float("-inf")
    unsettled_at: Millis = float("-inf")

    @property
    def alive_at(self) -> Millis:
        """Time of the last sign of life, extended by relayed hints for `RELAYED_ALLOWANCE`."""
        return max(self.last_heard_at, min(self.relayed_at, self.last_heard_at + RELAYED_ALLOWANCE))

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
    paces: bytes = b""
    queue: QueueReport = NOTHING_QUEUED
