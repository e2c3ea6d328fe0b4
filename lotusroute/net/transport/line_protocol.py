"""The line protocol over TCP, shared by the downstream and the upstream side.

`LineProtocol` splits the data read from a socket into lines that end in CRLF and passes each on as a slice
(`memoryview`) of the buffer that it was read into: no line that arrives complete is copied on its way in. The
module also defines the commands of the protocol and its limits, in bytes. Nothing in it is specific to
clients or to servers.
"""

import logging
import re
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure
from zope.interface import implementer

from lotusroute.monotonic_clock import MS_PER_SECOND
from lotusroute.net.structured_log import log_event, log_exception
from lotusroute.net.transport.linger import Linger, LingerRules
from lotusroute.net.transport.send_queue import unacknowledged_bytes
from lotusroute.timing.progress import PROGRESS_CHECK_INTERVAL_MS, ProgressTracker

# Longest text of a line. By the protocol a line is at most 4 KiB long and ended by CRLF; whether the ending
# counts is open, so a line is accepted that is within the limit either way.
MAX_LINE_LENGTH = 4096
# Largest amount of data that is read at once, and that may wait to be written. With Twisted's 64 KiB in each
# direction, a balancer at its limit of connections would take 90 MB and exceed its memory.
SOCKET_BUFFER_BYTES = 8_192
MAX_COMMAND_LENGTH = 12  # a command is looked for in this much of a line; the longest command has 4 bytes

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
MAX_ENDED_LINE_LENGTH = MAX_LINE_LENGTH + len(LINE_END)
# A server's receipt as a complete line. Only a line that matches it means that a server has accepted a flow.
RECEIPT = re.compile(rb"UP [!-~][ -~]*\r\n")


def command_of(line: memoryview) -> bytes:
    """Return the command of a line: its first word.

    >>> command_of(memoryview(b"BUSY 250" + LINE_END)), command_of(memoryview(b"PING" + LINE_END))
    (b'BUSY', b'PING')
    """
    return bytes(line[:MAX_COMMAND_LENGTH]).split(b" ", 1)[0].split(LINE_END, 1)[0]


