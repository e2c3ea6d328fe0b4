"""What askers and keepers of leases say to one another, and the terms that both hold to.

Owns the words and the terms. It must never hold state, read a clock or know how a word travels.

All times are milliseconds of the one clock that the speaker has; no two clocks are ever compared, only
lengths of time cross the link.
"""

from typing import NamedTuple

LEASE_DURATION = (
    3_000.0  # ms: no holder for so long after one is killed; shorter ones are lost to a stall of a second
)
CLOCK_DRIFT = 0.01  # share by which a clock may run fast or slow: a hundred times what machines' clocks do
SAFETY_MARGIN = 50.0  # ms off the end: a step of the reactor, in which an act that was begun is carried out
RENEW_FRACTION = 0.5  # share of the time held after which it is renewed: two more tries fit in before it ends
REQUEST_TIMEOUT = (
    400.0  # ms for keepers to answer: far ways and a busy core, and a lease has room for several
)
RETRY_BACKOFF = (
    100.0,
    400.0,
)  # ms, drawn, before one who was refused asks again: two that split the keepers part
MAX_TENURE = 60_000.0  # ms after which a holder gives way where somebody else asks
STALL_THRESHOLD = (
    1_000.0  # ms between two looks at the clock after which a holder thinks itself stalled and gives way
)

# Why a keeper refuses.
NOT_READY, LEASE_HELD, BALLOT_TOO_LOW, OUT_OF_RANGE, TASK_LIMIT = "silent", "held", "low", "long", "full"


class LeaseTerms(NamedTuple):
    """What all of a fleet agree on, from the operator's file."""

    acceptors: tuple[str, ...]
    lease_duration: float = LEASE_DURATION
    drift: float = CLOCK_DRIFT
    margin: float = SAFETY_MARGIN
    request_timeout: float = REQUEST_TIMEOUT
    max_tenure: float = MAX_TENURE
    stall_threshold: float = STALL_THRESHOLD

    @property
    def majority(self) -> int:
        """How many keepers must say yes: any two such sets share one.

        >>> LeaseTerms(("a", "b", "c")).majority, LeaseTerms(tuple("abcde")).majority
        (2, 3)
        """
        return len(self.acceptors) // 2 + 1

    @property
    def holder_duration(self) -> float:
        """How long an asker may think it holds, by its own clock, from before it proposed.

        A keeper counts the whole lease from when the proposal came, by a clock that may run fast: it lets go
        no sooner than lease / (1 + drift). The asker's clock may run slow, so that what it counts as h lasts
        up to h / (1 - drift) (Gray and Cheriton 1989, section 5).

        >>> round(LeaseTerms(("a",), lease=3_000.0, drift=0.01, margin=50.0).held, 1)
        2890.6
        """
        return self.lease_duration * (1 - self.drift) / (1 + self.drift) - self.margin


class Prepare(NamedTuple):
    """An asker wants a keeper's word that no lower number gets the task."""

    task: str
    ballot: int
    proposer: str
    round: int  # of all that the asker asked: an answer counts in the round that it was given in


class Propose(NamedTuple):
    """An asker takes the task under its number, or has it for longer."""

    task: str
    ballot: int
    proposer: str
    round: int
    lease_duration: float


class Release(NamedTuple):
    """A holder, or one that did not become it, lets go."""

    task: str
    ballot: int
    proposer: str
    round: int


class Reply(NamedTuple):
    """A keeper's answer to one of these."""

    task: str
    ballot: int
    kind: str  # "prepare", "propose" or "release"
    round: int
    accepted: bool
    reason: str = ""
    highest_ballot: int = 0  # the highest number that the keeper has promised
    remaining: float = 0.0  # ms until another's lease ends there
    contended: bool = False  # another has asked for the task within a lease


class RequestLease(NamedTuple):
    """This balancer would do the task."""

    task: str


class ReleaseLease(NamedTuple):
    """It would do it no longer."""

    task: str


class ReplyReceived(NamedTuple):
    """A keeper has answered."""

    acceptor: str
    reply: Reply


class LeaseReleased(NamedTuple):
    """A keeper tells those who asked that the holder has let go."""

    task: str


class Tick(NamedTuple):
    """Time has passed."""


class SendRequest(NamedTuple):
    """Say this to a keeper."""

    acceptor: str
    request: Prepare | Propose | Release


class LeaseAcquired(NamedTuple):
    """The task is this balancer's; every act of it carries the fence."""

    task: str
    fencing_token: int


class LeaseLost(NamedTuple):
    """The task is this balancer's no longer."""

    task: str
    reason: str
