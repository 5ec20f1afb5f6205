"""Clients that read event streams and take broken ones up again, and the servers that send them."""

from __future__ import annotations

import asyncio
import contextlib
import time

from deployment import (
    Deployment,
    Process,
    Request,
    Server,
    chunk,
    event,
    read_headers,
    request_bytes,
    stream_head,
)

EVENTS = 300
EVENT_S = 0.1
DEADLINE_S = 60.0
MAX_TRIES = 4
"""A first attempt and three retries."""
RETRY_PAUSE_S = 2.5


class Streams:
    """The streams of the clients, and how their tries ended."""

    def __init__(self, deployment: Deployment, entries: list[Process]) -> None:
        self._record = deployment.record
        self._entries = entries
        self.in_touch_from: dict[str, float] = {}
        """From when on an entry is in touch, by its name; always without one."""
        self.out: set[str] = set()
        """Names of the entries that get no new connections."""
        self.taken_up: dict[str, bool] = {}
        self.begun: dict[str, bool] = {}
        self.wrong = 0
        self.complete = 0

    async def run(self, name: str, *, is_judged: bool = False) -> None:
        """Read a stream to its end; take it up again after each break, as a client does."""
        deadline = time.monotonic() + DEADLINE_S
        first_id = ""
        last_event = 0
        for number in range(MAX_TRIES):
            left = deadline - time.monotonic()
            if left < 1.0:
                return
            ready = [each for each in self._entries if each.name not in self.out]
            ready = ready or self._entries
            entry = ready[(int(name[1:]) + number) % len(ready)]
            request_id = f"{name}try{number}"
            headers = {"Request-Id": request_id, "Deadline-Ms": str(int(left * 1000))}
            headers |= {"Model": "m", "Token-Count": "200,300"}
            if first_id:
                headers |= {"Resumes": first_id, "Last-Event-Id": str(last_event)}
            before = last_event
            counts = time.monotonic() >= self.in_touch_from.get(entry.name, 0.0)
            status, last_event, ended, wait = await self._try(entry, headers, last_event)
            self._record.write(
                f"{request_id} at {entry.name}, resumes {first_id or '-'} after {before}: status"
                f" {status}, events to {last_event}, complete: {ended}, Retry-After {wait}"
            )
            if first_id and counts and status:
                self.taken_up[name] = self.taken_up.get(name, False) or last_event > before
            if is_judged:
                self.begun[name] = self.begun.get(name, False) or last_event > 0
            if not first_id and last_event > 0:
                first_id = request_id
            if ended:
                self.complete += 1
                return
            left = deadline - time.monotonic()
            # A refusal names the time to come back; clients keep to a third of what they have left.
            refused = status not in (0, 200)
            await asyncio.sleep(min(wait, left / 3.0) if refused else RETRY_PAUSE_S)

    async def _try(
        self, entry: Process, headers: dict[str, str], last_event: int
    ) -> tuple[int, int, bool, float]:
        """Return status, the last event, whether the stream has ended, and Retry-After."""
        status = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
            reader, writer = await asyncio.open_connection(entry.ip, entry.front)
            try:
                writer.write(request_bytes("POST", "/stream/1", headers=headers, body=b"x" * 500))
                found = await read_headers(reader)
                if found is None:
                    return 0, last_event, False, 0.0
                status = int(found[0].split(" ")[1])
                if status != 200:
                    return status, last_event, False, float(found[1].get("retry-after", "0"))
                buffer = b""
                while True:
                    size = int(await reader.readline(), 16)
                    data = await reader.readexactly(size + 2)
                    if not size:
                        return status, last_event, last_event == EVENTS, 0.0
                    buffer += data[:-2]
                    while b"\n\n" in buffer:
                        raw, _, buffer = buffer.partition(b"\n\n")
                        self.wrong += int(raw.split(b"\n")[0][4:]) != last_event + 1
                        last_event += 1
            finally:
                writer.close()
        return status, last_event, False, 0.0


async def serve(server: Server, request: Request, writer: asyncio.StreamWriter) -> None:
    """Stream the events after the last one that the request names."""
    writer.write(stream_head(request))
    for number in range(int(request.headers.get("last-event-id", "0")) + 1, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        writer.write(chunk(event(number, f"piece {number}")))
        await writer.drain()
    writer.write(chunk(b""))
