"""Lines through what was measured, and the comparison of two runs.

Owns the fit, its error, what an extrapolation is worth, and the bound on growth. It must never measure.
"""

from typing import NamedTuple

import numpy

GROWTH = 1.25  # times: a slope that grew by more than a quarter is a finding
SIZES = 4  # points that a line needs at least


class Line(NamedTuple):
    """A line through points of (size, value)."""

    name: str  # role.what
    unit: str  # of the value, by one of the size
    slope: float
    start: float  # at size 0
    error: float  # standard error of the slope
    points: tuple[tuple[float, float], ...]

    def at(self, size: float) -> float:
        """The value at a size."""
        return self.start + self.slope * size

    def beyond(self, size: float) -> float:
        """By which factor a size goes beyond what was run; 1 within it."""
        return max(1.0, size / max(point[0] for point in self.points))


def line(name: str, unit: str, points: list[tuple[float, float]]) -> Line:
    """Fit by least squares.

    >>> through = line("r.cpu", "ms", [(1, 3.0), (2, 5.0), (3, 7.0), (4, 9.0)])
    >>> round(through.slope, 6), round(through.start, 6), round(through.error, 6), through.beyond(40)
    (2.0, 1.0, 0.0, 10.0)
    """
    if len({size for size, _ in points}) < 2:
        raise ValueError(f"{name}: {len(points)} points at one size make no line")
    sizes, values = (numpy.array(side, dtype=float) for side in zip(*points, strict=True))
    slope, start = numpy.polyfit(sizes, values, 1)
    rest = values - (start + slope * sizes)
    spread = ((sizes - sizes.mean()) ** 2).sum()
    error = (rest @ rest / max(1, len(points) - 2) / spread) ** 0.5
    return Line(name, unit, float(slope), float(start), float(error), tuple(map(tuple, points)))


def grown(before: list[dict], after: list[dict]) -> list[str]:
    """What grew by over a quarter from one run to the next: lines by their slope, where it is more than its
    own error, or else by their value at the largest size. A line that is gone is told too.

    >>> run = [{"name": "r.bytes", "unit": "B", "points": [[1, 10.0], [2, 20.0]]}]
    >>> more = [{"name": "r.bytes", "unit": "B", "points": [[1, 10.0], [2, 24.0]]}]
    >>> grown(run, run), len(grown(run, more)), grown(run, [])
    ([], 1, ['r.bytes: not measured any more'])
    """
    found = []
    later = {told["name"]: line(told["name"], told["unit"], told["points"]) for told in after}
    for told in before:
        name = told["name"]
        old, new = line(name, told["unit"], told["points"]), later.get(name)
        if new is None:
            found.append(f"{name}: not measured any more")
            continue
        if old.slope > 2 * old.error and old.slope > 0:
            was, now = old.slope, new.slope - 2 * new.error
        else:
            size = old.points[-1][0]
            was, now = old.at(size), new.at(size)
        if was > 0 and now > GROWTH * was:
            found.append(f"{name}: {was:.4g} to {now:.4g} {told['unit']}, {now / was:.2f} times")
    return found
