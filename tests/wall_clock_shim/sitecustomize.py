"""Lets a test step the wall clock of one Python process, as an operator or NTP steps that of a machine.

Python imports this before anything else in a process whose PYTHONPATH names this folder. Where
WALL_CLOCK_OFFSET_FILE names a file of one double, its value in s is added to every reading of the wall clock,
at once when the test writes it. The monotonic clock and all waits are the system's own.
"""

import mmap
import os
import struct
import time

OFFSET = struct.Struct("d")
NANOSECONDS = 1_000_000_000


def _install(path: str) -> None:
    with open(path, "rb") as file:
        shared = mmap.mmap(file.fileno(), OFFSET.size, prot=mmap.PROT_READ)
    read_time, read_clock = time.time, time.clock_gettime

    def offset() -> float:
        return OFFSET.unpack_from(shared)[0]

    def clock_gettime(clock: int) -> float:
        return read_clock(clock) + (offset() if clock == time.CLOCK_REALTIME else 0.0)

    time.time = lambda: read_time() + offset()
    time.time_ns = lambda: int(time.time() * NANOSECONDS)
    time.clock_gettime = clock_gettime
    time.clock_gettime_ns = lambda clock: int(clock_gettime(clock) * NANOSECONDS)


if "WALL_CLOCK_OFFSET_FILE" in os.environ:
    _install(os.environ["WALL_CLOCK_OFFSET_FILE"])
