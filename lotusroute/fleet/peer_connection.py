"""One connection between two balancers: AMP calls with a kind and opaque bytes in both directions.

The side that connected sends `Hello` first. Calls in flight, their bytes and their time are bounded, and
whatever a peer sends can at most end its own connection. The class names of the AMP commands are not on the
wire: `commandName` is.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import NoReturn, Protocol

from twisted.internet import defer
from twisted.internet.base import DelayedCall, ReactorBase
from twisted.internet.protocol import connectionDone
from twisted.protocols import amp
from twisted.python.failure import Failure

from lotusroute.errors import LotusrouteError
from lotusroute.fleet.config import FleetConfig
from lotusroute.net.structured_log import log_event

PROTOCOL_VERSION = 1  # processes that speak another version are rejected
MAX_BODY_BYTES = 60_000  # of one call or response: AMP carries 65,535
MAX_CALLS_IN_FLIGHT = 64  # to one peer; further calls fail at once instead of queueing
MAX_BYTES_IN_FLIGHT = 262_144  # to one peer: the memory that a stalled peer can occupy
CALL_TIMEOUT = 1.0  # s for a response: longer than a lease request's timeout, for endpoint lists take longer
MAX_CONSECUTIVE_TIMEOUTS = 3  # after which the connection is closed
HELLO_TIMEOUT = 2.0  # s for a new connection to identify itself
OBSERVER = "-"  # the name of a command-line client, which may only read the status

SHOW_CALL = "show"  # the kind of the call that reads a balancer's status

CallHandler = Callable[[str, str, bytes], "bytes | defer.Deferred[bytes]"]


class CallFailure(StrEnum):
    """Why a call failed without reaching its handler; the values may be on the wire."""

    UNREACHABLE = "unreachable"
    OVER_LIMIT = "crowded"
    TIMEOUT = "late"
    UNKNOWN_PEER = "stranger"
    TOO_LARGE = "large"


class CallError(LotusrouteError):
    """A call without a result; the message is a `CallFailure` or the reason that the peer's handler gave."""


class Hello(amp.Command):
    """Identifies the connecting process; the first call on a connection."""

    commandName = b"Hello"
    arguments = [(b"fleet", amp.Unicode()), (b"form", amp.Integer()), (b"name", amp.Unicode())]
    response = [(b"name", amp.Unicode())]


class Call(amp.Command):
    """A call of a kind that the services above define."""

    commandName = b"Call"
    arguments = [(b"kind", amp.Unicode()), (b"body", amp.String())]
    response = [(b"body", amp.String())]
    errors = {CallError: b"FAILED"}


class ConnectionManager(Protocol):
    """What a connection needs from the transport that it belongs to."""

    reactor: ReactorBase
    config: FleetConfig
    name: str
    counters: Counter
    handle_call: CallHandler

    def admits_subscriber(self, name: str) -> bool:
        """Whether a process that is not a peer may connect under this name."""

    def peer_identified(self, connection: "PeerConnection") -> None:
        """Handle the valid `Hello` of an inbound connection."""

    def connection_lost(self, connection: "PeerConnection") -> None:
        """Handle the end of a connection."""


