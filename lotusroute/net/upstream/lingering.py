"""Connections to servers that have outlived their flow.

The server still takes what a client had sent that is gone, or it has ended and its client is still to receive
its last lines. Each holds a descriptor that no downstream connection accounts for, so they are counted here.
Times are milliseconds.
"""

from collections.abc import Callable
from typing import Protocol

# Time for which a lingering connection keeps its descriptor although a new flow needs it.
PROTECTED_TIME_MS = 1_000.0


class LingeringConnection(Protocol):
    """What the registry uses of a connection to a server."""

    def undelivered_bytes(self) -> int:
        """Return how much was written that the server has not acknowledged."""

    def reset(self) -> None:
        """Close the connection at once."""


class LingeringUpstreams:
    """The lingering connections of one balancer, the oldest first."""

    def __init__(self) -> None:
        self._since: dict[LingeringConnection, float] = {}

    def __len__(self) -> int:
        return len(self._since)

    def add(self, connection: LingeringConnection, now: float) -> None:
        """Add a connection, unless it is lingering already."""
        self._since.setdefault(connection, now)

    def discard(self, connection: LingeringConnection) -> None:
        """Forget a connection that is closed."""
        self._since.pop(connection, None)

    def has_undelivered_data(self) -> bool:
        """Return whether a server has still to take data."""
        return any(connection.undelivered_bytes() for connection in self._since)

    def evict(self, now: float, exceeds_limit: Callable[[], bool]) -> None:
        """Reset the oldest connections until the limit is met or the others are protected.

        Those whose server has taken everything are reset first, since nothing is lost with them.
        """
        unprotected = [
            connection for connection, since in self._since.items() if now - since >= PROTECTED_TIME_MS
        ]
        unprotected.sort(key=lambda connection: connection.undelivered_bytes() > 0)
        for connection in unprotected:
            if not exceeds_limit():
                return
            self.discard(connection)
            connection.reset()
