"""Upstream connections: those that this balancer opens to servers.

An `UpstreamAttempt` is one attempt of one flow to connect to one server; the `UpstreamConnection` that comes
of it writes the flow's first line, reads the server's answer and then forwards lines. How an attempt ended is
reported as a result of `routing.events` in an `AttemptEnded`, never as an exception. Times are in ms. The
module chooses no server, retries nothing and does not answer clients by itself.
"""

import re
from collections import Counter, deque
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

from twisted.internet import error
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.internet.tcp import Connector
from twisted.python.failure import Failure

from lotusroute.address import Address
from lotusroute.errors import InvalidValueError
from lotusroute.net.line_protocol import BUSY, BYE, LOAD, MOVE, LineProtocol, command_of
from lotusroute.net.reactor import reactor
from lotusroute.net.reasons import EndReason
from lotusroute.routing import events
from lotusroute.service_config import parse_number

MAX_TIMED_REQUESTS = 64  # unanswered lines of a client that are timed at once: those of two minutes
RECEIPT = re.compile(rb"UP [!-~][ -~]*\r\n")  # a receipt as a server makes it; nothing less means served
RESULTS_OF_ANSWERS = {
    BUSY: events.ConnectionResult.FULL,
    MOVE: events.ConnectionResult.CANCELLED,
}  # any other answer is an error


class AttemptStage(IntEnum):
    """How far an attempt has come."""

    CONNECTING = 0
    WRITING = 1  # of the first line
    WRITTEN = 2  # the server may have run the request
    ESTABLISHED = 3  # the receipt is in
    OVER = 4

    @property
    def log_name(self) -> str:
        """The stage as the log has it; operators search for these values."""
        return "standing" if self is AttemptStage.ESTABLISHED else self.name.lower()


class ReceiptReceived(NamedTuple):
    """A server has accepted a flow."""

    flow_id: int
    attempt: "UpstreamAttempt"
    receipt: memoryview  # the line to forward to the client


class AttemptEnded(NamedTuple):
    """An attempt, or the connection that came of it, has ended."""

    flow_id: int
    attempt: "UpstreamAttempt"
    result: str
    reason: EndReason


class LoadReported(NamedTuple):
    """A server has reported the load of a connection."""

    flow_id: int
    load: float


class ReplyTimed(NamedTuple):
    """A client's line was answered."""

    server: str
    delay: float  # ms


