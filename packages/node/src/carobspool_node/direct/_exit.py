"""Graceful shutdown of an entry.

The entry continues to serve until the load balancer has removed it and its batch jobs have another
owner. It then refuses new requests, answers those in progress, and exits before it would be killed.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.direct import (
    BALANCER_TIME,
    SILENT_AFTER,
    HandoverCandidate,
    Shutdown,
    should_release_jobs,
)
from carobspool_node.direct._job_runner import JobRunner
from carobspool_node.direct._listener import Listener
from carobspool_node.direct._messages import CallerRequest
from carobspool_node.direct._peers import Peers
from carobspool_node.direct._telemetry import Telemetry

EXIT_MARGIN: Millis = 1_200.0
"""Time before the kill at which the entry exits even if requests are in progress. The exit takes up
to 1.0 s: 0.4 s for the last commits, 0.5 s for the last log lines, 0.1 s for refusals in progress.
"""
HANDOVER_COMMIT_TIMEOUT: Millis = 1_500.0
"""How long the entry waits for commits of the jobs that it hands over: the duration of one call to
a store that does not answer. The next owner runs again what was not committed."""
EXIT_COMMIT_TIMEOUT: Millis = 400.0
"""How long the entry waits for commits at its exit: a call to a slow store takes 0.3 s."""
POLL_INTERVAL_S = 0.05
MAX_CUT_LOG_LINES = 50
"""Number of cut requests that are logged one by one; the ``event=stop`` line counts all of them."""


class EntryExit:
    """Shuts an entry down.

    Args:
        clock: The process's clock.
        runner: Runs the jobs that this entry owns.
        peers: The other entries.
        telemetry: Flushes the log.
        limit: Time between the signal to stop and the kill.
        before_close: Called before requests in progress are answered with an unknown outcome.
    """

    def __init__(
        self,
        clock: Clock,
        runner: JobRunner,
        peers: Peers,
        telemetry: Telemetry,
        *,
        limit: Millis,
        before_close: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._runner = runner
        self._peers = peers
        self._telemetry = telemetry
        self._time_to_kill = limit
        self._before_close = before_close
        self._started: Millis = 0.0
        self._exit_at: Millis | None = None

    @property
    def shutdown(self) -> Shutdown | None:
        """The shutdown in progress, ``None`` if there is none."""
        exit_at = self._exit_at
        if exit_at is None:
            return None
        now = self._clock.now()
        return Shutdown(elapsed=now - self._started, time_left=exit_at - now)

    @property
    def time_left(self) -> Millis | None:
        """Time until the latest exit of the process, ``None`` if it is not shutting down."""
        shutdown = self.shutdown
        return None if shutdown is None else shutdown.time_left

    def run(self, callers: Listener) -> None:
        """Shut down; the process can exit when this returns."""
        logging.info("event=stop_requested busy=%d", callers.busy)
        self._started = self._clock.now()
        self._exit_at = self._started + self._time_to_kill - EXIT_MARGIN
        callers.drain()
        self._peers.announce()
        self._serve_until_drained(callers)
        self._before_close()
        cut = callers.close()
        self._runner.stop(EXIT_COMMIT_TIMEOUT)
        self._peers.stop()
        self._log_cut_requests(cut)
        logging.info(
            "event=stop busy=%d cut=%d open=%d took_ms=%.0f",
            callers.busy,
            len(cut),
            callers.open_connections,
            self._clock.now() - self._started,
        )
        self._telemetry.stop_logs()
        callers.close_socket()

    def _serve_until_drained(self, callers: Listener) -> None:
        while (time_left := self.time_left) is not None and time_left > 0:
            has_jobs = self._hand_over_jobs(time_left)
            drained = self._clock.now() - self._started >= BALANCER_TIME
            if drained and not has_jobs and callers.close_if_idle():
                return
            threading.Event().wait(POLL_INTERVAL_S)

    def _hand_over_jobs(self, time_left: Millis) -> bool:
        """Hand over the open jobs if possible; return whether this entry still owns open jobs."""
        if not self._runner.job_ids(finished=False):
            return False
        now = self._clock.now()
        candidates = [
            HandoverCandidate(
                since_last_hint=now - peer.last_heard_at,
                leaving=peer.leaving,
                store_ok=peer.store_ok,
            )
            for peer in self._peers.live()
        ]
        if not should_release_jobs(candidates, time_left=time_left, silent_after=SILENT_AFTER):
            return True
        self._runner.release_unfinished_jobs(min(HANDOVER_COMMIT_TIMEOUT, time_left))
        self._peers.announce()
        return False

    def _log_cut_requests(self, cut: Sequence[CallerRequest]) -> None:
        """Log the requests that the exit cuts; their ``event=request`` line is never written."""
        now = self._clock.now()
        for request in cut[:MAX_CUT_LOG_LINES]:
            logging.warning(
                "event=exit_cut request=%s host=%s path=%s age_ms=%.0f",
                request.request_id,
                request.host,
                request.path,
                now - request.arrived,
            )
