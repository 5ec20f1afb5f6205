"""Sending batch items to upstreams; no thread waits for an item.

One item is one attempt here. Whether it is tried again, and when, is decided by the job's runner,
which keeps the count of its attempts.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace

from absl import logging
from returns.pipeline import is_successful

from carobspool_core import (
    BatchItem,
    Clock,
    DesiredState,
    Failure,
    ItemOutcome,
    Millis,
    Open,
    Outcome,
    Priority,
    RouteRequest,
    unavailable,
)
from carobspool_node.links import Fleet, SidecarPeer
from carobspool_node.requests import (
    NO_ID,
    Attempt,
    CompletionBody,
    Isolation,
    completion_fingerprint,
    estimate_tokens,
    is_clear,
    parse_completion,
    prefix_key,
)

ITEM_TIMEOUT: Millis = 3_600_000.0
"""An item may give way many times; its job's due time bounds it, not this."""
SETTLE_WORKERS = 8

OnDone = Callable[[ItemOutcome], None]


class ItemRun:
    """One attempt of an item that can be cancelled. Since 0.1."""

    def __init__(self, on_done: OnDone) -> None:
        self._on_done = on_done
        self._lock = threading.Lock()
        self._done = False
        self._peer: SidecarPeer | None = None
        self._attempt: Attempt | None = None
        self._cancelled = False

    def cancel(self) -> None:
        """Stop the attempt at its upstream; its end is told as cancelled."""
        with self._lock:
            self._cancelled = True
            peer, attempt = self._peer, self._attempt
        if peer is not None and attempt is not None:
            attempt.fail(_cancelled())
            peer.close_attempt(attempt)

    def sent(self, peer: SidecarPeer, attempt: Attempt) -> None:
        """Take note of the attempt under way."""
        with self._lock:
            self._peer = peer
            self._attempt = attempt
            cancelled = self._cancelled
        if cancelled:
            self.cancel()

    def done(self, outcome: ItemOutcome) -> None:
        """Tell the end, once."""
        with self._lock:
            if self._done:
                return
            self._done = True
        self._on_done(outcome)


class BatchForwarder:
    """Runs batch items through the sidecars. Since 0.1."""

    def __init__(
        self,
        fleet: Fleet,
        isolation: Isolation,
        clock: Clock,
        state: Callable[[], DesiredState],
        *,
        failure_domain: str,
    ) -> None:
        self._fleet = fleet
        self._isolation = isolation
        self._clock = clock
        self._state = state
        self._failure_domain = failure_domain
        self._settlers = ThreadPoolExecutor(SETTLE_WORKERS, thread_name_prefix="settle")

    def credits(self) -> int:
        """Return how many items the sidecars would take now."""
        return sum(self._fleet.credits(name) for name in self._state().models)

    def run(self, item: BatchItem, on_done: OnDone) -> ItemRun:
        """Send an item; returns at once, and tells the end exactly once from another thread."""
        run = ItemRun(on_done)
        self._settlers.submit(self._send, item, run)
        return run

    def stop(self) -> None:
        """Let the settling tasks end."""
        self._settlers.shutdown(wait=False)

    def _send(self, item: BatchItem, run: ItemRun) -> None:
        try:
            failure = self._try_send(item, run)
        except Exception:
            logging.exception("event=item_failed job=%s custom_id_index=%d", item.job, item.index)
            failure = unavailable("internal", "the entry failed to send this item")
        if failure is not None:
            run.done(ItemOutcome(failure=failure))

    def _try_send(self, item: BatchItem, run: ItemRun) -> Failure | None:
        parsed = parse_completion(item.path, item.body)
        if not is_successful(parsed):
            return parsed.failure()
        completion = parsed.unwrap()
        checked = self._check_suspect(self._message(item, completion))
        if isinstance(checked, Failure):
            return checked
        message = checked
        choice = self._fleet.pick(
            RouteRequest(
                target=message.target,
                cost_tokens=message.cost_tokens,
                prefix_key=prefix_key(item.organisation, completion),
                failure_domain=self._failure_domain,
                priority=Priority.BATCH,
                suspect=message.suspect,
            )
        )
        if not is_successful(choice):
            self._isolation.close_run(message, whole=False)
            return choice.failure()
        return self._open(choice.unwrap().host, message, run)

    def _open(self, host: str, message: Open, run: ItemRun) -> Failure | None:
        peer = self._fleet.peer(host)
        if peer is None:
            self._isolation.close_run(message, whole=False)
            return unavailable("not_connected", f"no connection to {host}")
        message = replace(message, id=self._fleet.new_id())
        self._fleet.started(host, message)
        holder: list[Attempt] = []
        opened = threading.Event()

        def ended() -> None:
            self._settlers.submit(self._settle, host, message, holder, opened, run)

        attempt = peer.open(message, on_end=ended)
        if attempt is None:
            self._fleet.ended(host, message.id, ok=False)
            self._isolation.close_run(message, whole=False)
            return unavailable("not_connected", f"no connection to {host}")
        holder.append(attempt)
        opened.set()
        run.sent(peer, attempt)
        return None

    def _settle(
        self,
        host: str,
        message: Open,
        holder: list[Attempt],
        opened: threading.Event,
        run: ItemRun,
    ) -> None:
        # The end can be told before `open` has returned the attempt.
        opened.wait()
        attempt = holder[0]
        progress = attempt.wait(0.0)
        peer = self._fleet.peer(host)
        if peer is not None:
            peer.close_attempt(attempt)
        failure = attempt.failure
        ok = failure is None or failure.outcome is Outcome.NOT_RUN
        self._fleet.ended(host, message.id, ok=ok)
        self._isolation.close_run(message, whole=failure is None)
        request_id = f"{message.id.incarnation}-{message.id.counter}"
        if failure is not None or progress is None or progress.head is None:
            run.done(ItemOutcome(request_id=request_id, failure=failure or _cancelled()))
            return
        run.done(
            ItemOutcome(status=progress.head.status, body=progress.data, request_id=request_id)
        )

    def _message(self, item: BatchItem, completion: CompletionBody) -> Open:
        prompt_tokens, cost_tokens = estimate_tokens(completion, item.body)
        organisation = self._state().organisations.get(item.organisation)
        return Open(
            id=NO_ID,
            priority=Priority.BATCH,
            target=item.model,
            method=item.method,
            path=item.path,
            headers={"Content-Type": "application/json"},
            body=item.body,
            caller=item.organisation,
            organisation=item.organisation,
            weight=organisation.weight if organisation is not None else 1.0,
            cost_tokens=cost_tokens,
            prompt_tokens=prompt_tokens,
            timeout=ITEM_TIMEOUT,
            idempotent=item.idempotent,
            stream=False,
            fingerprint=completion_fingerprint(item.organisation, completion),
            suspect=False,
            sent=0.0,
        )

    def _check_suspect(self, message: Open) -> Open | Failure:
        verdict = self._isolation.check(message.fingerprint)
        if verdict.failure is not None:
            return verdict.failure
        if is_clear(verdict):
            return message
        claimed = self._isolation.claim(message.fingerprint, ITEM_TIMEOUT)
        if not is_successful(claimed):
            return claimed.failure()
        return replace(message, suspect=True)


def _cancelled() -> Failure:
    return Failure(
        status=499,
        type="cancelled_error",
        code="cancelled",
        message="the item was cancelled",
        outcome=Outcome.UNKNOWN,
    )