class _FirstLineProducer:
    """Pull producer for what the socket did not take of the first line at once.

    It learns from the transport when the last byte is written.
    """

    def __init__(self, connection: "UpstreamConnection") -> None:
        self.connection = connection

    def resumeProducing(self) -> None:
        """Twisted: write the rest; at the next call it is written."""
        attempt = self.connection.attempt
        transport = self.connection.transport
        if attempt.stage == AttemptStage.CONNECTING:
            attempt.stage = AttemptStage.WRITING
            transport.write(attempt.line)
            return
        if attempt.stage == AttemptStage.WRITING:
            attempt.stage = AttemptStage.WRITTEN
        transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Twisted: the transport is closed; `connection_lost` reports it."""


class UpstreamConnection(LineProtocol):
    """The connection of one attempt."""

    def __init__(self, attempt: "UpstreamAttempt") -> None:
        self.attempt = attempt
        self.downstream: LineProtocol | None = None  # where lines are forwarded to, once established
        self.sent_times: deque[float] = deque(maxlen=MAX_TIMED_REQUESTS)  # each answer takes the oldest
        self.last_reply_time = 0.0  # when the server's last line came; 0: never
        self.last_request_time = 0.0  # when the client's last line came; 0: never
        self.result_if_closed = events.ConnectionResult.RESET  # how the connection ends if it is closed now
        self.downstream_left = False  # the client has stopped sending, or its connection broke

    def connectionMade(self) -> None:
        """Write the first line, if it may still be sent."""
        super().connectionMade()
        attempt = self.attempt
        if not attempt.may_send():
            attempt.report_end(events.ConnectionResult.UNSENT, EndReason.NOT_SENT)
            self.transport.abortConnection()
            return
        attempt.line = self.write_now(attempt.line)
        if attempt.line:
            self.transport.registerProducer(_FirstLineProducer(self), streaming=False)
        else:
            attempt.stage = AttemptStage.WRITTEN

    def lineReceived(self, line: memoryview) -> None:
        """Forward a line of the server, noting what it says of the connection."""
        if self.downstream is None:
            self._receive_answer(line)
            return
        self.last_reply_time = now = self.attempt.clock()
        command = command_of(line)
        if command == LOAD:
            self._report_load(line)
        elif command == BYE:
            self.result_if_closed = events.ConnectionResult.OK
        elif command == MOVE:
            self.result_if_closed = events.ConnectionResult.CANCELLED
        elif self.sent_times:
            self.attempt.enqueue(ReplyTimed(self.attempt.server, now - self.sent_times.popleft()))
        self.downstream.send_line(line)

    def _receive_answer(self, line: memoryview) -> None:
        """Take the server's first line: a receipt, or anything else to reject the flow."""
        attempt = self.attempt
        if RECEIPT.fullmatch(line) and attempt.stage == AttemptStage.WRITTEN:
            # Lines that come with the receipt are buffered until the client's connection is attached.
            self.buffering = True
            attempt.stage = AttemptStage.ESTABLISHED
            self.result_if_closed = events.ConnectionResult.RESET
            attempt.enqueue(ReceiptReceived(attempt.flow_id, attempt, line))
        else:
            # An UP without a receipt, or before our line was complete, was not made for this request.
            result = RESULTS_OF_ANSWERS.get(command_of(line), events.ConnectionResult.ERROR)
            attempt.report_end(result, EndReason.ANSWERED)
            self.transport.abortConnection()

    def _report_load(self, line: memoryview) -> None:
        try:
            load = parse_number(str(line[len(LOAD) :], "ascii").strip())
        except (InvalidValueError, UnicodeDecodeError):
            self.attempt.counters["malformed_load_reports"] += 1
            return
        self.attempt.enqueue(LoadReported(self.attempt.flow_id, load))

    def forward(self, line: memoryview) -> None:
        """Send a client's line to the server."""
        now = self.attempt.clock()
        self.last_request_time = now
        self.sent_times.append(now)
        self.send_line(line)

    def peer_half_closed(self) -> None:
        """The server has stopped sending."""
        if self.downstream is not None:
            # A line without its ending is forwarded as it is: nothing more will come.
            self.downstream.transport.write(self.clearLineBuffer())
            self.downstream.half_close()
            self.attempt.report_end(self.result_if_closed, self._reason_if_closed(EndReason.SERVER_CLOSED))
        elif self.attempt.stage < AttemptStage.ESTABLISHED:
            self.attempt.report_end(self.attempt.result_if_broken(), EndReason.SERVER_CLOSED)
            self.transport.abortConnection()

    def connection_lost(self) -> None:
        """The connection is closed or broken."""
        if self.downstream is None:
            self.attempt.report_end(self.attempt.result_if_broken(), EndReason.CONNECTION_LOST)
            return
        if not self.read_closed:
            self.downstream.transport.abortConnection()
        self.attempt.report_end(self.result_if_closed, self._reason_if_closed(EndReason.CONNECTION_LOST))

    def _reason_if_closed(self, reason: EndReason) -> EndReason:
        """Return `reason`, or that the client left first."""
        return EndReason.CLIENT_LEFT if self.downstream_left else reason

    def lineLengthExceeded(self, line: bytes) -> None:
        """Close over a line that is too long."""
        result = events.ConnectionResult.ERROR if self.downstream is None else events.ConnectionResult.RESET
        self.attempt.report_end(result, EndReason.LINE_TOO_LONG)
        self.transport.abortConnection()


def _always_may_send() -> bool:
    return True


