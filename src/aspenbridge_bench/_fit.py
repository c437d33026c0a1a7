"""Fits straight lines to measured points."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import numpy as np

if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen
class Point:
    """The value that was measured at a size."""

    size: int
    value: float


@attrs.frozen
class Slope:
    """
    A line fitted to points: ``intercept + slope * size``.

    :ivar unit: the unit of the value.
    :ivar per: what the size counts.
    :ivar residual: the largest distance of a point from the line, as a share
        of the largest value.
    """

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

    :param unit: the unit of the value.
    :param per: what the size counts.
    :raises ValueError: if there are fewer than three points.
    """
    if len(points) < 3:
        raise ValueError(
            f"slope {name!r} has {len(points)} points; it needs at least three"
        )
    sizes = np.array([point.size for point in points], dtype=float)
    values = np.array([point.value for point in points], dtype=float)
    slope, intercept = np.polyfit(sizes, values, 1)
    distance = np.abs(values - (intercept + slope * sizes)).max()
    largest = np.abs(values).max()
    residual = float(distance / largest) if largest else 0.0
    return Slope(
        name, unit, per, tuple(points), float(intercept), float(slope), residual
    )
