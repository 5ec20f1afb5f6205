"""Gives streams that may run only once a copy, and finds where a broken one continues."""

from __future__ import annotations

import re
import threading
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

from absl import logging

from carobspool_core import Clock, Millis
from carobspool_core.direct import Configuration, Load, Route, Upstream
from carobspool_core.stream_backups import (
    BackupCandidate,
    ContinuationWay,
    LossReason,
    choose_backup,
    needs_backup,
)
from carobspool_node.stream_backups._backed_up_runs import (
    BackedUpRun,
    EngineCall,
    NextRun,
    Reach,
    address_of,
)
from carobspool_node.stream_backups._run_moves import MoveKind, RunMoves

MOVE_TIMEOUT: Millis = 150.0
"""Longest time for the move of a run. Callers notice a pause of 300 ms, and the continuation itself
takes up to 100 ms until its first event."""
FREE_TIMEOUT: Millis = 150.0
SMOOTHING = 0.05
"""Weight of a new request in the mean tokens of a service, which covers about twenty requests."""


_PLAIN_ID = re.compile(r"[!-.0-~]{1,200}")
"""Ids that read the same in a header after a slash and in a JSON body. An engine that read another
id in a move call would answer that it has no such run, while the run goes on."""


class Metrics(Protocol):
    """The metrics of the process."""

    def count(self, name: str, value: int = 1, **labels: str) -> None:
        """Add to a counter."""

    def observe_duration(self, name: str, duration: Millis) -> None:
        """Record a duration in milliseconds."""


