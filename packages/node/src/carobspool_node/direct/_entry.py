"""The direct entry: construction, start, periodic work and shutdown."""

from __future__ import annotations

import threading
import uuid
from collections.abc import Hashable, Mapping, Sequence
from pathlib import Path

from absl import logging

from carobspool_core import SuspectUpdate, boottime_clock
from carobspool_core.direct import (
    CallerLimits,
    Load,
    Upstream,
)
from carobspool_core.organisations import OrganisationDirectory
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._callers import CallerApi
from carobspool_node.direct._crash_isolation import CrashIsolation
from carobspool_node.direct._declared import DeclaredState
from carobspool_node.direct._deployment import Deployment
from carobspool_node.direct._exit import EntryExit
from carobspool_node.direct._forward import Forwarder
from carobspool_node.direct._group_assignment import GroupAssignment
from carobspool_node.direct._hint_receiver import PeerCallbacks
from carobspool_node.direct._in_flight import Placement
from carobspool_node.direct._item_run import ItemRunner
from carobspool_node.direct._job_adoption import JobAdoption
from carobspool_node.direct._job_catalog import JobCatalog
from carobspool_node.direct._job_records import JobRecords
from carobspool_node.direct._job_recovery import JobRecovery
from carobspool_node.direct._job_retention import JobRetention
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._jobs import Jobs
from carobspool_node.direct._listener import Listener
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._membership import Membership
from carobspool_node.direct._messages import CallerRequest
from carobspool_node.direct._metrics_server import serve_metrics
from carobspool_node.direct._peer import AnnouncementContent, Peer
from carobspool_node.direct._peer_api import PeerApi
from carobspool_node.direct._peer_calls import PEER_HEADERS, PeerCaller
from carobspool_node.direct._peers import HintSources, Peers
from carobspool_node.direct._quarantine_store import QuarantineStore
from carobspool_node.direct._queued_requests import QueuedRequests
from carobspool_node.direct._reload import SettingsReload
from carobspool_node.direct._settings import DirectSettings
from carobspool_node.direct._stop_signal import StopSignal
from carobspool_node.direct._store_relay import RelayedStore
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.direct._upstream_calls import UpstreamConnections
from carobspool_node.direct._view_exchange import ViewExchange
from carobspool_node.online_queue import OnlineQueue
from carobspool_node.organisations import (
    ANNOUNCEMENT_RESEND_TIME,
    CallerAuthenticator,
    RequestQuota,
)
from carobspool_node.upstream_pace import UpstreamPaces

CALLER_WORKERS = 400
PEER_WORKERS = 100
STACK_BYTES = 256 * 1024
"""Stack size of a thread. Each connection has a thread; the default would reserve 8 MB for each."""
CLEANUP_INTERVAL_S = 1.0
POLL_INTERVAL_S = 2.0
"""Time between two full reads of the watched objects. A watch can deliver no changes and still look
healthy; the store may then drop that part of its history, and the next watch resumes after the gap.
One entry reads for all entries, and its hints show the others that they have missed a change, so
that a change is known within some three seconds at the price of one call a second."""
POLL_DUTY = "poll"
RETENTION_DUTY = "retention"


