"""Measures how long a change of the endpoint list takes to reach all subscribers of relays.

A run puts one fleet through several scenarios. In each, the list changes; in most, a fault occurs with it.
Times are in seconds.
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

from lotusroute.capacity.member_settings import SubscriberReport
from lotusroute.capacity.processes import MeasuredProcess
from lotusroute.capacity.propagation_fleet import FleetSize, PropagationFleet, RestFigures
from lotusroute.capacity.stubs import BURST_CHANGES

REST_DURATION_S = 6.0  # duration of the measurement at rest, before the first scenario
PROPAGATION_TIMEOUT_S = 12.0  # a subscriber without the change after this time counts as lagging
REPORT_INTERVAL_S = 0.5  # time between two collections of reports
PAUSE_S = 3.0  # waiting time after each scenario
SEED = 1  # seed of the random choice of relays that fail


class Scenario(StrEnum):
    """What happens while the endpoint list changes."""

    CALM = "calm"  # no fault
    BURST = "burst"  # many changes within a second
    KILL = "kill"  # a relay is killed
    STOP = "stop"  # a relay is stopped (SIGSTOP) and continues afterwards
    TWO = "two"  # two relays, of one zone if it has two, are stopped (SIGSTOP) and continue afterwards
    ORIGIN = "origin"  # the origin is killed
    ZONE = "zone"  # all hollow subscribers of a zone lose their state and restart


SCENARIOS = tuple(Scenario)


@dataclass(frozen=True, slots=True)
class PropagationFigures:
    """How long one change took to propagate, over all subscribers that received it."""

    p50_s: float
    p99_s: float
    worst_s: float
    received: int  # subscribers that received the change
    lagging: int  # hollow subscribers that did not receive the change in time
    real: int  # real balancers that received the change
    distinct_lists: int  # number of different lists that hollow subscribers have; 1 if all have the same
    fallbacks: int  # how often since the start a hollow subscriber fell back to polling discovery

    def is_late(self, limit_s: float) -> bool:
        """Return whether a subscriber received the change after more than `limit_s`, or is lagging."""
        return self.lagging > 0 or self.worst_s > limit_s


@dataclass(frozen=True, slots=True)
class PropagationRun:
    """The figures of a run."""

    rest: RestFigures  # figures at rest, measured before the first scenario
    scenarios: dict[Scenario, PropagationFigures]


@dataclass(frozen=True, slots=True)
class ScenarioContext:
    """The fleet at the start of a scenario, as its fault needs it."""

    fleet: PropagationFleet
    origin: str  # name of the relay that is the origin
    other_relays: list[str]  # names of the other running relays
    rng: random.Random

    def any_other_relay(self) -> str:
        """Return the name of a random running relay other than the origin."""
        return self.rng.choice(self.other_relays)


@contextlib.contextmanager
def no_fault(_context: ScenarioContext) -> Iterator[None]:
    """Cause no fault."""
    yield


@contextlib.contextmanager
def kill_relay(context: ScenarioContext) -> Iterator[None]:
    """Kill a relay other than the origin."""
    context.fleet.relays[context.any_other_relay()].send_signal(signal.SIGKILL)
    yield


@contextlib.contextmanager
def kill_origin(context: ScenarioContext) -> Iterator[None]:
    """Kill the origin, the relay that polls discovery."""
    context.fleet.relays[context.origin].send_signal(signal.SIGKILL)
    yield


@contextlib.contextmanager
def stop_relay(context: ScenarioContext) -> Iterator[None]:
    """Stop a relay other than the origin until the change has propagated."""
    with _stopped([context.fleet.relays[context.any_other_relay()]]):
        yield


@contextlib.contextmanager
def stop_two_relays(context: ScenarioContext) -> Iterator[None]:
    """Stop two relays other than the origin until the change has propagated; of one zone, if it has two."""
    zones = context.fleet.relay_zones
    zone = zones[context.any_other_relay()]
    of_zone = [name for name in context.other_relays if zones[name] == zone]
    names = (of_zone + context.other_relays)[:2]
    with _stopped([context.fleet.relays[name] for name in names]):
        yield


@contextlib.contextmanager
def restart_zone(context: ScenarioContext) -> Iterator[None]:
    """Make all hollow subscribers of the first zone lose their state and restart."""
    zone = context.fleet.hollow[0].zone
    for group in context.fleet.hollow:
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


FAULTS: dict[Scenario, Callable[[ScenarioContext], AbstractContextManager[None]]] = {
    Scenario.CALM: no_fault,
    Scenario.BURST: no_fault,
    Scenario.KILL: kill_relay,
    Scenario.STOP: stop_relay,
    Scenario.TWO: stop_two_relays,
    Scenario.ORIGIN: kill_origin,
    Scenario.ZONE: restart_zone,
}


def run_scenarios(
    size: FleetSize, scenarios: Sequence[Scenario], report: Callable[[str], None]
) -> PropagationRun:
    """Run scenarios on one fleet, one after the other.

    Raises `RunTooLargeError` if the fleet does not fit on this machine.
    """
    rng = random.Random(SEED)
    change = 0
    results: dict[Scenario, PropagationFigures] = {}
    with PropagationFleet(size, report) as fleet:
        rest = fleet.measure_at_rest(REST_DURATION_S)
        report(f"rest: {json.dumps(asdict(rest))}")
        for scenario in scenarios:
            change += BURST_CHANGES if scenario is Scenario.BURST else 1
            origin = fleet.origin()
            others = [name for name in fleet.running_relays() if name != origin]
            with FAULTS[scenario](ScenarioContext(fleet, origin, others, rng)):
                results[scenario] = _measure_propagation(fleet, scenario, change)
            report(f"{scenario}: {json.dumps(asdict(results[scenario]))}")
            time.sleep(PAUSE_S)
    return PropagationRun(rest, results)


def _measure_propagation(fleet: PropagationFleet, scenario: Scenario, change: int) -> PropagationFigures:
    """Publish the changes of a scenario, and measure the last one, which has the number `change`."""
    if scenario is Scenario.BURST:
        return follow_change(fleet, change, fleet.publish_burst(change))
    return follow_change(fleet, change, fleet.publish_change(change))


def follow_change(fleet: PropagationFleet, change: int, published_at: float) -> PropagationFigures:
    """Wait, for at most PROPAGATION_TIMEOUT_S, until all hollow subscribers have received a change."""
    deadline = time.monotonic() + PROPAGATION_TIMEOUT_S
    while True:
        reports = fleet.collect_reports()
        received = _times_received(reports, change)
        if None not in received or time.monotonic() > deadline:
            break
        time.sleep(REPORT_INTERVAL_S)
    balancer_times = fleet.balancer_update_times(change)
    all_times = [*received, *balancer_times.values()]
    durations = sorted(timestamp - published_at for timestamp in all_times if timestamp is not None)
    return PropagationFigures(
        p50_s=_quantile(durations, 0.5),
        p99_s=_quantile(durations, 0.99),
        worst_s=round(durations[-1], 3),
        received=len(durations),
        lagging=received.count(None),
        real=len(balancer_times),
        distinct_lists=len({digest for report in reports for digest in report.digests.values()}),
        fallbacks=sum(report.counters.get("relay_stale", 0) for report in reports),
    )


def _times_received(reports: Sequence[SubscriberReport], change: int) -> list[float | None]:
    """Return when each hollow subscriber received a change; None for each that did not."""
    return [_first_received(changes, change) for report in reports for changes in report.received.values()]


def _first_received(changes: dict[int, float], change: int) -> float | None:
    """Return when a change was received, by itself or with a later one; None if it was not.

    A later change counts, because it contains the earlier ones.
    """
    return min((timestamp for number, timestamp in changes.items() if number >= change), default=None)


def _quantile(ascending: list[float], fraction: float) -> float:
    index = min(len(ascending) - 1, int(fraction * len(ascending)))
    return round(ascending[index], 3)
