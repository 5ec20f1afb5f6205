"""Stand-in of a model engine: ``python -m carobspool_standins.engine SETTINGS``."""

from __future__ import annotations

import select
import time
from collections.abc import Callable, Iterator
from dataclasses import asdict
from http import HTTPStatus
from typing import Any

from pydantic import ValidationError
from werkzeug.routing import Rule
from werkzeug.wrappers import Request, Response

from carobspool_standins._answers import InvalidBody, parse_prompt
from carobspool_standins._engine import BadToken, Engine, Job
from carobspool_standins._engine_orders import OldFence, Order
from carobspool_standins._engine_settings import EngineSettings
from carobspool_standins._gpu import StreamEnd
from carobspool_standins._http import (
    JSON_TYPE,
    WsgiApplication,
    application,
    cut_connection,
    error_response,
    fault_rules,
    json_response,
)
from carobspool_standins._main import run_standin
from carobspool_standins._sse import EventWriter, Usage, whole_answer
from carobspool_standins.errors import ClientGone, LoadFailure

SSE_TYPE = "text/event-stream"
CLIENT_CHECK_SECONDS = 0.1


def make_application(settings: EngineSettings) -> WsgiApplication:
    """Return an idle engine with the models of the settings."""
    engine = Engine(settings)

    def guarded(view: Callable[..., Response]) -> Callable[..., Response]:
        def run(request: Request, **values: Any) -> Response:
            if engine.is_down:
                raise cut_connection(request)
            return view(request, **values)

        return run

    rules = [
        Rule("/v1/models", methods=["GET"], endpoint=guarded(_models(engine))),
        Rule(
            "/v1/chat/completions",
            methods=["POST"],
            endpoint=guarded(_completions(engine, chat=True)),
        ),
        Rule(
            "/v1/completions", methods=["POST"], endpoint=guarded(_completions(engine, chat=False))
        ),
        Rule("/streams/<name>/cancel", methods=["POST"], endpoint=guarded(_cancel(engine))),
        Rule("/streams/<name>/resume", methods=["POST"], endpoint=guarded(_resume(engine))),
        Rule("/load", methods=["GET"], endpoint=guarded(_load(engine))),
        Rule("/cache-events", methods=["GET"], endpoint=guarded(_cache_events(engine))),
        Rule("/state", methods=["GET"], endpoint=guarded(_state(engine))),
        Rule("/orders", methods=["POST"], endpoint=guarded(_orders(engine, settings.order_key))),
        Rule("/record", methods=["GET"], endpoint=_record(engine)),
    ]
    return application([*fault_rules(engine.board, is_down=lambda: engine.is_down), *rules])


def _models(engine: Engine) -> Callable[..., Response]:
    def models(_request: Request) -> Response:
        names = [
            name
            for name, model in engine.deployment.state["models"].items()
            if model["state"] == "ready"
        ]
        data = [{"id": name, "object": "model", "owned_by": "standin"} for name in names]
        return json_response({"object": "list", "data": data})

    return models


def _completions(engine: Engine, *, chat: bool) -> Callable[..., Response]:
    def completions(request: Request) -> Response:
        body = request.get_data()
        try:
            prompt = parse_prompt(body, chat=chat)
        except InvalidBody as error:
            return error_response(HTTPStatus.BAD_REQUEST, "invalid_body", str(error))
        ready = engine.deployment.is_ready(prompt.model)
        if ready is None:
            return error_response(HTTPStatus.NOT_FOUND, "model_not_found", "no such model")
        if not ready:
            return error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, "model_loading", "the model is being loaded"
            )
        job = engine.read(request.headers.get("X-Request-Id"), prompt, body)
        engine.board.wait_while(lambda faults: faults.hang)
        if engine.fails_at_random():
            engine.finish(job, StreamEnd.ABORTED)
            return error_response(HTTPStatus.INTERNAL_SERVER_ERROR, "fault", "random error")
        engine.start(job)
        if prompt.stream:
            return _event_response(request, engine, job)
        return _whole_response(request, engine, job)

    return completions


def _client_left(request: Request) -> bool:
    """Whether the client has closed the connection; it sends nothing while it waits."""
    connection = request.environ["werkzeug.socket"]
    readable, _, _ = select.select([connection], [], [], 0)
    return bool(readable)


def _progress(request: Request, job: Job) -> Iterator[tuple[int, StreamEnd | None]]:
    """Yield the tokens produced and the end, whenever there is news.

    Raises:
        ClientGone: If the client closed its connection.
        CutConnection: If the engine crashed.
    """
    known = job.first
    check_at = time.monotonic() + CLIENT_CHECK_SECONDS
    while True:
        produced, end = job.stream.wait(known, CLIENT_CHECK_SECONDS)
        if end is StreamEnd.CRASHED:
            raise cut_connection(request)
        if produced > known or end is not None:
            yield produced, end
            known = produced
        if end is not None:
            return
        if time.monotonic() < check_at:
            continue
        if _client_left(request):
            raise ClientGone(job.stream.id)
        check_at = time.monotonic() + CLIENT_CHECK_SECONDS


