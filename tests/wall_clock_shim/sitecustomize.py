"""Lets a test step the wall clock of one Python process, as an operator or NTP steps that of a machine.

Python imports this before anything else in a process whose PYTHONPATH names this folder. Where the variable
WALL_CLOCK_OFFSET_FILE names a file of one double, its value in s is added to every reading of the wall clock,
at once when the test writes it. Where WALL_CLOCK_JUMPS has a seed, the clock is stepped at random four times
a second, by up to an hour in both directions: any test can be run so. The monotonic clock and all waits are
the system's own.
"""

import mmap
import os
import random
import struct
import time
from collections.abc import Callable

OFFSET = struct.Struct("d")
NANOSECONDS = 1_000_000_000
JUMPS_PER_SECOND = 4
MAX_JUMP = 3_600.0  # s


def _shared_offset(path: str) -> Callable[[], float]:
    """Return a function that reads the offset that a test has written."""
    with open(path, "rb") as file:
        shared = mmap.mmap(file.fileno(), OFFSET.size, prot=mmap.PROT_READ)
    return lambda: OFFSET.unpack_from(shared)[0]


def _random_offset(seed: str) -> Callable[[], float]:
    """Return a function whose value changes at random, in each process in a way of its own."""

    def offset() -> float:
        interval = int(time.monotonic() * JUMPS_PER_SECOND)
        return random.Random(f"{seed} {os.getpid()} {interval}").uniform(-MAX_JUMP, MAX_JUMP)

    return offset


def _install(offset: Callable[[], float]) -> None:
    read_time, read_clock = time.time, time.clock_gettime

    def clock_gettime(clock: int) -> float:
        return read_clock(clock) + (offset() if clock == time.CLOCK_REALTIME else 0.0)

    time.time = lambda: read_time() + offset()
    time.time_ns = lambda: int(time.time() * NANOSECONDS)
    time.clock_gettime = clock_gettime
    time.clock_gettime_ns = lambda clock: int(clock_gettime(clock) * NANOSECONDS)


if "WALL_CLOCK_OFFSET_FILE" in os.environ:
    _install(_shared_offset(os.environ["WALL_CLOCK_OFFSET_FILE"]))
elif "WALL_CLOCK_JUMPS" in os.environ:
    _install(_random_offset(os.environ["WALL_CLOCK_JUMPS"]))
