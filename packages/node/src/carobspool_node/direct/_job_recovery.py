"""Finds a new owner for the jobs of processes that are gone.

Hints name the jobs of each entry, so a loss is known at once. They are datagrams, though, and a job
that was accepted in the last moments of an entry may have been named to nobody. What the store
holds is therefore listed when an entry starts, and when one does not come back.
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
"""How long after its start an entry judges nobody as gone; each peer has sent full hints then."""
ORPHAN_INTERVAL_S = 0.5
"""Time between two tries to find an owner for jobs that have none, while the store is away."""
RETRY_PAUSE_S, RETRY_JITTER_S = 0.3, 0.3
"""Pause between two tries to list the jobs; drawn, since all entries try after an outage."""
SEARCH_DUTY = "search"


class JobRecovery:
    """Takes over what processes that are gone have left.

    Args:
        clock: The process's clock.
        adoption: Takes jobs on for this entry.
        runner: Works on the owned jobs.
        peers: The other entries.
        node: Name of this entry.
        leaving: Set when this process is to stop.
        has_duty: Whether this entry, of all that reach the store, does a duty for all of them.
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
        self._search_wanted = threading.Event()

    def start(self, *, first_start: bool) -> None:
        """Start to work.

        Args:
            first_start: Whether the whole system starts for the first time, so that the store can
                hold no job that this entry has to take over.
        """
        if not first_start:
            threading.Thread(target=self._recover, name="recover", daemon=True).start()
        threading.Thread(target=self._adopt_orphans, name="orphans", daemon=True).start()

    def peers_settled(self) -> bool:
        """Whether this entry has been up for long enough to judge who is gone."""
        return self._clock.now() - self._started >= SETTLE_TIME

    def peer_lost(self, peer: Peer) -> None:
        """Find owners for the jobs that a peer has named in its hints."""
        reason = f"lost {peer.identity}"
        self._adoption.orphaned(peer.open_jobs, reason, lost_owner=peer.identity)
        self._wake.set()

    def peer_gone(self, peer: Peer) -> None:
        """Search the store for jobs that a peer, which does not come back, has named to nobody."""
        logging.info("event=peer_gone peer=%s", peer.identity)
        self._search_wanted.set()

    def _recover(self) -> None:
        """Take over what a start of the whole system left without an owner.

        What an earlier process of this node owned has no owner for certain, and is taken back at
        once: its items would otherwise stand still until the entries know who else lives. What
        others owned is noted, and found an owner once it is known who lives. One entry then lists
        the jobs again for all: after a loss of everything each listing is most of what the store
        holds, and all entries would ask for it at once.
        """
        self._recover_all(lambda job_id, owner: self._was_own(owner))
        self._leaving.wait(max(0.0, SETTLE_TIME - (self._clock.now() - self._started)) / 1000.0)
        if self._has_duty(SEARCH_DUTY):
            self._recover_all(lambda job_id, owner: self._is_mine(job_id))
        logging.info("event=recovered owned=%d", len(self._runner.owned()))

    def _recover_all(self, mine: Callable[[str, str], bool]) -> None:
        while not self._leaving.is_set():
            if self._adoption.recover(mine):
                return
            self._leaving.wait(RETRY_PAUSE_S + random.random() * RETRY_JITTER_S)

    def _was_own(self, owner: str) -> bool:
        return owner.partition("#")[0] == self._node

    def _is_mine(self, job_id: str) -> bool:
        nodes = [peer.name for peer in self._peers.live() if not peer.leaving]
        nodes.append(self._node)
        return preferred_node(job_id, nodes) == self._node

    def _adopt_orphans(self) -> None:
        while not self._leaving.is_set():
            self._wake.wait(ORPHAN_INTERVAL_S)
            self._wake.clear()
            try:
                self._search_if_wanted()
                self._adoption.adopt_orphans(self._is_mine)
            except Exception:  # noqa: BLE001
                logging.exception("event=takeover_failed")

    def _search_if_wanted(self) -> None:
        """List the store for jobs without an owner, once for each entry that is gone."""
        if not self._search_wanted.is_set():
            return
        self._search_wanted.clear()
        if not self._has_duty(SEARCH_DUTY):
            return
        if not self._adoption.recover(lambda job_id, owner: True):
            self._search_wanted.set()
