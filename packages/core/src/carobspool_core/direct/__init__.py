"""Data types and decision logic of entries that call upstreams directly, without a sidecar.

The package uses no network, no threads and no wall clock; callers pass in the time.
"""

from carobspool_core.direct._backlog import Backlog, WaitingGroup, group_waiting
from carobspool_core.direct._batch_order import BatchUrgency, ItemPace, turn_of, urgency_of
from carobspool_core.direct._configuration import (
    CallerLimits,
    Configuration,
    Route,
    RouteKind,
    WeightedService,
)
from carobspool_core.direct._events import EventSplitter, StreamEvent
from carobspool_core.direct._failure_reports import FailureReports
from carobspool_core.direct._fleet_loads import NO_LOAD, PEER_LOAD_TTL, FleetLoads, Load
from carobspool_core.direct._groups import group_count, members_of_group, part_of_group
from carobspool_core.direct._handover import Successor, lets_jobs_go
from carobspool_core.direct._job_codec import (
    job_from_json,
    job_to_json,
    progress_from_json,
    progress_to_json,
    results_from_json,
)
from carobspool_core.direct._job_work import (
    ItemEnd,
    ItemResult,
    ItemWork,
    JobInput,
    JobItem,
    JobProgress,
    JobWork,
    PartialItem,
)
from carobspool_core.direct._leaving import (
    LEAVING_RETRY_AFTER,
    has_time_for_job_call,
    has_time_to_serve,
)
from carobspool_core.direct._liveness import (
    DEAD_AFTER,
    DOUBT_TIME,
    FORGET_AFTER,
    GONE_AFTER,
    SILENT_AFTER,
    Liveness,
    PeerStatus,
)
from carobspool_core.direct._load_pace import LoadPace
from carobspool_core.direct._placement import (
    BATCH_RESERVE,
    choose_batch_upstream,
    choose_upstream,
    excess_of_batch,
    room_for_batch,
    share_of_excess,
)
from carobspool_core.direct._queueing import (
    MeanDuration,
    can_end,
    given_up_at,
    has_returned,
    queue_limit,
    return_after,
    return_after_outage,
)
from carobspool_core.direct._shared_view import SharedView
from carobspool_core.direct._upstream_identity import (
    by_identity,
    by_instance,
    identity_of,
    key_of,
    latest_starts,
)
from carobspool_core.direct._upstreams import LAPSE_GRACE, Upstream, UpstreamList, UpstreamsView
from carobspool_core.direct._waiting_quota import fits_quota
from carobspool_core.direct._watch_duty import DutyCandidate, has_watch_duty

__all__ = [
    "BATCH_RESERVE",
    "DEAD_AFTER",
    "DOUBT_TIME",
    "FORGET_AFTER",
    "GONE_AFTER",
    "LAPSE_GRACE",
    "LEAVING_RETRY_AFTER",
    "NO_LOAD",
    "PEER_LOAD_TTL",
    "SILENT_AFTER",
    "Backlog",
    "BatchUrgency",
    "CallerLimits",
    "Configuration",
    "DutyCandidate",
    "EventSplitter",
    "FailureReports",
    "FleetLoads",
    "ItemEnd",
    "ItemPace",
    "ItemResult",
    "ItemWork",
    "JobInput",
    "JobItem",
    "JobProgress",
    "JobWork",
    "Liveness",
    "Load",
    "LoadPace",
    "MeanDuration",
    "PartialItem",
    "PeerStatus",
    "Route",
    "RouteKind",
    "SharedView",
    "StreamEvent",
    "Successor",
    "Upstream",
    "UpstreamList",
    "UpstreamsView",
    "WaitingGroup",
    "WeightedService",
    "by_identity",
    "by_instance",
    "can_end",
    "choose_batch_upstream",
    "choose_upstream",
    "excess_of_batch",
    "fits_quota",
    "given_up_at",
    "group_count",
    "group_waiting",
    "has_returned",
    "has_time_for_job_call",
    "has_time_to_serve",
    "has_watch_duty",
    "identity_of",
    "job_from_json",
    "job_to_json",
    "key_of",
    "latest_starts",
    "lets_jobs_go",
    "members_of_group",
    "part_of_group",
    "progress_from_json",
    "progress_to_json",
    "queue_limit",
    "results_from_json",
    "return_after",
    "return_after_outage",
    "room_for_batch",
    "share_of_excess",
    "turn_of",
    "urgency_of",
]
