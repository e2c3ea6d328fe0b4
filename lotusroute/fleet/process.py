"""The identity of one process of the fleet, and what all its services share."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.base import ReactorBase

from lotusroute.fleet.config import FleetConfig
from lotusroute.monotonic_clock import monotonic_ms


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetProcess:
    """One process of the fleet: its name and configuration, reactor, counters, random numbers and clock."""

    reactor: ReactorBase
    config: FleetConfig
    name: str  # the name of this process: a peer in the configuration, a subscriber or an observer
    counters: Counter[str]
    rng: random.Random
    clock: Callable[[], float] = monotonic_ms  # returns the monotonic time in ms
