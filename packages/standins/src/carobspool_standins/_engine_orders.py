"""Orders to the engine: models, adapters, versions and role, with or without a fencing check."""

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


class OldFence(StandinError):
    """An order carries a fencing number below the highest one seen.

    Args:
        highest: The highest one.
    """

    def __init__(self, highest: Fence) -> None:
        super().__init__(f"the highest fencing number is {highest}")
        self.highest = highest


class Order(Settings):
    """An order as it is posted."""

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
    """A model at the engine; ``change`` counts its orders, so that a late load can be told."""

    version: str
    adapters: tuple[str, ...]
    ready: bool
    change: int


class Deployment:
    """What runs on the engine, and the orders that change it.

    Args:
        settings: What runs at the start and how orders are checked.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._lock = threading.Lock()
        self._changes = 0
        self._models: dict[str, ModelState] = {}
        self._role = settings.role
        self._fence = NO_FENCE
        self.restart()

    @property
    def state(self) -> dict[str, Any]:
        """What runs, in the shape of ``GET /state``."""
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
        """Return to what ran at the start; fencing numbers are forgotten as well."""
        with self._lock:
            self._changes += 1
            self._models = {
                model.name: ModelState(
                    version=model.version,
                    adapters=model.adapters,
                    ready=True,
                    change=self._changes,
                )
                for model in self._settings.models
            }
            self._role = self._settings.role
            self._fence = NO_FENCE

    def is_ready(self, name: str) -> bool | None:
        """Whether a model (or ``model:adapter``) is ready; ``None`` when it is not here."""
        base, _, adapter = name.partition(":")
        with self._lock:
            model = self._models.get(base)
            if model is None or (adapter and adapter not in model.adapters):
                return None
            return model.ready

    def execute(self, order: Order) -> None:
        """Carry out an order; a load returns when the model is ready.

        Raises:
            OldFence: If fencing is checked and the order's number is old or missing.
            LoadFailure: If the weights did not come; the state is as before.
        """
        with self._lock:
            self._check_fence(order)
            self._changes += 1
            change = self._changes
            if order.order != "load":
                self._change_at_once(order)
                return
            assert order.model is not None
            before = self._models.get(order.model)
            adapters = before.adapters if before is not None else ()
            self._models[order.model] = ModelState(
                version=order.version, adapters=adapters, ready=False, change=change
            )
        try:
            self._fetch_weights(order.model, order.version)
        except LoadFailure:
            self._finish_load(order.model, change, before)
            raise
        ready = ModelState(version=order.version, adapters=adapters, ready=True, change=change)
        self._finish_load(order.model, change, ready)

    def _check_fence(self, order: Order) -> None:
        if self._settings.check_fence and (order.fence is None or order.fence < self._fence):
            raise OldFence(self._fence)
        if order.fence is not None:
            self._fence = order.fence

    def _change_at_once(self, order: Order) -> None:
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
            present = self._models.get(name)
            if present is None or present.change != change:
                return  # A later order decided about this model meanwhile.
            if state is None:
                del self._models[name]
                return
            self._models[name] = state

    def _fetch_weights(self, model: str, version: str) -> None:
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
