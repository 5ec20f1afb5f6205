"""The direct entry: construction, start, periodic work and shutdown."""

from __future__ import annotations

import threading
import uuid
from collections.abc import Mapping
from functools import partial
from pathlib import Path

from absl import logging

from carobspool_core import boottime_clock
from carobspool_core.direct import CallerLimits
from carobspool_core.organisations import OrganisationDirectory
from carobspool_node.direct._declared import DeclaredState
from carobspool_node.direct._deployment import Deployment
from carobspool_node.direct._entry_callers import make_caller_api
from carobspool_node.direct._entry_hints import HintParts, loads_receiver, make_peers
from carobspool_node.direct._entry_jobs import make_job_parts
from carobspool_node.direct._entry_listeners import start_listeners
from carobspool_node.direct._entry_paces import make_paces
from carobspool_node.direct._entry_restarts import restart_handler
from carobspool_node.direct._entry_store import make_store_parts
from carobspool_node.direct._entry_streams import make_continued_streams
from carobspool_node.direct._exit import EntryExit
from carobspool_node.direct._forward import Forwarder
from carobspool_node.direct._group_assignment import GroupAssignment
from carobspool_node.direct._hint_receiver import PeerCallbacks
from carobspool_node.direct._in_flight import Placement
from carobspool_node.direct._item_run import ItemRunner
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._metrics_server import serve_metrics
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peer_api import PeerApi
from carobspool_node.direct._peer_calls import PeerCaller
from carobspool_node.direct._queued_requests import QueuedRequests
from carobspool_node.direct._reload import SettingsReload
from carobspool_node.direct._settings import DirectSettings
from carobspool_node.direct._stop_signal import StopSignal
from carobspool_node.direct._stream_origins import StreamOrigins
from carobspool_node.direct._stream_records import StreamRecords
from carobspool_node.direct._stream_versions import candidates
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.direct._upstream_connections import UpstreamConnections
from carobspool_node.direct._view_exchange import ViewExchange
from carobspool_node.online_queue import OnlineQueue
from carobspool_node.organisations import RequestQuota

