"""Events and actions: what a director takes in from its host, and what it asks the host to do.

Times are milliseconds with fractions on the host's clock; ids are whatever the host uses for them.
"""

from typing import NamedTuple

IDEMPOTENT, IDEMPOTENCY_KEY, NON_IDEMPOTENT = "repeatable", "referenced", "once-only"
READY, DRAINING, REMOVED = "ready", "draining", "gone"
CHANGES, COMPLETE, CACHED, REFUSED = "changes", "whole", "remembered", "refused"

# How a connect ended. The first three prove that it never ran.
FULL, UNREACHABLE, UNSENT = "full", "unreachable", "unsent"
OK, ERROR, TIMEOUT, RESET, CANCELLED = "ok", "error", "timeout", "reset", "cancelled"
NEVER_RAN = frozenset((FULL, UNREACHABLE, UNSENT))


class ServiceType(NamedTuple):
    """One service type of a virtual ip."""

    setup_target: float
    effect: str = IDEMPOTENT
    dedup_scope: str = "all"  # who drops the repeats of a referenced flow: "all", "zone" or "cell"
    dedup_window: float = 0.0  # and for how long they remember it

    def safe_to_retry(self, ran: bool) -> bool:
        """Whether a client may be told that to come again is harmless, where the flow may have `ran`."""
        deduplicated_everywhere = self.effect == IDEMPOTENCY_KEY and self.dedup_scope == "all"
        return not ran or self.effect == IDEMPOTENT or deduplicated_everywhere


class ServiceConfig(NamedTuple):
    """The virtual ip that a director serves: all that is known of it at the start."""

    service_types: dict[str, ServiceType]
    instance_index: int = 0
    instance_count: int = 1
    groups_share_work: bool = False  # connections of one group share work on a server
    trusts_weights: bool = True  # listed sizes stay the same between lists
    reports_latency: bool = False  # servers say when their messages are slow
    latency_objective: float = 0.0  # ms, the least that a service type wants; 0 if unknown
    polls_discovery: bool = False  # the server list comes only when asked for
    poll_interval: float = 10_000.0
    max_attempts: int = 1
    max_retry_after: float = 0.0  # 0 where clients take no advice
    slow_start_share: float = 1.0
    slow_start_duration: float = 0.0
    slow_start_burst: float = 1.0


class Server(NamedTuple):
    """One line of a server list."""

    id: str
    zone: str = ""
    cell: int = 0
    state: str = READY
    size: float = 1.0
    started: float = 0.0


class EndpointList(NamedTuple):
    """An answer of discovery; `scope` says how much of the endpoint list it holds, or that it was refused."""

    scope: str
    servers: tuple[Server, ...] = ()


class Flow(NamedTuple):
    """A client asks for a connection and waits until `deadline`."""

    id: int
    service_type: str
    tenant: str | None
    group: str | None
    key: str | None
    deadline: float
    mid_flow: bool = False
    reconnecting: bool = False  # the client has asked before


class ExistingConnection(NamedTuple):
    """A connection that already runs through this balancer when it starts."""

    flow: Flow
    server: str


class Established(NamedTuple):
    """A connect succeeded; the connection stays open until its `ConnectionEnded`."""

    id: int
    server: str


class ConnectionEnded(NamedTuple):
    """A connect, or the connection that came of it, is over; `final` when nothing more is owed."""

    id: int
    server: str
    final: bool
    result: str


class ClientDisconnected(NamedTuple):
    """The client has left."""

    id: int


class LoadReport(NamedTuple):
    """An open connection now asks for this much work a second."""

    id: int
    load: float


class LatencyReport(NamedTuple):
    """A message on this server now takes so many milliseconds."""

    server: str
    delay: float


class TimerFired(NamedTuple):
    """A timer set by an earlier `SetTimer` has expired."""

    mark: str


class Connect(NamedTuple):
    """Connect this flow to a server, waiting `within` at most; 0 means until the client gives up."""

    id: int
    server: str
    within: float = 0.0


class Reject(NamedTuple):
    """Final answer: a retry is safe, best after `retry_after` ms."""

    id: int
    retry_after: float = 0.0


class Abort(NamedTuple):
    """Final answer that promises nothing."""

    id: int


class Migrate(NamedTuple):
    """Ask the client of an open connection to leave and come again."""

    id: int


class SetTimer(NamedTuple):
    """Ask for a `TimerFired` after `delay`."""

    delay: float
    mark: str


class Subscribe(NamedTuple):
    """Ask discovery for changes from now on."""


class OutlierEjected(NamedTuple):
    """A server that failed connects gets no flows for some seconds; for the log of on-call staff."""

    server: str


Event = (
    EndpointList
    | Flow
    | ExistingConnection
    | Established
    | ConnectionEnded
    | ClientDisconnected
    | LoadReport
    | LatencyReport
    | TimerFired
)
# Events that concern an unfinished flow, by its id
FlowEvent = Established | ConnectionEnded | ClientDisconnected | LoadReport
Action = Connect | Reject | Abort | Migrate | SetTimer | Subscribe | OutlierEjected
