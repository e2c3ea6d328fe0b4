"""Backpressure between the two connections of a flow: neither is read while the other has unsent data."""

from typing import TYPE_CHECKING

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

if TYPE_CHECKING:
    from lotusroute.net.transport.line_protocol import LineProtocol


@implementer(IPushProducer)
class Backpressure:
    """Pauses and resumes reading one connection; registered as a producer with the other one's transport."""

    def __init__(self, source: "LineProtocol") -> None:
        self._source = source

    def pauseProducing(self) -> None:
        """Stop reading: the other connection has as much unsent data as it may have."""
        self._source.pause_reading()

    def resumeProducing(self) -> None:
        """Read again: the other connection has sent its data."""
        self._source.resume_reading()

    def stopProducing(self) -> None:
        """Do nothing: what remains to be done when the other connection is lost, its protocol decides.

        Closing this one here would lose data on its way to this connection's peer.
        """
