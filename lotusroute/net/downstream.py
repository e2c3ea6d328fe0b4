"""The side of the clients.

Owns every connection that a client or the front opens, from its first line to its close: what the line
says, the one answer, the passing on of lines once the flow stands, and who goes when descriptors run short.
It must never choose a server, answer a flow on its own account once the owner has it, hold a client's line
back, or spend on a connection that asks for nothing what those that ask need.
"""

import re
from collections.abc import Callable
from typing import NamedTuple

from twisted.internet import error, tcp
from twisted.internet.protocol import ServerFactory
from twisted.python.failure import Failure

from lotusroute.errors import InvalidValueError
from lotusroute.net.line_protocol import BUSY, END, ERR, LINE, MOVE, PING, PONG, LineProtocol

FIRST_LINE = 2.0  # s from connecting to a whole first line, however it trickles; a close is owed within 3
CHECKS = 16  # PINGs on one connection; a front sends one, and those that send them without end cost our core
LINGER = 1.0  # s for the other end to close after our last line; the protocol wants ends within a second
DROPPED = 16_384  # bytes read and dropped after our last line; one who sends 60 MB is then read no more
ACCEPTS = 16  # connections taken in between two looks at all others, so that a flood shares the core
OWN = 16, 32  # part of the descriptors, and the least, kept for discovery, the log, the reactor's own

# A first line as the protocol has it: what a server could not use must never reach one.
ASK = re.compile(rb"OPEN ([0-9A-Za-z][0-9A-Za-z_.:-]{0,63}) ([!-~]{1,256}) ([!-~]+)\r\n")
PAIR = re.compile(rb"([A-Za-z][0-9A-Za-z_]{0,31})=([!-+\--~]*)")
WAIT = re.compile(rb"[0-9]{1,7}(\.[0-9]{1,9})?")  # under three hours; standing connections say 4294967


class OpenRequest(NamedTuple):
    """What a client's first line asks for; `line` is that line around the figure of `d`."""

    id: str
    service_type: str
    tenant: str | None
    group: str | None
    key: str | None
    wait: float
    reconnecting: bool
    existing_server: str | None
    line: tuple[bytes, bytes]

    def rewritten(self, wait: float) -> bytes:
        """Write the line for a server that has `wait` ms."""
        return b"%b%d%b" % (self.line[0], max(1, int(wait)), self.line[1])


class FlowRequested(NamedTuple):
    """A client asks for a connection."""

    connection: "DownstreamConnection"
    request: OpenRequest
    received_at: float

    @property
    def flow_id(self) -> int:
        """Of its flow, once it has one."""
        return self.connection.flow_id


class DownstreamClosed(NamedTuple):
    """A client has ended its connection, or its sending on it."""

    flow_id: int


def parse_open_request(line: bytes) -> OpenRequest:
    """Read a client's first line; the copy taken of it outlives its buffer, for further connects.

    >>> parse_open_request(b"OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f" + END).rewritten(1500.0)
    b'OPEN 9b1f 7f3a c=chat,t=acme,d=1500,g=5c0f\\r\\n'
    """
    asked = ASK.fullmatch(line)
    if asked is None:
        raise InvalidValueError("not OPEN, id, key and a list")
    said, figure, start = {}, (0, 0), asked.start(3)
    for text in asked[3].split(b","):
        pair = PAIR.fullmatch(text)
        if pair is None or pair[1] in said:
            raise InvalidValueError("no pair, or one too many")
        said[pair[1]] = pair[2].decode()
        if pair[1] == b"d":
            if not WAIT.fullmatch(pair[2]):
                raise InvalidValueError("d is no time")
            figure = start + len(b"d="), start + len(text)
        start += len(text) + 1
    wait = float(said.get(b"d", 0))
    if wait <= 0 or not said.get(b"c"):
        raise InvalidValueError("no c, or no time in d")
    key = None if asked[2] == b"-" else asked[2].decode()
    returned = said.get(b"r") == "1" or said.get(b"again") == "1"
    return OpenRequest(
        asked[1].decode(),
        said[b"c"],
        said.get(b"t"),
        said.get(b"g"),
        key,
        wait,
        returned,
        said.get(b"at"),
        (line[: figure[0]], line[figure[1] :]),
    )


