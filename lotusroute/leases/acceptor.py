"""The acceptor of the lease protocol: grants each task to one proposer at a time.

It is a pure state machine without I/O, clock or timers. The caller passes the time in milliseconds, sends
the reply and persists ballots as the decision says. Grants and promises are kept in memory only. After a
restart, an acceptor therefore grants nothing until every lease that it may have granted has expired, and
promises no ballot up to the persisted one.
"""

import math
from typing import NamedTuple

from lotusroute.leases.messages import (
    LeaseRequest,
    LeaseTerms,
    Prepare,
    Propose,
    RejectReason,
    Release,
    Reply,
)

# The largest number of waiting proposers that are notified of a release. One of them acquires the lease; all
# others retry on their timers.
MAX_WAITERS = 8
# The names of the tasks come from the program, which uses only a few. More tasks than this indicate a defect
# or a malicious peer.
MAX_TASKS = 256
# Ballots reserved by one write to disk. An acceptor writes once at its start, and then only once for this
# many changes of holder if each takes one ballot.
BALLOT_BLOCK = 1_024
# Ballots from this one on come from a malicious or defective peer. They are rejected, so that fencing tokens
# can always grow.
BALLOT_LIMIT = 2**62


class AcceptorState(NamedTuple):
    """An acceptor's state for one task; times are by its own clock."""

    promised_ballot: int = 0  # the highest promised ballot
    ballot: int = 0  # the ballot under which the last holder was granted the lease
    holder: str = ""  # the last proposer that was granted the lease; empty if none was
    expires_at: float = -math.inf
    contended_at: float = -math.inf  # when a proposer other than the holder last requested the lease
    waiters: tuple[str, ...] = ()  # the last MAX_WAITERS rejected proposers; cleared by their notification


class PersistBallots(NamedTuple):
    """An instruction to persist that every ballot below `below` may have been promised."""

    below: int


class AcceptorDecision(NamedTuple):
    """The reply to a request, and what the caller has to do besides sending it."""

    reply: Reply
    persist: PersistBallots | None = None
    notify: tuple[str, ...] = ()  # waiting proposers to notify that the lease was released


class Acceptor:
    """The acceptor of one process, for all tasks."""

    def __init__(self, terms: LeaseTerms, now: float, ballot_floor: int) -> None:
        """Start with the persisted ballot as `ballot_floor`: no ballot up to it is promised again.

        The promises and grants of an earlier run are lost. New promises are of ballots above the floor. The
        acceptor serves only after the longest lease that it may have granted has expired by this same clock.
        """
        self.terms = terms
        self.serving_from = now + terms.lease_duration + terms.margin
        self.ballot_floor = ballot_floor  # the highest ballot of an earlier run or of an evicted task
        self.persisted_below = ballot_floor  # ballots below this one may be promised without another write
        # The state of each task, by the task's name. At most MAX_TASKS are kept; expired ones are evicted.
        self.states: dict[str, AcceptorState] = {}

    def handle(self, now: float, request: LeaseRequest) -> AcceptorDecision:
        """Handle one request.

        If the ballot has to be persisted first, the request is rejected and the proposer retries later.
        """
        rejection = self._reject_inadmissible(now, request)
        if rejection is not None:
            return rejection
        before = self.states.get(request.task)
        if before is None:
            if len(self.states) >= MAX_TASKS and not self._evict_expired(now):
                reply = reject(request, RejectReason.TASK_LIMIT, highest_ballot=self.ballot_floor)
                return AcceptorDecision(reply)
            before = AcceptorState(promised_ballot=self.ballot_floor)
        after, reply = apply_request(before, now, request, self.terms)
        self.states[request.task] = after
        released = before.waiters and not after.waiters
        return AcceptorDecision(reply, notify=before.waiters if released else ())

    def ballots_persisted(self, below: int) -> None:
        """Record that `PersistBallots(below)` has been carried out."""
        self.persisted_below = max(self.persisted_below, below)

    def _reject_inadmissible(self, now: float, request: LeaseRequest) -> AcceptorDecision | None:
        """Return the rejection of a request that must not be applied to its task; None if admissible."""
        floor = self.ballot_floor
        if now < self.serving_from:
            remaining = self.serving_from - now
            reply = reject(request, RejectReason.NOT_READY, highest_ballot=floor, remaining=remaining)
            return AcceptorDecision(reply)
        if not 0 < request.ballot < BALLOT_LIMIT:
            return AcceptorDecision(reject(request, RejectReason.OUT_OF_RANGE, highest_ballot=floor))
        if request.ballot >= self.persisted_below:
            # If a promise were not persisted, the same ballot could be promised a second time after a crash.
            reply = reject(request, RejectReason.NOT_READY, highest_ballot=floor)
            return AcceptorDecision(reply, PersistBallots(request.ballot + BALLOT_BLOCK))
        return None

    def _evict_expired(self, now: float) -> bool:
        """Evict the task whose lease expired first, and return whether that was possible.

        The lease must have expired at least a lease duration ago. The ballot floor is raised to the task's
        promised ballot, so that none of the task's ballots is promised again.
        """
        task, state = min(self.states.items(), key=lambda item: item[1].expires_at)
        if state.expires_at + self.terms.lease_duration > now:
            return False
        self.ballot_floor = max(self.ballot_floor, state.promised_ballot)
        del self.states[task]
        return True


