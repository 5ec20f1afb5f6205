"""Routes for callers who wait: models, completions, plain services."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from returns.pipeline import is_successful
from werkzeug.wrappers import Request, Response

from carobspool_core import DesiredState, Millis, invalid_request
from carobspool_node.callers._api import Access, ApiRoute, full_path, lower_headers
from carobspool_node.callers._caller_keys import Identified
from carobspool_node.callers._caller_socket import caller_socket
from carobspool_node.callers._http_answers import failure_response, json_response
from carobspool_node.callers._online import OnlineService
from carobspool_node.callers._online_requests import read_completion, read_service_call


def online_routes(
    service: OnlineService,
    state: Callable[[], DesiredState],
    *,
    default_timeout: Millis,
) -> list[ApiRoute]:
    """Return the routes.

    Args:
        service: Serves checked requests.
        state: Returns the configuration in force.
        default_timeout: Milliseconds for a completion whose caller sets no deadline.
    """

    def models(request: Request, who: Identified) -> Response:
        values = [_model(name) for name in sorted(state().models)]
        return json_response({"object": "list", "data": values})

    def model(request: Request, who: Identified, name: str) -> Response:
        if name not in state().models:
            message = f"the model {name!r} does not exist"
            return failure_response(invalid_request("model_not_found", message, status=404))
        return json_response(_model(name))

    def completion(request: Request, who: Identified) -> Response:
        checked = read_completion(
            request.path,
            lower_headers(request),
            request.get_data(),
            who,
            state(),
            default_timeout=default_timeout,
        )
        if not is_successful(checked):
            return failure_response(checked.failure())
        wanted = checked.unwrap()
        caller = caller_socket(request.environ) if wanted.open.stream else None
        return service.serve(wanted, who, caller=caller)

    def plain(request: Request, who: Identified, name: str, rest: str = "") -> Response:
        checked = read_service_call(
            name,
            request.method,
            full_path(request, f"/services/{name}"),
            lower_headers(request),
            request.get_data(),
            who,
            state(),
        )
        if not is_successful(checked):
            return failure_response(checked.failure())
        return service.serve(checked.unwrap(), who)

    caller = Access.CALLER
    return [
        ApiRoute(rule="/v1/models", methods=("GET",), access=caller, handler=models),
        ApiRoute(rule="/v1/models/<path:name>", methods=("GET",), access=caller, handler=model),
        ApiRoute(rule="/v1/chat/completions", methods=("POST",), access=caller, handler=completion),
        ApiRoute(rule="/v1/completions", methods=("POST",), access=caller, handler=completion),
        ApiRoute(rule="/services/<name>", methods=None, access=caller, handler=plain),
        ApiRoute(rule="/services/<name>/<path:rest>", methods=None, access=caller, handler=plain),
    ]


def _model(name: str) -> dict[str, Any]:
    return {"id": name, "object": "model", "created": 0, "owned_by": "carobspool"}