class DownstreamConnection(LineProtocol):
    """One connection from a client or the front."""

    factory: "DownstreamFactory"
    HELD = 4 * LINE  # of one that should wait for its answer; what stands in its way hides that it leaves

    def __init__(self) -> None:
        self.flow_id = 0  # of its flow; 0 while there is none
        self.link = None  # the connection of its server, once the flow stands
        self.answered = self.disconnected = False
        self.checks = self.dropped = self.reads = 0

    def connectionMade(self) -> None:
        super().connectionMade()
        # Never set anew before the first line: trickling must not keep a descriptor.
        self.setTimeout(FIRST_LINE)
        self.factory.take_in(self)

    def dataReceived(self, data: bytes) -> None:
        self.reads += 1
        if self.link is None and self.answered:
            # Nobody is left to read this; kept, it grew to 60 MB, copied with each read.
            self.dropped += len(data)
            if self.dropped > DROPPED:
                self.transport.pauseProducing()
            return
        super().dataReceived(data)

    def lineReceived(self, line: memoryview) -> None:
        if self.link is not None:
            self.link.side.pass_on(line)
        elif self.answered:
            return
        elif line == PING + END and self.checks < CHECKS:
            self.checks += 1
            self.transport.write((PONG if self.factory.ready() else BUSY) + END)
        else:
            self._open(line)

    def _open(self, line: memoryview) -> None:
        now, factory = self.factory.clock(), self.factory
        try:
            asked = FlowRequested(self, parse_open_request(bytes(line)), now)
        except InvalidValueError:
            self.reject_malformed()
            return
        # Lines that a hasty client sends before its answer wait for the server's side.
        self.held = True
        self.setTimeout(None)
        factory.idle.pop(self, None)
        factory.counters["flows"] += 1
        factory.put(asked)

    def reject_malformed(self) -> None:
        """Answer what cannot be read or used."""
        self.factory.counters["malformed_lines"] += 1
        self.send_final_answer(ERR)

    def buffer_overflowed(self) -> None:
        """A client that does not wait for its answer, as the protocol has it, is refused: read no further,
        its leaving was not seen and its flow was sent on; read on, it would fill our memory."""
        if self.answered:
            super().buffer_overflowed()
            return
        self.factory.counters["early_data_overflows"] += 1
        self.disconnected = True  # to the owner, who may not have taken it yet
        self.reject_malformed()
        self._tell_left()

    def look(self) -> bool:
        """Read what the socket holds now, as far as it may be held; whether the client may still be there."""
        reads = -1
        while self.transport.connected and not self.ended and not self.answered and reads != self.reads:
            reads = self.reads
            if self.transport.doRead() is not None:
                return False  # the reactor finds that out by itself in its next turn
        return not (self.ended or self.disconnected)

    def has_disconnected(self) -> bool:
        """Whether a client that waits has left. It is looked for in the socket: an end that came
        while we were held up, or beside the event that is handled, has not been read yet."""
        if self.look():
            return False
        if not self.answered:
            # One refused over what was just read lingers, so that no reset overtakes its last line.
            self._leave()
        return True

    def _has_asked(self) -> bool:
        """Look a last time whether its line has come: it may lie unread, and it was we who were held up."""
        self.look()
        return self not in self.factory.idle

    def _leave(self) -> None:
        if not self.flow_id:
            self.disconnected = True
            self.transport.loseConnection()
        self._tell_left()

    def _tell_left(self) -> None:
        if self.flow_id:
            self.factory.put(DownstreamClosed(self.flow_id))

    def awaits_answer(self) -> bool:
        """Whether it has begun to ask and has no answer, or has not been written its last words."""
        return self.has_unsent_data() or not self.answered and bool(self._buffer)

    def lineLengthExceeded(self, line: bytes) -> None:
        if self.link is not None:
            self.factory.counters["malformed_lines"] += 1
            self.transport.abortConnection()
        else:
            self.reject_malformed()

    def send_final_answer(self, words: bytes) -> None:
        """Write the one final line, then close."""
        if self.answered:
            return
        self.answered, self.held = True, False
        self.write_all(words + END)
        self.half_close()

    def attach_upstream(self, link, receipt: memoryview) -> None:
        """Pass on the server's receipt and, from now on, all lines."""
        self.answered = True
        self.send(receipt)
        self.link = link
        link.attach_downstream(self)
        self.release()
        if self.ended:
            link.client_ended(self.clearLineBuffer())

    def send_migrate(self) -> None:
        """Send the client away, after the last whole line."""
        self.link = None
        self.write_all(MOVE + END)
        self.half_close()

    def half_close(self) -> None:
        super().half_close()
        self._buffer = b""
        self.factory.let_go(self)
        # What a client sends now has nobody to go to; it is read, so that our close does not turn into a
        # reset that overtakes the last line.
        self.setTimeout(LINGER)
        if self.ended:
            self.transport.loseConnection()
        else:
            self.transport.resumeProducing()

    def peer_half_closed(self) -> None:
        if self.link is not None:
            self.link.client_ended(self.clearLineBuffer())
            self._tell_left()
        else:
            self._leave()

    def timeoutConnection(self) -> None:
        if not self.answered and self._has_asked():
            return
        self.factory.counters["first_line_timeouts"] += not self.answered
        if self.answered:
            super().timeoutConnection()
        else:
            self.transport.loseConnection()

    def evict(self) -> None:
        """Make room at once, not a turn later: until then a flood takes the descriptors that others need."""
        if not self.answered:
            if self._has_asked():
                return
            self.transport.writeSomeData(BUSY + END)
        elif self.has_unsent_data():
            # Its last words, a MOVE perhaps, are still owed; it lingers for a second at most.
            return
        self.factory.counters["idle_connections_evicted"] += 1
        self.transport.connectionLost(Failure(error.ConnectionDone()))

    def lost(self, clean: bool) -> None:
        self.disconnected = True
        self.factory.sides.discard(self)
        self.factory.idle.pop(self, None)
        if self.link is not None and not self.ended:
            self.link.client_lost()
        self._tell_left()


