"""Starts the processes that are measured and reads their CPU time, memory, log and counters.

Times are in seconds, memory in MB. A run that would take too many processes or too much memory is rejected
before it starts (RunTooLargeError).
"""

import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from lotusroute.errors import LotusrouteError

MAX_PROCESSES = 200
MAX_MEMORY_SHARE = 0.5  # of the machine's
PROCESS_MB = 40.0  # of a process of the program: what was seen, rounded up
HOLLOW_MB = 0.35  # of a hollow balancer: what was seen, rounded up
LOG_TIMEOUT = 20.0  # s for a log line, a start or an end that is waited for
PEER_BYTE_COUNTERS = ("peer_bytes_received", "peer_bytes_sent")
MIB = 2**20


class RunTooLargeError(LotusrouteError):
    """A run does not fit on this machine; the message says what it would take."""


def check_footprint(processes: int, hollow: int = 0) -> str:
    """Describe what a run will take; raises RunTooLargeError where that is too much.

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
    needed = processes * PROCESS_MB + hollow * HOLLOW_MB
    installed = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / MIB
    allowed = MAX_MEMORY_SHARE * installed
    if needed > allowed:
        raise RunTooLargeError(f"{needed:.0f} MB, {allowed:.0f} are half of this machine's; measure fewer")
    return f"{processes} processes, {hollow} hollow balancers, {needed:.0f} MB of {installed:.0f}"


def log_field(line: str, key: str) -> str:
    """Return a field of a log line.

    >>> log_field("time=12.500 level=info event=changed change=3", "change")
    '3'
    """
    prefix = f"{key}="
    return next(pair.removeprefix(prefix) for pair in line.split() if pair.startswith(prefix))


@dataclass(frozen=True, slots=True)
class ProcessSample:
    """CPU time and counters of a process since its start."""

    cpu_seconds: float
    counters: dict[str, int]


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """CPU and counters of a process over an interval."""

    cpu_percent: float  # of one core
    counter_rates: dict[str, float]  # a second

    def rate(self, *keys: str) -> float:
        """Return the sum of some counters a second; a counter that was never written is 0."""
        return sum(self.counter_rates.get(key, 0.0) for key in keys)


def usage_between(before: ProcessSample, after: ProcessSample, elapsed: float) -> ProcessUsage:
    """Return the usage between two samples that are `elapsed` seconds apart.

    >>> usage_between(ProcessSample(1.0, {"calls": 10}), ProcessSample(1.5, {"calls": 30}), 10.0)
    ProcessUsage(cpu_percent=5.0, counter_rates={'calls': 2.0})
    """
    rates = {key: (count - before.counters.get(key, 0)) / elapsed for key, count in after.counters.items()}
    return ProcessUsage(100 * (after.cpu_seconds - before.cpu_seconds) / elapsed, rates)


class MeasuredProcess:
    """A Python module that runs as a process of its own, its log lines and its counters.

    As a context manager it kills the process at the end.
    """

    def __init__(
        self, module: str, arguments: Iterable[str] = (), environment: Mapping[str, str] | None = None
    ) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, **(environment or {})},
        )
        self.lines: list[str] = []  # of its log; bounded by the length of a run
        self._line_added = threading.Condition()
        threading.Thread(target=self._read_log, daemon=True).start()

    def __enter__(self) -> "MeasuredProcess":
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def _read_log(self) -> None:
        assert self.process.stderr is not None
        for line in self.process.stderr:
            with self._line_added:
                self.lines.append(line)
                self._line_added.notify_all()

    def wait_for_line(self, text: str, start: int = 0, timeout: float = LOG_TIMEOUT) -> str:
        """Return the first log line from index `start` on that contains a text; raises RuntimeError."""
        deadline = time.monotonic() + timeout
        with self._line_added:
            while True:
                for line in self.lines[start:]:
                    if text in line:
                        return line
                remaining = deadline - time.monotonic()
                if remaining <= 0 or self.process.poll() is not None:
                    raise RuntimeError(f"'{text}' not seen; its last lines: {''.join(self.lines[-5:])}")
                self._line_added.wait(min(remaining, 0.5))

    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        self.process.send_signal(number)

    def signal_and_wait(self, number: signal.Signals, text: str) -> str:
        """Send a signal and return the first line logged after it that contains a text."""
        start = len(self.lines)
        self.send_signal(number)
        return self.wait_for_line(text, start)

    def counters(self) -> dict[str, int]:
        """Return all counters of the process."""
        line = self.signal_and_wait(signal.SIGUSR1, "event=counters")
        pairs = (pair.split("=", 1) for pair in line.split() if "=" in pair)
        return {key: int(value) for key, value in pairs if value.isdigit()}

    def cpu_seconds(self) -> float:
        """Return the CPU time of all threads; 0.0 for one that ends meanwhile."""
        total = 0.0
        for task in pathlib.Path(f"/proc/{self.process.pid}/task").iterdir():
            try:
                total += int((task / "schedstat").read_text().split()[0]) / 1e9
            except OSError:
                continue
        return total

    def resident_mb(self) -> float:
        """Return the resident memory in MB; 0.0 for a process that has ended."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def sample(self) -> ProcessSample:
        """Return CPU time and counters as they are now."""
        return ProcessSample(self.cpu_seconds(), self.counters())

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        if self.is_running():
            self.process.kill()
        self.process.wait(LOG_TIMEOUT)


def sample_all(processes: Mapping[str, MeasuredProcess]) -> dict[str, ProcessSample]:
    """Sample processes one after the other."""
    return {name: process.sample() for name, process in processes.items()}


def write_json(file: pathlib.Path, document: dict) -> str:
    """Write a document to a file; returns the file's path."""
    file.write_text(json.dumps(document), encoding="utf-8")
    return str(file)
