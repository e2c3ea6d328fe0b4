"""One that asks for leases: prepares, proposes, renews, lets go.

Owns what one balancer knows of the tasks that it would do. It must never do I/O, read a clock, think that it
holds a task for longer than a majority of keepers does, or take part in a decision about a flow.
"""

import math
import random
from typing import NamedTuple

from lotusroute.leases.messages import (
    HELD,
    PAUSE,
    RENEW,
    LeaseAcquired,
    LeaseLost,
    LeaseReleased,
    LeaseTerms,
    Prepare,
    Propose,
    Release,
    ReleaseLease,
    Reply,
    ReplyReceived,
    RequestLease,
    SendRequest,
    Tick,
)

IDLE, PREPARE, PROPOSE = "idle", "prepare", "propose"
TASKS = 64  # tasks that one asks for: names come from the program


class ProposerState(NamedTuple):
    """What an asker knows of one task; times by its own clock."""

    wants: bool = False
    step: str = IDLE
    number: int = 0  # of the step in hand, and the fence while it holds
    round: int = 0  # of the step in hand
    began: float = 0.0  # when the step in hand was begun: a lease counts from there
    yes: frozenset[str] = frozenset()
    no: frozenset[str] = frozenset()
    until: float = -math.inf  # thinks itself the holder before this
    since: float = 0.0  # holder since
    at: float = -math.inf  # asks again from then on
    seen: int = 0  # the highest number that it heard of
    wanted: bool = False  # another waits

    def holds(self, now: float) -> bool:
        """Whether the task is this asker's."""
        return now < self.until


