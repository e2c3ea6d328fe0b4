"""The link between balancers: calls with a name, bytes there and bytes back, over Twisted's AMP.

Owns the connections between peers, who they are with, and the bounds on all of it: bytes and calls in flight,
the time of a call, connections, redials. It must never know what a call means, hold the reactor up, let one
peer's stall cost another anything, or fall over what a peer sends.
"""

import contextlib
import random
import re
from collections import Counter
from collections.abc import Callable

from twisted.internet import defer, endpoints
from twisted.internet.protocol import Factory
from twisted.protocols import amp
from twisted.python import failure

from lotusroute.fleet.config import FleetConfig
from lotusroute.net.structured_log import log_event

PROTOCOL_VERSION = 1  # of what is said on the link: who speaks another is let go
MAX_BODY_BYTES = 60_000  # bytes of one call or answer: AMP carries 65,535
MAX_CALLS_IN_FLIGHT = 64  # calls in flight to one peer: more wait for nothing, they fail at once
MAX_BYTES_IN_FLIGHT = 262_144  # the same in bytes: what a stalled peer may hold of our memory
CALL_TIMEOUT = 1.0  # s for an answer: a lease's patience is less, a list may take longer than a word
MAX_CONSECUTIVE_TIMEOUTS = 3  # calls in a row without an answer after which a connection is given up
HELLO_TIMEOUT = 2.0  # s for a newcomer to say who it is
RECONNECT_BACKOFF = (
    0.1,
    5.0,
)  # s, first and longest pause before dialling again; doubled, and half of it drawn
CONNECT_TIMEOUT = 2.0  # s for a connection to come up
LISTEN_BACKLOG = 64  # connections that may wait to be accepted
SUBSCRIBER_NAME = re.compile(
    r"[0-9A-Za-z][0-9A-Za-z_.:-]{0,63}"
)  # names of those that come in without being peers
MAX_CONNECTIONS_PER_PEER = (
    4  # connections that one peer may have here: one, and those that died without a word
)


class CallFailed(Exception):
    """A call that brought nothing; says why: unreachable, crowded, late, stranger, large."""


class Hello(amp.Command):
    """Who we are; the first call on a connection."""

    arguments = [(b"fleet", amp.Unicode()), (b"form", amp.Integer()), (b"name", amp.Unicode())]
    response = [(b"name", amp.Unicode())]


class Call(amp.Command):
    """A call by its name."""

    arguments = [(b"kind", amp.Unicode()), (b"body", amp.String())]
    response = [(b"body", amp.String())]
    errors = {CallFailed: b"FAILED"}


