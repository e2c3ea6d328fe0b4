"""The line protocol over TCP, shared by the stubs of servers and discovery and by the clients."""

from typing import cast

from twisted.internet.tcp import Connection
from twisted.protocols.basic import LineReceiver


class LineConnection(LineReceiver):
    """A TCP connection that exchanges lines, with Nagle's algorithm turned off."""

    delimiter = b"\r\n"

    @property
    def connection(self) -> Connection:
        """The transport, typed as a TCP connection."""
        return cast(Connection, self.transport)

    def connectionMade(self) -> None:
        """Turn off Nagle's algorithm, so that small writes are sent at once."""
        self.connection.setTcpNoDelay(True)
