"""Downstream connections: those opened to this balancer by clients, or by the front-end load balancer.

The front end sends clients to the balancers and checks their health. A `DownstreamConnection` reads the first
line of a client and reports it as `RequestReceived`. It then writes the flow's final answer or, once the flow
is established, forwards lines to the server's connection. It neither chooses a server nor decides on the
answer: the handler of `RequestReceived` does.

Timeouts are in seconds, as Twisted expects them; all other times are in milliseconds.
"""

import logging
from collections import Counter
from collections.abc import Callable
from typing import Protocol

from twisted.internet import error
from twisted.python.failure import Failure

from lotusroute.errors import ProtocolError
from lotusroute.net.downstream.events import DownstreamClosed, RequestReceived
from lotusroute.net.downstream.open_request import parse_open_request
from lotusroute.net.structured_log import log_event
from lotusroute.net.transport.line_protocol import (
    BUSY,
    ERR,
    LINE_END,
    MAX_LINE_LENGTH,
    MOVE,
    PING,
    PONG,
    LineProtocol,
)
from lotusroute.net.transport.linger import LingerRules
from lotusroute.net.upstream.attempt import UpstreamAttempt
from lotusroute.timing.progress import STALLED_PEER_TIMEOUT_MS

# Longest time from connecting to a complete first line. The protocol requires that a connection on which no
# first line arrives is closed within 3 s.
FIRST_LINE_TIMEOUT_S = 2.0
# Largest number of health checks (PING) on one connection. The front end sends one; an endless sequence of
# them would use up CPU time.
MAX_HEALTH_CHECKS = 16
# Time for a client to close its connection after it has received the balancer's last line, and for a client
# whose server has ended the connection to take anything of what its server had sent. The protocol requires
# that a connection ends within 1 s of its server's end.
LINGER_TIMEOUT_MS = 1_000.0
# Number of bytes that are read and discarded after the balancer's last line; beyond it, reading stops.
MAX_DISCARDED_BYTES = 16_384


class ConnectionManager(Protocol):
    """What a connection uses of the factory that accepted it."""

    enqueue: Callable[[object], None]  # queues an event that is defined in `downstream.events`
    clock: Callable[[], float]
    # Returns whether flows can be served. A health check is answered PONG if so, else BUSY.
    ready: Callable[[], bool]
    # Calls a function once flows may be decided: at once, except during the start.
    when_serving: Callable[[Callable[[], None]], None]
    input_since: Callable[[], float]  # returns since when what is read now may have been there
    counters: Counter[str]

    def admit(self, connection: "DownstreamConnection") -> None:
        """Admit a new connection, or reject it."""

    def mark_active(self, connection: "DownstreamConnection") -> None:
        """Record that the connection has requested a flow."""

    def mark_lingering(self, connection: "DownstreamConnection") -> None:
        """Record that the last line was sent and the connection waits for the client to close."""

    def is_idle(self, connection: "DownstreamConnection") -> bool:
        """Return whether the connection has no flow."""

    def discard(self, connection: "DownstreamConnection") -> None:
        """Forget a connection that is closed."""


