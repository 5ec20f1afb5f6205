"""The stand-in for engines that copy and move runs: its calls, and what it judges."""

from __future__ import annotations

import http.client
import json
import re
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack

import pytest

from carobspool_standins._platform_server_start import ServerStart
from carobspool_standins.engine_backups import EngineBackups
from carobspool_standins.platform_server import PlatformServer, serve_platform_server

EVENTS = 60


class _Call(threading.Thread):
    """A request on its own thread; ``ids`` are those of the events that it has received."""

    def __init__(
        self, server: PlatformServer, *, target: str = "/s", method: str = "POST", **headers: str
    ) -> None:
        super().__init__()
        self.status = 0
        self.body = b""
        self._request = (method, target, headers.pop("body", "b"))
        self._headers = {key.replace("_", "-"): value for key, value in headers.items()}
        self._server = server
        self.start()

    @property
    def ids(self) -> list[int]:
        """Ids of the events, once the answer has ended."""
        self.join()
        return [int(each) for each in re.findall(rb"^id: (\d+)$", self.body, re.MULTILINE)]

    def run(self) -> None:
        connection = http.client.HTTPConnection(*self._server.address, timeout=5.0)
        method, target, body = self._request
        connection.request(method, target, body, {"Request-Id": "r"} | self._headers)
        try:
            response = connection.getresponse()
            self.status = response.status
            while piece := response.read1():
                self.body += piece
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()


@pytest.fixture
def engines() -> Iterator[tuple[EngineBackups, PlatformServer, PlatformServer]]:
    """Two engines."""
    backups = EngineBackups(EVENTS, pause_s=0.02)
    with ExitStack() as stack:
        first, second = (
            backups.add(stack.enter_context(serve_platform_server(name, backups.handle_request)))
            for name in ("i-1", "i-2")
        )
        yield backups, first, second


def _address(server: PlatformServer) -> str:
    return "{}:{}".format(*server.address)


def _wait_for(check: Callable[[], bool]) -> None:
    until = time.monotonic() + 3.0
    while not check():
        assert time.monotonic() < until
        time.sleep(0.01)


def _move(server: PlatformServer, target: PlatformServer) -> tuple[int, str]:
    body = json.dumps({"id": "r", "target": _address(target), "last": True})
    call = _Call(server, target="/api/kv-move", body=body)
    call.join()
    found: dict[str, str] = json.loads(call.body) if call.status in (200, 503) else {}
    return call.status, found.get("handle", "")


Engines = tuple[EngineBackups, PlatformServer, PlatformServer]


@pytest.mark.parametrize("copied", [None, 0], ids=["copied", "absent"])
def test_a_stream_continues_from_its_copy_if_there_is_one(
    engines: Engines, copied: int | None
) -> None:
    """Guards against a stand-in that continues without a copy, or runs without the memory."""
    backups, first, second = engines
    backups.faults(first).copied_events = copied
    call = _Call(first, kv_backup=_address(second))
    _wait_for(lambda: any(run.events > 8 for run in backups.runs))
    first.crash()
    last = call.ids[-1]
    rest = _Call(second, kv_from=f"{_address(second)}/r", last_event_id=str(last))
    if copied == 0:
        assert (rest.ids, rest.status) == ([], 503)
    else:
        assert call.ids + rest.ids == list(range(1, EVENTS + 1))
    assert not backups.violations


def test_a_copy_ends_with_its_engine_and_with_its_run(engines: Engines) -> None:
    """Guards against a continuation from memory that an engine no longer has."""
    backups, first, second = engines
    call = _Call(first, kv_backup=_address(second))
    _wait_for(lambda: backups.copies(second) == {"r"})
    # Without room the run, which goes on, makes no new copy before the check.
    backups.faults(second).no_room = True
    second.crash()
    second.start()
    assert backups.copies(second) == set()
    backups.faults(second).no_room = False
    assert call.ids == list(range(1, EVENTS + 1))
    assert backups.copies(second) == set()


@pytest.mark.parametrize("no_room", [False, True], ids=["moved", "kept"])
def test_a_moved_run_continues_once_where_its_memory_is(engines: Engines, no_room: bool) -> None:
    """Guards against a handle that two requests use, and against two runs at once."""
    backups, first, second = engines
    backups.faults(second).no_room = no_room
    call = _Call(first)
    _wait_for(lambda: any(run.events for run in backups.runs))
    status, handle = _move(first, second)
    assert status == (503 if no_room else 200)
    assert backups.unused_handles() == {handle}
    keeper, other = (first, second) if no_room else (second, first)
    last = str(call.ids[-1])
    headers = {"kv_from": f"{_address(first)}/{handle}", "last_event_id": last}
    assert _Call(other, **headers).ids == []
    assert call.ids + _Call(keeper, **headers).ids == list(range(1, EVENTS + 1))
    assert (backups.violations, backups.unused_handles()) == ([], set())
    assert _Call(keeper, **headers).ids == []
    assert ["used twice" in each for each in backups.violations] == [True]


def test_moves_are_refused_and_handles_freed(engines: Engines) -> None:
    """Guards against moves that stop a run although the answer says otherwise."""
    backups, first, second = engines
    assert _move(first, second)[0] == 404
    call = _Call(first)
    _wait_for(lambda: bool(backups.working_runs(first)))
    backups.faults(first).move_status = 500
    assert _move(first, second)[0] == 500
    assert backups.working_runs(first)
    backups.faults(first).move_status = 0
    _, handle = _move(first, second)
    freed = _Call(first, target=f"/api/kv-handle/{handle}", method="DELETE")
    freed.join()
    assert (freed.status, backups.unused_handles(), len(call.ids) < EVENTS) == (200, set(), True)


def test_forbidden_runs_are_recorded(engines: Engines) -> None:
    """Guards against a judge that never finds anything."""
    backups, first, second = engines
    calls = [_Call(first, kv_backup=_address(second)), _Call(first, Request_Id="q")]
    _wait_for(lambda: backups.copies(second) == {"r"})
    source = f"{_address(second)}/r"
    calls.append(_Call(second, kv_from=source, last_event_id="2", Request_Id="q"))
    _wait_for(lambda: len(backups.runs) == 3 and backups.copies(second) == {"r"})
    calls.append(_Call(second, kv_from=source, last_event_id="5"))
    calls.append(_Call(first))
    for call in calls:
        call.join()
    found = sorted(set(backups.violations))
    assert found == [
        "request q goes on from r",
        "request q works at two engines",
        "request r runs twice",
        "request r works at two engines",
    ]


def test_a_connection_accepted_during_a_crash_is_reset() -> None:
    """Guards against a crashed server that still takes a request and leaves it open and silent."""
    start = ServerStart(1, ("127.0.0.1", 0))
    with socket.create_connection(start.address, timeout=1.0) as caller:
        accepted, _ = start.listener.accept()
        start.stop_listening()
        start.reset_all()
        start.add_connection(accepted)
        with pytest.raises(ConnectionResetError):
            caller.recv(1)
