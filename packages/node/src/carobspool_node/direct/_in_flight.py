"""Work in flight at upstreams: online requests, and batch runs that can be cancelled."""

from __future__ import annotations

from msgspec import Struct, field

from carobspool_core import Millis
from carobspool_core.direct import BatchUrgency, Load, Upstream
from carobspool_core.upstream_pace import Forecast
from carobspool_node.direct._channel import Cancellation


class BatchRun(Struct, eq=False):
    """A batch item that runs at an upstream and can be cancelled.

    Attributes:
        started: When the item was placed.
        urgency: Urgency class of the item when it was placed.
        due: When the job is due, by the wall clock; used only to order runs.
        cancellation: Cancels the run.
        forecast: What was expected of the run, ``None`` while slots alone decide.
    """

    started: Millis
    urgency: BatchUrgency
    due: float
    cancellation: Cancellation = field(default_factory=Cancellation)
    forecast: Forecast | None = None


class UpstreamInFlight(Struct, kw_only=True):
    """Work of this entry in flight at one upstream.

    Attributes:
        upstream: The upstream.
        last_activity_at: When the upstream last sent anything, or when the first of these requests
            was sent.
        online: Number of online requests.
        runs: Batch runs.
    """

    upstream: Upstream
    last_activity_at: Millis
    online: int = 0
    runs: list[BatchRun] = field(default_factory=list)

    @property
    def total(self) -> int:
        """Online requests and batch runs together."""
        return self.online + len(self.runs)


class Placement(Struct, frozen=True, kw_only=True):
    """An online request at its upstream.

    Attributes:
        upstream: The chosen upstream.
        started: When the request was placed.
        load: Load that was known to be in flight at the upstream before.
        forecast: What was expected of the request, ``None`` while slots alone decide.
    """

    upstream: Upstream
    started: Millis
    load: Load
    forecast: Forecast | None = None

    @property
    def had_free_slot(self) -> bool:
        """Whether a slot seemed free, so that the request's duration includes no queueing."""
        return self.load.total < self.upstream.slots
