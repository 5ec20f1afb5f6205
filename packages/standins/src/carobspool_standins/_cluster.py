"""A whole small system as processes on loopback: platform, upstreams, sidecars and entries.

The quickstart, the experiments and the tests of failures start their processes through it.
"""

from __future__ import annotations

import contextlib
import json
import secrets
import signal
import time
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from types import TracebackType
from typing import Any

from carobspool_standins._client import HttpClient, NoAnswer
from carobspool_standins._member import Key, Member
from carobspool_standins._processes import (
    Command,
    ProcessGroup,
    process_seconds,
)
from carobspool_standins.errors import ClusterError
from carobspool_standins.ports import LOOPBACK, PortChooser

CLOSE_SECONDS = 10.0
STOP_SECONDS = 60.0
WAIT_SECONDS = 30.0
POLL_SECONDS = 0.05
NODE_MODULE = "carobspool_node"
OBJECTS = "objects"
HOSTS = "hosts"
DEFAULT_DOMAIN = "leicester-hall"


class Cluster:
    """Starts processes and ends them all when it is closed; use it in a ``with`` statement.

    Each ``start_…`` method takes further settings of the process as keywords and returns when the
    process is ready, unless within `together`.

    Args:
        folder: Takes settings, keys and logs; made if missing.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._group = ProcessGroup()
        self._ports = PortChooser()
        self._members: dict[str, Member] = {}
        self._upstreams: dict[str, dict[str, Any]] = {}
        self._starting: list[str] | None = None
        self._operator_key = Key()
        keys = {"keys": {"k1": secrets.token_hex(32)}, "use": "k1"}
        self._write("peer-keys.json", keys)

    @property
    def operator_key(self) -> Key:
        """Key that applies the first configuration."""
        return self._operator_key

    @property
    def upstreams(self) -> list[dict[str, Any]]:
        """The upstreams behind the sidecars started so far, as a desired state lists them."""
        return [dict(upstream) for upstream in self._upstreams.values()]

    def __enter__(self) -> Cluster:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """End all processes, by force those that take long."""
        # The system ends before what it stands on, so that its shutdown is an ordinary one.
        system = [name for name in self._group.names if self._group.module(name) == NODE_MODULE]
        self._group.close(system, CLOSE_SECONDS)
        self._group.close(self._group.names, CLOSE_SECONDS)
        self._ports.close()

    @contextlib.contextmanager
    def together(self) -> Iterator[None]:
        """Start processes side by side and wait for all at the end of the block."""
        self._starting = []
        try:
            yield
            self._group.wait_ready(self._starting)
        finally:
            self._starting = None

    def start_standin(self, kind: str, name: str, **settings: Any) -> Member:
        """Start a stand-in.

        Args:
            kind: Its module: ``objects``, ``hosts``, ``weights``, ``engine``, ``plain``.
            name: Name in this cluster.
            settings: Settings beside the port.
        """
        port = self._ports.choose()
        return self._start(name, f"carobspool_standins.{kind}", {"port": port, **settings}, port)

    def start_objects(self, **settings: Any) -> Member:
        """Start the object API."""
        return self.start_standin("objects", OBJECTS, **settings)

    def start_hosts(self, **settings: Any) -> Member:
        """Start the host list."""
        return self.start_standin("hosts", HOSTS, **settings)

    def start_engine(self, name: str, *, models: list[str], **settings: Any) -> Member:
        """Start an engine with models ready."""
        loaded = [{"name": model} for model in models]
        return self.start_standin("engine", name, models=loaded, **settings)

    def start_plain(self, name: str, *, service: str, **settings: Any) -> Member:
        """Start a plain service."""
        return self.start_standin("plain", name, service=service, **settings)

    def start_sidecar(
        self,
        name: str,
        upstream: Member,
        *,
        models: list[str] | None = None,
        service: str | None = None,
        failure_domain: str = DEFAULT_DOMAIN,
        declared: Mapping[str, Any] | None = None,
        **settings: Any,
    ) -> Member:
        """Start the sidecar of an upstream, whose name is that of its host.

        Args:
            name: Node name.
            upstream: The engine or plain service.
            models: Models that the desired state shall declare there.
            service: Name of the plain service, for one.
            failure_domain: Where both stand.
            declared: Further entries of the upstream in the desired state.
            settings: Further settings of the sidecar.
        """
        port = self._ports.choose()
        kind = "engine" if service is None else "service"
        values = {
            "role": "sidecar",
            "node": name,
            "host": upstream.name,
            "failure_domain": failure_domain,
            "listen": {"address": LOOPBACK, "port": port},
            "upstream": upstream.url,
            "kind": kind,
            **self._common(),
        }
        if service is not None:
            values["service"] = service
        member = self._start(name, NODE_MODULE, values | settings, port)
        self._upstreams[upstream.name] = {
            "host": upstream.name,
            "address": member.address,
            "failure_domain": failure_domain,
            "kind": kind,
            "models": models or [],
            "service": service,
            **(declared or {}),
        }
        return member

    def start_entry(
        self, name: str, *, failure_domain: str = DEFAULT_DOMAIN, **settings: Any
    ) -> Member:
        """Start an entry."""
        port = self._ports.choose()
        values = {
            "role": "entry",
            "node": name,
            "failure_domain": failure_domain,
            "http": {"address": LOOPBACK, "port": port},
            "peer": {"address": LOOPBACK, "port": self._ports.choose()},
            "first_operator_key_hash": self._operator_key.hash,
            **self._common(),
        }
        if HOSTS in self._members:
            values["host_list"] = self._members[HOSTS].url
        return self._start(name, NODE_MODULE, values | settings, port)

    def start_relay(self, name: str, *, delay_ms: float) -> Member:
        """Put a relay before all sidecars started so far; later configurations name its ports.

        Args:
            name: Name in this cluster.
            delay_ms: One-way delay.
        """
        routes: list[dict[str, int]] = []
        for upstream in self._upstreams.values():
            port = self._ports.choose()
            routes.append({"port": port, "target": int(upstream["address"].rpartition(":")[2])})
            upstream["address"] = f"{LOOPBACK}:{port}"
        return self.start_standin("relay", name, delay_ms=delay_ms, routes=routes)

    def processor_seconds(self) -> dict[str, float]:
        """Return the processor time that each running process has used so far."""
        return {
            name: process_seconds(self._group.pid(name))
            for name in self._members
            if self._group.is_running(name)
        }

    def operator_caller(self, organisation: str) -> dict[str, Any]:
        """Return the operator as a desired state lists it: the key goes on being good by it."""
        return {
            "id": "operator",
            "organisation": organisation,
            "key_hashes": [self._operator_key.hash],
            "role": "operator",
        }

    def member(self, name: str) -> Member:
        """Return a process by its name."""
        return self._members[name]

    def client(self, name: str, key: Key | None = None, *, timeout_ms: int = 30_000) -> HttpClient:
        """Return a client of a process with an HTTP interface."""
        value = key.value if key is not None else None
        return HttpClient(self._members[name].url, key=value, timeout_ms=timeout_ms)

    def kill(self, name: str) -> None:
        """End a process at once (SIGKILL)."""
        self._group.send(name, signal.SIGKILL)
        self._group.wait(name, STOP_SECONDS)

    def freeze(self, name: str) -> None:
        """Halt a process without ending it (SIGSTOP)."""
        self._group.send(name, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self._group.send(name, signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Ask a process to end (SIGTERM) and return at once."""
        self._group.send(name, signal.SIGTERM)

    def stop(self, name: str, seconds: float = STOP_SECONDS) -> int:
        """Ask a process to end, wait for it and return its exit code."""
        self.terminate(name)
        return self._group.wait(name, seconds)

    def restart(self, name: str) -> None:
        """Start a process that has ended again, with the same settings and port."""
        self._group.restart(name)
        self._group.wait_ready([name])

    def is_running(self, name: str) -> bool:
        """Whether a process has not ended."""
        return self._group.is_running(name)

    def pid(self, name: str) -> int:
        """Return the id of a process."""
        return self._group.pid(name)

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return self._group.log(name)

    def faults(self, name: str, **faults: Any) -> None:
        """Switch faults of a stand-in; without any, return to none.

        Raises:
            ClusterError: If the stand-in refuses them.
        """
        client = self.client(name)
        path = "/faults" if faults else "/faults/reset"
        reply = client.call("POST", path, json_body=faults)
        client.close()
        if reply.status != 200:
            raise ClusterError(f"{name} refuses the faults: {reply.text}")

    def apply(
        self,
        entry: str,
        state: Mapping[str, Any],
        *,
        base: int = 0,
        reason: str = "test",
        key: Key | None = None,
    ) -> int:
        """Apply a desired state through an entry and return its revision.

        Raises:
            ClusterError: If the entry refuses it.
        """
        client = self.client(entry, key or self._operator_key)
        body = {"base": base, "state": state, "reason": reason}
        reply = client.call("POST", "/operator/config", json_body=body)
        client.close()
        if reply.status != 200:
            raise ClusterError(f"{entry} refuses the configuration: {reply.text}")
        return int(reply.json["revision"])

    def wait_until(
        self, what: str, condition: Callable[[], bool], seconds: float = WAIT_SECONDS
    ) -> None:
        """Wait until a condition holds; a call without an answer counts as not yet.

        Raises:
            ClusterError: If it does not hold in time.
        """
        deadline = time.monotonic() + seconds
        while True:
            with contextlib.suppress(NoAnswer):
                if condition():
                    return
            if time.monotonic() > deadline:
                raise ClusterError(f"not within {seconds} s: {what}")
            time.sleep(POLL_SECONDS)

    def _common(self) -> dict[str, Any]:
        return {"object_api": self._members[OBJECTS].url, "peer_keys": "peer-keys.json"}

    def _start(self, name: str, module: str, settings: Mapping[str, Any], port: int) -> Member:
        path = self._write(f"{name}.json", settings)
        arguments = [str(path)]
        if module == NODE_MODULE:
            arguments.insert(0, "run")
        log = self._folder / f"{name}.log"
        self._group.start(name, Command(module=module, arguments=arguments, log=log))
        member = Member(name=name, port=port)
        self._members[name] = member
        if self._starting is None:
            self._group.wait_ready([name])
        else:
            self._starting.append(name)
        return member

    def _write(self, name: str, value: Mapping[str, Any]) -> Path:
        path = self._folder / name
        path.touch(mode=0o600)
        path.write_text(json.dumps(value, indent=2), encoding="utf-8")
        return path
