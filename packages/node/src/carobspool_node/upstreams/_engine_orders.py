"""Adapter to an engine's state and orders over HTTP."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

import pycurl
from pydantic import ConfigDict
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from carobspool_core import (
    AnswerHead,
    EngineControl,
    EngineOrder,
    EngineState,
    Fence,
    Json,
    Millis,
    OrderFailure,
    OrderFault,
    RunningModel,
)
from carobspool_core.border import BorderModel, validate
from carobspool_node.answers import BoundedAnswer

CONNECT_TIMEOUT: Millis = 1_000.0
STATE_TIMEOUT: Millis = 2_000.0
READY = "ready"


class _RunningModel(BorderModel):
    model_config = ConfigDict(extra="ignore")

    version: str
    adapters: list[str] = []
    state: str


class _StateModel(BorderModel):
    model_config = ConfigDict(extra="ignore")

    models: dict[str, _RunningModel] = {}
    role: str = ""
    fence: list[int] = [0, 0]


class _RefusalModel(BorderModel):
    model_config = ConfigDict(extra="ignore")

    fence: list[int]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Answer:
    status: int
    body: bytes


def http_engine_orders(url: str, *, key: str | None = None) -> EngineControl:
    """Return the state and orders of the engine behind ``url``.

    Args:
        url: The engine's base address.
        key: Bearer key that proves orders, for engines that check who gives them.

    Since 0.1.
    """
    return _HttpEngineOrders(url, key)


class _HttpEngineOrders:
    """One engine; a connection for each call, since orders are rare and long."""

    def __init__(self, url: str, key: str | None) -> None:
        self._url = url.rstrip("/")
        self._key = key

    def read_state(self) -> Result[EngineState, OrderFailure]:
        """Read what the engine runs."""
        answer = self._exchange("/state", None, STATE_TIMEOUT)
        if not is_successful(answer):
            return Failure(answer.failure())
        found = answer.unwrap()
        if found.status != HTTPStatus.OK:
            return _fail(OrderFault.UNREACHABLE, f"status {found.status}")
        model = validate(_StateModel, _json(found.body))
        if not is_successful(model):
            return _fail(OrderFault.UNREACHABLE, str(model.failure()[0]))
        return Success(_engine_state(model.unwrap()))

    def send_order(
        self, order: EngineOrder, fence: Fence, *, timeout: Millis
    ) -> Result[None, OrderFailure]:
        """Give one order and wait until it is carried out."""
        body = _order_json(order, fence)
        answer = self._exchange("/orders", json.dumps(body).encode("utf-8"), timeout)
        if not is_successful(answer):
            return Failure(answer.failure())
        found = answer.unwrap()
        if found.status == HTTPStatus.OK:
            return Success(None)
        if found.status == HTTPStatus.CONFLICT:
            return Failure(_old_fence(found.body))
        if found.status in (HTTPStatus.UNAUTHORIZED, HTTPStatus.FORBIDDEN):
            return _fail(OrderFault.FORBIDDEN, f"status {found.status}")
        return _fail(OrderFault.FAILED, f"status {found.status}")

    def _exchange(
        self, path: str, body: bytes | None, timeout: Millis
    ) -> Result[_Answer, OrderFailure]:
        received = BoundedAnswer()
        head = AnswerHead()
        handle = pycurl.Curl()
        handle.setopt(pycurl.URL, self._url + path)
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.PROXY, "")
        handle.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT))
        handle.setopt(pycurl.TIMEOUT_MS, int(timeout))
        handle.setopt(pycurl.HEADERFUNCTION, head.read_line)
        handle.setopt(pycurl.WRITEFUNCTION, received.write)
        if body is not None:
            handle.setopt(pycurl.POST, 1)
            handle.setopt(pycurl.POSTFIELDS, body)
            handle.setopt(pycurl.HTTPHEADER, self._headers())
        try:
            handle.perform()
        except pycurl.error as error:
            return _fail(OrderFault.UNREACHABLE, f"curl error {error.args[0]}")
        finally:
            handle.close()
        if not head.is_whole:
            return _fail(OrderFault.UNREACHABLE, "closed inside the head of the answer")
        return Success(_Answer(status=head.status, body=received.value()))

    def _headers(self) -> list[str]:
        headers = ["Content-Type: application/json", "Expect:"]
        if self._key is not None:
            headers.append(f"Authorization: Bearer {self._key}")
        return headers


def _order_json(order: EngineOrder, fence: Fence) -> Json:
    value: dict[str, Json] = {"order": str(order.kind)}
    for name in ("model", "version", "adapter", "role"):
        field = getattr(order, name)
        if field is not None:
            value[name] = field
    value["fence"] = [fence.epoch, fence.sequence]
    return value


def _engine_state(model: _StateModel) -> EngineState:
    models = {
        name: RunningModel(
            version=each.version, adapters=tuple(each.adapters), ready=each.state == READY
        )
        for name, each in model.models.items()
    }
    return EngineState(models=models, role=model.role, fence=_fence(model.fence))


def _old_fence(body: bytes) -> OrderFailure:
    model = validate(_RefusalModel, _json(body))
    fence = _fence(model.unwrap().fence) if is_successful(model) else None
    return OrderFailure(fault=OrderFault.OLD_FENCE, detail=f"engine saw {fence}", fence=fence)


def _fence(pair: list[int]) -> Fence:
    if len(pair) != 2:
        return Fence(0, 0)
    return Fence(pair[0], pair[1])


def _json(body: bytes) -> Json:
    try:
        return json.loads(body)
    except ValueError:
        return None


def _fail(fault: OrderFault, detail: str) -> Result[Any, OrderFailure]:
    return Failure(OrderFailure(fault=fault, detail=detail))
