"""Events of connections to servers, and the stages of an attempt. Times are milliseconds."""

from enum import IntEnum
from typing import NamedTuple, Protocol

from lotusroute.net.reasons import EndReason
from lotusroute.routing.events import ConnectionResult


class AttemptStage(IntEnum):
    """How far an attempt has come; the log contains the names in lower case."""

    CONNECTING = 0
    WRITING = 1  # the first line is partly written
    WRITTEN = 2  # the first line is written: the server may have run the flow
    ESTABLISHED = 3  # the server's receipt was read
    OVER = 4

    @property
    def log_name(self) -> str:
        """The stage as it is logged; operators search the log for these values."""
        return self.name.lower()


class Attempt(Protocol):
    """What the handler of an event uses of the attempt that queued it."""

    server: str
    final_stage: AttemptStage  # the last stage before `OVER`

    def abort(self) -> ConnectionResult:
        """Close the connection at once and return the result; from now on nothing is reported."""
        ...


class ReceiptReceived(NamedTuple):
    """A server has accepted a flow and sent its receipt."""

    flow_number: int
    attempt: Attempt
    receipt: memoryview  # the line to forward to the client


class AttemptEnded(NamedTuple):
    """An attempt, or the connection that it established, has ended."""

    flow_number: int
    attempt: Attempt
    result: ConnectionResult
    reason: EndReason


class LoadReported(NamedTuple):
    """A server has reported the load of a connection."""

    flow_number: int
    load: float  # the work per second that the connection causes


class ReplyTimed(NamedTuple):
    """A server has replied to a client's line."""

    server: str
    delay: float  # the time from forwarding the line to reading the reply
