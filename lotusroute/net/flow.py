"""A flow in hand, and what is still owed for it.

Owns the facts of one flow between its first line and its end: its connect, its time, what may have run,
whether a line may still be sent. Every end asks here, so that two ends that meet say the same. It must never
do I/O but look at its own client's socket, or choose a server.
"""

from lotusroute.net.downstream import DownstreamConnection, OpenRequest
from lotusroute.net.line_protocol import ERR
from lotusroute.net.upstream import UpstreamAttempt
from lotusroute.routing import events

LEAST_GRACE = 50.0  # ms: by so much the protocol lengthens each time limit, also a grace of none


class ActiveFlow:
    """A flow in hand."""

    __slots__ = (
        "number",
        "opening",
        "service_type",
        "deadline",
        "downstream",
        "upstream",
        "timer",
        "established",
        "client_left_at",
        "attempts",
        "attempt_started_at",
        "attempt_deadline",
        "may_have_run_since",
    )

    def __init__(
        self,
        number: int,
        opening: OpenRequest,
        service_type: events.ServiceType,
        deadline: float,
        downstream: DownstreamConnection,
    ) -> None:
        self.number = number
        self.opening = opening
        self.service_type = service_type
        self.deadline = deadline
        self.downstream = downstream
        self.upstream: UpstreamAttempt | None = None  # the attempt, or its connection; one at a time
        self.timer = None
        self.established = False
        self.client_left_at = 0.0
        self.attempts = 0
        self.attempt_started_at = 0.0
        self.attempt_deadline = 0.0
        self.may_have_run_since: float | None = None  # start of the first attempt that may have run

    def record_attempt_result(self, result: str) -> None:
        """A connect has ended so. That it may have run stays true whatever becomes of the next one: a stop
        that looked at the connect in flight alone told clients that to come again is harmless."""
        if result not in events.NEVER_RAN and self.may_have_run_since is None:
            self.may_have_run_since = self.attempt_started_at

    def final_rejection(self, busy: bytes) -> bytes:
        """The last word where nothing more is tried: `busy` where to come again is harmless, else ERR."""
        return busy if self.service_type.safe_to_retry(self.may_have_run_since is not None) else ERR

    def may_send(self, now: float, grace: float) -> bool:
        """Whether the line may be sent now that its connection is up. Not when the client has left meanwhile,
        its time or the window of its repeats is over, or so long has passed that a drain may have been told
        just after the connect was begun, and not been read by a balancer that was held up."""
        if now >= self.attempt_deadline or self.downstream.left():
            return False
        if self.opening.at:
            return True  # it stood there before the run
        kind, ran_at = self.service_type, self.may_have_run_since
        if kind.effect == events.IDEMPOTENCY_KEY and ran_at is not None and now >= ran_at + kind.dedup_window:
            return False
        return now < self.attempt_started_at + max(grace, LEAST_GRACE)
