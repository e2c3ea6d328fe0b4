"""Checks the lease invariants against the log records of a fleet and the faults injected into it.

At most one process holds the lease of a task at any time, and each holder has a higher fencing token than the
holder before it. Times are in seconds, by the monotonic clock of the process that reads the logs.
"""

from typing import NamedTuple

from lotusroute.errors import LotusrouteError
from lotusroute.fault_injection.log_records import INJECTOR, LEASE_ACQUIRED, LEASE_LOST, FaultKind, LogRecord

# Longest time from the write to the read of a record. On a busy machine, delays of 0.02 s occur. If the limit
# is too small, records that were read in the wrong order are reported as violations. Two processes that both
# hold the lease for less than this time are not reported.
MAX_READ_DELAY_S = 0.25
CONTEXT_RECORDS = 20  # number of records before a violation that are shown with it


class InvariantViolationError(LotusrouteError):
    """A model checker reached a state that violates an invariant; the message describes it."""


class Violation(NamedTuple):
    """A violation of an invariant, found in log records."""

    task: str
    time: float
    description: str
    context: tuple[LogRecord, ...]  # the records up to and including the one that shows the violation

    def __str__(self) -> str:
        lines = [f"{self.task} at {self.time:.3f} s: {self.description}"]
        lines.extend(
            f"  {record.time:.3f} {record.process} {record.event} {record.fields}" for record in self.context
        )
        return "\n".join(lines)


def find_violations(records: list[LogRecord]) -> list[Violation]:
    """Return all violations, in the order of the records.

    A process stops being a holder when it logs that it lost the lease or when it is killed. A paused process
    does not count as a holder: it cannot act during the pause, and what it sends after the pause is rejected
    because its fencing token is too low.

    >>> def record(time, process, event, **fields):
    ...     return LogRecord(time, process, event, {"task": "t", **fields})
    >>> first = record(1.0, "a", "lease acquired", fencing_token="3")
    >>> second = record(2.0, "b", "lease acquired", fencing_token="4")
    >>> [str(violation).split(chr(10))[0] for violation in find_violations([first, second])]
    ['t at 2.000 s: b (fencing token 4) and a (3) both hold the lease']
    >>> find_violations([first, record(1.9, "a", "lease lost"), second])
    []
    >>> paused = record(1.9, "injector", "pause", target="a")
    >>> len(find_violations([first, paused, second])), len(find_violations([second, first]))
    (0, 2)
    """
    checker = _LeaseChecker(records)
    for index in range(len(records)):
        checker.check(index)
    return checker.violations


class _LeaseChecker:
    """Tracks the lease holders record by record and collects the violations."""

    def __init__(self, records: list[LogRecord]) -> None:
        self.records = records
        self.violations: list[Violation] = []
        self.holders: dict[str, dict[str, int]] = {}  # fencing tokens by task and process
        self.highest_tokens: dict[str, int] = {}  # highest fencing token of each task
        self.paused: set[str] = set()  # names of the paused processes

    def check(self, index: int) -> None:
        """Check the record at an index; all earlier records must have been checked before."""
        record = self.records[index]
        task = record.fields.get("task", "")
        if record.process == INJECTOR:
            self._apply_fault(record)
        elif record.event == LEASE_LOST:
            self.holders.setdefault(task, {}).pop(record.process, None)
        elif record.event == LEASE_ACQUIRED:
            self._check_acquired(index, task)

    def _apply_fault(self, fault: LogRecord) -> None:
        process = fault.fields.get("target", "")
        if fault.event == FaultKind.KILL:
            self.paused.discard(process)
            for tokens in self.holders.values():
                tokens.pop(process, None)
        elif fault.event == FaultKind.PAUSE:
            self.paused.add(process)
        elif fault.event == FaultKind.RESUME:
            self.paused.discard(process)

    def _check_acquired(self, index: int, task: str) -> None:
        process = self.records[index].process
        token = int(self.records[index].fields["fencing_token"])
        tokens = self.holders.setdefault(task, {})
        for other, other_token in tokens.items():
            ignored = other == process or other in self.paused or self._loses_lease_soon(other, task, index)
            if not ignored:
                self._report(
                    index,
                    task,
                    f"{process} (fencing token {token}) and {other} ({other_token}) both hold the lease",
                )
        highest = self.highest_tokens.get(task, 0)
        if token <= highest:
            self._report(index, task, f"{process} has fencing token {token}, expected one above {highest}")
        self.highest_tokens[task] = max(token, highest)
        tokens[process] = token

    def _loses_lease_soon(self, process: str, task: str, index: int) -> bool:
        """Return whether the process logged the loss of its lease shortly after the record at `index`.

        Logs of different processes are read independently, so the order of close records is not reliable.
        """
        deadline = self.records[index].time + MAX_READ_DELAY_S
        return any(
            (record.process, record.event) == (process, LEASE_LOST)
            and record.fields.get("task") == task
            and record.time < deadline
            for record in self.records[index:]
        )

    def _report(self, index: int, task: str, description: str) -> None:
        context = tuple(self.records[max(0, index - CONTEXT_RECORDS) : index + 1])
        self.violations.append(Violation(task, self.records[index].time, description, context))
