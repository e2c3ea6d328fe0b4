"""Why connections end, clients are migrated and flows are answered: the values of `reason` in the log.

Answers that follow from a routing decision have a `lotusroute.routing.events.RejectReason` instead.
"""

from enum import StrEnum


class EndReason(StrEnum):
    """What ended an attempt, or the connection that it established."""

    CONNECT_FAILED = "connect failed"
    # When the attempt connected, the client's line was no longer allowed to be sent.
    NOT_SENT = "not sent"
    # The server answered the first line with something other than a receipt.
    ANSWERED = "server answered"
    SERVER_CLOSED = "server closed"
    CONNECTION_LOST = "connection lost"  # the connection was reset, or broken in another way
    LINE_TOO_LONG = "line too long"
    CLIENT_LEFT = "client left"
    TIMED_OUT = "timed out"
    SERVER_DRAINS = "server drains"
    UNRESPONSIVE = "server unresponsive"
    MIGRATED = "client migrated"
    CLIENT_STALLED = "client stalled"  # the client has taken nothing of what it was sent
    # The client has left, and the server has not closed the connection in time.
    CLOSE_GRACE_EXPIRED = "close grace expired"


class MigrationReason(StrEnum):
    """Why a client is asked to reconnect."""

    ROUTING = "routing decision"
    SERVER_DRAINS = "server drains"
    SHUTDOWN = "shutdown"
    IDLE_CLIENT = "client idle"


class AnswerReason(StrEnum):
    """Why a flow is answered without a routing decision."""

    SHUTDOWN = "shutdown"
    EXISTING_CONNECTION_LOST = "existing connection lost"
