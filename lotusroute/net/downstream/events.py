"""The events that a downstream connection queues; times are milliseconds."""

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from lotusroute.net.downstream.connection import DownstreamConnection
    from lotusroute.net.downstream.open_request import OpenRequest


class RequestReceived(NamedTuple):
    """A client has sent the first line of a flow."""

    connection: "DownstreamConnection"
    request: "OpenRequest"
    received_at: float  # the earliest time of the event loop's clock at which the line may have arrived

    @property
    def flow_number(self) -> int:
        """The flow's number, or 0 before it is admitted."""
        return self.connection.flow_number


class DownstreamClosed(NamedTuple):
    """A client has closed its connection, or the sending half of it."""

    flow_number: int
