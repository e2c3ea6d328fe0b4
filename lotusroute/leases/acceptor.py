"""A keeper of leases: grants a task to one asker at a time.

Owns what one keeper remembers and how it answers. It must never do I/O, read a clock, start a call of its
own, or grant what it may have granted to another before it forgot.
"""

import math
from typing import NamedTuple

from lotusroute.leases.messages import (
    BALLOT_TOO_LOW,
    LEASE_HELD,
    NOT_READY,
    OUT_OF_RANGE,
    TASK_LIMIT,
    LeaseTerms,
    Prepare,
    Propose,
    Release,
    Reply,
)

MAX_WAITERS = 8  # who are told when a holder lets go: one of them will have it, the others find it by time
MAX_TASKS = (
    256  # tasks that a keeper remembers: names come from the program, so that more are a defect or a liar
)
BALLOT_BLOCK = (
    1_024  # numbers reserved on disk at a time: written once a start and once in so many hand-overs
)
BALLOT_LIMIT = 2**62  # a number beyond this is a liar's: a fence has to grow on after it


class AcceptorState(NamedTuple):
    """What a keeper remembers of one task; times by its own clock."""

    promised: int = 0  # the highest number that it gave its word to
    ballot: int = 0  # the number of the last holder
    holder: str = ""
    held_until: float = -math.inf
    contended_at: float = -math.inf  # when another than the holder last wanted it
    waiters: tuple[str, ...] = ()  # WAITING at most, who asked last; emptied when they are told


def make_reply(request: Prepare | Propose | Release, accepted: bool, *rest: object, **more: object) -> Reply:
    """Answer what was asked, in the round in which it was."""
    return Reply(
        request.task, request.ballot, type(request).__name__.lower(), request.round, accepted, *rest, **more
    )


def apply_request(
    state: AcceptorState, now: float, request: Prepare | Propose | Release, terms: LeaseTerms
) -> tuple[AcceptorState, Reply]:
    """Answer one asker about one task.

    The number of a majority of promises is the fence: each keeper promises a number once, two majorities
    share a keeper, so that two holders never have the same number and the later one's is higher (Lamport
    2001; Trencseni, Gazso and Reinhardt 2012).
    """
    held_by_other = now < state.held_until and state.holder != request.proposer

    def reject(reason: str, remaining: float = 0.0) -> Reply:
        return make_reply(request, False, reason, state.promised, remaining)

    if isinstance(request, Release):
        if state.holder == request.proposer and state.ballot == request.ballot:
            state = state._replace(held_until=min(state.held_until, now), waiters=())
        return state, make_reply(request, True, highest_ballot=state.promised)
    if held_by_other:
        # No promise either: it would end the holder's renewals here without anybody having the task.
        waiters = (*(name for name in state.waiters if name != request.proposer), request.proposer)[
            -MAX_WAITERS:
        ]
        state = state._replace(contended_at=now, waiters=waiters)
        return state, reject(LEASE_HELD, state.held_until - now)
    if isinstance(request, Prepare):
        if request.ballot <= state.promised:
            return state, reject(BALLOT_TOO_LOW)
        state = state._replace(promised=request.ballot)
        return state, make_reply(request, True, highest_ballot=state.promised)
    if request.ballot < state.promised:
        return state, reject(BALLOT_TOO_LOW)
    if not 0 < request.lease_duration <= terms.lease_duration:
        return state, reject(OUT_OF_RANGE)
    contended = now - state.contended_at < terms.lease_duration
    state = state._replace(
        promised=request.ballot,
        ballot=request.ballot,
        holder=request.proposer,
        held_until=now + request.lease_duration,
    )
    return state, make_reply(request, True, highest_ballot=request.ballot, contended=contended)


class PersistBallots(NamedTuple):
    """Write to disk, before any answer that needs it, that numbers under this one may have been promised."""

    persisted_below: int


class Acceptor:
    """One keeper: all tasks, its silence after a start, and the numbers that it may promise."""

    def __init__(self, terms: LeaseTerms, now: float, ballot_floor: int) -> None:
        """Start with what disk says: no number under `floor` is promised again.

        What it promised and granted before is forgotten. Numbers start over the floor; grants are waited out
        in silence, as long as the longest of them lasts by this same clock.
        """
        self.terms = terms
        self.serving_from = now + terms.lease_duration + terms.margin
        self.ballot_floor = ballot_floor  # promised before the start, at most
        self.persisted_below = ballot_floor  # numbers under it are on disk
        self.states: dict[
            str, AcceptorState
        ] = {}  # TASKS at most; a task whose lease has long ended makes room

    def handle(
        self, now: float, request: Prepare | Propose | Release
    ) -> tuple[Reply, PersistBallots | None, tuple]:
        """Answer; say what has to be on disk before the next answer of that kind can be a yes, and who are to
        be told that the holder has let go."""
        if now < self.serving_from:
            return make_reply(request, False, NOT_READY, self.ballot_floor, self.serving_from - now), None, ()
        if not 0 < request.ballot < BALLOT_LIMIT:
            return make_reply(request, False, OUT_OF_RANGE, self.ballot_floor), None, ()
        if request.ballot >= self.persisted_below:
            # The number has to outlive us before anybody counts on it; the asker comes again.
            return (
                make_reply(request, False, NOT_READY, self.ballot_floor),
                PersistBallots(request.ballot + BALLOT_BLOCK),
                (),
            )
        state = self.states.get(request.task)
        if state is None:
            if len(self.states) >= MAX_TASKS and not self._evict_expired(now):
                return make_reply(request, False, TASK_LIMIT, self.ballot_floor), None, ()
            state = AcceptorState(promised=self.ballot_floor)
        after, reply = apply_request(state, now, request, self.terms)
        self.states[request.task] = after
        return reply, None, () if after.waiters else state.waiters

    def ballots_persisted(self, persisted_below: int) -> None:
        """Disk has it."""
        self.persisted_below = max(self.persisted_below, persisted_below)

    def _evict_expired(self, now: float) -> bool:
        """Forget the task that ended longest ago; its numbers stay forbidden, by the floor."""
        task, state = min(self.states.items(), key=lambda item: item[1].held_until)
        if state.held_until + self.terms.lease_duration > now:
            return False
        self.ballot_floor = max(self.ballot_floor, state.promised)
        del self.states[task]
        return True
