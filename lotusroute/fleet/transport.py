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

FORM = 1  # of what is said on the link: who speaks another is let go
BODY = 60_000  # bytes of one call or answer: AMP carries 65,535
CALLS = 64  # calls in flight to one peer: more wait for nothing, they fail at once
BYTES = 262_144  # the same in bytes: what a stalled peer may hold of our memory
CALL = 1.0  # s for an answer: a lease's patience is less, a list may take longer than a word
STALLED = 3  # calls in a row without an answer after which a connection is given up
HELLO = 2.0  # s for a newcomer to say who it is
REDIAL = 0.1, 5.0  # s, first and longest pause before dialling again; doubled, and half of it drawn
DIAL = 2.0  # s for a connection to come up
BACKLOG = 64  # connections that may wait to be accepted
GUEST = re.compile(r"[0-9A-Za-z][0-9A-Za-z_.:-]{0,63}")  # names of those that come in without being peers
EACH = 4  # connections that one peer may have here: one, and those that died without a word


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

    def __init__(self, link: "PeerTransport", peer: str = "") -> None:
        super().__init__()
        self.link, self.peer = link, peer  # empty until a newcomer has said it
        self.calls = self.bytes = self.unanswered = 0
        self.greeted = False
        self.timer = None

    def connectionMade(self) -> None:
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        if not self.peer:
            self.timer = self.link.reactor.callLater(HELLO, self._stranger, "said nothing")

    def sendBox(self, box: amp.Box) -> None:
        data = box.serialize()
        self.link.counters["peer_bytes_sent"] += len(data)
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        self.link.counters["peer_bytes_received"] += len(data)
        try:
            super().dataReceived(data)
        except Exception:  # whatever a peer sends ends its connection, and nothing else
            self.link.counters["peer_malformed_input"] += 1
            self.transport.abortConnection()

    def unhandledError(self, reason: failure.Failure) -> None:
        """A call that nobody here knows, or an answer that does not fit."""
        self.link.counters["peer_malformed_input"] += 1
        self.transport.abortConnection()

    def connectionLost(self, reason: failure.Failure) -> None:
        # AMP fails all calls in hand, which were taken off the bounds as they end.
        super().connectionLost(reason)
        self._quiet()
        self.link.lost(self)

    def _quiet(self) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def _stranger(self, why: str) -> None:
        self._quiet()
        self.link.counters["unknown_peers"] += 1
        log_event("unknown peer disconnected", why=why)
        self.transport.abortConnection()

    @Hello.responder
    def hello(self, fleet: str, form: int, name: str) -> dict:
        """A newcomer says who it is."""
        plan = self.link.plan
        known = name in plan.peers or name == LOOKER or self.link.guest(name)
        if self.greeted or self.peer or (fleet, form) != (plan.name, FORM) or not known:
            self.link.reactor.callLater(0, self._stranger, f"fleet {fleet[:64]} form {form} name {name[:64]}")
            return {"name": self.link.name}
        self._quiet()
        self.peer, self.greeted = name, True
        self.link.came(self)
        return {"name": self.link.name}

    @Call.responder
    def called(self, kind: str, body: bytes):
        """A peer calls."""
        if not self.greeted:
            self.link.reactor.callLater(0, self._stranger, "called before it said who it is")
            raise CallFailed("stranger")
        self.link.counters["peer_calls_received"] += 1
        answer = defer.maybeDeferred(self.link.serve, self.peer, kind, body)
        answer.addCallbacks(lambda back: {"body": back}, self._refused)
        return answer

    def _refused(self, reason: failure.Failure) -> None:
        self.link.counters["peer_calls_rejected"] += 1
        raise CallFailed(str(reason.value)[:200])

    def greet(self, fleet: str, name: str) -> defer.Deferred:
        """Say who we are; brings who the other is."""
        hello = self.callRemote(Hello, fleet=fleet, form=FORM, name=name)
        return hello.addCallback(lambda told: told["name"])

    def ask(self, kind: str, body: bytes) -> defer.Deferred:
        """Call the peer, within the bounds."""
        counters, reactor = self.link.counters, self.link.reactor
        if len(body) > BODY:
            return defer.fail(CallFailed("large"))
        if self.calls >= CALLS or self.bytes + len(body) > BYTES:
            counters["peer_calls_over_limit"] += 1
            return defer.fail(CallFailed("crowded"))
        self.calls, self.bytes = self.calls + 1, self.bytes + len(body)
        counters["peer_calls_sent"] += 1
        told: defer.Deferred = defer.Deferred()

        def ended(result: object) -> None:
            # Only now: one that is late still takes a place with the peer.
            self.calls, self.bytes = self.calls - 1, self.bytes - len(body)
            timer.cancel() if timer.active() else None
            if told.called:
                return
            if isinstance(result, failure.Failure):
                if not result.check(CallFailed):
                    result = failure.Failure(CallFailed("unreachable"))
                told.errback(result)
            else:
                self.unanswered = 0
                told.callback(result["body"])

        def late() -> None:
            counters["peer_call_timeouts"] += 1
            self.unanswered += 1
            told.errback(CallFailed("late"))
            if self.unanswered >= STALLED:
                # It takes our bytes and answers nothing: another connection may do better.
                self.transport.abortConnection()

        timer = reactor.callLater(CALL, late)
        self.callRemote(Call, kind=kind, body=body).addBoth(ended)
        return told


