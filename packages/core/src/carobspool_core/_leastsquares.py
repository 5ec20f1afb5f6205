"""Recursive least squares with forgetting, for a few unknowns."""

from __future__ import annotations

from collections.abc import Sequence

_START_VARIANCE = 1e4
"""Initial uncertainty of each unknown: so large that the first dozens of samples settle it. Also
the bound above which nothing more is forgotten: inputs that stay constant for long would otherwise
let the uncertainty grow without end, and one odd sample would then upset the fit."""


class LeastSquares:
    """Fits ``y = sum(coefficient x input)`` as samples come.

    Args:
        unknowns: Number of coefficients.
        forgetting: Weight of the past at each new sample, at most 1.
    """

    def __init__(self, unknowns: int, forgetting: float) -> None:
        self._forgetting = forgetting
        self._values = [0.0] * unknowns
        self._variance = [
            [_START_VARIANCE if row == column else 0.0 for column in range(unknowns)]
            for row in range(unknowns)
        ]
        self.samples = 0

    @property
    def coefficients(self) -> Sequence[float]:
        """The present estimates, none below zero: nothing makes a step shorter."""
        return [max(0.0, value) for value in self._values]

    def add(self, inputs: Sequence[float], output: float) -> None:
        """Learn from one sample."""
        spread = [_dot(row, inputs) for row in self._variance]
        scale = self._forgetting + _dot(spread, inputs)
        error = output - _dot(self._values, inputs)
        for index, value in enumerate(spread):
            self._values[index] += value / scale * error
        forgetting = self._forgetting if self._trace() < _START_VARIANCE else 1.0
        for row, left in enumerate(spread):
            for column, right in enumerate(spread):
                reduced = self._variance[row][column] - left * right / scale
                self._variance[row][column] = reduced / forgetting
        self.samples += 1

    def _trace(self) -> float:
        return sum(row[index] for index, row in enumerate(self._variance))


def _dot(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(a * b for a, b in zip(left, right, strict=True))
