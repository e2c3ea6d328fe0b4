"""Model of the lease protocol for the model checker: proposers and acceptors, a network and clocks.

Proposers and acceptors are the program's own state machines, which do no I/O. Messages are delayed, lost,
duplicated and reordered; processes crash and stall, and their clocks drift. Two invariants are checked in
each state: at most one proposer holds the lease, and fencing tokens only increase.

Real time advances in steps. The clocks of acceptors are fast and those of proposers slow, both by the maximum
drift, which is the worst case for a lease. A proposer reads its clock only when it is ticked or receives a
message; at all other times it is stalled, and does not notice the expiry of its lease. Every promised ballot
is persisted.
"""

import random
from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from lotusroute.fault_injection.invariants import InvariantViolationError
from lotusroute.leases.acceptor import BALLOT_LIMIT, Acceptor, AcceptorState
from lotusroute.leases.messages import (
    LeaseAcquired,
    LeaseAction,
    LeaseReleased,
    LeaseRequest,
    LeaseTerms,
    ReplyReceived,
    RequestLease,
    SendRequest,
    Tick,
)
from lotusroute.leases.proposer import Proposer, ProposerState

# Duration of one step of real time. A lease expires after six steps, so that few transitions reach its end.
STEP_MS = 500.0
TASK = "task"
MAX_IN_FLIGHT = 16  # maximum number of messages in flight; if there are more, the oldest ones are lost
DRIFT_FRACTION = 0.2  # far above the drift of real clocks, so that the deviation amounts to whole steps
NO_TARGET = -1  # target of a transition that affects no single process or message


class LowerBoundRng(random.Random):
    """Always returns the lower bound of a range, because the checker explores interleavings, not backoffs."""

    def uniform(self, a: float, b: float) -> float:
        """Return the lower bound."""
        return a


LOWER_BOUND_RNG = LowerBoundRng()


class TransitionKind(StrEnum):
    """Kinds of transitions; the values are shown in counterexamples."""

    ADVANCE_TIME = "advance time"
    TICK = "tick"
    DELIVER = "deliver"
    DUPLICATE = "duplicate"  # deliver a message and keep it in flight
    CRASH_ACCEPTOR = "crash acceptor"
    CRASH_PROPOSER = "crash proposer"


class Transition(NamedTuple):
    """One transition of the model."""

    kind: TransitionKind
    target: int = NO_TARGET  # index of the process, or of the message in flight

    def __repr__(self) -> str:
        if self.target == NO_TARGET:
            return f"({self.kind.value!r},)"
        return f"({self.kind.value!r}, {self.target})"


class RequestInFlight(NamedTuple):
    """A request in flight to an acceptor; processes are given by index."""

    acceptor: int
    proposer: int
    request: LeaseRequest


class EventInFlight(NamedTuple):
    """A reply or notification in flight to a proposer; processes are given by index."""

    proposer: int
    acceptor: int
    proposer_name: str  # name of the incarnation that the event is addressed to
    event: ReplyReceived | LeaseReleased


class AcceptorSnapshot(NamedTuple):
    """The state of an acceptor, as an immutable value."""

    states: tuple[tuple[str, AcceptorState], ...]
    serving_from: float
    ballot_floor: int


class ProposerSnapshot(NamedTuple):
    """The state of a proposer, as an immutable value."""

    name: str  # "proposer<index>.<incarnation>"
    state: ProposerState
    last_event_at: float
    round: int


class ModelState(NamedTuple):
    """The state of the whole model; hashable, and compared by value."""

    now: int  # elapsed steps of real time
    acceptors: tuple[AcceptorSnapshot, ...]
    proposers: tuple[ProposerSnapshot, ...]
    in_flight: tuple[RequestInFlight | EventInFlight, ...]  # messages in flight, oldest first
    fencing_token: int  # highest fencing token of all holders so far
    holder: str  # name of the last proposer that acquired the lease
    duplicates: int  # number of messages that may still be duplicated
    crashes: int  # number of crashes that may still occur


