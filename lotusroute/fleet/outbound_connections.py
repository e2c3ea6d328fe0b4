"""The connections that one process opens to its peers, with reconnects after a random exponential backoff.

A connection to a peer is opened by `connect` and kept established until `disconnect`. Times are in seconds.
"""

from typing import Protocol, cast

from twisted.internet import defer, endpoints
from twisted.internet.base import DelayedCall
from twisted.internet.interfaces import IReactorTime

from lotusroute.fleet.peer_connection import HELLO_TIMEOUT_S, ConnectionManager, PeerConnection
from lotusroute.net.structured_log import log_event

MIN_RECONNECT_BACKOFF_S = 0.1  # the first backoff; each failure doubles the backoff, up to the maximum
MAX_RECONNECT_BACKOFF_S = 5.0
MIN_JITTER_FRACTION = 0.5  # the shortest random delay, as a fraction of the backoff
CONNECT_TIMEOUT_S = 2.0


class OutboundManager(ConnectionManager, Protocol):
    """What the outbound connections need from the transport that they belong to."""

    closed: bool  # whether the transport is closed and opens no more connections


class OutboundConnections:
    """The outbound connections of one process to its peers."""

    def __init__(self, transport: OutboundManager) -> None:
        self.transport = transport
        self.process = transport.process
        self.established: dict[str, PeerConnection] = {}  # the established connections, by the peer's name
        self.wanted_peers: set[str] = set()  # peers to stay connected to; removed by `disconnect`
        # The backoff after the next failure to connect, by the peer's name; each failure doubles it. A peer
        # has an entry while it is being connected to.
        self.next_backoffs: dict[str, float] = {}
        self.reconnect_timers: dict[str, DelayedCall] = {}  # timers of the next attempts, by the peer's name

    def connect(self, peer: str) -> None:
        """Keep a connection to a peer established from now on."""
        self.wanted_peers.add(peer)
        connected_or_connecting = peer in self.established or peer in self.next_backoffs
        if self.transport.closed or connected_or_connecting or peer not in self.process.config.peers:
            return
        self.next_backoffs[peer] = MIN_RECONNECT_BACKOFF_S
        self._start_attempt(peer)

    def disconnect(self, peer: str) -> None:
        """Close the connection to a peer and do not reconnect."""
        self.wanted_peers.discard(peer)
        self.next_backoffs.pop(peer, None)
        timer = self.reconnect_timers.pop(peer, None)
        if timer is not None:
            timer.cancel()
        connection = self.established.get(peer)
        if connection is not None:
            connection.close()

    def connection_lost(self, connection: PeerConnection) -> None:
        """Handle the end of a connection; ignores one that is not an established outbound connection."""
        peer = connection.peer
        if self.established.get(peer) is not connection:
            return
        del self.established[peer]
        self.process.counters["peer_disconnects"] += 1
        log_event("peer disconnected", peer=peer)
        if peer in self.wanted_peers:
            self.connect(peer)
        self.transport.handlers.on_disconnected(peer)

    def _start_attempt(self, peer: str) -> None:
        self.reconnect_timers.pop(peer, None)
        if self.transport.closed:
            return
        connection = PeerConnection(self.transport, peer)
        attempt = open_connection(connection)
        attempt.addTimeout(CONNECT_TIMEOUT_S + HELLO_TIMEOUT_S, cast(IReactorTime, self.process.reactor))
        attempt.addCallbacks(
            lambda name: self._on_hello_answered(peer, connection, name),
            lambda _: self._on_connect_failed(peer, connection),
        )

    def _on_hello_answered(self, peer: str, connection: PeerConnection, name: str) -> None:
        if name != peer:
            self.process.counters["unknown_peers"] += 1
        wanted = not self.transport.closed and peer in self.next_backoffs
        if name != peer or not connection.is_open or not wanted:
            self._on_connect_failed(peer, connection)
            return
        connection.identified = True
        del self.next_backoffs[peer]
        self.established[peer] = connection
        self.process.counters["peer_connects"] += 1
        log_event("peer connected", peer=peer)
        self.transport.handlers.on_connected(peer)

    def _on_connect_failed(self, peer: str, connection: PeerConnection) -> None:
        """Schedule the next attempt, after a random exponential backoff."""
        connection.abort()
        self.process.counters["peer_connect_failures"] += 1
        if peer not in self.next_backoffs or peer in self.reconnect_timers:
            # `disconnect` was called, or another attempt is scheduled already.
            return
        backoff = self.next_backoffs[peer]
        self.next_backoffs[peer] = min(2 * backoff, MAX_RECONNECT_BACKOFF_S)
        delay = backoff * self.process.rng.uniform(MIN_JITTER_FRACTION, 1.0)
        timer = self.process.reactor.callLater(delay, self._start_attempt, peer)
        self.reconnect_timers[peer] = timer
        self.transport.handlers.on_disconnected(peer)


def open_connection(connection: PeerConnection) -> "defer.Deferred[str]":
    """Connect to the connection's peer and send `Hello`; the result is the name that the peer responds with.

    The caller has to set a timeout.
    """
    process = connection.manager.process
    host, port = process.config.peers[connection.peer]
    endpoint = endpoints.TCP4ClientEndpoint(process.reactor, host, port, timeout=CONNECT_TIMEOUT_S)
    attempt = endpoints.connectProtocol(endpoint, connection)
    attempt.addCallback(lambda _: connection.send_hello(process.config.name, process.name))
    return cast("defer.Deferred[str]", attempt)
