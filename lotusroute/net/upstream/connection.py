"""The TCP connection of one attempt: it writes the first line, reads the server's answer and forwards lines.

It reports to its attempt, or queues an event. Times are milliseconds.
"""

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from lotusroute.errors import InvalidValueError
from lotusroute.net.reasons import EndReason
from lotusroute.net.transport.backpressure import Backpressure
from lotusroute.net.transport.line_protocol import (
    BUSY,
    BYE,
    LINE_END,
    LOAD,
    MOVE,
    RECEIPT,
    LineProtocol,
    command_of,
)
from lotusroute.net.transport.linger import LingerRules
from lotusroute.net.upstream.events import Attempt, AttemptStage, LoadReported, ReceiptReceived, ReplyTimed
from lotusroute.net.upstream.lingering import LingeringUpstreams
from lotusroute.net.upstream.reply_tracker import ReplyTracker
from lotusroute.routing.events import ConnectionResult
from lotusroute.service_config import parse_number
from lotusroute.timing.progress import (
    SERVER_CLOSE_GRACE_MS,
    STALLED_PEER_TIMEOUT_MS,
    UNRESPONSIVE_TIMEOUT_MS,
    TransferState,
)

# The result for each answer that rejects a flow; any other answer but a receipt is an error.
REJECTION_RESULTS = {BUSY: ConnectionResult.FULL, MOVE: ConnectionResult.CANCELLED}
# The result to report at the end of an established connection, for each line that announces the end.
RESULTS_OF_LAST_LINES = {BYE: ConnectionResult.OK, MOVE: ConnectionResult.CANCELLED}
# The lines of a server that answer none of its client's lines.
COMMANDS_BESIDE_REPLIES = frozenset({LOAD, *RESULTS_OF_LAST_LINES})


class ConnectionOwner(Attempt, Protocol):
    """What a connection uses of the attempt that opened it."""

    flow_number: int
    line: bytes  # the part of the client's first line that is still to be written
    stage: AttemptStage
    may_send: Callable[[], bool]  # returns whether `line` may still be sent
    enqueue: Callable[[object], None]  # queues an event that is defined in `upstream.events`
    clock: Callable[[], float]
    counters: Counter[str]
    lingering: LingeringUpstreams

    def result_if_broken(self) -> ConnectionResult:
        """Return the result if the connection breaks now."""
        ...

    def report_end(self, result: ConnectionResult, reason: EndReason) -> None:
        """Report the end, unless the attempt is over already."""


