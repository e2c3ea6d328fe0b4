"""Lets a test step the wall clock of one Python process, as an operator or NTP steps that of a machine.

Python imports this module before any other in a process whose PYTHONPATH names this directory. The variable
WALL_CLOCK_OFFSET_FILE names a file that holds one double. Its value, in seconds, is added to every reading
of the wall clock, and a new value takes effect as soon as the test writes it. Without that variable,
WALL_CLOCK_JUMPS may be set to a seed: the clock is then stepped at random four times a second, by up to an
hour in both directions, so that any test can be run under stepped clocks. The monotonic clock and all waits
are not affected.
"""

import mmap
import os
import random
import struct
import time
from collections.abc import Callable

OFFSET_FORMAT = struct.Struct("d")
NANOSECONDS_PER_SECOND = 1_000_000_000
JUMPS_PER_SECOND = 4
MAX_JUMP_S = 3_600.0


def _shared_offset(path: str) -> Callable[[], float]:
    """Return a function that reads the offset, in seconds, that a test has written."""
    with open(path, "rb") as file:
        shared = mmap.mmap(file.fileno(), OFFSET_FORMAT.size, prot=mmap.PROT_READ)
    return lambda: float(OFFSET_FORMAT.unpack_from(shared)[0])


def _random_offset(seed: str) -> Callable[[], float]:
    """Return a function whose value, in seconds, changes at random, independently in each process."""

    def offset() -> float:
        interval = int(time.monotonic() * JUMPS_PER_SECOND)
        return random.Random(f"{seed} {os.getpid()} {interval}").uniform(-MAX_JUMP_S, MAX_JUMP_S)

    return offset


def _install(offset: Callable[[], float]) -> None:
    """Add an offset in seconds to every reading of the wall clock."""
    read_time = time.time
    read_clock = time.clock_gettime

    def clock_gettime(clock: int) -> float:
        is_wall_clock = clock == time.CLOCK_REALTIME
        return read_clock(clock) + (offset() if is_wall_clock else 0.0)

    time.time = lambda: read_time() + offset()
    time.time_ns = lambda: int(time.time() * NANOSECONDS_PER_SECOND)
    time.clock_gettime = clock_gettime
    time.clock_gettime_ns = lambda clock: int(clock_gettime(clock) * NANOSECONDS_PER_SECOND)


if "WALL_CLOCK_OFFSET_FILE" in os.environ:
    _install(_shared_offset(os.environ["WALL_CLOCK_OFFSET_FILE"]))
elif "WALL_CLOCK_JUMPS" in os.environ:
    _install(_random_offset(os.environ["WALL_CLOCK_JUMPS"]))
