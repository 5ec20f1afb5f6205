"""The sidecar: the only door to its upstream.

Every request to the upstream, online or batch and from whichever entry, passes through here, so
that admission is decided in one place that sees everything without lag.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from absl import logging
from returns.pipeline import is_successful

from carobspool_core import (
    AdmissionRequest,
    Attach,
    Cancel,
    Clock,
    Configuration,
    End,
    Failure,
    Heartbeat,
    Hint,
    HintKind,
    Message,
    Millis,
    Open,
    Outcome,
    Priority,
    RequestId,
    SidecarState,
    broken_upstream,
    unavailable,
)
from carobspool_node.errors import CodecError, LinkClosedError
from carobspool_node.links import EntryLinks, Identity, Link, LinkServer, PeerKeys, listen
from carobspool_node.upstreams._engine_runs import EngineRuns
from carobspool_node.upstreams._load_reports import LoadReports
from carobspool_node.upstreams._runs import Run, RunState, RunTable
from carobspool_node.upstreams._scheduler import Scheduler
from carobspool_node.upstreams._stall_watch import StallWatch
from carobspool_node.upstreams._upstream_health import UpstreamHealth

MAX_OPEN_AGE: Millis = 2_500.0
"""Requests older than this on arrival are refused as not run.

Without it, what the network held up would start when its entries have long given it up or run it
elsewhere. Entries count a sidecar as lost after 3 s, so nothing they still hope for is refused.
"""
RUN_WORKERS = 1_024
"""Bound of the requests at one upstream; a worker exists only once it is needed."""
_LEAVING = unavailable("leaving", "the upstream is leaving", retry_after_ms=0.0)
_NEVER_RECEIVED = unavailable(
    "never_received", "the request never reached the upstream's host", retry_after_ms=0.0
)
_ENTRY_SILENT = unavailable("entry_silent", "the entry of this item is not heard")
_STALLED = unavailable("stale", "the upstream's host stood still", retry_after_ms=0.0)
_FORGOTTEN = broken_upstream(
    "replay_expired", "the answer is no longer kept", outcome=Outcome.UNKNOWN
)
_CANCELLED = Failure(
    status=499,
    type="cancelled_error",
    code="cancelled",
    message="the request was cancelled",
    outcome=Outcome.NOT_RUN,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class SidecarOptions:
    """What a sidecar needs to know.

    Attributes:
        address: IP number to listen on.
        port: Port to listen on; 0 takes a free one.
        upstream: Base URL of the upstream.
        host: The upstream's host name.
        targets: Names of the service behind it, for a plain service.
        slots: Requests that the upstream runs side by side.
        heartbeat: Milliseconds between heartbeats.
    """

    address: str
    port: int
    upstream: str
    host: str
    targets: tuple[str, ...]
    slots: int
    heartbeat: Millis = 1_000.0


class Sidecar:
    """Serves entries over websockets and drives one upstream. Since 0.1."""

    def __init__(
        self,
        options: SidecarOptions,
        identity: Identity,
        keys: PeerKeys,
        clock: Clock,
        make_scheduler: Callable[..., Scheduler],
    ) -> None:
        self._options = options
        self._identity = identity
        self._keys = keys
        self._clock = clock
        self._stalls = StallWatch(clock)
        self._runs = RunTable()
        self._links = EntryLinks(clock)
        self._state = SidecarState.READY
        self._hints = 0
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(RUN_WORKERS, thread_name_prefix="run")
        self._control = ThreadPoolExecutor(16, thread_name_prefix="control")
        self._health = UpstreamHealth(
            options.upstream, clock, on_down=self._upstream_down, on_up=self._push_load
        )
        self._engine = EngineRuns(options.upstream, clock, on_broken=self._health.probe_now)
        self._scheduler = make_scheduler(
            start=self._start, preempt=self._preempt, refuse=self._refuse
        )
        self._engine.attach(self._scheduler)
        self._loads = LoadReports(
            self._links,
            self._scheduler,
            clock,
            state=lambda: self.state,
            targets=options.targets,
            slots=options.slots,
        )
        self._server: LinkServer | None = None
        self.on_configuration: Callable[[Configuration, Link], None] = _ignore_configuration
        self.on_link: Callable[[Link], None] = _ignore_link

    @property
    def port(self) -> int:
        """The port on which it listens."""
        assert self._server is not None
        return self._server.port

    @property
    def state(self) -> SidecarState:
        """Whether it takes new work."""
        if self._state is SidecarState.LEAVING:
            return self._state
        return self._state if self._health.up else SidecarState.UPSTREAM_DOWN

    @property
    def open_runs(self) -> int:
        """Requests that have not ended."""
        return self._runs.open_count()

    def start(self) -> None:
        """Listen and serve in tasks of its own."""
        self._health.start()
        self._stalls.start()
        self._server = listen(
            self._options.address,
            self._options.port,
            name="listen",
            identity=self._identity,
            keys=self._keys,
            clock=self._clock,
            on_entry=self._serve,
        )
        threading.Thread(target=self._beat, name="beat", daemon=True).start()
        threading.Thread(
            target=self._loads.run, args=(self._stopped,), name="load", daemon=True
        ).start()

    def set_targets(self, targets: tuple[str, ...], *, revision: int, epoch: int) -> None:
        """Tell what is ready at the upstream and which configuration is in force."""
        self._loads.set_targets(targets, revision=revision, epoch=epoch)

    def set_slots(self, slots: int) -> None:
        """Tell how many requests the upstream is declared to run side by side."""
        self._loads.set_slots(slots)

    def leave(self) -> None:
        """Refuse new work and tell every entry at once."""
        self._state = SidecarState.LEAVING
        logging.info("event=leaving open=%d", self._runs.open_count())
        self._push_load()
        for run in self._runs.waiting():
            self._end_waiting(run, _LEAVING)

    def return_to_work(self) -> None:
        """Take new work again after `leave`."""
        self._state = SidecarState.READY
        logging.info("event=returned")
        self._push_load()

    def drain(self, limit: Millis) -> int:
        """Wait until all requests have ended; return how many the time limit cut off."""
        until = self._clock.now() + limit
        while self._clock.now() < until:
            count = self._runs.open_count()
            if count == 0:
                return 0
            self._stopped.wait(0.05)
        return self._runs.open_count()

    def stop(self) -> None:
        """Close all connections and end the tasks."""
        self._stopped.set()
        self._stalls.stop()
        self._health.stop()
        self._scheduler.stop()
        self._links.close()
        if self._server is not None:
            self._server.stop()
        self._pool.shutdown(wait=False, cancel_futures=True)
        self._control.shutdown(wait=False, cancel_futures=True)

    def _serve(self, link: Link) -> None:
        self._links.adopt(link)
        self.on_link(link)
        self._push_load()
        try:
            for message in link.messages():
                self._receive(link, message)
        except (CodecError, LinkClosedError) as error:
            logging.warning("event=link_broken entry=%s error=%s", link.peer.node, error)
            link.close()
        self._links.lose(link)

    def _receive(self, link: Link, message: Message) -> None:
        self._links.hear(link)
        if isinstance(message, Open):
            self._open(link, message)
            return
        if isinstance(message, Cancel):
            self._cancel(message.id)
            return
        if isinstance(message, Attach):
            self._attach(message)
            return
        if isinstance(message, Heartbeat):
            link.age(message.sent, self._clock.now())
            return
        if isinstance(message, Configuration):
            self.on_configuration(message, link)

    def _open(self, link: Link, message: Open) -> None:
        received = self._stalls.now()
        run = Run(message, self._links.sender(message.id.incarnation), received)
        if not self._links.while_current(link, lambda: self._runs.add(run)):
            return
        refusal = self._refusal(link, message, received)
        if refusal is not None:
            run.end(refusal, self._clock.now())
            return
        offered = self._scheduler.offer(self._work(message))
        if not is_successful(offered):
            run.end(offered.failure(), self._clock.now())

    def _refusal(self, link: Link, message: Open, received: Millis) -> Failure | None:
        age = link.age(message.sent, received)
        # An entry sends to a sidecar that stands still until it counts it as lost, some four
        # seconds later. What it sent last would be young enough at the end of a stall, while its
        # entry has given it up and runs it elsewhere.
        if age > MAX_OPEN_AGE or received - age < self._stalls.woke_at:
            logging.info("event=stale_refused id=%s age_ms=%.0f", message.id, age)
            return unavailable(
                "stale", f"the request reached the upstream's host {age:.0f} ms late"
            )
        if self._state is SidecarState.LEAVING:
            return _LEAVING
        if not self._health.up:
            return unavailable("upstream_down", "the upstream is down", retry_after_ms=1000.0)
        return None

    def _work(self, message: Open) -> AdmissionRequest:
        deadline = self._clock.now() + message.timeout
        return AdmissionRequest(
            id=message.id,
            priority=message.priority,
            caller=message.caller,
            weight=message.weight,
            prompt_tokens=message.prompt_tokens,
            cost_tokens=message.cost_tokens,
            deadline=deadline,
            fingerprint=message.fingerprint,
            suspect=message.suspect,
        )

    def _attach(self, message: Attach) -> None:
        run = self._runs.get(message.id)
        if run is not None:
            run.replay(message.sequence)
            return
        # No request of an older connection can be added any more, so one that is unknown here
        # never reached the upstream.
        failure = _NEVER_RECEIVED
        if self._runs.forgotten(message.id):
            failure = _FORGOTTEN
        self._links.sender(message.id.incarnation)(End(id=message.id, count=0, failure=failure))

    def _cancel(self, identity: RequestId) -> None:
        run = self._runs.get(identity)
        if run is None or run.state is RunState.ENDED:
            return
        if self._end_waiting(run, _CANCELLED):
            return
        self._control.submit(self._engine.cancel, run)

    def _start(self, identity: RequestId) -> None:
        run = self._runs.get(identity)
        # Taken before the checks: a stall after them makes the start itself too old to be sent.
        now = self._stalls.now()
        if run is not None and self._is_abandoned(run):
            run.end_waiting(_ENTRY_SILENT, now)
        if run is not None and run.waits_since < self._stalls.woke_at:
            logging.info("event=stale_refused id=%s waits_ms=%.0f", identity, now - run.waits_since)
            run.end_waiting(_STALLED, now)
        if run is None or not run.begin(now):
            self._engine.forget(identity)
            self._scheduler.record_end(identity)
            return
        self._pool.submit(self._engine.run, run)

    def _is_abandoned(self, run: Run) -> bool:
        batch = run.open.priority is Priority.BATCH
        return batch and not self._links.is_heard(run.open.id.incarnation)

    def _preempt(self, identity: RequestId) -> None:
        run = self._runs.get(identity)
        if run is not None:
            self._control.submit(self._engine.preempt, run)

    def _refuse(self, identity: RequestId, failure: Failure) -> None:
        run = self._runs.get(identity)
        if run is not None and run.end_waiting(failure, self._clock.now()):
            self._engine.forget(identity)

    def _end_waiting(self, run: Run, failure: Failure) -> bool:
        if not run.end_waiting(failure, self._clock.now()):
            return False
        self._scheduler.cancel(run.open.id)
        self._engine.forget(run.open.id)
        return True

    def _upstream_down(self) -> None:
        # All that was in flight is suspected together; the entries find what two crashes share.
        running = [run.open.fingerprint for run in self._runs.running()]
        self._hints += 1
        hint = Hint(
            kind=HintKind.SUSPECT,
            subject=self._options.host,
            origin=self._identity.incarnation,
            sequence=self._hints,
            values=dict.fromkeys(running, "in_flight"),
        )
        self._links.broadcast(hint)
        self._push_load()

    def _push_load(self) -> None:
        self._loads.push()

    def _beat(self) -> None:
        interval = self._options.heartbeat
        while not self._stopped.wait(interval / 1000.0):
            now = self._clock.now()
            self._links.broadcast(Heartbeat(sent=now))
            self._runs.expire(now)
            self._cancel_orphans()

    def _cancel_orphans(self) -> None:
        for incarnation in self._links.forget_lost():
            for run in self._runs.of_incarnation(incarnation):
                self._cancel(run.open.id)


def _ignore_configuration(message: Configuration, link: Link) -> None:
    """Stand in until the configuration follower is attached."""


def _ignore_link(link: Link) -> None:
    """Stand in until the configuration follower is attached."""
