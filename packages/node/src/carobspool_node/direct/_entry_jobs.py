"""Construction of an entry's batch jobs."""

from __future__ import annotations

import threading

from msgspec import Struct

from carobspool_core import Clock
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._declared import DeclaredState
from carobspool_node.direct._group_assignment import GroupAssignment
from carobspool_node.direct._item_run import ItemRunner
from carobspool_node.direct._job_adoption import JobAdoption
from carobspool_node.direct._job_catalog import JobCatalog
from carobspool_node.direct._job_index import JobIndex
from carobspool_node.direct._job_reconciliation import JobReconciliation, ask_peers
from carobspool_node.direct._job_records import JobRecords
from carobspool_node.direct._job_recovery import ORPHAN_SEARCH_DUTY, JobRecovery
from carobspool_node.direct._job_retention import JobRetention
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._jobs import Jobs
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._membership import Membership
from carobspool_node.direct._peer_calls import PeerCaller
from carobspool_node.direct._peers import Peers
from carobspool_node.direct._settings import DirectSettings
from carobspool_node.direct._store_relay import RelayedStore
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.direct._waiting_quota import WaitingQuota

RETENTION_DUTY = "retention"


class JobParts(Struct, frozen=True, kw_only=True):
    """The parts of an entry that serve batch jobs, not started yet.

    Attributes:
        jobs: Operations on jobs.
        runner: Runs the owned jobs.
        recovery: Takes over the jobs of entries that are gone.
        reconciliation: Finds stored jobs that no entry runs.
        retention: Removes the records of finished jobs.
    """

    jobs: Jobs
    runner: JobRunner
    recovery: JobRecovery
    reconciliation: JobReconciliation
    retention: JobRetention


def make_job_parts(
    settings: DirectSettings,
    clock: Clock,
    telemetry: Telemetry,
    *,
    loads: LoadTable,
    items: ItemRunner,
    store: RelayedStore,
    declared: DeclaredState,
    membership: Membership,
    group_assignment: GroupAssignment,
    peers: Peers,
    peer_caller: PeerCaller,
    leaving: threading.Event,
) -> JobParts:
    """Return the parts that serve batch jobs.

    Args:
        settings: The entry's settings.
        clock: The process's clock.
        telemetry: Counts runs, takeovers and unusable records.
        loads: Work in flight at the upstreams.
        items: Runs single items.
        store: The object store.
        declared: Routes and upstreams.
        membership: Decides who performs a duty.
        group_assignment: The upstreams that this entry may use.
        peers: The other entries.
        peer_caller: Calls the other entries.
        leaving: Set when this process shuts down.
    """
    runner = JobRunner(
        clock,
        loads,
        items,
        telemetry,
        configuration=lambda: declared.configuration,
        usable=group_assignment.near,
        ownership_uncertain_until=lambda: peers.ownership_uncertain_until,
        has_other_version=declared.has_other_version,
        on_taken=lambda job_id, version: adoption.add_unattended(
            job_id, "taken by another entry", version=version
        ),
    )
    records = JobRecords(
        store, settings.value_limit, BadRecords(clock, telemetry, "job_record", "key")
    )
    catalog = JobCatalog(records)
    retention = JobRetention(
        clock,
        records,
        settings.job_retention,
        has_duty=lambda: membership.has_duty(RETENTION_DUTY),
    )
    adoption = JobAdoption(
        clock,
        catalog,
        runner,
        peers,
        telemetry,
        are_peers_known=lambda: recovery.are_peers_known(),
        confirm=ask_peers(peers, peer_caller),
    )
    if settings.first_start:
        adoption.assume_empty_store()
    recovery = JobRecovery(
        clock,
        adoption,
        runner,
        peers,
        node=settings.node,
        leaving=leaving,
        has_duty=membership.has_duty,
    )
    reconciliation = JobReconciliation(
        clock,
        JobIndex(clock, store),
        adoption,
        leaving=leaving,
        has_duty=lambda: membership.has_duty(ORPHAN_SEARCH_DUTY),
        are_peers_known=recovery.are_peers_known,
        wake_adoption=recovery.wake,
    )
    quota = WaitingQuota(runner, adoption, peers, are_peers_known=recovery.are_peers_known)
    jobs = Jobs(clock, catalog, runner, adoption, peers, peer_caller, quota)
    return JobParts(
        jobs=jobs,
        runner=runner,
        recovery=recovery,
        reconciliation=reconciliation,
        retention=retention,
    )
