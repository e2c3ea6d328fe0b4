"""Counts, rates and means in which recent events weigh more. Times are in milliseconds."""

import math
from dataclasses import dataclass

from lotusroute.routing.events import ConnectionResult


@dataclass(slots=True)
class DecayingMean:
    """A mean whose samples lose weight with age.

    The weight of the past falls by the factor e in each `time_constant`, but not below `min_weight`, so that
    rare samples are averaged as well. Together with a new sample it does not exceed `max_weight`.
    """

    value: float
    time_constant: float
    min_weight: float
    max_weight: float = math.inf
    weight: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float, sample: float) -> None:
        """Add a sample that was measured at `now`."""
        retained = self.weight * math.exp((self.updated_at - now) / self.time_constant)
        self.weight = min(max(self.min_weight, retained), self.max_weight - 1) + 1
        self.value += (sample - self.value) / self.weight
        self.updated_at = now


@dataclass(slots=True)
class DecayingCount:
    """A count of events in which the weight of an event falls by the factor e in each `time_constant`."""

    time_constant: float
    value: float = 0.0
    updated_at: float = 0.0

    def value_at(self, now: float) -> float:
        """Return the count as of `now`."""
        return self.value * math.exp((self.updated_at - now) / self.time_constant)

    def increment(self, now: float) -> None:
        """Count one event."""
        self.value = 1 + self.value_at(now)
        self.updated_at = now


@dataclass(slots=True)
class TickRate:
    """The number of events in the current tick, and an exponential moving average per tick."""

    count: int = 0
    mean: float = 0.0

    def end_tick(self, gain: float) -> None:
        """Add the current tick to the average with the weight `gain`, and start the next tick."""
        self.mean += gain * (self.count - self.mean)
        self.count = 0


@dataclass(slots=True)
class ConnectionCounts:
    """Counts of connection attempts and of reset connections; they decay by tick."""

    failed: float = 0.0  # attempts that failed or were throttled
    established: float = 0.0
    resets: float = 0.0  # of established connections

    def count_end(self, was_established: bool, result: ConnectionResult) -> None:
        """Count the end of an attempt or of an established connection."""
        if was_established:
            self.resets += result == ConnectionResult.RESET
        else:
            self.failed += result != ConnectionResult.OK

    def decay(self, factor: float) -> None:
        """Multiply all counts by `factor`."""
        self.failed *= factor
        self.established *= factor
        self.resets *= factor
