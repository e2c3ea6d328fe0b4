"""What the stubs of servers and clients have in common: connections that exchange lines."""

from typing import cast

from twisted.internet.tcp import Connection
from twisted.protocols.basic import LineReceiver


class LineConnection(LineReceiver):
    """A TCP connection that exchanges lines and sends small writes at once."""

    delimiter = b"\r\n"

    @property
    def connection(self) -> Connection:
        """The transport, as what it is."""
        return cast(Connection, self.transport)

    def connectionMade(self) -> None:
        """Have the system send small writes at once."""
        self.connection.setTcpNoDelay(True)
