"""What stands in for the parts of an entry beside `JobAdoption`, in tests without threads."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from carobspool_node.direct._owned_job import OwnedJob
from carobspool_node.direct._peer import Peer


@dataclass
class RunnerStub:
    """Records the added jobs and runs no items."""

    jobs: dict[str, OwnedJob] = field(default_factory=dict)

    def add(self, job: OwnedJob) -> None:
        self.jobs[job.job_id] = job

    def get(self, job_id: str) -> OwnedJob | None:
        return self.jobs.get(job_id)

    def waiting_key(self, host: str, path: str, organisation: str | None) -> str | None:
        return path

    def handle_jobs_of_peer(self, peer: str, job_ids: Sequence[str]) -> None:
        """Verify jobs at once."""
        for job_id in job_ids:
            self.jobs[job_id].verify()


class PeersStub:
    """The peers whose hints have arrived, none at first."""

    identity = "e2#1"

    def __init__(self) -> None:
        self.live: list[Peer] = []

    def find_job_peer(self, job_id: str) -> Peer | None:
        """Return the peer that names a job in its hints."""
        return next((each for each in self.live if each.serves_job(job_id)), None)

    def by_identity(self, identity: str) -> Peer | None:
        """Return the peer of an identity."""
        return next((each for each in self.live if each.identity == identity), None)

    def announce_soon(self) -> None:
        """Do nothing, since nobody receives it."""


def peer_stub(name: str, *jobs: str) -> Peer:
    """Return a peer that names these open jobs in its hints."""
    return Peer(
        name=name,
        incarnation="1",
        address=("127.0.0.1", 1),
        last_heard_at=0.0,
        open_jobs=frozenset(jobs),
    )