class DownstreamConnection(LineProtocol):
    """One connection from a client or from the front end."""

    factory: ConnectionManager  # type: ignore[assignment]  # Twisted declares any factory, or none
    # Limit on the data that a client sends before its answer, although the protocol has clients wait for it.
    # Such data is read all the same, because a disconnect goes unnoticed behind unread data.
    MAX_BUFFERED = 4 * MAX_LINE_LENGTH

    def __init__(self, accepted_at: float = 0.0, accepted_since: float = 0.0) -> None:
        """The connection was accepted at `accepted_at`; its client connected at `accepted_since` or later."""
        self._accepted_at = accepted_at
        self._accepted_since = accepted_since
        self.flow_number = 0  # the number of the connection's flow, or 0 while it has none
        self.upstream: UpstreamAttempt | None = None  # the flow's attempt while the flow is established
        self.answered = False
        self.disconnected = False
        self.health_check_count = 0
        self.discarded_bytes = 0
        # How long a lingering client may take nothing while it has not received all.
        self.stall_timeout = LINGER_TIMEOUT_MS

    def connectionMade(self) -> None:
        """Start the timeout of the first line."""
        super().connectionMade()
        # Received data does not restart the timeout: a client that sends its first line byte by byte must not
        # hold a descriptor for longer.
        self.setTimeout(FIRST_LINE_TIMEOUT_S)
        self.factory.admit(self)

    def discard(self, data: bytes) -> None:
        """Stop reading a client that goes on sending after the balancer's last line.

        If its data were buffered, a client that sends 60 MB would let the buffer grow to 60 MB, and each read
        would copy the whole buffer.
        """
        self.discarded_bytes += len(data)
        if self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.pauseProducing()

    def lineReceived(self, line: memoryview) -> None:
        """Forward a line of an established flow; otherwise handle it as a first line."""
        if self.upstream is not None:
            self.upstream.connection.forward(line)
        elif self.answered:
            return
        elif line == PING + LINE_END and self.health_check_count < MAX_HEALTH_CHECKS:
            self.health_check_count += 1
            self.factory.when_serving(self._answer_health_check)
        else:
            self._request_flow(line)

    def _answer_health_check(self) -> None:
        self.transport.write((PONG if self.factory.ready() else BUSY) + LINE_END)

    def _arrived_since(self) -> float:
        """Return the earliest time at which the data that is being read may have arrived."""
        input_since = self.factory.input_since()
        return input_since if input_since > self._accepted_at else self._accepted_since

    def _request_flow(self, line: memoryview) -> None:
        received_at = self._arrived_since()
        try:
            request = parse_open_request(bytes(line))
        except ProtocolError:
            self.reject_malformed()
            return
        # Lines that the client sends before its answer are buffered until the flow is established.
        self.buffering = True
        self.setTimeout(None)
        self.factory.mark_active(self)
        self.factory.counters["flows"] += 1
        self.factory.enqueue(RequestReceived(self, request, received_at))

    def reject_malformed(self) -> None:
        """Answer a line that cannot be parsed, or that admission control finds malformed."""
        self.factory.counters["malformed_lines"] += 1
        self.send_final_answer(ERR)

    def buffer_overflowed(self) -> None:
        """Reject a client that violates the protocol by sending too much before its answer.

        If reading stopped instead, the client's disconnect would go unnoticed and its flow would still be
        forwarded; if reading went on, the buffer would fill the memory.
        """
        if self.answered:
            super().buffer_overflowed()
            return
        self.factory.counters["early_data_overflows"] += 1
        # The request may still be queued; its handler ignores a client that has disconnected.
        self.disconnected = True
        self.reject_malformed()
        self._report_closed()

    def read_pending(self) -> bool:
        """Read what the socket holds, within the limits; return whether the client may still be connected."""
        read_count = -1
        while (
            self.transport.connected
            and not self.read_closed
            and not self.answered
            and read_count != self.read_count
        ):
            read_count = self.read_count
            if self.transport.doRead() is not None:
                return False  # the reactor finds the closed connection in its next iteration
        return not (self.read_closed or self.disconnected)

    def has_disconnected(self) -> bool:
        """Return whether a client that waits for its answer has disconnected.

        Reads the socket first: a close that arrived while the process was suspended, or together with the
        event being handled, has not been read yet.
        """
        if self.read_pending():
            return False
        if not self.answered:
            # A client that was rejected for what was just read lingers instead: closing its connection now
            # could send a reset that overtakes the answer.
            self._handle_disconnect()
        return True

    def _has_requested_flow(self) -> bool:
        """Return whether the first line has arrived; after a suspension it may still be in the socket."""
        self.read_pending()
        return not self.factory.is_idle(self)

    def _handle_disconnect(self) -> None:
        if not self.flow_number:
            self.disconnected = True
            self.transport.loseConnection()
        self._report_closed()

    def _report_closed(self) -> None:
        if self.flow_number:
            self.factory.enqueue(DownstreamClosed(self.flow_number))

    def has_pending_answer(self) -> bool:
        """Return whether a request, or part of one, is unanswered or data is still to be written."""
        return self.has_unsent_data() or (not self.answered and self.has_buffered_data())

    def lineLengthExceeded(self, line: bytes) -> None:
        """Reject the client, or reset its established connection, because a line is too long."""
        if self.upstream is not None:
            self.factory.counters["malformed_lines"] += 1
            self.transport.abortConnection()
        else:
            self.reject_malformed()

    def send_final_answer(self, answer: bytes) -> None:
        """Write the only answer of a flow that is not established, and close."""
        if self.answered:
            return
        self.answered = True
        self.discarding = True
        self.buffering = False
        self.write_all(answer + LINE_END)
        self.half_close()

    def attach_upstream(self, attempt: UpstreamAttempt, receipt: memoryview) -> None:
        """Forward the server's receipt and, from now on, all lines."""
        self.answered = True
        self.established = True
        self.send_line(receipt)
        self.upstream = attempt
        attempt.connection.attach_downstream(self)
        self.resume_lines()
        if self.read_closed:
            attempt.downstream_half_closed(self.clearLineBuffer())

    def send_migrate(self, stall_timeout: float = STALLED_PEER_TIMEOUT_MS) -> None:
        """Ask the client to reconnect, once the last complete line is sent, and close.

        The client is owed this line for as long as it takes anything: one that is cut off without it does
        not know that it has to reconnect. After `stall_timeout` without progress its connection is reset.
        """
        self.upstream = None
        self.discarding = True
        self.stall_timeout = stall_timeout
        self.write_all(MOVE + LINE_END)
        self.half_close()

    def half_close(self) -> None:
        """Stop sending and linger until the client has closed too, or makes no progress."""
        super().half_close()
        if self.upstream is None:  # otherwise the server has ended its sending and still takes lines
            self.clearLineBuffer()
        if not self.transport.connected:
            return
        self.factory.mark_lingering(self)
        # What the client still sends is read and discarded: closing a socket with unread data sends a reset,
        # which overtakes the last line.
        self.start_lingering(
            LingerRules(clock=self.factory.clock, state=self.undelivered_bytes, timeout=self._linger_timeout)
        )
        if self.read_closed:
            self.transport.loseConnection()
        else:
            self.transport.resumeProducing()

    def peer_half_closed(self) -> None:
        """Pass the client's half-close on to the server, or handle it as a disconnect."""
        if self.upstream is not None:
            self.upstream.downstream_half_closed(self.clearLineBuffer())
            self._report_closed()
        else:
            self._handle_disconnect()

    def timeoutConnection(self) -> None:
        """Close a connection that has sent no first line in time, or look at one that lingers."""
        if not self.answered and self._has_requested_flow():
            return
        if self.linger is not None:
            super().timeoutConnection()
            return
        self.factory.counters["first_line_timeouts"] += 1
        log_event(
            "first line timed out", logging.DEBUG, peer=self.transport.getPeer(), received=len(self._buffer)
        )
        self.transport.loseConnection()

    def _linger_timeout(self) -> float:
        """Return how long the client may neither close nor take what it has still to receive."""
        return self.stall_timeout if self.undelivered_bytes() else LINGER_TIMEOUT_MS

    def _has_lingered(self) -> bool:
        return self.linger is not None and self.linger.duration() >= LINGER_TIMEOUT_MS

    def _is_owed_data(self) -> bool:
        """Return whether closing a lingering connection now could lose what the client is owed."""
        # The system delivers a rejection that it has taken, since the client of one has nothing to send.
        return self.undelivered_bytes() > 0 if self.established else self.has_unsent_data()

    def evict(self, lingering: bool) -> None:
        """Close the connection if it has no flow, freeing its descriptor in this iteration of the reactor.

        If it were freed in the next iteration, a connection storm would by then have taken the descriptors
        that flows need. With `lingering`, the connection is closed although its client is owed data, perhaps
        a MOVE, if it has lingered for `LINGER_TIMEOUT_MS`.
        """
        if not self.answered:
            if self._has_requested_flow():
                return
            self.transport.writeSomeData(BUSY + LINE_END)
        elif self._is_owed_data() and not (lingering and self._has_lingered()):
            return
        self.factory.counters["idle_connections_evicted"] += 1
        self.transport.connectionLost(Failure(error.ConnectionDone()))

    def connection_lost(self) -> None:
        """Handle the closed or broken connection."""
        self.disconnected = True
        self.factory.discard(self)
        if self.upstream is not None:
            if self.read_closed:
                self.upstream.downstream_closed()
            else:
                self.upstream.downstream_lost()
        self._report_closed()
