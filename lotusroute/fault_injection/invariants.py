"""Judges what the rig saw: no two hold a task at once, no fence falls.

Owns what counts as a breach in what the processes logged and what was done to them, by the rig's one clock.
It must never ask a process anything, or take one's word for another.
"""

from typing import NamedTuple

from lotusroute.fault_injection.processes import INJECTOR, LogRecord

READING = 0.25  # s between a line's writing and its reading on a busy machine; seen: 0.02
TAIL = 20  # lines that a breach brings


class Breach(NamedTuple):
    """Something that must never be."""

    task: str
    at: float
    what: str
    tail: tuple[LogRecord, ...]

    def __str__(self) -> str:
        tail = "\n".join(f"  {line.time:.3f} {line.process} {line.event} {line.fields}" for line in self.tail)
        return f"{self.task} at {self.at:.3f} s: {self.what}\n{tail}"


def judge(lines: list[LogRecord]) -> list[Breach]:
    """All breaches in what was logged, in order.

    A holder ends with its own word, with its kill, or while it stands still: what stands still acts on
    nothing, and what it does when it goes on is refused by its fence. It then says that its lease is over.

    >>> def line(at, name, event, **fields):
    ...     return LogRecord(at, name, event, {"task": "t", **fields})
    >>> first = line(1.0, "a", "lease acquired", fence="3")
    >>> second = line(2.0, "b", "lease acquired", fence="4")
    >>> [str(breach).split(chr(10))[0] for breach in judge([first, second])]
    ['t at 2.000 s: b holds under 4 beside a under 3']
    >>> judge([first, line(1.9, "a", "lease lost"), second])
    []
    >>> len(judge([first, line(1.9, "injector", "stop", of="a"), second])), len(judge([second, first]))
    (0, 2)
    """
    found: list[Breach] = []
    holders: dict[str, dict[str, int]] = {}  # by task: who holds, under which fence
    highest: dict[str, int] = {}
    still: set[str] = set()  # processes that stand still
    for at, line in enumerate(lines):
        task, tail = line.fields.get("task", ""), tuple(lines[max(0, at - TAIL) : at + 1])
        if line.process == INJECTOR:
            of = line.fields.get("of", "")
            if line.event == "kill":
                still.discard(of)
                for held in holders.values():
                    held.pop(of, None)
            elif line.event == "stop":
                still.add(of)
            elif line.event == "continue":
                still.discard(of)
        elif line.event == "lease lost":
            holders.setdefault(task, {}).pop(line.process, None)
        elif line.event == "lease acquired":
            fence = int(line.fields["fence"])
            for name, under in holders.setdefault(task, {}).items():
                # Its word may only be read a little later than the next one's.
                said = any(
                    later[1:3] == (name, "lease lost")
                    and later.fields.get("task") == task
                    and later.time < line.time + READING
                    for later in lines[at:]
                )
                if name not in still and not said and name != line.process:
                    what = f"{line.process} holds under {fence} beside {name} under {under}"
                    found.append(Breach(task, line.time, what, tail))
            if fence <= highest.get(task, 0):
                what = f"{line.process} holds under {fence} after {highest[task]}"
                found.append(Breach(task, line.time, what, tail))
            highest[task] = max(fence, highest.get(task, 0))
            holders[task][line.process] = fence
    return found
