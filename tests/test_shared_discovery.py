"""Shared discovery in a fleet of real processes: the holder of the task `watch` polls discovery for all."""

import time

import pytest
from fake_discovery import FakeDiscovery
from fake_servers import FakeServer
from fleet_support import first_record, other_processes

from lotusroute.fault_injection.processes import ProcessFleet


class SharedDiscoveryFleet:
    """A fleet with a discovery service that lists one server."""

    def __init__(self, fleet, discovery, server):
        self.fleet = fleet
        self.discovery = discovery
        self.server = server

    def change_health(self, health):
        """Change the server's health in discovery's list; returns the time of the change."""
        self.discovery.entries = [self.server.entry(health)]
        self.discovery.seq += 1
        return time.monotonic()

    def propagation_delay(self, processes, state, changed_at):
        """Wait until all the processes have logged the server's state.

        Returns the seconds from the change until the last one logged it.
        """

        def last_update(records):
            updates = [
                first_record(
                    [record for record in records if record.fields.get("state") == state],
                    "endpoint update",
                    process,
                    changed_at,
                )
                for process in processes
            ]
            return None not in updates and max(update.time for update in updates)

        return self.fleet.wait_for(last_update) - changed_at

    def wait_until_shared(self, followers):
        """Wait until all followers have received an update of the holder."""
        self.fleet.wait_for(
            lambda records: all(
                first_record(records, "shared discovery followed", process) for process in followers
            )
        )

    def count_polls(self, duration):
        """Return how many polls of discovery start within a duration in s."""
        before = len(self.discovery.polls)
        time.sleep(duration)
        return len(self.discovery.polls) - before


@pytest.fixture
def shared():
    server = FakeServer("s1")
    discovery = FakeDiscovery(server)
    with ProcessFleet(3, lease_ms=2_000.0, discovery_port=discovery.server_port, log_level="DEBUG") as fleet:
        yield SharedDiscoveryFleet(fleet, discovery, server)
    discovery.shutdown()


def test_one_process_polls_discovery_for_all_and_updates_arrive_within_two_seconds_after_it_is_killed(shared):
    fleet = shared.fleet
    holder = fleet.wait_for_holder()
    others = other_processes(fleet, holder.process)
    shared.wait_until_shared(others)
    time.sleep(4.2)  # waits until the polls that the followers started earlier have ended
    assert shared.count_polls(3.0) <= 2  # one process makes long polls of 2 s; three processes make more
    assert shared.propagation_delay(fleet.names, "draining", shared.change_health("DRAINING")) < 0.5

    fleet.kill(holder.process)
    # No process holds the lease until its duration of 2 s has passed.
    assert shared.propagation_delay(others, "ready", shared.change_health("SERVING")) < 2.0

    second = fleet.wait_for_holder(holder.time, among=others)
    fleet.proxy.partition([second.process], [name for name in others if name != second.process])
    assert shared.propagation_delay(others, "draining", shared.change_health("DRAINING")) < 2.0
