"""The HTTP surface of an entry: finds the route, checks the key and the size, answers typed."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import Any

from absl import logging
from returns.pipeline import is_successful
from werkzeug.exceptions import HTTPException, MethodNotAllowed, NotFound
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from carobspool_core import Failure, Outcome, invalid_request
from carobspool_node.callers._caller_keys import CallerKeys, Identified
from carobspool_node.callers._http_answers import failure_response

Handler = Callable[..., Response]
"""Takes the request, who sent it (``None`` on open routes) and the parts of the path by name."""


class Access(StrEnum):
    """Who may use a route."""

    OPEN = "open"
    CALLER = "caller"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True, kw_only=True)
class ApiRoute:
    """One route.

    Attributes:
        rule: werkzeug's rule.
        methods: HTTP methods, or ``None`` for all.
        access: Who may use it.
        handler: Answers it.
    """

    rule: str
    methods: tuple[str, ...] | None
    access: Access
    handler: Handler


def make_application(
    routes: Sequence[ApiRoute],
    keys: CallerKeys,
    *,
    body_limit: int,
    on_request: Callable[[str], None],
) -> Callable[..., Iterable[bytes]]:
    """Return the WSGI application of an entry.

    Args:
        routes: Everything it answers.
        keys: The callers' keys.
        body_limit: Bytes of a request body that are accepted at most.
        on_request: Told the rule of each request, for the metrics.
    """
    handlers = {str(number): route for number, route in enumerate(routes)}
    url_map = Map(
        [
            Rule(route.rule, methods=route.methods, endpoint=number)
            for number, route in handlers.items()
        ],
        strict_slashes=False,
        merge_slashes=False,
    )

    def answer(request: Request) -> Response:
        try:
            number, arguments = url_map.bind_to_environ(request.environ).match()
        except HTTPException as error:
            return failure_response(_routing_failure(error, request))
        route = handlers[number]
        on_request(route.rule)
        who, refusal = _identify(route.access, keys, request)
        if refusal is not None:
            return failure_response(refusal)
        refusal = _check_length(request, body_limit)
        if refusal is not None:
            return failure_response(refusal)
        return _handle(route, request, who, arguments)

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        return answer(Request(environ))(environ, start_response)

    return application


def lower_headers(request: Request) -> dict[str, str]:
    """Return a request's headers with lower-case names."""
    return {name.lower(): value for name, value in request.headers.items()}


def full_path(request: Request, prefix: str) -> str:
    """Return the path below ``prefix`` with its query, as the caller wrote it.

    Args:
        request: The request.
        prefix: Path prefix without closing slash.
    """
    raw = request.environ.get("RAW_URI") or request.environ.get("REQUEST_URI") or request.path
    path, _, query = str(raw).partition("?")
    rest = path[len(prefix) :] or "/"
    return f"{rest}?{query}" if query else rest


def _identify(
    access: Access, keys: CallerKeys, request: Request
) -> tuple[Identified | None, Failure | None]:
    if access is Access.OPEN:
        return None, None
    header = request.headers.get("Authorization")
    found = keys.operator(header) if access is Access.OPERATOR else keys.identify(header)
    if not is_successful(found):
        return None, found.failure()
    return found.unwrap(), None


def _check_length(request: Request, limit: int) -> Failure | None:
    if request.headers.get("Transfer-Encoding"):
        return invalid_request("length_required", "send the body with Content-Length", status=411)
    length = request.content_length or 0
    if length > limit:
        return invalid_request(
            "body_too_large", f"the body has {length} bytes, the limit is {limit}", status=413
        )
    return None


def _handle(
    route: ApiRoute, request: Request, who: Identified | None, arguments: Mapping[str, Any]
) -> Response:
    try:
        return route.handler(request, who, **arguments)
    except HTTPException as error:
        return failure_response(_routing_failure(error, request))
    except Exception:
        logging.exception("event=handler_failed rule=%s", route.rule)
        return failure_response(
            Failure(
                status=int(HTTPStatus.INTERNAL_SERVER_ERROR),
                type="internal_error",
                code="internal",
                message="the entry failed to handle this request",
                outcome=Outcome.UNKNOWN,
                retry_after_ms=1000.0,
            )
        )


def _routing_failure(error: HTTPException, request: Request) -> Failure:
    if isinstance(error, NotFound):
        return invalid_request("route_not_found", f"there is no route {request.path!r}", status=404)
    if isinstance(error, MethodNotAllowed):
        return invalid_request(
            "method_not_allowed", f"{request.path!r} does not take {request.method}", status=405
        )
    status = error.code or int(HTTPStatus.BAD_REQUEST)
    return invalid_request("bad_request", error.description or error.name, status=status)
