"""Figures that a run of a role yields at one size, and the series that they form over several sizes."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Measurement:
    """One figure of a role at one size."""

    name: str  # role.figure
    unit: str
    size: float
    value: float


@dataclass(frozen=True, slots=True)
class Series:
    """The values of one figure by size."""

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]  # (size, value)

    @classmethod
    def from_json(cls, document: dict) -> "Series":
        """Read what `as_json` returned; raises KeyError, TypeError or ValueError for anything else.

        >>> Series.from_json({"name": "list.bytes", "unit": "B", "points": [[1, 99.0]]}).points
        ((1, 99.0),)
        """
        points = tuple((size, value) for size, value in document["points"])
        return cls(document["name"], document["unit"], points)

    def as_json(self) -> dict:
        """Return the form that the files of `measure --json` hold."""
        return {"name": self.name, "unit": self.unit, "points": self.points}


@dataclass(frozen=True, slots=True)
class MeasurementOptions:
    """What is the same at all sizes of a run."""

    seconds: float  # how long the role is measured at each size
    hosts: int  # servers in the endpoint list, where the role does not set their number itself
    report: Callable[[str], None]  # takes a line of progress for the operator


@dataclass(frozen=True, slots=True)
class Role:
    """A role that can be measured by size."""

    measure: Callable[[int, MeasurementOptions], list[Measurement]]
    default_sizes: tuple[int, ...]


def group_into_series(measurements: Iterable[Measurement]) -> list[Series]:
    """Collect the points of each figure, in the order in which figures and sizes were measured.

    >>> group_into_series([Measurement("a.cpu", "ms", 1, 2.0), Measurement("a.cpu", "ms", 2, 3.0)])
    [Series(name='a.cpu', unit='ms', points=((1, 2.0), (2, 3.0)))]
    """
    units: dict[str, str] = {}
    points: dict[str, list[tuple[float, float]]] = {}
    for measurement in measurements:
        units.setdefault(measurement.name, measurement.unit)
        points.setdefault(measurement.name, []).append((measurement.size, measurement.value))
    return [Series(name, unit, tuple(points[name])) for name, unit in units.items()]