class UpstreamAttempt(ClientFactory):
    """One attempt of one flow to connect to one server, and the connection that comes of it."""

    noisy = False

    def __init__(
        self,
        flow_id: int,
        server: str,
        line: bytes,
        enqueue: Callable[[object], None],
        clock: Callable[[], float],
        counters: Counter,
        may_send: Callable[[], bool] = _always_may_send,
    ) -> None:
        """`enqueue` takes the messages of this module.

        `may_send` is asked once, as the connection is up: whether `line` may still be sent.
        """
        self.flow_id = flow_id
        self.server = server
        self.line = line
        self.may_send = may_send
        self.enqueue = enqueue
        self.clock = clock
        self.counters = counters
        self.stage = AttemptStage.CONNECTING
        self.final_stage = AttemptStage.CONNECTING  # the stage before it was over
        # Set once the connection is up; whoever has a receipt of this attempt may rely on it.
        self.connection: UpstreamConnection = None  # type: ignore[assignment]
        self.connector: Connector | None = None
        # Whether the flow's deadline shortened the connect timeout: a timeout then says little of the server.
        self.timeout_shortened = False

    def connect(self, address: Address, timeout_shortened: bool) -> None:
        """Start to connect.

        The caller keeps the timeout, so that a suspension of this process does not count as the server's.
        """
        self.timeout_shortened = timeout_shortened
        self.connector = reactor.connectTCP(*address, self, timeout=None)

    def buildProtocol(self, addr: IAddress) -> UpstreamConnection:
        """Twisted: the connection is up."""
        self.connection = UpstreamConnection(self)
        return self.connection

    def clientConnectionFailed(self, connector: Connector, reason: Failure) -> None:
        """Twisted: the connection did not come up."""
        # Without a free descriptor the failure is ours, not the server's.
        local_failure = reason.check(error.ConnectBindError, error.UserError)
        result = events.ConnectionResult.UNSENT if local_failure else events.ConnectionResult.UNREACHABLE
        self.report_end(result, EndReason.CONNECT_FAILED)

    def result_if_broken(self) -> str:
        """Return the result if the connection breaks now: after the last byte the request may have run."""
        return (
            events.ConnectionResult.RESET
            if self.stage >= AttemptStage.WRITTEN
            else events.ConnectionResult.UNREACHABLE
        )

    def report_end(self, result: str, reason: EndReason) -> None:
        """Report the end, once."""
        if self.stage != AttemptStage.OVER:
            self._mark_over()
            self.enqueue(AttemptEnded(self.flow_id, self, result, reason))

    def _mark_over(self) -> None:
        """Record the final stage; nothing is reported any more."""
        if self.stage != AttemptStage.OVER:
            self.final_stage = self.stage
            self.stage = AttemptStage.OVER

    def abort(self) -> str:
        """Close at once and return the result; nothing is reported any more."""
        result = self._result_of_abort()
        self._mark_over()
        if self.connection is not None and self.connection.transport is not None:
            self.connection.downstream = None
            self.connection.transport.unregisterProducer()
            self.connection.transport.abortConnection()
        elif self.connector is not None and self.connector.state == "connecting":
            self.connector.stopConnecting()
        return result

    def _result_of_abort(self) -> str:
        if self.stage >= AttemptStage.WRITTEN:
            return events.ConnectionResult.TIMEOUT
        if self.timeout_shortened:
            return events.ConnectionResult.UNSENT
        return events.ConnectionResult.UNREACHABLE

    def attach_downstream(self, downstream: LineProtocol) -> None:
        """Forward lines to and from a client's connection from now on."""
        connection = self.connection
        connection.downstream = downstream
        connection.last_reply_time = self.clock()
        # A client that only receives and then vanishes would keep its descriptors for good.
        downstream.transport.setTcpKeepAlive(True)
        # Backpressure both ways: neither side is read while the other's unsent data waits.
        downstream.transport.registerProducer(connection.transport, streaming=True)
        connection.transport.registerProducer(downstream.transport, streaming=True)
        connection.resume_lines()
        if connection.read_closed:
            connection.peer_half_closed()

    def downstream_half_closed(self, rest: bytes) -> None:
        """The client has stopped sending after `rest`: so do we, and no later end is the server's fault."""
        self._mark_downstream_left()
        self.connection.transport.write(rest)
        self.connection.half_close()

    def downstream_lost(self) -> None:
        """The client's connection broke: so does the server's, which is not at fault."""
        self._mark_downstream_left()
        self.connection.transport.abortConnection()

    def _mark_downstream_left(self) -> None:
        self.connection.result_if_closed = events.ConnectionResult.CANCELLED
        self.connection.downstream_left = True

    def close_after_migration(self) -> None:
        """Close because the client was told to migrate; nothing is reported any more."""
        self._mark_over()
        self.connection.downstream = None
        self.connection.transport.unregisterProducer()
        self.connection.transport.loseConnection()

    def oldest_wait(self, now: float) -> float:
        """For how long the client's oldest unanswered line has waited, in ms."""
        sent_times = self.connection.sent_times
        return now - sent_times[0] if sent_times else 0.0

    def client_idle_time(self, now: float) -> float:
        """For how long a client that has sent lines before has sent none, in ms.

        0 for one that never sent any: clients that only receive were migrated each minute.
        """
        last = self.connection.last_request_time
        return now - last if last else 0.0

    def server_silence(self, now: float) -> float:
        """For how long the server has sent nothing though a line waits for its answer, in ms."""
        connection = self.connection
        if not connection.sent_times:
            return 0.0
        return now - max(connection.sent_times[0], connection.last_reply_time)
