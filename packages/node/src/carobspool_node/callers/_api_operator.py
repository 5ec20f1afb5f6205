"""Routes for operators: configuration as a unit, audit trail, status, drains, health."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.pipeline import is_successful
from returns.result import Failure as Failed
from returns.result import Result, Success
from werkzeug.wrappers import Request, Response

from carobspool_core import (
    Failure,
    Json,
    ObjectStore,
    Outcome,
    audit_to_json,
    invalid_request,
    unavailable,
)
from carobspool_core.revision import Revision, summarise
from carobspool_core.schema import ConfigError, dump_state, parse_state
from carobspool_node.callers._api import Access, ApiRoute
from carobspool_node.callers._caller_keys import Identified
from carobspool_node.callers._http_answers import failure_body, failure_response, json_response
from carobspool_node.configuration import (
    Applied,
    ApplyError,
    ConfigurationFollower,
    Conflict,
    ConflictItem,
    InvalidTogether,
    OutcomeUnknown,
    StoreDown,
    TooLarge,
    UnknownBase,
    apply_state,
    audit,
    history,
    preview_state,
    set_drain,
)

Body = TypeVar("Body", bound=BaseModel)

DEFAULT_LIMIT = 50
MAX_LIMIT = 1000


class _ApplyBody(BaseModel):
    model_config = ConfigDict(extra="forbid")

    base: int = Field(ge=0)
    state: dict[str, Any]
    reason: str = Field(min_length=1, max_length=1000)


class _DrainBody(BaseModel):
    model_config = ConfigDict(extra="forbid")

    drain: bool = True
    reason: str = Field(min_length=1, max_length=1000)


def operator_routes(
    store: ObjectStore,
    follower: ConfigurationFollower,
    *,
    status: Callable[[], Json],
    ready: Callable[[], bool],
    on_applied: Callable[[], None],
    on_drain: Callable[[], None],
) -> list[ApiRoute]:
    """Return the routes.

    Args:
        store: Object store.
        follower: The configuration in force here.
        status: Returns what `carobspool status` shows.
        ready: Whether this entry takes requests.
        on_applied: Called after an accepted change, to announce it to the other processes.
        on_drain: Called after a drain order, to carry it out without waiting for the watch.
    """

    def show(request: Request, who: Identified) -> Response:
        state = follower.state
        return json_response({"revision": state.revision, "state": dump_state(state)})

    def apply(request: Request, who: Identified) -> Response:
        body = _read(_ApplyBody, request)
        if not is_successful(body):
            return failure_response(body.failure())
        wanted = body.unwrap()
        parsed = parse_state(wanted.state)
        if not is_successful(parsed):
            return _invalid(parsed.failure())
        if request.args.get("dry_run") == "1":
            outcome = preview_state(store, follower, wanted.base, parsed.unwrap())
        else:
            outcome = apply_state(
                store,
                follower,
                wanted.base,
                parsed.unwrap(),
                who.caller.id,
                wanted.reason,
            )
            on_applied()
        if not is_successful(outcome):
            return _refused(outcome.failure())
        return json_response(_applied(outcome.unwrap()))

    def show_history(request: Request, who: Identified) -> Response:
        after = _integer(request, "after", 0)
        found = history(store, after, _limit(request))
        if not is_successful(found):
            return failure_response(_store_down(found.failure().detail))
        return json_response({"revisions": [_revision(each) for each in found.unwrap()]})

    def show_audit(request: Request, who: Identified) -> Response:
        found = audit(store, _limit(request))
        if not is_successful(found):
            return failure_response(_store_down(found.failure().detail))
        return json_response({"records": [audit_to_json(each) for each in found.unwrap()]})

    def show_status(request: Request, who: Identified) -> Response:
        return json_response(status())

    def drain(request: Request, who: Identified, host: str) -> Response:
        body = _read(_DrainBody, request)
        if not is_successful(body):
            return failure_response(body.failure())
        if host not in follower.state.upstreams:
            message = f"the host {host!r} is not declared"
            return failure_response(invalid_request("host_not_found", message, status=404))
        wanted = body.unwrap()
        done = set_drain(store, host, wanted.drain, who.caller.id, wanted.reason)
        if not is_successful(done):
            error = done.failure()
            outcome = Outcome.UNKNOWN if error.unknown else Outcome.NOT_RUN
            return failure_response(unavailable("store_down", error.detail, outcome=outcome))
        on_drain()
        record = done.unwrap()
        return json_response(
            {
                "host": host,
                "drain": wanted.drain,
                "changed": record is not None,
                "record": None if record is None else audit_to_json(record),
            }
        )

    def healthz(request: Request, who: None) -> Response:
        return json_response({"healthy": True})

    def readyz(request: Request, who: None) -> Response:
        if ready():
            return json_response({"ready": True})
        return json_response({"ready": False}, status=503)

    operator = Access.OPERATOR
    return [
        ApiRoute(rule="/operator/config", methods=("GET",), access=operator, handler=show),
        ApiRoute(rule="/operator/config", methods=("POST",), access=operator, handler=apply),
        ApiRoute(
            rule="/operator/config/history",
            methods=("GET",),
            access=operator,
            handler=show_history,
        ),
        ApiRoute(rule="/operator/audit", methods=("GET",), access=operator, handler=show_audit),
        ApiRoute(rule="/operator/status", methods=("GET",), access=operator, handler=show_status),
        ApiRoute(rule="/operator/drains/<host>", methods=("POST",), access=operator, handler=drain),
        ApiRoute(rule="/healthz", methods=("GET",), access=Access.OPEN, handler=healthz),
        ApiRoute(rule="/readyz", methods=("GET",), access=Access.OPEN, handler=readyz),
    ]


def _read(model: type[Body], request: Request) -> Result[Body, Failure]:
    try:
        value = json.loads(request.get_data() or b"{}")
    except ValueError as error:
        return Failed(invalid_request("invalid_json", f"the body is not JSON: {error}"))
    try:
        return Success(model.model_validate(value))
    except ValidationError as error:
        found = "; ".join(
            f"{'.'.join(str(part) for part in each['loc']) or 'body'}: {each['msg']}"
            for each in error.errors()
        )
        return Failed(invalid_request("invalid_body", found))


def _limit(request: Request) -> int:
    return max(1, min(MAX_LIMIT, _integer(request, "limit", DEFAULT_LIMIT)))


def _integer(request: Request, name: str, default: int) -> int:
    return request.args.get(name, default, type=int)


def _invalid(errors: tuple[ConfigError, ...]) -> Response:
    failure = invalid_request(
        "invalid_configuration", f"{len(errors)} errors; nothing was applied", status=422
    )
    return _with_details(failure, {"errors": [_config_error(each) for each in errors]})


def _config_error(error: ConfigError) -> Json:
    return {
        "file": error.file,
        "path": error.path,
        "found": error.found,
        "allowed": error.allowed,
    }


def _applied(applied: Applied) -> Json:
    return {
        "revision": applied.revision,
        "summary": list(summarise(applied.changes)),
        "over": list(applied.over),
        "written": applied.written,
    }


def _revision(revision: Revision) -> Json:
    return {
        "revision": revision.number,
        "base": revision.base,
        "author": revision.author,
        "reason": revision.reason,
        "at": revision.at,
        "summary": list(revision.summary),
    }


def _refused(error: ApplyError) -> Response:
    if isinstance(error, Conflict):
        failure = invalid_request(
            "conflict",
            f"others changed the same entries up to revision {error.head}; nothing was applied",
            status=409,
        )
        details = {"head": error.head, "conflicts": [_conflict(each) for each in error.items]}
        return _with_details(failure, details)
    if isinstance(error, InvalidTogether):
        failure = invalid_request(
            "invalid_together",
            f"the change does not fit revision {error.head}; nothing was applied",
            status=409,
        )
        details = {
            "head": error.head,
            "errors": [_config_error(each) for each in error.errors],
            "over": [_revision(each) for each in error.over],
        }
        return _with_details(failure, details)
    return failure_response(_plain_refusal(error))


def _plain_refusal(error: UnknownBase | TooLarge | StoreDown | OutcomeUnknown) -> Failure:
    if isinstance(error, UnknownBase):
        message = f"there is no revision {error.base}; the newest is {error.head}"
        return invalid_request("unknown_base", message, status=409)
    if isinstance(error, TooLarge):
        message = "; ".join(str(each) for each in error.errors)
        return invalid_request("too_large", message, status=413)
    if isinstance(error, OutcomeUnknown):
        return unavailable(
            "outcome_unknown",
            f"the answer of the store was lost: {error.detail}; apply again, it does no harm",
            outcome=Outcome.UNKNOWN,
        )
    return _store_down(error.detail)


def _conflict(item: ConflictItem) -> Json:
    return {
        "subject": item.mine.subject,
        "mine": list(summarise((item.mine,))),
        "theirs": list(summarise((item.theirs,))),
        "by": None if item.by is None else _revision(item.by),
    }


def _with_details(failure: Failure, details: dict[str, Json]) -> Response:
    body = failure_body(failure)
    body["error"].update(details)
    response = json_response(body, status=failure.status)
    response.headers["carobspool-outcome"] = failure.outcome.value
    return response


def _store_down(detail: str) -> Failure:
    return unavailable("store_down", f"the object store does not answer: {detail}")
