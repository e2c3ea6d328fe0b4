"""Lines over TCP, for both sides.

Owns the reading of whole lines out of what a socket brought, as slices of the buffer that they were
read into, and the words of the protocol. It must never copy a whole line to hand it on, let a line grow
beyond its limit, or know whose connection it reads.
"""

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.protocols.basic import LineReceiver
from twisted.protocols.policies import TimeoutMixin
from zope.interface import implementer

from lotusroute.net.structured_log import log_exception

LINE = 4096  # bytes of a line with its ending, by the protocol
SIP = 8_192  # bytes read at once, and that may wait to be written: 64 KiB each way made a full house 90 MB

PING, PONG, OPEN, UP, BUSY, MOVE, BYE, ERR, LOAD = (
    b"PING",
    b"PONG",
    b"OPEN",
    b"UP",
    b"BUSY",
    b"MOVE",
    b"BYE",
    b"ERR",
    b"LOAD",
)
END = b"\r\n"


def word(line: memoryview) -> bytes:
    """Return the first word of a line.

    >>> word(memoryview(b"BUSY 250" + END)), word(memoryview(b"PING" + END))
    (b'BUSY', b'PING')
    """
    return bytes(line[:12]).split(b" ", 1)[0].split(END, 1)[0]


@implementer(IHalfCloseableProtocol)
class LineProtocol(LineReceiver, TimeoutMixin):
    """A LineReceiver whose `lineReceived` gets slices, each with its ending, ready to be passed on."""

    MAX_LENGTH = LINE
    HELD = LINE  # bytes that may come while lines are held
    held = False  # lines wait while this is set, though the socket is still read
    ended = False  # the other end has stopped sending
    closing = False  # this end has

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = SIP

    def dataReceived(self, data: bytes) -> None:
        """Hand on the whole lines of `data`; what is left of it is copied, for it must outlive its buffer."""
        if self._busyReceiving:
            self._buffer += data
            return
        if self._buffer:
            data, self._buffer = self._buffer + data, b""
        self._busyReceiving = True
        at = 0
        view = memoryview(data)
        try:
            while not (self.held or self.paused or self.transport.disconnecting):
                end = data.find(END, at, at + LINE)
                if end < 0:
                    break
                at, start = end + len(END), at
                self.lineReceived(view[start:at])
        except Exception:
            # Whatever a line set off ends with its connection, not with the balancer.
            log_exception("connection failed", kind=type(self).__name__)
            self.transport.abortConnection()
            return
        finally:
            self._busyReceiving = False
            if at < len(data):
                self._buffer = data[at:] + self._buffer
        if self.held or self.paused:
            if len(self._buffer) > self.HELD:
                self.buffer_overflowed()
        elif len(self._buffer) >= LINE and not self.transport.disconnecting:
            self.lineLengthExceeded(self._buffer)

    def buffer_overflowed(self) -> None:
        """More has come than may be held: read on when it is let go."""
        self.transport.pauseProducing()

    def has_unsent_data(self) -> bool:
        """Whether something waits to be written, or our end to be told."""
        return bool(self.transport.dataBuffer or self.transport._tempDataBuffer)

    def write(self, data: bytes) -> bytes:
        """Write at once what the socket takes, and return the rest; the transport has nothing waiting. A turn
        of the reactor with two calls to epoll for each small write was a third of the delay of a line."""
        transport = self.transport
        if not transport.connected or self.has_unsent_data():
            return data
        sent = transport.writeSomeData(data)
        # A broken connection is an exception here; writing the rest has the transport find out by itself.
        return data[sent:] if isinstance(sent, int) else data

    def write_all(self, data: bytes) -> None:
        """Write, now or behind what waits already."""
        if rest := self.write(data):
            self.transport.write(rest)

    def send(self, line: memoryview) -> None:
        """Write a slice. Twisted's transports take nothing but bytes and keep them until written, so this is
        where a line is copied, unless it is all that its buffer holds, as nearly always."""
        self.write_all(line.obj if len(line) == len(line.obj) else bytes(line))

    def release(self) -> None:
        """Let go the lines held back."""
        self.held = False
        if not self.ended:
            self.transport.resumeProducing()
        self.dataReceived(b"")

    def readConnectionLost(self) -> None:
        self.ended = True
        self.peer_half_closed()
        if self.closing:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        if self.ended:
            self.transport.loseConnection()

    def half_close(self) -> None:
        """Stop sending, once all is written; the rest closes when the other end has stopped too."""
        if not self.closing and self.transport is not None and self.transport.connected:
            self.closing = True
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()

    def connectionLost(self, reason) -> None:
        self.setTimeout(None)
        self.lost(bool(reason.check(ConnectionDone)))

    def timeoutConnection(self) -> None:
        self.transport.abortConnection()

    def peer_half_closed(self) -> None:
        """Called when the other end has stopped sending."""

    def lost(self, clean: bool) -> None:
        """Called when the connection is gone."""
