"""Leases in a fleet of real processes, with faults injected into the processes and the network.

They guard against two processes that hold the lease of a task at the same time, and against a lease that no
process acquires in time after its holder was terminated, killed, paused or partitioned.
"""

import json
import pathlib
import time
import tomllib

import pytest
from fleet_support import first_record, other_processes, run_program

from lotusroute.fault_injection.invariants import find_violations
from lotusroute.fault_injection.processes import ProcessFleet
from lotusroute.fault_injection.random_scenarios import run_scenario
from lotusroute.process_control.free_ports import ALLOCATABLE_PORTS


def show_leases(fleet):
    """Return what `leases show --json` prints about each balancer."""
    fleet_file = fleet.fleet_file("n1")
    result = run_program("-m", "lotusroute", "leases", "show", "--fleet", fleet_file, "--json")
    assert result.returncode == 0, result.stderr
    return json.loads(result.stdout)["balancers"]


def test_balancers_listen_on_ports_that_the_system_does_not_assign():
    with ProcessFleet(1, acceptor_count=1) as fleet:
        fleet_file = pathlib.Path(fleet.fleet_file("n1"))
        addresses = [
            json.loads((fleet_file.parent / "config.json").read_text())["listen"],
            tomllib.loads(fleet_file.read_text())["peers"]["n1"],
        ]
    assert {int(address.rpartition(":")[2]) in ALLOCATABLE_PORTS for address in addresses} == {True}


def test_another_process_acquires_the_lease_when_its_holder_is_terminated_killed_or_paused():
    with ProcessFleet(3, lease_ms=1_000.0) as fleet:
        first = fleet.wait_for_holder()
        terminated_at = time.monotonic()
        assert fleet.terminate(first.process) == 0
        second = fleet.wait_for_holder(first.time)
        # Waiting proposers are notified of a release, so they do not wait until the lease expires. The time
        # is measured from the log record of the release, because a busy machine may deliver the signal late.
        released = first_record(fleet.records, "lease lost", first.process)
        assert second.process != first.process
        assert second.time - released.time < 0.5
        assert second.time - terminated_at < 1.0

        fleet.start(first.process)
        # The restarted acceptor grants nothing for a lease duration, and after the next kill it is needed for
        # a majority.
        fleet.wait_for(lambda records: first_record(records, "acceptor serving", first.process, second.time))
        killed_at = time.monotonic()
        fleet.kill(second.process)
        third = fleet.wait_for_holder(killed_at)
        assert third.process != second.process
        # The limit in s is the lease duration, and the time of one attempt.
        assert third.time - killed_at < 1.0 + 0.5 + 0.5

        with fleet.paused(third.process):
            # One of the three acceptors is dead and one is paused, so no process can hold the lease until the
            # restarted one serves.
            fleet.start(second.process)
            fourth = fleet.wait_for_holder(third.time, among=other_processes(fleet, third.process))
        fleet.wait_for(lambda records: first_record(records, "lease lost", third.process))
        assert fourth.process != third.process
        assert find_violations(fleet.records) == []
        balancers = show_leases(fleet)
        assert sum(status["leases"]["watch"]["holds"] for status in balancers.values()) <= 1
        assert list(balancers) == list(fleet.names)


def test_a_partitioned_holder_loses_its_lease_before_the_next_one_acquires_it():
    with ProcessFleet(3, lease_ms=1_000.0) as fleet:
        first = fleet.wait_for_holder()
        others = other_processes(fleet, first.process)
        fleet.proxy.partition([first.process], others)
        second = fleet.wait_for_holder(first.time, among=others)
        lost = fleet.wait_for(lambda records: first_record(records, "lease lost"))
        assert lost.process == first.process
        assert lost.fields["reason"] == "expired"
        assert lost.time < second.time + 0.25
        fleet.proxy.unblock()
        assert find_violations(fleet.records) == []


@pytest.mark.parametrize("seed", [1, 2])
def test_random_faults_violate_no_invariant_and_the_fleet_recovers(seed):
    outcome = run_scenario(seed)
    assert outcome.violations == (), outcome
    assert outcome.recovery_time >= 0, outcome
