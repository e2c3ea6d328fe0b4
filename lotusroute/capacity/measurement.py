"""The figures that are measured for a role at one size, and their series over several sizes.

A role is a part of the system whose resource usage is measured by size: the data plane, a fleet, relays.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True, slots=True)
class Measurement:
    """One figure of a role at one size."""

    name: str  # names of the role and of the figure, joined by a dot
    unit: str
    size: float
    value: float


class Point(NamedTuple):
    """The value of a figure at one size."""

    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Series:
    """The values of one figure by size."""

    name: str
    unit: str
    points: tuple[Point, ...]


@dataclass(frozen=True, slots=True)
class MeasurementOptions:
    """The options of a run that apply to all sizes."""

    seconds: float  # duration of the measurement at each size
    hosts: int  # servers in the endpoint list, for roles that do not set their number themselves
    report: Callable[[str], None]  # called with each line of progress to show to the operator


@dataclass(frozen=True, slots=True)
class Role:
    """How a role is measured, and its sizes if the operator gives none."""

    measure: Callable[[int, MeasurementOptions], list[Measurement]]
    default_sizes: tuple[int, ...]


def group_into_series(measurements: Iterable[Measurement]) -> list[Series]:
    """Group measurements by figure, in the order of their first occurrence.

    >>> group_into_series([Measurement("a.cpu", "ms", 1, 2.0), Measurement("a.cpu", "ms", 2, 3.0)])
    [Series(name='a.cpu', unit='ms', points=(Point(size=1, value=2.0), Point(size=2, value=3.0)))]
    """
    units: dict[str, str] = {}
    points: dict[str, list[Point]] = {}
    for measurement in measurements:
        units.setdefault(measurement.name, measurement.unit)
        points.setdefault(measurement.name, []).append(Point(measurement.size, measurement.value))
    return [Series(name, unit, tuple(points[name])) for name, unit in units.items()]
