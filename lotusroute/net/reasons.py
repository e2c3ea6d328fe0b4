"""Why connections end, clients are migrated and flows are answered: the values of `reason` in the log.

Answers that follow from a routing decision have a `lotusroute.routing.events.RejectReason` instead.
"""

from enum import StrEnum


class EndReason(StrEnum):
    """What ended an attempt, or the connection that it established."""

    CONNECT_FAILED = "connect failed"
    NOT_SENT = "not sent"  # once connected, the client's line was no longer allowed to be sent
    ANSWERED = "server answered"  # with a line other than a receipt
    SERVER_CLOSED = "server closed"
    CONNECTION_LOST = "connection lost"  # reset, or broken in another way
    LINE_TOO_LONG = "line too long"
    CLIENT_LEFT = "client left"
    TIMED_OUT = "timed out"
    SERVER_DRAINS = "server drains"
    UNRESPONSIVE = "server unresponsive"
    MIGRATED = "client migrated"
    CLOSE_GRACE_EXPIRED = "close grace expired"  # the server does not close though the client has left


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
