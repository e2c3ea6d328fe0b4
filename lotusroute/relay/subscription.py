"""A balancer's subscription to a relay: connects to the relay and handles its messages.

Times are in milliseconds, delays of the reactor's timers in seconds.
"""

import os
import random
from collections import Counter

from twisted.internet.base import DelayedCall, ReactorBase
from twisted.python.failure import Failure

from lotusroute.fleet.config import FleetConfig
from lotusroute.fleet.errors import CallError, UnknownCallError
from lotusroute.fleet.peer_connection import PeerHandlers
from lotusroute.fleet.process import FleetProcess
from lotusroute.fleet.transport import PeerTransport
from lotusroute.leases.messages import LeaseTerms
from lotusroute.monotonic_clock import monotonic_ms
from lotusroute.net.structured_log import log_event
from lotusroute.relay import messages
from lotusroute.relay.config import RelaysConfig
from lotusroute.relay.discovery_forwarder import DiscoveryForwarder
from lotusroute.relay.errors import NotSubscribedError
from lotusroute.relay.relay_selector import Action, Join, Leave, RelaySelector
from lotusroute.relay.replica import ReceivedUpdate, Replica
from lotusroute.relay.update_source import RelayUpdateSource
from lotusroute.relay.versioned_store import UpdateOutcome

TICK_INTERVAL_S = 0.1
TICK_JITTER_FRACTION = 0.2  # maximum random change of the interval, in either direction


class Subscription:
    """The subscription of one balancer, to one relay at a time."""

    def __init__(
        self, reactor: ReactorBase, config: RelaysConfig, name: str, counters: "Counter[str]"
    ) -> None:
        self.reactor = reactor
        self.clock = monotonic_ms
        self.counters = counters
        self.rng = random.Random(os.urandom(16))
        self.replica = Replica(counters)
        self.selector = RelaySelector(name, list(config.local), list(config.remote), self.rng)
        self.forwarder = DiscoveryForwarder(self.replica.store, counters)
        self.update_source = RelayUpdateSource(
            reactor, self.clock, self.rng, counters, self.selector, self.forwarder
        )
        fleet_config = FleetConfig(
            name=config.fleet,
            state_dir="",
            peers={**config.local, **config.remote},
            tasks=(),
            terms=LeaseTerms(()),
        )
        process = FleetProcess(
            reactor=reactor, config=fleet_config, name=name, counters=counters, rng=self.rng
        )
        handlers = PeerHandlers(
            handle_call=self.handle_call, on_connected=self.on_connected, on_disconnected=self._on_lost
        )
        self.transport = PeerTransport(process, handlers)
        self._timer: DelayedCall | None = None  # timer of the next tick

    def start(self) -> None:
        """Subscribe to a relay, and change to another whenever the subscription is lost."""
        self._tick()

    def stop(self) -> None:
        """End the subscription and close all connections."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.transport.close()

    def _tick(self) -> None:
        self._perform(self.selector.tick(self.clock()))
        jitter = self.rng.uniform(1 - TICK_JITTER_FRACTION, 1 + TICK_JITTER_FRACTION)
        self._timer = self.reactor.callLater(TICK_INTERVAL_S * jitter, self._tick)

    # Connections

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Leave(relay):
                    self.counters["relay_left"] += 1
                    self.transport.disconnect(relay)
                case Join(relay) if relay in self.transport.outbound:
                    self.on_connected(relay)
                case Join(relay):
                    self.transport.connect(relay)

    def on_connected(self, relay: str) -> None:
        """Subscribe to a connected relay, if it is the one that the selector is joining."""
        if relay != self.selector.joining:
            return
        acknowledgement = messages.encode_acknowledgement(self.replica.store.version)
        call = self.transport.call(relay, messages.SUBSCRIBE_CALL, acknowledgement)
        call.addCallbacks(lambda _: self._on_joined(relay), lambda failure: self._on_rejected(relay, failure))

    def _on_joined(self, relay: str) -> None:
        self.selector.on_joined(self.clock(), relay)
        if self.selector.current == relay:
            self.counters["relay_joined"] += 1
            log_event("relay joined", relay=relay, version=self.replica.store.version.sequence_number)

    def _on_rejected(self, relay: str, failure: Failure) -> None:
        failure.trap(CallError)
        self._on_lost(relay)

    def _on_lost(self, relay: str) -> None:
        self._perform(self.selector.on_lost(self.clock(), relay))

    # Messages

    def handle_call(self, peer: str, kind: str, body: bytes) -> bytes:
        """Apply an update of the relay and return the acknowledgement.

        Raises `UnknownCallError` for any other call, and `NotSubscribedError` for an update from a process
        other than the current relay.
        """
        if kind != messages.UPDATE_CALL:
            raise UnknownCallError(kind)
        message = messages.decode_update(body)
        received_at = self.clock()
        if not self.selector.on_message(received_at, peer):
            raise NotSubscribedError(peer)
        received = None if message.is_heartbeat else self._receive(message)
        if self.replica.store.version == message.version:
            self.selector.on_confirmed(received_at, message.age_ms)
            self.update_source.on_list_confirmed(received_at)
        return self.replica.acknowledge(received)

    def _receive(self, message: messages.UpdateMessage) -> ReceivedUpdate | None:
        """Apply the update that this message completes, if any, and pass it to the discovery client."""
        self.counters["updates_received"] += 1
        previous_seq = self.forwarder.list_seq()
        received = self.replica.receive(message)
        if received is not None and received.outcome == UpdateOutcome.APPLIED:
            self.forwarder.forward(self.update_source.discovery, received.update, previous_seq)
        return received
