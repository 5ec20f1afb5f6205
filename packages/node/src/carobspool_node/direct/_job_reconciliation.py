"""Compares the open jobs in the store with the entries that run them.

A write that makes an entry the owner of a job can take effect when nobody waits for it any more:
the entry has ended, or has stopped reading the job. No hint, start or end of an entry tells of such
a job. One entry therefore compares, on behalf of all, the stored open jobs with what their owners
confirm, and offers those that nobody runs for a takeover.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.problems import UnusableRecordError
from carobspool_core.records import read_record
from carobspool_node.direct._job_adoption import JobAdoption
from carobspool_node.direct._job_index import JobIndex
from carobspool_node.direct._peer_calls import PeerCaller, PeerCallError
from carobspool_node.direct._peer_messages import JobsAnswer
from carobspool_node.direct._peers import Peers

RECONCILIATION_INTERVAL_S = 3.0
"""Time between two comparisons. Each costs two calls to the store, which return the changes since
the last one."""
CONFIRMATION_TIMEOUT: Millis = 900.0
JOBS_OPERATION = "jobs"
QUIET_TIME: Millis = 4_000.0
"""Time without a change of a job's record after which its owner has to confirm it. An owner commits
the progress of running items each 2.5 s, and a new owner needs a second to be known."""


class JobReconciliation:
    """Finds stored open jobs that no entry runs.

    Args:
        clock: The process's clock.
        index: The open jobs in the store.
        adoption: Makes this entry the owner of jobs.
        leaving: Set when this process shuts down.
        has_duty: Returns whether this entry compares on behalf of all.
        are_peers_known: Returns whether this entry has run for long enough to know which peers
            are alive.
        wake_adoption: Called when jobs without an owner were found.
    """

    def __init__(
        self,
        clock: Clock,
        index: JobIndex,
        adoption: JobAdoption,
        *,
        leaving: threading.Event,
        has_duty: Callable[[], bool],
        are_peers_known: Callable[[], bool],
        wake_adoption: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._index = index
        self._adoption = adoption
        self._leaving = leaving
        self._has_duty = has_duty
        self._are_peers_known = are_peers_known
        self._wake_adoption = wake_adoption

    def start(self) -> None:
        """Start the thread that compares."""
        threading.Thread(target=self._loop, name="reconcile", daemon=True).start()

    def reconcile(self) -> int:
        """Compare once, if this entry has the duty; return how many jobs nobody runs."""
        if not self._are_peers_known() or not self._has_duty():
            self._index.forget()
            return 0
        if not self._index.refresh():
            return 0
        now = self._clock.now()
        jobs = {
            job_id: job
            for job_id, job in self._index.open_jobs().items()
            if now - job.since >= QUIET_TIME
        }
        confirmed = self._adoption.confirmed_jobs({key: job.owner for key, job in jobs.items()})
        unattended = [job_id for job_id in jobs if job_id not in confirmed]
        for job_id in unattended:
            self._adoption.add_unattended(
                job_id, "nobody runs it", version=jobs[job_id].version, after=0.0
            )
        if unattended:
            logging.warning(
                "event=jobs_unattended count=%d open=%d first=%s",
                len(unattended),
                len(jobs),
                unattended[0],
            )
            self._wake_adoption()
        return len(unattended)

    def _loop(self) -> None:
        while not self._leaving.wait(RECONCILIATION_INTERVAL_S):
            try:
                self.reconcile()
            except Exception:  # noqa: BLE001
                logging.exception("event=reconciliation_failed")


def ask_peers(peers: Peers, caller: PeerCaller) -> Callable[[str, Sequence[str]], frozenset[str]]:
    """Return a function that asks a live peer, by its identity, which of some jobs it runs."""

    def ask(identity: str, job_ids: Sequence[str]) -> frozenset[str]:
        peer = peers.by_identity(identity)
        if peer is None:
            return frozenset()
        body = {"ids": list(job_ids)}
        try:
            status, answer = caller.call(peer, JOBS_OPERATION, body, CONFIRMATION_TIMEOUT)
            if status != 200:
                return frozenset()
            return frozenset(read_record(JobsAnswer, answer).running)
        except (PeerCallError, UnusableRecordError) as error:
            logging.warning("event=peer_call_failed peer=%s reason=%r", identity, error)
            return frozenset()

    return ask
