"""The connections of one process to its peers: listening, connecting, reconnecting with backoff.

A connection to a peer is opened at the first call and kept up from then on. What the calls mean is up to the
services above, which pass a handler for the calls of peers.
"""

import contextlib
import random
import re
from collections import Counter
from collections.abc import Callable

from twisted.internet import defer, endpoints
from twisted.internet.base import DelayedCall, ReactorBase
from twisted.internet.interfaces import IListeningPort
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from lotusroute.fleet.config import FleetConfig
from lotusroute.fleet.peer_connection import (
    HELLO_TIMEOUT,
    OBSERVER,
    SHOW_CALL,
    CallError,
    CallFailure,
    CallHandler,
    PeerConnection,
)
from lotusroute.net.structured_log import log_event

RECONNECT_BACKOFF = 0.1, 5.0  # s, first and longest; doubled at each failure, with a jitter of half of it
CONNECT_TIMEOUT = 2.0  # s
LISTEN_BACKLOG = 64  # connections waiting to be accepted
SUBSCRIBER_NAME = re.compile(r"[0-9A-Za-z][0-9A-Za-z_.:-]{0,63}")  # names of processes that are not peers
MAX_CONNECTIONS_PER_PEER = 4  # inbound: one in use, and those whose end has not been noticed yet


def ignore_peer(peer: str) -> None:
    """Ignore a connection event; the default callback."""


