"""A relay process: it replicates the endpoint list from the origin to its subscribers.

The relay that holds the lease `origin` is the origin: it polls discovery, publishes the answers under the
lease's fencing token, and sends them to the other relays. A relay does not pass on what it cannot verify by
its digest. Times are in milliseconds unless named otherwise.
"""

import math
from collections import Counter
from enum import Enum
from typing import Any

import msgspec
from twisted.internet import defer
from twisted.internet.base import DelayedCall

from lotusroute.address import Address
from lotusroute.fleet.lease_service import LeaseService
from lotusroute.fleet.peer_connection import CallError
from lotusroute.net.discovery import Discovery
from lotusroute.net.discovery_source import DiscoveryClient
from lotusroute.net.structured_log import log_event
from lotusroute.relay import endpoint_items, messages
from lotusroute.relay.fanout import Action, Drop, FanOut, Heartbeat, Message
from lotusroute.relay.versioned_store import (
    Delta,
    PublishRejectedError,
    Snapshot,
    UpdateOutcome,
    Version,
    VersionedStore,
)

TASK = "origin"
ORIGIN_POLL_HOLD_MS = 500  # short, so that an origin without discovery is noticed soon
MAX_PUBLISH_DURATION_MS = 50.0  # so much of the lease has to be left
MIN_TICK_DELAY_MS = 5.0
UNKNOWN_AGE_MS = 1e9  # nothing has been received from discovery or an origin

SENT_COUNTERS: dict[type, str] = {
    Heartbeat: "heartbeats_sent",
    Delta: "deltas_sent",
    Snapshot: "snapshots_sent",
}


class Route(Enum):
    """The connection by which a subscriber is reached."""

    INBOUND = "inbound"  # the subscriber opened it
    OUTBOUND = "outbound"  # we did: the subscriber is a relay, and we are the origin


