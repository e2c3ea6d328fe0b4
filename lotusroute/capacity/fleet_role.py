"""Measures a fleet at rest whose members compete for the lease `watch`, by the number of members.

Up to five members are balancers of their own, the others are hollow. Figures: the lease holder, which polls
discovery and sends its updates to all others; acceptors of leases; other balancers; polls at discovery.
"""

import contextlib
import dataclasses
import pathlib
import time
from collections.abc import Callable, Iterable
from typing import Self

from lotusroute.capacity import processes
from lotusroute.capacity.deployment import (
    address,
    allocate_port,
    fleet_config,
    run_discovery,
    run_folder,
    start_balancer,
)
from lotusroute.capacity.measurement import Measurement, MeasurementOptions
from lotusroute.capacity.member_settings import HollowBalancerSettings
from lotusroute.capacity.processes import MeasuredProcess, ProcessUsage
from lotusroute.process_control.logged_process import TIMEOUT_S

SETTLE_SECONDS = 4.0  # after the last start, before anything is measured
MAX_REAL_BALANCERS = 5
HOLLOW_PER_PROCESS = 60  # with more, it would be that process that is measured
ACCEPTORS = 3
DISCOVERY = "discovery"  # its name among the processes that are sampled


class LinkedFleet:
    """The processes of a fleet and of its discovery; a context manager that starts and kills them."""

    def __init__(self, size: int, hosts: int) -> None:
        self.names = [f"n{index + 1}" for index in range(size)]
        self.acceptors = self.names[:ACCEPTORS]
        self.balancers: dict[str, MeasuredProcess] = {}  # by name; hollow ones are not among them
        self.lease_holder = ""
        self.discovery: MeasuredProcess
        self._hosts = hosts
        self._ports = {name: allocate_port() for name in self.names}
        self._discovery_port = 0
        self._resources = contextlib.ExitStack()

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            folder = stack.enter_context(run_folder())
            self.discovery, self._discovery_port = stack.enter_context(run_discovery(self._hosts))
            for name in self.names[:MAX_REAL_BALANCERS]:
                self.balancers[name] = stack.enter_context(self._start_balancer(folder, name))
            self.lease_holder = self._wait_for_lease_holder()
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
        config = dataclasses.replace(fleet_config(self._ports, self.acceptors, "watch"), state_folder=state)
        file = config.write(folder / f"{name}.toml")
        return start_balancer(folder, name, allocate_port(), self._discovery_port, {"LB_FLEET": file})

    def _wait_for_lease_holder(self) -> str:
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() <= deadline:
            for name, balancer in self.balancers.items():
                if any("lease acquired" in line for line in balancer.lines):
                    return name
            time.sleep(0.05)
        raise RuntimeError("no balancer holds the lease `watch`")

    def _start_hollow(self, folder: pathlib.Path) -> Iterable[MeasuredProcess]:
        # Hollow balancers compete for another lease: the holder of this one has a process of its own.
        file = fleet_config(self._ports, self.acceptors, "check").write(folder / "hollow.toml")
        for start in range(MAX_REAL_BALANCERS, len(self.names), HOLLOW_PER_PROCESS):
            names = self.names[start : start + HOLLOW_PER_PROCESS]
            settings = HollowBalancerSettings(names, address(self._discovery_port), file)
            settings_file = settings.write(folder / f"hollow{start}.json")
            yield MeasuredProcess("lotusroute.capacity.hollow_balancers", [settings_file])

    def other_balancers(self) -> list[str]:
        """Names of balancers that neither hold the lease nor are acceptors.

        In a fleet without such ones: names of all that do not hold the lease.
        """
        non_holders = [name for name in self.balancers if name != self.lease_holder]
        return [name for name in non_holders if name not in self.acceptors] or non_holders

    def other_acceptors(self) -> list[str]:
        """Names of acceptors that do not hold the lease."""
        return [name for name in self.acceptors if name != self.lease_holder]

    def measure_usage(self, seconds: float) -> dict[str, ProcessUsage]:
        """Measure all balancers, by name, and discovery."""
        measured = {**self.balancers, DISCOVERY: self.discovery}
        before = processes.sample_all(measured)
        started = time.monotonic()
        time.sleep(seconds)
        after = processes.sample_all(measured)
        elapsed = time.monotonic() - started
        return {name: processes.usage_between(before[name], after[name], elapsed) for name in measured}


def measure_fleet(size: int, options: MeasurementOptions) -> list[Measurement]:
    """Measure a fleet of so many members."""
    real = min(MAX_REAL_BALANCERS, size)
    hollow = size - real
    hollow_processes = (hollow + HOLLOW_PER_PROCESS - 1) // HOLLOW_PER_PROCESS
    options.report(processes.check_footprint(real + 1 + hollow_processes, hollow))
    with LinkedFleet(size, options.hosts) as fleet:
        time.sleep(SETTLE_SECONDS)
        usage = fleet.measure_usage(options.seconds)
        if usage[fleet.lease_holder].rate("shared_discovery_sent") <= 0:
            raise RuntimeError(f"{fleet.lease_holder} held the lease but sent no update")
        return [Measurement(name, unit, size, value) for name, unit, value in _figures(fleet, usage)]


def _figures(fleet: LinkedFleet, usage: dict[str, ProcessUsage]) -> list[tuple[str, str, float]]:
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
        ("holder.cpu", "% of a core", cpu(holder)),
        ("holder.messages", "calls out a second", rate(holder, "peer_calls_sent")),
        ("holder.bytes", "B a second, both ways", rate(holder, *processes.PEER_BYTE_COUNTERS)),
        ("holder.memory", "MB", memory(holder)),
        ("balancer.cpu", "% of a core", cpu(others)),
        ("balancer.bytes", "B a second, both ways", rate(others, *processes.PEER_BYTE_COUNTERS)),
        ("balancer.memory", "MB", memory(others)),
        ("keeper.cpu", "% of a core", cpu(acceptors)),
        ("keeper.messages", "calls in a second", rate(acceptors, "peer_calls_received")),
        ("keeper.memory", "MB", memory(acceptors)),
        ("discovery.calls", "calls a second", usage[DISCOVERY].rate("calls")),
    ]


def _mean(names: list[str], value: Callable[[str], float]) -> float:
    return sum(value(name) for name in names) / len(names)
