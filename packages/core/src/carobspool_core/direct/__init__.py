"""Data types and decision logic of entries that call upstreams directly, without a sidecar.

The package uses no network, no threads and no wall clock; callers pass in the time.
"""

from carobspool_core.direct._backlog import (
    UNKNOWN_SERVICE,
    PeerBacklog,
    WaitingGroup,
    group_by_start_order,
    lowest_groups,
)
from carobspool_core.direct._batch_order import (
    BatchUrgency,
    ItemDurationEstimate,
    start_order_of,
    urgency_of,
)
from carobspool_core.direct._configuration import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    WeightedService,
)
from carobspool_core.direct._events import EventSplitter, EventTooLongError, StreamEvent
from carobspool_core.direct._failure_reports import FailureReports
from carobspool_core.direct._fingerprint import (
    item_fingerprint,
    part_fingerprint,
    request_fingerprint,
)
from carobspool_core.direct._fleet_loads import NO_LOAD, PEER_LOAD_TTL, FleetLoads, Load
from carobspool_core.direct._groups import group_count, group_of_entry, upstreams_of_group
from carobspool_core.direct._handover import HandoverCandidate, should_release_jobs
from carobspool_core.direct._item_work import ItemWork, JobItem, PartialItem
from carobspool_core.direct._job_codec import (
    job_from_json,
    job_to_json,
    progress_from_json,
    progress_to_json,
    results_from_json,
)
from carobspool_core.direct._job_work import (
    ItemOutcome,
    ItemResult,
    JobInput,
    JobProgress,
    JobWork,
)
from carobspool_core.direct._leaving import (
    BALANCER_TIME,
    LEAVING_RETRY_AFTER,
    Shutdown,
    has_time_for_job_call,
    has_time_to_serve,
)
from carobspool_core.direct._liveness import (
    DEAD_AFTER,
    FORGET_AFTER,
    GONE_AFTER,
    OWNERSHIP_UNCERTAIN_TIME,
    SILENT_AFTER,
    Liveness,
    PeerStatus,
)
from carobspool_core.direct._load_pace import LoadSendLimiter
from carobspool_core.direct._open_items import ItemGroup
from carobspool_core.direct._placement import (
    BATCH_RESERVE,
    choose_batch_upstream,
    choose_upstream,
    excess_batch_runs,
    free_batch_slots,
    runs_to_cancel,
)
from carobspool_core.direct._queueing import (
    MeanDuration,
    can_finish_in_time,
    failover_at,
    is_retry_by_deadline,
    queue_limit,
    retry_delay,
    retry_delay_in_outage,
)
from carobspool_core.direct._run_shares import may_begin_run, reserved_runs
from carobspool_core.direct._shared_view import ViewVersion
from carobspool_core.direct._upstream_identity import (
    by_identity,
    by_instance,
    identity_of,
    latest_starts,
    short_key_of,
)
from carobspool_core.direct._upstreams import (
    LAPSE_GRACE,
    UNKNOWN_VERSION,
    Upstream,
    UpstreamList,
    UpstreamsSnapshot,
)
from carobspool_core.direct._waiting_quota import fits_quota, fits_unheard_share
from carobspool_core.direct._watch_duty import WatchCandidate, should_watch_store

__all__ = [
    "BATCH_RESERVE",
    "DEAD_AFTER",
    "FORGET_AFTER",
    "GONE_AFTER",
    "LAPSE_GRACE",
    "BALANCER_TIME",
    "LEAVING_RETRY_AFTER",
    "Shutdown",
    "NO_LOAD",
    "OWNERSHIP_UNCERTAIN_TIME",
    "PEER_LOAD_TTL",
    "SILENT_AFTER",
    "UNKNOWN_SERVICE",
    "UNKNOWN_VERSION",
    "BatchUrgency",
    "CallerLimits",
    "Configuration",
    "EventSplitter",
    "EventTooLongError",
    "FailureReports",
    "FleetLoads",
    "HandoverCandidate",
    "ItemDurationEstimate",
    "ItemGroup",
    "ItemOutcome",
    "ItemResult",
    "ItemWork",
    "JobInput",
    "JobItem",
    "JobProgress",
    "JobWork",
    "Liveness",
    "Load",
    "LoadSendLimiter",
    "MeanDuration",
    "PartialItem",
    "PeerBacklog",
    "PeerStatus",
    "Route",
    "RouteKind",
    "StreamEvent",
    "Upstream",
    "UpstreamList",
    "UpstreamsSnapshot",
    "ViewVersion",
    "WaitingGroup",
    "WatchCandidate",
    "WeightedService",
    "by_identity",
    "by_instance",
    "can_finish_in_time",
    "choose_batch_upstream",
    "choose_upstream",
    "excess_batch_runs",
    "failover_at",
    "fits_quota",
    "fits_unheard_share",
    "free_batch_slots",
    "group_by_start_order",
    "group_count",
    "group_of_entry",
    "has_time_for_job_call",
    "has_time_to_serve",
    "identity_of",
    "is_retry_by_deadline",
    "item_fingerprint",
    "job_from_json",
    "job_to_json",
    "latest_starts",
    "lowest_groups",
    "may_begin_run",
    "part_fingerprint",
    "progress_from_json",
    "progress_to_json",
    "queue_limit",
    "request_fingerprint",
    "reserved_runs",
    "results_from_json",
    "retry_delay",
    "retry_delay_in_outage",
    "runs_to_cancel",
    "short_key_of",
    "should_release_jobs",
    "should_watch_store",
    "start_order_of",
    "upstreams_of_group",
    "urgency_of",
]
