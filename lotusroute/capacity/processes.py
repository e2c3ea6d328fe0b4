"""Starts the processes that are measured and reads their CPU time, memory, logs and counters.

Times are in seconds, memory is in MB of 2**20 bytes. A run that needs too many processes or too much memory
is rejected before it starts (RunTooLargeError).
"""

import os
import pathlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lotusroute.errors import LotusrouteError
from lotusroute.process_control.logged_process import LoggedProcess
from lotusroute.process_control.process_start import ProcessOptions, module_command

MAX_PROCESSES = 200
MAX_MEMORY_FRACTION = 0.5  # fraction of the machine's memory that a run may use
# Upper estimates of the memory of one process of the program and of one hollow balancer. With lower values, a
# run could take more memory than it may use.
PROCESS_MB = 40.0
HOLLOW_BALANCER_MB = 0.35
PEER_BYTE_COUNTERS = ("peer_bytes_received", "peer_bytes_sent")
KIB_PER_MIB = 1_024
BYTES_PER_MIB = 2**20
NANOSECONDS_PER_SECOND = 1_000_000_000


class RunTooLargeError(LotusrouteError):
    """A run does not fit on this machine; the message says what it needs."""


def check_footprint(processes: int, hollow: int = 0) -> str:
    """Return a description of what a run needs; raises RunTooLargeError if that exceeds the limits.

    >>> check_footprint(5, 100).split(",")[0]
    '5 processes'
    >>> try:
    ...     check_footprint(201)
    ... except RunTooLargeError as error:
    ...     print(error)
    201 processes, 200 at most; measure fewer or make more of them hollow
    """
    if processes > MAX_PROCESSES:
        raise RunTooLargeError(
            f"{processes} processes, {MAX_PROCESSES} at most; measure fewer or make more of them hollow"
        )
    needed = processes * PROCESS_MB + hollow * HOLLOW_BALANCER_MB
    installed = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MIB
    allowed = MAX_MEMORY_FRACTION * installed
    if needed > allowed:
        raise RunTooLargeError(
            f"{needed:.0f} MB needed, {allowed:.0f} MB allowed, half of this machine's memory; measure fewer"
        )
    return f"{processes} processes, {hollow} hollow balancers, {needed:.0f} MB of {installed:.0f}"


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """CPU time and counters of a process, counted from its start."""

    cpu_seconds: float
    counters: dict[str, int]


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """CPU usage and counter rates of a process over an interval."""

    cpu_percent: float  # CPU time as a percentage of one core
    counter_rates: dict[str, float]  # increments per second, by the name of the counter

    def rate(self, *keys: str) -> float:
        """Return the sum of some counters' rates per second; one that was never incremented counts as 0."""
        return sum(self.counter_rates.get(key, 0.0) for key in keys)


def usage_between(before: ProcessSample, after: ProcessSample, elapsed: float) -> ProcessUsage:
    """Return the usage between two samples that are `elapsed` seconds apart.

    >>> usage_between(ProcessSample(1.0, {"calls": 10}), ProcessSample(1.5, {"calls": 30}), 10.0)
    ProcessUsage(cpu_percent=5.0, counter_rates={'calls': 2.0})
    """
    rates = {key: (count - before.counters.get(key, 0)) / elapsed for key, count in after.counters.items()}
    return ProcessUsage(100 * (after.cpu_seconds - before.cpu_seconds) / elapsed, rates)


class MeasuredProcess(LoggedProcess):
    """A Python module that runs as a separate process, with its log and its resource usage.

    As a context manager it kills the process at the end.
    """

    def __init__(
        self, module: str, arguments: Iterable[str] = (), environment: Mapping[str, str] | None = None
    ) -> None:
        options = ProcessOptions(environment=environment or {})
        super().__init__(module_command(module, *arguments), options)

    def cpu_seconds(self) -> float:
        """Return the CPU time of all threads; a thread that ends while it is read counts as 0."""
        total = 0.0
        for task in pathlib.Path(f"/proc/{self.process.pid}/task").iterdir():
            try:
                total += int((task / "schedstat").read_text().split()[0]) / NANOSECONDS_PER_SECOND
            except OSError:
                continue
        return total

    def resident_mb(self) -> float:
        """Return the resident memory in MB; 0.0 for a process that has ended."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / KIB_PER_MIB
        return 0.0

    def sample(self) -> ProcessSample:
        """Return the current CPU time and counters."""
        return ProcessSample(self.cpu_seconds(), self.counters())


def sample_all(processes: Mapping[str, MeasuredProcess]) -> dict[str, ProcessSample]:
    """Sample processes one after the other."""
    return {name: process.sample() for name, process in processes.items()}
