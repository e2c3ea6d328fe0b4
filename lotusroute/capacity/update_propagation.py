"""Measures how long a change of the endpoint list takes until it is in force at all subscribers of relays.

One fleet goes through scenarios, each a fault and a change of the list at the same time.
"""

import contextlib
import json
import random
import signal
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import AbstractContextManager
from dataclasses import asdict, dataclass
from enum import StrEnum

from lotusroute.capacity.processes import MeasuredProcess
from lotusroute.capacity.propagation_fleet import FleetSize, PropagationFleet
from lotusroute.capacity.stubs import BURST_CHANGES

REST_SECONDS = 6.0  # for which the fleet is measured before the first scenario
MAX_PROPAGATION_SECONDS = 12.0  # a change that is not in force after them is counted as lacking
POLL_INTERVAL = 0.5  # s between reports of the subscribers
PAUSE_SECONDS = 3.0  # after each scenario


class Scenario(StrEnum):
    """What happens together with a change of the endpoint list."""

    CALM = "calm"  # nothing else
    BURST = "burst"  # 50 changes within a second
    KILL = "kill"  # a relay is killed
    STOP = "stop"  # a relay is stopped and continues afterwards
    TWO = "two"  # two relays of a zone are stopped
    ORIGIN = "origin"  # the relay that polls discovery is killed
    ZONE = "zone"  # all hollow subscribers of a zone start again


SCENARIOS = tuple(Scenario)


@dataclass(frozen=True, slots=True)
class PropagationFigures:
    """How long one change took, over all subscribers that received it."""

    p50_s: float
    p99_s: float
    worst_s: float
    of: int  # subscribers that received it
    lack: int  # hollow subscribers that did not
    real: int  # balancers, the program itself, that received it
    states: int  # distinct endpoint lists that hollow subscribers hold; 1 if they agree
    own_calls: int  # times that a hollow subscriber fell back to polling discovery, from the start on


@dataclass(frozen=True, slots=True)
class Situation:
    """A fleet as a scenario finds it."""

    fleet: PropagationFleet
    origin: str  # name of the relay that polls discovery
    other_relays: list[str]  # names of the others that run
    rng: random.Random

    def any_other_relay(self) -> str:
        """Choose a relay other than the origin at random."""
        return self.rng.choice(self.other_relays)


@contextlib.contextmanager
def no_fault(_situation: Situation) -> Iterator[None]:
    """Leave the fleet as it is."""
    yield


@contextlib.contextmanager
def kill_relay(situation: Situation) -> Iterator[None]:
    """Kill a relay other than the origin."""
    situation.fleet.relays[situation.any_other_relay()].send_signal(signal.SIGKILL)
    yield


@contextlib.contextmanager
def kill_origin(situation: Situation) -> Iterator[None]:
    """Kill the relay that polls discovery."""
    situation.fleet.relays[situation.origin].send_signal(signal.SIGKILL)
    yield


@contextlib.contextmanager
def stop_relay(situation: Situation) -> Iterator[None]:
    """Stop a relay other than the origin for as long as the change is followed."""
    with _stopped([situation.fleet.relays[situation.any_other_relay()]]):
        yield


@contextlib.contextmanager
def stop_two_relays(situation: Situation) -> Iterator[None]:
    """Stop two relays other than the origin, of one zone if it has as many."""
    zones = situation.fleet.relay_zones
    zone = zones[situation.any_other_relay()]
    of_zone = [name for name in situation.other_relays if zones[name] == zone]
    names = (of_zone + situation.other_relays)[:2]
    with _stopped([situation.fleet.relays[name] for name in names]):
        yield


@contextlib.contextmanager
def restart_zone(situation: Situation) -> Iterator[None]:
    """Have all hollow subscribers of the first zone lose their state and start again."""
    zone = situation.fleet.hollow[0].zone
    for group in situation.fleet.hollow:
        if group.zone == zone:
            group.process.send_signal(signal.SIGUSR2)
    yield


@contextlib.contextmanager
def _stopped(stopped: Sequence[MeasuredProcess]) -> Iterator[None]:
    for process in stopped:
        process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for process in stopped:
            process.send_signal(signal.SIGCONT)


FAULTS: dict[Scenario, Callable[[Situation], AbstractContextManager[None]]] = {
    Scenario.CALM: no_fault,
    Scenario.BURST: no_fault,
    Scenario.KILL: kill_relay,
    Scenario.STOP: stop_relay,
    Scenario.TWO: stop_two_relays,
    Scenario.ORIGIN: kill_origin,
    Scenario.ZONE: restart_zone,
}


def run_scenarios(
    size: FleetSize, scenarios: Sequence[str], report: Callable[[str], None]
) -> dict[str, dict]:
    """Run scenarios one after the other on one fleet; returns the figures at rest and of each scenario.

    Raises RunTooLargeError where the fleet does not fit on this machine, ValueError for an unknown scenario.
    """
    rng = random.Random(1)
    change = 0
    figures: dict[str, dict] = {}
    with PropagationFleet(size, report) as fleet:
        figures["rest"] = asdict(fleet.measure_at_rest(REST_SECONDS))
        report(f"rest: {json.dumps(figures['rest'])}")
        for scenario in map(Scenario, scenarios):
            change += BURST_CHANGES if scenario is Scenario.BURST else 1
            origin = fleet.origin()
            others = [name for name in fleet.running_relays() if name != origin]
            with FAULTS[scenario](Situation(fleet, origin, others, rng)):
                result = _propagate(fleet, scenario, change)
            figures[scenario.value] = asdict(result)
            report(f"{scenario.value}: {json.dumps(figures[scenario.value])}")
            time.sleep(PAUSE_SECONDS)
    return figures


def _propagate(fleet: PropagationFleet, scenario: Scenario, change: int) -> PropagationFigures:
    """Publish changes up to the `change`th and follow that one."""
    if scenario is Scenario.BURST:
        return follow_change(fleet, change, fleet.publish_burst(change))
    return follow_change(fleet, change, fleet.publish_change(change))


def follow_change(fleet: PropagationFleet, change: int, published_at: float) -> PropagationFigures:
    """Wait until all hollow subscribers have a change, 12 s at most; returns how long it took."""
    deadline = time.monotonic() + MAX_PROPAGATION_SECONDS
    while True:
        reports = fleet.collect_reports()
        received = [
            _first_received(changes, change) for part in reports for changes in part.received.values()
        ]
        lacking = received.count(None)
        if not lacking or time.monotonic() > deadline:
            break
        time.sleep(POLL_INTERVAL)
    balancer_times = fleet.balancer_update_times(change)
    all_times = [*received, *balancer_times.values()]
    durations = sorted(timestamp - published_at for timestamp in all_times if timestamp is not None)
    return PropagationFigures(
        p50_s=_quantile(durations, 0.5),
        p99_s=_quantile(durations, 0.99),
        worst_s=round(durations[-1], 3),
        of=len(durations),
        lack=lacking,
        real=len(balancer_times),
        states=len({digest for part in reports for digest in part.digests.values()}),
        own_calls=sum(part.counters.get("relay_stale", 0) for part in reports),
    )


def _first_received(changes: dict[int, float], change: int) -> float | None:
    """When a change was received, alone or, as a later change contains the earlier ones, with a later one."""
    return min((timestamp for number, timestamp in changes.items() if number >= change), default=None)


def _quantile(ascending: list[float], share: float) -> float:
    index = min(len(ascending) - 1, int(share * len(ascending)))
    return round(ascending[index], 3)
