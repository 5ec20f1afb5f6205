"""Orders that change the engine's models, adapters, versions and role, optionally fenced."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Literal

import pycurl
from pydantic import ConfigDict, model_validator

from carobspool_standins._engine_settings import EngineSettings
from carobspool_standins._settings import Settings
from carobspool_standins.errors import LoadFailure, StandinError

Fence = tuple[int, int]
NO_FENCE: Fence = (0, 0)


class StaleFence(StandinError):
    """An order has no fencing number, or one below the highest that the engine has accepted.

    Args:
        highest: The highest fencing number accepted.
    """

    def __init__(self, highest: Fence) -> None:
        super().__init__(f"the highest fencing number is {highest}")
        self.highest = highest


class Order(Settings):
    """An order as posted to ``/orders``."""

    model_config = ConfigDict(extra="ignore", frozen=True)

    order: Literal["load", "unload", "adapter", "role"]
    model: str | None = None
    version: str = "1"
    adapter: str | None = None
    role: str | None = None
    fence: Fence | None = None

    @model_validator(mode="after")
    def _complete(self) -> Order:
        if self.order == "role" and self.role is None:
            raise ValueError("a role order names a role")
        if self.order != "role" and self.model is None:
            raise ValueError(f"{self.order} names a model")
        if self.order == "adapter" and self.adapter is None:
            raise ValueError("an adapter order names an adapter")
        return self


@dataclass(slots=True, kw_only=True)
class ModelState:
    """A model at the engine.

    Attributes:
        version: Version of its weights.
        adapters: Adapters loaded on it.
        ready: Whether its weights are loaded.
        change: Number of the order that set this state; a load that finishes after a later order
            is recognised by it.
    """

    version: str
    adapters: tuple[str, ...]
    ready: bool
    change: int


class Deployment:
    """The models and role of the engine, and the orders that change them.

    Args:
        settings: Initial models and role, and how orders are checked.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._change_count = 0
        self._models: dict[str, ModelState] = {}
        self._role = settings.role
        self._fence = NO_FENCE
        self.restart()

    @property
    def state(self) -> dict[str, Any]:
        """The models, role and latest fencing number, in the format of ``GET /state``."""
        with self._lock:
            models = {
                name: {
                    "version": model.version,
                    "adapters": list(model.adapters),
                    "state": "ready" if model.ready else "loading",
                }
                for name, model in self._models.items()
            }
            return {"models": models, "role": self._role, "fence": list(self._fence)}

    def restart(self) -> None:
        """Restore the initial models and role, and forget the fencing number."""
        with self._lock:
            self._change_count += 1
            self._models = {
                model.name: ModelState(
                    version=model.version,
                    adapters=model.adapters,
                    ready=True,
                    change=self._change_count,
                )
                for model in self._settings.models
            }
            self._role = self._settings.role
            self._fence = NO_FENCE

    def is_ready(self, name: str) -> bool | None:
        """Return whether a model (or ``model:adapter``) is ready; ``None`` if not deployed."""
        base, _, adapter = name.partition(":")
        with self._lock:
            model = self._models.get(base)
            if model is None or (adapter and adapter not in model.adapters):
                return None
            return model.ready

    def execute(self, order: Order) -> None:
        """Execute an order; a load order blocks until the model is ready.

        Raises:
            StaleFence: If fencing is checked and the order's number is stale or missing.
            LoadFailure: If the weights can't be fetched; the previous state is restored.
        """
        with self._lock:
            self._check_fence(order)
            self._change_count += 1
            change = self._change_count
            if order.order != "load":
                self._apply_immediately(order)
                return
            assert order.model is not None
            previous = self._models.get(order.model)
            adapters = previous.adapters if previous is not None else ()
            self._models[order.model] = ModelState(
                version=order.version, adapters=adapters, ready=False, change=change
            )
        try:
            self._download_weights(order.model, order.version)
        except LoadFailure:
            self._finish_load(order.model, change, previous)
            raise
        ready = ModelState(version=order.version, adapters=adapters, ready=True, change=change)
        self._finish_load(order.model, change, ready)

    def _check_fence(self, order: Order) -> None:
        if self._settings.check_fence and (order.fence is None or order.fence < self._fence):
            raise StaleFence(self._fence)
        if order.fence is not None:
            self._fence = order.fence

    def _apply_immediately(self, order: Order) -> None:
        if order.order == "role" and order.role is not None:
            self._role = order.role
            return
        assert order.model is not None
        if order.order == "unload":
            self._models.pop(order.model, None)
            return
        model = self._models.get(order.model)
        if model is None or order.adapter is None or order.adapter in model.adapters:
            return
        model.adapters = (*model.adapters, order.adapter)

    def _finish_load(self, name: str, change: int, state: ModelState | None) -> None:
        with self._lock:
            current = self._models.get(name)
            if current is None or current.change != change:
                return  # A later order has changed this model in the meantime.
            if state is None:
                del self._models[name]
                return
            self._models[name] = state

    def _download_weights(self, model: str, version: str) -> None:
        store = self._settings.weight_store
        if store is None:
            time.sleep(self._settings.model_load_ms * self._settings.time_scale / 1000.0)
            return
        curl = pycurl.Curl()
        curl.setopt(
            pycurl.URL, f"{store}/weights/{model}/{version}?bytes={self._settings.weight_bytes}"
        )
        curl.setopt(pycurl.WRITEFUNCTION, len)
        curl.setopt(pycurl.NOSIGNAL, 1)
        try:
            curl.perform()
            status = curl.getinfo(pycurl.RESPONSE_CODE)
        except pycurl.error as error:
            raise LoadFailure(f"weight store: {error.args[-1]}") from error
        finally:
            curl.close()
        if status != HTTPStatus.OK:
            raise LoadFailure(f"weight store answered {status}")