@implementer(IHalfCloseableProtocol)
class LineProtocol(LineReceiver, TimeoutMixin):
    """A `LineReceiver` whose `lineReceived` takes slices that include the line ending, to be forwarded."""

    transport: Any  # a TCP transport; the interface that Twisted declares lacks TCP's methods
    MAX_LENGTH = MAX_ENDED_LINE_LENGTH
    MAX_BUFFERED = MAX_ENDED_LINE_LENGTH  # largest amount of data that may arrive while lines are buffered
    discarding = False  # whether received data is discarded, since it can be of no use any more
    buffering = False  # whether lines are buffered instead of passed on; the socket is still read
    established = False  # whether lines are forwarded to and from the other side of a flow
    read_closed = False  # whether the other end has stopped sending
    write_closed = False  # whether this end has stopped sending
    read_count = 0  # how often data was read from the other end
    linger: Linger | None = None  # set once this end has sent its last data
    # How the other end takes the data that waits for it; None while none waits.
    _delivery: ProgressTracker | None = None

    def connectionMade(self) -> None:
        """Set the options of the socket and the transport."""
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = SOCKET_BUFFER_BYTES

    def dataReceived(self, data: bytes) -> None:
        """Pass on the complete lines in `data`; the rest is copied, because it must outlive its buffer."""
        self.read_count += 1
        if self.discarding:
            self.discard(data)
            return
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
                end = data.find(LINE_END, start, start + MAX_ENDED_LINE_LENGTH)
                if end < 0:
                    break
                end += len(LINE_END)
                line = view[start:end]
                start = end
                self.lineReceived(line)
        except Exception:
            # An exception ends only the connection whose line raised it, not the balancer.
            log_exception("connection failed", kind=type(self).__name__)
            self.transport.abortConnection()
            return
        finally:
            self._busyReceiving = False
            if start < len(data):
                self._buffer = data[start:] + self._buffer
        if self._buffer:
            self._check_buffer_limit()

    def discard(self, data: bytes) -> None:
        """Handle data that is discarded; subclasses override this."""

    def _check_buffer_limit(self) -> None:
        """Call the handler for a buffer over its limit, or for a line that is too long."""
        if self.buffering or self.paused:
            if len(self._buffer) > self.MAX_BUFFERED:
                self.buffer_overflowed()
        elif len(self._buffer) >= MAX_ENDED_LINE_LENGTH and not self.transport.disconnecting:
            self.lineLengthExceeded(self._buffer)

    def has_buffered_data(self) -> bool:
        """Return whether received data, complete lines or part of one, has not been passed on."""
        return bool(self._buffer)

    def buffer_overflowed(self) -> None:
        """Stop reading until `resume_lines`, because more than `MAX_BUFFERED` bytes are buffered."""
        self.transport.pauseProducing()

    def has_unsent_data(self) -> bool:
        """Return whether data waits in the transport to be written."""
        # Twisted has no public attribute for this: `write` appends data to `_tempDataBuffer`, and the next
        # attempt to write moves it to `dataBuffer`. Only this method and the next one read these.
        return bool(self.transport.dataBuffer or self.transport._tempDataBuffer)

    def pause_reading(self) -> None:
        """Stop reading the socket; what the other end sends waits in the system."""
        self.transport.pauseProducing()

    def resume_reading(self) -> None:
        """Read the socket again."""
        self.transport.resumeProducing()

    def stalled_time(self, now: float) -> float:
        """Return how long (ms) the other end has taken nothing although data waits for it; 0 if none waits.

        The time counts from the first call that finds data waiting, so this is to be called regularly.
        """
        undelivered = self.undelivered_bytes()
        if not undelivered:
            self._delivery = None
            return 0.0
        if self._delivery is None:
            self._delivery = ProgressTracker(now)
        return self._delivery.idle_time(now, undelivered)

    def undelivered_bytes(self) -> int:
        """Return how much was written that the other end has not acknowledged; 0 once it is disconnected."""
        transport = self.transport
        if transport is None or not transport.connected:
            return 0
        buffered = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
        return int(buffered) + unacknowledged_bytes(transport.fileno())

    def write_now(self, data: bytes) -> bytes:
        """Write as much as the socket takes at once and return the rest.

        Nothing is written while the transport has unsent data. Leaving each small write to the reactor would
        cost one more iteration and two epoll calls, a third of the latency of a line.
        """
        transport = self.transport
        if not transport.connected or self.has_unsent_data():
            return data
        sent = transport.writeSomeData(data)
        # For a broken connection `sent` is an exception; the transport handles it when the rest is written.
        return data[sent:] if isinstance(sent, int) else data

    def write_all(self, data: bytes) -> None:
        """Write at once, or append to the data that already waits to be written."""
        if rest := self.write_now(data):
            self.transport.write(rest)

    def send_line(self, line: memoryview) -> None:
        """Write a line that is a slice of a buffer.

        Twisted's transports accept only `bytes` and keep them until they are written. The line is therefore
        copied here, unless its buffer holds nothing else, which is the usual case.
        """
        buffer: bytes = line.obj  # type: ignore[assignment]  # the data given to `dataReceived`
        self.write_all(buffer if len(line) == len(buffer) else bytes(line))

    def resume_lines(self) -> None:
        """Pass on the buffered lines and stop buffering."""
        self.buffering = False
        if not self.read_closed:
            self.transport.resumeProducing()
        self.dataReceived(b"")

    def readConnectionLost(self) -> None:
        """Record the other end's half-close, and close if this end has stopped sending too."""
        self.read_closed = True
        self.peer_half_closed()
        if self.write_closed:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Close if the other end has stopped sending too, now that this end has."""
        if self.read_closed:
            self.transport.loseConnection()

    def half_close(self) -> None:
        """Stop sending once all data is written; the connection closes when the other end stops too."""
        if not self.write_closed and self.transport is not None and self.transport.connected:
            self.write_closed = True
            self.transport.unregisterProducer()
            self.transport.loseWriteConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Cancel the timeout and call the handler of the closed or broken connection."""
        self.setTimeout(None)
        self.connection_lost()

    def start_lingering(self, rules: LingerRules) -> None:
        """Look at the connection regularly from now on, until it is closed or its peer makes no progress."""
        if self.linger is None:
            self.linger = Linger(rules)
        self.setTimeout(PROGRESS_CHECK_INTERVAL_MS / MS_PER_SECOND)

    def timeoutConnection(self) -> None:
        """Look at a lingering connection, and reset it if its peer has made no progress for too long."""
        if self.linger is None:
            return
        if not self.linger.has_expired():
            self.setTimeout(PROGRESS_CHECK_INTERVAL_MS / MS_PER_SECOND)
            return
        log_event(
            "linger timed out",
            logging.DEBUG,
            kind=type(self).__name__,
            undelivered=self.undelivered_bytes(),
            reads=self.read_count,
        )
        self.transport.abortConnection()

    def peer_half_closed(self) -> None:
        """Handle the other end's half-close; subclasses override this."""

    def connection_lost(self) -> None:
        """Handle the closed or broken connection; called once, for subclasses to override."""
