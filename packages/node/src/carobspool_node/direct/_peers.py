"""Exchange hints between entries: liveness, requests in flight, and jobs in progress.

A hint is a CBOR datagram. The next hint makes up for a lost one, and no guarantee depends on hints.
Entries use them to choose upstreams, to read a job's results from its owner without a store call,
and to detect a silent entry, whose jobs another entry then takes over by a conditional write.

An announcement carries the whole state of an entry. It is sent when that state changes, and
periodically. Loads change far more often: each change is sent to the entries that use the same
upstreams, in a load hint of about sixty bytes. A load hint also goes to all entries twice a second,
as the heartbeat.
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable, Hashable, Mapping, Sequence

from absl import logging
from msgspec import Struct

from carobspool_core import Clock, Millis, SuspectUpdate
from carobspool_core.direct import Load, LoadSendLimiter, WaitingGroup
from carobspool_core.hint_relays import RelayEntry
from carobspool_core.online_queue import NOTHING_QUEUED, QueueReport
from carobspool_core.organisations import KnownPeer
from carobspool_core.stream_versions import StreamOrigin
from carobspool_node.direct._announcement import Sender
from carobspool_node.direct._bad_records import BadRecords
from carobspool_node.direct._hint_receiver import HintReceiver, PeerCallbacks
from carobspool_node.direct._hint_sender import HintSender
from carobspool_node.direct._hint_targets import HintTargets
from carobspool_node.direct._peer import AnnouncementContent, Peer
from carobspool_node.direct._peer_table import PeerTable
from carobspool_node.direct._relay_view import RelayView, targets_with_relays
from carobspool_node.direct._telemetry import Telemetry
from carobspool_node.hint_relays import HintRelays, HintTraffic

CHECK_INTERVAL: Millis = 50.0
"""Time between two checks for silent peers and for state that has to be announced at once."""
HEARTBEAT_INTERVAL: Millis = 500.0
ANNOUNCEMENT_INTERVAL: Millis = 2_000.0
"""Time between two announcements while nothing changes."""
UNRELATED_ANNOUNCEMENT_INTERVAL: Millis = 6_000.0
"""The same to entries of other domains that share no upstream, while relays are in force. They are
most of the entries of a large deployment, use little of an announcement, and get heartbeats too."""
REPEAT_ANNOUNCEMENT_FOR: Millis = 1_100.0
"""Time after a change in which each heartbeat is an announcement, so that two more follow a lost
datagram."""
UNRELATED_COUNTS_TIME: Millis = 600.0
"""How long heartbeats to those entries repeat a count while no organisation is near its limit: in
one heartbeat at least. Counts hints that relays pass on report it too, and announcements."""
PAUSE_PER_ANNOUNCEMENT = 10.0
"""Pause after an announcement before one that may wait, as a multiple of its duration: that of
thousands of open jobs takes milliseconds, and each acceptance asks for one."""
MAX_ANNOUNCEMENT_PAUSE: Millis = 200.0
ANNOUNCE_ENDED_FOR: Millis = 5_000.0
"""Time for which announcements name a job that this entry has ended in the store. At two a second
these are ten announcements, and the time exceeds that of a takeover in progress (three calls of at
most 1.5 s)."""


class HintSources(Struct, frozen=True, kw_only=True):
    """Functions that supply the content of this entry's hints.

    Attributes:
        loads: Returns the requests in flight, by the upstream's identity.
        backlog: Returns the batch items that wait at this entry.
        urgent: Returns the state whose changes are announced at once.
        describe: Returns the content of an announcement.
        upstream_sharers: Returns the peers that use the same upstreams, ``None`` for all peers.
        identities_by_key: Returns the upstreams that load hints may name.
        has_unsent_counts: Returns whether a hint has to report request counts now.
        claim_unsent_counts: Returns the request counts for the next hint to all peers and marks
            them as reported; the argument states whether the hint is a heartbeat.
        recent_counts: Returns the request counts that have changed within a time before now.
        needs_direct_hints: Returns whether counts go directly to all entries, also while relays
            are in force; called for each change that is sent, not for each request.
        is_leaving: Returns whether this entry is shutting down.
        queue: Returns what this entry reports of the online requests that wait here.
    """

    loads: Callable[[], Mapping[str, Load]]
    backlog: Callable[[], Sequence[WaitingGroup]]
    urgent: Callable[[], Hashable]
    describe: Callable[[], AnnouncementContent]
    upstream_sharers: Callable[[], frozenset[str] | None]
    identities_by_key: Callable[[], Mapping[int, str]]
    has_unsent_counts: Callable[[], bool] = lambda: False
    claim_unsent_counts: Callable[[bool], Mapping[int, int]] = lambda is_heartbeat: {}
    recent_counts: Callable[[Millis], Mapping[int, int]] = lambda within: {}
    needs_direct_hints: Callable[[], bool] = lambda: False
    is_leaving: Callable[[], bool] = lambda: False
    queue: Callable[[], QueueReport] = lambda: NOTHING_QUEUED


class Peers:
    """Sends and receives hints and keeps track of the other entries of the deployment.

    Args:
        clock: A clock that keeps running while the host is suspended.
        telemetry: Counts invalid hints.
        name: Name of this entry.
        incarnation: Incarnation of this process.
        address: Address at which this entry receives hints.
        own: Functions that supply the content of this entry's hints.
        failure_domain: Failure domain of this entry, announced to the peers unless it is empty.
        host_capacity: Share of processor times cores, 0 if unknown; ``None`` if the setting
            ``hint_relays`` is off.
    """

    def __init__(
        self,
        clock: Clock,
        telemetry: Telemetry,
        *,
        name: str,
        incarnation: str,
        address: tuple[str, int],
        own: HintSources,
        failure_domain: str = "",
        host_capacity: float | None = None,
    ) -> None:
        self._clock = clock
        self._sender = Sender(
            name=name,
            incarnation=incarnation,
            address=address,
            failure_domain=failure_domain,
            host_capacity=host_capacity,
        )
        self._own = own
        self._table = PeerTable(clock, name)
        self._events = PeerCallbacks()
        self._lock = threading.Lock()
        self._announced_at: Millis = 0.0
        self._announced_to_all_at: Millis = 0.0
        self._repeat_until: Millis = clock.now() + REPEAT_ANNOUNCEMENT_FOR
        self._may_announce_at: Millis = 0.0
        self._is_announcement_due = False
        self._ended_at: dict[str, Millis] = {}
        self._loads_changed = threading.Event()
        self._stopped = threading.Event()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)
        view = RelayView(clock, self._table, name)
        self._relays = HintRelays(
            clock,
            RelayEntry(
                name=name,
                domain=failure_domain,
                heard_at=0.0,
                capacity=host_capacity or 0.0,
                relays=host_capacity is not None,
            ),
            incarnation,
            peers=view.peers,
            group=own.upstream_sharers,
            is_leaving=own.is_leaving,
            send=lambda data, names: self._hints.send_bundle(data, view.addresses(names)),
            set_relay_gauge=lambda value: telemetry.set_gauge("hint_relay", value),
        )
        traffic = HintTraffic(telemetry.count, failure_domain, view.domains)
        self._hints = HintSender(clock, self._socket, self._sender, traffic, self._relays.collect)
        bad_hints = BadRecords(clock, telemetry, "hint", "sender")
        self._receiver = HintReceiver(
            self._socket, self._table, own.identities_by_key, bad_hints, self._relays
        )

    @property
    def identity(self) -> str:
        """Name and incarnation of this entry."""
        return f"{self._sender.name}#{self._sender.incarnation}"

    @property
    def ownership_uncertain_until(self) -> Millis:
        """Time until which peers may have acted on this entry's jobs without its knowledge."""
        return self._table.ownership_uncertain_until

    @property
    def relays_in_force(self) -> bool:
        """Whether hints to other failure domains go through relays; cheap, for each request."""
        return self._relays.in_force

    def start(self, events: PeerCallbacks) -> None:
        """Start to send and receive hints."""
        self._events = events
        self._receiver.start(events)
        self._relays.start()
        threading.Thread(target=self._send_loop, name="hints-out", daemon=True).start()

    def stop(self) -> None:
        """Send a last announcement and stop."""
        self.announce()
        self._stopped.set()
        self._relays.stop()
        self._receiver.stop()

    def set_address(self, name: str, address: tuple[str, int] | None) -> None:
        """Set a peer's address as the store lists it, or remove it with ``None``."""
        self._table.set_address(name, address)

    def names_digest(self) -> int:
        """Return a digest of the names of all known entries, live or not."""
        return self._table.names_digest()

    def live(self) -> list[Peer]:
        """Return the peers whose hints have arrived recently."""
        return self._table.live()

    def by_name(self, name: str) -> Peer | None:
        """Return the live peer of a name, ``None`` if there is none."""
        for peer in self.live():
            if peer.name == name:
                return peer
        return None

    def by_identity(self, identity: str) -> Peer | None:
        """Return the live peer of a name and incarnation, ``None`` if there is none."""
        for peer in self.live():
            if peer.identity == identity:
                return peer
        return None

    def find_job_peer(self, job_id: str) -> Peer | None:
        """Return the live peer that runs a job or holds its results, ``None`` if there is none."""
        for peer in self.live():
            if peer.serves_job(job_id):
                return peer
        return None

    def schedule_load_hint(self) -> None:
        """Wake the sender, which then sends the loads of this entry if they have changed."""
        self._loads_changed.set()

    def announce_ended(self, job_id: str) -> None:
        """Announce, now and for `ANNOUNCE_ENDED_FOR`, that a job has been ended in the store."""
        now = self._clock.now()
        with self._lock:
            self._ended_at = {
                key: at for key, at in self._ended_at.items() if now - at < ANNOUNCE_ENDED_FOR
            }
            self._ended_at[job_id] = now
        self.announce()

    def send_suspects(self, updates: Sequence[SuspectUpdate]) -> None:
        """Send changed evidence against requests that crash upstreams, at once."""
        self._hints.send_suspects(updates, self._table.targets())

    def send_origins(
        self, origin: StreamOrigin, streams: Sequence[str], names: Sequence[str]
    ) -> None:
        """Tell some live peers where streams began."""
        self._hints.send_origins(origin, streams, self._table.targets(), names)

    def recent_pause(self) -> Millis:
        """Return how long this process was suspended last, 0 if it was not recently."""
        return self._table.recent_pause()

    def hears_all_known(self) -> bool:
        """Return whether hints of all known entries arrive."""
        return len(self.live()) >= len(self.known_peers())

    def announce(self) -> None:
        """Send an announcement to all peers at once."""
        now = self._clock.now()
        with self._lock:
            self._announced_at = self._announced_to_all_at = now
            self._repeat_until = now + REPEAT_ANNOUNCEMENT_FOR
            self._is_announcement_due = False
        targets = self._table.targets()
        self._announce_to(list(targets.current.values()), targets.others)
        end = self._clock.now()
        pause = min(MAX_ANNOUNCEMENT_PAUSE, (end - now) * PAUSE_PER_ANNOUNCEMENT)
        with self._lock:
            self._may_announce_at = end + pause

    def announce_soon(self) -> None:
        """Send an announcement to all peers at once, or shortly if the last one took long."""
        with self._lock:
            if self._clock.now() < self._may_announce_at:
                self._is_announcement_due = True
                return
        self.announce()

    def members(self) -> frozenset[str]:
        """Return the names of peers with a hint within `FORGET_AFTER`, which covers a restart."""
        return self._table.members()

    def known_peers(self) -> list[KnownPeer]:
        """Return all other entries with the arrival of their last hint, ``None`` if only listed."""
        return self._table.known_peers()

    def _announce_to(
        self, current: Sequence[tuple[str, int]], others: Sequence[tuple[str, int]]
    ) -> None:
        self._hints.announce(
            self._own.describe(),
            current=current,
            others=others,
            silent=self._table.silent(),
            ended=self._ended_jobs_to_announce(),
        )

    def _ended_jobs_to_announce(self) -> list[str]:
        now = self._clock.now()
        with self._lock:
            return [key for key, at in self._ended_at.items() if now - at < ANNOUNCE_ENDED_FOR]

    def _send_loop(self) -> None:
        announced_state: Hashable = None
        sent_loads: tuple[Mapping[str, Load], Hashable] = ({}, NOTHING_QUEUED.state)
        send_limiter = LoadSendLimiter()
        heartbeat_at: Millis = 0.0
        check_at: Millis = 0.0
        while not self._stopped.is_set():
            pause = CHECK_INTERVAL
            try:
                now = self._clock.now()
                if now >= check_at:
                    check_at = now + CHECK_INTERVAL
                    self._check_silence()
                    urgent = (self._own.urgent(), tuple(self._table.silent()))
                    if urgent != announced_state or self._must_announce(now):
                        announced_state = urgent
                        heartbeat_at = now + HEARTBEAT_INTERVAL
                        self.announce()
                    elif now >= heartbeat_at:
                        heartbeat_at = now + HEARTBEAT_INTERVAL
                        self._send_heartbeat(now)
                    self._announce_to_new_peers()
                loads = self._own.loads()
                queue = self._own.queue()
                # Handovers are repeated in each hint while they last, since hints are lost.
                is_changed = (loads, queue.state) != sent_loads
                loads_changed = is_changed or bool(queue.handovers)
                if is_changed or self._own.has_unsent_counts():
                    targets = self._targets_for_change()
                    sharers = self._own.upstream_sharers()
                    recipients = len(targets.direct_recipients(sharers))
                    pause = send_limiter.delay_before_send(now, peers=recipients)
                    if pause <= 0.0:
                        sent_loads = (loads, queue.state)
                        self._hints.send_loads(
                            loads,
                            self._own.backlog(),
                            self._own.claim_unsent_counts(False),
                            targets=targets,
                            sharers=sharers,
                            queue=queue,
                            loads_changed=loads_changed,
                        )
                        send_limiter.record_send(now, peers=recipients)
                        pause = CHECK_INTERVAL
                pause = min(pause, max(0.0, check_at - self._clock.now()))
            except Exception:  # noqa: BLE001
                logging.exception("event=hint_failed")
            self._wait_for_change(pause)

    def _must_announce(self, now: Millis) -> bool:
        with self._lock:
            return self._is_announcement_due and now >= self._may_announce_at

    def _targets_for_change(self) -> HintTargets:
        """Return the addresses for a change of loads or counts, which relays may pass on."""
        targets = self._table.targets()
        plan = self._relays.plan_for_sending()
        return targets_with_relays(
            targets, plan, sends_counts_directly=self._own.needs_direct_hints()
        )

    def _send_heartbeat(self, now: Millis) -> None:
        """Send a heartbeat to all peers: an announcement if one is due, or else a load hint."""
        targets = self._table.targets()
        unrelated = self._relays.unrelated() & targets.count_readers
        seldom = unrelated & targets.settled
        interval = UNRELATED_ANNOUNCEMENT_INTERVAL if seldom else ANNOUNCEMENT_INTERVAL
        if now < self._repeat_until or now - self._announced_to_all_at >= interval:
            self._announced_at = self._announced_to_all_at = now
            self._announce_to(list(targets.current.values()), targets.others)
            return
        if self._ended_jobs_to_announce() or self._table.silent():
            self._announce_to(list(targets.current.values()), targets.others)
            return
        counts = self._own.claim_unsent_counts(True)
        if now - self._announced_at >= ANNOUNCEMENT_INTERVAL:
            self._announced_at = now
            self._send_unrelated_heartbeat(counts, targets, seldom)
            often = targets.without(seldom).current
            self._announce_to(list(often.values()), targets.others)
            return
        if unrelated:
            self._send_unrelated_heartbeat(counts, targets, unrelated)
            targets = targets.without(unrelated)
        self._hints.send_loads(
            self._own.loads(),
            self._own.backlog(),
            counts,
            targets=targets,
            sharers=None,
            queue=self._own.queue(),
        )
        self._announce_to((), targets.others)

    def _send_unrelated_heartbeat(
        self, counts: Mapping[int, int], targets: HintTargets, names: frozenset[str]
    ) -> None:
        """Send a heartbeat to entries of other domains that share no upstream.

        Args:
            counts: Counts that a heartbeat reports while an organisation is near its limit.
            targets: Addresses of the other entries.
            names: Names of those entries.
        """
        if not self._own.needs_direct_hints():
            counts = self._own.recent_counts(UNRELATED_COUNTS_TIME)
        self._hints.send_heartbeat_without_loads(counts, targets, names)

    def _announce_to_new_peers(self) -> None:
        """Send an announcement to peers that have just started.

        A peer ignores the load hints of this entry until it has an announcement.
        """
        names = self._table.pop_new_peers()
        if names:
            current = self._table.targets().current
            self._announce_to([current[name] for name in names if name in current], ())

    def _wait_for_change(self, pause: Millis) -> None:
        self._loads_changed.wait(pause / 1000.0)
        self._loads_changed.clear()

    def _check_silence(self) -> None:
        silent = self._table.check_silence()
        for peer in silent.lost:
            self._events.lost(peer)
        for peer in silent.gone:
            self._events.gone(peer)
