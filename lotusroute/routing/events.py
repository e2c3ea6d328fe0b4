"""What the decision module takes in and gives out, in the words of this project.

Times are milliseconds with fractions on the host's clock; ids are whatever the host uses for them.
"""

from typing import NamedTuple

REPEATABLE, REFERENCED, ONCE_ONLY = "repeatable", "referenced", "once-only"
READY, DRAINING, GONE = "ready", "draining", "gone"
CHANGES, WHOLE, REMEMBERED, REFUSED = "changes", "whole", "remembered", "refused"

# How a connect ended. The first three prove that it never ran.
FULL, UNREACHABLE, UNSENT = "full", "unreachable", "unsent"
OK, ERROR, TIMEOUT, RESET, CANCELLED = "ok", "error", "timeout", "reset", "cancelled"
NEVER_RAN = frozenset((FULL, UNREACHABLE, UNSENT))


class ServiceType(NamedTuple):
    """One service type of a virtual ip."""

    setup_target: float
    kind: str = REPEATABLE
    group: str = "all"  # who drops the repeats of a referenced flow: "all", "zone" or "cell"
    window: float = 0.0  # and for how long they remember it

    def harmless(self, ran: bool) -> bool:
        """Whether a client may be told that to come again is harmless, where the flow may have `ran`."""
        return not ran or self.kind == REPEATABLE or (self.kind, self.group) == (REFERENCED, "all")


class Vip(NamedTuple):
    """The virtual ip that a director serves: all that is known of it at the start."""

    service_types: dict[str, ServiceType]
    me: int = 0
    siblings: int = 1
    shares_work: bool = False  # connections of one group share work on a server
    sizes_hold: bool = True  # listed sizes stay the same between lists
    tells_delay: bool = False  # servers say when their messages are slow
    message_target: float = 0.0  # ms, the least within which a service type wants its messages; 0 untold
    must_ask: bool = False  # the server list comes only when asked for
    ask_every: float = 10_000.0
    max_connects: int = 1
    max_retry_after: float = 0.0  # 0 where clients take no advice
    cold_from: float = 1.0
    warm_after: float = 0.0
    tip_multiple: float = 1.0


class Server(NamedTuple):
    """One line of a server list."""

    id: str
    zone: str = ""
    cell: int = 0
    state: str = READY
    size: float = 1.0
    started: float = 0.0


class ServerList(NamedTuple):
    """The list service has spoken; `scope` says how much of the list this is."""

    scope: str
    servers: tuple[Server, ...] = ()


class Flow(NamedTuple):
    """A client asks for a connection and waits until `due`."""

    id: int
    service_type: str
    tenant: str | None
    group: str | None
    key: str | None
    due: float
    mid_flow: bool = False
    returned: bool = False  # the client has asked before


class AlreadyOpen(NamedTuple):
    """A connection that already runs through this balancer when it starts."""

    flow: Flow
    server: str


class Established(NamedTuple):
    """A connect succeeded; the connection stays open until its `Ended`."""

    id: int
    server: str


class Ended(NamedTuple):
    """A connect, or the connection that came of it, is over; `final` when nothing more is owed."""

    id: int
    server: str
    final: bool
    result: str


class Withdrawn(NamedTuple):
    """The client has left."""

    id: int


class LoadNoted(NamedTuple):
    """An open connection now asks for this much work a second."""

    id: int
    load: float


class DelayNoted(NamedTuple):
    """A message on this server now takes so many milliseconds."""

    server: str
    delay: float


class Wake(NamedTuple):
    """A wake-up asked for earlier."""

    mark: str


class Connect(NamedTuple):
    """Connect this flow to a server, waiting `within` at most; 0 means until the client gives up."""

    id: int
    server: str
    within: float = 0.0


class Reject(NamedTuple):
    """Final answer: a further try is harmless, best after `retry_after`."""

    id: int
    retry_after: float = 0.0


class Abort(NamedTuple):
    """Final answer that promises nothing."""

    id: int


class Move(NamedTuple):
    """Ask the client of an open connection to leave and come again."""

    id: int


class WakeMe(NamedTuple):
    """Ask for a `Wake` after `delay`."""

    delay: float
    mark: str


class Subscribe(NamedTuple):
    """Ask the list service for changes from now on."""


class Say(NamedTuple):
    """Leave a line for on-call staff."""

    line: str


Event = ServerList | Flow | AlreadyOpen | Established | Ended | Withdrawn | LoadNoted | DelayNoted | Wake
Action = Connect | Reject | Abort | Move | WakeMe | Subscribe | Say
