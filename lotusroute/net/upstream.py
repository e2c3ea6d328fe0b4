"""The side of the servers.

Owns every connection to a server, one for each connect, and what a server's lines mean. How a connect
ended is a value, an `interface` result that says how far it had come; no exception leaves this file. It must
never choose a server, try again, or speak to a client but to pass on.
"""

import re
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import error, reactor
from twisted.internet.protocol import ClientFactory

from lotusroute.errors import InvalidValueError
from lotusroute.net.line_protocol import BUSY, BYE, LOAD, MOVE, LineProtocol, word
from lotusroute.routing import events
from lotusroute.service_config import parse_number

UNANSWERED = 64  # client lines whose answers are timed at once; those of two minutes

RECEIPT = re.compile(rb"UP [!-~][ -~]*\r\n")  # what a server made; less must not reach a client as served

# How far a connect has come.
CONNECTING, WRITING, WRITTEN, STANDING, OVER = range(5)
REACHES = "connecting", "writing", "written", "standing"  # their names in the log


class ReceiptReceived(NamedTuple):
    """A server gave its receipt for a flow."""

    flow_id: int
    attempt: "UpstreamAttempt"
    receipt: memoryview


class AttemptEnded(NamedTuple):
    """A connect, or the connection that came of it, is over."""

    flow_id: int
    attempt: "UpstreamAttempt"
    result: str


class LoadReported(NamedTuple):
    """A server told the load of a connection."""

    flow_id: int
    load: float


class ReplyTimed(NamedTuple):
    """A client's line was answered after so many milliseconds."""

    server: str
    delay: float


class _Opening:
    """Pull producer that writes what a socket did not take of a connect's line at once, and learns when its
    last byte is written."""

    def __init__(self, side: "UpstreamConnection") -> None:
        self.side = side

    def resumeProducing(self) -> None:
        link, transport = self.side.link, self.side.transport
        if link.stage == CONNECTING:
            link.stage = WRITING
            transport.write(link.line)
        else:
            if link.stage == WRITING:
                link.stage = WRITTEN
            transport.unregisterProducer()

    def stopProducing(self) -> None:
        """The transport is gone; `lost` tells the rest."""


class UpstreamConnection(LineProtocol):
    """The connection of one connect."""

    def __init__(self, link: "UpstreamAttempt") -> None:
        self.link = link
        self.client = None  # where lines are passed on to, once the connection stands
        self.asked: deque[float] = deque(maxlen=UNANSWERED)  # when lines went out; each answer takes one
        self.heard = self.spoke = 0.0  # when the server's and the client's last lines came; 0: never
        self.last = events.RESET  # how the connection ends if it ended now

    def connectionMade(self) -> None:
        super().connectionMade()
        link = self.link
        if not link.may_send():
            link.fell(events.UNSENT)
            self.transport.abortConnection()
            return
        link.line = self.write(link.line)
        if link.line:
            self.transport.registerProducer(_Opening(self), streaming=False)
        else:
            link.stage = WRITTEN

    def lineReceived(self, line: memoryview) -> None:
        if self.client is None:
            self._first(line)
            return
        self.heard = now = self.link.clock()
        first = word(line)
        if first == LOAD:
            self._load(line)
        elif first in (BYE, MOVE):
            self.last = events.OK if first == BYE else events.CANCELLED
        elif self.asked:
            self.link.put(ReplyTimed(self.link.server, now - self.asked.popleft()))
        self.client.send(line)

    def _first(self, line: memoryview) -> None:
        first, link = word(line), self.link
        if RECEIPT.fullmatch(line) and link.stage == WRITTEN:
            # Lines that come with the receipt wait until the client's side takes them.
            self.held = True
            link.stage = STANDING
            self.last = events.RESET
            link.put(ReceiptReceived(link.flow_id, link, line))
        else:
            # An UP without a receipt, or before our line was whole, is no answer that a server made for it.
            link.fell({BUSY: events.FULL, MOVE: events.CANCELLED}.get(first, events.ERROR))
            self.transport.abortConnection()

    def _load(self, line: memoryview) -> None:
        try:
            self.link.put(
                LoadReported(self.link.flow_id, parse_number(str(line[len(LOAD) :], "ascii").strip()))
            )
        except (InvalidValueError, UnicodeDecodeError):
            self.link.counters["malformed_load_reports"] += 1

    def pass_on(self, line: memoryview) -> None:
        """Take a client's line."""
        self.spoke = self.link.clock()
        self.asked.append(self.spoke)
        self.send(line)

    def peer_half_closed(self) -> None:
        if self.client is not None:
            # A line without its ending is passed on as it is: nothing more will come.
            self.client.transport.write(self.clearLineBuffer())
            self.client.half_close()
            self.link.fell(self.last)
        elif self.link.stage < STANDING:
            self.link.fell(self.link.broken())
            self.transport.abortConnection()

    def lost(self, clean: bool) -> None:
        if self.client is not None and not self.ended:
            self.client.transport.abortConnection()
        self.link.fell(self.last if self.client is not None else self.link.broken())

    def lineLengthExceeded(self, line: bytes) -> None:
        self.link.fell(events.ERROR if self.client is None else events.RESET)
        self.transport.abortConnection()


