"""A fake TCP transport of Twisted."""

from twisted.internet.testing import StringTransport


class FakeTransport(StringTransport):
    """A transport whose socket takes `accepted` bytes in each write, or all bytes if that is None."""

    dataBuffer = b""
    _tempDataBuffer = ()

    def __init__(self, accepted: int | None = None) -> None:
        super().__init__()
        self.accepted = accepted

    def writeSomeData(self, data: bytes) -> int:
        """Write as much as the socket takes and return the number of bytes."""
        taken = data[: self.accepted]
        self.write(taken)
        return len(taken)

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing: there is no socket."""
