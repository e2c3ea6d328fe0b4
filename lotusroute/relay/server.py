"""A relay process: it replicates the endpoint list from the origin to its subscribers.

The relay that holds the lease `origin` is the origin: it polls discovery, publishes the responses under the
fencing token of the lease, and sends them to the other relays. The other relays verify the digest of each
update before they send it to their subscribers. Times are in milliseconds.
"""

from collections import Counter

from twisted.internet import defer

from lotusroute.address import Address
from lotusroute.fleet.lease_service import LeaseService
from lotusroute.relay import messages
from lotusroute.relay.context import RelayContext
from lotusroute.relay.errors import NoSnapshotError, SubscriberLimitError
from lotusroute.relay.origin import ORIGIN_TASK, Origin
from lotusroute.relay.origin_follower import OriginFollower
from lotusroute.relay.replica import RelayReplica
from lotusroute.relay.status import STATUS_SECTION, RelayStatus
from lotusroute.relay.update_sender import UpdateSender


class RelayServer:
    """One relay: dispatches calls of peers and changes of the lease to its components."""

    def __init__(
        self,
        lease_service: LeaseService,
        discovery_address: Address,
        counters: "Counter[str]",
        seed: int = 0,
    ) -> None:
        """While this relay is the origin, it polls `discovery_address`; `seed` is for its random backoff."""
        self.context = RelayContext(lease_service, RelayReplica(counters), counters)
        self.sender = UpdateSender(self.context)
        self.follower = OriginFollower(self.context, self.sender.on_store_changed)
        self.origin = Origin(self.context, discovery_address, seed, self.sender.on_store_changed)
        lease_service.call_handlers[messages.SUBSCRIBE_CALL] = self._on_subscribe
        lease_service.call_handlers[messages.UPDATE_CALL] = self._on_update
        lease_service.status_providers[STATUS_SECTION] = self.status
        lease_service.on_lease_changed = self._on_lease_changed
        lease_service.on_peer_disconnected = self.sender.remove

    def start(self) -> "defer.Deferred[None]":
        """Start to serve; the Deferred fires when the relay listens, or fails if it cannot."""
        self.sender.start()
        return self.context.lease_service.start()

    def status(self) -> RelayStatus:
        """Return the status that `relay show` prints."""
        store = self.context.replica.store
        fanout = self.sender.fanout
        versions = [subscriber.version for subscriber in fanout.subscribers.values()]
        return RelayStatus(
            version=store.version,
            digest=f"{store.digest:016x}",
            items=len(store.items),
            age_ms=round(self.context.age_ms()),
            origin_fencing_token=self.origin.fencing_token,
            subscribers=len(versions),
            lagging=sum(version < store.version for version in versions),
            snapshot_queue=len(fanout.snapshot_queue),
            oldest_version=min(versions, default=store.version),
        )

    def _on_subscribe(self, peer: str, body: bytes) -> bytes:
        """Add a subscriber; the body of its call holds the version that it has."""
        if not self.context.replica.has_list(self.context.now()):
            raise NoSnapshotError
        if not self.sender.has_capacity_for(peer):
            self.context.counters["subscribers_dropped_full"] += 1
            raise SubscriberLimitError(self.sender.fanout.max_subscribers)
        self.sender.subscribe(peer, messages.decode_acknowledgement(body))
        return b""

    def _on_update(self, peer: str, body: bytes) -> bytes:
        return self.follower.on_update(peer, body, self.origin.fencing_token)

    def _on_lease_changed(self, task: str, fencing_token: int) -> None:
        """Become the origin, or stop being the origin if the fencing token is 0."""
        if task != ORIGIN_TASK:
            return
        if fencing_token:
            self.follower.highest_fencing_token = fencing_token
            self.sender.start_serving_peers()
            self.origin.start(fencing_token)
        else:
            self.sender.stop_serving_peers()
            self.origin.stop()