LOOKER = "-"  # the name of a command that only looks


class PeerTransport:
    """All connections of one balancer; those to peers are dialled when first called, and kept up then."""

    def __init__(
        self,
        reactor,
        plan: FleetConfig,
        name: str,
        chance: random.Random,
        counters,
        serve: Callable[[str, str, bytes], object],
        up: Callable[[str], object] = str,
        left: Callable[[str], object] = str,
    ) -> None:
        """`up(peer)`: one that we dialled is greeted; `left(peer)`: that, or the last from there, ended."""
        self.reactor, self.plan, self.name, self.chance, self.counters = reactor, plan, name, chance, counters
        self.up, self.left = up, left
        self.kept: set[str] = set()  # peers to which a connection is kept up; leave with `drop`
        self.serve = serve  # (peer, kind, body) to bytes or a Deferred of them; raises Failed to refuse
        self.out: dict[str, PeerConnection] = {}  # by peer, greeted; leave when lost
        self.came_in: dict[
            str, list[PeerConnection]
        ] = {}  # by peer, EACH at most, newest last; leave when lost
        self.dialling: dict[str, float] = {}  # peers that are dialled, and the pause after the next failure
        self.redials: dict[str, object] = {}  # by peer, the next try; leave as it begins or is taken back
        self.port = None
        self.closed = False

    def listen(self) -> defer.Deferred:
        """Take connections at the own address."""
        host, port = self.plan.peers[self.name]
        factory = Factory.forProtocol(lambda: PeerConnection(self))
        factory.noisy = False
        found = endpoints.TCP4ServerEndpoint(self.reactor, port, BACKLOG, host).listen(factory)
        return found.addCallback(lambda port: setattr(self, "port", port))

    def close(self) -> None:
        """End all connections."""
        self.closed = True
        if self.port is not None:
            self.port.stopListening()
        for connection in [*self.out.values(), *(one for came in self.came_in.values() for one in came)]:
            connection.transport.loseConnection()

    def call(self, peer: str, kind: str, body: bytes) -> defer.Deferred:
        """Call a peer; brings its answer, or fails with Failed."""
        connection = self.out.get(peer)
        if connection is None:
            self.dial(peer)
            return defer.fail(CallFailed("unreachable"))
        return connection.ask(kind, body)

    def call_back(self, peer: str, kind: str, body: bytes) -> defer.Deferred:
        """Call one that has dialled us, on its own connection."""
        connections = self.came_in.get(peer)
        return connections[-1].ask(kind, body) if connections else defer.fail(CallFailed("unreachable"))

    def guest(self, name: str) -> bool:
        """Whether one that no file names may come in: as many as the plan has room for."""
        guests = len(self.came_in) - len(self.came_in.keys() & self.plan.peers.keys())
        return GUEST.fullmatch(name) is not None and (name in self.came_in or guests < self.plan.guests)

    def dial(self, peer: str) -> None:
        """Keep a connection to a peer up from now on."""
        self.kept.add(peer)
        if self.closed or peer in self.out or peer in self.dialling or peer not in self.plan.peers:
            return
        self.dialling[peer] = REDIAL[0]
        self._dial(peer)

    def drop(self, peer: str) -> None:
        """Keep no connection to a peer any more."""
        self.kept.discard(peer)
        self.dialling.pop(peer, None)
        if redial := self.redials.pop(peer, None):
            redial.cancel()
        if connection := self.out.get(peer):
            connection.transport.loseConnection()

    def _dial(self, peer: str) -> None:
        self.redials.pop(peer, None)
        if self.closed:
            return
        host, port = self.plan.peers[peer]
        point = endpoints.TCP4ClientEndpoint(self.reactor, host, port, timeout=DIAL)
        connection = PeerConnection(self, peer)
        trying = endpoints.connectProtocol(point, connection)
        trying.addCallback(lambda connection: connection.greet(self.plan.name, self.name))
        trying.addTimeout(DIAL + HELLO, self.reactor)
        trying.addCallbacks(
            lambda name: self._up(peer, connection, name), lambda _: self._down(peer, connection)
        )

    def _up(self, peer: str, connection: PeerConnection, name: str) -> None:
        unfit = connection.transport is None or connection.transport.disconnecting
        if name != peer or unfit or self.closed or peer not in self.dialling:
            self.counters["unknown_peers"] += name != peer
            self._down(peer, connection)
            return
        connection.greeted = True
        del self.dialling[peer]
        self.out[peer] = connection
        self.counters["peer_connects"] += 1
        log_event("peer connected", peer=peer)
        self.up(peer)

    def _down(self, peer: str, connection: PeerConnection) -> None:
        if connection.transport is not None:
            connection.transport.abortConnection()
        self.counters["peer_connect_failures"] += 1
        if peer not in self.dialling or peer in self.redials:
            return  # taken back, or dialled anew meanwhile
        pause = self.dialling[peer]
        self.dialling[peer] = min(2 * pause, REDIAL[1])
        later = self.reactor.callLater(pause * self.chance.uniform(0.5, 1.0), self._dial, peer)
        self.redials[peer] = later
        self.left(peer)

    def came(self, connection: PeerConnection) -> None:
        """A newcomer has said who it is."""
        connections = self.came_in.setdefault(connection.peer, [])
        connections.append(connection)
        if len(connections) > EACH:
            self.counters["peer_connections_over_limit"] += 1
            connections[0].transport.abortConnection()

    def lost(self, connection: PeerConnection) -> None:
        """A connection is over."""
        if self.out.get(connection.peer) is connection:
            del self.out[connection.peer]
            self.counters["peer_disconnects"] += 1
            log_event("peer disconnected", peer=connection.peer)
            if connection.peer in self.kept:
                self.dial(connection.peer)
            self.left(connection.peer)
        connections = self.came_in.get(connection.peer, [])
        with contextlib.suppress(ValueError):
            connections.remove(connection)
        if not connections and self.came_in.pop(connection.peer, None) is not None:
            self.left(connection.peer)


def query_peer(reactor, plan: FleetConfig, peer: str) -> defer.Deferred:
    """Ask one balancer once what it shows, for a command; brings its bytes."""
    link = PeerTransport(reactor, plan, LOOKER, random.Random(), Counter(), lambda *_: b"")
    connection = PeerConnection(link, peer)
    point = endpoints.TCP4ClientEndpoint(reactor, *plan.peers[peer], timeout=DIAL)
    asked = endpoints.connectProtocol(point, connection)
    asked.addCallback(lambda connection: connection.greet(plan.name, LOOKER))
    asked.addCallback(lambda _: connection.ask("show", b""))
    asked.addTimeout(DIAL + HELLO, reactor)

    def end(result: object) -> object:
        link.closed = True
        if connection.transport is not None:
            connection.transport.loseConnection()
        return result

    return asked.addBoth(end)
