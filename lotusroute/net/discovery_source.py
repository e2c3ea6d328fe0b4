"""The interface between a discovery client and a source that shares endpoint updates among processes.

A `Discovery` client polls by itself unless an `UpdateSource` is attached to it. The source is asked before
each poll, is notified of the result, and may apply updates that other processes received.
"""

from typing import Any, Protocol


class DiscoveryClient(Protocol):
    """What an update source may use of the discovery client that it is attached to."""

    base: str  # URL of the endpoint list
    seq: int | None  # version of the cached list; None: the full list is needed
    closed: bool

    def remaining(self) -> float:
        """Seconds until the next complete answer has to be in."""
        ...

    def apply_shared_update(self, message: dict[str, Any], since: int | None, /) -> bool:
        """Apply an answer of discovery that another process received; whether it was applied.

        `since` is the list version that the changes are relative to, None for a full list.
        """
        ...


class UpdateSource(Protocol):
    """A source of endpoint updates that is shared by several processes."""

    discovery: DiscoveryClient | None  # the client that it is attached to; another after a reload

    async def wait_until_poll_due(self, discovery: DiscoveryClient, /) -> None:
        """Return when the client has to poll by itself, or is closed."""

    def age(self) -> float:
        """Upper bound of the age of the shared list, in seconds; infinity where nothing is known of it."""
        ...

    def on_response(self, message: dict[str, Any], since: int | None, /) -> None:
        """Discovery answered a poll that asked for the changes since a version, None for the full list."""

    def on_failure(self) -> None:
        """A poll failed."""

    def wake(self) -> None:
        """Re-evaluate a pending `wait_until_poll_due` at once."""
