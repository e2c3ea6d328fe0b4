"""A flow in hand, and what is still owed for it.

Owns the facts of one flow between its first line and its end: its connect, its time, what may have run,
whether a line may still be sent. Every end asks here, so that two ends that meet say the same. It must never
do I/O but look at its own client's socket, or choose a server.
"""

from lotusroute.net.downstream import DownstreamConnection
from lotusroute.net.line_protocol import ERR
from lotusroute.net.open_request import OpenRequest
from lotusroute.net.upstream import UpstreamAttempt
from lotusroute.routing import events

LEAST_GRACE = 50.0  # ms: by so much the protocol lengthens each time limit, also a grace of none


class ActiveFlow:
    """A flow in hand."""

    __slots__ = (
        "number",
        "opening",
        "kind",
        "due",
        "client",
        "link",
        "timer",
        "up",
        "left",
        "tries",
        "began",
        "until",
        "ran_at",
    )

    def __init__(
        self,
        number: int,
        opening: OpenRequest,
        kind: events.ServiceType,
        due: float,
        client: DownstreamConnection,
    ) -> None:
        self.number, self.opening, self.kind, self.due, self.client = number, opening, kind, due, client
        self.link: UpstreamAttempt | None = None  # the connect in flight, or the connection; one at a time
        self.timer = None
        self.up, self.left, self.tries, self.began, self.until = False, 0.0, 0, 0.0, 0.0
        self.ran_at: float | None = None  # when the first connect that may have run was begun

    def over(self, result: str) -> None:
        """A connect has ended so. That it may have run stays true whatever becomes of the next one: a stop
        that looked at the connect in flight alone told clients that to come again is harmless."""
        if result not in events.NEVER_RAN and self.ran_at is None:
            self.ran_at = self.began

    def refusal(self, busy: bytes) -> bytes:
        """The last word where nothing more is tried: `busy` where to come again is harmless, else ERR."""
        return busy if self.kind.safe_to_retry(self.ran_at is not None) else ERR

    def may_send(self, now: float, grace: float) -> bool:
        """Whether the line may be sent now that its connection is up. Not when the client has left meanwhile,
        its time or the window of its repeats is over, or so long has passed that a drain may have been told
        just after the connect was begun, and not been read by a balancer that was held up."""
        if now >= self.until or self.client.has_disconnected():
            return False
        if self.opening.existing_server:
            return True  # it stood there before the run
        kind, ran_at = self.kind, self.ran_at
        if kind.effect == events.IDEMPOTENCY_KEY and ran_at is not None and now >= ran_at + kind.dedup_window:
            return False
        return now < self.began + max(grace, LEAST_GRACE)
