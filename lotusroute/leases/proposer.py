"""The proposer of the lease protocol: acquires, renews and releases leases for one process.

It is a pure state machine without I/O, clock or timers. The caller passes the time in milliseconds with each
event, carries out the returned actions, and sends a `Tick` when `next_tick_in` has elapsed. A proposer never
considers itself the holder for longer than a majority of acceptors does; see `LeaseTerms.holder_duration`.
"""

import math
import random
from enum import StrEnum
from typing import NamedTuple

from lotusroute.leases.messages import (
    MAX_RETRY_BACKOFF_MS,
    MIN_RETRY_BACKOFF_MS,
    RENEW_FRACTION,
    LeaseAcquired,
    LeaseAction,
    LeaseEvent,
    LeaseLost,
    LeaseReleased,
    LeaseRequest,
    LeaseTerms,
    LossReason,
    Prepare,
    Propose,
    RejectReason,
    Release,
    ReleaseLease,
    Reply,
    ReplyReceived,
    RequestLease,
    SendRequest,
    Tick,
)

MAX_TASKS = 64  # the largest number of tasks of one proposer; the names of the tasks come from the program
NEVER_MS = -math.inf  # a time before any other


class Phase(StrEnum):
    """Which request about a task is in flight; the values are shown to operators."""

    IDLE = "idle"
    PREPARE = "prepare"
    PROPOSE = "propose"


class ProposerState(NamedTuple):
    """A proposer's state for one task; times are by its own clock."""

    requested: bool = False  # this process wants to hold the lease
    phase: Phase = Phase.IDLE
    ballot: int = 0  # the ballot of the current phase; the fencing token while the proposer holds the lease
    round: int = 0  # the round of the current phase
    phase_started_at: float = 0.0  # the holder's duration is counted from the start of the propose phase
    accepted_by: frozenset[str] = frozenset()
    rejected_by: frozenset[str] = frozenset()
    expires_at: float = NEVER_MS  # the proposer considers itself the holder until this time
    acquired_at: float = 0.0  # the time at which the proposer became the holder; unchanged by renewals
    retry_at: float = NEVER_MS  # the proposer neither prepares nor renews before this time
    highest_ballot: int = 0  # the highest ballot in the proposer's requests and the replies to them
    contended: bool = False  # an acceptor reported that another proposer requested the task

    @property
    def has_lease(self) -> bool:
        """Whether the proposer holds a lease, or held one whose expiry has not been handled yet."""
        return self.expires_at > NEVER_MS

    def holds(self, now: float) -> bool:
        """Return whether this proposer holds the lease at that time."""
        return now < self.expires_at


