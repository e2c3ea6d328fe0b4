"""The processes for measuring update propagation: discovery, relays, balancers and hollow subscribers.

Times are in seconds on the monotonic clock, which all processes of a machine share.
"""

import contextlib
import pathlib
import signal
import time
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Self

from lotusroute.capacity import processes
from lotusroute.capacity.deployment import (
    UNLIMITED_ANSWERS_PER_S,
    allocate_port,
    fleet_config,
    loopback_address,
    start_balancer,
    temporary_folder,
    wait_for_lease_holder,
    write_relays_file,
)
from lotusroute.capacity.errors import NoReportError
from lotusroute.capacity.member_settings import HollowSubscriberSettings, SubscriberReport
from lotusroute.capacity.processes import MeasuredProcess, ProcessUsage
from lotusroute.capacity.stubs import CHANGED_HOST
from lotusroute.process_control.log_fields import log_field

HOLLOW_PER_PROCESS = 160  # largest number of hollow subscribers in a process
# How many relays are acceptors of the lease: five, or three if there are fewer than five relays.
LARGE_ACCEPTOR_GROUP = 5
SMALL_ACCEPTOR_GROUP = 3
LEASE = "origin"
LEASE_DURATION_MS = 1_500
MAX_SUBSCRIBERS = 4_000  # largest number of subscribers that a relay accepts
START_TIMEOUT_S = 60.0
LEASE_TIMEOUT_S = 30.0
REPORT_TIMEOUT_S = 20.0
REPORT_CHECK_INTERVAL_S = 0.05
SETTLE_DELAY_S = 8.0  # time between the start of the last process and the first measurement


@dataclass(frozen=True, slots=True)
class FleetSize:
    """How many processes and members a fleet has."""

    relays: int
    real: int  # balancers that run the real program, one process each
    hollow: int  # hollow subscribers
    zones: int
    hosts: int  # servers in the endpoint list


@dataclass(frozen=True, slots=True)
class OriginFigures:
    """What the origin, the relay that polls discovery, uses at rest."""

    cpu_percent: float  # CPU time as a percentage of one core
    bytes_per_s: float  # bytes sent and received per second


@dataclass(frozen=True, slots=True)
class RestFigures:
    """What relays and real balancers use at rest: the origin's figures, and means over all others."""

    origin: OriginFigures
    relay_cpu_percent: float  # CPU time as a percentage of one core
    relay_bytes_per_s: float  # bytes sent and received per second
    relay_resident_mb: float
    balancer_cpu_percent: float
    balancer_bytes_per_s: float
    balancer_resident_mb: float


@dataclass(frozen=True, slots=True)
class HollowGroup:
    """A process of hollow subscribers, all in one zone."""

    process: MeasuredProcess
    zone: str
    report_file: pathlib.Path


