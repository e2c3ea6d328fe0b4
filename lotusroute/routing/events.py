"""The events that the routing decisions take, the actions that they return, and the model of a service.

All times are milliseconds with fractions on the host's clock; ids of flows are chosen by the host. The
values of the enumerations appear in logs and in the names of counters.
"""

from enum import StrEnum
from typing import Final, NamedTuple


class Effect(StrEnum):
    """What happens if a flow of a service type runs twice."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEY = "idempotency-key"  # servers drop repeats of a key that they remember
    NON_IDEMPOTENT = "non-idempotent"


class EndpointState(StrEnum):
    """A server's state in an endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class ListScope(StrEnum):
    """Which servers an endpoint list names."""

    CHANGES = "changes"  # those that changed since the last list
    COMPLETE = "complete"  # all; a server that it does not name is removed
    CACHED = "cached"  # all, from an earlier run and perhaps outdated
    REJECTED = "rejected"  # none: discovery rejected the poll


class ConnectionResult(StrEnum):
    """How a connection attempt, or the connection that it established, ended."""

    FULL = "full"  # the server has no capacity left
    UNREACHABLE = "unreachable"
    UNSENT = "unsent"  # nothing was written to the connection
    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"


NEVER_RAN: Final = frozenset((ConnectionResult.FULL, ConnectionResult.UNREACHABLE, ConnectionResult.UNSENT))
"""Results that prove that the flow did not run."""


class ServiceType(NamedTuple):
    """One service type, and what a retry of its flows may do."""

    setup_target: float  # ms, within which a connection should be established
    effect: Effect = Effect.IDEMPOTENT
    dedup_scope: str = "all"  # servers that drop repeats of a key: "all", or of one "zone" or "cell"
    dedup_window: float = 0.0  # ms, for how long they remember a key

    def safe_to_retry(self, ran: bool) -> bool:
        """Return whether a client may retry without harm; `ran` says that the flow may have run."""
        deduplicated_everywhere = self.effect == Effect.IDEMPOTENCY_KEY and self.dedup_scope == "all"
        return not ran or self.effect == Effect.IDEMPOTENT or deduplicated_everywhere


class ServiceConfig(NamedTuple):
    """The service that a director routes flows for, as configured at the start."""

    service_types: dict[str, ServiceType]
    instance_index: int = 0  # of this balancer among the service's `instance_count`
    instance_count: int = 1
    groups_share_work: bool = False  # connections of one group share work on a server
    trusts_weights: bool = True  # a server's weight stays the same between endpoint lists
    reports_latency: bool = False  # servers report when their messages are slow
    latency_objective: float = 0.0  # ms for a message, the strictest of the service types; 0 if none is set
    polls_discovery: bool = False  # endpoint lists come only on request
    poll_interval: float = 10_000.0  # ms between requests
    max_attempts: int = 1  # connection attempts of one flow
    max_retry_after: float = 0.0  # ms, the longest Retry-After that clients honour; 0 where they ignore it
    slow_start_share: float = 1.0  # of its capacity with which a new server begins
    slow_start_duration: float = 0.0  # ms until it has all of it
    slow_start_burst: float = 1.0  # multiple of its capacity beyond which a server is overloaded


class Server(NamedTuple):
    """One server of an endpoint list."""

    id: str
    zone: str = ""
    cell: int = 0  # group of servers that share idempotency keys
    state: EndpointState = EndpointState.READY
    size: float = 1.0  # the weight
    started: float = 0.0  # when it last started; 0 where unknown or long ago


class EndpointList(NamedTuple):
    """Discovery has sent an endpoint list, part of one, or a refusal."""

    scope: ListScope
    servers: tuple[Server, ...] = ()


class FlowRequest(NamedTuple):
    """A client requests a connection and waits for it until the deadline."""

    id: int
    service_type: str
    tenant: str | None
    group: str | None  # connections of one group may share work on a server
    key: str | None  # the session or item that the flow is for
    deadline: float
    mid_flow: bool = False  # its packets come from a balancer that had it before
    reconnecting: bool = False  # the client has requested it before


class ExistingConnection(NamedTuple):
    """A connection that was already open when this balancer started."""

    request: FlowRequest
    server: str


class Established(NamedTuple):
    """An attempt succeeded; the connection stays open until its `ConnectionEnded`."""

    id: int
    server: str


class ConnectionEnded(NamedTuple):
    """An attempt or an open connection has ended; `final` when the flow needs no further answer."""

    id: int
    server: str
    final: bool
    result: ConnectionResult


class ClientDisconnected(NamedTuple):
    """The client has disconnected."""

    id: int


class LoadReport(NamedTuple):
    """The work per second that an open connection now causes on its server."""

    id: int
    load: float


class LatencyReport(NamedTuple):
    """The time that a message now takes on this server."""

    server: str
    delay: float  # ms


class TimerFired(NamedTuple):
    """A timer set by `SetTimer` has fired."""

    mark: str  # of that `SetTimer`


class Connect(NamedTuple):
    """Connect this flow to a server."""

    id: int
    server: str
    timeout: float = 0.0  # ms; 0: until the client's deadline


class RejectReason(StrEnum):
    """Why a flow gets no further attempt; the values are in the log."""

    ATTEMPTS_EXHAUSTED = "no attempt left"
    DEADLINE_PASSED = "deadline passed"
    THROTTLED = "most connects fail"
    NO_FIT_SERVER = "no fit server"


class Reject(NamedTuple):
    """Answer the client that a retry is harmless; the final answer."""

    id: int
    retry_after: float  # ms to wait before it
    reason: RejectReason


class Abort(NamedTuple):
    """Answer the client with an error, as a retry might run the flow twice; the final answer."""

    id: int
    reason: RejectReason


class Migrate(NamedTuple):
    """Ask the client of an open connection to reconnect."""

    id: int


class SetTimer(NamedTuple):
    """Set a timer that fires as a `TimerFired`."""

    delay: float  # ms
    mark: str


class Subscribe(NamedTuple):
    """Ask discovery for changes of the endpoint list from now on."""


class OutlierEjected(NamedTuple):
    """A server that failed connects gets no flows for some seconds; for the log of on-call staff."""

    server: str


Event = (
    EndpointList
    | FlowRequest
    | ExistingConnection
    | Established
    | ConnectionEnded
    | ClientDisconnected
    | LoadReport
    | LatencyReport
    | TimerFired
)
# Events that concern an unfinished flow, by its id.
FlowEvent = Established | ConnectionEnded | ClientDisconnected | LoadReport
Action = Connect | Reject | Abort | Migrate | SetTimer | Subscribe | OutlierEjected
