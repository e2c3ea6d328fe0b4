"""Leases, the shared endpoint list and relays when the wall clocks of their processes are stepped."""

import signal
import time

import pytest
from fleet_support import first_record, other_processes
from relay_harness import running_deployment
from wall_clock import SteppableWallClock

from lotusroute.fault_injection.invariants import find_violations
from lotusroute.fault_injection.processes import ProcessFleet

HOUR_S = 3_600.0
NAMES = ["n1", "n2", "n3"]


@pytest.fixture
def clocks(tmp_path):
    """Return a steppable wall clock for each process of the fleet, by name."""
    return {name: SteppableWallClock(tmp_path / name) for name in NAMES}


@pytest.fixture
def fleet(clocks):
    environments = {name: dict(clock.environment) for name, clock in clocks.items()}
    with ProcessFleet(len(NAMES), lease_ms=1_000.0, environments=environments) as fleet:
        yield fleet


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_another_process_acquires_the_lease_in_time_when_its_holder_is_killed_after_a_step(
    fleet, clocks, step
):
    holder = fleet.wait_for_holder()
    for clock in clocks.values():
        clock.step(step)
    time.sleep(0.5)
    killed_at = time.monotonic()
    fleet.kill(holder.process)
    second = fleet.wait_for_holder(killed_at)
    assert second.process != holder.process
    # The limit in s is the lease duration, and the time of one attempt.
    assert second.time - killed_at < 1.0 + 0.5 + 0.5
    assert find_violations(fleet.records) == []


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_a_holder_whose_clock_is_stepped_loses_its_lease_before_the_next_one_acquires_it(fleet, clocks, step):
    holder = fleet.wait_for_holder()
    others = other_processes(fleet, holder.process)
    clocks[holder.process].step(step)
    fleet.proxy.partition([holder.process], others)
    second = fleet.wait_for_holder(holder.time, among=others)
    lost = fleet.wait_for(lambda records: first_record(records, "lease lost", holder.process))
    assert lost.fields["reason"] == "expired"
    assert lost.time < second.time + 0.25
    assert find_violations(fleet.records) == []


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_a_drain_takes_effect_within_four_seconds_when_the_origin_is_killed_after_a_step(
    tmp_path, monkeypatch, step
):
    clock = SteppableWallClock(tmp_path / "clock")
    for name, value in clock.environment:
        monkeypatch.setenv(name, value)
    with running_deployment(tmp_path) as deployment:
        clock.step(step)
        origin = deployment.relays.origin()
        deployment.relays.send_signal(origin, signal.SIGKILL)
        changed_at = deployment.drain(1)
        assert deployment.wait_until_drained(1, changed_at) < 4.0