class LeaseModel:
    """The transition system: the initial state and the possible transitions of each state."""

    def __init__(
        self,
        proposers: int = 2,
        acceptors: int = 3,
        duplicates: int = 1,
        crashes: int = 1,
        drift: float = DRIFT_FRACTION,
        assumed_drift: float = DRIFT_FRACTION,
    ) -> None:
        """`drift` is the drift of the clocks, and `assumed_drift` the drift that the lease terms allow for.

        Both are fractions of real time.
        """
        names = tuple(f"acceptor{index}" for index in range(acceptors))
        # The default terms are used, except for durations that would only lengthen the interleavings.
        self.terms = LeaseTerms(
            names, drift=assumed_drift, margin=0.0, request_timeout=2 * STEP_MS, stall_threshold=8 * STEP_MS
        )
        self.acceptor_clock_rate = 1 + drift
        self.proposer_clock_rate = 1 - drift
        self.initial = ModelState(
            now=0,
            acceptors=tuple(AcceptorSnapshot((), -1.0, 0) for _ in names),
            proposers=tuple(
                ProposerSnapshot(f"proposer{index}.0", ProposerState(requested=True), 0.0, 0)
                for index in range(proposers)
            ),
            in_flight=(),
            fencing_token=0,
            holder="",
            duplicates=duplicates,
            crashes=crashes,
        )

    # Transitions

    def transitions(self, state: ModelState) -> list[Transition]:
        """Return all transitions that are possible in a state."""
        possible = [Transition(TransitionKind.ADVANCE_TIME)]
        now = self._proposer_clock(state)
        for index, proposer in enumerate(state.proposers):
            if proposer.last_event_at < now or not proposer.round:
                possible.append(Transition(TransitionKind.TICK, index))
        possible += self._deliveries(state)
        if state.crashes:
            possible += [
                Transition(TransitionKind.CRASH_ACCEPTOR, index) for index in range(len(state.acceptors))
            ]
            possible += [
                Transition(TransitionKind.CRASH_PROPOSER, index) for index in range(len(state.proposers))
            ]
        return possible

    @staticmethod
    def _deliveries(state: ModelState) -> Iterator[Transition]:
        """Yield the deliveries of all distinct messages in flight."""
        seen = set()
        for index, message in enumerate(state.in_flight):
            if message in seen:
                continue
            seen.add(message)
            yield Transition(TransitionKind.DELIVER, index)
            if state.duplicates:
                yield Transition(TransitionKind.DUPLICATE, index)

    def apply(self, state: ModelState, transition: Transition) -> ModelState:
        """Return the next state; raises `InvariantViolationError` if that state violates an invariant."""
        index = transition.target
        match transition.kind:
            case TransitionKind.ADVANCE_TIME:
                state = state._replace(now=state.now + 1)
            case TransitionKind.TICK:
                proposer = self._restore_proposer(state, index)
                actions = proposer.handle(self._proposer_clock(state), Tick())
                state = self._store_proposer(state, index, proposer, actions)
            case TransitionKind.DELIVER:
                in_flight = state.in_flight[:index] + state.in_flight[index + 1 :]
                state = self._deliver(state._replace(in_flight=in_flight), state.in_flight[index])
            case TransitionKind.DUPLICATE:
                duplicates = state.duplicates - 1
                state = self._deliver(state._replace(duplicates=duplicates), state.in_flight[index])
            case TransitionKind.CRASH_ACCEPTOR:
                state = self._crash_acceptor(state, index)
            case TransitionKind.CRASH_PROPOSER:
                state = self._crash_proposer(state, index)
        self._check_single_holder(state)
        return state

    def _crash_acceptor(self, state: ModelState, index: int) -> ModelState:
        """Restart an acceptor with only its persisted state.

        It restarts at once, which is the worst case.
        """
        before = state.acceptors[index]
        persisted = max([before.ballot_floor, *(entry.promised_ballot for _, entry in before.states)])
        acceptor = Acceptor(self.terms, self._acceptor_clock(state), persisted)
        state = state._replace(crashes=state.crashes - 1)
        return self._store_acceptor(state, index, acceptor)

    def _crash_proposer(self, state: ModelState, index: int) -> ModelState:
        """Restart a proposer as its next incarnation, which requests the lease again."""
        name, incarnation = state.proposers[index].name.split(".")
        proposer = Proposer(f"{name}.{int(incarnation) + 1}", self.terms, LOWER_BOUND_RNG)
        actions = proposer.handle(self._proposer_clock(state), RequestLease(TASK))
        state = state._replace(crashes=state.crashes - 1)
        return self._store_proposer(state, index, proposer, actions)

    def _deliver(self, state: ModelState, message: RequestInFlight | EventInFlight) -> ModelState:
        match message:
            case RequestInFlight():
                return self._deliver_request(state, message)
            case EventInFlight():
                return self._deliver_event(state, message)

    def _deliver_request(self, state: ModelState, message: RequestInFlight) -> ModelState:
        index = message.acceptor
        acceptor = self._restore_acceptor(state, index)
        decision = acceptor.handle(self._acceptor_clock(state), message.request)
        state = self._store_acceptor(state, index, acceptor)
        reply = ReplyReceived(self.terms.acceptors[index], decision.reply)
        sent = [EventInFlight(message.proposer, index, message.request.proposer, reply)]
        for proposer_index, proposer in enumerate(state.proposers):
            if proposer.name in decision.notify:
                sent.append(EventInFlight(proposer_index, index, proposer.name, LeaseReleased(TASK)))
        return state._replace(in_flight=(*state.in_flight, *sent)[-MAX_IN_FLIGHT:])

    def _deliver_event(self, state: ModelState, message: EventInFlight) -> ModelState:
        proposer = self._restore_proposer(state, message.proposer)
        if proposer.name != message.proposer_name:
            return state  # the addressed incarnation has crashed
        actions = proposer.handle(self._proposer_clock(state), message.event)
        return self._store_proposer(state, message.proposer, proposer, actions)

    # Clocks

    def _acceptor_clock(self, state: ModelState) -> float:
        return state.now * STEP_MS * self.acceptor_clock_rate

    def _proposer_clock(self, state: ModelState) -> float:
        return state.now * STEP_MS * self.proposer_clock_rate

    # Conversion between snapshots and state machines

    def _restore_acceptor(self, state: ModelState, index: int) -> Acceptor:
        snapshot = state.acceptors[index]
        acceptor = Acceptor(self.terms, 0.0, snapshot.ballot_floor)
        acceptor.serving_from = snapshot.serving_from
        acceptor.ballot_floor = snapshot.ballot_floor
        acceptor.persisted_below = BALLOT_LIMIT
        acceptor.states = dict(snapshot.states)
        return acceptor

    @staticmethod
    def _store_acceptor(state: ModelState, index: int, acceptor: Acceptor) -> ModelState:
        states = tuple(acceptor.states.items())
        snapshot = AcceptorSnapshot(states, acceptor.serving_from, acceptor.ballot_floor)
        acceptors = (*state.acceptors[:index], snapshot, *state.acceptors[index + 1 :])
        return state._replace(acceptors=acceptors)

    def _restore_proposer(self, state: ModelState, index: int) -> Proposer:
        snapshot = state.proposers[index]
        proposer = Proposer(snapshot.name, self.terms, LOWER_BOUND_RNG)
        proposer.states = {TASK: snapshot.state}
        proposer.last_event_at = snapshot.last_event_at
        proposer.round = snapshot.round
        return proposer

    def _store_proposer(
        self, state: ModelState, index: int, proposer: Proposer, actions: list[LeaseAction]
    ) -> ModelState:
        """Store a proposer, put its requests in flight, and check the fencing token of an acquired lease."""
        snapshot = ProposerSnapshot(
            proposer.name, proposer.states[TASK], proposer.last_event_at, proposer.round
        )
        in_flight = list(state.in_flight)
        for action in actions:
            match action:
                case LeaseAcquired(_, fencing_token):
                    state = self._record_holder(state, proposer.name, fencing_token)
                case SendRequest(acceptor, request):
                    acceptor_index = self.terms.acceptors.index(acceptor)
                    in_flight.append(RequestInFlight(acceptor_index, index, request))
        proposers = (*state.proposers[:index], snapshot, *state.proposers[index + 1 :])
        return state._replace(proposers=proposers, in_flight=tuple(in_flight[-MAX_IN_FLIGHT:]))

    # Invariants

    @staticmethod
    def _record_holder(state: ModelState, name: str, fencing_token: int) -> ModelState:
        """Record the new holder; raises `InvariantViolationError` if its fencing token is too low."""
        if fencing_token <= state.fencing_token and name != state.holder:
            raise InvariantViolationError(
                f"{name} acquired the lease with fencing token {fencing_token}, "
                f"not higher than the token {state.fencing_token} of {state.holder}"
            )
        return state._replace(fencing_token=max(fencing_token, state.fencing_token), holder=name)

    def _check_single_holder(self, state: ModelState) -> None:
        """Raise `InvariantViolationError` if two proposers hold the lease by their own clocks."""
        now = self._proposer_clock(state)
        holders = [proposer.name for proposer in state.proposers if proposer.state.holds(now)]
        if len(holders) > 1:
            raise InvariantViolationError(
                f"{' and '.join(holders)} hold the lease at the same time, at step {state.now}"
            )
