"""The events that a director handles, the actions that it returns, and the configuration of a service.

Times are in milliseconds on the host's clock and may have fractions. The host assigns the ids of flows. Enum
values appear in logs and in counter names, so they must not change, even if the names of their members do.
"""

from enum import StrEnum
from typing import Final, NamedTuple


class Idempotency(StrEnum):
    """Whether a flow of a service type may safely run more than once."""

    IDEMPOTENT = "idempotent"
    IDEMPOTENCY_KEY = "idempotency-key"  # servers recognize a repeated key within the deduplication window
    NON_IDEMPOTENT = "non-idempotent"


class DedupScope(StrEnum):
    """Which servers recognize a repeated idempotency key."""

    ALL = "all"  # all servers
    ZONE = "zone"  # servers in the zone of the server that ran the flow
    CELL = "cell"  # servers in the cell of the server that ran the flow
    NONE = "none"


class EndpointState(StrEnum):
    """A server's state in an endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


class ListScope(StrEnum):
    """Which servers an endpoint list contains."""

    CHANGES = "changes"  # the servers that changed since the last list
    COMPLETE = "complete"  # all servers; servers that are not listed are removed
    CACHED = "cached"  # all servers, as saved by an earlier run; possibly outdated
    REJECTED = "rejected"  # no servers, because discovery rejected the poll


class ConnectionResult(StrEnum):
    """How a connection attempt or an established connection ended."""

    FULL = "full"  # the server has no capacity left
    UNREACHABLE = "unreachable"
    UNSENT = "unsent"  # nothing was written to the connection
    OK = "ok"
    ERROR = "error"
    TIMEOUT = "timeout"
    RESET = "reset"
    CANCELLED = "cancelled"


NEVER_RAN: Final = frozenset((ConnectionResult.FULL, ConnectionResult.UNREACHABLE, ConnectionResult.UNSENT))
"""Results which guarantee that the flow did not run on the server."""


class ServiceType(NamedTuple):
    """The set-up target of a service type, and the rules by which its flows may be retried."""

    setup_target: float  # time within which a flow should be established
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: float = 0.0  # time for which servers remember a key

    def safe_to_retry(self, may_have_run: bool) -> bool:
        """Return whether a client may safely retry, given whether its flow may have run."""
        deduplicated_everywhere = (
            self.idempotency == Idempotency.IDEMPOTENCY_KEY and self.dedup_scope == DedupScope.ALL
        )
        return not may_have_run or self.idempotency == Idempotency.IDEMPOTENT or deduplicated_everywhere


class ServiceConfig(NamedTuple):
    """The configuration of the service that a director routes flows for."""

    service_types: dict[str, ServiceType]
    instance_index: int = 0  # index of this balancer among the `instance_count` balancers of the service
    instance_count: int = 1
    groups_share_work: bool = False  # connections of one group to the same server share work there
    trusts_weights: bool = True  # weights are used, since they do not change between endpoint lists
    reports_latency: bool = False  # servers send latency reports when they are slow
    latency_objective: float = 0.0  # strictest latency objective for a message, over all types; 0: not set
    polls_discovery: bool = False  # discovery sends endpoint lists only on request
    poll_interval: float = 10_000.0
    max_attempts: int = 1  # connection attempts per flow
    max_retry_after: float = 0.0  # the longest Retry-After that clients honour; 0: clients ignore it
    slow_start_share: float = 1.0  # fraction of its full capacity that a server has when it starts
    slow_start_duration: float = 0.0  # time from the start of a server until it has its full capacity
    slow_start_burst: float = 1.0  # multiple of its capacity above which a server is overloaded


class Server(NamedTuple):
    """An entry of an endpoint list."""

    id: str
    zone: str = ""
    cell: int = 0  # servers of one cell share their idempotency keys
    state: EndpointState = EndpointState.READY
    weight: float = 1.0
    started_at: float = 0.0  # when the server last started; 0: unknown or long ago


class EndpointList(NamedTuple):
    """Discovery has sent a complete endpoint list or changes to one, or has rejected a poll."""

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
    mid_flow: bool = False  # another balancer handled the flow before
    reconnecting: bool = False  # the client has requested a connection before


class ExistingConnection(NamedTuple):
    """A connection was already open when this balancer started."""

    request: FlowRequest
    server: str


class Established(NamedTuple):
    """An attempt has succeeded; the connection is open until its `ConnectionEnded`."""

    id: int
    server: str


class ConnectionEnded(NamedTuple):
    """An attempt or a connection has ended; `final` tells whether the flow has ended with it."""

    id: int
    server: str
    final: bool
    result: ConnectionResult


class ClientDisconnected(NamedTuple):
    """The client has disconnected."""

    id: int


class LoadReport(NamedTuple):
    """A server has reported the load of a connection."""

    id: int
    load: float  # work per second that the connection causes on the server


class LatencyReport(NamedTuple):
    """A server has reported its latency, or the host has measured it."""

    server: str
    latency: float  # time that a message takes on the server


class TimerFired(NamedTuple):
    """A timer set by `SetTimer` has fired."""

    name: str  # the name that `SetTimer` gave to the timer


class Connect(NamedTuple):
    """Attempt to connect a flow to a server."""

    id: int
    server: str
    timeout: float = 0.0  # time that the attempt may take; 0: until the client's deadline


class RejectReason(StrEnum):
    """Why a flow gets no further connection attempt."""

    ATTEMPTS_EXHAUSTED = "attempts exhausted"
    DEADLINE_PASSED = "deadline passed"
    THROTTLED = "throttled"
    NO_SERVER_AVAILABLE = "no server available"


class Reject(NamedTuple):
    """Reject a flow; the client may safely retry."""

    id: int
    retry_after: float  # time to wait before the retry
    reason: RejectReason


class Abort(NamedTuple):
    """Fail a flow with an error, since it might run twice if the client retried."""

    id: int
    reason: RejectReason


class Migrate(NamedTuple):
    """Ask the client of an open connection to reconnect."""

    id: int


class SetTimer(NamedTuple):
    """Set a timer that fires as a `TimerFired`."""

    delay: float
    name: str


class Subscribe(NamedTuple):
    """Subscribe to endpoint updates at discovery."""


class OutlierEjected(NamedTuple):
    """Log that a server was ejected: it gets no flows for some seconds, since connections to it failed."""

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
# Events that concern an unfinished flow, which they name by its id.
FlowEvent = Established | ConnectionEnded | ClientDisconnected | LoadReport
Action = Connect | Reject | Abort | Migrate | SetTimer | Subscribe | OutlierEjected
