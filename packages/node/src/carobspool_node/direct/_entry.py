"""The direct entry: its parts, its start and its end."""

from __future__ import annotations

import random
import signal
import threading
import uuid
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

import cbor2
from absl import logging
from returns.pipeline import is_successful

from carobspool_core import (
    Millis,
    ObjectChange,
    StoredObject,
    StoreFault,
    boottime_clock,
)
from carobspool_core import owner as rendezvous_owner
from carobspool_core.direct import (
    CallerLimits,
    Load,
    Successor,
    lets_jobs_go,
)
from carobspool_node.direct._caller_connection import CallerConnection
from carobspool_node.direct._callers import CallerApi
from carobspool_node.direct._declared import Declared
from carobspool_node.direct._deployment import Deployment
from carobspool_node.direct._follow import Follower
from carobspool_node.direct._forward import Forwarder
from carobspool_node.direct._item_run import ItemRunner
from carobspool_node.direct._job_adoption import JobAdoption
from carobspool_node.direct._job_catalog import JobCatalog
from carobspool_node.direct._job_records import JobRecords
from carobspool_node.direct._job_retention import JobRetention
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._jobs import Jobs, Outcome
from carobspool_node.direct._listener import Listener
from carobspool_node.direct._loads import LoadTable
from carobspool_node.direct._messages import CallerRequest
from carobspool_node.direct._peer_calls import PEER_HEADERS, PeerCaller
from carobspool_node.direct._peers import DEAD_AFTER, SILENT_AFTER, OwnHint, Peer, Peers
from carobspool_node.direct._reload import SettingsReload
from carobspool_node.direct._settings import DirectSettings
from carobspool_node.direct._store_relay import RelayedStore
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.direct._upstream_calls import UpstreamConnections

CALLER_WORKERS = 400
PEER_WORKERS = 100
STACK_BYTES = 256 * 1024
"""Stack of a thread; there is one for each connection, and the default would reserve 8 MB each."""
SETTLE_TIME: Millis = DEAD_AFTER + 300.0
"""How long after its start an entry judges nobody as gone; each peer has sent full hints then."""
TIDY_INTERVAL_S = 1.0
ENTRIES_GATHER: Millis = 1_500.0
"""Pause between two watches of the entries. Who starts is known by its hints much sooner."""
ORPHAN_INTERVAL_S = 0.5
"""Time between two tries to find an owner for jobs that have none, while the store is away."""
MIN_DRAIN: Millis = 2_500.0
"""How long a leaving entry serves on: the balancer needs two misses, a second apart, to take it
out, and callers use open connections until then."""
EXIT_MARGIN: Millis = 1_200.0
"""Time before the kill at which a leaving entry exits whatever still runs."""
POLL_INTERVAL_S = 2.0
"""Time between two readings of what the watches should have told. A watch can hear nothing while
changes are made and look alive; the store may then drop that history, and the next watch goes on
behind the gap. One entry reads for all, and its hints show the others that they have missed
something, so that a change is known within some three seconds at the price of one call a second."""
CUT_LINES = 50
"""Requests cut by the exit that are logged one by one; the count in the last line holds all."""
POLL_DUTY = "poll"
RETENTION_DUTY = "retention"


