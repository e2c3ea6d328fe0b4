"""Records of the log lines of a fleet's processes and of the faults injected into them."""

import time
from enum import StrEnum
from typing import NamedTuple

from lotusroute.process_control.log_fields import parse_fields

INJECTOR = "injector"  # process name in the records of injected faults
# Names of the events that processes log about a lease.
LEASE_ACQUIRED = "lease acquired"
LEASE_LOST = "lease lost"


class FaultKind(StrEnum):
    """The kinds of injected faults and of their ends; the values appear in records and in the output."""

    KILL = "kill"
    TERMINATE = "terminate"
    PAUSE = "pause"
    RESUME = "resume"  # a paused process continues
    PARTITION = "partition"
    BLOCK = "block"
    RESET = "reset"
    DELAY = "delay"
    THROTTLE = "throttle"
    KILL_ACCEPTORS = "kill acceptors"
    HEAL = "heal"  # all processes run again and all network faults are removed


class LogRecord(NamedTuple):
    """One line of the log of a process, or one injected fault."""

    time: float  # time at which the line was read or the fault injected, in s of time.monotonic()
    process: str
    event: str
    fields: dict[str, str]


def parse_log_line(process: str, line: str) -> LogRecord:
    """Return the record of a line that was just read; without an event field, the event is the whole line."""
    fields = parse_fields(line)
    return LogRecord(time.monotonic(), process, fields.get("event", line.strip()), fields)
