"""Starts what is measured and reads what it took from the system.

Owns the processes that it starts, their CPU, memory and counters, and the bound on all of it. It must never
leave one behind, take more than half of the machine's memory, or signal what it did not start.
"""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

MOST = 200  # processes
HALF = 0.5  # of the machine's memory
REAL_MB, HOLLOW_MB, HOST_MB = 40.0, 0.35, 45.0  # what one takes, rounded up from what was seen
PATIENCE = 20.0  # s for a start


class TooLarge(Exception):
    """What is asked for does not fit; says what it would take."""


def fits(processes: int, hollow: int = 0) -> str:
    """Say what a run will take; raises TooLarge where that is too much.

    >>> fits(5, 100).split(",")[0]
    '5 processes'
    >>> fits(201)
    Traceback (most recent call last):
    lotusroute.capacity.processes.TooLarge: 201 processes, 200 at most; measure fewer or make more of them hollow
    """  # noqa: E501
    if processes > MOST:
        raise TooLarge(f"{processes} processes, {MOST} at most; measure fewer or make more of them hollow")
    memory = processes * REAL_MB + hollow * HOLLOW_MB
    have = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / 2**20
    if memory > HALF * have:
        raise TooLarge(f"{memory:.0f} MB, {HALF * have:.0f} are half of this machine's; measure fewer")
    return f"{processes} processes, {hollow} hollow balancers, {memory:.0f} MB of {have:.0f}"


def cpu(pid: int) -> float:
    """Seconds of a core that a process has run, all its threads."""
    total = 0.0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        with contextlib.suppress(OSError):
            total += int((task / "schedstat").read_text().split()[0]) / 1e9
    return total


def rss(pid: int) -> float:
    """MB that a process has in memory."""
    for text in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if text.startswith("VmRSS:"):
            return int(text.split()[1]) / 1024
    return 0.0


class Started:
    """One process, its log and its counters."""

    def __init__(self, call: list[str], env: dict[str, str]) -> None:
        self.process = subprocess.Popen(
            [sys.executable, *call], stderr=subprocess.PIPE, text=True, env={**os.environ, **env}
        )
        self.pid = self.process.pid
        self.lines: list[str] = []  # of its log; a run's length bounds it
        self.news = threading.Condition()
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        for text in self.process.stderr:
            with self.news:
                self.lines.append(text)
                self.news.notify_all()

    def wait(self, says: str, after: int = 0, patience: float = PATIENCE) -> str:
        """Wait for a line that says so; returns it."""
        until = time.monotonic() + patience
        with self.news:
            while True:
                for text in self.lines[after:]:
                    if says in text:
                        return text
                left = until - time.monotonic()
                if left <= 0 or self.process.poll() is not None:
                    raise RuntimeError(f"'{says}' not seen; its last lines: {''.join(self.lines[-5:])}")
                self.news.wait(min(left, 0.5))

    def counters(self) -> dict[str, int]:
        """What it has counted so far."""
        after = len(self.lines)
        self.process.send_signal(signal.SIGUSR1)
        told = self.wait("event=counters", after)
        pairs = (pair.split("=", 1) for pair in told.split() if "=" in pair)
        return {key: int(value) for key, value in pairs if value.isdigit()}

    def end(self) -> None:
        """Kill it and wait."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(PATIENCE)


@contextlib.contextmanager
def folder():
    """A folder for files of a run."""
    with tempfile.TemporaryDirectory(prefix="lotusroute-scale-") as name:
        yield pathlib.Path(name)


def write(file: pathlib.Path, told: dict) -> str:
    """Write a file of JSON; returns its path."""
    file.write_text(json.dumps(told))
    return str(file)
