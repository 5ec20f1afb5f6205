"""The entry process: composition, periodic work, graceful shutdown."""

from __future__ import annotations

import secrets
import threading
from random import Random

from absl import logging

from carobspool_core import (
    Clock,
    Configuration,
    Hint,
    HintKind,
    Json,
    make_limiter,
    make_retry_policy,
    make_router,
    make_suspect_table,
    monotonic_clock,
)
from carobspool_node.callers import (
    ApiRoute,
    CallerKeys,
    Forwarder,
    OnlineService,
    PooledServer,
    SharedLimits,
    job_routes,
    make_application,
    online_routes,
    operator_routes,
    upstream_status,
)
from carobspool_node.configuration import (
    DrainFollower,
    announcement,
    exchange,
    follow,
    make_follower,
)
from carobspool_node.jobs import BatchForwarder, EntryJobs
from carobspool_node.links import (
    TRAFFIC,
    Fleet,
    HintExchange,
    Identity,
    Link,
    load_peer_keys,
)
from carobspool_node.process._entry_configuration import EntryConfiguration
from carobspool_node.process._metrics import make_metrics
from carobspool_node.process._shutdown import ShutdownRequest, end_process
from carobspool_node.requests import Isolation
from carobspool_node.roles import EntrySettings
from carobspool_node.settings import set_up_logs
from carobspool_node.store import http_object_store, make_reservations

TICK_SECONDS = 1.0
ACCEPT_GRACE_SECONDS = 1.0
"""Between "not ready" and the end of accepting: the balancer probes about this often."""


