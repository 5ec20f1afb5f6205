"""Starts the project's entries with the deploy file's command, calls them, and keeps the record."""

from __future__ import annotations

import base64
import contextlib
import http.client
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "reading.example"
COULD_NOT_RUN = 2


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._start = time.monotonic()
        self._lock = threading.Lock()
        self._file = path.open("w")

    def note(self, line: str) -> None:
        """Add a line with the time since the start."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._start:8.3f}  {line}\n")
            self._file.flush()


class Entry:
    """A running entry."""

    def __init__(self, name: str, port: int, ready_port: int, record: Record) -> None:
        self.name = name
        self.port = port
        self.ready_port = ready_port
        self.record = record
        self.process: subprocess.Popen[bytes] | None = None
        self.log = Path()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.note(f"{number.name} to {self.name}")
        os.kill(self.process.pid, number)

    def is_ready(self) -> bool:
        """Return whether the entry says that it is ready."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection("127.0.0.1", self.ready_port, timeout=1.0)
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        return False

    def call(
        self,
        method: str,
        path: str,
        *,
        request_id: str = "",
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = 6.0,
        quiet: bool = False,
    ) -> tuple[int, bytes]:
        """Make a call on a new connection; the status is 0 without a whole answer."""
        sent = {"Host": HOST, "Request-Id": request_id or os.urandom(8).hex(), **(headers or {})}
        status, answer = 0, b""
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=timeout)
            with contextlib.closing(connection):
                connection.request(method, path, body=body or None, headers=sent)
                response = connection.getresponse()
                answer = response.read()
                status = response.status
        if not quiet:
            self.record.note(
                f"client: {method} {path} {request_id} at {self.name}: {status or '-'}"
            )
        return status, answer

    def results(self, job: str) -> dict[str, Any] | int:
        """Return a job's results from the first one on, or the status of the refusal."""
        status, body = self.call("GET", f"/api/lots/{job}?after=0", quiet=True)
        return json.loads(body) if status == 200 else status


def job_body(items: list[str], path: str, tokens: int = 400) -> bytes:
    """Return the body that submits a job of these items."""
    listed = [
        {
            "id": each,
            "path": path,
            "headers": {"Model": "m", "Token-Count": "250,150", "Prompt-Prefix": "a1:100,b2:150"},
            "body": base64.b64encode(each.encode()).decode(),
            "tokens": tokens,
        }
        for each in items
    ]
    return json.dumps({"items": listed}).encode()


def configuration(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Return the operator's configuration with these routes."""
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    return {"version": version, "routes": list(routes), "services": [], "limits": limits}


def batch_route(prefix: str, service: str) -> dict[str, Any]:
    """Return a batch route with the values of Hollowbrook's sheet."""
    return {
        "name": f"r{prefix.strip('/')}",
        "host": HOST,
        "path_prefix": prefix,
        "kind": "batch",
        "timeout_ms": 15_000,
        "target_latency_ms": 400,
        "priority": 2,
        "service": service,
        "max_attempts": 3,
        "completion_target_ms": 18_000,
        "retention_s": 60,
        "max_count": 1_200_000,
    }


def free_port() -> int:
    """Return a free port for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = int(tcp.getsockname()[1])
            with contextlib.suppress(OSError):
                udp.bind(("127.0.0.1", port))
                return port


@contextlib.contextmanager
def entries(record: Record, store: str, names: list[str]) -> Iterator[list[Entry]]:
    """Start entries, wait until they are ready, and end them."""
    command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]["run"]
    template = (ROOT / "deploy/entry.settings.json").read_text()
    started: list[Entry] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for name in names:
                started.append(_start(record, store, name, Path(folder), command, template))
            until = time.monotonic() + 20.0
            while not all(each.is_ready() for each in started):
                if time.monotonic() > until:
                    record.note("the entries do not get ready")
                    raise SystemExit(COULD_NOT_RUN)
                time.sleep(0.1)
            yield started
        finally:
            for each in started:
                assert each.process is not None
                with contextlib.suppress(ProcessLookupError):
                    os.kill(each.process.pid, signal.SIGCONT)
                each.process.kill()
                each.process.wait()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    Path(keep, each.log.name).write_bytes(each.log.read_bytes())


def _start(
    record: Record, store: str, name: str, folder: Path, command: str, template: str
) -> Entry:
    entry = Entry(name, free_port(), free_port(), record)
    peer_port, metrics_port = free_port(), free_port()
    values = {
        "node_name": name,
        "zone": "z1",
        "ip": "127.0.0.1",
        "listen.front": f"127.0.0.1:{entry.port}",
        "listen.ready": f"127.0.0.1:{entry.ready_port}",
        "port_range.0": peer_port,
        "platform.address": store,
        "platform.value_bytes": 1_048_576,
        "bounds.grace_s": 8,
        "bounds.status_s": 120,
        "bootstrap": True,
        "limits.cpu_share": 0.817,
        "limits.cores": 1,
    }
    text = re.sub(r"\{\{\^.*?\{\{/.*?\}\}", "", template)
    text = re.sub(
        r"\{\{([\w.]+)(\|json)?\}\}",
        lambda found: json.dumps(values[found[1]]) if found[2] else str(values[found[1]]),
        text,
    )
    # On its own machine each entry has this port to itself.
    text = text.replace('"metrics_port": 9464', f'"metrics_port": {metrics_port}')
    path = folder / f"{name}.json"
    path.write_text(text)
    entry.log = folder / f"{name}.log"
    environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
    environment |= {"CAROBSPOOL_SETTINGS": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
    with entry.log.open("wb") as log:
        entry.process = subprocess.Popen(
            command.split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
    record.note(f"{name} started: {command}")
    return entry
