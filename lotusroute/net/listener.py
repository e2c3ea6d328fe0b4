"""Accepting downstream connections within the limit of file descriptors.

`DownstreamFactory` counts the descriptors of all downstream connections, two for one with a flow (the
client's and the server's). Beyond the limit it evicts idle connections, the oldest first, and sheds new ones
that still find no descriptor. `Listener` is the listening socket.
"""

from collections import Counter
from collections.abc import Callable

from twisted.internet import tcp
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from lotusroute.net.downstream import DownstreamConnection
from lotusroute.net.line_protocol import BUSY

# Connections accepted in one iteration of the reactor, so that a connection storm shares the CPU with others.
ACCEPTS_PER_ITERATION = 16
# Descriptors kept for discovery, the log and the reactor: one in 16, 32 at least.
RESERVED_DESCRIPTOR_DIVISOR = 16
MIN_RESERVED_DESCRIPTORS = 32


class DownstreamFactory(ServerFactory):
    """Admits downstream connections and knows those that are open."""

    noisy = False

    def __init__(
        self,
        enqueue: Callable[[object], None],
        clock: Callable[[], float],
        ready: Callable[[], bool],
        sockets: int,
        counters: Counter,
    ) -> None:
        """`enqueue` takes the connections' messages; `sockets` is the process's limit of descriptors."""
        self.enqueue = enqueue
        self.clock = clock
        self.ready = ready
        self.counters = counters
        self.connections: set[DownstreamConnection] = set()  # open; removed when closed
        self.idle: dict[DownstreamConnection, None] = {}  # those of them without a flow, the oldest first
        self.descriptor_limit = 1
        self.set_descriptor_limit(sockets)

    def set_descriptor_limit(self, sockets: int) -> None:
        """Take connections for so many descriptors, less those that are reserved."""
        reserved = max(MIN_RESERVED_DESCRIPTORS, sockets // RESERVED_DESCRIPTOR_DIVISOR)
        self.descriptor_limit = max(1, sockets - reserved - ACCEPTS_PER_ITERATION)

    def admit(self, connection: DownstreamConnection) -> None:
        """Take a new connection: it may bring a flow, so idle ones give up their descriptors for it.

        Without the eviction, hundreds that connected and sent nothing had ordinary clients rejected.
        """
        self.connections.add(connection)
        self.idle[connection] = None
        if self._exceeds_limit():
            self._evict_idle(keep=connection)
        if self._exceeds_limit():
            # Accepting until no descriptor is left would lose flows unanswered.
            self.counters["load_shed"] += 1
            connection.send_final_answer(BUSY)

    def _evict_idle(self, keep: DownstreamConnection) -> None:
        """Evict idle connections, the oldest first, until the limit is met."""
        for oldest in [connection for connection in self.idle if connection is not keep]:
            oldest.evict()
            if not self._exceeds_limit():
                return

    def _exceeds_limit(self) -> bool:
        descriptors = 2 * len(self.connections) - len(self.idle)
        return descriptors > self.descriptor_limit

    def mark_active(self, connection: DownstreamConnection) -> None:
        """The connection has requested a flow."""
        self.idle.pop(connection, None)

    def mark_lingering(self, connection: DownstreamConnection) -> None:
        """The connection was sent its last line: it is the youngest of the idle ones."""
        if connection in self.connections:
            self.idle.pop(connection, None)
            self.idle[connection] = None

    def is_idle(self, connection: DownstreamConnection) -> bool:
        """Whether the connection has no flow."""
        return connection in self.idle

    def discard(self, connection: DownstreamConnection) -> None:
        """The connection is closed."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)

    def accept_pending(self, listener: "Listener") -> bool:
        """Accept all that wait and read the idle connections' sockets, before the process ends.

        Returns whether a connection is still owed an answer or its last line.
        """
        accepted = -1
        while accepted != self.counters["connections"]:
            accepted = self.counters["connections"]
            listener.doRead()
        for connection in list(self.idle):
            connection.read_pending()
        return any(connection.has_pending_answer() for connection in self.connections)

    def buildProtocol(self, addr: IAddress) -> DownstreamConnection:
        """Count and create a connection."""
        self.counters["connections"] += 1
        connection = DownstreamConnection()
        connection.factory = self
        return connection


class Listener(tcp.Port):
    """The listening socket, which accepts few connections in an iteration of the reactor.

    Twisted adapts the number to the load: after a burst it accepted hundreds before it read the first, and
    had to close ordinary clients unread.
    """

    @property
    def numberAccepts(self) -> int:
        """Connections accepted in one iteration."""
        return ACCEPTS_PER_ITERATION

    @numberAccepts.setter
    def numberAccepts(self, value: float) -> None:
        """Ignore Twisted's adaptation."""
