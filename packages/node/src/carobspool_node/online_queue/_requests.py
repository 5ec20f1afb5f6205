"""A request that waits, the thread that waits for it, and the refusal that may end the wait."""

from __future__ import annotations

import os
import select
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from msgspec import Struct

from carobspool_core import Millis
from carobspool_core.direct import Upstream


class Placed(Protocol):
    """A request that is counted at an upstream."""

    @property
    def upstream(self) -> Upstream:
        """The upstream."""


P = TypeVar("P", bound=Placed)


class CallerWatch(Protocol):
    """Detects that the caller of a request has disconnected."""

    def fileno(self) -> int | None:
        """Return the descriptor to poll, ``None`` if a close cannot be detected."""

    def check(self, flags: int) -> None:
        """Raise an exception if ``flags`` of poll show that the caller has disconnected."""


class QueueRefusedError(Exception):
    """Raised when a request is refused without having run.

    Attributes:
        reason: Message for the caller.
        status: HTTP status of the answer.
        retry_after: Time after which the caller may retry, ``None`` if a retry is useless.
        has_waited: Whether the request waited before it was refused.
    """

    def __init__(self, reason: str, *, status: int = 503, retry_after: Millis | None) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status
        self.retry_after = retry_after
        self.has_waited = False


class WaitingRequest(Struct, Generic[P], frozen=True, kw_only=True, eq=False):
    """An online request that needs a slot of an upstream.

    Attributes:
        request_id: The caller's id of the request, for the log.
        service: The service that it needs.
        organisation: Name of the organisation that sent it, empty if there is none.
        cost: Its cost for fairness.
        body_bytes: Size of its body.
        arrived: When it arrived.
        target_latency: Time from its arrival within which it is on time.
        deadline: When the caller must have its answer.
        is_retry: Whether the caller has returned after a refusal.
        is_continued: Whether the request was tried at an upstream before, or may run at certain
            upstreams only. It is placed when there is room, out of order.
        may_have_run: Whether an upstream may have run it; it is then never refused.
        watch: Detects that the caller has disconnected.
        place: Counts the request at an upstream with room, and returns the placement if any. The
            argument names the upstreams that may be chosen by identity, ``None`` for all.
        release: Gives up a placement that is not used.
        rank: Returns the rank by the current configuration.
        refusal: Returns why the request cannot wait any longer, ``None`` if it can.
        refusal_by_configuration: Returns why the current configuration refuses the request.
    """

    request_id: str
    service: str
    organisation: str
    cost: float
    body_bytes: int
    arrived: Millis
    target_latency: Millis
    deadline: Millis
    is_retry: bool
    is_continued: bool
    may_have_run: bool
    watch: CallerWatch
    place: Callable[[frozenset[str] | None], P | None]
    release: Callable[[P], None]
    rank: Callable[[], int]
    refusal: Callable[[], QueueRefusedError | None]
    refusal_by_configuration: Callable[[], QueueRefusedError | None]


class Ticket(Generic[P]):
    """A waiting request, and the outcome of its wait.

    Attributes:
        number: Number of the request, unique within the process.
        request: The request.
        queued_at: When the wait began.
        rank: Its rank.
        predicted: The predicted wait.
        placement: Where it was placed, ``None`` until then.
        refused: Why it was refused, ``None`` if it was not.
        ended: Whether the wait has ended.
    """

    __slots__ = (
        "_event",
        "ended",
        "number",
        "placement",
        "predicted",
        "queued_at",
        "rank",
        "refused",
        "request",
    )

    def __init__(self, number: int, request: WaitingRequest[P], rank: int, now: Millis) -> None:
        self.number = number
        self.request = request
        self.queued_at = now
        self.rank = rank
        self.predicted: Millis = 0.0
        self.placement: P | None = None
        self.refused: QueueRefusedError | None = None
        self.ended = False
        self._event: int | None = None

    def prepare_wait(self) -> None:
        """Prepare to be woken; call this before another thread can end the wait."""
        self._event = os.eventfd(0, os.EFD_CLOEXEC | os.EFD_NONBLOCK)

    def end(self, *, placement: P | None = None, refused: QueueRefusedError | None = None) -> None:
        """Set the outcome and wake the thread that waits."""
        self.placement = placement
        self.refused = refused
        if refused is not None:
            refused.has_waited = True
        if self._event is not None:
            os.eventfd_write(self._event, 1)
        # Last, since the thread that waits closes the event as soon as the wait has ended.
        self.ended = True

    def wait(self, timeout: Millis) -> None:
        """Wait for the outcome; raise the watch's exception if the caller disconnects.

        The caller's socket is polled together with the event, so the disconnection is noticed at
        once and a wake-up costs one write.
        """
        assert self._event is not None
        poller = select.poll()
        poller.register(self._event, select.POLLIN)
        watched = self.request.watch.fileno()
        if watched is not None:
            poller.register(watched, select.POLLIN)
        for descriptor, flags in poller.poll(max(0.0, timeout)):
            if descriptor == watched and not self.ended:
                self.request.watch.check(flags)

    def close(self) -> None:
        """Release the event; no other thread may end the wait afterwards."""
        if self._event is not None:
            os.close(self._event)
            self._event = None