class PropagationFleet:
    """A context manager that starts the processes of a run and kills them at the end."""

    def __init__(self, size: FleetSize, report: Callable[[str], None]) -> None:
        self.size = size
        self.relays: dict[str, MeasuredProcess] = {}  # all relays by name, including those that were killed
        self.balancers: dict[str, MeasuredProcess] = {}  # the real balancers by name
        self.hollow: list[HollowGroup] = []
        self.discovery: MeasuredProcess
        names = [f"r{index + 1}" for index in range(size.relays)]
        self.relay_zones = {name: f"z{index % size.zones}" for index, name in enumerate(names)}
        self._relay_ports = {name: allocate_port() for name in names}
        self._discovery_port = allocate_port()
        self._report = report
        self._resources = contextlib.ExitStack()

    def __enter__(self) -> Self:
        groups = (self.size.hollow + HOLLOW_PER_PROCESS - 1) // HOLLOW_PER_PROCESS
        process_count = self.size.relays + self.size.real + groups + 1
        self._report(processes.check_footprint(process_count, self.size.hollow))
        with contextlib.ExitStack() as stack:
            folder = stack.enter_context(temporary_folder())
            self._start_discovery(stack)
            self._start_relays(folder, stack)
            self._start_balancers(folder, stack)
            self._start_hollow(folder, groups, stack)
            time.sleep(SETTLE_DELAY_S)
            self._resources = stack.pop_all()
        return self

    def __exit__(self, *_: object) -> None:
        self._resources.close()

    # Start

    def _start_discovery(self, stack: contextlib.ExitStack) -> None:
        arguments = [str(self._discovery_port), str(self.size.hosts), UNLIMITED_ANSWERS_PER_S]
        process = MeasuredProcess("lotusroute.capacity.discovery_stub", arguments)
        self.discovery = stack.enter_context(process)
        self.discovery.wait_for_line("event=ready")

    def _start_relays(self, folder: pathlib.Path, stack: contextlib.ExitStack) -> None:
        names = list(self._relay_ports)
        large = len(names) >= LARGE_ACCEPTOR_GROUP
        acceptors = names[: LARGE_ACCEPTOR_GROUP if large else SMALL_ACCEPTOR_GROUP]
        for name in names:
            state = folder / name
            state.mkdir()
            config = replace(
                fleet_config(self._relay_ports, acceptors, LEASE),
                state_directory=state,
                lease_ms=LEASE_DURATION_MS,
                max_subscribers=MAX_SUBSCRIBERS,
            )
            file = config.write(folder / f"{name}.toml")
            options = ["--fleet", file, "--name", name, "--discovery", loopback_address(self._discovery_port)]
            process = MeasuredProcess("lotusroute", ["relay", "run", *options])
            self.relays[name] = stack.enter_context(process)
        for relay in self.relays.values():
            relay.wait_for_line("relay ready", timeout=START_TIMEOUT_S)
        wait_for_lease_holder(self.relays, LEASE, LEASE_TIMEOUT_S)

    def _start_balancers(self, folder: pathlib.Path, stack: contextlib.ExitStack) -> None:
        relays = self._relay_addresses()
        for index in range(self.size.real):
            name = f"b{index}"
            file = write_relays_file(folder / f"{name}.toml", self._zone(index), relays)
            environment = {"LB_RELAYS": file, "LB_LOG": "DEBUG"}
            process = start_balancer(folder, name, allocate_port(), self._discovery_port, environment)
            self.balancers[name] = stack.enter_context(process)

    def _start_hollow(self, folder: pathlib.Path, groups: int, stack: contextlib.ExitStack) -> None:
        relays = self._relay_addresses()
        for group in range(groups):
            first = group * HOLLOW_PER_PROCESS
            last = min(self.size.hollow, first + HOLLOW_PER_PROCESS)
            report_file = folder / f"report{group}.json"
            settings = HollowSubscriberSettings(
                names=[f"h{index}" for index in range(first, last)],
                discovery=loopback_address(self._discovery_port),
                zone=self._zone(group),
                relays=relays,
                report_file=str(report_file),
            )
            settings_file = settings.write(folder / f"subscribers{group}.json")
            process = MeasuredProcess("lotusroute.capacity.hollow_subscribers", [settings_file])
            self.hollow.append(HollowGroup(stack.enter_context(process), settings.zone, report_file))
        for hollow_group in self.hollow:
            hollow_group.process.wait_for_line("event=ready", timeout=START_TIMEOUT_S)

    def _zone(self, index: int) -> str:
        return f"z{index % self.size.zones}"

    def _relay_addresses(self) -> dict[str, dict[str, str]]:
        """Return the addresses of the relays by zone and name."""
        addresses: dict[str, dict[str, str]] = {}
        for name, zone in self.relay_zones.items():
            addresses.setdefault(zone, {})[name] = loopback_address(self._relay_ports[name])
        return addresses

    # Relays

    def running_relays(self) -> list[str]:
        """Return the sorted names of the relays whose process has not ended."""
        return sorted(name for name, relay in self.relays.items() if relay.is_running())

    def origin(self) -> str:
        """Return the name of the relay that acquired the lease last and has not logged its loss."""
        acquired_at: dict[str, float] = {}
        for name, relay in self.relays.items():
            for line in relay.lines:
                if "lease acquired" in line:
                    acquired_at[name] = float(log_field(line, "mono"))
                elif "lease lost" in line:
                    acquired_at.pop(name, None)
        return max((timestamp, name) for name, timestamp in acquired_at.items())[1]

    # Changes of the endpoint list

    def publish_change(self, number: int) -> float:
        """Make discovery change its list and return when; `number` is the expected number of the change."""
        return self._publish(signal.SIGUSR2, number)

    def publish_burst(self, last_number: int) -> float:
        """Make discovery change its list in a burst; return when the last change, `last_number`, was made."""
        return self._publish(signal.SIGHUP, last_number)

    def _publish(self, request: signal.Signals, number: int) -> float:
        line = self.discovery.signal_and_wait(request, f"change={number} ")
        return float(log_field(line, "at"))

    def collect_reports(self) -> list[SubscriberReport]:
        """Make all processes of hollow subscribers write their reports, and return those."""
        for group in self.hollow:
            group.report_file.unlink(missing_ok=True)
        for group in self.hollow:
            group.process.send_signal(signal.SIGUSR1)
        deadline = time.monotonic() + REPORT_TIMEOUT_S
        for group in self.hollow:
            while not group.report_file.exists():
                if time.monotonic() > deadline:
                    raise NoReportError(group.report_file, REPORT_TIMEOUT_S)
                time.sleep(REPORT_CHECK_INTERVAL_S)
        return [SubscriberReport.read(group.report_file) for group in self.hollow]

    def balancer_update_times(self, change: int) -> dict[str, float]:
        """Return when each real balancer first logged a change, leaving out those that have not logged it."""
        times = {name: change_time(balancer.lines, change) for name, balancer in self.balancers.items()}
        return {name: logged_at for name, logged_at in times.items() if logged_at is not None}

    # Usage

    def measure_at_rest(self, seconds: float) -> RestFigures:
        """Measure CPU, bytes per second and memory of relays and real balancers for `seconds`."""
        origin = self.origin()
        measured = {**self.relays, **self.balancers}
        before = processes.sample_all(measured)
        started = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - started
        after = processes.sample_all(measured)
        usage = {name: processes.usage_between(before[name], after[name], elapsed) for name in measured}
        relays = [usage[name] for name in self.relays if name != origin]
        balancers = [usage[name] for name in self.balancers]
        return RestFigures(
            origin=OriginFigures(
                round(usage[origin].cpu_percent, 2), round(_bytes_per_second(usage[origin]))
            ),
            relay_cpu_percent=_mean([relay.cpu_percent for relay in relays]),
            relay_bytes_per_s=_mean([_bytes_per_second(relay) for relay in relays]),
            relay_resident_mb=_mean_resident_mb(self.relays),
            balancer_cpu_percent=_mean([balancer.cpu_percent for balancer in balancers]),
            balancer_bytes_per_s=_mean([_bytes_per_second(balancer) for balancer in balancers]),
            balancer_resident_mb=_mean_resident_mb(self.balancers),
        )


def change_time(lines: Iterable[str], change: int) -> float | None:
    """Return when a balancer first logged a change; None if it has not.

    >>> line = f'time=7.000 mono=12.500 level=debug event="endpoint update" server={CHANGED_HOST} cell=3'
    >>> change_time([line], 3), change_time([line], 4)
    (12.5, None)
    """
    return next((float(log_field(line, "mono")) for line in lines if _logs_change(line, change)), None)


def _logs_change(line: str, change: int) -> bool:
    # The discovery stub sends the number of a change in the field that balancers log as `cell`. The field may
    # be the last one of the line; the space after it keeps change 1 from matching cell=10.
    return (
        'event="endpoint update"' in line
        and f"server={CHANGED_HOST}" in line
        and f"cell={change} " in line.rstrip() + " "
    )


def _bytes_per_second(usage: ProcessUsage) -> float:
    return usage.rate(*processes.PEER_BYTE_COUNTERS)


def _mean(values: list[float]) -> float:
    return round(sum(values) / max(1, len(values)), 3)


def _mean_resident_mb(measured: Mapping[str, MeasuredProcess]) -> float:
    return _mean([process.resident_mb() for process in measured.values()])
