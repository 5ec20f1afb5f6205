"""Routes for files and batches, as the OpenAI API spells them."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator
from urllib.parse import unquote

from returns.pipeline import is_successful
from returns.result import Result
from werkzeug.wrappers import Request, Response

from carobspool_core import Failure, Json, invalid_request
from carobspool_node.callers._api import Access, ApiRoute
from carobspool_node.callers._caller_keys import Identified
from carobspool_node.callers._http_answers import failure_response, json_response
from carobspool_node.callers._http_server import TruncatedAnswerError
from carobspool_node.errors import ContentUnavailableError
from carobspool_node.jobs import DEFAULT_LIMIT, MAX_LIMIT, JobsApi

READ_BYTES = 65_536
DEFAULT_PURPOSE = "batch"


def job_routes(api: JobsApi) -> list[ApiRoute]:
    """Return the routes.

    Args:
        api: The calls on files and batches.
    """
    return [*_file_routes(api), *_batch_routes(api)]


def _file_routes(api: JobsApi) -> list[ApiRoute]:
    def create(request: Request, who: Identified) -> Response:
        upload = request.files.get("file")
        if upload is None:
            return failure_response(
                invalid_request("file_missing", "send the content as the form field 'file'")
            )
        created = api.create_file(
            who.organisation.name,
            who.caller.id,
            filename=upload.filename or "upload.jsonl",
            purpose=request.form.get("purpose", DEFAULT_PURPOSE),
            content=_pieces(upload.stream.read),
        )
        return _answer(created)

    def listing(request: Request, who: Identified) -> Response:
        return _answer(
            api.list_files(
                who.organisation.name,
                purpose=request.args.get("purpose"),
                after=request.args.get("after"),
                limit=request.args.get("limit", MAX_LIMIT, type=int),
            )
        )

    def retrieve(request: Request, who: Identified, file_id: str) -> Response:
        return _answer(api.retrieve_file(who.organisation.name, file_id))

    def delete(request: Request, who: Identified, file_id: str) -> Response:
        return _answer(api.delete_file(who.organisation.name, file_id))

    def content(request: Request, who: Identified, file_id: str) -> Response:
        found = api.file_content(who.organisation.name, file_id)
        if not is_successful(found):
            return failure_response(found.failure())
        return Response(
            _breaking(found.unwrap().pieces),
            content_type="application/octet-stream",
            direct_passthrough=True,
        )

    caller = Access.CALLER
    one = "/v1/files/<file_id>"
    return [
        ApiRoute(rule="/v1/files", methods=("POST",), access=caller, handler=create),
        ApiRoute(rule="/v1/files", methods=("GET",), access=caller, handler=listing),
        ApiRoute(rule=one, methods=("GET",), access=caller, handler=retrieve),
        ApiRoute(rule=one, methods=("DELETE",), access=caller, handler=delete),
        ApiRoute(rule=f"{one}/content", methods=("GET",), access=caller, handler=content),
    ]


def _batch_routes(api: JobsApi) -> list[ApiRoute]:
    def create(request: Request, who: Identified) -> Response:
        try:
            body = json.loads(request.get_data())
        except ValueError as error:
            text = f"the body is not JSON: {error}"
            return failure_response(invalid_request("invalid_json", text))
        return _answer(
            api.create_batch(
                who.organisation.name,
                who.caller.id,
                body,
                idempotency_key=request.headers.get("Idempotency-Key"),
            )
        )

    def listing(request: Request, who: Identified) -> Response:
        return _answer(
            api.list_batches(
                who.organisation.name,
                after=request.args.get("after"),
                limit=request.args.get("limit", DEFAULT_LIMIT, type=int),
            )
        )

    def retrieve(request: Request, who: Identified, batch_id: str) -> Response:
        return _answer(api.retrieve_batch(who.organisation.name, batch_id))

    def cancel(request: Request, who: Identified, batch_id: str) -> Response:
        reason = unquote(request.headers.get("carobspool-reason", ""))
        return _answer(
            api.cancel_batch(who.organisation.name, who.caller.id, batch_id, reason=reason)
        )

    caller = Access.CALLER
    one = "/v1/batches/<batch_id>"
    return [
        ApiRoute(rule="/v1/batches", methods=("POST",), access=caller, handler=create),
        ApiRoute(rule="/v1/batches", methods=("GET",), access=caller, handler=listing),
        ApiRoute(rule=one, methods=("GET",), access=caller, handler=retrieve),
        ApiRoute(rule=f"{one}/cancel", methods=("POST",), access=caller, handler=cancel),
    ]


def _answer(result: Result[Json, Failure]) -> Response:
    if not is_successful(result):
        return failure_response(result.failure())
    return json_response(result.unwrap())


def _pieces(read: Callable[[int], bytes]) -> Iterator[bytes]:
    while True:
        piece = read(READ_BYTES)
        if not piece:
            return
        yield piece


def _breaking(pieces: Iterator[bytes]) -> Iterator[bytes]:
    try:
        yield from pieces
    except ContentUnavailableError as error:
        raise TruncatedAnswerError(str(error)) from error