class EntryNode:
    """One entry process. Since 0.1."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._clock: Clock = monotonic_clock()
        self._identity = Identity(
            node=settings.node,
            incarnation=secrets.token_hex(8),
            role="entry",
            failure_domain=settings.failure_domain,
        )
        self._leaving = False
        self._stopped = threading.Event()
        self._metrics = make_metrics(settings.statsd, role="entry", node=settings.node)
        self._store = http_object_store(settings.object_api)
        self._follower = make_follower(self._store, self._clock)
        self._keys = CallerKeys(settings.first_operator_key_hash)
        peer_keys = load_peer_keys(settings.peer_keys)
        self._hints = HintExchange(
            settings.peer.address,
            settings.peer.port,
            identity=self._identity,
            keys=peer_keys,
            clock=self._clock,
            on_hint=self._take_hint,
            on_configuration=self._exchange,
            greeting=lambda: announcement(self._follower),
        )
        self._limits = SharedLimits(
            make_limiter(self._clock, settings.node), self._clock, tell=self._hints.tell
        )
        self._isolation = Isolation(
            make_suspect_table(self._clock),
            self._store,
            self._clock,
            holder=f"{settings.node}/{self._identity.incarnation}",
            tell=self._hints.tell,
        )
        self._fleet = Fleet(
            self._identity,
            peer_keys,
            self._clock,
            make_router(self._clock, Random(self._identity.incarnation)),
            on_hint=self._take_sidecar_hint,
            on_configuration=lambda host, message: self._configuration.answer_sidecar(
                host, message
            ),
        )
        self._drains = DrainFollower(
            self._store, settings.host_list, on_change=self._fleet.set_drained
        )
        self._jobs = EntryJobs(
            self._store,
            settings,
            self._identity,
            self._clock,
            BatchForwarder(
                self._fleet,
                self._isolation,
                self._clock,
                lambda: self._follower.state,
                failure_domain=settings.failure_domain,
            ),
            state=lambda: self._follower.state,
            tell=self._hints.tell,
        )
        self._configuration = EntryConfiguration(
            settings.node,
            self._follower,
            keys=self._keys,
            fleet=self._fleet,
            hints=self._hints,
            live_entries=self._jobs.live_entries,
        )
        self._online = OnlineService(
            Forwarder(
                self._fleet,
                self._clock,
                make_retry_policy(self._clock),
                failure_domain=settings.failure_domain,
            ),
            self._limits,
            self._isolation,
            make_reservations(
                self._store, self._jobs.holder, self._clock, is_dead=self._jobs.members.confirm_dead
            ),
            self._clock,
            count=self._metrics.count,
        )
        self._server = PooledServer(
            settings.http.address,
            settings.http.port,
            make_application(
                self._routes(),
                self._keys,
                body_limit=settings.http.body_limit_bytes,
                on_request=self._count_request,
            ),
            workers=settings.http.workers,
        )

    @property
    def port(self) -> int:
        """The port on which callers connect."""
        return self._server.server_port

    @property
    def ready(self) -> bool:
        """Whether it takes requests: not leaving, configured, and connected."""
        return not self._leaving and self._follower.revision > 0 and self._fleet.settled

    def start(self) -> None:
        """Serve in tasks of its own."""
        self._follower.on_change(self._configuration.take_state)
        self._hints.start()
        self._jobs.start(f"{self._settings.peer.address}:{self._hints.port}")
        self._isolation.start()
        self._drains.start()
        for name, target in (
            ("configuration", self._follow_configuration),
            ("tick", self._tick),
            ("http", self._server.serve_forever),
        ):
            threading.Thread(target=target, name=name, daemon=True).start()

    def stop(self, shutdown: ShutdownRequest) -> None:
        """Refuse new work, finish what is in progress, release claims, then close.

        Args:
            shutdown: Says when to stop waiting.
        """
        self._leaving = True
        logging.info("event=leaving open=%d", self._server.open_connections)
        self._jobs.leave()
        shutdown.hurried.wait(ACCEPT_GRACE_SECONDS)
        self._server.shutdown()
        self._finish_requests(shutdown)
        self._jobs.release(self._settings.shutdown_limit)
        self._stopped.set()
        self._drains.stop()
        self._isolation.stop()
        self._fleet.stop()
        self._hints.stop()
        self._server.server_close()
        logging.info("event=stopped")

    def _finish_requests(self, shutdown: ShutdownRequest) -> None:
        until = self._clock.now() + self._settings.shutdown_limit
        while self._server.open_connections and self._clock.now() < until:
            if shutdown.hurried.wait(0.05):
                break
        cut = self._server.open_connections
        if cut:
            logging.error("event=shutdown_cut requests=%d", cut)

    def _routes(self) -> list[ApiRoute]:
        return [
            *online_routes(
                self._online,
                lambda: self._follower.state,
                default_timeout=self._settings.http.request_timeout,
            ),
            *job_routes(self._jobs.api),
            *operator_routes(
                self._store,
                self._follower,
                status=self._status,
                ready=lambda: self.ready,
                on_applied=self._configuration.announce,
                on_drain=self._drains.refresh,
            ),
        ]

    def _exchange(self, message: Configuration, link: Link) -> None:
        exchange(self._follower, message, link)

    def _take_hint(self, hint: Hint) -> None:
        if hint.kind in (HintKind.SUSPECT, HintKind.QUARANTINE):
            self._isolation.merge(hint)
            return
        if hint.kind in (HintKind.JOB_CHANGED, HintKind.CHUNK_DONE):
            self._jobs.take_hint(hint)
            return
        if hint.kind is HintKind.USAGE:
            self._limits.merge(hint)
            return
        if hint.kind is HintKind.HOST_LEAVING:
            self._drains.refresh()

    def _take_sidecar_hint(self, hint: Hint) -> None:
        if hint.kind is HintKind.SUSPECT:
            self._isolation.crashed(hint)

    def _follow_configuration(self) -> None:
        follow(self._store, self._follower, self._stopped)

    def _tick(self) -> None:
        while not self._stopped.wait(TICK_SECONDS):
            try:
                self._tick_once()
            except Exception:
                # A fault in one round must not end the heartbeats of all later ones.
                logging.exception("event=tick_failed")

    def _tick_once(self) -> None:
        self._fleet.tick()
        self._hints.tick()
        self._isolation.tick()
        live = self._jobs.live_entries()
        self._limits.exchange(live)
        self._configuration.keep_connected(live)
        self._hints.set_peers(self._jobs.peers())
        self._metrics.gauge("http.open", self._server.open_connections)
        self._metrics.gauge("config.revision", self._follower.revision)
        self._metrics.gauge("sidecars.lost", sum(not up for up in self._fleet.connected.values()))
        self._metrics.gauge("entries.live", len(self._jobs.live_entries()))
        self._metrics.gauge("links.sent_bytes", TRAFFIC.sent)

    def _count_request(self, rule: str) -> None:
        self._metrics.count("requests")

    def _status(self) -> Json:
        return {
            "entry": self._settings.node,
            "revision": self._follower.revision,
            "entries": self._jobs.live_entries(),
            "peers": self._hints.peers,
            "upstreams": upstream_status(self._follower.state, self._fleet, self._drains.hosts),
            "jobs": self._jobs.status(),
            "link_bytes": {"sent": TRAFFIC.sent, "received": TRAFFIC.received},
        }


def run_entry(settings: EntrySettings) -> int:
    """Run an entry until it is told to stop; return the process exit code."""
    set_up_logs(settings.node, settings.log_level)
    shutdown = ShutdownRequest()
    node = EntryNode(settings)
    node.start()
    logging.info("event=ready role=entry port=%d", node.port)
    print(f"ready port={node.port}", flush=True)
    shutdown.wait()
    node.stop(shutdown)
    end_process(0)
