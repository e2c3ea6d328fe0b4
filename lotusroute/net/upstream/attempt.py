"""One attempt of one flow to connect to one server.

The end of an attempt, or of the connection that it established, is reported as a `ConnectionResult` in an
`AttemptEnded`, never as an exception. An attempt neither chooses the server nor retries, and it does not
answer clients. Times are milliseconds.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from twisted.internet import error
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.internet.tcp import Connector
from twisted.python.failure import Failure

from lotusroute.address import Address
from lotusroute.net.reactor import reactor
from lotusroute.net.reasons import EndReason
from lotusroute.net.transport.tcp_transports import UpstreamConnector
from lotusroute.net.upstream.connection import UpstreamConnection
from lotusroute.net.upstream.events import AttemptEnded, AttemptStage
from lotusroute.net.upstream.lingering import LingeringUpstreams
from lotusroute.routing.events import ConnectionResult


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """The objects that all attempts of a balancer share."""

    enqueue: Callable[[object], None]  # queues an event that is defined in `upstream.events`
    clock: Callable[[], float]
    counters: Counter[str]
    lingering: LingeringUpstreams = field(default_factory=LingeringUpstreams)


def _always_may_send() -> bool:
    return True


class UpstreamAttempt(ClientFactory):
    """One attempt, and the connection that it establishes."""

    noisy = False

    def __init__(
        self,
        flow_number: int,
        server: str,
        line: bytes,
        context: AttemptContext,
        may_send: Callable[[], bool] = _always_may_send,
    ) -> None:
        """`may_send` is called once, when connected, and returns whether `line` may still be sent."""
        self.flow_number = flow_number
        self.server = server
        self.line = line  # the part of the client's first line that is still to be written
        self.may_send = may_send
        self.enqueue = context.enqueue
        self.clock = context.clock
        self.counters = context.counters
        self.lingering = context.lingering
        self.stage = AttemptStage.CONNECTING
        self.final_stage = AttemptStage.CONNECTING  # the last stage before `OVER`
        # The connection is set once the attempt has connected. Code that handles the attempt's receipt may
        # rely on it.
        self.connection: UpstreamConnection = None  # type: ignore[assignment]
        self.connector: Connector | None = None
        # Whether the flow's deadline shortened the connect timeout; then a timeout is not the server's fault.
        self.timeout_shortened = False

    def connect(self, address: Address, timeout_shortened: bool) -> None:
        """Start to connect.

        The caller enforces the timeout, so that a suspension of this process is not taken for a slow server.
        """
        self.timeout_shortened = timeout_shortened
        host, port = address
        # Twisted sets no timeout of its own if `timeout` is None, although it declares a float.
        self.connector = UpstreamConnector(host, port, self, None, None, reactor)  # type: ignore[arg-type]
        self.connector.connect()

    def buildProtocol(self, addr: IAddress) -> UpstreamConnection:
        """Create the protocol of the new connection."""
        self.connection = UpstreamConnection(self)
        return self.connection

    def clientConnectionFailed(self, connector: Connector, reason: Failure) -> None:
        """Report that the attempt could not connect."""
        # Without a free descriptor, the failure is this process's, not the server's.
        local_failure = reason.check(error.ConnectBindError, error.UserError)
        result = ConnectionResult.UNSENT if local_failure else ConnectionResult.UNREACHABLE
        self.report_end(result, EndReason.CONNECT_FAILED)

    def result_if_broken(self) -> ConnectionResult:
        """Return the result if the connection breaks now; once all is written, the flow may have run."""
        if self.stage >= AttemptStage.WRITTEN:
            return ConnectionResult.RESET
        return ConnectionResult.UNREACHABLE

    def report_end(self, result: ConnectionResult, reason: EndReason) -> None:
        """Report the end, unless the attempt is over already."""
        if self.stage != AttemptStage.OVER:
            self._mark_over()
            self.enqueue(AttemptEnded(self.flow_number, self, result, reason))

    def _mark_over(self) -> None:
        """Record the final stage; from now on nothing is reported."""
        if self.stage != AttemptStage.OVER:
            self.final_stage = self.stage
            self.stage = AttemptStage.OVER

    def abort(self) -> ConnectionResult:
        """Close the connection at once and return the result; from now on nothing is reported."""
        result = self._result_of_abort()
        self._mark_over()
        if self.connection is not None and self.connection.transport is not None:
            self.connection.downstream = None
            self.connection.transport.unregisterProducer()
            self.connection.transport.abortConnection()
        elif self.connector is not None and self.connector.state == "connecting":
            self.connector.stopConnecting()
        return result

    def _result_of_abort(self) -> ConnectionResult:
        if self.stage >= AttemptStage.WRITTEN:
            return ConnectionResult.TIMEOUT
        if self.timeout_shortened:
            return ConnectionResult.UNSENT
        return ConnectionResult.UNREACHABLE

    def downstream_half_closed(self, rest: bytes) -> None:
        """Write `rest` and stop sending, as the client has; the server is not at fault for a later end."""
        self._mark_downstream_left()
        self.connection.transport.write(rest)
        if self.stage == AttemptStage.OVER:
            # The server has ended before, so nothing else would close the connection.
            self.connection.close_when_delivered()
        else:
            self.connection.half_close()

    def downstream_closed(self) -> None:
        """Record that the client, which had ended its sending before, can receive nothing any more.

        The server still gets what the client had sent; `FlowEndings` bounds the time for that.
        """
        if self.stage != AttemptStage.OVER:
            self.lingering.add(self.connection, self.clock())
            if not self.connection.read_closed:
                self.connection.resume_reading()  # it may have waited for the client to take data

    def downstream_lost(self) -> None:
        """Reset the connection because the client's was lost; the server is not at fault.

        A server that has ended its sending before is not told of a loss: it still gets what the client had
        sent.
        """
        self._mark_downstream_left()
        if self.stage == AttemptStage.OVER:
            self.connection.close_when_delivered()
        else:
            self.connection.transport.abortConnection()

    def _mark_downstream_left(self) -> None:
        self.connection.result_if_closed = ConnectionResult.CANCELLED
        self.connection.downstream_left = True

    def close_after_migration(self) -> None:
        """Close because the client was asked to reconnect; from now on nothing is reported.

        The server still gets what the client had sent.
        """
        self._mark_over()
        self.connection.close_when_delivered()