class AppliedRequest(NamedTuple):
    """The result of a request about one task."""

    state: AcceptorState
    reply: Reply


def apply_request(
    state: AcceptorState, now: float, request: LeaseRequest, terms: LeaseTerms
) -> AppliedRequest:
    """Apply a request about one task; returns the task's new state and the reply.

    The ballot that a majority has promised is the fencing token. Each acceptor promises a ballot only once,
    and any two majorities have an acceptor in common. Therefore no two holders have the same token, and a
    later holder has a higher one (Lamport 2001; Trencseni, Gazso and Reinhardt 2012).
    """
    match request:
        case Release():
            return _apply_release(state, now, request)
        case _ if now < state.expires_at and state.holder != request.proposer:
            # The request's ballot is not promised either: after a promise, this acceptor would reject the
            # holder's renewals although no other proposer gets the lease, and the task would have no holder
            # once the lease expires.
            return _reject_while_leased(state, now, request)
        case Prepare():
            return _apply_prepare(state, request)
        case Propose():
            return _apply_propose(state, now, request, terms)


def _apply_release(state: AcceptorState, now: float, request: Release) -> AppliedRequest:
    if state.holder == request.proposer and state.ballot == request.ballot:
        state = state._replace(expires_at=min(state.expires_at, now), waiters=())
    return AppliedRequest(state, accept(request, highest_ballot=state.promised_ballot))


def _reject_while_leased(state: AcceptorState, now: float, request: Prepare | Propose) -> AppliedRequest:
    """Reject a request of a proposer other than the holder, and add that proposer to the waiters."""
    other_waiters = [name for name in state.waiters if name != request.proposer]
    waiters = (*other_waiters, request.proposer)[-MAX_WAITERS:]
    state = state._replace(contended_at=now, waiters=waiters)
    remaining = state.expires_at - now
    reply = reject(request, RejectReason.LEASED, highest_ballot=state.promised_ballot, remaining=remaining)
    return AppliedRequest(state, reply)


def _apply_prepare(state: AcceptorState, request: Prepare) -> AppliedRequest:
    if request.ballot <= state.promised_ballot:
        reply = reject(request, RejectReason.BALLOT_TOO_LOW, highest_ballot=state.promised_ballot)
        return AppliedRequest(state, reply)
    state = state._replace(promised_ballot=request.ballot)
    return AppliedRequest(state, accept(request, highest_ballot=state.promised_ballot))


def _apply_propose(state: AcceptorState, now: float, request: Propose, terms: LeaseTerms) -> AppliedRequest:
    if request.ballot < state.promised_ballot:
        reply = reject(request, RejectReason.BALLOT_TOO_LOW, highest_ballot=state.promised_ballot)
        return AppliedRequest(state, reply)
    if not 0 < request.lease_duration <= terms.lease_duration:
        reply = reject(request, RejectReason.OUT_OF_RANGE, highest_ballot=state.promised_ballot)
        return AppliedRequest(state, reply)
    contended = now - state.contended_at < terms.lease_duration
    state = state._replace(
        promised_ballot=request.ballot,
        ballot=request.ballot,
        holder=request.proposer,
        expires_at=now + request.lease_duration,
    )
    reply = accept(request, highest_ballot=request.ballot, contended=contended)
    return AppliedRequest(state, reply)


def accept(request: LeaseRequest, *, highest_ballot: int, contended: bool = False) -> Reply:
    """Build the reply that accepts a request."""
    identity = (request.task, request.ballot, request.kind, request.round)
    return Reply(*identity, accepted=True, highest_ballot=highest_ballot, contended=contended)


def reject(
    request: LeaseRequest, reason: RejectReason, *, highest_ballot: int, remaining: float = 0.0
) -> Reply:
    """Build the reply that rejects a request."""
    identity = (request.task, request.ballot, request.kind, request.round)
    return Reply(*identity, accepted=False, reason=reason, highest_ballot=highest_ballot, remaining=remaining)
