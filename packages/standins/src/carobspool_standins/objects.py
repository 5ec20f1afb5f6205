"""Stand-in for the platform's object API: ``python -m carobspool_standins.objects SETTINGS``."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any

from pydantic import Field
from werkzeug.routing import Rule
from werkzeug.wrappers import Request, Response

from carobspool_standins._faults import FaultBoard, Faults
from carobspool_standins._http import (
    WsgiApplication,
    abort_connection,
    application,
    error_response,
    fault_rules,
    json_response,
)
from carobspool_standins._main import run_standin
from carobspool_standins._object_table import Event, ObjectTable, VersionConflict
from carobspool_standins._settings import ServerSettings, Settings

MAX_PAGE_OBJECTS = 1000
OPERATIONS = ("get", "list", "create", "update", "delete", "watch")


class ObjectsSettings(ServerSettings):
    """Settings of the object API.

    Attributes:
        max_value_bytes: Maximum size of a value.
        max_history: Number of events retained for watches; a watch from an older revision gets
            status 410.
    """

    max_value_bytes: int = 1_048_576
    max_history: int = Field(default=200_000, ge=1)


class CountedFault(Settings):
    """A fault that affects a limited number of writes under a key prefix.

    Attributes:
        prefix: Prefix of the affected keys.
        ops: Affected operations.
        count: Number of remaining occurrences.
    """

    prefix: str = ""
    ops: tuple[str, ...] = ("create", "update", "delete")
    count: int = 1


class ObjectsFaults(Faults):
    """Faults of the object API, as docs/design/interfaces.md lists them."""

    outage: bool = False
    freeze: bool = False
    delay_ms: float = 0.0
    lose_answer: CountedFault | None = None
    drop_before: CountedFault | None = None
    refuse_writes: bool = False
    watch_lag_ms: float = 0.0


Board = FaultBoard[ObjectsFaults]


def make_application(settings: ObjectsSettings) -> WsgiApplication:
    """Return the WSGI application of the object API, with an empty store."""
    table = ObjectTable(settings.max_history)
    board: Board = FaultBoard(ObjectsFaults, on_change=table.wake_watches)
    calls: Counter[str] = Counter()

    def count_and_inject_faults(
        operation: Callable[[Request], str], view: Callable[..., Response]
    ) -> Any:
        def run(request: Request, **values: Any) -> Response:
            name = operation(request)
            calls[name] += 1
            failure = _inject_faults(board, name)
            return failure if failure is not None else view(request, **values)

        return run

    rules = [
        Rule(
            "/objects/<path:key>",
            methods=["GET"],
            endpoint=count_and_inject_faults(_constant_operation("get"), _get(table)),
        ),
        Rule(
            "/objects/<path:key>",
            methods=["PUT"],
            endpoint=count_and_inject_faults(
                _put_operation, _put(table, board, settings.max_value_bytes)
            ),
        ),
        Rule(
            "/objects/<path:key>",
            methods=["DELETE"],
            endpoint=count_and_inject_faults(_constant_operation("delete"), _delete(table, board)),
        ),
        Rule(
            "/list",
            methods=["GET"],
            endpoint=count_and_inject_faults(_constant_operation("list"), _list(table)),
        ),
        Rule(
            "/watch",
            methods=["GET"],
            endpoint=count_and_inject_faults(_constant_operation("watch"), _watch(table, board)),
        ),
        Rule("/calls", methods=["GET"], endpoint=_calls(calls)),
        Rule("/history", methods=["GET"], endpoint=_history(table)),
    ]
    return application([*fault_rules(board), *rules])


def _constant_operation(name: str) -> Callable[[Request], str]:
    return lambda _request: name


def _put_operation(request: Request) -> str:
    return "create" if request.headers.get("If-Version") == "0" else "update"


def _inject_faults(board: Board, operation: str) -> Response | None:
    board.wait_while(lambda faults: faults.freeze)
    faults = board.current
    if faults.delay_ms > 0:
        time.sleep(faults.delay_ms / 1000.0)
    faults = board.current
    if faults.outage:
        return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "outage", "no service")
    if faults.refuse_writes and operation in ("create", "update", "delete"):
        return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "read_only", "writes are refused")
    return None


def _consume_fault(board: Board, name: str, operation: str, key: str) -> bool:
    def choose(faults: ObjectsFaults) -> Mapping[str, Any] | None:
        fault: CountedFault | None = getattr(faults, name)
        if fault is None or operation not in fault.ops or not key.startswith(fault.prefix):
            return None
        if fault.count <= 0:
            return None
        return {name: fault.model_copy(update={"count": fault.count - 1})}

    return board.consume(choose)


def _get(table: ObjectTable) -> Callable[..., Response]:
    def get(_request: Request, key: str) -> Response:
        found = table.get(key)
        if found is None:
            return error_response(HTTPStatus.NOT_FOUND, "not_found", "no such object")
        headers = {"Object-Version": str(found.version)}
        return Response(found.value, headers=headers, content_type="text/plain")

    return get


def _if_version(request: Request) -> int | None:
    text = request.headers.get("If-Version", "")
    return int(text) if text.isdigit() else None


def _put(table: ObjectTable, board: Board, max_bytes: int) -> Callable[..., Response]:
    def put(request: Request, key: str) -> Response:
        version = _if_version(request)
        if version is None:
            return error_response(HTTPStatus.BAD_REQUEST, "no_version", "If-Version is missing")
        body = request.get_data()
        if len(body) > max_bytes:
            return error_response(
                HTTPStatus.REQUEST_ENTITY_TOO_LARGE, "too_large", f"over {max_bytes} bytes"
            )
        try:
            value = body.decode("utf-8")
        except UnicodeDecodeError:
            return error_response(HTTPStatus.BAD_REQUEST, "not_text", "a value is UTF-8 text")
        operation = _put_operation(request)
        return _conditional_write(
            request, board, operation, key, lambda: table.put(key, value, version)
        )

    return put


def _delete(table: ObjectTable, board: Board) -> Callable[..., Response]:
    def delete(request: Request, key: str) -> Response:
        version = _if_version(request)
        if version is None:
            return error_response(HTTPStatus.BAD_REQUEST, "no_version", "If-Version is missing")
        return _conditional_write(request, board, "delete", key, lambda: table.delete(key, version))

    return delete


def _conditional_write(
    request: Request, board: Board, operation: str, key: str, write: Callable[[], int | None]
) -> Response:
    if _consume_fault(board, "drop_before", operation, key):
        raise abort_connection(request)
    try:
        version = write()
    except VersionConflict as conflict:
        headers = {"Object-Version": str(conflict.current)}
        return error_response(HTTPStatus.CONFLICT, "conflict", "other version", headers)
    if _consume_fault(board, "lose_answer", operation, key):
        raise abort_connection(request)
    if version is None:
        return error_response(HTTPStatus.NOT_FOUND, "not_found", "no such object")
    return json_response({"version": version}, headers={"Object-Version": str(version)})


def _list(table: ObjectTable) -> Callable[..., Response]:
    def list_objects(request: Request) -> Response:
        prefix = request.args.get("prefix", "")
        after = request.args.get("after", "")
        limit = min(request.args.get("limit", MAX_PAGE_OBJECTS, type=int), MAX_PAGE_OBJECTS)
        revision, found, more = table.page(prefix, after, limit)
        objects = [{"key": o.key, "version": o.version, "value": o.value} for o in found]
        return json_response({"revision": revision, "objects": objects, "more": more})

    return list_objects


def _watch(table: ObjectTable, board: Board) -> Callable[..., Response]:
    def watch(request: Request) -> Response:
        start = request.args.get("from", type=int)
        timeout = request.args.get("timeout", 0.0, type=float)
        if start is None:
            return error_response(HTTPStatus.BAD_REQUEST, "no_revision", "from is missing")
        batch = table.watch(
            request.args.get("prefix", ""),
            start,
            timeout,
            lag_ms=lambda: board.current.watch_lag_ms,
            interrupted=lambda: board.current.outage or board.current.freeze,
        )
        if batch is None:
            return error_response(HTTPStatus.GONE, "compacted", "revision no longer held")
        failure = _inject_faults(board, "watch")
        if failure is not None:
            return failure
        events = [_event_json(event, with_time=False) for event in batch.events]
        return json_response({"revision": batch.revision, "events": events})

    return watch


def _calls(calls: Counter[str]) -> Callable[..., Response]:
    return lambda _request: json_response({name: calls[name] for name in OPERATIONS})


def _history(table: ObjectTable) -> Callable[..., Response]:
    def history(request: Request) -> Response:
        events = table.history(request.args.get("after", 0, type=int))
        return json_response({"events": [_event_json(event, with_time=True) for event in events]})

    return history


def _event_json(event: Event, *, with_time: bool) -> dict[str, Any]:
    value: dict[str, Any] = {
        "key": event.key,
        "version": event.version,
        "value": event.value,
        "deleted": event.deleted,
    }
    if with_time:
        value["at"] = event.at
    return value


if __name__ == "__main__":
    raise SystemExit(run_standin(ObjectsSettings, make_application))
