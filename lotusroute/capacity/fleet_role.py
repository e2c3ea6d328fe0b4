"""Measures a fleet at rest, by the number of its members, which compete for the lease `watch`.

Up to five members are real balancers, the others are hollow. Measured are the lease holder, which polls
discovery and sends updates to all other members, the acceptors of the lease, the other real balancers, and
discovery.
"""

import contextlib
import dataclasses
import pathlib
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Self

from lotusroute.capacity import processes
from lotusroute.capacity.deployment import (
    RunningDiscovery,
    allocate_port,
    fleet_config,
    loopback_address,
    run_discovery,
    start_balancer,
    temporary_folder,
    wait_for_lease_holder,
)
from lotusroute.capacity.errors import NoUpdateSentError
from lotusroute.capacity.measurement import Measurement, MeasurementOptions
from lotusroute.capacity.member_settings import HollowBalancerSettings
from lotusroute.capacity.processes import MeasuredProcess, ProcessUsage
from lotusroute.process_control.logged_process import TIMEOUT_S

SETTLE_DELAY_S = 4.0  # time between the start of the last process and the measurement
MAX_REAL_BALANCERS = 5
# Largest number of hollow balancers in a process. With more, the CPU of that process would limit the fleet,
# and the run would measure that process.
HOLLOW_PER_PROCESS = 60
ACCEPTORS = 3
LEASE = "watch"
# The lease that hollow balancers compete for. It differs from LEASE, so that a real balancer holds LEASE: its
# process is its own, while hollow balancers share theirs, and so its usage can be measured separately.
HOLLOW_LEASE = "check"
DISCOVERY = "discovery"  # key of the discovery stub among the measured processes

# Units of measurements.
CPU_UNIT = "% of a core"
BYTES_UNIT = "B a second, both ways"


class MeasuredFleet:
    """The processes of a fleet and its discovery stub; a context manager that starts and kills them."""

    def __init__(self, size: int, hosts: int) -> None:
        self.names = [f"n{index + 1}" for index in range(size)]
        self.acceptors = self.names[:ACCEPTORS]
        self.balancers: dict[str, MeasuredProcess] = {}  # the real balancers by name
        self.lease_holder = ""
        self.discovery: RunningDiscovery
        self._hosts = hosts
        self._ports = {name: allocate_port() for name in self.names}
        self._resources = contextlib.ExitStack()

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            folder = stack.enter_context(temporary_folder())
            self.discovery = stack.enter_context(run_discovery(self._hosts))
            for name in self.names[:MAX_REAL_BALANCERS]:
                self.balancers[name] = stack.enter_context(self._start_balancer(folder, name))
            self.lease_holder = wait_for_lease_holder(self.balancers, LEASE, TIMEOUT_S)
            hollow = [stack.enter_context(process) for process in self._start_hollow(folder)]
            for process in hollow:
                process.wait_for_line("event=ready")
            self._resources = stack.pop_all()
        return self

    def __exit__(self, *_: object) -> None:
        self._resources.close()

    def _start_balancer(self, folder: pathlib.Path, name: str) -> MeasuredProcess:
        state = folder / name
        state.mkdir()
        config = dataclasses.replace(fleet_config(self._ports, self.acceptors, LEASE), state_directory=state)
        file = config.write(folder / f"{name}.toml")
        return start_balancer(folder, name, allocate_port(), self.discovery.port, {"LB_FLEET": file})

    def _start_hollow(self, folder: pathlib.Path) -> Iterable[MeasuredProcess]:
        file = fleet_config(self._ports, self.acceptors, HOLLOW_LEASE).write(folder / "hollow.toml")
        for start in range(MAX_REAL_BALANCERS, len(self.names), HOLLOW_PER_PROCESS):
            names = self.names[start : start + HOLLOW_PER_PROCESS]
            settings = HollowBalancerSettings(names, loopback_address(self.discovery.port), file)
            settings_file = settings.write(folder / f"hollow{start}.json")
            yield MeasuredProcess("lotusroute.capacity.hollow_balancers", [settings_file])

    def other_balancers(self) -> list[str]:
        """Return the real balancers that are neither lease holder nor acceptors.

        If there are none, return all real balancers except the lease holder.
        """
        non_holders = [name for name in self.balancers if name != self.lease_holder]
        return [name for name in non_holders if name not in self.acceptors] or non_holders

    def other_acceptors(self) -> list[str]:
        """Return the acceptors other than the lease holder."""
        return [name for name in self.acceptors if name != self.lease_holder]

    def measure_usage(self, seconds: float) -> dict[str, ProcessUsage]:
        """Measure the real balancers and discovery for `seconds`; return their usage by name."""
        measured = {**self.balancers, DISCOVERY: self.discovery.process}
        before = processes.sample_all(measured)
        started = time.monotonic()
        time.sleep(seconds)
        after = processes.sample_all(measured)
        elapsed = time.monotonic() - started
        return {name: processes.usage_between(before[name], after[name], elapsed) for name in measured}


def measure_fleet(size: int, options: MeasurementOptions) -> list[Measurement]:
    """Measure a fleet of `size` members.

    Raises `NoUpdateSentError` if the lease holder sent no update during the measurement.
    """
    real = min(MAX_REAL_BALANCERS, size)
    hollow = size - real
    hollow_processes = (hollow + HOLLOW_PER_PROCESS - 1) // HOLLOW_PER_PROCESS
    options.report(processes.check_footprint(real + 1 + hollow_processes, hollow))
    with MeasuredFleet(size, options.hosts) as fleet:
        time.sleep(SETTLE_DELAY_S)
        usage = fleet.measure_usage(options.seconds)
        if usage[fleet.lease_holder].rate("shared_discovery_sent") <= 0:
            raise NoUpdateSentError(fleet.lease_holder)
        return _measurements(size, fleet, usage)


def _measurements(size: int, fleet: MeasuredFleet, usage: Mapping[str, ProcessUsage]) -> list[Measurement]:
    holder = [fleet.lease_holder]
    others = fleet.other_balancers()
    acceptors = fleet.other_acceptors()

    def cpu(names: list[str]) -> float:
        return _mean(names, lambda name: usage[name].cpu_percent)

    def rate(names: list[str], *keys: str) -> float:
        return _mean(names, lambda name: usage[name].rate(*keys))

    def memory(names: list[str]) -> float:
        return _mean(names, lambda name: fleet.balancers[name].resident_mb())

    return [
        Measurement("holder.cpu", CPU_UNIT, size, cpu(holder)),
        Measurement("holder.messages", "calls sent a second", size, rate(holder, "peer_calls_sent")),
        Measurement("holder.bytes", BYTES_UNIT, size, rate(holder, *processes.PEER_BYTE_COUNTERS)),
        Measurement("holder.memory", "MB", size, memory(holder)),
        Measurement("balancer.cpu", CPU_UNIT, size, cpu(others)),
        Measurement("balancer.bytes", BYTES_UNIT, size, rate(others, *processes.PEER_BYTE_COUNTERS)),
        Measurement("balancer.memory", "MB", size, memory(others)),
        Measurement("acceptor.cpu", CPU_UNIT, size, cpu(acceptors)),
        Measurement(
            "acceptor.messages", "calls received a second", size, rate(acceptors, "peer_calls_received")
        ),
        Measurement("acceptor.memory", "MB", size, memory(acceptors)),
        Measurement("discovery.polls", "polls a second", size, usage[DISCOVERY].rate("polls")),
    ]


def _mean(names: list[str], value: Callable[[str], float]) -> float:
    return sum(value(name) for name in names) / len(names)
