"""The interface between a discovery client and a source that shares endpoint updates among processes.

A `Discovery` client polls by itself unless an `UpdateSource` is attached to it. The client waits for the
source before each poll and notifies it of the result. The source may apply updates that other processes
received.
"""

from typing import Protocol

from lotusroute.net.discovery.endpoint_list import EndpointListMessage


class DiscoveryClient(Protocol):
    """What an update source may use of the discovery client that it is attached to."""

    list_url: str  # URL of the endpoint list
    version: int | None  # version of the client's list; None if the client needs the complete list
    closed: bool

    def remaining(self) -> float:
        """Return the seconds left until the next complete response is due."""
        ...

    def apply_shared_update(self, message: EndpointListMessage, since: int | None, /) -> bool:
        """Apply a response that another process received; return whether it was applied.

        `since` is the list version that the changes are relative to, None for a complete list.
        """
        ...


class UpdateSource(Protocol):
    """A source of endpoint updates that is shared by several processes."""

    # The client that the source is attached to; a reload that names another address replaces it.
    discovery: DiscoveryClient | None

    async def wait_until_poll_due(self, discovery: DiscoveryClient, /) -> None:
        """Wait until the client has to poll by itself or is closed."""

    def age(self) -> float:
        """Return an upper bound of the shared list's age in seconds; infinity if its age is unknown."""
        ...

    def on_response(self, message: EndpointListMessage, since: int | None, /) -> None:
        """Process a response to a poll of the client.

        `since` is the version that the poll named, None if it requested the complete list.
        """

    def on_failure(self) -> None:
        """Record that a poll of the client failed."""

    def wake(self) -> None:
        """Re-evaluate a pending `wait_until_poll_due` at once."""
