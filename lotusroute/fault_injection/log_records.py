"""Records of what the processes of a fleet logged and of the faults that were injected into them."""

import time
from enum import StrEnum
from typing import NamedTuple

from lotusroute.process_control.log_fields import parse_fields

INJECTOR = "injector"  # the process of records of injected faults
LEASE_ACQUIRED = "lease acquired"  # events that processes log
LEASE_LOST = "lease lost"


class FaultKind(StrEnum):
    """The injected faults and their ends, as records and output name them."""

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
    HEAL = "heal"  # all processes run and all network faults are removed


class LogRecord(NamedTuple):
    """One line of a process's log, or one injected fault."""

    time: float  # s of time.monotonic() when it was read
    process: str
    event: str
    fields: dict[str, str]


def parse_log_line(process: str, line: str) -> LogRecord:
    """Return the record of a line read now; the event of a line without fields is the line itself."""
    fields = parse_fields(line)
    return LogRecord(time.monotonic(), process, fields.get("event", line.strip()), fields)
