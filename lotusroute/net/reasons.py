"""Why connections end, clients are migrated and flows are answered without a server: the `why` of log lines.

The routing decisions give their own reasons for an answer, `lotusroute.routing.events.RejectReason`.
"""

from enum import StrEnum


class EndReason(StrEnum):
    """What ended an attempt, or the connection that came of it."""

    CONNECT_FAILED = "connect failed"
    NOT_SENT = "not sent"  # the line might not be sent any more when the connection was up
    ANSWERED = "server answered"  # with something else than a receipt
    SERVER_CLOSED = "server closed"
    CONNECTION_LOST = "connection lost"  # reset, or broken in another way
    LINE_TOO_LONG = "line too long"
    CLIENT_LEFT = "client left"
    TIMED_OUT = "timed out"
    SERVER_DRAINS = "server drains"
    UNRESPONSIVE = "server unresponsive"
    MIGRATED = "client migrated"
    CLOSE_GRACE_EXPIRED = "close grace expired"  # the client had left, the server did not close


class MigrationReason(StrEnum):
    """Why a client is asked to reconnect."""

    ROUTING = "routing decision"
    SERVER_DRAINS = "server drains"
    SHUTDOWN = "shutdown"
    IDLE_CLIENT = "client idle"


class AnswerReason(StrEnum):
    """Why a flow is answered without a decision of the Director."""

    SHUTDOWN = "shutdown"
    EXISTING_CONNECTION_LOST = "existing connection lost"
