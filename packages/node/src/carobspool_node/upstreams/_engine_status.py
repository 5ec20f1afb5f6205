"""What an engine should run against what it runs, for operators and for routing."""

from __future__ import annotations

from dataclasses import dataclass

from carobspool_core import DeclaredEngine, EngineState, Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineStatus:
    """Declared against actual, for operators.

    Attributes:
        declared: What the engine should run; ``None`` when nothing is declared for it.
        actual: What it ran when it was last read; ``None`` when it could not be read.
        differences: Each difference in words.
        since: Instant of the clock at which the present differences, or their absence, began.
        epoch: Epoch under which this process gives orders, 0 without one.
        trouble: Why no order is given or the last one failed; empty otherwise.

    Since 0.1.
    """

    declared: DeclaredEngine | None = None
    actual: EngineState | None = None
    differences: tuple[str, ...] = ()
    since: Millis = 0.0
    epoch: int = 0
    trouble: str = ""

    @property
    def ready_models(self) -> tuple[str, ...]:
        """Declared models, and ``model:adapter`` names, that can serve now."""
        if self.declared is None or self.actual is None:
            return ()
        found: list[str] = []
        for name, model in sorted(self.declared.models.items()):
            running = self.actual.models.get(name)
            if running is None or not running.ready or running.version != model.version:
                continue
            found.append(name)
            found.extend(f"{name}:{each}" for each in model.adapters if each in running.adapters)
        return tuple(found)
