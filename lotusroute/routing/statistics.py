"""Exponentially weighted counts, rates and means, in which recent events weigh more. Times are in ms."""

import math
from dataclasses import dataclass

from lotusroute.routing.events import ConnectionResult


@dataclass(slots=True)
class DecayingMean:
    """A mean in which the weight of samples decays with their age.

    The weight of all earlier samples falls by a factor of e per `time_constant`, but not below `min_weight`,
    so that samples are averaged even if they are rare. With a new sample it does not exceed `max_weight`.
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
    """A count of events in which the weight of each event falls by a factor of e per `time_constant`."""

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
    """The number of events in the current tick, and an exponential moving average over earlier ticks."""

    count: int = 0
    mean: float = 0.0

    def end_tick(self, gain: float) -> None:
        """Add the current tick to the average with the weight `gain`, and start the next tick."""
        self.mean += gain * (self.count - self.mean)
        self.count = 0


@dataclass(slots=True)
class ConnectionCounts:
    """Counts of connection attempts and of reset connections, which decay with each tick."""

    failed: float = 0.0  # attempts that failed or were throttled
    established: float = 0.0  # attempts that succeeded
    resets: float = 0.0  # established connections that were reset

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
