"""One connection between two processes: AMP calls with a kind and an opaque body, in both directions.

The side that opened the connection sends `Hello` first. The number, bytes and duration of the calls in flight
are bounded, and nothing that a peer sends affects more than its own connection. AMP commands are identified
on the wire by `commandName`, not by the class name. Times are in seconds.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import NoReturn, Protocol, cast

from twisted.internet import defer, tcp
from twisted.internet.base import DelayedCall
from twisted.internet.protocol import connectionDone
from twisted.protocols import amp
from twisted.python.failure import Failure

from lotusroute.fleet.errors import (
    UNIDENTIFIED_PEER_DESCRIPTION,
    BodyTooLargeError,
    CallError,
    CallLimitError,
    CallTimeoutError,
    PeerUnreachableError,
    UnidentifiedPeerError,
)
from lotusroute.fleet.process import FleetProcess
from lotusroute.net.structured_log import log_event

PROTOCOL_VERSION = 1  # processes with another version are rejected
MAX_BODY_BYTES = 60_000  # the largest body of a call or response; an AMP value carries at most 65,535 bytes
# The largest number of calls in flight to one peer. Further calls fail at once instead of being queued.
MAX_CALLS_IN_FLIGHT = 64
# The largest total size of the bodies of calls in flight to one peer. It bounds the memory that a stalled
# peer can occupy.
MAX_BYTES_IN_FLIGHT = 262_144
# The time to wait for the response to a call. It is longer than the timeout of lease requests, because
# endpoint lists take longer.
CALL_TIMEOUT_S = 1.0
MAX_CONSECUTIVE_TIMEOUTS = 3  # after this many calls in a row have timed out, the connection is closed
HELLO_TIMEOUT_S = 2.0  # the time in which a new connection has to identify itself
MAX_DESCRIPTION_LENGTH = 200  # the longest text of an error that is sent to the caller, in characters
# The longest name, or kind of a call, that an unknown process sends and a log record quotes, in characters.
MAX_LOGGED_NAME_LENGTH = 64
OBSERVER = "-"  # the name of a command-line client, which may only read the status
STATUS_CALL = "show"  # the kind, on the wire, of the call that reads a process's status

# Handles a call, given the peer's name, the call's kind and the body. Returns the response's body, or raises
# `CallError` to reject the call.
CallHandler = Callable[[str, str, bytes], "bytes | defer.Deferred[bytes]"]


def ignore_peer_event(peer: str) -> None:
    """Ignore that a peer connected or disconnected; the default callback."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerHandlers:
    """The callbacks through which a transport passes calls and events to the service above it."""

    handle_call: CallHandler  # called for each call of an identified peer
    # Called with the peer's name when an outbound connection is established.
    on_connected: Callable[[str], object] = ignore_peer_event
    # Called with the peer's name when an outbound connection is lost or could not be opened, or when the
    # peer's last inbound connection is lost.
    on_disconnected: Callable[[str], object] = ignore_peer_event


class Hello(amp.Command):
    """The first call on a connection; identifies the connecting process."""

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

    process: FleetProcess
    handlers: PeerHandlers

    def admits_subscriber(self, name: str) -> bool:
        """Return whether a process that is not a peer may connect under this name."""

    def peer_identified(self, connection: "PeerConnection") -> None:
        """Handle the valid `Hello` of an inbound connection."""

    def connection_lost(self, connection: "PeerConnection") -> None:
        """Handle the end of a connection."""


