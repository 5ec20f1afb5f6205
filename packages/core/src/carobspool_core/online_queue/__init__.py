"""Decisions about online requests that wait at the entries for a slot.

This package decides only: it uses no network, no threads and no clock. Random numbers and the time
are passed in.
"""

from carobspool_core.online_queue._entry_queue import (
    MAX_WAITING,
    EntryQueue,
    QueuedRequest,
    WaitingClass,
)
from carobspool_core.online_queue._fleet_waiting import (
    REPORT_TTL,
    FleetReports,
    FleetWaiting,
    WaitingByService,
)
from carobspool_core.online_queue._free_slots import HINT_AGE, HOLD_TIME, Competition, FreeSlots
from carobspool_core.online_queue._handover import choose_receiver
from carobspool_core.online_queue._handovers import HANDOVER_TIME, Handover, Handovers
from carobspool_core.online_queue._queue_report import NOTHING_QUEUED, QueueReport
from carobspool_core.online_queue._rules import (
    DEFAULT_COST,
    MAX_RANK,
    cost_of,
    further_places,
    queue_in_force,
    rank_of,
)
from carobspool_core.online_queue._wait_estimate import (
    MIN_RETRY_AFTER,
    ArrivalRates,
    ReturnTimes,
    RunTimes,
    predicted_wait,
    rate_left,
    retry_after,
)

__all__ = [
    "DEFAULT_COST",
    "HANDOVER_TIME",
    "HOLD_TIME",
    "MAX_RANK",
    "MAX_WAITING",
    "MIN_RETRY_AFTER",
    "NOTHING_QUEUED",
    "REPORT_TTL",
    "HINT_AGE",
    "ArrivalRates",
    "Competition",
    "EntryQueue",
    "FleetReports",
    "FleetWaiting",
    "FreeSlots",
    "Handover",
    "Handovers",
    "QueueReport",
    "QueuedRequest",
    "ReturnTimes",
    "RunTimes",
    "WaitingByService",
    "WaitingClass",
    "choose_receiver",
    "cost_of",
    "further_places",
    "predicted_wait",
    "rate_left",
    "queue_in_force",
    "rank_of",
    "retry_after",
]
