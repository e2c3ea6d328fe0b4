"""The interface between a discovery client and a source that shares endpoint updates among processes.

A `Discovery` client polls by itself unless an `UpdateSource` is attached to it. The source is asked before
each poll, is notified of the result, and may apply updates that other processes received.
"""

from typing import Protocol

from lotusroute.net.endpoint_list import EndpointListMessage


class DiscoveryClient(Protocol):
    """What an update source may use of the discovery client that it is attached to."""

    list_url: str  # URL of the endpoint list
    version: int | None  # of the cached list; None: the complete list is needed
    closed: bool

    def remaining(self) -> float:
        """Return the s left until the next complete response has to be in."""
        ...

    def apply_shared_update(self, message: EndpointListMessage, since: int | None, /) -> bool:
        """Apply a response that another process received, and return whether it was applied.

        `since` is the list version that the changes are relative to, None for a complete list.
        """
        ...


class UpdateSource(Protocol):
    """A source of endpoint updates that is shared by several processes."""

    discovery: DiscoveryClient | None  # the client that it is attached to; another after a reload

    async def wait_until_poll_due(self, discovery: DiscoveryClient, /) -> None:
        """Return when the client has to poll by itself, or is closed."""

    def age(self) -> float:
        """Return an upper bound of the shared list's age in s; infinity where nothing is known of it."""
        ...

    def on_response(self, message: EndpointListMessage, since: int | None, /) -> None:
        """Take a response to a poll for the changes since a version, None for the complete list."""

    def on_failure(self) -> None:
        """Note that a poll failed."""

    def wake(self) -> None:
        """Re-evaluate a pending `wait_until_poll_due` at once."""
