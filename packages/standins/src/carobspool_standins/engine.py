"""Stand-in for a model inference engine: ``python -m carobspool_standins.engine SETTINGS``."""

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

from carobspool_standins._answers import InvalidRequestBody, parse_prompt
from carobspool_standins._engine import Engine, InvalidResumeToken, Job
from carobspool_standins._engine_orders import Order, StaleFence
from carobspool_standins._engine_settings import EngineSettings
from carobspool_standins._gpu import StreamEnd
from carobspool_standins._http import (
    JSON_TYPE,
    WsgiApplication,
    abort_connection,
    application,
    error_response,
    fault_rules,
    json_response,
)
from carobspool_standins._main import run_standin
from carobspool_standins._sse import EventWriter, Usage, completion_body
from carobspool_standins.errors import ClientDisconnected, LoadFailure

SSE_TYPE = "text/event-stream"
CLIENT_CHECK_INTERVAL_S = 0.1


def make_application(settings: EngineSettings) -> WsgiApplication:
    """Return the WSGI application of an idle engine that serves the models in ``settings``."""
    engine = Engine(settings)

    def refuse_while_down(view: Callable[..., Response]) -> Callable[..., Response]:
        def run(request: Request, **values: Any) -> Response:
            if engine.is_down:
                raise abort_connection(request)
            return view(request, **values)

        return run

    rules = [
        Rule("/v1/models", methods=["GET"], endpoint=refuse_while_down(_models_view(engine))),
        Rule(
            "/v1/chat/completions",
            methods=["POST"],
            endpoint=refuse_while_down(_completions_view(engine, chat=True)),
        ),
        Rule(
            "/v1/completions",
            methods=["POST"],
            endpoint=refuse_while_down(_completions_view(engine, chat=False)),
        ),
        Rule(
            "/streams/<name>/cancel",
            methods=["POST"],
            endpoint=refuse_while_down(_cancel_view(engine)),
        ),
        Rule(
            "/streams/<name>/resume",
            methods=["POST"],
            endpoint=refuse_while_down(_resume_view(engine)),
        ),
        Rule("/load", methods=["GET"], endpoint=refuse_while_down(_load_view(engine))),
        Rule(
            "/cache-events", methods=["GET"], endpoint=refuse_while_down(_cache_events_view(engine))
        ),
        Rule("/state", methods=["GET"], endpoint=refuse_while_down(_state_view(engine))),
        Rule(
            "/orders",
            methods=["POST"],
            endpoint=refuse_while_down(_orders_view(engine, settings.order_key)),
        ),
        Rule("/record", methods=["GET"], endpoint=_record_view(engine)),
    ]
    return application([*fault_rules(engine.board, is_down=lambda: engine.is_down), *rules])


def _models_view(engine: Engine) -> Callable[..., Response]:
    def models(_request: Request) -> Response:
        names = [
            name
            for name, model in engine.deployment.state["models"].items()
            if model["state"] == "ready"
        ]
        data = [{"id": name, "object": "model", "owned_by": "standin"} for name in names]
        return json_response({"object": "list", "data": data})

    return models


def _completions_view(engine: Engine, *, chat: bool) -> Callable[..., Response]:
    def completions(request: Request) -> Response:
        body = request.get_data()
        try:
            prompt = parse_prompt(body, chat=chat)
        except InvalidRequestBody as error:
            return error_response(HTTPStatus.BAD_REQUEST, "invalid_body", str(error))
        ready = engine.deployment.is_ready(prompt.model)
        if ready is None:
            return error_response(HTTPStatus.NOT_FOUND, "model_not_found", "no such model")
        if not ready:
            return error_response(
                HTTPStatus.SERVICE_UNAVAILABLE, "model_loading", "the model is being loaded"
            )
        job = engine.register(request.headers.get("X-Request-Id"), prompt, body)
        engine.board.wait_while(lambda faults: faults.hang)
        if engine.fails_at_random():
            engine.finish(job, StreamEnd.ABORTED)
            return error_response(HTTPStatus.INTERNAL_SERVER_ERROR, "fault", "random error")
        engine.start(job)
        if prompt.stream:
            return _stream_response(request, engine, job)
        return _completion_response(request, engine, job)

    return completions


def _client_disconnected(request: Request) -> bool:
    """Return whether the client has closed the connection.

    A client sends nothing while it waits for a response, so a readable socket means a closed one.
    """
    connection = request.environ["werkzeug.socket"]
    readable, _, _ = select.select([connection], [], [], 0)
    return bool(readable)


def _watch_progress(request: Request, job: Job) -> Iterator[tuple[int, StreamEnd | None]]:
    """Yield the number of tokens produced and how the stream ended, after each change.

    Raises:
        ClientDisconnected: If the client closed its connection.
        AbortConnection: If the engine crashed.
    """
    last_count = job.first_token
    next_check_at = time.monotonic() + CLIENT_CHECK_INTERVAL_S
    while True:
        produced, end = job.stream.wait(last_count, CLIENT_CHECK_INTERVAL_S)
        if end is StreamEnd.CRASHED:
            raise abort_connection(request)
        if produced > last_count or end is not None:
            yield produced, end
            last_count = produced
        if end is not None:
            return
        if time.monotonic() < next_check_at:
            continue
        if _client_disconnected(request):
            raise ClientDisconnected(job.stream.id)
        next_check_at = time.monotonic() + CLIENT_CHECK_INTERVAL_S