class Proposer:
    """The leases of one process, for all tasks.

    `name` must be different at each start of the process, because a restarted process does not hold the
    leases that it held before.
    """

    def __init__(self, name: str, terms: LeaseTerms, rng: random.Random) -> None:
        self.name = name
        self.terms = terms
        self.rng = rng
        # The state of each requested task, by the task's name. At most MAX_TASKS are kept; a released task is
        # removed.
        self.states: dict[str, ProposerState] = {}
        self.last_event_at = NEVER_MS
        self.round = 0  # the number of phases started so far, for all tasks
        self.actions: list[LeaseAction] = []

    def handle(self, now: float, event: LeaseEvent) -> list[LeaseAction]:
        """Handle one event; returns the requests to send and the leases acquired and lost, in order."""
        self.actions = []
        self._yield_if_stalled(now)
        self.last_event_at = now
        match event:
            case RequestLease(task):
                self._on_request(task, now)
            case ReleaseLease(task):
                if task in self.states:
                    self._give_up_lease(task, now, LossReason.RELEASED)
                    del self.states[task]
            case ReplyReceived(acceptor, reply):
                if reply.task in self.states and acceptor in self.terms.acceptors:
                    self._on_reply(acceptor, reply, now)
            case LeaseReleased(task):
                self._on_released(task, now)
            case Tick():
                for task in list(self.states):
                    self._check_deadlines(task, now)
        return self.actions

    def fencing_token(self, task: str, now: float, max_duration: float = 0.0) -> int:
        """Return the fencing token for an operation of at most `max_duration` ms; 0 if it must not begin.

        Such an operation ends before the lease does, unless the process stalls between this call and the
        operation. Its receiver checks the token and rejects an operation that arrives too late.
        """
        state = self.states.get(task)
        if state is None or not state.holds(now + max_duration):
            return 0
        return state.ballot

    def next_tick_in(self, now: float) -> float:
        """Return the ms until the next `Tick` is due; infinite if no lease is requested.

        Ticks are at most half the stall threshold apart. Otherwise a proposer that has to wait for longer
        than the threshold would consider itself stalled when it wakes up, and back off for a lease duration.
        If that wait exceeds the threshold too, this would repeat forever, in all waiting proposers.
        """
        if not self.states:
            return math.inf
        deadlines = [self.last_event_at + self.terms.stall_threshold / 2]
        for state in self.states.values():
            deadlines += self._deadlines(state)
        return max(0.0, min(deadlines) - now)

    def _deadlines(self, state: ProposerState) -> list[float]:
        """Return the times at which `_check_deadlines` has to act on a task."""
        deadlines = []
        if state.has_lease:
            deadlines.append(state.expires_at)
            if state.phase == Phase.IDLE:
                deadlines.append(self._renewal_due(state))
        if state.phase != Phase.IDLE:
            deadlines.append(state.phase_started_at + self.terms.request_timeout)
        elif state.requested and not state.has_lease:
            deadlines.append(state.retry_at)
        return deadlines

    def _renewal_due(self, state: ProposerState) -> float:
        """Return the time at which a lease is to be renewed."""
        return max(state.retry_at, state.expires_at - self.terms.holder_duration * (1 - RENEW_FRACTION))

    def _yield_if_stalled(self, now: float) -> None:
        """Give up all leases after a stall, so that a process that does not stall can acquire them."""
        if self.last_event_at > NEVER_MS and now - self.last_event_at > self.terms.stall_threshold:
            for task in self.states:
                self._give_up_lease(task, now, LossReason.STALLED, self.terms.lease_duration)

    def _check_deadlines(self, task: str, now: float) -> None:
        """Handle what is due at this time: expiry, the timeout of a phase, renewal, the next attempt."""
        state = self.states[task]
        if state.has_lease and not state.holds(now):
            state = self._give_up_lease(task, now, LossReason.EXPIRED)
        if state.phase != Phase.IDLE and now >= state.phase_started_at + self.terms.request_timeout:
            state = self._abandon_phase(task, state, now)
        if state.phase == Phase.IDLE and state.holds(now):
            if now >= self._renewal_due(state):
                state = self._start_phase(task, state, Phase.PROPOSE, now)
        elif state.phase == Phase.IDLE and state.requested and now >= state.retry_at:
            ballot = state.highest_ballot + 1
            state = state._replace(ballot=ballot, highest_ballot=ballot)
            state = self._start_phase(task, state, Phase.PREPARE, now)
        self.states[task] = state

    def _start_phase(self, task: str, state: ProposerState, phase: Phase, now: float) -> ProposerState:
        """Send a phase's request to all acceptors, in a new round.

        A late reply to an earlier renewal under the same ballot must not count in this round, because its
        acceptor counts the lease from that earlier renewal.
        """
        self.round += 1
        if phase == Phase.PREPARE:
            self._broadcast(Prepare(task, state.ballot, self.name, self.round))
        else:
            duration = self.terms.lease_duration
            self._broadcast(Propose(task, state.ballot, self.name, self.round, duration))
        return state._replace(
            phase=phase,
            round=self.round,
            phase_started_at=now,
            accepted_by=frozenset(),
            rejected_by=frozenset(),
            contended=False,
        )

    def _broadcast(self, request: LeaseRequest) -> None:
        self.actions += [SendRequest(acceptor, request) for acceptor in self.terms.acceptors]

    def _on_request(self, task: str, now: float) -> None:
        """Start requesting a lease; a task beyond MAX_TASKS is ignored."""
        if task in self.states or len(self.states) < MAX_TASKS:
            self.states[task] = self.states.get(task, ProposerState())._replace(requested=True)
            self._check_deadlines(task, now)

    def _on_released(self, task: str, now: float) -> None:
        """Retry soon after a release, at a random time: other waiting proposers are notified as well."""
        state = self.states.get(task)
        if state is None or state.phase != Phase.IDLE or state.holds(now):
            return
        retry_at = now + self.rng.uniform(0.0, MIN_RETRY_BACKOFF_MS)
        self.states[task] = state._replace(retry_at=min(state.retry_at, retry_at))

    def _on_reply(self, acceptor: str, reply: Reply, now: float) -> None:
        """Count a reply if it belongs to the current phase and round."""
        task = reply.task
        state = self.states[task]
        state = state._replace(highest_ballot=max(state.highest_ballot, reply.highest_ballot))
        current = (state.ballot, state.phase, state.round)
        if state.phase == Phase.IDLE or (reply.ballot, reply.kind, reply.round) != current:
            self.states[task] = state
            return
        if reply.accepted:
            contended = state.contended or reply.contended
            state = state._replace(accepted_by=state.accepted_by | {acceptor}, contended=contended)
        else:
            state = state._replace(rejected_by=state.rejected_by | {acceptor})
        if len(state.accepted_by) >= self.terms.majority:
            state = self._on_majority(task, state, now)
        elif len(state.rejected_by) > len(self.terms.acceptors) - self.terms.majority:
            remaining = reply.remaining if reply.reason == RejectReason.LEASED else 0.0
            state = self._abandon_phase(task, state, now, remaining)
        self.states[task] = state

    def _on_majority(self, task: str, state: ProposerState, now: float) -> ProposerState:
        """Start the propose phase, or hold the lease, after a majority has accepted."""
        if state.phase == Phase.PREPARE:
            # The holder counts its duration from before the proposal is sent, acceptors from its arrival.
            return self._start_phase(task, state, Phase.PROPOSE, now)
        renewed = state.holds(now)
        expires_at = state.phase_started_at + self.terms.holder_duration
        if now >= expires_at:
            return self._abandon_phase(task, state, now)
        acquired_at = state.acquired_at if renewed else now
        state = state._replace(phase=Phase.IDLE, expires_at=expires_at, acquired_at=acquired_at)
        if not renewed:
            self.actions.append(LeaseAcquired(task, state.ballot))
        elif state.contended and now - state.acquired_at >= self.terms.max_tenure:
            self.states[task] = state
            state = self._give_up_lease(task, now, LossReason.TENURE_ENDED, self.terms.lease_duration)
        return state

    def _abandon_phase(
        self, task: str, state: ProposerState, now: float, remaining: float = 0.0
    ) -> ProposerState:
        """End a phase without a majority and back off; a lease that is held stays valid until it expires.

        `remaining` is the number of ms until another holder's lease expires.
        """
        if state.phase == Phase.PROPOSE and not state.holds(now):
            # Without this release, acceptors that accepted would reject other proposers for a lease duration.
            self._broadcast(Release(task, state.ballot, self.name, state.round))
        retry_at = now + remaining + self.rng.uniform(MIN_RETRY_BACKOFF_MS, MAX_RETRY_BACKOFF_MS)
        return state._replace(phase=Phase.IDLE, retry_at=retry_at)

    def _give_up_lease(
        self, task: str, now: float, reason: LossReason, cooldown: float = 0.0
    ) -> ProposerState:
        """Release the lease or proposal on a task; stores and returns the task's new state.

        The lease is not requested again before `cooldown` ms have passed.
        """
        state = self.states[task]
        if state.has_lease:
            self.actions.append(LeaseLost(task, reason))
        if state.has_lease or state.phase == Phase.PROPOSE:
            self._broadcast(Release(task, state.ballot, self.name, state.round))
        retry_at = max(state.retry_at, now + cooldown)
        state = state._replace(phase=Phase.IDLE, expires_at=NEVER_MS, retry_at=retry_at)
        self.states[task] = state
        return state