class StreamBackups:
    """Copies of this entry's streams at second engines. Thread-safe.

    Args:
        clock: The process's clock.
        metrics: The metrics of the process.
        setting: The setting ``stream_backups``.
        moves: Format of the calls on runs, ``None`` if the platform has none.
        configuration: Returns the configuration in force.
        listed: Returns all registered upstreams.
        call: Makes a call to an engine.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        *,
        setting: str,
        moves: RunMoves | None,
        configuration: Callable[[], Configuration | None],
        listed: Callable[[], Iterable[Upstream]],
        call: EngineCall,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._setting = setting
        self._moves = moves
        self._configuration = configuration
        self._listed = listed
        self._call = call
        self._lock = threading.Lock()
        self._copied_tokens: Counter[str] = Counter()
        self._mean_tokens: dict[str, float] = {}

    def in_force(self, service: str) -> bool:
        """Whether streams of a service get copies now."""
        if self._setting == "off":
            return False
        configuration = self._configuration()
        return configuration is not None and service in configuration.engine_backups

    def begin(
        self,
        request_id: str,
        route: Route,
        source: Upstream,
        healthy: Sequence[tuple[Upstream, Load]],
        *,
        tokens: int,
        is_suspect: bool,
    ) -> BackedUpRun | None:
        """Choose and count the copy of a run, ``None`` if the run gets none.

        Args:
            request_id: Id of the request.
            route: The route that matches the request.
            source: The engine that is about to run the request.
            healthy: The healthy engines of the service with their loads.
            tokens: Tokens that the request occupies at its end, 0 if it states none.
            is_suspect: Whether the request is suspected of crashing engines.
        """
        if not needs_backup(route, is_suspect=is_suspect, healthy=len(healthy)):
            return None
        if not _PLAIN_ID.fullmatch(request_id):
            return None
        configuration = self._configuration()
        memory = {} if configuration is None else configuration.engine_memory
        with self._lock:
            mean = self._mean_tokens.get(source.service, float(tokens))
            mean += (tokens - mean) * SMOOTHING
            self._mean_tokens[source.service] = mean
            candidates = [
                BackupCandidate(
                    upstream=each,
                    in_use=load.total,
                    tokens=load.total * mean + self._copied_tokens[each.identity],
                )
                for each, load in healthy
            ]
            target = choose_backup(
                request_id,
                source,
                candidates,
                tokens=tokens,
                capacity=memory.get(source.service),
            )
            if target is None:
                return None
            self._copied_tokens[target.identity] += tokens
        self._metrics.count("streams_backed_up")
        return BackedUpRun(request_id=request_id, source=source, target=target, tokens=tokens)

    def end(self, run: BackedUpRun) -> None:
        """Count the end of a run with a copy."""
        with self._lock:
            self._copied_tokens[run.target.identity] -= int(run.tokens)
            if self._copied_tokens[run.target.identity] <= 0:
                del self._copied_tokens[run.target.identity]

    def next_run(self, run: BackedUpRun, *, is_refused: bool) -> NextRun | LossReason:
        """Return where a broken stream continues, or why it must not.

        A run that may still be working is stopped first. If it cannot be stopped for certain, the
        stream ends: the continuation would be a second run of a request that may run only once.
        A later start of the engine does not show that the run has ended. The request may have
        reached that start before its registration was known here; its answer to the move tells.

        Args:
            run: The run whose connection broke.
            is_refused: Whether the engine then refused connections.
        """
        if is_refused:
            return _from_copy(run)
        configuration = self._configuration()
        if self._moves is None or configuration is None:
            return LossReason.STILL_RUNNING
        if run.source.service not in configuration.engine_moves:
            return LossReason.STILL_RUNNING
        deadline = self._clock.now() + MOVE_TIMEOUT
        request = self._moves.move_request(run.request_id, address_of(run.target))
        answer = self._call(run.source, *request, deadline=deadline)
        if answer.reach is Reach.BROKEN:
            # A process that ends can close its connections before its listener. If the first call
            # did stop the run, the second one finds no run.
            answer = self._call(run.source, *request, deadline=deadline)
        if answer.reach is Reach.REFUSED:
            return _from_copy(run, source_crashed=True)
        if answer.reach is Reach.UNREACHABLE and not self._is_registered(run.source):
            return _from_copy(run)
        if answer.reach is not Reach.ANSWERED:
            return LossReason.STILL_RUNNING
        move = self._moves.read_move(answer.status, answer.body)
        if move.kind is MoveKind.NO_RUN:
            return _from_copy(run)
        if move.kind is MoveKind.FAILED:
            return LossReason.STILL_RUNNING
        moved = move.kind is MoveKind.MOVED
        return NextRun(
            upstream=run.target if moved else run.source,
            way=ContinuationWay.MOVED if moved else ContinuationWay.SOURCE,
            run_from=f"{address_of(run.source)}/{move.handle}".encode(),
            handle=move.handle,
        )

    def free(self, run: BackedUpRun, handle: str) -> None:
        """Free a handle that was not used; the engine drops it after some seconds otherwise."""
        if self._moves is None:
            return
        method, path = self._moves.free_request(handle)
        deadline = self._clock.now() + FREE_TIMEOUT
        answer = self._call(run.source, method, path, b"", deadline=deadline)
        logging.info(
            "event=run_freed request=%s upstream=%s handle=%s status=%d",
            run.request_id,
            run.source.instance,
            handle,
            answer.status,
        )

    def record_continued(
        self, run: BackedUpRun, next_run: NextRun, *, events: int, pause: Millis
    ) -> None:
        """Log and count a continuation by its first event.

        Args:
            run: The run that broke.
            next_run: The continuation.
            events: Id of the last event before it.
            pause: Time since that event.
        """
        self._metrics.count("streams_continued", way=next_run.way.value)
        self._metrics.observe_duration("continuation_pause", pause)
        logging.info(
            "event=stream_continued request=%s from=%s to=%s from_version=%s to_version=%s way=%s"
            " events=%d pause_ms=%.0f",
            run.request_id,
            run.source.instance,
            next_run.upstream.instance,
            run.source.version,
            next_run.upstream.version,
            next_run.way.value,
            events,
            pause,
        )

    def record_lost(self, request_id: str, upstream: Upstream, reason: LossReason) -> None:
        """Log and count a stream with a copy that ends unfinished."""
        self._metrics.count("streams_lost", reason=reason.value)
        logging.info(
            "event=stream_lost request=%s upstream=%s reason=%s",
            request_id,
            upstream.instance,
            reason.value,
        )

    def _is_registered(self, upstream: Upstream) -> bool:
        return any(each.instance == upstream.instance for each in self._listed())


def _from_copy(run: BackedUpRun, *, source_crashed: bool = False) -> NextRun:
    return NextRun(
        upstream=run.target,
        way=ContinuationWay.COPY,
        run_from=run.target_address + f"/{run.request_id}".encode(),
        source_crashed=source_crashed,
    )
