"""The keeper: confirms that a host may be retired, since no data is stored on the host."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from absl import logging
from returns.pipeline import is_successful

from carobspool_core import ObjectChange, StoredObject, boottime_clock
from carobspool_node.direct._deployment import Deployment
from carobspool_node.direct._follow import Follower
from carobspool_node.direct._metrics_server import serve_metrics
from carobspool_node.direct._reload import SettingsReload
from carobspool_node.direct._settings import DirectSettings
from carobspool_node.direct._stop_signal import StopSignal
from carobspool_node.direct._telemetry import Telemetry

CHECK_INTERVAL_S = 4.0
"""Time between two checks of the settings file and two reads of the retirement requests. A watch
that misses a change shows no fault for its 30 s, but a host must be released some eight seconds
after the request. Each read of the requests is one call to the store."""


class Keeper:
    """Confirms requests to retire a host; all durable data is in the object store."""

    def __init__(
        self, settings: DirectSettings, deployment: Deployment, reload: SettingsReload
    ) -> None:
        self._settings = settings
        self._reload = reload
        self._deployment = deployment
        self._clock = boottime_clock()
        self._store = deployment.open_store(settings, self._clock)
        self._telemetry = Telemetry()
        self._stop = StopSignal()
        self._answered_versions: set[int] = set()
        self._follower = Follower(
            self._store,
            deployment.retirement_prefix,
            on_listing=self._on_listing,
            on_change=self._on_change,
        )

    def run(self) -> int:
        """Run until SIGTERM arrives; return the exit code."""
        settings = self._settings
        self._telemetry.start_logs(settings.node, settings.log_level)
        logging.info("event=start node=%s role=keeper", settings.node)
        self._stop.listen()
        self._reload.listen()
        serve_metrics((settings.address, settings.metrics_port), self._telemetry, self._clock)
        self._follower.start()
        while not self._stop.wait(CHECK_INTERVAL_S):
            self._reload.check()
            self._follower.refresh()
        logging.info("event=stop")
        self._telemetry.stop_logs()
        return 0

    def _on_listing(self, objects: Sequence[StoredObject]) -> None:
        self._answered_versions &= {each.version for each in objects}
        for each in objects:
            if each.version not in self._answered_versions:
                self._release_host(each)

    def _on_change(self, change: ObjectChange) -> None:
        if not change.deleted:
            self._release_host(change.object)

    def _release_host(self, request: StoredObject) -> None:
        # Every keeper answers, and each answer is a change that all keepers receive. The store
        # reports no change for a write that alters nothing, so the answers stop by themselves.
        key = f"{request.key}/status"
        written = self._store.update(key, self._deployment.retired, version=request.version)
        if is_successful(written):
            self._answered_versions.add(written.unwrap().version)
        logging.info("event=host_released host=%s done=%s", request.key, is_successful(written))


def make_keeper(settings: DirectSettings, deployment: Deployment, path: Path) -> Keeper:
    """Return a keeper that is not started yet; ``path`` is the file of its settings."""
    return Keeper(settings, deployment, SettingsReload(path, settings))