class UpstreamConnection(LineProtocol):
    """The connection of one attempt."""

    def __init__(self, attempt: ConnectionOwner) -> None:
        self.attempt = attempt
        self.downstream: LineProtocol | None = None  # the client's connection, once the flow is established
        self.downstream_left = False  # whether the client has stopped sending or its connection was lost
        self.result_if_closed = ConnectionResult.RESET  # the result to report if the connection is closed now
        self.replies = ReplyTracker()

    def connectionMade(self) -> None:
        """Write the first line, unless it may no longer be sent."""
        super().connectionMade()
        attempt = self.attempt
        if not attempt.may_send():
            attempt.report_end(ConnectionResult.UNSENT, EndReason.NOT_SENT)
            self.transport.abortConnection()
            return
        attempt.line = self.write_now(attempt.line)
        if attempt.line:
            self.transport.registerProducer(_FirstLineProducer(self), streaming=False)
        else:
            attempt.stage = AttemptStage.WRITTEN

    def lineReceived(self, line: memoryview) -> None:
        """Forward a line from the server, and update the connection's state for it."""
        if self.downstream is None:
            self._receive_answer(line)
            return
        command = command_of(line)
        if command in COMMANDS_BESIDE_REPLIES:
            self.replies.line_received(self.attempt.clock())
            self._handle_command(command, line)
        else:
            delay = self.replies.reply_received(self.attempt.clock())
            if delay is not None:
                self.attempt.enqueue(ReplyTimed(self.attempt.server, delay))
        self.downstream.send_line(line)

    def _handle_command(self, command: bytes, line: memoryview) -> None:
        """Update the connection's state for a line that answers none of the client's lines."""
        if command == LOAD:
            self._report_load(line)
        else:
            self.result_if_closed = RESULTS_OF_LAST_LINES[command]

    def _receive_answer(self, line: memoryview) -> None:
        """Handle the server's first line: a receipt accepts the flow, anything else rejects it."""
        attempt = self.attempt
        if RECEIPT.fullmatch(line) and attempt.stage == AttemptStage.WRITTEN:
            # Lines that arrive with the receipt are buffered until the client's connection is attached.
            self.buffering = True
            attempt.stage = AttemptStage.ESTABLISHED
            self.result_if_closed = ConnectionResult.RESET
            attempt.enqueue(ReceiptReceived(attempt.flow_number, attempt, line))
        else:
            # An UP without a value, or sent before the first line was complete, does not answer this request.
            result = REJECTION_RESULTS.get(command_of(line), ConnectionResult.ERROR)
            attempt.report_end(result, EndReason.ANSWERED)
            self.transport.abortConnection()

    def _report_load(self, line: memoryview) -> None:
        try:
            load = parse_number(str(line[len(LOAD) :], "ascii").strip())
        except (InvalidValueError, UnicodeDecodeError):
            self.attempt.counters["malformed_load_reports"] += 1
            return
        self.attempt.enqueue(LoadReported(self.attempt.flow_number, load))

    def attach_downstream(self, downstream: LineProtocol) -> None:
        """From now on, forward lines to and from a client's connection."""
        self.downstream = downstream
        self.established = True
        self.replies.start(self.attempt.clock())
        # Without keep-alive, the loss of a client that only receives would never be detected, and its
        # descriptors would never be freed.
        downstream.transport.setTcpKeepAlive(True)
        # Backpressure both ways: neither side is read while the other has unsent data.
        downstream.transport.registerProducer(Backpressure(self), streaming=True)
        self.transport.registerProducer(Backpressure(downstream), streaming=True)
        self.resume_lines()
        if self.read_closed:
            self.peer_half_closed()

    def pause_reading(self) -> None:
        """Stop reading the server, whose replies then wait in the system."""
        super().pause_reading()
        self.replies.pause_reading()

    def resume_reading(self) -> None:
        """Read the server again; its replies are awaited from now on."""
        super().resume_reading()
        self.replies.resume_reading(self.attempt.clock())

    def forward(self, line: memoryview) -> None:
        """Send a client's line to the server."""
        self.replies.request_sent(self.attempt.clock())
        self.send_line(line)

    def peer_half_closed(self) -> None:
        """Pass the server's half-close on to the client, or end the attempt."""
        if self.downstream is not None:
            # An incomplete last line is forwarded as it is, since nothing more will arrive.
            self.downstream.transport.write(self.clearLineBuffer())
            # The client may take long to receive what is left; this connection needs a descriptor until then.
            self.attempt.lingering.add(self, self.attempt.clock())
            self.downstream.half_close()
            self.attempt.report_end(self.result_if_closed, self._reason_if_closed(EndReason.SERVER_CLOSED))
        elif self.attempt.stage < AttemptStage.ESTABLISHED:
            self.attempt.report_end(self.attempt.result_if_broken(), EndReason.SERVER_CLOSED)
            self.transport.abortConnection()

    def connection_lost(self) -> None:
        """Handle the closed or broken connection."""
        self.attempt.lingering.discard(self)
        if self.downstream is None:
            self.attempt.report_end(self.attempt.result_if_broken(), EndReason.CONNECTION_LOST)
            return
        if not self.read_closed:
            self.downstream.transport.abortConnection()
        self.attempt.report_end(self.result_if_closed, self._reason_if_closed(EndReason.CONNECTION_LOST))

    def close_when_delivered(self) -> None:
        """Close once the server has taken and answered what the client had sent; its answers are discarded.

        Closing at once would meet the next answer with a reset, which drops undelivered data and ends a
        server's work on the lines that it has not read. The connection is reset if the server makes no
        progress.
        """
        self.downstream = None
        if not self.transport.connected:
            return
        self.transport.unregisterProducer()
        if not self.owes_reply():
            self.transport.loseConnection()
            return
        self.attempt.lingering.add(self, self.attempt.clock())
        self.discarding = True
        self.half_close()
        if not self.read_closed:
            self.resume_reading()
        self.start_lingering(
            LingerRules(
                clock=self.attempt.clock,
                state=self.delivery_state,
                timeout=lambda: SERVER_CLOSE_GRACE_MS,
                stalled_time=self.stalled_time,
            )
        )

    def delivery_state(self) -> TransferState:
        """Return how far the server has come with the lines of a client that can receive nothing any more.

        While lines are undelivered, all that the server sends counts: its system tells of what it takes only
        once a part of its receive buffer is free, which takes a slow server longer than any timeout here.
        Afterwards only replies count, or a server that streams would never be closed.
        """
        undelivered = self.undelivered_bytes()
        return TransferState(undelivered, self.read_count if undelivered else self.replies.unanswered_lines)

    def discard(self, data: bytes) -> None:
        """Count the replies that arrive while the connection lingers."""
        self.replies.discard_replies(data.count(LINE_END))

    def reset(self) -> None:
        """Close the connection at once, although its client is owed the delivery of its lines."""
        self.transport.abortConnection()

    def _reason_if_closed(self, reason: EndReason) -> EndReason:
        """Return `reason`, or `CLIENT_LEFT` if the client left first."""
        return EndReason.CLIENT_LEFT if self.downstream_left else reason

    def lineLengthExceeded(self, line: bytes) -> None:
        """Reset the connection because a line is too long."""
        result = ConnectionResult.ERROR if self.downstream is None else ConnectionResult.RESET
        self.attempt.report_end(result, EndReason.LINE_TOO_LONG)
        self.transport.abortConnection()

    def owes_reply(self) -> bool:
        """Return whether the server has still to take, or to answer, lines of the client."""
        has_unanswered_lines = self.replies.unanswered_lines > 0 and not self.read_closed
        return has_unanswered_lines or self.undelivered_bytes() > 0

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the server owes a reply and is silent, or takes none of the client's lines."""
        return (
            self.replies.server_silence(now) >= UNRESPONSIVE_TIMEOUT_MS
            or self.stalled_time(now) >= STALLED_PEER_TIMEOUT_MS
        )

    def stalled_time(self, now: float) -> float:
        """Return how long the server has taken nothing although lines wait for it; 0 if none waits.

        It is 0 while the client has to take data first: a server that waits to send may not read meanwhile.
        """
        if self.replies.reading_paused:
            self._delivery = None
            return 0.0
        return super().stalled_time(now)


class _FirstLineProducer:
    """Pull producer for the part of the first line that the socket did not take at once.

    As a producer it is notified by the transport when the last byte is written.
    """

    def __init__(self, connection: UpstreamConnection) -> None:
        self.connection = connection

    def resumeProducing(self) -> None:
        """Write the rest at the first call; the second call means that it has been written."""
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
        """Do nothing: the transport is closed, which `connection_lost` reports."""
