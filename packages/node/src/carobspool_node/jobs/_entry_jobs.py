"""Batch jobs at one entry: its lease, the live entries, the runner, and hints about jobs."""

from __future__ import annotations

import json
from collections.abc import Callable

from carobspool_core import (
    ChunkHolder,
    Clock,
    DesiredState,
    Hint,
    HintKind,
    Job,
    JobCounts,
    JobStatus,
    Json,
    Millis,
    ObjectStore,
    peers_to_dial,
)
from carobspool_node.jobs._batch_forward import BatchForwarder
from carobspool_node.jobs._job_choice import make_job_choice
from carobspool_node.jobs._job_runner import ChunkDone, RunnerPorts, make_job_runner
from carobspool_node.jobs._jobs_api import JobsApi, make_jobs_api
from carobspool_node.links import (
    Identity,
    Members,
    NodeIdentity,
    NodeLeaseKeeper,
    keep_node_lease,
    watch_members,
)
from carobspool_node.roles import EntrySettings

WATCH_SHARE = 4
"""A watch lasts this part of the lease's time to live, so that an expiry is noticed soon."""
_CANCELLING = "cancelling"

Tell = Callable[[HintKind, str, dict[str, str]], None]


class EntryJobs:
    """Everything about jobs in one entry process. Since 0.1."""

    def __init__(
        self,
        store: ObjectStore,
        settings: EntrySettings,
        identity: Identity,
        clock: Clock,
        forwarder: BatchForwarder,
        *,
        state: Callable[[], DesiredState],
        tell: Tell,
    ) -> None:
        self._store = store
        self._settings = settings
        self._identity = identity
        self._clock = clock
        self._forwarder = forwarder
        self._state = state
        self._tell = tell
        self._holder = ChunkHolder(node=identity.node, incarnation=identity.incarnation)
        self._lease: NodeLeaseKeeper | None = None
        self._members: Members = watch_members(
            store,
            clock,
            ttl=settings.lease_ttl,
            watch_timeout=settings.lease_ttl / WATCH_SHARE,
        )
        self._runner = make_job_runner(
            store,
            self._holder,
            clock,
            self._members,
            RunnerPorts(
                run=forwarder.run,
                credits=forwarder.credits,
                choose=make_job_choice(clock, state),
                shaping=lambda: state().batch,
                tell_done=self._tell_done,
            ),
            may_claim=self._may_claim,
        )
        self._api = make_jobs_api(
            store,
            shaping=lambda: state().batch,
            known_model=lambda name: name in state().models,
            hint=self._tell_changed,
        )

    @property
    def holder(self) -> ChunkHolder:
        """This process, as claims name it."""
        return self._holder

    @property
    def members(self) -> Members:
        """The live entries."""
        return self._members

    @property
    def api(self) -> JobsApi:
        """What the HTTP routes call."""
        return self._api

    def start(self, address: str) -> None:
        """Take the node's lease and begin to work.

        Args:
            address: ``ip:port`` on which other entries reach this one.
        """
        identity = NodeIdentity(
            holder=self._holder,
            address=address,
            failure_domain=self._identity.failure_domain,
        )
        self._lease = keep_node_lease(
            self._store, identity, self._clock, ttl=self._settings.lease_ttl
        )
        self._lease.start()
        self._members.start()
        self._runner.start()

    def leave(self) -> None:
        """Tell the other entries that this one takes no more work."""
        if self._lease is not None:
            self._lease.leave()

    def release(self, timeout: Millis) -> int:
        """Finish what runs and hand the claims over; return how many could not be."""
        left = self._runner.release_all(timeout)
        if self._lease is not None:
            self._lease.give_up()
        self._members.stop()
        self._forwarder.stop()
        return left

    def peers(self) -> dict[str, str]:
        """Return the entries to connect to for hints, address by name."""
        addresses = self._members.addresses()
        chosen = peers_to_dial(self._identity.node, sorted(addresses))
        return {name: addresses[name] for name in chosen if name in addresses}

    def live_entries(self) -> list[str]:
        """Return the names of the entries that take work."""
        return list(self._members.available_nodes())

    def take_hint(self, hint: Hint) -> None:
        """Take another entry's news of a job."""
        if hint.kind is HintKind.JOB_CHANGED:
            cancelling = hint.values.get("status") == _CANCELLING
            self._runner.job_changed(hint.subject, cancelling=cancelling)
            return
        if hint.values.get("to") != self._identity.node:
            return
        self._runner.chunk_done(
            ChunkDone(
                job=hint.subject,
                chunk=int(hint.values["chunk"]),
                counts=JobCounts(**json.loads(hint.values["counts"])),
            )
        )

    def status(self) -> Json:
        """Return what `carobspool status` shows of jobs."""
        return {"chunks_held": self._runner.chunks_held}

    def _may_claim(self) -> bool:
        return self._lease is not None and self._lease.held

    def _tell_done(self, coordinator: str, done: ChunkDone) -> None:
        counts = {
            "completed": done.counts.completed,
            "failed": done.counts.failed,
            "output_bytes": done.counts.output_bytes,
            "error_bytes": done.counts.error_bytes,
        }
        values = {"to": coordinator, "chunk": str(done.chunk), "counts": json.dumps(counts)}
        self._tell(HintKind.CHUNK_DONE, done.job, values)

    def _tell_changed(self, job: Job) -> None:
        cancelling = job.status is JobStatus.CANCELLING
        self._runner.job_changed(job.id, cancelling=cancelling)
        self._tell(HintKind.JOB_CHANGED, job.id, {"status": job.status.value})
