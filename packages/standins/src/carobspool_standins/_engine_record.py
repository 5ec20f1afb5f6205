"""Append-only record of the engine's runs; tests read it to check what was executed."""

from __future__ import annotations

import threading
from dataclasses import asdict, dataclass
from typing import Any

from carobspool_core import wall_millis


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of a request. ``outcome`` is ``None`` while it is in progress."""

    id: str
    model: str
    digest: str
    started: int
    ended: int | None = None
    outcome: str | None = None
    tokens: int = 0
    resumed: bool = False


class RunRecord:
    """All runs since the process started, in order of arrival; simulated crashes don't clear it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._runs: list[Run] = []

    def begin(self, stream_id: str, model: str, digest: str, *, resumed: bool = False) -> Run:
        """Append a run that starts now and return it."""
        run = Run(id=stream_id, model=model, digest=digest, started=wall_millis(), resumed=resumed)
        with self._lock:
            self._runs.append(run)
        return run

    def end(self, run: Run, outcome: str, tokens: int) -> None:
        """Record how a run ended; later calls for the same run have no effect."""
        with self._lock:
            if run.outcome is not None:
                return
            run.outcome = outcome
            run.tokens = tokens
            run.ended = wall_millis()

    def runs_from(self, index: int) -> list[dict[str, Any]]:
        """Return the runs from position ``index`` on."""
        with self._lock:
            return [asdict(run) for run in self._runs[index:]]
