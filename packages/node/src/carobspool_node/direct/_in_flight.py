"""What is in flight at upstreams: requests, and batch runs that can be cancelled."""

from __future__ import annotations

from msgspec import Struct, field

from carobspool_core import Millis
from carobspool_core.direct import BatchUrgency, Load, Upstream
from carobspool_node.direct._channel import Cancellation


class BatchRun(Struct, eq=False):
    """A batch item that runs at an upstream and can be cancelled.

    Attributes:
        started: When it was placed.
        urgency: How it stood when it was placed.
        due: When its job is due, by the wall clock; only for an order.
        cancellation: Ends it.
    """

    started: Millis
    urgency: BatchUrgency
    due: float
    cancellation: Cancellation = field(default_factory=Cancellation)


class OwnRequests(Struct, kw_only=True):
    """What this entry has in flight at one upstream.

    Attributes:
        upstream: Where.
        heard: When the upstream has last sent anything, or the first of these was sent.
        online: Requests of callers.
        runs: Batch items.
    """

    upstream: Upstream
    heard: Millis
    online: int = 0
    runs: list[BatchRun] = field(default_factory=list)

    @property
    def total(self) -> int:
        """Online requests and batch runs together."""
        return self.online + len(self.runs)


class Placement(Struct, frozen=True, kw_only=True):
    """An online request at its upstream.

    Attributes:
        upstream: Where it goes.
        started: When it was placed.
        load: What was known to be in flight there.
    """

    upstream: Upstream
    started: Millis
    load: Load

    @property
    def found_free(self) -> bool:
        """Whether a slot seemed free, so that the request's duration holds no wait."""
        return self.load.total < self.upstream.slots
