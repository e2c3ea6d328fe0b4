"""Least-squares lines through measured series, and the comparison of two runs by their lines."""

from collections.abc import Sequence
from dataclasses import dataclass

import numpy

from lotusroute.capacity.measurement import Series

MAX_GROWTH = 1.25  # factor from one run to the next; more is reported
MIN_SIZES = 4  # sizes that a line needs before its slope can be relied on


@dataclass(frozen=True, slots=True)
class RegressionLine:
    """A line through the points of a series."""

    name: str  # role.figure
    unit: str
    slope: float  # units for each one of the size
    intercept: float  # value at size 0
    slope_error: float  # standard error of the slope
    points: tuple[tuple[float, float], ...]  # (size, value)

    def value_at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size

    def extrapolation_factor(self, size: float) -> float:
        """Return by which factor a size exceeds the largest that was measured; 1 within that range."""
        return max(1.0, size / max(measured for measured, _ in self.points))


def fit_line(series: Series) -> RegressionLine:
    """Fit a line by least squares; raises ValueError for a series of fewer than two sizes.

    >>> series = Series("r.cpu", "ms", ((1, 3.0), (2, 5.0), (3, 7.0), (4, 9.0)))
    >>> fitted = fit_line(series)
    >>> round(fitted.slope, 6), round(fitted.intercept, 6), round(fitted.slope_error, 6)
    (2.0, 1.0, 0.0)
    >>> fitted.extrapolation_factor(40)
    10.0
    """
    if len({size for size, _ in series.points}) < 2:
        raise ValueError(f"{series.name}: {len(series.points)} points at one size make no line")
    sizes = numpy.array([size for size, _ in series.points], dtype=float)
    values = numpy.array([value for _, value in series.points], dtype=float)
    slope, intercept = numpy.polyfit(sizes, values, 1)
    residuals = values - (intercept + slope * sizes)
    degrees_of_freedom = max(1, len(sizes) - 2)
    size_variation = ((sizes - sizes.mean()) ** 2).sum()
    slope_error = (residuals @ residuals / degrees_of_freedom / size_variation) ** 0.5
    return RegressionLine(
        series.name, series.unit, float(slope), float(intercept), float(slope_error), series.points
    )


def find_growth(before: Sequence[Series], after: Sequence[Series]) -> list[str]:
    """Describe each figure that grew by over a quarter, or is missing, in the second of two runs.

    >>> run = [Series("r.bytes", "B", ((1, 10.0), (2, 20.0)))]
    >>> larger = [Series("r.bytes", "B", ((1, 10.0), (2, 24.0)))]
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
        old, new = _comparable_values(old_line, new_line)
        if old > 0 and new > MAX_GROWTH * old:
            findings.append(f"{series.name}: {old:.4g} to {new:.4g} {series.unit}, {new / old:.2f} times")
    return findings


def _comparable_values(old: RegressionLine, new: RegressionLine) -> tuple[float, float]:
    """Slopes where the old one exceeds its own error, or else the values at the largest size of the old run.

    The new slope is taken at the lower end of its error, so that noise is not reported as growth.
    """
    if old.slope > 2 * old.slope_error and old.slope > 0:
        return old.slope, new.slope - 2 * new.slope_error
    last_size, _ = old.points[-1]
    return old.value_at(last_size), new.value_at(last_size)