class DirectEntry:
    """One entry that calls upstreams directly."""

    def __init__(
        self, settings: DirectSettings, deployment: Deployment, reload: SettingsReload
    ) -> None:
        self._settings = settings
        self._reload = reload
        self._deployment = deployment
        self._clock = boottime_clock()
        self._started = self._clock.now()
        self._telemetry = Telemetry()
        self._incarnation = uuid.uuid4().hex[:8]
        self._leaving = threading.Event()
        self._exit_at: Millis | None = None
        self._orphans = threading.Event()
        self._loads = LoadTable(self._clock, settings.failure_domain, name=settings.node)
        self._connections = UpstreamConnections(self._clock)
        self._peer_caller = PeerCaller(self._clock)
        self._peers = Peers(
            self._clock,
            name=settings.node,
            incarnation=self._incarnation,
            address=(settings.address, settings.peer_port),
            describe=self._own_hint,
        )
        self._store = RelayedStore(
            deployment.open_store(settings, self._clock),
            self._peer_caller,
            self._clock,
            self._telemetry,
            lambda: self._peers,
        )
        self._declared = Declared(
            self._clock, self._store, deployment, on_configuration=self._peers.tell_now
        )
        items = ItemRunner(self._clock, deployment.headers, self._loads, self._connections)
        self._runner = JobRunner(
            self._clock,
            self._loads,
            items,
            self._telemetry,
            configuration=lambda: self._declared.configuration,
            usable=self._declared.usable,
            doubt_until=lambda: self._peers.doubt_until,
        )
        records = JobRecords(self._store, settings.value_limit)
        catalog = JobCatalog(records)
        self._retention = JobRetention(
            self._clock,
            records,
            settings.job_retention,
            on_duty=lambda: self._has_duty(RETENTION_DUTY),
        )
        self._adoption = JobAdoption(
            self._clock,
            catalog,
            self._runner,
            self._peers,
            self._telemetry,
            peers_settled=self._peers_settled,
        )
        self._jobs = Jobs(
            self._clock, catalog, self._runner, self._adoption, self._peers, self._peer_caller
        )
        forwarder = Forwarder(
            self._clock,
            deployment.headers,
            self._loads,
            self._connections,
            self._declared.usable,
            self._telemetry,
            self._time_left,
        )
        self._api = CallerApi(
            deployment.dialect,
            deployment.headers,
            forwarder,
            self._jobs,
            self._telemetry,
            configuration=lambda: self._declared.configuration,
            time_left=self._time_left,
        )
        self._entries = Follower(
            self._store,
            "entries/",
            on_listing=self._entries_listed,
            on_change=self._entry_changed,
            gather=ENTRIES_GATHER,
        )

    def run(self) -> int:
        """Run until told to stop; return the exit code."""
        settings = self._settings
        threading.stack_size(STACK_BYTES)
        self._telemetry.start_logs(settings.node, settings.log_level)
        logging.info(
            "event=start node=%s incarnation=%s first_start=%s",
            settings.node,
            self._incarnation,
            settings.first_start,
        )
        signal.signal(signal.SIGTERM, lambda *_: self._leaving.set())
        self._reload.listen()
        self._telemetry.serve(settings.address, settings.metrics_port)
        callers = self._listen()
        self._peers.start(
            on_loads=self._take_loads,
            on_versions=self._declared.compare,
            on_lost=self._peer_lost,
            on_ended=self._runner.learn_ends,
        )
        self._declared.start()
        self._entries.start()
        self._runner.start()
        threading.Thread(target=self._register, name="register", daemon=True).start()
        threading.Thread(target=self._recover, name="recover", daemon=True).start()
        threading.Thread(target=self._poll, name="poll", daemon=True).start()
        threading.Thread(target=self._adopt_orphans, name="orphans", daemon=True).start()
        while not self._leaving.wait(TIDY_INTERVAL_S):
            self._tidy()
            self._reload.check()
        self._leave(callers)
        return 0

    def _listen(self) -> Listener:
        settings = self._settings
        assert settings.callers is not None and settings.ready is not None
        callers = Listener(
            settings.callers,
            workers=CALLER_WORKERS,
            clock=self._clock,
            names=self._deployment.headers,
            limits=self._limits,
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
            handle=self._answer_peer,
        )
        for listener in (callers, ready, peers):
            listener.start()
        return callers

    def _time_left(self) -> Millis | None:
        return None if self._exit_at is None else self._exit_at - self._clock.now()

    def _leave(self, callers: Listener) -> None:
        logging.info("event=stop_requested busy=%d", callers.busy)
        began = self._clock.now()
        exit_at = began + self._settings.shutdown_limit - EXIT_MARGIN
        self._exit_at = exit_at
        callers.drain()
        self._peers.tell_now()
        while self._clock.now() < exit_at:
            has_jobs = self._hand_jobs_over(exit_at - self._clock.now())
            drained = self._clock.now() - began >= MIN_DRAIN
            if drained and not has_jobs and callers.close_if_idle():
                break
            threading.Event().wait(0.05)
        self._runner.stop()
        cut = callers.close()
        self._peers.stop()
        self._log_cut(cut)
        logging.info(
            "event=stop busy=%d cut=%d open=%d took_ms=%.0f",
            callers.busy,
            len(cut),
            callers.open_connections,
            self._clock.now() - began,
        )
        self._telemetry.stop_logs()

    def _hand_jobs_over(self, time_left: Millis) -> bool:
        """Give up the open jobs if it is time; return whether this entry still works on some."""
        if not self._runner.job_ids(finished=False):
            return False
        now = self._clock.now()
        successors = [
            Successor(silent_for=now - peer.heard, leaving=peer.leaving, store_ok=peer.store_ok)
            for peer in self._peers.live()
        ]
        if not lets_jobs_go(successors, time_left=time_left, silent_after=SILENT_AFTER):
            return True
        self._runner.let_go()
        self._peers.tell_now()
        return False

    def _log_cut(self, cut: Sequence[CallerRequest]) -> None:
        """Name the requests that the exit cuts; their own last line is never written."""
        now = self._clock.now()
        for request in cut[:CUT_LINES]:
            logging.warning(
                "event=exit_cut request=%s host=%s path=%s age_ms=%.0f",
                request.request_id,
                request.host,
                request.path,
                now - request.arrived,
            )

    def _entries_listed(self, objects: Sequence[StoredObject]) -> None:
        for each in objects:
            self._know_entry(each, deleted=False)

    def _entry_changed(self, change: ObjectChange) -> None:
        self._know_entry(change.object, deleted=change.deleted)

    def _know_entry(self, stored: StoredObject, *, deleted: bool) -> None:
        name = stored.key.removeprefix("entries/")
        address = None if deleted else tuple(stored.value["address"])
        self._peers.know(name, address)

    def _register(self) -> None:
        """Write this entry's address, so that the others find it."""
        key = f"entries/{self._settings.node}"
        value = {"address": [self._settings.address, self._settings.peer_port]}
        while not self._leaving.is_set():
            created = self._store.create(key, value)
            if is_successful(created):
                return
            failure = created.failure()
            current = failure.current
            if failure.fault is StoreFault.CONFLICT and current is not None:
                if current.value == value:
                    return
                if is_successful(self._store.update(key, value, version=current.version)):
                    return
            self._leaving.wait(0.3 + random.random() * 0.3)

    def _recover(self) -> None:
        """Take over what a start of the whole system left without an owner.

        What an earlier process of this node owned has no owner for certain, and is taken back at
        once: its items would otherwise stand still until the entries know who else lives.
        """
        if self._settings.first_start:
            return
        self._recover_all(lambda job_id, owner: self._was_own(owner))
        self._leaving.wait(max(0.0, SETTLE_TIME - (self._clock.now() - self._started)) / 1000.0)
        self._recover_all(lambda job_id, owner: self._is_mine(job_id))
        logging.info("event=recovered owned=%d", len(self._runner.owned()))

    def _recover_all(self, mine: Callable[[str, str], bool]) -> None:
        while not self._leaving.is_set():
            if self._adoption.recover(mine):
                return
            self._leaving.wait(0.3 + random.random() * 0.3)

    def _was_own(self, owner: str) -> bool:
        return owner.partition("#")[0] == self._settings.node

    def _is_mine(self, job_id: str) -> bool:
        nodes = [peer.name for peer in self._peers.live() if not peer.leaving]
        nodes.append(self._settings.node)
        return rendezvous_owner(job_id, nodes) == self._settings.node

    def _peers_settled(self) -> bool:
        return self._clock.now() - self._started >= SETTLE_TIME

    def _peer_lost(self, peer: Peer) -> None:
        self._adoption.orphaned(peer.open_jobs, f"lost {peer.identity}", certain=True)
        self._orphans.set()

    def _adopt_orphans(self) -> None:
        while not self._leaving.is_set():
            self._orphans.wait(ORPHAN_INTERVAL_S)
            self._orphans.clear()
            try:
                self._adoption.adopt_orphans(self._is_mine)
            except Exception:  # noqa: BLE001
                logging.exception("event=takeover_failed")

    def _take_loads(
        self, peer: str, loads: Mapping[str, Load], failures: Mapping[str, int]
    ) -> None:
        self._loads.take_hint(peer, loads, self._declared.listed(), failures)

    def _poll(self) -> None:
        """Read what the watches should have told, on behalf of all entries."""
        while not self._leaving.wait(POLL_INTERVAL_S):
            try:
                if self._has_duty(POLL_DUTY):
                    self._declared.refresh()
                self._retention.sweep_if_due()
            except Exception:  # noqa: BLE001
                logging.exception("event=poll_failed")

    def _has_duty(self, duty: str) -> bool:
        """Whether this entry, of all that reach the store, does a duty for all of them."""
        nodes = [each.name for each in self._peers.live() if each.store_ok and not each.leaving]
        nodes.append(self._settings.node)
        return rendezvous_owner(duty, nodes) == self._settings.node

    def _own_hint(self) -> OwnHint:
        return OwnHint(
            loads=self._loads.own_loads(),
            failures=self._loads.own_failures(),
            open_jobs=self._runner.job_ids(finished=False),
            done_jobs=self._runner.job_ids(finished=True),
            waiting=self._runner.waiting_tokens(),
            versions=self._declared.versions(),
            leaving=self._leaving.is_set(),
            released=self._runner.released,
            store_ok=self._store.reachable,
        )

    def _tidy(self) -> None:
        instances = self._declared.instances()
        self._connections.forget(instances)
        self._loads.forget(instances)
        self._peer_caller.forget({peer.identity for peer in self._peers.live()})

    def _limits(self) -> CallerLimits:
        configuration = self._declared.configuration
        return configuration.limits if configuration is not None else CallerLimits()

    @property
    def _is_ready(self) -> bool:
        return self._declared.known and not self._leaving.is_set()

    def _answer_ready(self, request: CallerRequest, caller: CallerConnection) -> None:
        if request.path != self._deployment.ready_path:
            caller.answer(404, [], b"")
            return
        caller.answer(200 if self._is_ready else 503, [], b"")

    def _answer_peer(self, request: CallerRequest, caller: CallerConnection) -> None:
        body = cbor2.loads(request.body)
        status = 200
        answer: object = None
        if request.path == "/results":
            page = self._jobs.own_results(body["id"], body["after"], body["wait"])
            if page is None:
                status = 409
            else:
                results = [[each.item_id, each.end.value, each.text] for each in page.results]
                answer = {"total": page.total, "results": results}
        elif request.path == "/end":
            status = 200 if self._jobs.end_own(body["id"]) is Outcome.DONE else 409
        elif request.path == "/store":
            answer = self._store.serve_relay(body)
        else:
            status = 404
        headers = [(PEER_HEADERS.request_id, request.request_id.encode())]
        data = cbor2.dumps(answer)
        headers.append((PEER_HEADERS.signature, b"entry"))
        caller.answer(status, headers, data)


def make_direct_entry(settings: DirectSettings, deployment: Deployment, path: Path) -> DirectEntry:
    """Return an entry that is not running yet.

    Args:
        settings: Its settings.
        deployment: The platform that it runs on.
        path: Where the settings come from, to take changes over.
    """
    return DirectEntry(settings, deployment, SettingsReload(path, settings))