def _events(request: Request, engine: Engine, job: Job) -> Iterator[bytes]:
    """Yield the events of a stream, all that are ready in one piece."""
    writer = EventWriter(job.stream.id, job.prompt, job.answer)
    ending = StreamEnd.ABORTED  # What it is when the client goes before the end.
    sent = job.first
    try:
        for produced, end in _progress(request, job):
            piece = writer.tokens(sent, produced)
            sent = produced
            if end is not None:
                ending = end
                piece += writer.finish(_reason(job, end), _usage(job, produced))
            yield piece
    except ClientGone:
        raise cut_connection(request) from None
    finally:
        engine.finish(job, ending)


def _whole_response(request: Request, engine: Engine, job: Job) -> Response:
    ending = StreamEnd.ABORTED
    produced = 0
    try:
        for count, end in _progress(request, job):
            produced = count
            ending = end or ending
    except ClientGone:
        raise cut_connection(request) from None
    finally:
        engine.finish(job, ending)
    words = job.answer.words[:produced]
    value = whole_answer(
        job.stream.id, job.prompt, words, _reason(job, ending), _usage(job, produced)
    )
    response = json_response(value, headers={"X-Request-Id": job.stream.id})
    return _with_cut(request, engine, response)


def _event_response(request: Request, engine: Engine, job: Job) -> Response:
    headers = {"X-Request-Id": job.stream.id, "Cache-Control": "no-cache"}
    response = Response(_events(request, engine, job), headers=headers, content_type=SSE_TYPE)
    return _with_cut(request, engine, response)


def _with_cut(request: Request, engine: Engine, response: Response) -> Response:
    """Return the answer as the faults ``reset_after_bytes`` and ``half_answer`` leave it."""
    faults = engine.board.current
    limit = faults.reset_after_bytes
    if faults.half_answer and response.content_type == JSON_TYPE:
        limit = len(response.get_data()) // 2
    if limit is None and not faults.half_answer:
        return response
    whole: Any = response.response

    def pieces() -> Iterator[bytes]:
        left = limit
        count = 0
        try:
            for piece in whole:
                count += 1
                # Half of a stream: its length is not known, so it is cut in its second piece.
                if left is None and count == 2:
                    yield piece[: len(piece) // 2]
                    raise cut_connection(request)
                if left is None:
                    yield piece
                    continue
                yield piece[:left]
                left -= len(piece)
                if left <= 0:
                    raise cut_connection(request)
        finally:
            close = getattr(whole, "close", None)
            if close is not None:
                close()

    headers = dict(response.headers)
    return Response(pieces(), status=response.status, headers=headers)


def _reason(job: Job, end: StreamEnd) -> str:
    return "cancelled" if end is StreamEnd.CANCELLED else job.answer.finish_reason


def _usage(job: Job, produced: int) -> Usage:
    return Usage(prompt=job.prompt.tokens, completion=produced)


def _cancel(engine: Engine) -> Callable[..., Response]:
    def cancel(request: Request, name: str) -> Response:
        options = request.get_json(force=True, silent=True) or {}
        result = engine.cancel(name, keep_kv=bool(options.get("keep_kv", False)))
        if result is None:
            return error_response(HTTPStatus.NOT_FOUND, "not_found", "no such stream")
        tokens, kept = result
        return json_response({"tokens": tokens, "kept": kept})

    return cancel


def _resume(engine: Engine) -> Callable[..., Response]:
    def resume(request: Request, name: str) -> Response:
        options = request.get_json(force=True, silent=True) or {}
        try:
            job = engine.resume(name, int(options.get("from_token", 0)))
        except BadToken as error:
            return error_response(HTTPStatus.BAD_REQUEST, "bad_token", str(error))
        if job is None:
            return error_response(HTTPStatus.NOT_FOUND, "not_kept", "its KV is not kept")
        return _event_response(request, engine, job)

    return resume


def _load(engine: Engine) -> Callable[..., Response]:
    return lambda _request: json_response(asdict(engine.gpu.load))


def _cache_events(engine: Engine) -> Callable[..., Response]:
    def cache_events(request: Request) -> Response:
        following, events = engine.events.since(request.args.get("from", 0, type=int))
        return json_response({"next": following, "events": events})

    return cache_events


def _state(engine: Engine) -> Callable[..., Response]:
    return lambda _request: json_response(engine.deployment.state)


def _orders(engine: Engine, order_key: str | None) -> Callable[..., Response]:
    def orders(request: Request) -> Response:
        if order_key is not None and request.headers.get("Authorization") != f"Bearer {order_key}":
            return error_response(HTTPStatus.FORBIDDEN, "bad_order_key", "the key differs")
        try:
            engine.deployment.execute(Order.model_validate_json(request.get_data()))
        except ValidationError as error:
            return error_response(HTTPStatus.BAD_REQUEST, "invalid_order", str(error))
        except OldFence as error:
            return json_response({"fence": list(error.highest)}, HTTPStatus.CONFLICT)
        except LoadFailure as error:
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "load_failed", str(error))
        return json_response(engine.deployment.state)

    return orders


def _record(engine: Engine) -> Callable[..., Response]:
    def record(request: Request) -> Response:
        return json_response({"runs": engine.record.after(request.args.get("after", 0, type=int))})

    return record


if __name__ == "__main__":
    raise SystemExit(run_standin(EngineSettings, make_application))
