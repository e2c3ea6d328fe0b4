"""Errors of relays and their subscribers.

A call that raises one of them is rejected: the message of the error is sent to the caller and may be shown to
an operator. No program matches these texts.
"""

from typing import TYPE_CHECKING

from lotusroute.errors import LotusrouteError

if TYPE_CHECKING:
    from lotusroute.relay.versioned_store import Version


class RelayError(LotusrouteError):
    """Base class of the errors of relays and subscribers."""


class DeposedError(RelayError):
    """An origin published or sent an update under a fencing token that a later origin has superseded."""

    def __init__(self, fencing_token: int, highest_fencing_token: int) -> None:
        super().__init__(
            f"deposed: fencing token {fencing_token} is lower than {highest_fencing_token}, "
            "that of a later origin"
        )
        self.fencing_token = fencing_token
        self.highest_fencing_token = highest_fencing_token


class UnknownOriginError(RelayError):
    """A relay received an update from a process that is not one of its peers."""

    def __init__(self, process: str) -> None:
        super().__init__(
            f"updates are accepted only from peers of this relay; '{process}' is not one of them"
        )
        self.process = process


class StaleUpdateError(RelayError):
    """A relay received an update to an older version than its own."""

    def __init__(self, version: "Version", current_version: "Version") -> None:
        super().__init__(
            f"stale: version {version} of the update is older than version {current_version} of this relay"
        )
        self.version = version
        self.current_version = current_version


class NoSnapshotError(RelayError):
    """A process tried to subscribe to a relay that has not received an endpoint list yet."""

    def __init__(self) -> None:
        super().__init__("this relay has not received an endpoint list yet")


class SubscriberLimitError(RelayError):
    """A process tried to subscribe to a relay that has reached its maximum number of subscribers."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"full: the relay has {limit} subscribers, its maximum")
        self.limit = limit


class NotSubscribedError(RelayError):
    """A relay sent an update to a process that is not, or no longer, subscribed to it."""

    def __init__(self, relay: str) -> None:
        super().__init__(f"not subscribed to relay '{relay}'")
        self.relay = relay