class DirectEntry:
    """An entry that calls upstreams directly."""

    def __init__(
        self, settings: DirectSettings, deployment: Deployment, reload: SettingsReload
    ) -> None:
        self._settings = settings
        self._reload = reload
        self._deployment = deployment
        self._clock = boottime_clock()
        self._telemetry = Telemetry()
        self._incarnation = uuid.uuid4().hex[:8]
        self._stop = StopSignal()
        self._leaving = threading.Event()
        self._paces = self._make_paces()
        self._loads = LoadTable(
            self._clock,
            settings.failure_domain,
            name=settings.node,
            prefers_own_domain=lambda: self._peers.relays_in_force,
            paces=self._paces,
        )
        self._connections = UpstreamConnections(self._clock)
        self._peer_caller = PeerCaller(self._clock)
        self._quota = RequestQuota(self._clock, known_peers=lambda: self._peers.known_peers())
        self._peers = Peers(
            self._clock,
            self._telemetry,
            name=settings.node,
            incarnation=self._incarnation,
            address=(settings.address, settings.peer_port),
            own=HintSources(
                loads=self._loads.own_loads,
                backlog=lambda: self._runner.backlog(),
                urgent=self._urgent_state,
                describe=self._own_hint,
                upstream_sharers=lambda: self._group_assignment.group_members(),
                identities_by_key=lambda: self._declared.identities_by_key(),
                has_unsent_counts=lambda: self._quota.has_unsent_counts,
                claim_unsent_counts=lambda is_heartbeat: self._quota.claim_unsent_counts(
                    is_heartbeat=is_heartbeat
                ),
                needs_direct_hints=lambda: self._quota.needs_direct_hints,
                is_leaving=self._leaving.is_set,
                queue=lambda: self._queue.reports.report(),
            ),
            failure_domain=settings.failure_domain,
            host_capacity=None if settings.hint_relays == "off" else settings.host_capacity,
        )
        self._store = RelayedStore(
            deployment.open_store(settings, self._clock),
            self._peer_caller,
            self._clock,
            self._telemetry,
            lambda: self._peers,
        )
        self._quarantines = QuarantineStore(
            self._clock,
            self._store,
            self._telemetry,
            merge=lambda suspects: self._isolation.merge(suspects),
        )
        self._isolation = CrashIsolation(
            self._clock, self._telemetry, tell=self._tell_suspects, save=self._quarantines.save
        )
        self._declared = DeclaredState(
            self._clock,
            self._store,
            deployment,
            self._telemetry,
            on_duty=lambda: self._membership.follows_store(),
            on_configuration=self._on_configuration,
            on_restarted=self._on_upstream_restarted,
        )
        self._membership = Membership(
            self._clock,
            self._store,
            self._peers,
            self._telemetry,
            node=settings.node,
            address=(settings.address, settings.peer_port),
            leaving=self._leaving,
            store_ok=lambda: self._store.last_call_answered,
        )
        self._group_assignment = GroupAssignment(
            self._clock,
            settings.node,
            members=self._peers.members,
            usable=self._declared.usable,
            largest_service=self._declared.largest_service,
        )
        self._queue: OnlineQueue[Placement] = OnlineQueue(
            self._clock,
            self._telemetry,
            name=settings.node,
            room=lambda service: self._queued.room(service),
            sharers=self._group_assignment.group_members,
            entries=self._count_sharers,
            on_change=self._peers.schedule_load_hint,
        )
        self._queued = QueuedRequests(
            self._clock,
            deployment.headers,
            self._loads,
            self._queue,
            self._group_assignment.split_upstreams,
            self._quota,
            setting=settings.online_queue,
        )
        items = ItemRunner(
            self._clock, deployment.headers, self._loads, self._connections, self._isolation
        )
        self._runner = JobRunner(
            self._clock,
            self._loads,
            items,
            self._telemetry,
            configuration=lambda: self._declared.configuration,
            usable=self._group_assignment.near,
            ownership_uncertain_until=lambda: self._peers.ownership_uncertain_until,
        )
        bad_records = BadRecords(self._clock, self._telemetry, "job_record", "key")
        records = JobRecords(self._store, settings.value_limit, bad_records)
        catalog = JobCatalog(records)
        self._retention = JobRetention(
            self._clock,
            records,
            settings.job_retention,
            has_duty=lambda: self._membership.has_duty(RETENTION_DUTY),
        )
        self._exit = EntryExit(
            self._clock,
            self._runner,
            self._peers,
            self._telemetry,
            limit=settings.shutdown_limit,
            before_close=self._queue.close,
        )
        adoption = JobAdoption(
            self._clock,
            catalog,
            self._runner,
            self._peers,
            self._telemetry,
            are_peers_known=lambda: self._recovery.are_peers_known(),
        )
        self._recovery = JobRecovery(
            self._clock,
            adoption,
            self._runner,
            self._peers,
            node=settings.node,
            leaving=self._leaving,
            has_duty=self._membership.has_duty,
        )
        self._jobs = Jobs(
            self._clock, catalog, self._runner, adoption, self._peers, self._peer_caller
        )
        self._views = ViewExchange(
            self._clock,
            self._declared,
            self._peer_caller,
            self._peers.by_name,
            self._peers.live,
            self._isolation,
        )
        self._peer_api = PeerApi(self._clock, self._telemetry, self._jobs, self._store, self._views)
        forwarder = Forwarder(
            self._clock,
            deployment.headers,
            self._loads,
            self._connections,
            self._group_assignment.split_upstreams,
            self._telemetry,
            lambda: self._exit.time_left,
            self._isolation,
            self._queued,
        )
        access = CallerAuthenticator(
            self._clock,
            directory=self._directory,
            confirm_configuration=self._views.confirm_configuration,
        )
        self._api = CallerApi(
            self._clock,
            deployment.dialect,
            deployment.headers,
            forwarder,
            self._jobs,
            self._telemetry,
            access,
            self._quota,
            delay_over_limit=self._queued.delay_over_limit,
            configuration=lambda: self._declared.configuration,
            time_left=lambda: self._exit.time_left,
        )

    def run(self) -> int:
        """Run until SIGTERM arrives; return the exit code."""
        settings = self._settings
        threading.stack_size(STACK_BYTES)
        self._telemetry.start_logs(settings.node, settings.log_level)
        logging.info(
            "event=start node=%s incarnation=%s first_start=%s",
            settings.node,
            self._incarnation,
            settings.first_start,
        )
        self._stop.listen()
        self._reload.listen()
        serve_metrics((settings.address, settings.metrics_port), self._telemetry, self._clock)
        callers = self._start_listeners()
        self._loads.set_own_change_callback(self._peers.schedule_load_hint)
        self._start_queue()
        self._peers.start(
            PeerCallbacks(
                loads=self._adopt_peer_loads,
                backlog=self._runner.update_peer_backlog,
                versions=self._compare_versions,
                lost=self._recovery.peer_lost,
                gone=self._on_peer_gone,
                ended=self._runner.handle_ended_jobs,
                counts=self._quota.apply_peer_counts,
                suspects=self._isolation.merge,
                paces=self._apply_peer_paces,
                waiting=self._queue.reports.apply_report,
                handovers=self._queue.reports.apply_handovers,
            )
        )
        self._declared.start()
        self._quarantines.start()
        self._runner.start()
        self._membership.start()
        self._recovery.start(first_start=settings.first_start)
        threading.Thread(target=self._poll_store, name="poll", daemon=True).start()
        while not self._stop.wait(CLEANUP_INTERVAL_S):
            self._clean_up()
            self._reload.check()
        self._leaving.set()
        self._exit.run(callers)
        self._quarantines.stop()
        return 0

    def _start_listeners(self) -> Listener:
        settings = self._settings
        assert settings.callers is not None and settings.ready is not None
        callers = Listener(
            settings.callers,
            workers=CALLER_WORKERS,
            clock=self._clock,
            names=self._deployment.headers,
            limits=self._caller_limits,
            handle=self._api.handle,
        )
        ready = Listener(
            settings.ready,
            workers=4,
            clock=self._clock,
            names=PEER_HEADERS,
            limits=CallerLimits,
            handle=self._answer_ready,
        )
        peers = Listener(
            (settings.address, settings.peer_port),
            workers=PEER_WORKERS,
            clock=self._clock,
            names=PEER_HEADERS,
            limits=CallerLimits,
            handle=self._peer_api.handle,
        )
        for listener in (callers, ready, peers):
            listener.start()
        return callers

    def _count_sharers(self) -> int:
        """Return the number of entries that use the same upstreams, this one included."""
        members = self._group_assignment.group_members()
        return 1 + len(self._peers.members()) if members is None else len(members)

    def _start_queue(self) -> None:
        if self._settings.online_queue == "off":
            return
        self._loads.add_departure_callback(self._queue.capacity_freed)
        self._queue.start()

    def _on_peer_gone(self, peer: Peer) -> None:
        self._queue.reports.forget_peer(peer.name)
        self._recovery.peer_gone(peer)

    def _compare_versions(self, peer: str, versions: Mapping[str, int]) -> None:
        self._views.pull_newer_views(peer, versions)
        self._membership.refresh_if_behind(versions)

    def _adopt_peer_loads(
        self,
        peer: str,
        loads: Mapping[str, Load],
        failures: Mapping[str, int] | None,
        knows_starts: bool,
    ) -> None:
        upstreams = () if knows_starts else self._declared.listed()
        self._loads.apply_hint(peer, loads, upstreams, failures, knows_starts=knows_starts)

    def _directory(self) -> OrganisationDirectory | None:
        configuration = self._declared.configuration
        return None if configuration is None else configuration.organisations

    def _on_configuration(self) -> None:
        self._quota.configure(self._directory())
        self._queued.configure(self._declared.configuration)
        self._peers.announce()

    def _tell_suspects(self, updates: Sequence[SuspectUpdate]) -> None:
        self._peers.send_suspects(updates)
        if not self._peers.hears_all_known():
            # Entries that do not hear this one may have seen the request crash other upstreams.
            self._quarantines.reload()

    def _on_upstream_restarted(self, upstream: Upstream) -> None:
        ended = self._connections.calls.end_calls_to_earlier_starts(upstream)
        logging.info(
            "event=upstream_restarted upstream=%s started=%d service=%s calls_ended=%d",
            upstream.instance,
            upstream.started,
            upstream.service,
            ended,
        )
        self._telemetry.count("upstream_restarts", service=upstream.service)
        self._loads.record_restart(upstream)

    def _poll_store(self) -> None:
        """Periodically read the store and remove expired jobs on behalf of all entries.

        The read finds changes that a watch has missed.
        """
        while not self._leaving.wait(POLL_INTERVAL_S):
            try:
                if self._membership.has_duty(POLL_DUTY):
                    self._declared.refresh()
                self._retention.sweep_if_due()
            except Exception:  # noqa: BLE001
                logging.exception("event=poll_failed")

    def _urgent_state(self) -> Hashable:
        """Return a value whose change requires an immediate hint to the other entries.

        Changes of the requests in flight are announced separately.
        """
        return (
            tuple(self._declared.digests().values()),
            sum(self._loads.own_failures().values()),
            self._leaving.is_set(),
            self._runner.released,
            self._store.last_call_answered,
        )

    def _own_hint(self) -> AnnouncementContent:
        return AnnouncementContent(
            loads=self._loads.own_loads(),
            failures=self._loads.own_failures(),
            open_jobs=self._runner.job_ids(finished=False),
            done_jobs=self._runner.job_ids(finished=True),
            waiting=self._runner.waiting_tokens(),
            versions={
                **self._declared.versions(),
                **self._membership.versions(),
                **self._isolation.versions(),
            },
            leaving=self._leaving.is_set(),
            released=self._runner.released,
            store_ok=self._store.last_call_answered,
            answer_age=self._store.answer_age,
            counts=self._quota.recent_counts(ANNOUNCEMENT_RESEND_TIME),
            backlog=self._runner.backlog(),
            paces=b"" if self._paces is None else self._paces.packed(),
            queued=self._queue.reports.report().waiting,
        )

    def _make_paces(self) -> UpstreamPaces | None:
        """Return the estimates of upstreams, ``None`` while slots alone decide."""
        if self._settings.placement != "auto":
            return None
        return UpstreamPaces(
            self._clock,
            self._settings.failure_domain,
            self._deployment.headers,
            listed=lambda: self._declared.listed(),
            capacity_of=self._engine_memory,
            on_error=lambda error: self._telemetry.observe_duration("first_event_error", error),
        )

    def _engine_memory(self, service: str) -> int | None:
        configuration = self._declared.configuration
        return None if configuration is None else configuration.engine_memory.get(service)

    def _apply_peer_paces(self, packed: bytes) -> None:
        if self._paces is not None:
            self._paces.apply_peer(packed)

    def _clean_up(self) -> None:
        identities = self._declared.identities()
        self._connections.retain_only(identities)
        self._loads.retain_only(identities)
        if self._paces is not None:
            self._telemetry.set_gauge("paced_upstreams", self._paces.retain_only(identities))
        self._quota.drop_idle()
        self._isolation.remove_expired()
        self._peer_caller.retain_only({peer.identity for peer in self._peers.live()})

    def _caller_limits(self) -> CallerLimits:
        configuration = self._declared.configuration
        return configuration.limits if configuration is not None else CallerLimits()

    @property
    def _is_ready(self) -> bool:
        return self._declared.can_route and not self._leaving.is_set()

    def _answer_ready(self, request: CallerRequest, caller: CallerConnection) -> None:
        if request.path != self._deployment.ready_path:
            caller.answer(404, [], b"")
            return
        caller.answer(200 if self._is_ready else 503, [], b"")


def make_direct_entry(settings: DirectSettings, deployment: Deployment, path: Path) -> DirectEntry:
    """Return an entry that is not started yet.

    Args:
        settings: The entry's settings.
        deployment: The platform that the entry runs on.
        path: File of the settings, which is checked for changes.
    """
    return DirectEntry(settings, deployment, SettingsReload(path, settings))
