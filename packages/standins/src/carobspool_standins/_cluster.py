"""Cluster of local processes: platform stand-ins, upstreams, sidecars and entries on loopback.

The quickstart, the experiments and the fault tests start their processes with it.
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

from carobspool_standins._client import HttpClient, IncompleteResponseError
from carobspool_standins._member import Key, Member
from carobspool_standins._processes import (
    Command,
    ProcessGroup,
    process_cpu_seconds,
)
from carobspool_standins.errors import ClusterError
from carobspool_standins.ports import LOOPBACK, PortChooser

CLOSE_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 60.0
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
NODE_MODULE = "carobspool_node"
OBJECT_API_NAME = "objects"
HOST_LIST_NAME = "hosts"
DEFAULT_FAILURE_DOMAIN = "leicester-hall"


class Cluster:
    """Starts the processes of a system and ends all of them on close; a context manager.

    Each ``start_…`` method returns when its process is ready; within `start_concurrently`, it
    returns at once. Most of them pass further keyword arguments on as settings of the process.

    Args:
        folder: Directory for settings, keys and logs; created if missing.
    """

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._group = ProcessGroup()
        self._ports = PortChooser()
        self._members: dict[str, Member] = {}
        self._upstreams: dict[str, dict[str, Any]] = {}
        self._awaiting_ready: list[str] | None = None
        self._operator_key = Key()
        keys = {"keys": {"k1": secrets.token_hex(32)}, "use": "k1"}
        self._write_json("peer-keys.json", keys)

    @property
    def operator_key(self) -> Key:
        """Operator key, with which the first configuration can be applied."""
        return self._operator_key

    @property
    def upstreams(self) -> list[dict[str, Any]]:
        """Upstreams of the sidecars started so far, in the form of the desired state."""
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
        """Terminate all processes and kill those that do not end in time."""
        # Nodes end before the stand-ins that they depend on, so that their shutdown is an ordinary
        # one.
        nodes = [name for name in self._group.names if self._group.module(name) == NODE_MODULE]
        self._group.close(nodes, CLOSE_TIMEOUT_S)
        self._group.close(self._group.names, CLOSE_TIMEOUT_S)
        self._ports.close()

    @contextlib.contextmanager
    def start_concurrently(self) -> Iterator[None]:
        """Start processes concurrently and wait at the end of the block until all are ready."""
        self._awaiting_ready = []
        try:
            yield
            self._group.wait_ready(self._awaiting_ready)
        finally:
            self._awaiting_ready = None

    def start_standin(self, kind: str, name: str, **settings: Any) -> Member:
        """Start a stand-in process.

        Args:
            kind: Module of the stand-in, such as ``objects``, ``hosts``, ``weights``, ``engine`` or
                ``plain``.
            name: Name of the process in this cluster.
            settings: Settings of the stand-in except the port.
        """
        port = self._ports.choose()
        return self._start(name, f"carobspool_standins.{kind}", {"port": port, **settings}, port)

    def start_object_api(self, **settings: Any) -> Member:
        """Start the stand-in of the object API."""
        return self.start_standin("objects", OBJECT_API_NAME, **settings)

    def start_host_list(self, **settings: Any) -> Member:
        """Start the stand-in of the host list."""
        return self.start_standin("hosts", HOST_LIST_NAME, **settings)

    def start_engine(self, name: str, *, models: list[str], **settings: Any) -> Member:
        """Start a model engine with the models already loaded."""
        loaded = [{"name": model} for model in models]
        return self.start_standin("engine", name, models=loaded, **settings)

    def start_plain_service(self, name: str, *, service: str, **settings: Any) -> Member:
        """Start a plain HTTP service."""
        return self.start_standin("plain", name, service=service, **settings)

    def start_sidecar(
        self,
        name: str,
        upstream: Member,
        *,
        models: list[str] | None = None,
        service: str | None = None,
        failure_domain: str = DEFAULT_FAILURE_DOMAIN,
        declared: Mapping[str, Any] | None = None,
        **settings: Any,
    ) -> Member:
        """Start the sidecar of an upstream; the upstream's name serves as its host name.

        Args:
            name: Node name of the sidecar.
            upstream: Process of the engine or plain service.
            models: Models that `upstreams` lists for this upstream.
            service: Name of the plain service; ``None`` for an engine.
            failure_domain: Failure domain of the sidecar and its upstream.
            declared: Further fields of the upstream in `upstreams`.
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
            **self._common_node_settings(),
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
        self, name: str, *, failure_domain: str = DEFAULT_FAILURE_DOMAIN, **settings: Any
    ) -> Member:
        """Start an entry process."""
        port = self._ports.choose()
        values = {
            "role": "entry",
            "node": name,
            "failure_domain": failure_domain,
            "http": {"address": LOOPBACK, "port": port},
            "peer": {"address": LOOPBACK, "port": self._ports.choose()},
            "first_operator_key_hash": self._operator_key.hash,
            **self._common_node_settings(),
        }
        if HOST_LIST_NAME in self._members:
            values["host_list"] = self._members[HOST_LIST_NAME].url
        return self._start(name, NODE_MODULE, values | settings, port)

    def start_relay(self, name: str, *, delay_ms: float) -> Member:
        """Start a relay in front of all sidecars started so far.

        From then on `upstreams` lists the ports of the relay as the sidecars' addresses.

        Args:
            name: Name of the relay in this cluster.
            delay_ms: One-way delay.
        """
        routes: list[dict[str, int]] = []
        for upstream in self._upstreams.values():
            port = self._ports.choose()
            routes.append({"port": port, "target": int(upstream["address"].rpartition(":")[2])})
            upstream["address"] = f"{LOOPBACK}:{port}"
        return self.start_standin("relay", name, delay_ms=delay_ms, routes=routes)

    def cpu_seconds(self) -> dict[str, float]:
        """Return the CPU time in seconds that each running process has used so far, by name."""
        return {
            name: process_cpu_seconds(self._group.pid(name))
            for name in self._members
            if self._group.is_running(name)
        }

    def operator_caller(self, organisation: str) -> dict[str, Any]:
        """Return the desired state's entry of the operator, which keeps the operator key valid."""
        return {
            "id": "operator",
            "organisation": organisation,
            "key_hashes": [self._operator_key.hash],
            "role": "operator",
        }

    def member(self, name: str) -> Member:
        """Return the process of this name."""
        return self._members[name]

    def client(self, name: str, key: Key | None = None, *, timeout_ms: int = 30_000) -> HttpClient:
        """Return a new HTTP client of a process."""
        value = key.value if key is not None else None
        return HttpClient(self._members[name].url, key=value, timeout_ms=timeout_ms)

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL) and wait until it has ended."""
        self._group.send(name, signal.SIGKILL)
        self._group.wait(name, STOP_TIMEOUT_S)

    def suspend(self, name: str) -> None:
        """Suspend a process (SIGSTOP)."""
        self._group.send(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process (SIGCONT)."""
        self._group.send(name, signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Send SIGTERM to a process and return at once."""
        self._group.send(name, signal.SIGTERM)

    def stop(self, name: str, seconds: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM to a process, wait until it ends and return its exit code."""
        self.terminate(name)
        return self._group.wait(name, seconds)

    def restart(self, name: str) -> None:
        """Start an ended process again with the same settings and port, and wait until ready."""
        self._group.restart(name)
        self._group.wait_ready([name])

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        return self._group.is_running(name)

    def pid(self, name: str) -> int:
        """Return the process id."""
        return self._group.pid(name)

    def read_log(self, name: str) -> str:
        """Return the whole log of a process, across all its starts."""
        return self._group.log(name)

    def set_faults(self, name: str, **faults: Any) -> None:
        """Set the faults that a stand-in injects; without arguments, clear all of them.

        Raises:
            ClusterError: If the stand-in rejects the faults.
        """
        client = self.client(name)
        path = "/faults" if faults else "/faults/reset"
        reply = client.call("POST", path, json_body=faults)
        client.close()
        if reply.status != 200:
            raise ClusterError(f"{name} rejected the faults: {reply.text}")

    def apply_configuration(
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
            ClusterError: If the entry rejects the desired state.
        """
        client = self.client(entry, key or self._operator_key)
        body = {"base": base, "state": state, "reason": reason}
        reply = client.call("POST", "/operator/config", json_body=body)
        client.close()
        if reply.status != 200:
            raise ClusterError(f"{entry} rejected the configuration: {reply.text}")
        return int(reply.json["revision"])

    def wait_until(
        self, what: str, condition: Callable[[], bool], seconds: float = WAIT_TIMEOUT_S
    ) -> None:
        """Poll until a condition holds; an `IncompleteResponseError` that it raises means false.

        Raises:
            ClusterError: If the condition does not hold in time.
        """
        deadline = time.monotonic() + seconds
        while True:
            with contextlib.suppress(IncompleteResponseError):
                if condition():
                    return
            if time.monotonic() > deadline:
                raise ClusterError(f"timed out after {seconds} s waiting until: {what}")
            time.sleep(POLL_INTERVAL_S)

    def _common_node_settings(self) -> dict[str, Any]:
        return {"object_api": self._members[OBJECT_API_NAME].url, "peer_keys": "peer-keys.json"}

    def _start(self, name: str, module: str, settings: Mapping[str, Any], port: int) -> Member:
        path = self._write_json(f"{name}.json", settings)
        arguments = [str(path)]
        if module == NODE_MODULE:
            arguments.insert(0, "run")
        log = self._folder / f"{name}.log"
        self._group.start(name, Command(module=module, arguments=arguments, log=log))
        member = Member(name=name, port=port)
        self._members[name] = member
        if self._awaiting_ready is None:
            self._group.wait_ready([name])
        else:
            self._awaiting_ready.append(name)
        return member

    def _write_json(self, name: str, value: Mapping[str, Any]) -> Path:
        path = self._folder / name
        path.touch(mode=0o600)
        path.write_text(json.dumps(value, indent=2), encoding="utf-8")
        return path