class UpstreamAttempt(ClientFactory):
    """One connect of one flow to one server, and the connection that comes of it."""

    noisy = False

    def __init__(
        self,
        flow_id: int,
        server: str,
        line: bytes,
        put: Callable,
        clock: Callable,
        counters,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        self.flow_id, self.server, self.line = flow_id, server, line
        self.may_send = may_send  # whether the line may be sent; asked once, as the connection is up
        self.put, self.clock, self.counters = put, clock, counters
        self.stage = self.final_stage = CONNECTING  # how far it is, and how far it came before it was over
        self.side: UpstreamConnection | None = None
        self.connector = None
        self.timeout_shortened = (
            False  # the time to come up was cut short: a time-out says little of the server
        )

    def connect(self, address: tuple[str, int], timeout_shortened: bool) -> None:
        """Begin; the owner keeps the time, so that a stall of ours is not taken for the server's."""
        self.timeout_shortened = timeout_shortened
        self.connector = reactor.connectTCP(*address, self, timeout=None)

    def buildProtocol(self, addr) -> UpstreamConnection:
        self.side = UpstreamConnection(self)
        return self.side

    def clientConnectionFailed(self, connector, reason) -> None:
        # Out of descriptors: that is not the server's fault.
        own = reason.check(error.ConnectBindError, error.UserError)
        self.fell(events.UNSENT if own else events.UNREACHABLE)

    def broken(self) -> str:
        """How it ended, if the connection broke now: after the line's last byte it may have run."""
        return events.RESET if self.stage >= WRITTEN else events.UNREACHABLE

    def fell(self, result: str) -> None:
        """Report the end, once."""
        if self._over():
            self.put(AttemptEnded(self.flow_id, self, result))

    def _over(self) -> bool:
        """Keep how far it came; whether it was not over yet."""
        if self.stage == OVER:
            return False
        self.final_stage, self.stage = self.stage, OVER
        return True

    def abort(self) -> str:
        """Stop waiting, close at once and return how far it had come; nothing is reported any more."""
        result = (
            events.TIMEOUT
            if self.stage >= WRITTEN
            else events.UNSENT
            if self.timeout_shortened
            else events.UNREACHABLE
        )
        self._over()
        if self.side is not None and self.side.transport is not None:
            self.side.client = None
            self.side.transport.unregisterProducer()
            self.side.transport.abortConnection()
        elif self.connector is not None and self.connector.state == "connecting":
            self.connector.stopConnecting()
        return result

    def attach_downstream(self, client) -> None:
        """Pass lines on to and from `client` from now on."""
        side = self.side
        side.client, side.heard = client, self.clock()
        # One that only listens and vanishes would keep its descriptors for good.
        client.transport.setTcpKeepAlive(True)
        client.transport.registerProducer(side.transport, streaming=True)
        side.transport.registerProducer(client.transport, streaming=True)
        side.release()
        if side.ended:
            side.peer_half_closed()

    def client_ended(self, rest: bytes) -> None:
        """The client has stopped sending: so do we, and whatever end comes now is not the server's doing."""
        self.side.last = events.CANCELLED
        self.side.transport.write(rest)
        self.side.half_close()

    def client_lost(self) -> None:
        """The client's connection broke: so does its server's, which is not to be blamed for it."""
        self.side.last = events.CANCELLED
        self.side.transport.abortConnection()

    def close_after_migration(self) -> None:
        """Close after a polite move; nothing is reported any more."""
        self._over()
        self.side.client = None
        self.side.transport.unregisterProducer()
        self.side.transport.loseConnection()

    def oldest_wait(self, now: float) -> float:
        """How long the oldest unanswered line of the client has waited, in ms."""
        return now - self.side.asked[0] if self.side.asked else 0.0

    def client_idle_time(self, now: float) -> float:
        """For how long a client that has spoken before has said nothing, in ms: those that only listen were
        moved each minute."""
        return now - self.side.spoke if self.side.spoke else 0.0

    def server_silence(self, now: float) -> float:
        """For how long the server has brought nothing though a line waits, in ms."""
        return now - max(self.side.asked[0], self.side.heard) if self.side.asked else 0.0
