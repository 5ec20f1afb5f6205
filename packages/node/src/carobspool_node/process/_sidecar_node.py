"""The sidecar process: composition, configuration, graceful shutdown."""

from __future__ import annotations

import secrets
import threading
from collections.abc import Callable

from absl import logging
from returns.pipeline import is_successful

from carobspool_core import (
    AdmissionMode,
    Configuration,
    DesiredState,
    Failure,
    RequestId,
    UpstreamKind,
    boottime_clock,
    declared_engine,
    make_admission,
)
from carobspool_core import AdmissionSettings as DecisionSettings
from carobspool_node.configuration import (
    ConfigurationFollower,
    announcement,
    exchange,
    make_follower,
)
from carobspool_node.links import Identity, Link, load_peer_keys, send_quietly
from carobspool_node.process._metrics import Metrics, make_metrics
from carobspool_node.process._shutdown import ShutdownRequest, end_process
from carobspool_node.roles import SidecarSettings
from carobspool_node.settings import set_up_logs
from carobspool_node.store import http_object_store
from carobspool_node.upstreams import (
    Reconciler,
    Scheduler,
    Sidecar,
    SidecarOptions,
    http_engine_orders,
    make_reconciler,
    run_reconciler,
)

DEFAULT_SLOTS = 32
MEASURE_SECONDS = 1.0
RELEASE_SECONDS = 3.0
"""Longest wait at the end for the right to give orders to be given back."""


class SidecarNode:
    """One sidecar process. Since 0.1."""

    def __init__(self, settings: SidecarSettings) -> None:
        self._settings = settings
        self._clock = boottime_clock()
        self._identity = Identity(
            node=settings.node,
            incarnation=secrets.token_hex(8),
            role="sidecar",
            failure_domain=settings.failure_domain,
        )
        self._metrics = make_metrics(settings.statsd, role="sidecar", node=settings.node)
        self._store = http_object_store(settings.object_api)
        self._follower: ConfigurationFollower = make_follower(self._store, self._clock)
        self._admission = make_admission(_decision_settings(settings, None), self._clock)
        self._stopping = threading.Event()
        self._changed = threading.Event()
        self._reconciler = self._make_reconciler()
        self._reconciling = threading.Thread(target=self._reconcile, name="reconciler", daemon=True)
        self._sidecar = Sidecar(
            SidecarOptions(
                address=settings.listen.address,
                port=settings.listen.port,
                upstream=settings.upstream,
                host=settings.host,
                targets=(),
                slots=DEFAULT_SLOTS,
                heartbeat=settings.heartbeat,
            ),
            self._identity,
            load_peer_keys(settings.peer_keys),
            self._clock,
            self._make_scheduler,
        )

    @property
    def port(self) -> int:
        """The port on which entries connect."""
        return self._sidecar.port

    @property
    def metrics(self) -> Metrics:
        """Where measurements go."""
        return self._metrics

    def start(self) -> None:
        """Serve in tasks of its own."""
        self._follower.on_change(self._take_state)
        self._sidecar.on_configuration = self._exchange
        self._sidecar.on_link = self._greet
        self._sidecar.start()
        if self._reconciler is not None:
            self._reconciling.start()

    def stop(self, shutdown: ShutdownRequest | None = None) -> None:
        """Refuse new work, finish what is in progress, then close."""
        self._sidecar.leave()
        cut = self._sidecar.drain(self._settings.shutdown_limit)
        if cut:
            logging.error("event=shutdown_cut requests=%d", cut)
        self._stopping.set()
        self._changed.set()
        if self._reconciler is not None:
            # The right to give orders is given back at the end, so that a successor need not wait.
            self._reconciling.join(RELEASE_SECONDS)
        self._sidecar.stop()
        logging.info("event=stopped")

    def _measure(self) -> None:
        while not self._stopping.wait(MEASURE_SECONDS):
            found = self._scheduler.snapshot()
            gauges = {
                "running.online": found.running_online,
                "running.batch": found.running_batch,
                "queued.online": found.queued_online,
                "queued.batch": found.queued_batch,
                "parked": found.parked,
                "width": found.batch_limit,
                "preemptions": found.preemptions,
                "first_token_ms": found.first_token_ewma,
                "between_tokens_ms": found.between_tokens_ewma,
                "config.revision": self._follower.revision,
            }
            for name, value in gauges.items():
                self._metrics.gauge(name, value)

    def _make_scheduler(
        self,
        *,
        start: Callable[[RequestId], None],
        preempt: Callable[[RequestId], None],
        refuse: Callable[[RequestId, Failure], None],
    ) -> Scheduler:
        self._scheduler = Scheduler(
            self._admission, self._clock, start=start, preempt=preempt, refuse=refuse
        )
        return self._scheduler

    def _greet(self, link: Link) -> None:
        send_quietly(link, announcement(self._follower))

    def _exchange(self, message: Configuration, link: Link) -> None:
        exchange(self._follower, message, link)

    def _take_state(self, state: DesiredState) -> None:
        wanted = _decision_settings(self._settings, state)
        self._scheduler.reconfigure(wanted)
        self._sidecar.set_slots(wanted.slots)
        declared = state.upstreams.get(self._settings.host)
        if declared is None:
            logging.warning("event=not_declared host=%s", self._settings.host)
            self._sidecar.set_targets((), revision=state.revision, epoch=0)
            return
        self._changed.set()
        if declared.kind is UpstreamKind.SERVICE and declared.service is not None:
            self._sidecar.set_targets((declared.service,), revision=state.revision, epoch=0)
            return
        self._publish()

    def _make_reconciler(self) -> Reconciler | None:
        if self._settings.kind is UpstreamKind.SERVICE:
            return None
        return make_reconciler(
            store=self._store,
            engine=http_engine_orders(self._settings.upstream, key=self._settings.order_key),
            clock=self._clock,
            host=self._settings.host,
            node=self._settings.node,
            incarnation=self._identity.incarnation,
            settings=self._settings.orders,
            declared=lambda: declared_engine(self._follower.state, self._settings.host),
            refresh=lambda: is_successful(self._follower.refresh()),
        )

    def _reconcile(self) -> None:
        assert self._reconciler is not None
        run_reconciler(
            self._reconciler,
            self._stopping,
            self._changed,
            self._settings.orders.check,
            after_step=self._publish,
        )

    def _publish(self) -> None:
        """Tell the entries which declared models the engine has ready."""
        assert self._reconciler is not None
        status = self._reconciler.status
        self._sidecar.set_targets(
            status.ready_models, revision=self._follower.revision, epoch=status.epoch
        )


def run_sidecar(settings: SidecarSettings) -> int:
    """Run a sidecar until it is told to stop; return the process exit code."""
    set_up_logs(settings.node, settings.log_level)
    shutdown = ShutdownRequest()
    node = SidecarNode(settings)
    node.start()
    logging.info("event=ready role=sidecar host=%s port=%d", settings.host, node.port)
    print(f"ready port={node.port}", flush=True)
    shutdown.wait()
    node.stop(shutdown)
    end_process(0)


def _decision_settings(settings: SidecarSettings, state: DesiredState | None) -> DecisionSettings:
    slots = DEFAULT_SLOTS
    slowdown = DesiredState().online_slowdown
    if state is not None:
        slowdown = state.online_slowdown
        declared = state.upstreams.get(settings.host)
        slots = declared.slots if declared is not None else slots
    return DecisionSettings(
        mode=AdmissionMode(settings.admission.mode.value),
        batch_cap=settings.admission.cap,
        slots=slots,
        slowdown=slowdown,
        between_tokens_allowance=slowdown.between_tokens_allowance,
    )