class PeerTransport:
    """All connections of one process to and from its peers."""

    def __init__(
        self,
        reactor: ReactorBase,
        config: FleetConfig,
        name: str,
        rng: random.Random,
        counters: Counter,
        handle_call: CallHandler,
        on_connected: Callable[[str], object] = ignore_peer,
        on_disconnected: Callable[[str], object] = ignore_peer,
    ) -> None:
        """Set up without connecting.

        `handle_call(peer, kind, body)` returns the response's body, or raises `CallError`.
        `on_connected(peer)` is called when an outbound connection is up, `on_disconnected(peer)` when it is
        lost or could not be opened, or when the last inbound connection of a peer is lost.
        """
        self.reactor = reactor
        self.config = config
        self.name = name
        self.rng = rng
        self.counters = counters
        self.handle_call = handle_call
        self.on_connected = on_connected
        self.on_disconnected = on_disconnected
        self.wanted_peers: set[str] = set()  # peers to stay connected to; removed by `disconnect`
        self.outbound: dict[str, PeerConnection] = {}  # by peer; established ones only
        self.inbound: dict[str, list[PeerConnection]] = {}  # by peer; MAX_CONNECTIONS_PER_PEER, newest last
        self.connecting: dict[str, float] = {}  # peers being connected to, with the backoff after a failure
        self.reconnect_timers: dict[str, DelayedCall] = {}  # by peer, the next attempt
        self.port: IListeningPort | None = None
        self.closed = False

    def listen(self) -> "defer.Deferred[None]":
        """Accept connections at this process's own address."""
        host, port = self.config.peers[self.name]
        factory = Factory.forProtocol(lambda: PeerConnection(self))
        factory.noisy = False
        endpoint = endpoints.TCP4ServerEndpoint(self.reactor, port, LISTEN_BACKLOG, host)
        return endpoint.listen(factory).addCallback(self._listening)

    def _listening(self, port: IListeningPort) -> None:
        self.port = port

    def close(self) -> None:
        """Close all connections and open no more."""
        self.closed = True
        if self.port is not None:
            self.port.stopListening()
        connections = list(self.outbound.values())
        for inbound in self.inbound.values():
            connections += inbound
        for connection in connections:
            connection.transport.loseConnection()

    # Calls

    def call(self, peer: str, kind: str, body: bytes) -> "defer.Deferred[bytes]":
        """Call a peer on the outbound connection; the result is its response, or fails with `CallError`."""
        connection = self.outbound.get(peer)
        if connection is None:
            self.connect(peer)
            return defer.fail(CallError(CallFailure.UNREACHABLE))
        return connection.call(kind, body)

    def call_inbound(self, peer: str, kind: str, body: bytes) -> "defer.Deferred[bytes]":
        """Call a process that connected to this one, on its newest connection."""
        connections = self.inbound.get(peer)
        if not connections:
            return defer.fail(CallError(CallFailure.UNREACHABLE))
        return connections[-1].call(kind, body)

    # Outbound connections

    def connect(self, peer: str) -> None:
        """Keep a connection to a peer up from now on."""
        self.wanted_peers.add(peer)
        if self.closed or peer in self.outbound or peer in self.connecting or peer not in self.config.peers:
            return
        self.connecting[peer] = RECONNECT_BACKOFF[0]
        self._open_connection(peer)

    def disconnect(self, peer: str) -> None:
        """Close the connection to a peer and do not reconnect."""
        self.wanted_peers.discard(peer)
        self.connecting.pop(peer, None)
        timer = self.reconnect_timers.pop(peer, None)
        if timer is not None:
            timer.cancel()
        connection = self.outbound.get(peer)
        if connection is not None:
            connection.transport.loseConnection()

    def _open_connection(self, peer: str) -> None:
        self.reconnect_timers.pop(peer, None)
        if self.closed:
            return
        host, port = self.config.peers[peer]
        endpoint = endpoints.TCP4ClientEndpoint(self.reactor, host, port, timeout=CONNECT_TIMEOUT)
        connection = PeerConnection(self, peer)
        attempt = endpoints.connectProtocol(endpoint, connection)
        attempt.addCallback(lambda _: connection.send_hello(self.config.name, self.name))
        attempt.addTimeout(CONNECT_TIMEOUT + HELLO_TIMEOUT, self.reactor)
        attempt.addCallbacks(
            lambda name: self._hello_answered(peer, connection, name),
            lambda _: self._connect_failed(peer, connection),
        )

    def _hello_answered(self, peer: str, connection: PeerConnection, name: str) -> None:
        if name != peer:
            self.counters["unknown_peers"] += 1
        lost = connection.transport is None or connection.transport.disconnecting
        if name != peer or lost or self.closed or peer not in self.connecting:
            self._connect_failed(peer, connection)
            return
        connection.greeted = True
        del self.connecting[peer]
        self.outbound[peer] = connection
        self.counters["peer_connects"] += 1
        log_event("peer connected", peer=peer)
        self.on_connected(peer)

    def _connect_failed(self, peer: str, connection: PeerConnection) -> None:
        """Schedule the next attempt, with exponential backoff."""
        if connection.transport is not None:
            connection.transport.abortConnection()
        self.counters["peer_connect_failures"] += 1
        if peer not in self.connecting or peer in self.reconnect_timers:
            return  # disconnected on request, or being connected to anew
        backoff = self.connecting[peer]
        self.connecting[peer] = min(2 * backoff, RECONNECT_BACKOFF[1])
        delay = backoff * self.rng.uniform(0.5, 1.0)
        self.reconnect_timers[peer] = self.reactor.callLater(delay, self._open_connection, peer)
        self.on_disconnected(peer)

    # Called by the connections

    def admits_subscriber(self, name: str) -> bool:
        """Whether a process that is not a peer may connect: a valid name, and below the limit."""
        if SUBSCRIBER_NAME.fullmatch(name) is None:
            return False
        subscribers = len(self.inbound) - len(self.inbound.keys() & self.config.peers.keys())
        return name in self.inbound or subscribers < self.config.max_subscribers

    def peer_identified(self, connection: PeerConnection) -> None:
        """Handle the valid Hello of an inbound connection."""
        connections = self.inbound.setdefault(connection.peer, [])
        connections.append(connection)
        if len(connections) > MAX_CONNECTIONS_PER_PEER:
            self.counters["peer_connections_over_limit"] += 1
            connections[0].transport.abortConnection()

    def connection_lost(self, connection: PeerConnection) -> None:
        """Handle the end of a connection."""
        peer = connection.peer
        if self.outbound.get(peer) is connection:
            self._outbound_lost(peer)
        connections = self.inbound.get(peer, [])
        with contextlib.suppress(ValueError):
            connections.remove(connection)
        if not connections and self.inbound.pop(peer, None) is not None:
            self.on_disconnected(peer)

    def _outbound_lost(self, peer: str) -> None:
        del self.outbound[peer]
        self.counters["peer_disconnects"] += 1
        log_event("peer disconnected", peer=peer)
        if peer in self.wanted_peers:
            self.connect(peer)
        self.on_disconnected(peer)


def query_peer(reactor: ReactorBase, config: FleetConfig, peer: str) -> "defer.Deferred[bytes]":
    """Read the status of one balancer for a command; the result is JSON."""
    transport = PeerTransport(reactor, config, OBSERVER, random.Random(), Counter(), _empty_response)
    connection = PeerConnection(transport, peer)
    host, port = config.peers[peer]
    endpoint = endpoints.TCP4ClientEndpoint(reactor, host, port, timeout=CONNECT_TIMEOUT)
    query = endpoints.connectProtocol(endpoint, connection)
    query.addCallback(lambda _: connection.send_hello(config.name, OBSERVER))
    query.addCallback(lambda _: connection.call(SHOW_CALL, b""))
    query.addTimeout(CONNECT_TIMEOUT + HELLO_TIMEOUT, reactor)

    def close(result: bytes | Failure) -> bytes | Failure:
        transport.closed = True
        if connection.transport is not None:
            connection.transport.loseConnection()
        return result

    return query.addBoth(close)


def _empty_response(peer: str, kind: str, body: bytes) -> bytes:
    """Respond to the calls of a peer that is only queried."""
    return b""
