"""Messages between lease proposers and acceptors, the events and actions of a proposer, and the lease terms.

The protocol is PaxosLease (Trencseni, Gazso and Reinhardt 2012): a proposer asks a majority of acceptors for
a time-limited lease on a task. The order of fields of every request and of `Reply` is the wire format.

All times are milliseconds of the local clock. Clocks of two processes are never compared: messages carry
durations only.
"""

from enum import StrEnum
from typing import NamedTuple

# After its holder is killed, a task has no holder for up to this time. A stall of one second could outlast a
# much shorter lease, of which only half remains when the renewal is due.
LEASE_DURATION_MS = 3_000.0
# The assumed maximum rate error of any clock: a hundred times the error of real clocks.
CLOCK_DRIFT_FRACTION = 0.01
# Subtracted from the holder's duration. It covers one iteration of the reactor, so that an operation in
# progress can finish within the lease.
SAFETY_MARGIN_MS = 50.0
# The fraction of the holder's duration after which the holder renews its lease. The rest of the duration
# allows two more attempts.
RENEW_FRACTION = 0.5
# The time within which a majority of acceptors has to reply. It is long enough for long network paths and
# busy CPU cores, and so short that several attempts fit into a lease duration.
REQUEST_TIMEOUT_MS = 400.0
# The backoff after a failed attempt is random, so that competing proposers retry at different times.
MIN_RETRY_BACKOFF_MS = 100.0
MAX_RETRY_BACKOFF_MS = 400.0
MAX_TENURE_MS = 60_000.0  # after this time, a holder yields if another proposer requests the task
# After a longer gap between two events, a holder assumes that its process was stalled, and yields.
STALL_THRESHOLD_MS = 1_000.0


class RequestKind(StrEnum):
    """The kind of a request; the value is the call's kind on the wire and is echoed in `Reply.kind`."""

    PREPARE = "prepare"
    PROPOSE = "propose"
    RELEASE = "release"


class RejectReason(StrEnum):
    """Why an acceptor rejects a request; the value is sent on the wire and is part of a counter's name."""

    # The acceptor started less than a lease duration and the safety margin ago, or has yet to persist the
    # ballot.
    NOT_READY = "silent"
    LEASED = "held"  # the acceptor has granted the lease to another proposer
    BALLOT_TOO_LOW = "low"  # the acceptor has promised an equal or higher ballot
    OUT_OF_RANGE = "long"  # the ballot or the lease duration is outside the permitted range
    TASK_LIMIT = "full"  # the acceptor already has the maximum number of tasks


class LossReason(StrEnum):
    """Why a proposer no longer holds a lease; the value is logged and is part of a counter's name."""

    RELEASED = "released"  # this process released the lease
    EXPIRED = "expired"  # the lease was not renewed in time
    STALLED = "stalled"  # the proposer handled no event for longer than the stall threshold
    TENURE_ENDED = "tenure ended"  # the maximum tenure was reached, and another proposer requested the task


class LeaseTerms(NamedTuple):
    """The lease parameters, which all processes of a fleet must have in common; durations are in ms."""

    acceptors: tuple[str, ...]
    lease_duration: float = LEASE_DURATION_MS
    drift: float = CLOCK_DRIFT_FRACTION
    margin: float = SAFETY_MARGIN_MS
    request_timeout: float = REQUEST_TIMEOUT_MS
    max_tenure: float = MAX_TENURE_MS
    stall_threshold: float = STALL_THRESHOLD_MS

    @property
    def majority(self) -> int:
        """The quorum size: any two sets of this size have an acceptor in common.

        >>> LeaseTerms(("a", "b", "c")).majority, LeaseTerms(tuple("abcde")).majority
        (2, 3)
        """
        return len(self.acceptors) // 2 + 1

    @property
    def holder_duration(self) -> float:
        """How long a proposer may consider itself the holder, by its own clock, from before it proposes.

        An acceptor counts the full lease from the arrival of the proposal. If its clock is fast, the lease
        expires there after lease_duration / (1 + drift) of real time. If the proposer's clock is slow, what
        it measures as a duration h lasts h / (1 - drift) of real time (Gray and Cheriton 1989, section 5).

        >>> round(LeaseTerms(("a",), lease_duration=3_000.0, drift=0.01, margin=50.0).holder_duration, 1)
        2890.6
        """
        return self.lease_duration * (1 - self.drift) / (1 + self.drift) - self.margin


# Requests of a proposer and the acceptor's reply


class Prepare(NamedTuple):
    """Phase 1: asks an acceptor to promise the ballot, that is, to accept no lower one for the task."""

    task: str
    ballot: int
    proposer: str
    round: int  # counts the proposer's phases; a reply is valid only in the round of its request

    @property
    def kind(self) -> RequestKind:
        """The kind of this request on the wire."""
        return RequestKind.PREPARE


class Propose(NamedTuple):
    """Phase 2: asks an acceptor to grant the lease under the ballot, or to renew it."""

    task: str
    ballot: int
    proposer: str
    round: int
    lease_duration: float

    @property
    def kind(self) -> RequestKind:
        """The kind of this request on the wire."""
        return RequestKind.PROPOSE


class Release(NamedTuple):
    """Gives up a lease, or a proposal that was not accepted by a majority."""

    task: str
    ballot: int
    proposer: str
    round: int

    @property
    def kind(self) -> RequestKind:
        """The kind of this request on the wire."""
        return RequestKind.RELEASE


LeaseRequest = Prepare | Propose | Release

REQUEST_TYPES: dict[str, type[Prepare] | type[Propose] | type[Release]] = {
    RequestKind.PREPARE: Prepare,
    RequestKind.PROPOSE: Propose,
    RequestKind.RELEASE: Release,
}


class Reply(NamedTuple):
    """An acceptor's reply to a request, which it identifies by task, ballot, kind and round."""

    task: str
    ballot: int
    kind: str  # the RequestKind of the request
    round: int
    accepted: bool
    reason: str = ""  # the RejectReason; empty if the request was accepted
    highest_ballot: int = 0  # the highest ballot that the acceptor has promised
    # The ms until another holder's lease expires at the acceptor, or until an acceptor that has just started
    # serves; otherwise 0.
    remaining: float = 0.0
    contended: bool = False  # another proposer requested the task within the last lease duration


# Events that a proposer handles


class RequestLease(NamedTuple):
    """This process starts requesting the lease on the task."""

    task: str


class ReleaseLease(NamedTuple):
    """This process releases the lease on the task and stops requesting it."""

    task: str


class ReplyReceived(NamedTuple):
    """A reply of an acceptor arrived."""

    acceptor: str
    reply: Reply


class LeaseReleased(NamedTuple):
    """An acceptor notified this waiting proposer that the holder released the lease; also a wire message."""

    task: str


class Tick(NamedTuple):
    """The caller's timer has fired; see `Proposer.next_tick_in`."""


LeaseEvent = RequestLease | ReleaseLease | ReplyReceived | LeaseReleased | Tick


# Actions that a proposer returns


class SendRequest(NamedTuple):
    """Send the request to an acceptor."""

    acceptor: str
    request: LeaseRequest


class LeaseAcquired(NamedTuple):
    """This process now holds the lease on the task; every operation under it must carry the fencing token."""

    task: str
    fencing_token: int


class LeaseLost(NamedTuple):
    """This process no longer holds the lease on the task."""

    task: str
    reason: LossReason


LeaseAction = SendRequest | LeaseAcquired | LeaseLost