class DownstreamFactory(ServerFactory):
    """Takes connections in."""

    noisy = False
    protocol = DownstreamConnection

    def __init__(self, put: Callable, clock: Callable, ready: Callable, sockets: int, counters) -> None:
        self.put, self.clock, self.ready, self.counters = put, clock, ready, counters
        self.sides: set[DownstreamConnection] = set()  # open connections; each leaves as it is lost
        self.idle: dict[DownstreamConnection, None] = {}  # those of them that have no flow, the oldest first
        self.most = 1
        self.set_descriptor_limit(sockets)

    def set_descriptor_limit(self, sockets: int) -> None:
        """Take connections for so many descriptors."""
        self.most = max(1, sockets - max(OWN[1], sockets // OWN[0]) - ACCEPTS)

    def take_in(self, side: DownstreamConnection) -> None:
        """Count a newcomer in. Descriptors that have no flow go, the oldest first, to one that may bring one:
        hundreds that connected and said nothing had the usual clients turned away."""
        self.sides.add(side)
        self.idle[side] = None
        if self._taken() > self.most:
            for oldest in [other for other in self.idle if other is not side]:
                oldest.evict()
                if self._taken() <= self.most:
                    break
        if self._taken() > self.most:
            # Accepting until no descriptor is left would lose flows unanswered.
            self.counters["load_shed"] += 1
            side.send_final_answer(BUSY)

    def accept_pending(self, listener: "Listener") -> bool:
        """Take in who waits to be accepted, and read what lies in the sockets of those without a flow, before
        all is closed; whether one of them is still owed something."""
        taken = -1
        while taken != self.counters["connections"]:
            taken = self.counters["connections"]
            listener.doRead()
        for side in list(self.idle):
            side.look()
        return any(side.awaits_answer() for side in self.sides)

    def let_go(self, side: DownstreamConnection) -> None:
        """A connection has its last line and only lingers."""
        if side in self.sides:
            self.idle.pop(side, None)
            self.idle[side] = None

    def _taken(self) -> int:
        """Descriptors in use: two for each connection that has asked."""
        return 2 * len(self.sides) - len(self.idle)

    def buildProtocol(self, addr) -> DownstreamConnection:
        self.counters["connections"] += 1
        return super().buildProtocol(addr)


class Listener(tcp.Port):
    """The listening socket. It takes in a few connections a turn, and no more after a burst, as Twisted's own
    would: one that took in hundreds before it read the first had to end usual clients unread."""

    numberAccepts = property(lambda self: ACCEPTS, lambda self, _: None)