STACK_BYTES = 256 * 1024
"""Stack size of a thread. Each connection has a thread; the default would reserve 8 MB for each."""
CLEANUP_INTERVAL_S = 1.0
POLL_INTERVAL_S = 2.0
"""Time between two full reads of the watched objects. A watch can deliver no changes and still look
healthy; the store may then drop that part of its history, and the next watch resumes after the gap.
One entry reads for all entries, and its hints show the others that they have missed a change, so
that a change is known within some three seconds at the price of one call a second."""
POLL_DUTY = "poll"


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
        self._paces = make_paces(
            settings, self._clock, deployment.headers, self._telemetry, lambda: self._declared
        )
        self._loads = LoadTable(
            self._clock,
            settings.failure_domain,
            name=settings.node,
            prefers_own_domain=lambda: (
                settings.prefer_own_domain == "auto" and self._peers.relays_in_force
            ),
            paces=self._paces,
        )
        self._connections = UpstreamConnections(self._clock, deployment.start_report)
        self._peer_caller = PeerCaller(self._clock)
        self._quota = RequestQuota(self._clock, known_peers=lambda: self._peers.known_peers())
        self._peers = make_peers(
            settings, self._clock, self._telemetry, self._incarnation, lambda: self._hint_parts
        )
        stored = make_store_parts(
            settings,
            deployment,
            self._clock,
            self._telemetry,
            self._peers,
            self._peer_caller,
            self._leaving,
            on_quarantine=lambda: self._forwarder.quarantines_changed(),
        )
        self._store = stored.store
        self._isolation, self._quarantines = stored.isolation, stored.quarantines
        self._membership = stored.membership
        self._declared = DeclaredState(
            self._clock,
            self._store,
            deployment,
            self._telemetry,
            on_duty=lambda: self._membership.follows_store(),
            on_configuration=self._on_configuration,
            on_restarted=restart_handler(
                self._connections,
                self._loads,
                self._telemetry,
                doubt_streams=lambda upstream: self._origins.upstream_restarted(upstream),
            ),
            on_upstreams=lambda: self._origins.upstreams_changed(),
        )
        self._stream_records = StreamRecords(
            self._clock,
            self._store,
            self._telemetry,
            name=f"{settings.node}-{self._incarnation}",
            views=self._declared,
            first_start=settings.first_start,
            has_duty=self._membership.has_duty,
            entries=lambda: 1 + len(self._peers.members()),
            value_limit=settings.value_limit,
            on_origins=lambda origin, streams: self._origins.load(origin, streams),
            read_soon=self._store.get_soon,
        )
        self._origins = StreamOrigins(
            self._clock,
            name=settings.node,
            peers=self._peers,
            views=self._declared,
            window=lambda: self._declared.stream_window,
            records=self._stream_records,
            call_peer=self._peer_caller.call,
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
            partial(candidates, self._origins),
            self._quota,
            setting=settings.online_queue,
        )
        items = ItemRunner(
            self._clock, deployment.headers, self._loads, self._connections, self._isolation
        )
        parts = make_job_parts(
            settings,
            self._clock,
            self._telemetry,
            loads=self._loads,
            items=items,
            store=self._store,
            declared=self._declared,
            membership=self._membership,
            group_assignment=self._group_assignment,
            peers=self._peers,
            peer_caller=self._peer_caller,
            leaving=self._leaving,
        )
        self._jobs, self._runner = parts.jobs, parts.runner
        self._recovery, self._retention = parts.recovery, parts.retention
        self._reconciliation = parts.reconciliation
        self._exit = EntryExit(
            self._clock,
            self._runner,
            self._peers,
            self._telemetry,
            limit=settings.shutdown_limit,
            before_close=self._queue.close,
        )
        self._views = ViewExchange(
            self._clock,
            self._declared,
            self._peer_caller,
            self._peers.by_name,
            self._peers.live,
            self._isolation,
        )
        self._peer_api = PeerApi(
            self._clock, self._telemetry, self._jobs, self._store, self._views, self._origins
        )
        self._forwarder = Forwarder(
            self._clock,
            deployment.headers,
            self._loads,
            self._connections,
            self._group_assignment.split_upstreams,
            self._telemetry,
            lambda: self._exit.shutdown,
            self._isolation,
            self._queued,
            make_continued_streams(
                settings,
                deployment,
                self._clock,
                self._telemetry,
                loads=self._loads,
                declared=self._declared,
                isolation=self._isolation,
                split_upstreams=self._group_assignment.split_upstreams,
            ),
            self._origins,
        )
        self._api = make_caller_api(
            deployment,
            self._clock,
            self._telemetry,
            forwarder=self._forwarder,
            jobs=self._jobs,
            quota=self._quota,
            queued=self._queued,
            declared=self._declared,
            directory=self._directory,
            views=self._views,
            entry_exit=self._exit,
        )
        self._hint_parts = HintParts(
            loads=self._loads,
            paces=self._paces,
            quota=self._quota,
            leaving=self._leaving,
            store=self._store,
            isolation=self._isolation,
            declared=self._declared,
            membership=self._membership,
            origins=self._origins,
            group_assignment=self._group_assignment,
            queue=self._queue,
            runner=self._runner,
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
        callers = start_listeners(
            settings,
            self._clock,
            self._deployment.headers,
            limits=self._caller_limits,
            callers=self._api.handle,
            peers=self._peer_api.handle,
            ready_path=self._deployment.ready_path,
            is_ready=lambda: self._is_ready,
            others_serve=lambda: bool(self._peers.live()),
        )
        self._loads.set_own_change_callback(self._peers.schedule_load_hint)
        self._start_queue()
        self._peers.start(
            PeerCallbacks(
                loads=loads_receiver(self._loads, self._declared),
                backlog=self._runner.update_peer_backlog,
                versions=self._compare_versions,
                lost=self._recovery.peer_lost,
                gone=self._on_peer_gone,
                ended=self._runner.handle_ended_jobs,
                jobs=self._runner.handle_jobs_of_peer,
                counts=self._quota.apply_peer_counts,
                without_loads=self._loads.record_hint_without_loads,
                suspects=self._isolation.merge,
                origins=self._origins.receive,
                paces=self._apply_peer_paces,
                waiting=self._queue.reports.apply_report,
                handovers=self._queue.reports.apply_handovers,
            )
        )
        self._declared.start()
        self._quarantines.start()
        self._stream_records.start()
        self._runner.start()
        self._membership.start()
        self._recovery.start(first_start=settings.first_start)
        self._reconciliation.start()
        threading.Thread(target=self._poll_store, name="poll", daemon=True).start()
        while not self._stop.wait(CLEANUP_INTERVAL_S):
            self._clean_up()
            self._reload.check()
        self._leaving.set()
        self._exit.run(callers)
        self._quarantines.stop()
        self._stream_records.stop()
        return 0

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

    def _directory(self) -> OrganisationDirectory | None:
        configuration = self._declared.configuration
        return None if configuration is None else configuration.organisations

    def _on_configuration(self) -> None:
        self._quota.configure(self._directory())
        self._queued.configure(self._declared.configuration)
        self._peers.announce()

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
        self._origins.remove_expired()
        self._peer_caller.retain_only({peer.identity for peer in self._peers.live()})

    def _caller_limits(self) -> CallerLimits:
        configuration = self._declared.configuration
        return configuration.limits if configuration is not None else CallerLimits()

    @property
    def _is_ready(self) -> bool:
        return self._declared.can_route and not self._leaving.is_set()


def make_direct_entry(settings: DirectSettings, deployment: Deployment, path: Path) -> DirectEntry:
    """Return an entry that is not started yet.

    Args:
        settings: The entry's settings.
        deployment: The platform that the entry runs on.
        path: File of the settings, which is checked for changes.
    """
    return DirectEntry(settings, deployment, SettingsReload(path, settings))
