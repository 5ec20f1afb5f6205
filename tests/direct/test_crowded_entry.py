"""An entry with more connections than threads for callers, with real processes."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
from direct_harness import HOST, Deployment, Entry, deployment

from carobspool_standins.platform_server import ServedRequest, ServerConnection

CALLERS = 430
"""More than the 400 connections that an entry serves at once."""
PERIOD_S = 1.0
LASTING_S = 8.0
RUN_S = 0.03
SLOTS = 200


class _Runs:
    """Answers after a while, and records which requests have run."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.ids: set[str] = set()

    def handle(self, request: ServedRequest, connection: ServerConnection) -> None:
        """Answer a request."""
        with self._lock:
            self.ids.add(request.request_id)
        threading.Event().wait(RUN_S)
        connection.send_response(request, 200, b"done")


class _Callers:
    """Callers that keep their connections and send a request each second.

    Attributes:
        answered: Number of complete answers.
        cut: Ids of the requests on kept connections that ended without an answer.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self.answered = 0
        self.cut: list[str] = []

    async def run_all(self) -> None:
        """Send requests over all connections for a while."""
        async with asyncio.timeout(LASTING_S + 10.0):
            await asyncio.gather(*(self._run(number) for number in range(CALLERS)))

    async def _run(self, number: int) -> None:
        ends = asyncio.get_running_loop().time() + LASTING_S
        await asyncio.sleep(PERIOD_S * number / CALLERS)
        sent = 0
        while asyncio.get_running_loop().time() < ends:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._entry.port)
                is_kept = False
                while asyncio.get_running_loop().time() < ends and not reader.at_eof():
                    sent += 1
                    if not await self._call(reader, writer, f"c{number}-{sent}", is_kept=is_kept):
                        break
                    is_kept = True
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(PERIOD_S):
                            await reader.read(1)
                            break
                writer.close()

    async def _call(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request_id: str,
        *,
        is_kept: bool,
    ) -> bool:
        head = f"POST /once/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
        try:
            writer.write(f"{head}Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n".encode())
            answer = await reader.readuntil(b"\r\n\r\n")
            length = int(answer.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
            await reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError):
            if is_kept:
                self.cut.append(request_id)
            return False
        self.answered += 1
        return True


@pytest.fixture
def system(tmp_path: Path) -> Iterator[Deployment]:
    """A deployment of stand-ins without entries."""
    with deployment(tmp_path) as running:
        yield running


def test_requests_on_kept_connections_are_not_cut_for_new_callers(system: Deployment) -> None:
    """Guards against requests that run and are then cut, as if their callers had left."""
    runs = _Runs()
    server = system.start_server("plain", runs.handle)
    system.objects.put("servers", server.instance, server.registration("plain") | {"slots": SLOTS})
    entry = system.start_entry("e1")
    callers = _Callers(entry)
    asyncio.run(callers.run_all())
    assert callers.answered > CALLERS * LASTING_S / PERIOD_S / 3
    assert [each for each in callers.cut if each in runs.ids] == []
