"""Probes an upstream's health and tells a crash from a single broken connection."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import replace

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_node.upstreams._upstream_http import CallEnd, UpstreamCall, call_whole

PROBE_INTERVAL: Millis = 1_000.0
PROBE_INTERVAL_DOWN: Millis = 250.0
PROBE_TIMEOUT: Millis = 900.0
BROKEN_PROBE_TIMEOUT: Millis = 200.0
"""A host that is up refuses or takes a connection within a millisecond; callers wait for this."""


class UpstreamHealth:
    """Watches one upstream by its health endpoint. Since 0.1.

    A broken connection alone may be the network or a cancelled stream; the upstream counts as down
    only when a probe finds that it no longer takes connections.

    Args:
        upstream: Base URL.
        clock: This process's clock.
        on_down: Called once when the upstream is found down.
        on_up: Called once when it answers again.
    """

    def __init__(
        self,
        upstream: str,
        clock: Clock,
        *,
        on_down: Callable[[], None],
        on_up: Callable[[], None],
    ) -> None:
        self._call = UpstreamCall(
            method="GET",
            url=f"{upstream.rstrip('/')}/health",
            headers={},
            timeout=PROBE_TIMEOUT,
        )
        self._clock = clock
        self._on_down = on_down
        self._on_up = on_up
        self._up = False
        self._lock = threading.Lock()
        self._poke = threading.Event()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="upstream-health", daemon=True)

    @property
    def up(self) -> bool:
        """Whether the last probe was answered."""
        return self._up

    def start(self) -> None:
        """Probe once in this thread, then go on in a task of its own."""
        self.probe()
        self._thread.start()

    def stop(self) -> None:
        """End the task."""
        self._stopped = True
        self._poke.set()

    def probe_now(self) -> None:
        """Probe in this thread, because a connection broke; callers at the same time share one."""
        with self._lock:
            if self._up:
                self._probe(replace(self._call, timeout=BROKEN_PROBE_TIMEOUT))

    def probe(self) -> None:
        """Probe once and tell a change."""
        with self._lock:
            self._probe(self._call)

    def _probe(self, call: UpstreamCall) -> None:
        result, _ = call_whole(call)
        refused = result.end in (CallEnd.NOT_SENT, CallEnd.BROKEN)
        answered = result.end is CallEnd.COMPLETE and result.status == 200
        if self._up and refused:
            self._up = False
            logging.warning("event=upstream_down detail=%s", result.detail)
            self._on_down()
            return
        if not self._up and answered:
            self._up = True
            logging.info("event=upstream_up")
            self._on_up()

    def _run(self) -> None:
        while not self._stopped:
            interval = PROBE_INTERVAL if self._up else PROBE_INTERVAL_DOWN
            self._poke.wait(interval / 1000.0)
            self._poke.clear()
            if self._stopped:
                return
            self.probe()
