"""Drives the admission decision of a sidecar: feeds it events and carries out what it decides."""

from __future__ import annotations

import threading
from collections.abc import Callable

from returns.result import Result

from carobspool_core import (
    Admission,
    AdmissionDecision,
    AdmissionRequest,
    AdmissionSettings,
    AdmissionSnapshot,
    Clock,
    Failure,
    Millis,
    RequestId,
)

IDLE_WAIT: Millis = 1_000.0


class Scheduler:
    """Serialises the admission state and acts on its decisions outside of its lock. Since 0.1.

    Args:
        admission: The decision.
        clock: This process's clock.
        start: Starts a request at the upstream; must return at once.
        preempt: Makes a running batch request give way; must return at once.
        refuse: Ends a waiting request with a final failure.
    """

    def __init__(
        self,
        admission: Admission,
        clock: Clock,
        *,
        start: Callable[[RequestId], None],
        preempt: Callable[[RequestId], None],
        refuse: Callable[[RequestId, Failure], None],
    ) -> None:
        self._admission = admission
        self._clock = clock
        self._start = start
        self._preempt = preempt
        self._refuse = refuse
        self._lock = threading.Lock()
        self._wake = threading.Condition(self._lock)
        self._wake_at: Millis | None = None
        self._stopped = False
        self._timer = threading.Thread(target=self._run_timer, name="admission", daemon=True)
        self._timer.start()

    def offer(self, work: AdmissionRequest) -> Result[None, Failure]:
        """Offer a request; a failure is its final refusal."""
        with self._lock:
            offered = self._admission.offer(work)
            decision = self._decide()
        self._act(decision)
        return offered

    def record_first_token(self, identity: RequestId) -> None:
        """Tell that an upstream sent the first piece of an answer."""
        with self._lock:
            self._admission.record_first_token(identity, self._clock.now())

    def record_tokens(self, identity: RequestId, count: int) -> None:
        """Tell that an upstream sent further pieces."""
        with self._lock:
            self._admission.record_tokens(identity, self._clock.now(), count)

    def record_end(self, identity: RequestId) -> None:
        """Tell that a request has left the upstream for good."""
        self._event(lambda now: self._admission.record_end(identity, now))

    def cancel(self, identity: RequestId) -> None:
        """Tell that nobody wants a request any more, wherever it stands."""
        self._event(lambda now: self._admission.cancel(identity, now))

    def requeue_preempted(
        self, identity: RequestId, *, received_tokens: int, kv_kept: bool
    ) -> None:
        """Tell that a request gave way and waits again."""
        self._event(
            lambda now: self._admission.requeue_preempted(identity, now, received_tokens, kv_kept)
        )

    def batch_credits(self) -> int:
        """Return how many more batch requests would be taken now."""
        with self._lock:
            return self._admission.batch_credits(self._clock.now())

    def snapshot(self) -> AdmissionSnapshot:
        """Return the state for load reports."""
        with self._lock:
            return self._admission.snapshot(self._clock.now())

    def reconfigure(self, settings: AdmissionSettings) -> None:
        """Follow other slots or another target; what runs goes on."""
        self._event(lambda now: self._admission.reconfigure(settings))

    def stop(self) -> None:
        """End the timer task."""
        with self._lock:
            self._stopped = True
            self._wake.notify()

    def _event(self, tell: Callable[[Millis], None]) -> None:
        with self._lock:
            tell(self._clock.now())
            decision = self._decide()
        self._act(decision)

    def _decide(self) -> AdmissionDecision:
        decision = self._admission.decide(self._clock.now())
        if decision.wake_at != self._wake_at:
            self._wake_at = decision.wake_at
            self._wake.notify()
        return decision

    def _act(self, decision: AdmissionDecision) -> None:
        for identity, failure in decision.refuse:
            self._refuse(identity, failure)
        for identity in decision.preempt:
            self._preempt(identity)
        for identity in decision.start:
            self._start(identity)

    def _run_timer(self) -> None:
        while True:
            with self._lock:
                if self._stopped:
                    return
                self._wake.wait(self._time_to_wake() / 1000.0)
                if self._stopped:
                    return
                if self._wake_at is None or self._clock.now() < self._wake_at:
                    continue
                self._wake_at = None
                decision = self._decide()
            self._act(decision)

    def _time_to_wake(self) -> Millis:
        if self._wake_at is None:
            return IDLE_WAIT
        return max(0.0, min(IDLE_WAIT, self._wake_at - self._clock.now()))
