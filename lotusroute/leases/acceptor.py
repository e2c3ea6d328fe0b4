"""A keeper of leases: grants a task to one asker at a time.

Owns what one keeper remembers and how it answers. It must never do I/O, read a clock, start a call of its
own, or grant what it may have granted to another before it forgot.
"""

import math
from typing import NamedTuple

from lotusroute.leases.messages import (
    FULL,
    HELD,
    LONG,
    LOW,
    SILENT,
    LeaseTerms,
    Prepare,
    Propose,
    Release,
    Reply,
)

WAITING = 8  # who are told when a holder lets go: one of them will have it, the others find it by time
TASKS = 256  # tasks that a keeper remembers: names come from the program, so that more are a defect or a liar
BLOCK = 1_024  # numbers reserved on disk at a time: written once a start and once in so many hand-overs
NUMBERS = 2**62  # a number beyond this is a liar's: a fence has to grow on after it


class AcceptorState(NamedTuple):
    """What a keeper remembers of one task; times by its own clock."""

    promised: int = 0  # the highest number that it gave its word to
    fence: int = 0  # the number of the last holder
    holder: str = ""
    until: float = -math.inf
    asked: float = -math.inf  # when another than the holder last wanted it
    waiting: tuple[str, ...] = ()  # WAITING at most, who asked last; emptied when they are told


def reply(ask: Prepare | Propose | Release, yes: bool, *rest: object, **more: object) -> Reply:
    """Answer what was asked, in the round in which it was."""
    return Reply(ask.task, ask.number, type(ask).__name__.lower(), ask.round, yes, *rest, **more)


def answer(
    kept: AcceptorState, now: float, ask: Prepare | Propose | Release, terms: LeaseTerms
) -> tuple[AcceptorState, Reply]:
    """Answer one asker about one task.

    The number of a majority of promises is the fence: each keeper promises a number once, two majorities
    share a keeper, so that two holders never have the same number and the later one's is higher (Lamport
    2001; Trencseni, Gazso and Reinhardt 2012).
    """
    other = now < kept.until and kept.holder != ask.asker

    def no(why: str, left: float = 0.0) -> Reply:
        return reply(ask, False, why, kept.promised, left)

    if isinstance(ask, Release):
        if kept.holder == ask.asker and kept.fence == ask.number:
            kept = kept._replace(until=min(kept.until, now), waiting=())
        return kept, reply(ask, True, seen=kept.promised)
    if other:
        # No promise either: it would end the holder's renewals here without anybody having the task.
        waiting = (*(name for name in kept.waiting if name != ask.asker), ask.asker)[-WAITING:]
        kept = kept._replace(asked=now, waiting=waiting)
        return kept, no(HELD, kept.until - now)
    if isinstance(ask, Prepare):
        if ask.number <= kept.promised:
            return kept, no(LOW)
        kept = kept._replace(promised=ask.number)
        return kept, reply(ask, True, seen=kept.promised)
    if ask.number < kept.promised:
        return kept, no(LOW)
    if not 0 < ask.lease <= terms.lease:
        return kept, no(LONG)
    wanted = now - kept.asked < terms.lease
    kept = kept._replace(promised=ask.number, fence=ask.number, holder=ask.asker, until=now + ask.lease)
    return kept, reply(ask, True, seen=ask.number, wanted=wanted)


class PersistBallots(NamedTuple):
    """Write to disk, before any answer that needs it, that numbers under this one may have been promised."""

    under: int


class Acceptor:
    """One keeper: all tasks, its silence after a start, and the numbers that it may promise."""

    def __init__(self, terms: LeaseTerms, now: float, floor: int) -> None:
        """Start with what disk says: no number under `floor` is promised again.

        What it promised and granted before is forgotten. Numbers start over the floor; grants are waited out
        in silence, as long as the longest of them lasts by this same clock.
        """
        self.terms = terms
        self.open_from = now + terms.lease + terms.margin
        self.floor = floor  # promised before the start, at most
        self.under = floor  # numbers under it are on disk
        self.kept: dict[
            str, AcceptorState
        ] = {}  # TASKS at most; a task whose lease has long ended makes room

    def decide(
        self, now: float, ask: Prepare | Propose | Release
    ) -> tuple[Reply, PersistBallots | None, tuple]:
        """Answer; say what has to be on disk before the next answer of that kind can be a yes, and who are to
        be told that the holder has let go."""
        if now < self.open_from:
            return reply(ask, False, SILENT, self.floor, self.open_from - now), None, ()
        if not 0 < ask.number < NUMBERS:
            return reply(ask, False, LONG, self.floor), None, ()
        if ask.number >= self.under:
            # The number has to outlive us before anybody counts on it; the asker comes again.
            return reply(ask, False, SILENT, self.floor), PersistBallots(ask.number + BLOCK), ()
        kept = self.kept.get(ask.task)
        if kept is None:
            if len(self.kept) >= TASKS and not self._make_room(now):
                return reply(ask, False, FULL, self.floor), None, ()
            kept = AcceptorState(promised=self.floor)
        after, answered = answer(kept, now, ask, self.terms)
        self.kept[ask.task] = after
        return answered, None, () if after.waiting else kept.waiting

    def reserved(self, under: int) -> None:
        """Disk has it."""
        self.under = max(self.under, under)

    def _make_room(self, now: float) -> bool:
        """Forget the task that ended longest ago; its numbers stay forbidden, by the floor."""
        task, kept = min(self.kept.items(), key=lambda item: item[1].until)
        if kept.until + self.terms.lease > now:
            return False
        self.floor = max(self.floor, kept.promised)
        del self.kept[task]
        return True