def _events(request: Request, engine: Engine, job: Job) -> Iterator[bytes]:
    """Yield the events of a stream; events that are ready together form one chunk."""
    writer = EventWriter(job.stream.id, job.prompt, job.answer)
    ending = StreamEnd.ABORTED  # Holds unless the stream ends before the client disconnects.
    sent = job.first_token
    try:
        for produced, end in _watch_progress(request, job):
            chunk = writer.token_events(sent, produced)
            sent = produced
            if end is not None:
                ending = end
                chunk += writer.final_events(_finish_reason(job, end), _usage(job, produced))
            yield chunk
    except ClientDisconnected:
        raise abort_connection(request) from None
    finally:
        engine.finish(job, ending)


def _completion_response(request: Request, engine: Engine, job: Job) -> Response:
    ending = StreamEnd.ABORTED
    produced = 0
    try:
        for count, end in _watch_progress(request, job):
            produced = count
            ending = end or ending
    except ClientDisconnected:
        raise abort_connection(request) from None
    finally:
        engine.finish(job, ending)
    words = job.answer.words[:produced]
    value = completion_body(
        job.stream.id, job.prompt, words, _finish_reason(job, ending), _usage(job, produced)
    )
    response = json_response(value, headers={"X-Request-Id": job.stream.id})
    return _truncate_response(request, engine, response)


def _stream_response(request: Request, engine: Engine, job: Job) -> Response:
    headers = {"X-Request-Id": job.stream.id, "Cache-Control": "no-cache"}
    response = Response(_events(request, engine, job), headers=headers, content_type=SSE_TYPE)
    return _truncate_response(request, engine, response)


def _truncate_response(request: Request, engine: Engine, response: Response) -> Response:
    """Truncate the response if the fault ``reset_after_bytes`` or ``half_answer`` is active."""
    faults = engine.board.current
    limit = faults.reset_after_bytes
    if faults.half_answer and response.content_type == JSON_TYPE:
        limit = len(response.get_data()) // 2
    if limit is None and not faults.half_answer:
        return response
    body: Any = response.response

    def chunks() -> Iterator[bytes]:
        remaining_bytes = limit
        count = 0
        try:
            for chunk in body:
                count += 1
                # The length of a stream is unknown, so ``half_answer`` cuts it in its second chunk.
                if remaining_bytes is None and count == 2:
                    yield chunk[: len(chunk) // 2]
                    raise abort_connection(request)
                if remaining_bytes is None:
                    yield chunk
                    continue
                yield chunk[:remaining_bytes]
                remaining_bytes -= len(chunk)
                if remaining_bytes <= 0:
                    raise abort_connection(request)
        finally:
            close = getattr(body, "close", None)
            if close is not None:
                close()

    headers = dict(response.headers)
    return Response(chunks(), status=response.status, headers=headers)


def _finish_reason(job: Job, end: StreamEnd) -> str:
    return "cancelled" if end is StreamEnd.CANCELLED else job.answer.finish_reason


def _usage(job: Job, produced: int) -> Usage:
    return Usage(prompt=job.prompt.tokens, completion=produced)


def _cancel_view(engine: Engine) -> Callable[..., Response]:
    def cancel(request: Request, name: str) -> Response:
        options = request.get_json(force=True, silent=True) or {}
        result = engine.cancel(name, keep_kv=bool(options.get("keep_kv", False)))
        if result is None:
            return error_response(HTTPStatus.NOT_FOUND, "not_found", "no such stream")
        tokens, kept = result
        return json_response({"tokens": tokens, "kept": kept})

    return cancel


def _resume_view(engine: Engine) -> Callable[..., Response]:
    def resume(request: Request, name: str) -> Response:
        options = request.get_json(force=True, silent=True) or {}
        try:
            job = engine.resume(name, int(options.get("from_token", 0)))
        except InvalidResumeToken as error:
            return error_response(HTTPStatus.BAD_REQUEST, "bad_token", str(error))
        if job is None:
            return error_response(HTTPStatus.NOT_FOUND, "not_kept", "its KV is not kept")
        return _stream_response(request, engine, job)

    return resume


def _load_view(engine: Engine) -> Callable[..., Response]:
    return lambda _request: json_response(asdict(engine.gpu.load))


def _cache_events_view(engine: Engine) -> Callable[..., Response]:
    def cache_events(request: Request) -> Response:
        following, events = engine.events.since(request.args.get("from", 0, type=int))
        return json_response({"next": following, "events": events})

    return cache_events


def _state_view(engine: Engine) -> Callable[..., Response]:
    return lambda _request: json_response(engine.deployment.state)


def _orders_view(engine: Engine, order_key: str | None) -> Callable[..., Response]:
    def orders(request: Request) -> Response:
        if order_key is not None and request.headers.get("Authorization") != f"Bearer {order_key}":
            return error_response(HTTPStatus.FORBIDDEN, "bad_order_key", "the key differs")
        try:
            engine.deployment.execute(Order.model_validate_json(request.get_data()))
        except ValidationError as error:
            return error_response(HTTPStatus.BAD_REQUEST, "invalid_order", str(error))
        except StaleFence as error:
            return json_response({"fence": list(error.highest)}, HTTPStatus.CONFLICT)
        except LoadFailure as error:
            return error_response(HTTPStatus.SERVICE_UNAVAILABLE, "load_failed", str(error))
        return json_response(engine.deployment.state)

    return orders


def _record_view(engine: Engine) -> Callable[..., Response]:
    def record(request: Request) -> Response:
        return json_response(
            {"runs": engine.record.runs_from(request.args.get("after", 0, type=int))}
        )

    return record


if __name__ == "__main__":
    raise SystemExit(run_standin(EngineSettings, make_application))
