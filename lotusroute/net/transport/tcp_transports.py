"""TCP transports whose read side outlives a write that failed because the other end has closed.

A peer that sends its last data and closes answers what it is sent afterwards with a reset. The next write
then fails although the peer's data may still lie unread in the socket. Twisted closes the connection at a
failed write, and loses that data.
"""

from twisted.internet import main, tcp


class _ReadableAfterBrokenPipe(tcp.Connection):
    """Drops what an established peer that has closed can no longer receive; its end is read as usual."""

    def writeSomeData(self, data: bytes | memoryview) -> int | BaseException:
        """Write as much as the socket takes; return the number of bytes, or an exception if it is broken."""
        try:
            sent: int = self.socket.send(memoryview(data)[: self.SEND_LIMIT])
        except BlockingIOError:
            return 0
        except BrokenPipeError:
            # This error, and not a reset, means that the peer's end arrived first and can still be read.
            return len(data) if self._has_unread_end() else main.CONNECTION_LOST
        except OSError:
            result: int | BaseException = super().writeSomeData(data)
            return result
        return sent

    def _has_unread_end(self) -> bool:
        """Return whether the peer of an established flow has ended its sending and this was not read yet."""
        return bool(self.protocol.established and not self.protocol.read_closed)


class DownstreamTransport(_ReadableAfterBrokenPipe, tcp.Server):
    """The transport of a client's connection."""


class UpstreamTransport(_ReadableAfterBrokenPipe, tcp.Client):
    """The transport of a connection to a server."""


class UpstreamConnector(tcp.Connector):
    """Connects to a server with an `UpstreamTransport`."""

    def _makeTransport(self) -> tcp.Client:
        return UpstreamTransport(self.host, self.port, self.bindAddress, self, self.reactor)