class PeerConnection(amp.AMP):
    """One connection, whoever dialled it."""

    noisy = False

    def __init__(self, peer_transport: "PeerTransport", peer: str = "") -> None:
        super().__init__()
        self.peer_transport, self.peer = peer_transport, peer  # empty until a newcomer has said it
        self.calls_in_flight = self.bytes_in_flight = self.consecutive_timeouts = 0
        self.greeted = False
        self.hello_timer = None

    def connectionMade(self) -> None:
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        if not self.peer:
            self.hello_timer = self.peer_transport.reactor.callLater(
                HELLO_TIMEOUT, self._reject_unknown_peer, "said nothing"
            )

    def sendBox(self, box: amp.Box) -> None:
        data = box.serialize()
        self.peer_transport.counters["peer_bytes_sent"] += len(data)
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        self.peer_transport.counters["peer_bytes_received"] += len(data)
        try:
            super().dataReceived(data)
        except Exception:  # whatever a peer sends ends its connection, and nothing else
            self.peer_transport.counters["peer_malformed_input"] += 1
            self.transport.abortConnection()

    def unhandledError(self, reason: failure.Failure) -> None:
        """A call that nobody here knows, or an answer that does not fit."""
        self.peer_transport.counters["peer_malformed_input"] += 1
        self.transport.abortConnection()

    def connectionLost(self, reason: failure.Failure) -> None:
        # AMP fails all calls in hand, which were taken off the bounds as they end.
        super().connectionLost(reason)
        self._cancel_hello_timer()
        self.peer_transport.connection_lost(self)

    def _cancel_hello_timer(self) -> None:
        if self.hello_timer is not None and self.hello_timer.active():
            self.hello_timer.cancel()

    def _reject_unknown_peer(self, reason: str) -> None:
        self._cancel_hello_timer()
        self.peer_transport.counters["unknown_peers"] += 1
        log_event("unknown peer disconnected", why=reason)
        self.transport.abortConnection()

    @Hello.responder
    def hello(self, fleet: str, form: int, name: str) -> dict:
        """A newcomer says who it is."""
        config = self.peer_transport.config
        known = name in config.peers or name == OBSERVER or self.peer_transport.admits_subscriber(name)
        if self.greeted or self.peer or (fleet, form) != (config.name, PROTOCOL_VERSION) or not known:
            self.peer_transport.reactor.callLater(
                0, self._reject_unknown_peer, f"fleet {fleet[:64]} form {form} name {name[:64]}"
            )
            return {"name": self.peer_transport.name}
        self._cancel_hello_timer()
        self.peer, self.greeted = name, True
        self.peer_transport.peer_identified(self)
        return {"name": self.peer_transport.name}

    @Call.responder
    def called(self, kind: str, body: bytes):
        """A peer calls."""
        if not self.greeted:
            self.peer_transport.reactor.callLater(
                0, self._reject_unknown_peer, "called before it said who it is"
            )
            raise CallFailed("stranger")
        self.peer_transport.counters["peer_calls_received"] += 1
        answer = defer.maybeDeferred(self.peer_transport.handle_call, self.peer, kind, body)
        answer.addCallbacks(lambda back: {"body": back}, self._call_rejected)
        return answer

    def _call_rejected(self, reason: failure.Failure) -> None:
        self.peer_transport.counters["peer_calls_rejected"] += 1
        raise CallFailed(str(reason.value)[:200])

    def send_hello(self, fleet: str, name: str) -> defer.Deferred:
        """Say who we are; brings who the other is."""
        hello = self.callRemote(Hello, fleet=fleet, form=PROTOCOL_VERSION, name=name)
        return hello.addCallback(lambda response: response["name"])

    def call(self, kind: str, body: bytes) -> defer.Deferred:
        """Call the peer, within the bounds."""
        counters, reactor = self.peer_transport.counters, self.peer_transport.reactor
        if len(body) > MAX_BODY_BYTES:
            return defer.fail(CallFailed("large"))
        if (
            self.calls_in_flight >= MAX_CALLS_IN_FLIGHT
            or self.bytes_in_flight + len(body) > MAX_BYTES_IN_FLIGHT
        ):
            counters["peer_calls_over_limit"] += 1
            return defer.fail(CallFailed("crowded"))
        self.calls_in_flight, self.bytes_in_flight = (
            self.calls_in_flight + 1,
            self.bytes_in_flight + len(body),
        )
        counters["peer_calls_sent"] += 1
        response: defer.Deferred = defer.Deferred()

        def ended(result: object) -> None:
            # Only now: one that is late still takes a place with the peer.
            self.calls_in_flight, self.bytes_in_flight = (
                self.calls_in_flight - 1,
                self.bytes_in_flight - len(body),
            )
            timer.cancel() if timer.active() else None
            if response.called:
                return
            if isinstance(result, failure.Failure):
                if not result.check(CallFailed):
                    result = failure.Failure(CallFailed("unreachable"))
                response.errback(result)
            else:
                self.consecutive_timeouts = 0
                response.callback(result["body"])

        def late() -> None:
            counters["peer_call_timeouts"] += 1
            self.consecutive_timeouts += 1
            response.errback(CallFailed("late"))
            if self.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
                # It takes our bytes and answers nothing: another connection may do better.
                self.transport.abortConnection()

        timer = reactor.callLater(CALL_TIMEOUT, late)
        self.callRemote(Call, kind=kind, body=body).addBoth(ended)
        return response


