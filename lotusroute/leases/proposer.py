"""One that asks for leases: prepares, proposes, renews, lets go.

Owns what one balancer knows of the tasks that it would do. It must never do I/O, read a clock, think that it
holds a task for longer than a majority of keepers does, or take part in a decision about a flow.
"""

import math
import random
from typing import NamedTuple

from lotusroute.leases.messages import (
    LEASE_HELD,
    RENEW_FRACTION,
    RETRY_BACKOFF,
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
MAX_TASKS = 64  # tasks that one asks for: names come from the program


class ProposerState(NamedTuple):
    """What an asker knows of one task; times by its own clock."""

    requested: bool = False
    phase: str = IDLE
    ballot: int = 0  # of the step in hand, and the fence while it holds
    round: int = 0  # of the step in hand
    phase_started_at: float = 0.0  # when the step in hand was begun: a lease counts from there
    accepted_by: frozenset[str] = frozenset()
    rejected_by: frozenset[str] = frozenset()
    held_until: float = -math.inf  # thinks itself the holder before this
    held_since: float = 0.0  # holder since
    retry_at: float = -math.inf  # asks again from then on
    highest_ballot: int = 0  # the highest number that it heard of
    contended: bool = False  # another waits

    def holds(self, now: float) -> bool:
        """Whether the task is this asker's."""
        return now < self.held_until


class Proposer:
    """One balancer's claims on all tasks.

    `name` has to be new with each start: what a process that died holds is not its successor's.
    """

    def __init__(self, name: str, terms: LeaseTerms, rng: random.Random) -> None:
        self.name, self.terms, self.rng = name, terms, rng
        self.states: dict[str, ProposerState] = {}  # TASKS at most; a task leaves when it is wanted no more
        self.last_event_at = -math.inf  # at the clock, last
        self.round = 0  # of all steps begun
        self.actions: list = []

    def handle(
        self, now: float, event: RequestLease | ReleaseLease | ReplyReceived | LeaseReleased | Tick
    ) -> list[SendRequest | LeaseAcquired | LeaseLost]:
        """Take what happened and return what is to be said and what has changed."""
        self.actions = []
        stalled = now - self.last_event_at > self.terms.stall_threshold and self.last_event_at > -math.inf
        self.last_event_at = now
        if stalled:
            # Whoever stood still for so long serves no fleet: the task is better off elsewhere.
            for task in self.states:
                self._give_up_lease(task, now, "stalled", self.terms.lease_duration)
        if isinstance(event, RequestLease):
            if event.task in self.states or len(self.states) < MAX_TASKS:
                self.states[event.task] = self.states.get(event.task, ProposerState())._replace(
                    requested=True
                )
                self._check_deadlines(event.task, now)
        elif isinstance(event, ReleaseLease):
            if event.task in self.states:
                self._give_up_lease(event.task, now, "released")
                del self.states[event.task]
        elif isinstance(event, ReplyReceived):
            if event.reply.task in self.states and event.acceptor in self.terms.acceptors:
                self._on_reply(event.acceptor, event.reply, now)
        elif isinstance(event, LeaseReleased):
            state = self.states.get(event.task)
            if state is not None and state.phase == IDLE and not state.holds(now):
                # Drawn, for others were told too: who asks first has it.
                retry_at = now + self.rng.uniform(0.0, RETRY_BACKOFF[0])
                self.states[event.task] = state._replace(retry_at=min(state.retry_at, retry_at))
        else:
            for task in list(self.states):
                self._check_deadlines(task, now)
        return self.actions

    def fencing_token(self, task: str, now: float, max_duration: float = 0.0) -> int:
        """The fence for an act that takes `longest` ms at most by this clock; 0 where it must not begin.

        It would go on after the lease's end if it began later. Between this look and the act a process may
        stand still; that the act is then refused is the target's part.
        """
        state = self.states.get(task)
        return state.ballot if state is not None and state.holds(now + max_duration) else 0

    def next_tick_in(self, now: float) -> float:
        """Ms until the next `Tick` is due; infinite where nothing is wanted.

        Twice within a stall's time, or quiet is taken for one: three processes of which each was told to come
        back after a lease of a second thought themselves stalled when they did, and rested, for good.
        """
        times = [self.last_event_at + self.terms.stall_threshold / 2 if self.states else math.inf]
        for state in self.states.values():
            if state.held_until > -math.inf:
                times += (
                    [state.held_until, self._renewal_due(state)]
                    if state.phase == IDLE
                    else [state.held_until]
                )
            if state.phase != IDLE:
                times.append(state.phase_started_at + self.terms.request_timeout)
            elif state.requested and state.held_until == -math.inf:
                times.append(state.retry_at)
        return max(0.0, min(times) - now)

    # The steps

    def _broadcast(self, request: Prepare | Propose | Release) -> None:
        self.actions += [SendRequest(acceptor, request) for acceptor in self.terms.acceptors]

    def _start_phase(self, task: str, state: ProposerState, phase: str, now: float) -> ProposerState:
        """Ask all keepers. An answer from an earlier renewal under the same number must not count in this
        round: its keeper lets go a lease after that one."""
        self.round += 1
        if phase == PREPARE:
            self._broadcast(Prepare(task, state.ballot, self.name, self.round))
        else:
            self._broadcast(Propose(task, state.ballot, self.name, self.round, self.terms.lease_duration))
        return state._replace(
            phase=phase,
            round=self.round,
            phase_started_at=now,
            accepted_by=frozenset(),
            rejected_by=frozenset(),
            contended=False,
        )

    def _renewal_due(self, state: ProposerState) -> float:
        return max(state.retry_at, state.held_until - self.terms.holder_duration * (1 - RENEW_FRACTION))

    def _check_deadlines(self, task: str, now: float) -> None:
        """What time alone brings: an end, a step given up, a renewal, the next try."""
        state, terms = self.states[task], self.terms
        if state.held_until > -math.inf and not state.holds(now):
            state = self._give_up_lease(task, now, "expired")
        if state.phase != IDLE and now >= state.phase_started_at + terms.request_timeout:
            state = self._abandon_phase(task, state, now)
        if state.phase == IDLE and state.holds(now):
            if now >= self._renewal_due(state):
                state = self._start_phase(task, state, PROPOSE, now)
        elif state.phase == IDLE and state.requested and now >= state.retry_at:
            ballot = state.highest_ballot + 1
            state = self._start_phase(
                task, state._replace(ballot=ballot, highest_ballot=ballot), PREPARE, now
            )
        self.states[task] = state

    def _on_reply(self, acceptor: str, reply: Reply, now: float) -> None:
        task, terms = reply.task, self.terms
        state = self.states[task]
        state = state._replace(highest_ballot=max(state.highest_ballot, reply.highest_ballot))
        if state.phase == IDLE or (reply.ballot, reply.kind, reply.round) != (
            state.ballot,
            state.phase,
            state.round,
        ):
            self.states[task] = state
            return
        if reply.accepted:
            state = state._replace(
                accepted_by=state.accepted_by | {acceptor}, contended=state.contended or reply.contended
            )
        else:
            state = state._replace(rejected_by=state.rejected_by | {acceptor})
        if len(state.accepted_by) >= terms.majority:
            state = self._on_majority(task, state, now)
        elif len(state.rejected_by) > len(terms.acceptors) - terms.majority:
            state = self._abandon_phase(
                task, state, now, reply.remaining if reply.reason == LEASE_HELD else 0.0
            )
        self.states[task] = state

    def _on_majority(self, task: str, state: ProposerState, now: float) -> ProposerState:
        terms = self.terms
        if state.phase == PREPARE:
            # The lease counts from here, before the proposal leaves: keepers count from when it comes.
            return self._start_phase(task, state, PROPOSE, now)
        renewed, held_until = state.holds(now), state.phase_started_at + terms.holder_duration
        if now >= held_until:
            return self._abandon_phase(task, state, now)
        state = state._replace(
            phase=IDLE, held_until=held_until, held_since=state.held_since if renewed else now
        )
        if not renewed:
            self.actions.append(LeaseAcquired(task, state.ballot))
        elif state.contended and now - state.held_since >= terms.max_tenure:
            self.states[task] = state
            state = self._give_up_lease(task, now, "tenure ended", terms.lease_duration)
        return state

    def _abandon_phase(
        self, task: str, state: ProposerState, now: float, remaining: float = 0.0
    ) -> ProposerState:
        """The step in hand came to nothing; what it holds from before goes on to its end."""
        if state.phase == PROPOSE and not state.holds(now):
            # Those that said yes would keep all others out for a whole lease.
            self._broadcast(Release(task, state.ballot, self.name, state.round))
        return state._replace(phase=IDLE, retry_at=now + remaining + self.rng.uniform(*RETRY_BACKOFF))

    def _give_up_lease(self, task: str, now: float, reason: str, cooldown: float = 0.0) -> ProposerState:
        """Hold the task no longer, and ask for it again after a rest at the soonest."""
        state = self.states[task]
        if state.held_until > -math.inf:
            self.actions.append(LeaseLost(task, reason))
        if state.held_until > -math.inf or state.phase == PROPOSE:
            self._broadcast(Release(task, state.ballot, self.name, state.round))
        state = state._replace(phase=IDLE, held_until=-math.inf, retry_at=max(state.retry_at, now + cooldown))
        self.states[task] = state
        return state
