"""The line protocol over TCP, shared by the downstream and the upstream side.

`LineProtocol` cuts what a socket delivers into lines that end in CRLF and passes each on as a slice
(`memoryview`) of the buffer that it was read into: no complete line is copied on its way in. The module also
holds the commands of the protocol and its limits, in bytes. It knows neither clients nor servers.
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

MAX_LINE_LENGTH = 4096  # with the line ending, by the protocol
# Read at once, and the most that may wait to be written. With Twisted's 64 KiB, a balancer at its limit of
# connections would exceed its memory.
SOCKET_BUFFER_BYTES = 8_192
MAX_COMMAND_LENGTH = 12  # the start of a line in which its command is looked for

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
    """A `LineReceiver` whose `lineReceived` takes slices with their line ending, ready to be forwarded."""

    transport: Any  # a TCP connection; Twisted declares an interface without the methods of TCP
    MAX_LENGTH = MAX_LINE_LENGTH
    MAX_BUFFERED = MAX_LINE_LENGTH  # the most that may arrive while lines are buffered
    buffering = False  # lines are buffered, not passed on, while this is set; the socket is still read
    read_closed = False  # the other end has stopped sending
    write_closed = False  # this end has stopped sending

    def connectionMade(self) -> None:
        """Set the socket's options."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = SOCKET_BUFFER_BYTES

    def dataReceived(self, data: bytes) -> None:
        """Pass on the complete lines in `data`; the rest is copied, because it has to outlive its buffer."""
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
            # An exception ends the connection whose line triggered it, not the balancer.
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
        """Call the handler for lines buffered beyond their limit, or for a line that is too long."""
        if self.buffering or self.paused:
            if len(self._buffer) > self.MAX_BUFFERED:
                self.buffer_overflowed()
        elif len(self._buffer) >= MAX_LINE_LENGTH and not self.transport.disconnecting:
            self.lineLengthExceeded(self._buffer)

    def has_buffered_data(self) -> bool:
        """Return whether something was received that has not been passed on: lines, or a part of one."""
        return bool(self._buffer)

    def buffer_overflowed(self) -> None:
        """Stop reading until `resume_lines`, because more than `MAX_BUFFERED` bytes are buffered."""
        self.transport.pauseProducing()

    def has_unsent_data(self) -> bool:
        """Return whether data waits in the transport to be written."""
        # Twisted has no public attribute for this: `write` puts data into `_tempDataBuffer`, and the next
        # attempt to write moves it to `dataBuffer`. This is the only place that reads either of them.
        return bool(self.transport.dataBuffer or self.transport._tempDataBuffer)

    def write_now(self, data: bytes) -> bytes:
        """Write at once what the socket takes and return the rest.

        Nothing is written while the transport has unsent data. Leaving small writes to the reactor would take
        one more iteration and two calls of epoll for each.
        """
        transport = self.transport
        if not transport.connected or self.has_unsent_data():
            return data
        sent = transport.writeSomeData(data)
        # For a broken connection `sent` is an exception; writing the rest lets the transport find out itself.
        return data[sent:] if isinstance(sent, int) else data

    def write_all(self, data: bytes) -> None:
        """Write now, or behind the data that already waits."""
        if rest := self.write_now(data):
            self.transport.write(rest)

    def send_line(self, line: memoryview) -> None:
        """Write a slice.

        Twisted's transports take only `bytes` and keep them until they are written. So the line is copied
        here, unless it is all that its buffer holds, which is the usual case.
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
        """Handle that the other end has stopped sending."""
        self.read_closed = True
        self.peer_half_closed()
        if self.write_closed:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Handle that our own half is closed."""
        if self.read_closed:
            self.transport.loseConnection()

    def half_close(self) -> None:
        """Stop sending when all is written; the connection closes when the other end has stopped too."""
        if not self.write_closed and self.transport is not None and self.transport.connected:
            self.write_closed = True
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel the timeout and report that the connection is closed or broken."""
        self.setTimeout(None)
        self.connection_lost()

    def timeoutConnection(self) -> None:
        """Close when the time set by `setTimeout` has passed."""
        self.transport.abortConnection()

    def peer_half_closed(self) -> None:
        """Handle that the other end has stopped sending."""

    def connection_lost(self) -> None:
        """Handle, once, that the connection is closed or broken."""