class RelayServer:
    """One relay; as the origin it is the `UpdateSource` of its discovery client."""

    def __init__(
        self,
        lease_service: LeaseService,
        discovery_address: Address,
        counters: Counter,
        seed: int = 0,
    ) -> None:
        """`discovery_address`: what to poll as the origin."""
        self.lease_service = lease_service
        self.reactor = lease_service.reactor
        self.discovery_address = discovery_address
        self.counters = counters
        self.seed = seed
        self.store = VersionedStore()
        config = lease_service.config
        self.fanout = FanOut(self.store, config.max_subscribers + len(config.peers))
        self.assembler = messages.SnapshotAssembler()
        self.fencing_token = 0  # of the lease while this relay is the origin, else 0
        self.highest_fencing_token = 0  # of all origins that were received from
        self.confirmed_at = -UNKNOWN_AGE_MS  # when the store was last known to be discovery's list
        self.routes: dict[str, Route] = {}  # of the subscribers, by name
        self.discovery: Discovery | None = None
        self.timer: DelayedCall | None = None  # the next tick
        lease_service.call_handlers[messages.SUBSCRIBE_CALL] = self._on_subscribe
        lease_service.call_handlers[messages.UPDATE_CALL] = self._on_update
        lease_service.status_providers["news"] = self.show
        lease_service.on_lease_changed = self._on_lease_changed
        lease_service.on_peer_disconnected = self._on_peer_disconnected

    def start(self) -> defer.Deferred:
        """Start to serve; fires when the relay listens, fails where it cannot."""
        self._tick()
        return self.lease_service.start()

    def age_ms(self) -> float:
        """Return how long ago the store was last known to be discovery's list."""
        return min(UNKNOWN_AGE_MS, self.lease_service.clock() - self.confirmed_at)

    # Sending

    def perform(self, actions: list[Action]) -> None:
        """Carry out what the fan-out decided."""
        for action in actions:
            if isinstance(action, Drop):
                self.counters[f"subscribers_dropped_{action.reason}"] += 1
                continue
            self.counters["updates_sent"] += 1
            self.counters[SENT_COUNTERS[type(action.message)]] += 1
            bodies = self._encode(action.message)
            defer.ensureDeferred(self._send(action.subscriber, bodies))

    def _encode(self, message: Message) -> list[bytes]:
        bodies = messages.encode_update(message, self.age_ms())
        if bodies:
            return bodies
        return messages.encode_update(self.store.snapshot(), self.age_ms())

    async def _send(self, subscriber: str, bodies: list[bytes]) -> None:
        transport = self.lease_service.transport
        outbound = self.routes.get(subscriber) is Route.OUTBOUND
        call = transport.call if outbound else transport.call_inbound
        try:
            for body in bodies:
                self.counters["update_bytes_sent"] += len(body)
                acknowledgement = await call(subscriber, messages.UPDATE_CALL, body)
            version = messages.decode_acknowledgement(acknowledgement)
        except (CallError, msgspec.MsgspecError):
            self.counters["updates_unacknowledged"] += 1
            self.fanout.remove(subscriber)
            return
        now = self.lease_service.clock()
        self.perform(self.fanout.on_acknowledgement(now, subscriber, version, self.age_ms()))

    def _tick(self) -> None:
        now = self.lease_service.clock()
        self.perform(self.fanout.tick(now, self.age_ms()))
        if self.fencing_token:
            connected = self.lease_service.transport.outbound.keys()
            for peer in connected - self.fanout.subscribers.keys():
                # Its version is not known yet: its first acknowledgement tells.
                self.routes[peer] = Route.OUTBOUND
                self.perform(self.fanout.join(now, peer, self.store.version))
        self._schedule_tick(now)

    def _schedule_tick(self, now: float) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        delay = max(MIN_TICK_DELAY_MS, self.fanout.next_tick_in(now))
        self.timer = self.reactor.callLater(delay / 1000, self._tick)

    def _on_store_changed(self, now: float) -> None:
        self.fanout.on_store_changed(now)
        self._schedule_tick(now)

    # Subscribers

    def _on_subscribe(self, peer: str, body: bytes) -> bytes:
        """Accept a subscriber, which says which version it has."""
        if self.age_ms() > UNKNOWN_AGE_MS / 2:
            raise CallError("nothing to tell yet")
        if peer not in self.routes and len(self.fanout.subscribers) >= self.fanout.max_subscribers:
            self.counters["subscribers_dropped_full"] += 1
            raise CallError("full")
        self.routes[peer] = Route.INBOUND
        version = messages.decode_acknowledgement(body)
        # After the answer, so that the subscriber knows that it was accepted when the first update arrives.
        self.reactor.callLater(0, self._join, peer, version)
        return b""

    def _join(self, peer: str, version: Version) -> None:
        self.perform(self.fanout.join(self.lease_service.clock(), peer, version))

    def _on_peer_disconnected(self, peer: str) -> None:
        if self.routes.pop(peer, None) is not None:
            self.fanout.remove(peer)

    # Updates from the origin

    def _on_update(self, peer: str, body: bytes) -> bytes:
        """Apply an update; returns the acknowledgement, raises CallError for that of a deposed origin."""
        message = messages.decode_update(body)
        fencing_token = message.version[0]
        self._check_origin(peer, fencing_token)
        if fencing_token > self.highest_fencing_token:
            log_event("origin followed", origin=peer, fencing_token=fencing_token)
        self.highest_fencing_token = fencing_token
        now = self.lease_service.clock()
        if not message.is_heartbeat and self._receive(message, now) == UpdateOutcome.CORRUPT:
            return messages.encode_acknowledgement(Version())  # asks for a snapshot
        if self.store.version == message.version:
            self.confirmed_at = max(self.confirmed_at, now - message.age_ms)
        return messages.encode_acknowledgement(self.store.version)

    def _check_origin(self, peer: str, fencing_token: int) -> None:
        known = peer in self.lease_service.config.peers
        deposed = fencing_token < self.highest_fencing_token or self.fencing_token >= fencing_token
        if not known or deposed:
            self.counters["updates_fenced"] += 1
            raise CallError("a later origin has spoken")

    def _receive(self, message: messages.UpdateMessage, now: float) -> UpdateOutcome | None:
        """Apply the update that is complete with this message; None where more parts are to come."""
        update = self.assembler.add(message)
        if update is None:
            return None
        outcome = self.store.apply(update)
        self.counters[f"updates_{outcome}"] += 1
        if outcome == UpdateOutcome.APPLIED:
            self._on_store_changed(now)
        elif outcome == UpdateOutcome.STALE:
            raise CallError("a later origin has spoken")
        return outcome

    # The origin

    def _on_lease_changed(self, task: str, fencing_token: int) -> None:
        """Become the origin, or with token 0 cease to be it."""
        if task != TASK:
            return
        self.fencing_token = fencing_token
        if fencing_token:
            self._become_origin()
        else:
            self._resign()

    def _become_origin(self) -> None:
        self.highest_fencing_token = self.fencing_token
        for peer in self.lease_service.other_peers():
            self.lease_service.transport.connect(peer)
        metadata = endpoint_items.list_metadata(self.store)
        same_discovery = metadata.discovery_address == self._discovery_host_port()
        seq = metadata.seq if same_discovery else None
        self.discovery = Discovery(
            self.discovery_address, seq, self.seed, self._ignore_endpoint_update, self.counters
        )
        self.discovery.watch = self
        self.discovery.max_hold_ms = ORIGIN_POLL_HOLD_MS
        defer.ensureDeferred(self.discovery.follow())

    def _resign(self) -> None:
        for peer in [peer for peer, route in self.routes.items() if route is Route.OUTBOUND]:
            del self.routes[peer]
            self.fanout.remove(peer)
        if self.discovery is not None:
            self.discovery.close()
            self.discovery = None

    def _discovery_host_port(self) -> str:
        return f"{self.discovery_address[0]}:{self.discovery_address[1]}"

    def _ignore_endpoint_update(self, update: object) -> None:
        """Do nothing: `on_response` publishes the answer as it came."""

    # UpdateSource

    async def wait_until_poll_due(self, discovery: DiscoveryClient) -> None:
        """Return at once: the origin always polls."""

    def age(self) -> float:
        """Return infinity: the origin has the list from nobody but discovery."""
        return math.inf

    def on_response(self, message: dict[str, Any], since: int | None) -> None:
        """Publish an answer of discovery, if the lease lasts long enough."""
        if not self.lease_service.fencing_token(TASK, MAX_PUBLISH_DURATION_MS):
            return
        now = self.lease_service.clock()
        changes = endpoint_items.item_changes(self.store, message, self._discovery_host_port())
        try:
            published = self.store.publish(self.fencing_token, changes)
        except PublishRejectedError as error:
            self.counters["updates_fenced"] += 1
            log_event("publish rejected", reason=str(error))
            return
        if published:
            self.counters["updates_published"] += 1
            self._on_store_changed(now)
        self.confirmed_at = now

    def on_failure(self) -> None:
        """Do nothing: the age that subscribers are sent grows."""

    def wake(self) -> None:
        """Do nothing: `wait_until_poll_due` never waits."""

    # Status

    def show(self) -> dict[str, Any]:
        """Return the status for `relay show`."""
        versions = [subscriber.version for subscriber in self.fanout.subscribers.values()]
        lagging = sum(version < self.store.version for version in versions)
        return {
            "version": list(self.store.version),
            "digest": f"{self.store.digest:016x}",
            "items": len(self.store.items),
            "age_ms": round(self.age_ms()),
            "origin": self.fencing_token,
            "subscribers": len(versions),
            "lack": lagging,
            "in_line": len(self.fanout.snapshot_queue),
            "oldest": list(min(versions, default=self.store.version)),
        }
