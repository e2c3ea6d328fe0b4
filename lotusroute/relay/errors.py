"""The errors of relays and their subscribers.

A call that fails with one of them is rejected: its message is sent to the caller and may be shown to an
operator. No program compares these texts.
"""

from typing import TYPE_CHECKING

from lotusroute.errors import LotusrouteError

if TYPE_CHECKING:
    from lotusroute.relay.versioned_store import Version

MAX_SHOWN_CALL_KIND = 32  # characters


class RelayError(LotusrouteError):
    """Base class of the errors of relays and their subscribers."""


class DeposedError(RelayError):
    """An origin published or sent an update under a fencing token that a later origin has superseded."""

    def __init__(self, fencing_token: int, highest_fencing_token: int) -> None:
        super().__init__(f"deposed: fencing token {fencing_token} is lower than {highest_fencing_token}")
        self.fencing_token = fencing_token
        self.highest_fencing_token = highest_fencing_token


class UnknownOriginError(RelayError):
    """A process that is not among the peers of the relay sent an update."""

    def __init__(self, process: str) -> None:
        super().__init__(f"'{process}' is not among the peers of this relay")
        self.process = process


class StaleUpdateError(RelayError):
    """An update is older than what the relay has."""

    def __init__(self, version: "Version", current_version: "Version") -> None:
        super().__init__(f"stale: version {version} is older than {current_version}")
        self.version = version
        self.current_version = current_version


class NoSnapshotError(RelayError):
    """A relay that has received nothing yet was asked for a subscription."""

    def __init__(self) -> None:
        super().__init__("no snapshot available yet")


class SubscriberLimitError(RelayError):
    """A relay has as many subscribers as it may have."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"full: the relay has {limit} subscribers, its maximum")
        self.limit = limit


class NotSubscribedError(RelayError):
    """A relay sent an update to a process that is not subscribed to it, or not any more."""

    def __init__(self, relay: str) -> None:
        super().__init__(f"not subscribed to relay '{relay}'")
        self.relay = relay


class UnknownCallError(RelayError):
    """A subscriber received a call of a kind that it does not handle."""

    def __init__(self, kind: str) -> None:
        super().__init__(f"no call '{kind[:MAX_SHOWN_CALL_KIND]}'")
        self.kind = kind
