"""The process on hosts with a disk: it keeps nothing there, so it lets them go when asked."""

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
"""Time between two looks at the settings file and two readings of the requests. A watch can hear
nothing and look alive for its 30 s, while a host is to be empty some eight seconds after it was
asked; a reading is one call."""


class Keeper:
    """Answers requests to empty a host: everything that lasts lies in the object store."""

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
        self._answered: set[int] = set()
        self._follower = Follower(
            self._store,
            deployment.retirement_prefix,
            on_listing=self._listed,
            on_change=self._changed,
        )

    def run(self) -> int:
        """Run until told to stop; return the exit code."""
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

    def _listed(self, objects: Sequence[StoredObject]) -> None:
        self._answered &= {each.version for each in objects}
        for each in objects:
            if each.version not in self._answered:
                self._let_go(each)

    def _changed(self, change: ObjectChange) -> None:
        if not change.deleted:
            self._let_go(change.object)

    def _let_go(self, request: StoredObject) -> None:
        # Each keeper answers, and each answer is told to all of them once more. The store takes a
        # write that changes nothing without a new event, so this comes to rest by itself.
        key = f"{request.key}/status"
        written = self._store.update(key, self._deployment.retired, version=request.version)
        if is_successful(written):
            self._answered.add(written.unwrap().version)
        logging.info("event=host_let_go host=%s done=%s", request.key, is_successful(written))


def make_keeper(settings: DirectSettings, deployment: Deployment, path: Path) -> Keeper:
    """Return a keeper that is not running yet; ``path`` is where its settings come from."""
    return Keeper(settings, deployment, SettingsReload(path, settings))
