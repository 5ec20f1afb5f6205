"""Injectable faults of a stand-in, which tests and operators switch over HTTP."""

from __future__ import annotations

import threading
from collections.abc import Callable, Mapping
from typing import Any, Generic, TypeVar

from pydantic import BaseModel, ConfigDict


class Faults(BaseModel):
    """Base of the injectable faults of a stand-in; the default values inject none."""

    model_config = ConfigDict(extra="forbid", frozen=True)


FaultsT = TypeVar("FaultsT", bound=Faults)


class FaultBoard(Generic[FaultsT]):
    """Holds the active faults. Thread-safe.

    Args:
        model: Model of the faults, whose default values inject none.
        on_change: Called after each change, outside the lock.
    """

    def __init__(self, model: type[FaultsT], on_change: Callable[[], None] | None = None) -> None:
        self._lock = threading.Lock()
        self._model = model
        self._current = model()
        self._on_change = on_change
        self._changed = threading.Condition(self._lock)

    @property
    def current(self) -> FaultsT:
        """The active faults."""
        return self._current

    def merge(self, values: Mapping[str, Any]) -> FaultsT:
        """Change the given faults and leave the others as they are.

        Raises:
            pydantic.ValidationError: If a name is unknown or a value invalid; nothing changes then.
        """
        with self._lock:
            merged = self._current.model_dump() | dict(values)
            self._current = self._model.model_validate(merged)
            self._changed.notify_all()
        if self._on_change is not None:
            self._on_change()
        return self._current

    def reset(self) -> FaultsT:
        """Clear all faults."""
        return self.merge(self._model().model_dump())

    def wait_while(self, condition: Callable[[FaultsT], bool]) -> None:
        """Block while ``condition`` holds for the active faults."""
        with self._lock:
            self._changed.wait_for(lambda: not condition(self._current))

    def consume(self, choose: Callable[[FaultsT], Mapping[str, Any] | None]) -> bool:
        """Apply a fault that has a limited number of occurrences, and use one up.

        Args:
            choose: Returns the changed values when the fault applies, else ``None``.

        Returns:
            Whether the fault applied.
        """
        with self._lock:
            values = choose(self._current)
            if values is None:
                return False
            self._current = self._current.model_copy(update=dict(values))
            return True
