"""Runs and copies of runs of the stand-in in `engine_backups`, and its faults."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field

from carobspool_standins.platform_server import PlatformServer, ServedRequest, ServerConnection


@dataclass(slots=True)
class EngineFaults:
    """Faults of one engine, which a test switches on.

    Attributes:
        copied_events: Number of events after which copies of its runs do not grow; 0: no copies.
        no_room: Whether it accepts no copies and no moved runs.
        silent: Whether it leaves move calls unanswered, and their runs working.
        move_status: Status with which it answers move calls, leaving their runs working; 0: none.
        move_delay_s: Time between the stop of a run and the answer to the move call.
        skips_event: Whether a run that continues here leaves out its first event.
    """

    copied_events: int | None = None
    no_room: bool = False
    silent: bool = False
    move_status: int = 0
    move_delay_s: float = 0.0
    skips_event: bool = False


@dataclass(slots=True, eq=False)
class EngineRun:
    """One run of a request at one engine.

    Attributes:
        request: The request.
        server: The engine.
        way: ``new``, ``copy`` or ``handle``: where its memory came from.
        events: Id of its last event.
        finished: Whether it has sent its last event.
    """

    request: ServedRequest
    server: PlatformServer
    way: str
    connection: ServerConnection
    events: int = 0
    finished: bool = False
    continued_at: float | None = None
    copied_at: float = 0.0
    moving: bool = False
    stop: threading.Event = field(default_factory=threading.Event)
    over: threading.Event = field(default_factory=threading.Event)

    @property
    def is_working(self) -> bool:
        """Whether the run still produces events; a run ends with its engine's process."""
        ended = self.connection.server_crashed or self.server.started != self.request.started
        return not (self.over.is_set() or self.stop.is_set() or ended)


@dataclass(slots=True)
class RunMemory:
    """A run's memory at an engine, up to one of its events."""

    run: EngineRun
    at: PlatformServer
    started: int
    events: int
    until: float
    used: bool = False

    def is_kept_by(self, server: PlatformServer) -> bool:
        alive = server.started == self.started and time.monotonic() < self.until
        return self.at is server and alive