class Proposer:
    """One balancer's claims on all tasks.

    `name` has to be new with each start: what a process that died holds is not its successor's.
    """

    def __init__(self, name: str, terms: LeaseTerms, chance: random.Random) -> None:
        self.name, self.terms, self.chance = name, terms, chance
        self.claims: dict[str, ProposerState] = {}  # TASKS at most; a task leaves when it is wanted no more
        self.looked = -math.inf  # at the clock, last
        self.round = 0  # of all steps begun
        self.out: list = []

    def decide(
        self, now: float, event: RequestLease | ReleaseLease | ReplyReceived | LeaseReleased | Tick
    ) -> list[SendRequest | LeaseAcquired | LeaseLost]:
        """Take what happened and return what is to be said and what has changed."""
        self.out = []
        stalled = now - self.looked > self.terms.stall and self.looked > -math.inf
        self.looked = now
        if stalled:
            # Whoever stood still for so long serves no fleet: the task is better off elsewhere.
            for task in self.claims:
                self._let_go(task, now, "stalled", self.terms.lease)
        if isinstance(event, RequestLease):
            if event.task in self.claims or len(self.claims) < TASKS:
                self.claims[event.task] = self.claims.get(event.task, ProposerState())._replace(wants=True)
                self._look(event.task, now)
        elif isinstance(event, ReleaseLease):
            if event.task in self.claims:
                self._let_go(event.task, now, "released")
                del self.claims[event.task]
        elif isinstance(event, ReplyReceived):
            if event.reply.task in self.claims and event.keeper in self.terms.keepers:
                self._told(event.keeper, event.reply, now)
        elif isinstance(event, LeaseReleased):
            claim = self.claims.get(event.task)
            if claim is not None and claim.step == IDLE and not claim.holds(now):
                # Drawn, for others were told too: who asks first has it.
                soon = now + self.chance.uniform(0.0, PAUSE[0])
                self.claims[event.task] = claim._replace(at=min(claim.at, soon))
        else:
            for task in list(self.claims):
                self._look(task, now)
        return self.out

    def fence(self, task: str, now: float, longest: float = 0.0) -> int:
        """The fence for an act that takes `longest` ms at most by this clock; 0 where it must not begin.

        It would go on after the lease's end if it began later. Between this look and the act a process may
        stand still; that the act is then refused is the target's part.
        """
        claim = self.claims.get(task)
        return claim.number if claim is not None and claim.holds(now + longest) else 0

    def due(self, now: float) -> float:
        """Ms until the next `Tick` is due; infinite where nothing is wanted.

        Twice within a stall's time, or quiet is taken for one: three processes of which each was told to come
        back after a lease of a second thought themselves stalled when they did, and rested, for good.
        """
        times = [self.looked + self.terms.stall / 2 if self.claims else math.inf]
        for claim in self.claims.values():
            if claim.until > -math.inf:
                times += [claim.until, self._renewal(claim)] if claim.step == IDLE else [claim.until]
            if claim.step != IDLE:
                times.append(claim.began + self.terms.patience)
            elif claim.wants and claim.until == -math.inf:
                times.append(claim.at)
        return max(0.0, min(times) - now)

    # The steps

    def _say(self, words: Prepare | Propose | Release) -> None:
        self.out += [SendRequest(keeper, words) for keeper in self.terms.keepers]

    def _begin(self, task: str, claim: ProposerState, step: str, now: float) -> ProposerState:
        """Ask all keepers. An answer from an earlier renewal under the same number must not count in this
        round: its keeper lets go a lease after that one."""
        self.round += 1
        if step == PREPARE:
            self._say(Prepare(task, claim.number, self.name, self.round))
        else:
            self._say(Propose(task, claim.number, self.name, self.round, self.terms.lease))
        return claim._replace(
            step=step, round=self.round, began=now, yes=frozenset(), no=frozenset(), wanted=False
        )

    def _renewal(self, claim: ProposerState) -> float:
        return max(claim.at, claim.until - self.terms.held * (1 - RENEW))

    def _look(self, task: str, now: float) -> None:
        """What time alone brings: an end, a step given up, a renewal, the next try."""
        claim, terms = self.claims[task], self.terms
        if claim.until > -math.inf and not claim.holds(now):
            claim = self._let_go(task, now, "expired")
        if claim.step != IDLE and now >= claim.began + terms.patience:
            claim = self._give_up(task, claim, now)
        if claim.step == IDLE and claim.holds(now):
            if now >= self._renewal(claim):
                claim = self._begin(task, claim, PROPOSE, now)
        elif claim.step == IDLE and claim.wants and now >= claim.at:
            number = claim.seen + 1
            claim = self._begin(task, claim._replace(number=number, seen=number), PREPARE, now)
        self.claims[task] = claim

    def _told(self, keeper: str, reply: Reply, now: float) -> None:
        task, terms = reply.task, self.terms
        claim = self.claims[task]
        claim = claim._replace(seen=max(claim.seen, reply.seen))
        if claim.step == IDLE or (reply.number, reply.step, reply.round) != (
            claim.number,
            claim.step,
            claim.round,
        ):
            self.claims[task] = claim
            return
        if reply.yes:
            claim = claim._replace(yes=claim.yes | {keeper}, wanted=claim.wanted or reply.wanted)
        else:
            claim = claim._replace(no=claim.no | {keeper})
        if len(claim.yes) >= terms.majority:
            claim = self._agreed(task, claim, now)
        elif len(claim.no) > len(terms.keepers) - terms.majority:
            claim = self._give_up(task, claim, now, reply.left if reply.why == HELD else 0.0)
        self.claims[task] = claim

    def _agreed(self, task: str, claim: ProposerState, now: float) -> ProposerState:
        terms = self.terms
        if claim.step == PREPARE:
            # The lease counts from here, before the proposal leaves: keepers count from when it comes.
            return self._begin(task, claim, PROPOSE, now)
        held, until = claim.holds(now), claim.began + terms.held
        if now >= until:
            return self._give_up(task, claim, now)
        claim = claim._replace(step=IDLE, until=until, since=claim.since if held else now)
        if not held:
            self.out.append(LeaseAcquired(task, claim.number))
        elif claim.wanted and now - claim.since >= terms.term:
            self.claims[task] = claim
            claim = self._let_go(task, now, "tenure ended", terms.lease)
        return claim

    def _give_up(self, task: str, claim: ProposerState, now: float, left: float = 0.0) -> ProposerState:
        """The step in hand came to nothing; what it holds from before goes on to its end."""
        if claim.step == PROPOSE and not claim.holds(now):
            # Those that said yes would keep all others out for a whole lease.
            self._say(Release(task, claim.number, self.name, claim.round))
        return claim._replace(step=IDLE, at=now + left + self.chance.uniform(*PAUSE))

    def _let_go(self, task: str, now: float, why: str, rest: float = 0.0) -> ProposerState:
        """Hold the task no longer, and ask for it again after a rest at the soonest."""
        claim = self.claims[task]
        if claim.until > -math.inf:
            self.out.append(LeaseLost(task, why))
        if claim.until > -math.inf or claim.step == PROPOSE:
            self._say(Release(task, claim.number, self.name, claim.round))
        claim = claim._replace(step=IDLE, until=-math.inf, at=max(claim.at, now + rest))
        self.claims[task] = claim
        return claim
