"""Fits lines to measured series by least squares, and compares two runs by their lines."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

import numpy

from lotusroute.capacity.errors import TooFewSizesError
from lotusroute.capacity.measurement import Point, Series

# A figure is reported if it grew by more than this factor from one run to the next.
MAX_GROWTH = 1.25
MIN_RELIABLE_SIZES = 4  # number of sizes that a series needs before its slope can be relied on
MIN_LINE_SIZES = 2  # number of different sizes that a series needs before a line can be fitted
# A slope that differs from another value by less than this many of its standard errors is taken as noise.
NOISE_STANDARD_ERRORS = 2


@dataclass(frozen=True, slots=True)
class RegressionLine:
    """A line fitted to the points of a series."""

    name: str  # names of the role and of the figure, joined by a dot
    unit: str
    slope: float  # in `unit` per unit of size
    intercept: float  # value at size 0
    slope_error: float  # standard error of the slope
    points: tuple[Point, ...]

    def value_at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size

    def extrapolation_factor(self, size: float) -> float:
        """Return the ratio of a size to the largest measured one, at least 1."""
        return max(1.0, size / max(point.size for point in self.points))


def fit_line(series: Series) -> RegressionLine:
    """Fit a line by least squares; raises `TooFewSizesError` for fewer than two sizes.

    >>> points = (Point(1, 3.0), Point(2, 5.0), Point(3, 7.0), Point(4, 9.0))
    >>> series = Series("r.cpu", "ms", points)
    >>> fitted = fit_line(series)
    >>> round(fitted.slope, 6), round(fitted.intercept, 6), round(fitted.slope_error, 6)
    (2.0, 1.0, 0.0)
    >>> fitted.extrapolation_factor(40)
    10.0
    """
    if len({point.size for point in series.points}) < MIN_LINE_SIZES:
        raise TooFewSizesError(series.name, len(series.points))
    sizes = numpy.array([point.size for point in series.points], dtype=float)
    values = numpy.array([point.value for point in series.points], dtype=float)
    slope, intercept = numpy.polyfit(sizes, values, 1)
    residuals = values - (intercept + slope * sizes)
    degrees_of_freedom = max(1, len(sizes) - 2)
    size_variation = ((sizes - sizes.mean()) ** 2).sum()
    slope_error = (residuals @ residuals / degrees_of_freedom / size_variation) ** 0.5
    return RegressionLine(
        series.name, series.unit, float(slope), float(intercept), float(slope_error), series.points
    )


def find_growth(before: Sequence[Series], after: Sequence[Series]) -> list[str]:
    """Return a description of each figure that grew by more than MAX_GROWTH, or is missing in `after`.

    >>> run = [Series("r.bytes", "B", (Point(1, 10.0), Point(2, 20.0)))]
    >>> larger = [Series("r.bytes", "B", (Point(1, 10.0), Point(2, 24.0)))]
    >>> find_growth(run, run), len(find_growth(run, larger)), find_growth(run, [])
    ([], 1, ['r.bytes: not measured any more'])
    """
    findings = []
    new_lines = {series.name: fit_line(series) for series in after}
    for series in before:
        old_line = fit_line(series)
        new_line = new_lines.get(series.name)
        if new_line is None:
            findings.append(f"{series.name}: not measured any more")
            continue
        old, new = _values_to_compare(old_line, new_line)
        if old > 0 and new > MAX_GROWTH * old:
            findings.append(f"{series.name}: {old:.4g} to {new:.4g} {series.unit}, {new / old:.2f} times")
    return findings


class _ComparedValues(NamedTuple):
    """The values of one figure in two runs."""

    old: float
    new: float


def _values_to_compare(old: RegressionLine, new: RegressionLine) -> _ComparedValues:
    """Return the slopes if the old one is above its noise, else the lines' values at the old run's last size.

    NOISE_STANDARD_ERRORS are subtracted from the new slope, so that noise is not reported as growth.
    """
    if old.slope > NOISE_STANDARD_ERRORS * old.slope_error and old.slope > 0:
        return _ComparedValues(old.slope, new.slope - NOISE_STANDARD_ERRORS * new.slope_error)
    last_size = old.points[-1].size
    return _ComparedValues(old.value_at(last_size), new.value_at(last_size))
