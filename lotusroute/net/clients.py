"""The side of the clients.

Owns every connection that a client or the front opens, from its first line to its close: what the line
says, the one answer, and the passing on of lines once the flow stands. It must never choose a server,
answer a flow on its own account once the owner has it, or hold a client's line back.
"""

from collections.abc import Callable
from typing import NamedTuple

from twisted.internet.protocol import ServerFactory

from lotusroute.net.lines import BUSY, END, ERR, MOVE, OPEN, PING, PONG, SliceReceiver, word
from lotusroute.vip import Malformed, number

FIRST_LINE = 30.0  # s for a connection to say something; a front's checks come oftener
SPARE = 48  # descriptors that clients never get: discovery, probes, the log, the reactor's own
LINGER = 1.0  # s for the other end to close after our last line; the protocol wants ends within a second


class Opening(NamedTuple):
    """What a client's first line asks for; `line` is that line around the figure of `d`."""

    service_type: str
    tenant: str | None
    group: str | None
    key: str | None
    wait: float
    returned: bool
    at: str | None
    line: tuple[bytes, bytes]

    def rewritten(self, wait: float) -> bytes:
        """Write the line for a server that has `wait` ms."""
        return b"%b%d%b" % (self.line[0], max(1, int(wait)), self.line[1])


class Asked(NamedTuple):
    """A client asks for a connection."""

    side: "ClientSide"
    opening: Opening
    at: float

    @property
    def number(self) -> int:
        """Of its flow, once it has one."""
        return self.side.number


class Left(NamedTuple):
    """A client has ended its connection, or its sending on it."""

    number: int


def opening(line: bytes) -> Opening:
    """Read a client's first line; the copy taken of it outlives its buffer, for further connects.

    >>> opening(b"OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f" + END).rewritten(1500.0)
    b'OPEN 9b1f 7f3a c=chat,t=acme,d=1500,g=5c0f\\r\\n'
    """
    try:
        parts = line[: -len(END)].decode("ascii").split(" ")
    except UnicodeDecodeError:
        raise Malformed("not ASCII") from None
    if len(parts) != 4 or not parts[1] or not parts[2]:
        raise Malformed(f"{len(parts)} words, not OPEN, id, key and a list")
    said, start = {}, len(line) - len(END) - len(parts[3])
    figure = None
    for pair in parts[3].split(","):
        name, equals, value = pair.partition("=")
        if not equals or name in said:
            raise Malformed(f"'{pair[:40]}' is no pair, or one too many")
        said[name] = value
        if name == "d":
            figure = start + len("d="), start + len(pair)
        start += len(pair) + 1
    if figure is None or "c" not in said:
        raise Malformed("no c or no d")
    wait = number(said["d"])
    if wait <= 0:
        raise Malformed(f"d={said['d'][:40]} leaves no time")
    key = None if parts[2] == "-" else parts[2]
    returned = said.get("r") == "1" or said.get("again") == "1"
    return Opening(said["c"], said.get("t"), said.get("g"), key, wait, returned, said.get("at"),
                   (line[: figure[0]], line[figure[1]:]))  # fmt: skip


class ClientSide(SliceReceiver):
    """One connection from a client or the front."""

    factory: "Clients"

    def __init__(self) -> None:
        self.number = 0  # of its flow; 0 while there is none
        self.link = None  # the connection of its server, once the flow stands
        self.answered = False

    def connectionMade(self) -> None:
        super().connectionMade()
        self.factory.sides.add(self)
        self.setTimeout(FIRST_LINE)
        if self.factory.full():
            # Accepting until no descriptor is left would lose flows unanswered.
            self.factory.counts["turned_away"] += 1
            self.answer(BUSY)

    def lineReceived(self, line: memoryview) -> None:
        if self.link is not None:
            self.link.side.pass_on(line)
        elif self.answered:
            return
        elif word(line) == PING:
            self.resetTimeout()
            self.transport.write((PONG if self.factory.ready() else BUSY) + END)
        else:
            self._open(line)

    def _open(self, line: memoryview) -> None:
        now, factory = self.factory.clock(), self.factory
        # Lines that a hasty client sends before its answer wait for the server's side.
        self.held = True
        self.setTimeout(None)
        try:
            if word(line) != OPEN:
                raise Malformed("neither OPEN nor PING")
            asked = Asked(self, opening(bytes(line)), now)
        except Malformed:
            factory.counts["malformed_lines"] += 1
            self.answer(ERR)
            return
        factory.counts["flows"] += 1
        factory.put(asked)

    def lineLengthExceeded(self, line: bytes) -> None:
        self.factory.counts["malformed_lines"] += 1
        if self.link is not None:
            self.transport.abortConnection()
        else:
            self.answer(ERR)

    def answer(self, words: bytes) -> None:
        """Write the one final line, then close."""
        if self.answered:
            return
        self.answered, self.held = True, False
        self.transport.write(words + END)
        self.halfClose()

    def join(self, link, receipt: memoryview) -> None:
        """Pass on the server's receipt and, from now on, all lines."""
        self.answered = True
        self.send(receipt)
        self.link = link
        link.join(self)
        self.release()
        if self.ended:
            link.client_ended(self.clearLineBuffer())

    def move(self) -> None:
        """Send the client away, after the last whole line."""
        self.link = None
        self.transport.write(MOVE + END)
        self.halfClose()

    def halfClose(self) -> None:
        super().halfClose()
        # What a client sends now has nobody to go to; it is read, so that our close does not turn into a
        # reset that overtakes the last line.
        self.setTimeout(LINGER)
        if self.ended:
            self.transport.loseConnection()
        else:
            self.transport.resumeProducing()

    def otherEnded(self) -> None:
        if self.link is not None:
            self.link.client_ended(self.clearLineBuffer())
        elif not self.number:
            self.transport.loseConnection()
        if self.number:
            self.factory.put(Left(self.number))

    def lost(self, clean: bool) -> None:
        self.factory.sides.discard(self)
        if self.link is not None and not self.ended:
            self.link.client_lost()
        if self.number:
            self.factory.put(Left(self.number))


class Clients(ServerFactory):
    """Takes connections in."""

    noisy = False
    protocol = ClientSide

    def __init__(self, put: Callable, clock: Callable, ready: Callable, sockets: int, counts) -> None:
        self.put, self.clock, self.ready, self.counts = put, clock, ready, counts
        self.most = 1
        self.allow(sockets)
        self.sides: set[ClientSide] = set()  # open connections; each leaves as it is lost

    def allow(self, sockets: int) -> None:
        """Take connections for so many descriptors."""
        self.most = max(1, sockets - SPARE)

    def full(self) -> bool:
        """Whether hardly a descriptor is left, at up to two for a connection."""
        return len(self.sides) + sum(side.number > 0 for side in self.sides) > self.most

    def buildProtocol(self, addr) -> ClientSide:
        self.counts["connections"] += 1
        return super().buildProtocol(addr)

