"""A balancer's subscription to a relay, which spares it the polling of discovery while the relay is fresh.

The balancer polls by itself when what it has grows stale, in time for a change to be in force as the protocol
demands, and until a relay is fresh again. Lists are passed to the discovery client, which validates them.
"""

import math
import os
import random
from collections import Counter
from typing import Any

from twisted.internet import defer
from twisted.python.failure import Failure

from lotusroute.fleet.config import FleetConfig
from lotusroute.fleet.peer_connection import CallError
from lotusroute.fleet.transport import PeerTransport
from lotusroute.leases.messages import LeaseTerms
from lotusroute.monotonic_clock import monotonic_ms
from lotusroute.net.discovery import MIN_REJECTION_BACKOFF, QUEUE_TIMEOUT
from lotusroute.net.discovery_source import DiscoveryClient
from lotusroute.net.structured_log import log_event
from lotusroute.relay import endpoint_items, messages
from lotusroute.relay.config import RelaysConfig
from lotusroute.relay.relay_selector import Action, Leave, RelaySelector
from lotusroute.relay.versioned_store import Delta, Update, UpdateOutcome, Version, VersionedStore

TICK_INTERVAL_S = 0.1
FIRST_UPDATE_TIMEOUT_S = 0.8  # after the start, before discovery is polled instead


