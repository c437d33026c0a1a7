"""Straight lines through measured points."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen
class Point:
    """One measured value at one size."""

    size: int
    value: float


@attrs.frozen
class Slope:
    """A line through points: ``intercept + slope * size``."""

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    intercept: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(name: str, unit: str, per: str, points: Sequence[Point]) -> Slope:
    """
    Fit a line by least squares.

    :param per: what the size counts.
    :return: the line; its residual is the largest distance of a point from
        it, as a share of the largest value.
    :raises ValueError: when there are fewer than three points.
    """
    if len(points) < 3:
        raise ValueError(f"slope {name!r} has {len(points)} points, not three")
    sizes = np.array([point.size for point in points], dtype=float)
    values = np.array([point.value for point in points], dtype=float)
    slope, intercept = np.polyfit(sizes, values, 1)
    distance = np.abs(values - (intercept + slope * sizes)).max()
    largest = np.abs(values).max()
    residual = float(distance / largest) if largest else 0.0
    return Slope(
        name, unit, per, tuple(points), float(intercept), float(slope), residual
    )
