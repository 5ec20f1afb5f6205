"""Stand-in for a lagging host list: ``python -m carobspool_standins.hosts SETTINGS``."""

from __future__ import annotations

import threading
import time
from http import HTTPStatus
from typing import Literal

from pydantic import ValidationError
from werkzeug.routing import Rule
from werkzeug.wrappers import Request, Response

from carobspool_standins._faults import FaultBoard, Faults
from carobspool_standins._http import (
    WsgiApplication,
    application,
    error_response,
    fault_rules,
    json_response,
)
from carobspool_standins._main import run_standin
from carobspool_standins._settings import ServerSettings, Settings

MAX_VERSIONS = 10_000


class HostRecord(Settings):
    """A host of the platform."""

    host: str
    address: str
    failure_domain: str
    state: Literal["live", "leaving"] = "live"


class HostsSettings(ServerSettings):
    """Settings of the host list.

    Attributes:
        lag_ms: Age of the list that callers receive.
        hosts: Initial hosts.
    """

    lag_ms: float = 0.0
    hosts: tuple[HostRecord, ...] = ()


class HostsFaults(Faults):
    """Faults of the host list; ``lag_ms`` overrides the setting."""

    outage: bool = False
    delay_ms: float = 0.0
    lag_ms: float | None = None


class _HostTable:
    """Latest versions of the list, each with the time of its change. Thread-safe."""

    def __init__(self, hosts: dict[str, HostRecord]) -> None:
        self._lock = threading.Lock()
        self._versions: list[tuple[float, dict[str, HostRecord]]] = [(0.0, hosts)]

    def set_or_remove(self, host: str, record: HostRecord | None) -> bool:
        """Set a host, or remove it if ``record`` is ``None``; return whether it existed."""
        with self._lock:
            hosts = dict(self._versions[-1][1])
            existed = hosts.pop(host, None) is not None
            if record is not None:
                hosts[host] = record
            self._versions.append((time.monotonic() * 1000.0, hosts))
            del self._versions[:-MAX_VERSIONS]
            return existed

    def snapshot(self, lag_ms: float) -> list[HostRecord]:
        """Return the hosts as they were ``lag_ms`` ago."""
        limit = time.monotonic() * 1000.0 - lag_ms
        with self._lock:
            for changed_at, hosts in reversed(self._versions):
                if changed_at <= limit:
                    return list(hosts.values())
            return list(self._versions[0][1].values())


def make_application(settings: HostsSettings) -> WsgiApplication:
    """Return the WSGI application of the host list, with the hosts in ``settings``."""
    table = _HostTable({record.host: record for record in settings.hosts})
    board = FaultBoard(HostsFaults)

    def list_hosts(_request: Request) -> Response:
        faults = board.current
        if faults.delay_ms > 0:
            time.sleep(faults.delay_ms / 1000.0)
        if faults.outage:
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "outage", "no service")
        lag = settings.lag_ms if faults.lag_ms is None else faults.lag_ms
        return json_response({"hosts": [record.model_dump() for record in table.snapshot(lag)]})

    def put(request: Request, host: str) -> Response:
        try:
            record = HostRecord.model_validate(request.get_json(force=True))
        except ValidationError as error:
            return error_response(HTTPStatus.BAD_REQUEST, "invalid_host", str(error))
        if record.host != host:
            return error_response(HTTPStatus.BAD_REQUEST, "invalid_host", "names differ")
        table.set_or_remove(host, record)
        return json_response(record.model_dump())

    def delete(_request: Request, host: str) -> Response:
        if not table.set_or_remove(host, None):
            return error_response(HTTPStatus.NOT_FOUND, "not_found", "no such host")
        return json_response({"host": host})

    rules = [
        Rule("/hosts", methods=["GET"], endpoint=list_hosts),
        Rule("/hosts/<host>", methods=["PUT"], endpoint=put),
        Rule("/hosts/<host>", methods=["DELETE"], endpoint=delete),
    ]
    return application([*fault_rules(board), *rules])


if __name__ == "__main__":
    raise SystemExit(run_standin(HostsSettings, make_application))