class Subscription:
    """One balancer's subscription, an `UpdateSource` of its discovery client."""

    def __init__(self, reactor, config: RelaysConfig, name: str, counters: Counter) -> None:
        self.reactor = reactor
        self.counters = counters
        self.rng = random.Random(os.urandom(16))
        self.selector = RelaySelector(name, list(config.local), list(config.remote), self.rng)
        self.transport = PeerTransport(
            reactor,
            FleetConfig(config.fleet, "", {**config.local, **config.remote}, (), LeaseTerms(())),
            name,
            self.rng,
            counters,
            self.handle_call,
            self.on_connected,
            self._on_lost,
        )
        self.store = VersionedStore()
        self.assembler = messages.SnapshotAssembler()
        self.discovery: DiscoveryClient | None = None  # the current one; a reload replaces it
        self.started_at = self.clock()
        self.pending_wait: defer.Deferred | None = None
        self.polling = False  # this balancer polls discovery by itself for now

    clock = staticmethod(monotonic_ms)

    def start(self) -> None:
        """Start to subscribe; calls itself again on every tick."""
        self._perform(self.selector.tick(self.clock()))
        self.reactor.callLater(TICK_INTERVAL_S * self.rng.uniform(0.8, 1.2), self.start)

    # Connection to a relay

    def on_connected(self, relay: str) -> None:
        """Subscribe at a relay that has just been connected, if it is the one to be joined."""
        if relay != self.selector.joining:
            return
        acknowledgement = messages.encode_acknowledgement(self.store.version)
        call = self.transport.call(relay, messages.SUBSCRIBE_CALL, acknowledgement)
        call.addCallbacks(lambda _: self._on_joined(relay), lambda reason: self._on_rejected(relay, reason))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Leave):
                self.counters["relay_left"] += 1
                self.transport.disconnect(action.relay)
            elif action.relay in self.transport.outbound:
                self.on_connected(action.relay)
            else:
                self.transport.connect(action.relay)

    def _on_joined(self, relay: str) -> None:
        self.selector.on_joined(self.clock(), relay)
        if self.selector.current == relay:
            self.counters["relay_joined"] += 1
            log_event("relay joined", relay=relay, version=self.store.version.sequence_number)

    def _on_rejected(self, relay: str, reason: Failure) -> None:
        reason.trap(CallError)
        self._on_lost(relay)

    def _on_lost(self, relay: str) -> None:
        self._perform(self.selector.on_lost(self.clock(), relay))

    # Updates

    def handle_call(self, peer: str, kind: str, body: bytes) -> bytes:
        """Handle an update of a relay; returns the acknowledgement, raises CallError for other calls."""
        if kind != messages.UPDATE_CALL:
            raise CallError(f"no call '{kind[:32]}'")
        message = messages.decode_update(body)
        now = self.clock()
        if not self.selector.on_message(now, peer):
            raise CallError("not followed here")
        if not message.is_heartbeat and self._receive(message) == UpdateOutcome.CORRUPT:
            return messages.encode_acknowledgement(Version())  # asks for a snapshot
        if self.store.version == message.version:
            self.selector.on_confirmed(now, message.age_ms)
            if self.selector.is_fresh(now):
                self.polling = False
        return messages.encode_acknowledgement(self.store.version)

    def _receive(self, message: messages.UpdateMessage) -> UpdateOutcome | None:
        """Apply the update that is complete with this message; None where more parts are to come."""
        self.counters["updates_received"] += 1
        update = self.assembler.add(message)
        if update is None:
            return None
        previous_seq = endpoint_items.list_metadata(self.store).seq
        outcome = self.store.apply(update)
        self.counters[f"updates_{outcome}"] += 1
        if outcome == UpdateOutcome.APPLIED:
            self._forward(update, previous_seq)
        return outcome

    def _forward(self, update: Update, previous_seq: int | None) -> None:
        """Pass the changes to the discovery client, or the full list where it rejects them."""
        if self.discovery is None or not self._carries_list_of(self.discovery):
            self.counters["updates_of_other_discovery"] += 1
            return
        if isinstance(update, Delta):
            answer = endpoint_items.discovery_answer(self.store, update.changes)
            if self.discovery.apply_shared_update(answer, previous_seq):
                return
        if not self._apply_full_list(self.discovery):
            self.counters["updates_not_applied_locally"] += 1

    def _apply_full_list(self, discovery: DiscoveryClient) -> bool:
        return discovery.apply_shared_update(endpoint_items.discovery_answer(self.store, None), None)

    def _carries_list_of(self, discovery: DiscoveryClient) -> bool:
        """Whether the list in the store is from the discovery that this client polls."""
        address = endpoint_items.list_metadata(self.store).discovery_address
        return discovery.base.startswith(f"http://{address}/")

    # UpdateSource

    async def wait_until_poll_due(self, discovery: DiscoveryClient) -> None:
        """Return when this balancer has to poll discovery by itself, or the client is closed."""
        while not discovery.closed and not self.polling:
            now = self.clock()
            starting = now < self.started_at + 1000 * FIRST_UPDATE_TIMEOUT_S
            carried = self._carries_list_of(discovery)
            if not carried and not starting:
                # After a reload the relays' list says nothing of the new discovery's. Checked on every
                # iteration: a reload may come while the first updates are still waited for.
                self.counters["relay_fallback_requests"] += 1
                return
            if starting or self.selector.is_fresh(now):
                if carried and discovery.seq is None:
                    self._apply_full_list(discovery)
                await self._wait(TICK_INTERVAL_S)
                continue
            await self._wait_to_poll(discovery)
        if self.polling:
            self.counters["relay_fallback_requests"] += 1

    async def _wait_to_poll(self, discovery: DiscoveryClient) -> None:
        """Wait a random time before polling: all that lost their relays at once would poll together.

        The wait leaves enough of the time in which a change has to be in force for the poll itself.
        """
        longest = max(0.0, min(MIN_REJECTION_BACKOFF, discovery.remaining() - QUEUE_TIMEOUT))
        await self._wait(longest * self.rng.random())
        if not self.selector.is_fresh(self.clock()):
            self.polling = True
            self.counters["relay_stale"] += 1

    def _wait(self, seconds: float) -> defer.Deferred:
        """Fire after so many seconds, or when woken."""
        self.pending_wait = defer.Deferred()
        timer = self.reactor.callLater(seconds, self.wake)

        def cancel_timer(_: object) -> None:
            if timer.active():
                timer.cancel()

        return self.pending_wait.addBoth(cancel_timer)

    def age(self) -> float:
        """Upper bound of the list's age, in seconds; infinity where it is another discovery's list."""
        if self.discovery is None or not self._carries_list_of(self.discovery):
            return math.inf
        return (self.clock() - self.selector.confirmed_at) / 1000

    def on_response(self, message: dict[str, Any], since: int | None) -> None:
        """Do nothing: the balancer goes on polling until a relay is fresh."""

    def on_failure(self) -> None:
        """Do nothing: the balancer goes on polling until a relay is fresh."""

    def wake(self) -> None:
        """Re-evaluate a pending `wait_until_poll_due` at once."""
        pending_wait = self.pending_wait
        self.pending_wait = None
        if pending_wait is not None:
            pending_wait.callback(None)
