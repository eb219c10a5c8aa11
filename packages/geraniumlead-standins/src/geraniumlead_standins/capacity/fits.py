"""Fit straight lines to measured values."""

from collections.abc import Callable
from dataclasses import dataclass

import numpy

REPEATS = 4


@dataclass(slots=True, frozen=True)
class LinearFit:
    """A fitted line; ``error_share`` is the largest residual divided by the largest value."""

    slope: float
    intercept: float
    error_share: float

    @classmethod
    def from_points(cls, sizes: list[float], values: list[float]) -> "LinearFit":
        """Fit a line by least squares; at least four points are needed."""
        if len(sizes) < 4:
            raise ValueError("a line needs at least four sizes")
        slope, intercept = numpy.polyfit(sizes, values, 1)
        fitted = [slope * size + intercept for size in sizes]
        worst = max(abs(a - b) for a, b in zip(fitted, values, strict=True))
        return cls(float(slope), float(intercept), float(worst / max(values)))

    def to_json(self) -> dict:
        """Return the line rounded for the record."""
        return {
            "slope": round(self.slope, 4),
            "intercept": round(self.intercept, 3),
            "error_share": round(self.error_share, 4),
        }


def min_of_runs(measure: Callable[[], float]) -> float:
    """Return the minimum of several runs, since other work on the machine can only add time."""
    return min(measure() for _ in range(REPEATS))


def build_fit_record(unit: str, per: str, points: list[tuple[float, float]]) -> dict:
    """Return the record of one fitted line: its points, coefficients and units."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    return {
        "unit": unit,
        "per": per,
        "points": [[size, round(value, 3)] for size, value in points],
        **LinearFit.from_points(sizes, values).to_json(),
    }