OBSERVER = "-"  # the name of a command that only looks


class PeerTransport:
    """All connections of one balancer; those to peers are dialled when first called, and kept up then."""

    def __init__(
        self,
        reactor,
        config: FleetConfig,
        name: str,
        rng: random.Random,
        counters,
        serve: Callable[[str, str, bytes], object],
        on_connected: Callable[[str], object] = str,
        on_disconnected: Callable[[str], object] = str,
    ) -> None:
        """`up(peer)`: one that we dialled is greeted; `left(peer)`: that, or the last from there, ended."""
        self.reactor, self.config, self.name, self.rng, self.counters = reactor, config, name, rng, counters
        self.on_connected, self.on_disconnected = on_connected, on_disconnected
        self.wanted_peers: set[str] = set()  # peers to which a connection is kept up; leave with `drop`
        self.handle_call = serve  # (peer, kind, body) to bytes or a Deferred of them; raises Failed to refuse
        self.outbound: dict[str, PeerConnection] = {}  # by peer, greeted; leave when lost
        self.inbound: dict[
            str, list[PeerConnection]
        ] = {}  # by peer, EACH at most, newest last; leave when lost
        self.connecting: dict[str, float] = {}  # peers that are dialled, and the pause after the next failure
        self.reconnect_timers: dict[
            str, object
        ] = {}  # by peer, the next try; leave as it begins or is taken back
        self.port = None
        self.closed = False

    def listen(self) -> defer.Deferred:
        """Take connections at the own address."""
        host, port = self.config.peers[self.name]
        factory = Factory.forProtocol(lambda: PeerConnection(self))
        factory.noisy = False
        found = endpoints.TCP4ServerEndpoint(self.reactor, port, LISTEN_BACKLOG, host).listen(factory)
        return found.addCallback(lambda port: setattr(self, "port", port))

    def close(self) -> None:
        """End all connections."""
        self.closed = True
        if self.port is not None:
            self.port.stopListening()
        for connection in [
            *self.outbound.values(),
            *(one for group in self.inbound.values() for one in group),
        ]:
            connection.transport.loseConnection()

    def call(self, peer: str, kind: str, body: bytes) -> defer.Deferred:
        """Call a peer; brings its answer, or fails with Failed."""
        connection = self.outbound.get(peer)
        if connection is None:
            self.connect(peer)
            return defer.fail(CallFailed("unreachable"))
        return connection.call(kind, body)

    def call_inbound(self, peer: str, kind: str, body: bytes) -> defer.Deferred:
        """Call one that has dialled us, on its own connection."""
        connections = self.inbound.get(peer)
        return connections[-1].call(kind, body) if connections else defer.fail(CallFailed("unreachable"))

    def admits_subscriber(self, name: str) -> bool:
        """Whether one that no file names may come in: as many as the plan has room for."""
        subscribers = len(self.inbound) - len(self.inbound.keys() & self.config.peers.keys())
        return SUBSCRIBER_NAME.fullmatch(name) is not None and (
            name in self.inbound or subscribers < self.config.max_subscribers
        )

    def connect(self, peer: str) -> None:
        """Keep a connection to a peer up from now on."""
        self.wanted_peers.add(peer)
        if self.closed or peer in self.outbound or peer in self.connecting or peer not in self.config.peers:
            return
        self.connecting[peer] = RECONNECT_BACKOFF[0]
        self._open_connection(peer)

    def disconnect(self, peer: str) -> None:
        """Keep no connection to a peer any more."""
        self.wanted_peers.discard(peer)
        self.connecting.pop(peer, None)
        if reconnect_timer := self.reconnect_timers.pop(peer, None):
            reconnect_timer.cancel()
        if connection := self.outbound.get(peer):
            connection.transport.loseConnection()

    def _open_connection(self, peer: str) -> None:
        self.reconnect_timers.pop(peer, None)
        if self.closed:
            return
        host, port = self.config.peers[peer]
        point = endpoints.TCP4ClientEndpoint(self.reactor, host, port, timeout=CONNECT_TIMEOUT)
        connection = PeerConnection(self, peer)
        trying = endpoints.connectProtocol(point, connection)
        trying.addCallback(lambda connection: connection.send_hello(self.config.name, self.name))
        trying.addTimeout(CONNECT_TIMEOUT + HELLO_TIMEOUT, self.reactor)
        trying.addCallbacks(
            lambda name: self._connection_ready(peer, connection, name),
            lambda _: self._connection_failed(peer, connection),
        )

    def _connection_ready(self, peer: str, connection: PeerConnection, name: str) -> None:
        unfit = connection.transport is None or connection.transport.disconnecting
        if name != peer or unfit or self.closed or peer not in self.connecting:
            self.counters["unknown_peers"] += name != peer
            self._connection_failed(peer, connection)
            return
        connection.greeted = True
        del self.connecting[peer]
        self.outbound[peer] = connection
        self.counters["peer_connects"] += 1
        log_event("peer connected", peer=peer)
        self.on_connected(peer)

    def _connection_failed(self, peer: str, connection: PeerConnection) -> None:
        if connection.transport is not None:
            connection.transport.abortConnection()
        self.counters["peer_connect_failures"] += 1
        if peer not in self.connecting or peer in self.reconnect_timers:
            return  # taken back, or dialled anew meanwhile
        pause = self.connecting[peer]
        self.connecting[peer] = min(2 * pause, RECONNECT_BACKOFF[1])
        later = self.reactor.callLater(pause * self.rng.uniform(0.5, 1.0), self._open_connection, peer)
        self.reconnect_timers[peer] = later
        self.on_disconnected(peer)

    def peer_identified(self, connection: PeerConnection) -> None:
        """A newcomer has said who it is."""
        connections = self.inbound.setdefault(connection.peer, [])
        connections.append(connection)
        if len(connections) > MAX_CONNECTIONS_PER_PEER:
            self.counters["peer_connections_over_limit"] += 1
            connections[0].transport.abortConnection()

    def connection_lost(self, connection: PeerConnection) -> None:
        """A connection is over."""
        if self.outbound.get(connection.peer) is connection:
            del self.outbound[connection.peer]
            self.counters["peer_disconnects"] += 1
            log_event("peer disconnected", peer=connection.peer)
            if connection.peer in self.wanted_peers:
                self.connect(connection.peer)
            self.on_disconnected(connection.peer)
        connections = self.inbound.get(connection.peer, [])
        with contextlib.suppress(ValueError):
            connections.remove(connection)
        if not connections and self.inbound.pop(connection.peer, None) is not None:
            self.on_disconnected(connection.peer)


def query_peer(reactor, config: FleetConfig, peer: str) -> defer.Deferred:
    """Ask one balancer once what it shows, for a command; brings its bytes."""
    peer_transport = PeerTransport(reactor, config, OBSERVER, random.Random(), Counter(), lambda *_: b"")
    connection = PeerConnection(peer_transport, peer)
    point = endpoints.TCP4ClientEndpoint(reactor, *config.peers[peer], timeout=CONNECT_TIMEOUT)
    asked = endpoints.connectProtocol(point, connection)
    asked.addCallback(lambda connection: connection.send_hello(config.name, OBSERVER))
    asked.addCallback(lambda _: connection.call("show", b""))
    asked.addTimeout(CONNECT_TIMEOUT + HELLO_TIMEOUT, reactor)

    def end(result: object) -> object:
        peer_transport.closed = True
        if connection.transport is not None:
            connection.transport.loseConnection()
        return result

    return asked.addBoth(end)
