"""Stand-ins of the platform for the review's scripts, and the project's processes beside them.

Standard library only. The store and the servers run in the script's own event loop; the project's
programs run as separate processes, with the command of the deploy file and filled-in templates.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
HOST = "callers.example"
LOOPBACK = "127.0.0.1"
LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
BOUNDS = {"grace_s": 8, "status_s": 120}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._started:9.3f} {text}\n")
        self._file.flush()


@dataclass(slots=True)
class Request:
    """A request as a stand-in has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The first value of each parameter."""
        return {key: each[0] for key, each in parse_qs(self.target.partition("?")[2]).items()}

    @property
    def request_id(self) -> str:
        """The request's id, empty without one."""
        return self.headers.get("request-id", "")


async def read_headers(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the headers of a message, ``None`` at the connection's end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return a body that has a length or comes in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


Handler = Callable[[Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def serve_http(
    handler: Handler, *, writers: set[asyncio.StreamWriter] | None = None
) -> asyncio.Server:
    """Serve HTTP/1.1; the handler writes the whole answer, or closes the writer."""
    open_writers = set() if writers is None else writers

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_writers.add(writer)
        try:
            while not writer.is_closing():
                found = await read_headers(reader)
                if found is None:
                    break
                method, target, _ = found[0].split(" ", 2)
                body = await read_body(reader, found[1])
                await handler(Request(method, target, found[1], body), reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            open_writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    return await asyncio.start_server(serve, LOOPBACK, 0, limit=1 << 20, backlog=2048)


def port_of(server: asyncio.Server) -> int:
    """Return the port on which a server listens."""
    return int(server.sockets[0].getsockname()[1])


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def json_answer(status: int, value: Any) -> bytes:
    """Return an answer with a JSON body."""
    body = json.dumps(value).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


class Store:
    """The platform's metadata store by PROTOCOL.md; an answer takes 4 ms."""

    def __init__(self) -> None:
        self.revision = 100
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()
        self.delay_s = 0.004
        self.log: Callable[[str], None] = lambda text: None
        self.before: Callable[[Request, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.after: Callable[[Request, asyncio.StreamWriter], Awaitable[bool]] | None = None
        """Called around each call; true if it has dealt with the answer itself."""
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.address = f"{LOOPBACK}:{port_of(await serve_http(self.handle))}"

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator or a server does; return its revision."""
        async with self._changed:
            current = self.objects.get((kind, name))
            if current is None or current["spec"] != spec:
                self._write(kind, name, current, {"spec": spec})
            return self.revision

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        async with self._changed:
            found = self.objects.pop((kind, name), None)
            if found is not None:
                self._append(kind, found, True)

    def spec(self, kind: str, name: str) -> Any:
        """Return an object's spec, ``None`` if there is no such object."""
        found = self.objects.get((kind, name))
        return None if found is None else found["spec"]

    def _write(
        self, kind: str, name: str, current: dict[str, Any] | None, change: dict[str, Any]
    ) -> dict[str, Any]:
        base = current or {"metadata": {"finalizers": [], "deleting": False}, "status": None}
        created = base["metadata"].get("created_rev", self.revision + 1)
        metadata = base["metadata"] | {
            "name": name,
            "revision": self.revision + 1,
            "created_rev": created,
        }
        stored = base | change | {"metadata": metadata}
        self.objects[kind, name] = stored
        self._append(kind, stored, False)
        return stored

    def _append(self, kind: str, stored: dict[str, Any], deleted: bool) -> None:
        self.revision += 1
        self.history.append((self.revision, kind, stored, deleted))
        self._changed.notify_all()

    async def handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one call."""
        await asyncio.sleep(self.delay_s)
        if self.before is not None and await self.before(request, writer):
            return
        answer = await self.execute(request)
        if self.after is not None and await self.after(request, writer):
            return
        writer.write(answer)

    async def execute(self, request: Request) -> bytes:
        """Execute one call and return its answer."""
        parts = [unquote(each) for each in request.path.removeprefix("/api/objects/").split("/")]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request.query)
        async with self._changed:
            if request.method == "GET" and not name:
                return self._list(kind, request.query)
            body = json.loads(request.body) if request.body else {}
            name = name or body["metadata"]["name"]
            current = self.objects.get((kind, name))
            if request.method == "POST":
                if current is not None:
                    return json_answer(409, current)
                self.log(f"store created {kind}/{name}")
                return json_answer(201, self._write(kind, name, None, {"spec": body["spec"]}))
            if current is None:
                return json_answer(404, {})
            if request.method == "GET":
                return json_answer(200, current)
            expected = body.get("metadata", {}).get("revision") or request.query.get("revision")
            if expected is not None and int(expected) != current["metadata"]["revision"]:
                return json_answer(409, current)
            if request.method == "DELETE":
                del self.objects[kind, name]
                self._append(kind, current, True)
                return json_answer(200, {})
            part = "status" if len(parts) > 2 else "spec"
            if current[part] != body[part]:
                current = self._write(kind, name, current, {part: body[part]})
            return json_answer(200, current)

    def _list(self, kind: str, query: dict[str, str]) -> bytes:
        after = query.get("after", "")
        names = sorted(name for each, name in self.objects if each == kind and name > after)
        items = [self.objects[kind, name] for name in names[:500]]
        return json_answer(200, {"items": items, "more": len(names) > 500, "as_of": self.revision})

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        since = int(query["watch"])
        until = time.monotonic() + min(30.0, int(query.get("wait_ms", "0")) / 1000)
        async with self._changed:
            while True:
                events = [
                    {"object": stored, "deleted": deleted}
                    for revision, each, stored, deleted in self.history
                    if each == kind and revision > since
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return json_answer(200, {"events": events, "as_of": self.revision})
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left):
                        await self._changed.wait()


ServeRequest = Callable[["Server", Request, asyncio.StreamWriter], Awaitable[None]]


class Server:
    """A server of a service: registers itself, and runs what the given function does."""

    def __init__(self, store: Store, instance: str, service: str, run: ServeRequest) -> None:
        self.store = store
        self.instance = instance
        self.service = service
        self.run = run
        self.slots = 8
        self.zone = "z1"
        self.sequence = 0
        self.address = ""
        self.arrived: list[Request] = []
        self.lost = False
        self._listener: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, register, and keep the registration up to date."""
        self._listener = await serve_http(self._handle, writers=self._writers)
        self.address = f"{LOOPBACK}:{port_of(self._listener)}"
        await self.beat()
        asyncio.get_running_loop().create_task(self._beat_loop())

    async def beat(self) -> None:
        """Write the registration."""
        self.sequence += 1
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
        }
        await self.store.put("servers", self.instance, spec)

    async def _beat_loop(self) -> None:
        while not self.lost:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.lost:
                await self.beat()
        await asyncio.sleep(2 * HEARTBEAT_S)
        await self.store.remove("servers", self.instance)

    async def lose(self) -> None:
        """End at once; the registration is removed after three heartbeats of silence."""
        self.lost = True
        assert self._listener is not None
        self._listener.close()
        for writer in list(self._writers):
            reset(writer)

    async def _handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if request.path == "/api/report":
            writer.write(json_answer(200, {"stage": "both", "models": [], "sequence": 1}))
            return
        if request.headers.get("expect-instance", self.instance) != self.instance:
            writer.write(not_executed(request, 421))
            return
        self.arrived.append(request)
        await self.run(self, request, writer)


def answer_head(request: Request, status: int, extra: str = "") -> bytes:
    """Return the head of a signed answer without its last line."""
    head = f"HTTP/1.1 {status} X\r\nRequest-Id: {request.request_id}\r\nServer-Stamp: s\r\n{extra}"
    return head.encode()


def whole_answer(request: Request, status: int = 200, body: bytes = b"ok") -> bytes:
    """Return a signed answer with a length."""
    return answer_head(request, status) + b"Content-Length: %d\r\n\r\n" % len(body) + body


def not_executed(request: Request, status: int = 503) -> bytes:
    """Return an answer that says that the request was not run."""
    head = f"HTTP/1.1 {status} X\r\nRequest-Id: {request.request_id}\r\nNot-Executed: 1\r\n"
    return head.encode() + b"Content-Length: 0\r\n\r\n"


def stream_head(request: Request) -> bytes:
    """Return the head of a signed event stream in chunks."""
    extra = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    return answer_head(request, 200, extra)


def chunk(data: bytes) -> bytes:
    """Return one chunk; an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int, data: str) -> bytes:
    """Return one event."""
    return f"id: {number}\ndata: {data}\n\n".encode()


def route(prefix: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5_000,
        "target_latency_ms": 400,
        "priority": 0,
        "service": service,
        "max_attempts": 1,
        "resumable": False,
    } | changes


def configuration(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Return a whole configuration."""
    names = sorted({each["service"] for each in routes})
    services = [
        {"name": name, "health_path": "/health", "max_connections": 1_000, "protocol": "h1"}
        for name in names
    ]
    return {"version": version, "routes": list(routes), "services": services, "limits": LIMITS}


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP."""
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            tcp = stack.enter_context(socket.socket())
            udp = stack.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            tcp.bind((LOOPBACK, 0))
            port = tcp.getsockname()[1]
            with contextlib.suppress(OSError):
                udp.bind((LOOPBACK, port))
                found.append(port)
    return found


@dataclass(slots=True)
class Process:
    """One of the project's processes, restarted by the script as the platform would."""

    name: str
    folder: Path
    fields: dict[str, Any]
    template: str
    ip: str = LOOPBACK
    front: int = 0
    ready_port: int = 0
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    logs: list[Path] = field(default_factory=list)

    async def start(self, *, bootstrap: bool) -> None:
        """Start the process with the command of the deploy file."""
        fields = self.fields | {"bootstrap": bootstrap}
        settings = self.folder / f"{self.name}.json"
        settings.write_text(fill((ROOT / "deploy" / self.template).read_text(), fields))
        self.starts += 1
        log = self.folder / f"{self.name}-{self.starts}.log"
        self.logs.append(log)
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {"CAROBSPOOL_SETTINGS": str(settings)}
        environment |= {"PYTHONPATH": str(ROOT / "target" / "deps")}
        with log.open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "carobspool_platform",
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()
        self.process = None

    async def is_ready(self) -> bool:
        """Return whether the process answers the platform's question with 200."""
        try:
            async with asyncio.timeout(1.0):
                found = await call(self, "GET", "/api/ready", port=self.ready_port)
        except (TimeoutError, OSError):
            return False
        return found is not None and found.status == 200

    async def wait_ready(self, within_s: float = 20.0) -> None:
        """Wait until the process is ready."""
        until = time.monotonic() + within_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CouldNotRunError(f"{self.name} did not get ready")
            await asyncio.sleep(0.1)


@dataclass(slots=True)
class Answer:
    """A complete answer as a client has read it."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body's JSON value."""
        return json.loads(self.body)


def request_bytes(
    method: str, target: str, *, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Return the bytes of a client's request."""
    fields = {"Host": HOST} | (headers or {})
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = "".join(f"{key}: {value}\r\n" for key, value in fields.items())
    return f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Answer | None:
    """Return a complete answer, ``None`` if the connection ends before it is complete."""
    try:
        found = await read_headers(reader)
        if found is None:
            return None
        status = int(found[0].split(" ")[1])
        return Answer(status, found[1], await read_body(reader, found[1]))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None


async def call(
    entry: Process,
    method: str,
    target: str,
    *,
    port: int = 0,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 10.0,
) -> Answer | None:
    """Send one request on a new connection; ``None`` if no complete answer came."""
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                entry.ip, port or entry.front, limit=1 << 22
            )
            try:
                writer.write(request_bytes(method, target, headers=headers, body=body))
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return None


def job_body(items: list[tuple[str, str]], tokens: int = 600) -> bytes:
    """Return the body that submits a job; each item has an id and a path."""
    listed = [
        {
            "id": item_id,
            "path": path,
            "headers": {"Model": "m", "Token-Count": f"{tokens - 100},100"},
            "body": base64.b64encode(item_id.encode()).decode(),
            "tokens": tokens,
        }
        for item_id, path in items
    ]
    return json.dumps({"items": listed}).encode()


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fill in a template of settings as DEPLOY.md describes it, as far as the project uses it."""

    def value_of(path: str) -> Any:
        value: Any = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        return "" if value_of(match[1]) else match[2]

    def placeholder(match: re.Match[str]) -> str:
        value = value_of(match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"{{\^([\w.]+)}}(.*?){{/\1}}", section, template, flags=re.DOTALL)
    return re.sub(r"{{([\w.]+)(\|json)?}}", placeholder, text)


class Deployment:
    """The store, the servers and the project's processes of one case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.store.log = self.record.write
        self.servers: list[Server] = []
        self.entries: list[Process] = []
        self._temporary = tempfile.TemporaryDirectory(prefix="carobspool-review-")
        self.folder = Path(self._temporary.name)
        self._network = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self._ports = free_ports(3)

    async def server(
        self, instance: str, service: str, run: ServeRequest, *, zone: str = "z1"
    ) -> Server:
        """Start a server."""
        found = Server(self.store, instance, service, run)
        found.zone = zone
        await found.start()
        self.servers.append(found)
        return found

    def entry(self, name: str, **changes: Any) -> Process:
        """Return an entry that is not started yet."""
        front, ready, peer = self._ports
        # Each process has a machine, and so an address, of its own; the ports are the same.
        ip = f"{self._network}.{len(self.entries) + 1}"
        fields = {
            "node_name": name,
            "zone": "z1",
            "ip": ip,
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"},
            "port_range": [peer, peer],
            "platform": {"address": self.store.address, "value_bytes": 1_048_576},
            "bounds": BOUNDS,
            "limits": {"cpu_share": 0.817, "cores": 1},
        } | changes
        template = "entry.settings.json"
        found = Process(name, self.folder, fields, template, ip, front, ready)
        self.entries.append(found)
        return found

    async def close(self) -> None:
        """End all processes."""
        for each in self.entries:
            await each.end()
        if os.environ.get("KEEP_LOGS"):
            for each in self.entries:
                for log in each.logs:
                    (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())
        self._temporary.cleanup()


def main(folder: Path, case: Callable[[Deployment], Awaitable[int]], limit_s: float = 110) -> None:
    """Run a case and exit with its result."""

    async def run() -> int:
        deployment = Deployment(folder)
        try:
            await deployment.store.start()
            async with asyncio.timeout(limit_s):
                return await case(deployment)
        except (CouldNotRunError, TimeoutError, OSError) as error:
            deployment.record.write(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await deployment.close()

    code = asyncio.run(run())
    print(f"{folder.name}: exit {code}")
    sys.exit(code)
