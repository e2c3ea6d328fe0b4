"""The line protocol over TCP, shared by the downstream and the upstream side.

`LineProtocol` cuts what a socket delivers into lines that end in CRLF and passes each on as a slice
(`memoryview`) of the buffer that it was read into: no complete line is copied on its way in. The module also
holds the words of the protocol and its limits, in bytes. It knows neither clients nor servers.
"""

import re
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure
from zope.interface import implementer

from lotusroute.net.structured_log import log_exception

MAX_LINE_LENGTH = 4096  # bytes of a line with its ending, by the protocol
# Bytes read at once, and that may wait to be written: with Twisted's 64 KiB each way, a balancer at its limit
# of connections took 90 MB.
SOCKET_BUFFER_SIZE = 8_192
MAX_COMMAND_LENGTH = 12  # bytes of a line in which its command is looked for; the longest has 4

PING = b"PING"
PONG = b"PONG"
OPEN = b"OPEN"
UP = b"UP"
BUSY = b"BUSY"
MOVE = b"MOVE"
BYE = b"BYE"
ERR = b"ERR"
LOAD = b"LOAD"
LINE_END = b"\r\n"
RECEIPT = re.compile(rb"UP [!-~][ -~]*\r\n")  # a server's receipt as a complete line


def command_of(line: memoryview) -> bytes:
    """Return the command of a line: its first word.

    >>> command_of(memoryview(b"BUSY 250" + LINE_END)), command_of(memoryview(b"PING" + LINE_END))
    (b'BUSY', b'PING')
    """
    return bytes(line[:MAX_COMMAND_LENGTH]).split(b" ", 1)[0].split(LINE_END, 1)[0]


@implementer(IHalfCloseableProtocol)
class LineProtocol(LineReceiver, TimeoutMixin):
    """A `LineReceiver` whose `lineReceived` gets slices with their line ending, ready to be forwarded."""

    transport: Any  # a TCP connection; Twisted declares it without what TCP adds to a transport
    MAX_LENGTH = MAX_LINE_LENGTH
    MAX_BUFFERED = MAX_LINE_LENGTH  # bytes that may arrive while lines are buffered
    buffering = False  # lines are buffered, not passed on, while this is set; the socket is still read
    read_closed = False  # the other end has stopped sending
    write_closed = False  # this end has stopped sending

    def connectionMade(self) -> None:
        """Set the socket's options."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = SOCKET_BUFFER_SIZE

    def dataReceived(self, data: bytes) -> None:
        """Pass on the complete lines in `data`; the rest is copied, as it has to outlive its buffer."""
        if self._busyReceiving:
            self._buffer += data
            return
        if self._buffer:
            data = self._buffer + data
            self._buffer = b""
        self._busyReceiving = True
        start = 0
        view = memoryview(data)
        try:
            while not (self.buffering or self.paused or self.transport.disconnecting):
                end = data.find(LINE_END, start, start + MAX_LINE_LENGTH)
                if end < 0:
                    break
                end += len(LINE_END)
                line = view[start:end]
                start = end
                self.lineReceived(line)
        except Exception:
            # Whatever a line triggered ends its own connection, not the balancer.
            log_exception("connection failed", kind=type(self).__name__)
            self.transport.abortConnection()
            return
        finally:
            self._busyReceiving = False
            if start < len(data):
                self._buffer = data[start:] + self._buffer
        if self._buffer:
            self._check_buffer_limit()

    def _check_buffer_limit(self) -> None:
        """Report lines that are buffered beyond their limit, or a line that is too long."""
        if self.buffering or self.paused:
            if len(self._buffer) > self.MAX_BUFFERED:
                self.buffer_overflowed()
        elif len(self._buffer) >= MAX_LINE_LENGTH and not self.transport.disconnecting:
            self.lineLengthExceeded(self._buffer)

    def has_buffered_data(self) -> bool:
        """Whether something was received that has not been passed on: lines, or a part of one."""
        return bool(self._buffer)

    def buffer_overflowed(self) -> None:
        """More than `MAX_BUFFERED` bytes are buffered: stop reading until `resume_lines`."""
        self.transport.pauseProducing()

    def has_unsent_data(self) -> bool:
        """Whether data waits in the transport to be written."""
        # Twisted has no public way to ask this: data of `write` waits in `_tempDataBuffer` until the next
        # attempt to write moves it to `dataBuffer`. This is the only place that reads either of them.
        return bool(self.transport.dataBuffer or self.transport._tempDataBuffer)

    def write_now(self, data: bytes) -> bytes:
        """Write at once what the socket takes and return the rest.

        Nothing is written while the transport has unsent data. Leaving each small write to the reactor took
        one more iteration and two calls of epoll: a third of the latency of a line.
        """
        transport = self.transport
        if not transport.connected or self.has_unsent_data():
            return data
        sent = transport.writeSomeData(data)
        # A broken connection is an exception here; writing the rest lets the transport find out by itself.
        return data[sent:] if isinstance(sent, int) else data

    def write_all(self, data: bytes) -> None:
        """Write now, or behind the data that already waits."""
        if rest := self.write_now(data):
            self.transport.write(rest)

    def send_line(self, line: memoryview) -> None:
        """Write a slice.

        Twisted's transports take only `bytes` and keep them until they are written, so this is where a line
        is copied, unless it is all that its buffer holds, which is nearly always so.
        """
        buffer: bytes = line.obj  # type: ignore[assignment]  # what `dataReceived` got
        self.write_all(buffer if len(line) == len(buffer) else bytes(line))

    def resume_lines(self) -> None:
        """Pass on the buffered lines and stop buffering."""
        self.buffering = False
        if not self.read_closed:
            self.transport.resumeProducing()
        self.dataReceived(b"")

    def readConnectionLost(self) -> None:
        """Twisted: the other end has stopped sending."""
        self.read_closed = True
        self.peer_half_closed()
        if self.write_closed:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Twisted: our own half is closed."""
        if self.read_closed:
            self.transport.loseConnection()

    def half_close(self) -> None:
        """Stop sending once all is written; the connection closes when the other end has stopped too."""
        if not self.write_closed and self.transport is not None and self.transport.connected:
            self.write_closed = True
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Twisted: the connection is closed or broken."""
        self.setTimeout(None)
        self.connection_lost()

    def timeoutConnection(self) -> None:
        """`TimeoutMixin`: the time set by `setTimeout` is over."""
        self.transport.abortConnection()

    def peer_half_closed(self) -> None:
        """Called when the other end has stopped sending."""

    def connection_lost(self) -> None:
        """Called once when the connection is closed or broken."""
