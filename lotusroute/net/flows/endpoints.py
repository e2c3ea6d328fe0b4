"""The part of the endpoint list that connections need: the addresses and drain deadlines of servers.

This module owns both; the routing decisions keep their own copy of the list. Times are milliseconds of Unix
time.
"""

from collections.abc import Callable

from lotusroute.address import Address
from lotusroute.net.discovery.endpoint_list import EndpointUpdate
from lotusroute.routing.events import EndpointState, ListScope

# The clients of a draining server migrate over this time, because the server stops within seconds.
DRAIN_MIGRATION_SPREAD_MS = 1_000.0


class EndpointRegistry:
    """Addresses of the listed servers, and the deadlines for migrating the clients of draining ones."""

    def __init__(self, on_drain_started: Callable[[], None]) -> None:
        self._on_drain_started = on_drain_started
        self.addresses: dict[str, Address] = {}
        self.drain_deadlines: dict[str, float] = {}

    def update(self, update: EndpointUpdate, now: float) -> None:
        """Apply a list or changes to it."""
        if update.scope != ListScope.CHANGES:
            self.addresses.clear()
        for server in update.servers:
            if server.state == EndpointState.REMOVED:
                self.addresses.pop(server.id, None)
            if server.state != EndpointState.DRAINING:
                self.drain_deadlines.pop(server.id, None)
            elif server.id not in self.drain_deadlines:
                self.drain_deadlines[server.id] = now + DRAIN_MIGRATION_SPREAD_MS
                self._on_drain_started()
        self.addresses.update(update.addresses)
        for server_id in self.drain_deadlines.keys() - self.addresses.keys():
            del self.drain_deadlines[server_id]

    def has_address(self, server_id: str) -> bool:
        """Return whether the server is in the endpoint list, draining or not."""
        return server_id in self.addresses

    def is_draining(self, server_id: str) -> bool:
        """Return whether the server is in the endpoint list and draining."""
        return server_id in self.drain_deadlines

    def accepts_new_flows(self, server_id: str) -> bool:
        """Return whether the server is in the endpoint list and not draining."""
        return self.has_address(server_id) and not self.is_draining(server_id)