class PeerConnection(amp.AMP):
    """One connection, inbound or outbound."""

    noisy = False

    def __init__(self, manager: ConnectionManager, peer: str = "") -> None:
        """`peer` is the name of the process connected to; empty if inbound, until its Hello."""
        super().__init__()
        self.manager = manager
        self.peer = peer
        self.greeted = False  # Hello has been exchanged
        self.calls_in_flight = 0
        self.bytes_in_flight = 0
        self.consecutive_timeouts = 0
        self._hello_timer: DelayedCall | None = None

    # Twisted's events

    def connectionMade(self) -> None:
        """Limit the time until an inbound connection identifies itself."""
        super().connectionMade()
        self.transport.setTcpNoDelay(True)
        self.transport.setTcpKeepAlive(True)
        if not self.peer:
            self._hello_timer = self.manager.reactor.callLater(
                HELLO_TIMEOUT, self._reject_unknown_peer, "said nothing"
            )

    def sendBox(self, box: amp.Box) -> None:
        """Send a box and count its bytes."""
        data = box.serialize()
        self.manager.counters["peer_bytes_sent"] += len(data)
        self.transport.write(data)

    def dataReceived(self, data: bytes) -> None:
        """Parse received data; malformed data closes the connection."""
        self.manager.counters["peer_bytes_received"] += len(data)
        try:
            super().dataReceived(data)
        except Exception:  # isolates this connection: whatever a peer sends must not affect the others
            self._abort_malformed()

    def unhandledError(self, failure: Failure) -> None:
        """Close the connection after an unknown command or an invalid response."""
        self._abort_malformed()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Fail all calls in flight, which AMP does, and inform the manager."""
        super().connectionLost(reason)
        self._cancel_hello_timer()
        self.manager.connection_lost(self)

    def _abort_malformed(self) -> None:
        self.manager.counters["peer_malformed_input"] += 1
        self.transport.abortConnection()

    def _cancel_hello_timer(self) -> None:
        if self._hello_timer is not None and self._hello_timer.active():
            self._hello_timer.cancel()

    def _reject_unknown_peer(self, reason: str) -> None:
        self._cancel_hello_timer()
        self.manager.counters["unknown_peers"] += 1
        log_event("unknown peer disconnected", reason=reason)
        self.transport.abortConnection()

    # Calls from the peer

    @Hello.responder
    def hello(self, fleet: str, form: int, name: str) -> dict[str, str]:
        """Handle the Hello of an inbound connection."""
        config = self.manager.config
        same_protocol = (fleet, form) == (config.name, PROTOCOL_VERSION)
        known = name in config.peers or name == OBSERVER or self.manager.admits_subscriber(name)
        if self.greeted or self.peer or not same_protocol or not known:
            reason = f"fleet {fleet[:64]} form {form} name {name[:64]}"
            self.manager.reactor.callLater(0, self._reject_unknown_peer, reason)
            return {"name": self.manager.name}
        self._cancel_hello_timer()
        self.peer = name
        self.greeted = True
        self.manager.peer_identified(self)
        return {"name": self.manager.name}

    @Call.responder
    def called(self, kind: str, body: bytes) -> "defer.Deferred[dict[str, bytes]]":
        """Handle a call of the peer."""
        if not self.greeted:
            self.manager.reactor.callLater(0, self._reject_unknown_peer, "called before it said who it is")
            raise CallError(CallFailure.UNKNOWN_PEER)
        self.manager.counters["peer_calls_received"] += 1
        response = defer.maybeDeferred(self.manager.handle_call, self.peer, kind, body)
        return response.addCallbacks(lambda result: {"body": result}, self._call_rejected)

    def _call_rejected(self, failure: Failure) -> NoReturn:
        self.manager.counters["peer_calls_rejected"] += 1
        raise CallError(str(failure.value)[:200])

    # Calls to the peer

    def send_hello(self, fleet: str, name: str) -> "defer.Deferred[str]":
        """Identify this process; the result is the peer's name."""
        hello = self.callRemote(Hello, fleet=fleet, form=PROTOCOL_VERSION, name=name)
        return hello.addCallback(lambda response: response["name"])

    def call(self, kind: str, body: bytes) -> "defer.Deferred[bytes]":
        """Call the peer; the result is the response's body, or fails with `CallError`."""
        if len(body) > MAX_BODY_BYTES:
            return defer.fail(CallError(CallFailure.TOO_LARGE))
        bytes_in_flight = self.bytes_in_flight + len(body)
        if self.calls_in_flight >= MAX_CALLS_IN_FLIGHT or bytes_in_flight > MAX_BYTES_IN_FLIGHT:
            self.manager.counters["peer_calls_over_limit"] += 1
            return defer.fail(CallError(CallFailure.OVER_LIMIT))
        self.calls_in_flight += 1
        self.bytes_in_flight = bytes_in_flight
        self.manager.counters["peer_calls_sent"] += 1
        response: defer.Deferred[bytes] = defer.Deferred()
        timer = self.manager.reactor.callLater(CALL_TIMEOUT, self._call_timed_out, response)
        request = self.callRemote(Call, kind=kind, body=body)
        request.addBoth(self._call_ended, response, timer, len(body))
        return response

    def _call_timed_out(self, response: "defer.Deferred[bytes]") -> None:
        self.manager.counters["peer_call_timeouts"] += 1
        self.consecutive_timeouts += 1
        response.errback(CallError(CallFailure.TIMEOUT))
        if self.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
            # The peer takes our bytes and does not respond: a new connection may do better.
            self.transport.abortConnection()

    def _call_ended(
        self,
        result: dict[str, bytes] | Failure,
        response: "defer.Deferred[bytes]",
        timer: DelayedCall,
        size: int,
    ) -> None:
        # Not before: a call that timed out still occupies the peer.
        self.calls_in_flight -= 1
        self.bytes_in_flight -= size
        if timer.active():
            timer.cancel()
        if response.called:
            return
        if not isinstance(result, Failure):
            self.consecutive_timeouts = 0
            response.callback(result["body"])
        elif result.check(CallError):
            response.errback(result)
        else:
            response.errback(CallError(CallFailure.UNREACHABLE))
