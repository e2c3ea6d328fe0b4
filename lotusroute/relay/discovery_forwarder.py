"""Passes the replicated endpoint list to the discovery client of a balancer, which validates it."""

from collections import Counter

from lotusroute.net.discovery.update_source import DiscoveryClient
from lotusroute.relay import endpoint_items
from lotusroute.relay.versioned_store import Delta, Update, VersionedStore


class DiscoveryForwarder:
    """Passes the endpoint list in a balancer's store to its discovery client."""

    def __init__(self, store: VersionedStore, counters: "Counter[str]") -> None:
        self.store = store
        self.counters = counters

    def has_list_of(self, client: DiscoveryClient) -> bool:
        """Return whether the list in the store is from the discovery service that the client polls."""
        address = endpoint_items.list_metadata(self.store).discovery_address
        return client.list_url.startswith(f"http://{address}/")

    def list_seq(self) -> int | None:
        """Return the version that discovery gave the list in the store, if any."""
        return endpoint_items.list_metadata(self.store).seq

    def forward(self, client: DiscoveryClient | None, update: Update, previous_seq: int | None) -> None:
        """Pass an applied update to the client, unless the client polls another discovery service.

        A delta is passed as changes; a snapshot, or a delta that the client rejects, as the complete list.
        `previous_seq` is discovery's version of the list before the update.
        """
        if client is None or not self.has_list_of(client):
            self.counters["updates_of_other_discovery"] += 1
            return
        if isinstance(update, Delta):
            changes = endpoint_items.list_changes(self.store, update.changes)
            if client.apply_shared_update(changes.to_message(), previous_seq):
                return
        if not self.forward_complete_list(client):
            self.counters["updates_not_applied_locally"] += 1

    def forward_complete_list(self, client: DiscoveryClient) -> bool:
        """Pass the complete list to the client; return whether the client applied it."""
        return client.apply_shared_update(endpoint_items.complete_list(self.store).to_message(), None)
