"""The origin: the relay that holds the lease `origin`, polls discovery and publishes its responses."""

import math
from collections.abc import Callable

from twisted.internet import defer

from lotusroute.address import Address
from lotusroute.net.discovery.client import Discovery
from lotusroute.net.discovery.endpoint_list import EndpointListMessage
from lotusroute.net.discovery.update_source import DiscoveryClient
from lotusroute.net.structured_log import log_event
from lotusroute.relay import endpoint_items
from lotusroute.relay.context import RelayContext
from lotusroute.relay.errors import DeposedError

ORIGIN_TASK = "origin"  # the task whose lease the origin holds
# Longest time for which discovery may hold a poll of the origin; the age of the list grows in that time. It
# is short, so that an origin that cannot reach discovery is noticed soon by the age of its list.
POLL_HOLD_MS = 500
# Longest time that the publication of a response may take. A response is published only if the lease is valid
# for longer, so that it is not published after the lease has expired.
MAX_PUBLISH_DURATION_MS = 50.0


class Origin:
    """Polls discovery and publishes its responses while this relay is the origin.

    It is the `UpdateSource` of its discovery client, which exists while the relay holds the lease.
    """

    def __init__(
        self,
        context: RelayContext,
        discovery_address: Address,
        seed: int,
        on_store_changed: Callable[[], None],
    ) -> None:
        """`seed` initializes the random backoff of the discovery client."""
        self.context = context
        self.discovery_address = discovery_address
        self.seed = seed
        self.on_store_changed = on_store_changed
        self.fencing_token = 0  # fencing token of the lease; 0 while this relay is not the origin
        self.discovery: DiscoveryClient | None = None
        self._client: Discovery | None = None

    def start(self, fencing_token: int) -> None:
        """Start to poll discovery for changes since the list version that this relay has."""
        self.fencing_token = fencing_token
        client = Discovery(
            self.discovery_address,
            self._known_seq(),
            self.seed,
            self._ignore_endpoint_update,
            self.context.counters,
        )
        client.update_source = self
        client.max_hold_ms = POLL_HOLD_MS
        self.discovery = self._client = client
        defer.ensureDeferred(client.follow())

    def stop(self) -> None:
        """Stop polling discovery."""
        self.fencing_token = 0
        if self._client is not None:
            self._client.close()
        self.discovery = self._client = None

    def _known_seq(self) -> int | None:
        """Return the version of the list in the store; None if it is from another discovery service."""
        metadata = endpoint_items.list_metadata(self.context.replica.store)
        return metadata.seq if metadata.discovery_address == str(self.discovery_address) else None

    def _ignore_endpoint_update(self, update: object) -> None:
        """Do nothing: `on_response` publishes the responses of discovery."""

    # `UpdateSource` interface

    async def wait_until_poll_due(self, discovery: DiscoveryClient) -> None:
        """Return at once: the origin always polls."""

    def age(self) -> float:
        """Return infinity: the origin receives the list only from discovery."""
        return math.inf

    def on_response(self, message: EndpointListMessage, since: int | None) -> None:
        """Publish a response of discovery, if the lease is still valid for long enough."""
        if not self.context.lease_service.fencing_token(ORIGIN_TASK, MAX_PUBLISH_DURATION_MS):
            return
        received_at = self.context.now()
        store = self.context.replica.store
        update = endpoint_items.EndpointListUpdate.from_message(message)
        changes = endpoint_items.item_changes(store, update, str(self.discovery_address))
        try:
            published = store.publish(self.fencing_token, changes)
        except DeposedError as error:
            self.context.counters["updates_fenced"] += 1
            log_event("publish rejected", reason=str(error))
            return
        self.context.replica.confirm(received_at, age_ms=0.0)
        if published:
            self.context.counters["updates_published"] += 1
            self.on_store_changed()

    def on_failure(self) -> None:
        """Do nothing: subscribers notice the failure by the growing age of the list."""

    def wake(self) -> None:
        """Do nothing: `wait_until_poll_due` never waits."""
