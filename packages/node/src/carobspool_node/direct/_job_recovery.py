"""Finds new owners for the jobs of entries that are gone.

The hints of an entry name its jobs, so that its peers know at once which jobs have lost their
owner. Hints are datagrams, however, and a job that an entry accepted shortly before its end may
never have been named in a hint that arrived. Entries therefore list the jobs in the store when they
start, and when a peer does not come back.
"""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

from absl import logging

from carobspool_core import Clock, Millis, preferred_node
from carobspool_core.direct import DEAD_AFTER
from carobspool_node.direct._job_adoption import JobAdoption
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._peer import Peer
from carobspool_node.direct._peers import Peers

SETTLE_TIME: Millis = DEAD_AFTER + 300.0
"""Time after its start during which an entry considers no peer as gone. By its end, each peer has
sent full hints."""
ORPHAN_INTERVAL_S = 0.5
"""Time between two attempts to find owners for orphans, for instance while the store is
unreachable."""
RETRY_PAUSE_S, RETRY_JITTER_S = 0.3, 0.3
"""Delay between two attempts to list the jobs, randomised because all entries retry after an outage
of the store."""
ORPHAN_SEARCH_DUTY = "search"


class JobRecovery:
    """Takes over the jobs of entries that are gone.

    Args:
        clock: The process's clock.
        adoption: Makes this entry the owner of jobs.
        runner: Runs the owned jobs.
        peers: The other entries.
        node: Name of this entry.
        leaving: Set when this process shuts down.
        has_duty: Returns whether this entry is the one, among those that reach the store, that
            performs the named duty for all.
    """

    def __init__(
        self,
        clock: Clock,
        adoption: JobAdoption,
        runner: JobRunner,
        peers: Peers,
        *,
        node: str,
        leaving: threading.Event,
        has_duty: Callable[[str], bool],
    ) -> None:
        self._clock = clock
        self._adoption = adoption
        self._runner = runner
        self._peers = peers
        self._node = node
        self._leaving = leaving
        self._has_duty = has_duty
        self._started = clock.now()
        self._wake = threading.Event()
        self._search_requested = threading.Event()

    def start(self, *, first_start: bool) -> None:
        """Start the threads that take jobs over.

        Args:
            first_start: Whether the whole system starts for the first time, so that the store can
                hold no job that this entry has to take over.
        """
        if not first_start:
            threading.Thread(target=self._recover_after_start, name="recover", daemon=True).start()
        threading.Thread(target=self._adopt_orphans, name="orphans", daemon=True).start()

    def are_peers_known(self) -> bool:
        """Return whether this entry has run for long enough to know which peers are alive."""
        return self._clock.now() - self._started >= SETTLE_TIME

    def wake(self) -> None:
        """Look for owners of orphans now."""
        self._wake.set()

    def peer_lost(self, peer: Peer) -> None:
        """Find new owners for the open jobs that a lost peer has named in its hints."""
        reason = f"lost {peer.identity}"
        self._adoption.add_orphans(peer.open_jobs, reason, lost_owner=peer.identity)
        self._wake.set()

    def peer_gone(self, peer: Peer) -> None:
        """Request a search of the store for jobs that a peer owned without having named them.

        Called when the peer does not come back.
        """
        logging.info("event=peer_gone peer=%s", peer.identity)
        self._search_requested.set()

    def _recover_after_start(self) -> None:
        """Take over stored jobs that have no owner after the start of this entry.

        Jobs of an earlier process of this node certainly have no owner and are taken over at once.
        Their items would otherwise not run until the entries know which peers are alive. Jobs of
        other entries are added as orphans and get an owner once the live peers are known.

        A single entry then lists the jobs again on behalf of all. After all entries were lost, a
        listing covers most of the store, and every entry would request one at the same time.
        """
        self._recover_all(lambda job_id, owner: self._was_owned_by_node(owner))
        self._leaving.wait(max(0.0, SETTLE_TIME - (self._clock.now() - self._started)) / 1000.0)
        if self._has_duty(ORPHAN_SEARCH_DUTY):
            self._recover_all(lambda job_id, owner: self._is_assigned_here(job_id))
        logging.info("event=recovered owned=%d", len(self._runner.owned()))

    def _recover_all(self, is_assigned: Callable[[str, str], bool]) -> None:
        while not self._leaving.is_set():
            if self._adoption.take_over_stored_jobs(is_assigned):
                return
            self._leaving.wait(RETRY_PAUSE_S + random.random() * RETRY_JITTER_S)

    def _was_owned_by_node(self, owner: str) -> bool:
        return owner.partition("#")[0] == self._node

    def _is_assigned_here(self, job_id: str) -> bool:
        nodes = [peer.name for peer in self._peers.live() if not peer.leaving]
        nodes.append(self._node)
        return preferred_node(job_id, nodes) == self._node

    def _adopt_orphans(self) -> None:
        while not self._leaving.is_set():
            self._wake.wait(ORPHAN_INTERVAL_S)
            self._wake.clear()
            try:
                self._search_if_requested()
                self._adoption.adopt_orphans(self._is_assigned_here)
            except Exception:  # noqa: BLE001
                logging.exception("event=takeover_failed")

    def _search_if_requested(self) -> None:
        """Search the store for jobs without an owner, once after each peer that is gone.

        Only the entry with the duty searches; a failed search is requested again.
        """
        if not self._search_requested.is_set():
            return
        self._search_requested.clear()
        if not self._has_duty(ORPHAN_SEARCH_DUTY):
            return
        if not self._adoption.take_over_stored_jobs(lambda job_id, owner: True):
            self._search_requested.set()
