"""Accepts downstream connections within the limit on file descriptors.

`DownstreamFactory` counts the descriptors of all downstream connections: two for a connection with a flow
(the client's and the server's), one for any other, and one for each connection to a server that lingers.
Beyond the limit it evicts idle connections, the oldest first, and sheds new ones if that is not enough.
`Listener` is the listening socket.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet import tcp
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from lotusroute.net.downstream.connection import DownstreamConnection
from lotusroute.net.transport.line_protocol import BUSY
from lotusroute.net.transport.tcp_transports import DownstreamTransport
from lotusroute.net.upstream.lingering import LingeringUpstreams

# Largest number of connections that are accepted in one iteration of the reactor. All other sockets are
# served in between, so that a connection storm shares the CPU with them.
ACCEPTS_PER_ITERATION = 16
# Descriptors reserved for discovery, the log and the reactor: the process's limit divided by the divisor, but
# at least the minimum.
RESERVED_DESCRIPTOR_DIVISOR = 16
MIN_RESERVED_DESCRIPTORS = 32


@dataclass(frozen=True, slots=True)
class BalancerHooks:
    """What downstream connections use of the balancer; see `ConnectionManager`."""

    enqueue: Callable[[object], None]
    clock: Callable[[], float]
    ready: Callable[[], bool]
    when_serving: Callable[[Callable[[], None]], None]
    input_since: Callable[[], float]


class DownstreamFactory(ServerFactory):
    """Admits downstream connections and keeps track of those that are open."""

    noisy = False

    def __init__(
        self,
        hooks: BalancerHooks,
        sockets: int,
        counters: Counter[str],
        lingering_upstreams: LingeringUpstreams,
    ) -> None:
        """`sockets` is the process's limit on descriptors."""
        self.enqueue = hooks.enqueue
        self.clock = hooks.clock
        self.ready = hooks.ready
        self.when_serving = hooks.when_serving
        self.input_since = hooks.input_since
        self.counters = counters
        self.lingering_upstreams = lingering_upstreams
        self.connections: set[DownstreamConnection] = set()  # all open connections
        self.idle: dict[DownstreamConnection, None] = {}  # open connections without a flow, the oldest first
        self.backlog_since = 0.0  # since when connections that are accepted now may have waited
        self.descriptor_limit = 1
        self.set_descriptor_limit(sockets)

    def set_descriptor_limit(self, sockets: int) -> None:
        """Limit connections to these descriptors, less the reserved ones and those of one iteration."""
        reserved = max(MIN_RESERVED_DESCRIPTORS, sockets // RESERVED_DESCRIPTOR_DIVISOR)
        self.descriptor_limit = max(1, sockets - reserved - ACCEPTS_PER_ITERATION)

    def admit(self, connection: DownstreamConnection) -> None:
        """Admit a new connection, or reject it if no descriptor is free.

        Idle connections are evicted for it, because it may request a flow. Without the eviction, hundreds of
        connections that send nothing would cause ordinary clients to be rejected.
        """
        self.connections.add(connection)
        self.idle[connection] = None
        if self._exceeds_limit():
            self._evict_idle(connection, lingering=False)
            self.lingering_upstreams.evict(self.clock(), self._exceeds_limit)
            self._evict_idle(connection, lingering=True)
        if self._exceeds_limit():
            # If no descriptor were left, flows could not be answered at all.
            self.counters["load_shed"] += 1
            connection.send_final_answer(BUSY)

    def _evict_idle(self, keep: DownstreamConnection, lingering: bool) -> None:
        """Evict idle connections other than `keep`, the oldest first, until the limit is met.

        With `lingering`, clients that are slow to receive their last lines are evicted, too.
        """
        for oldest in [connection for connection in self.idle if connection is not keep]:
            if not self._exceeds_limit():
                return
            oldest.evict(lingering)

    def _exceeds_limit(self) -> bool:
        descriptors = 2 * len(self.connections) - len(self.idle) + len(self.lingering_upstreams)
        return descriptors > self.descriptor_limit

    def mark_active(self, connection: DownstreamConnection) -> None:
        """Record that the connection has requested a flow."""
        self.idle.pop(connection, None)

    def mark_lingering(self, connection: DownstreamConnection) -> None:
        """Record that the last line was sent: the connection becomes the newest of the idle ones."""
        if connection in self.connections:
            self.idle.pop(connection, None)
            self.idle[connection] = None

    def is_idle(self, connection: DownstreamConnection) -> bool:
        """Return whether the connection has no flow."""
        return connection in self.idle

    def discard(self, connection: DownstreamConnection) -> None:
        """Forget a connection that is closed."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)

    def accept_pending(self, listener: "Listener") -> bool:
        """Accept all waiting connections and read the idle connections' sockets, before the process exits.

        Returns whether a client still waits for an answer or for its last line.
        """
        accepted = -1
        while accepted != self.counters["connections"]:
            accepted = self.counters["connections"]
            listener.doRead()
        for connection in list(self.idle):
            connection.read_pending()
        return any(connection.has_pending_answer() for connection in self.connections)

    def has_undelivered_data(self) -> bool:
        """Return whether a peer of a lingering connection has still to receive data."""
        lingering = (connection for connection in self.connections if connection.linger is not None)
        if any(connection.undelivered_bytes() for connection in lingering):
            return True
        return self.lingering_upstreams.has_undelivered_data()

    def buildProtocol(self, addr: IAddress) -> DownstreamConnection:
        """Count and create a connection."""
        self.counters["connections"] += 1
        connection = DownstreamConnection(self.clock(), self.backlog_since)
        connection.factory = self
        return connection


class Listener(tcp.Port):
    """The listening socket, which accepts only a few connections in each iteration of the reactor.

    Twisted adapts this number to the load: after a burst it would accept hundreds of connections, more than
    there are descriptors for, before reading the first, and ordinary clients' connections would have to be
    closed unread.
    """

    transport = DownstreamTransport
    factory: DownstreamFactory
    # Since when the connections may have waited that the last read may have left; None if it left none.
    _left_since: float | None = None
    _last_read_at = 0.0  # when the last read ended

    def startListening(self) -> None:
        """Listen; clients can connect from now on."""
        self._left_since = self._last_read_at = self.factory.clock()
        super().startListening()

    def doRead(self) -> None:
        """Accept some of the connections that wait."""
        factory = self.factory
        factory.backlog_since = self._backlog_since()
        accepted_before = factory.counters["connections"]
        super().doRead()
        accepted = factory.counters["connections"] - accepted_before
        self._left_since = factory.backlog_since if accepted == ACCEPTS_PER_ITERATION else None
        self._last_read_at = factory.clock()

    def _backlog_since(self) -> float:
        """Return since when the connections may have waited that are accepted now."""
        input_since = self.factory.input_since()
        # The next wait finds at once what a read has left; if it did not, the read had left nothing.
        if self._left_since is None or input_since > self._last_read_at:
            return input_since
        return self._left_since

    @property
    def numberAccepts(self) -> int:
        """The number of connections accepted in one iteration."""
        return ACCEPTS_PER_ITERATION

    @numberAccepts.setter
    def numberAccepts(self, value: float) -> None:
        """Ignore the value that Twisted adapts to the load."""
