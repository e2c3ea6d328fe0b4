"""The connections of one process: listening, inbound connections, and calls in both directions.

The services above define the calls and pass handlers for those of peers. `OutboundConnections` opens the
outbound connections and reconnects them.
"""

import contextlib
import re
from typing import cast

from twisted.internet import defer, endpoints, tcp
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import Factory

from lotusroute.fleet.errors import PeerUnreachableError
from lotusroute.fleet.outbound_connections import OutboundConnections
from lotusroute.fleet.peer_connection import PeerConnection, PeerHandlers
from lotusroute.fleet.process import FleetProcess

LISTEN_BACKLOG = 64  # the largest number of connections that wait to be accepted
SUBSCRIBER_NAME = re.compile(r"[0-9A-Za-z][0-9A-Za-z_.:-]{0,63}")  # names of processes that are not peers
# The largest number of inbound connections of one peer: the one in use, and lost ones whose end has not been
# detected yet.
MAX_CONNECTIONS_PER_PEER = 4


class PeerTransport:
    """All connections of one process to and from its peers."""

    def __init__(self, process: FleetProcess, handlers: PeerHandlers) -> None:
        """Set up without connecting."""
        self.process = process
        self.handlers = handlers
        # The identified inbound connections of each peer, by the peer's name: at most
        # MAX_CONNECTIONS_PER_PEER, of which the newest is the last.
        self.inbound: dict[str, list[PeerConnection]] = {}
        self._outbound_connections = OutboundConnections(self)
        self.port: tcp.Port | None = None
        self.closed = False

    @property
    def outbound(self) -> dict[str, PeerConnection]:
        """The established outbound connections, by peer."""
        return self._outbound_connections.established

    def listen(self) -> "defer.Deferred[None]":
        """Accept connections at this process's own address."""
        host, port = self.process.config.peers[self.process.name]
        factory = Factory.forProtocol(lambda: PeerConnection(self))
        factory.noisy = False
        endpoint = endpoints.TCP4ServerEndpoint(self.process.reactor, port, LISTEN_BACKLOG, host)
        return cast("defer.Deferred[None]", endpoint.listen(factory).addCallback(self._on_listening))

    def _on_listening(self, port: IListeningPort) -> None:
        self.port = cast(tcp.Port, port)

    def close(self) -> None:
        """Close all connections and open no more."""
        self.closed = True
        if self.port is not None:
            self.port.stopListening()
        connections = list(self.outbound.values())
        for inbound in self.inbound.values():
            connections += inbound
        for connection in connections:
            connection.close()

    def connect(self, peer: str) -> None:
        """Keep a connection to a peer established from now on."""
        self._outbound_connections.connect(peer)

    def disconnect(self, peer: str) -> None:
        """Close the connection to a peer and do not reconnect."""
        self._outbound_connections.disconnect(peer)

    def call(self, peer: str, kind: str, body: bytes) -> "defer.Deferred[bytes]":
        """Call a peer on the outbound connection; the result is its response, or fails with `CallError`.

        Without a connection the call fails, and one is opened for later calls.
        """
        connection = self.outbound.get(peer)
        if connection is None:
            self.connect(peer)
            return defer.fail(PeerUnreachableError(peer))
        return connection.call(kind, body)

    def call_inbound(self, peer: str, kind: str, body: bytes) -> "defer.Deferred[bytes]":
        """Call a process that connected to this one, on its newest inbound connection."""
        connections = self.inbound.get(peer)
        if not connections:
            return defer.fail(PeerUnreachableError(peer))
        return connections[-1].call(kind, body)

    # Called by the connections

    def admits_subscriber(self, name: str) -> bool:
        """Return whether a process that is not a peer may connect.

        Its name must be valid. It must be connected already, or the number of subscribers below the limit.
        """
        if SUBSCRIBER_NAME.fullmatch(name) is None:
            return False
        subscribers = len(self.inbound) - len(self.inbound.keys() & self.process.config.peers.keys())
        return name in self.inbound or subscribers < self.process.config.max_subscribers

    def peer_identified(self, connection: PeerConnection) -> None:
        """Register an inbound connection after its valid Hello; over the limit, abort the peer's oldest."""
        connections = self.inbound.setdefault(connection.peer, [])
        connections.append(connection)
        if len(connections) > MAX_CONNECTIONS_PER_PEER:
            self.process.counters["peer_connections_over_limit"] += 1
            connections[0].abort()

    def connection_lost(self, connection: PeerConnection) -> None:
        """Handle the end of a connection."""
        peer = connection.peer
        self._outbound_connections.connection_lost(connection)
        connections = self.inbound.get(peer, [])
        with contextlib.suppress(ValueError):
            connections.remove(connection)
        if not connections and self.inbound.pop(peer, None) is not None:
            self.handlers.on_disconnected(peer)
