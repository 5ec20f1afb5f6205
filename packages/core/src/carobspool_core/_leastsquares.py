"""Recursive least squares with a forgetting factor, for a small number of coefficients."""

from __future__ import annotations

from collections.abc import Sequence

_INITIAL_VARIANCE = 1e4
"""Initial variance of each coefficient, so large that the first dozens of samples determine the
coefficient. It is also the trace of the covariance above which nothing more is forgotten: with
inputs constant for long, the covariance would otherwise grow without bound, and a single outlier
would then distort the fit."""


class LeastSquares:
    """Fits ``y = sum(coefficient x input)`` incrementally.

    Args:
        size: Number of coefficients.
        forgetting: Factor on the weight of all earlier samples with each new sample; at most 1.
    """

    def __init__(self, size: int, forgetting: float) -> None:
        self._forgetting = forgetting
        self._estimates = [0.0] * size
        self._covariance = [
            [_INITIAL_VARIANCE if row == column else 0.0 for column in range(size)]
            for row in range(size)
        ]
        self.samples = 0

    @property
    def coefficients(self) -> Sequence[float]:
        """The current estimates, clipped at zero: no input makes an engine step shorter."""
        return [max(0.0, value) for value in self._estimates]

    def add(self, inputs: Sequence[float], output: float) -> None:
        """Update the coefficients with one sample."""
        projected = [_dot(row, inputs) for row in self._covariance]
        scale = self._forgetting + _dot(projected, inputs)
        error = output - _dot(self._estimates, inputs)
        for index, value in enumerate(projected):
            self._estimates[index] += value / scale * error
        forgetting = self._forgetting if self._covariance_trace() < _INITIAL_VARIANCE else 1.0
        for row, left in enumerate(projected):
            for column, right in enumerate(projected):
                reduced = self._covariance[row][column] - left * right / scale
                self._covariance[row][column] = reduced / forgetting
        self.samples += 1

    def _covariance_trace(self) -> float:
        return sum(row[index] for index, row in enumerate(self._covariance))


def _dot(left: Sequence[float], right: Sequence[float]) -> float:
    return sum(a * b for a, b in zip(left, right, strict=True))
