"""CPU and memory probes, and least-squares lines through their results."""

from __future__ import annotations

import math
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

REPEATS = 3

Points = Sequence[tuple[float, float]]


class Slope(NamedTuple):
    """Measured points of one quantity and the line fitted to them.

    :param name: short name, unique among all slopes.
    :param x: label of the independent variable.
    :param y: label of the measured quantity, with its unit.
    :param slope: increase of y per unit of x.
    :param start: intercept of the line.
    :param residual: root mean square error of the line, as a fraction of
        the largest absolute value of y.
    """

    name: str
    x: str
    y: str
    points: Points
    slope: float
    start: float
    residual: float

    def at(self, x: float) -> float:
        """Return the fitted value at x, with a negative intercept as zero."""
        return max(self.start, 0.0) + self.slope * x


def fit(name: str, x: str, y: str, points: Points) -> Slope:
    """Fit a line to points.

    :param name: short name, unique among all slopes.
    :param x: label of the independent variable.
    :param y: label of the measured quantity, with its unit.
    :param points: measured pairs of x and y.
    """
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    slope, start = statistics.linear_regression(sizes, values)
    errors = [value - start - slope * size for size, value in points]
    rms_error = math.sqrt(statistics.fmean(error * error for error in errors))
    largest = max(abs(value) for value in values) or 1.0
    return Slope(name, x, y, points, slope, start, rms_error / largest)


def cpu_us(
    action: Callable[..., object], *arguments: Any, rounds: int = 1
) -> float:
    """Return the CPU time per call of a function, in us.

    It is the minimum of several runs, the one least affected by other load.

    :param action: function to measure.
    :param arguments: arguments of the function.
    :param rounds: calls in one run.
    """
    times_s = []
    for _ in range(REPEATS):
        start_s = time.process_time()
        for _ in range(rounds):
            action(*arguments)
        times_s.append(time.process_time() - start_s)
    return min(times_s) * 1e6 / rounds


def held_bytes(build: Callable[..., object], *arguments: Any) -> float:
    """Return the bytes that an object retains, as traced by tracemalloc.

    :param build: function that returns the object.
    :param arguments: arguments of the function.
    """
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build(*arguments)
        after, _ = tracemalloc.get_traced_memory()
        del built
    finally:
        tracemalloc.stop()
    return float(after - before)


def from_json(document: dict[str, Any]) -> Slope:
    """Return a slope from its JSON form.

    :param document: fields of the slope.
    """
    points = [(float(x), float(y)) for x, y in document["points"]]
    return Slope(**{**document, "points": points})
