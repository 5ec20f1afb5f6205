"""The end of an entry that was asked to stop.

It serves on until the balancer has taken it out and its batch jobs have another owner, then takes
nothing more, answers what it has taken, and is gone before it would be killed.
"""

from __future__ import annotations

import threading
from collections.abc import Sequence

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.direct import SILENT_AFTER, Successor, lets_jobs_go
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._listener import Listener
from carobspool_node.direct._messages import CallerRequest
from carobspool_node.direct._peers import Peers
from carobspool_node.direct._telemetry import Telemetry

MIN_DRAIN: Millis = 2_500.0
"""How long a leaving entry serves on: the balancer needs two misses, a second apart, to take it
out, and callers use open connections until then."""
EXIT_MARGIN: Millis = 1_200.0
"""Time before the kill at which a leaving entry exits whatever still runs. It then needs up to
1.0 s: the last commits 0.4 s, the last log lines 0.5 s, refusals under way 0.1 s."""
LAST_COMMITS: Millis = 1_500.0
"""How long it waits for commits of jobs that it gives up: one call to a store that does not answer.
What is not committed then is run again by the next owner."""
COMMITS_AT_EXIT: Millis = 400.0
"""The same when it is about to be gone: a call to a slow store takes 0.3 s."""
POLL_S = 0.05
CUT_LINES = 50
"""Requests cut by the exit that are logged one by one; the count in the last line holds all."""


class EntryExit:
    """Leads an entry to its exit.

    Args:
        clock: The process's clock.
        runner: Works on the owned jobs.
        peers: The other entries.
        telemetry: Logs.
        limit: Time between the signal to stop and the kill.
    """

    def __init__(
        self,
        clock: Clock,
        runner: JobRunner,
        peers: Peers,
        telemetry: Telemetry,
        *,
        limit: Millis,
    ) -> None:
        self._clock = clock
        self._runner = runner
        self._peers = peers
        self._telemetry = telemetry
        self._limit = limit
        self._exit_at: Millis | None = None

    @property
    def time_left(self) -> Millis | None:
        """Time until the process exits at the latest, ``None`` when it is not leaving."""
        return None if self._exit_at is None else self._exit_at - self._clock.now()

    def run(self, callers: Listener) -> None:
        """Leave; the process can end when this returns."""
        logging.info("event=stop_requested busy=%d", callers.busy)
        began = self._clock.now()
        self._exit_at = began + self._limit - EXIT_MARGIN
        callers.drain()
        self._peers.announce()
        self._serve_on(callers, began)
        cut = callers.close()
        self._runner.stop(COMMITS_AT_EXIT)
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
        callers.close_socket()

    def _serve_on(self, callers: Listener, began: Millis) -> None:
        while (time_left := self.time_left) is not None and time_left > 0:
            has_jobs = self._hand_jobs_over(time_left)
            drained = self._clock.now() - began >= MIN_DRAIN
            if drained and not has_jobs and callers.close_if_idle():
                return
            threading.Event().wait(POLL_S)

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
        self._runner.let_go(min(LAST_COMMITS, time_left))
        self._peers.announce()
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