class PeerConnection(amp.AMP):
    """One connection, inbound or outbound."""

    noisy = False

    def __init__(self, manager: ConnectionManager, peer: str = "") -> None:
        """`peer` is the name of the process to connect to; empty if inbound, until its Hello."""
        super().__init__()
        self.manager = manager
        self._process = manager.process
        self.peer = peer
        self.identified = False  # whether a valid Hello has been exchanged
        self.calls_in_flight = 0
        self.bytes_in_flight = 0
        self.consecutive_timeouts = 0
        self._hello_timer: DelayedCall | None = None

    @property
    def socket(self) -> tcp.Connection:
        """The transport of an established connection, under its actual type."""
        return cast(tcp.Connection, self.transport)

    @property
    def is_open(self) -> bool:
        """Whether the connection was established and is not being closed."""
        return self.transport is not None and not self.socket.disconnecting

    def close(self) -> None:
        """Close the connection, if it was established, after what is buffered has been sent."""
        if self.transport is not None:
            self.socket.loseConnection()

    def abort(self) -> None:
        """Close the connection, if it was established, at once."""
        if self.transport is not None:
            self.socket.abortConnection()

    # Calls to the peer

    def send_hello(self, fleet: str, name: str) -> "defer.Deferred[str]":
        """Identify this process; the result is the peer's name."""
        hello = self.callRemote(Hello, fleet=fleet, form=PROTOCOL_VERSION, name=name)
        return cast("defer.Deferred[str]", hello.addCallback(lambda response: response["name"]))

    def call(self, kind: str, body: bytes) -> "defer.Deferred[bytes]":
        """Call the peer; the result is the response's body, or fails with `CallError`."""
        if len(body) > MAX_BODY_BYTES:
            return defer.fail(BodyTooLargeError(len(body), MAX_BODY_BYTES))
        bytes_in_flight = self.bytes_in_flight + len(body)
        if self.calls_in_flight >= MAX_CALLS_IN_FLIGHT or bytes_in_flight > MAX_BYTES_IN_FLIGHT:
            self._process.counters["peer_calls_over_limit"] += 1
            in_flight = (self.calls_in_flight, self.bytes_in_flight)
            limits = (MAX_CALLS_IN_FLIGHT, MAX_BYTES_IN_FLIGHT)
            return defer.fail(CallLimitError(self.peer, *in_flight, *limits))
        self.calls_in_flight += 1
        self.bytes_in_flight = bytes_in_flight
        self._process.counters["peer_calls_sent"] += 1
        response: defer.Deferred[bytes] = defer.Deferred()
        timer = self._process.reactor.callLater(CALL_TIMEOUT_S, self._call_timed_out, response)
        request = self.callRemote(Call, kind=kind, body=body)
        request.addBoth(self._call_ended, response, timer, len(body))
        return response

    def _call_timed_out(self, response: "defer.Deferred[bytes]") -> None:
        self._process.counters["peer_call_timeouts"] += 1
        self.consecutive_timeouts += 1
        response.errback(CallTimeoutError(self.peer, CALL_TIMEOUT_S))
        if self.consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS:
            # The peer reads but does not respond, which a new connection may fix.
            self.abort()

    def _call_ended(
        self,
        result: dict[str, bytes] | Failure,
        response: "defer.Deferred[bytes]",
        timer: DelayedCall,
        size: int,
    ) -> None:
        # A call that timed out is counted as in flight until now, because it still occupies the peer.
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
            response.errback(_decode_rejection(result))
        else:
            response.errback(PeerUnreachableError(self.peer))

    # Calls from the peer

    @Hello.responder
    def on_hello(self, fleet: str, form: int, name: str) -> dict[str, str]:
        """Handle the Hello of an inbound connection; `form` is the peer's protocol version."""
        config = self._process.config
        same_protocol = (fleet, form) == (config.name, PROTOCOL_VERSION)
        known = name in config.peers or name == OBSERVER or self.manager.admits_subscriber(name)
        if self.identified or self.peer or not same_protocol or not known:
            # The connection is aborted on the reactor's next iteration, after AMP has written the response.
            fleet, name = fleet[:MAX_LOGGED_NAME_LENGTH], name[:MAX_LOGGED_NAME_LENGTH]
            reason = (
                f"received Hello with fleet {fleet}, version {form}, name {name}; expected a first Hello "
                f"with fleet {config.name}, version {PROTOCOL_VERSION}, name of a peer or subscriber"
            )
            self._process.reactor.callLater(0, self._reject_unknown_peer, reason)
            return {"name": self._process.name}
        self._cancel_hello_timer()
        self.peer = name
        self.identified = True
        self.manager.peer_identified(self)
        return {"name": self._process.name}

    @Call.responder
    def on_call(self, kind: str, body: bytes) -> "defer.Deferred[dict[str, bytes]]":
        """Handle a call of the peer."""
        if not self.identified:
            reason = f"expected Hello, received call {kind[:MAX_LOGGED_NAME_LENGTH]}"
            self._process.reactor.callLater(0, self._reject_unknown_peer, reason)
            raise CallError(UNIDENTIFIED_PEER_DESCRIPTION)
        self._process.counters["peer_calls_received"] += 1
        response = defer.maybeDeferred(self.manager.handlers.handle_call, self.peer, kind, body)
        return response.addCallbacks(lambda result: {"body": result}, self._call_rejected)

    def _call_rejected(self, failure: Failure) -> NoReturn:
        self._process.counters["peer_calls_rejected"] += 1
        raise CallError(str(failure.value)[:MAX_DESCRIPTION_LENGTH])

    def _reject_unknown_peer(self, reason: str) -> None:
        self._cancel_hello_timer()
        self._process.counters["unknown_peers"] += 1
        log_event("unknown peer disconnected", reason=reason)
        self.abort()

    def _cancel_hello_timer(self) -> None:
        if self._hello_timer is not None and self._hello_timer.active():
            self._hello_timer.cancel()

    # Twisted's events

    def connectionMade(self) -> None:
        """Limit the time until an inbound connection identifies itself."""
        super().connectionMade()
        self.socket.setTcpNoDelay(True)
        self.socket.setTcpKeepAlive(True)
        if not self.peer:
            self._hello_timer = self._process.reactor.callLater(
                HELLO_TIMEOUT_S, self._reject_unknown_peer, f"no Hello within {HELLO_TIMEOUT_S:g} s"
            )

    def sendBox(self, box: amp.Box) -> None:
        """Send an AMP box and count its bytes."""
        data = box.serialize()
        self._process.counters["peer_bytes_sent"] += len(data)
        self.socket.write(data)

    def dataReceived(self, data: bytes) -> None:
        """Parse received data; malformed data closes the connection."""
        self._process.counters["peer_bytes_received"] += len(data)
        try:
            super().dataReceived(data)
        except Exception:  # isolates this connection: no input of a peer may affect the others
            self._abort_malformed()

    def unhandledError(self, failure: Failure) -> None:
        """Close the connection after an unknown command or an invalid response."""
        self._abort_malformed()

    def _abort_malformed(self) -> None:
        self._process.counters["peer_malformed_input"] += 1
        self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Let AMP fail all calls in flight, and notify the manager."""
        super().connectionLost(reason)
        self._cancel_hello_timer()
        self.manager.connection_lost(self)


def _decode_rejection(rejection: Failure) -> Failure:
    """Return the rejection as received, or as `UnidentifiedPeerError` if it has that error's text."""
    if str(rejection.value) == UNIDENTIFIED_PEER_DESCRIPTION:
        return Failure(UnidentifiedPeerError())
    return rejection
