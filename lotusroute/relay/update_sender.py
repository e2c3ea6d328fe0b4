"""Sends the endpoint list to the subscribers of a relay, as its `FanOut` decides.

Subscribers are the processes that have connected to the relay and subscribed. While the relay is the origin,
the other relays are subscribers too. Times are in milliseconds.
"""

from enum import Enum

import msgspec
from twisted.internet import defer
from twisted.internet.base import DelayedCall

from lotusroute.fleet.errors import CallError
from lotusroute.relay import messages
from lotusroute.relay.context import RelayContext
from lotusroute.relay.fanout import Action, Drop, FanOut, Heartbeat, Message, Send
from lotusroute.relay.versioned_store import Delta, Snapshot, Version

MIN_TICK_DELAY_MS = 5.0  # shortest delay of a scheduled tick, also of one that is overdue

SENT_COUNTERS: dict[type[Message], str] = {
    Heartbeat: "heartbeats_sent",
    Delta: "deltas_sent",
    Snapshot: "snapshots_sent",
}


class ConnectionDirection(Enum):
    """The direction of the connection on which a subscriber is called."""

    INBOUND = "inbound"  # a connection that the subscriber opened
    OUTBOUND = "outbound"  # a connection that this relay, as the origin, opened to another relay


class UpdateSender:
    """Sends messages to the subscribers of one relay and handles their acknowledgements."""

    def __init__(self, context: RelayContext) -> None:
        self.context = context
        config = context.lease_service.config
        self.fanout = FanOut(context.replica.store, config.max_subscribers + len(config.peers))
        self.serves_peers = False  # whether this relay is the origin, with the other relays as subscribers
        self.directions: dict[str, ConnectionDirection] = {}  # direction of the connection by subscriber name
        self._timer: DelayedCall | None = None  # timer of the next tick

    def start(self) -> None:
        """Start to send messages when they are due."""
        self._tick()

    def subscribe(self, peer: str, version: Version) -> None:
        """Add a process that has connected to this relay as a subscriber that has `version`."""
        self.directions[peer] = ConnectionDirection.INBOUND
        # The subscribe call is answered before the first update is sent: a subscriber rejects updates until
        # it knows that it has been accepted.
        self.context.lease_service.reactor.callLater(0, self._join, peer, version)

    def has_capacity_for(self, peer: str) -> bool:
        """Return whether a process may subscribe.

        It may if it has already subscribed on its current connection, or if the limit has not been reached.
        """
        return peer in self.directions or len(self.fanout.subscribers) < self.fanout.max_subscribers

    def remove(self, peer: str) -> None:
        """Remove a subscriber; do nothing if the process is not subscribed."""
        if self.directions.pop(peer, None) is not None:
            self.fanout.remove(peer)

    def start_serving_peers(self) -> None:
        """Connect to the other relays, and make each a subscriber once it is connected."""
        self.serves_peers = True
        for peer in self.context.lease_service.other_peers():
            self.context.lease_service.transport.connect(peer)

    def stop_serving_peers(self) -> None:
        """Remove the other relays to which this relay connected as the origin."""
        self.serves_peers = False
        for peer in [
            peer for peer, direction in self.directions.items() if direction is ConnectionDirection.OUTBOUND
        ]:
            self.remove(peer)

    def on_store_changed(self) -> None:
        """Schedule a tick for when the change of the store is due to be sent."""
        now = self.context.now()
        self.fanout.on_store_changed(now)
        self._schedule_tick(now)

    def perform(self, actions: list[Action]) -> None:
        """Carry out actions of the fan-out."""
        for action in actions:
            match action:
                case Drop(reason=reason):
                    self.context.counters[f"subscribers_dropped_{reason}"] += 1
                case Send(subscriber, message):
                    self.context.counters["updates_sent"] += 1
                    self.context.counters[SENT_COUNTERS[type(message)]] += 1
                    defer.ensureDeferred(self._send(subscriber, self._encode(message)))

    def _join(self, peer: str, version: Version) -> None:
        self.perform(self.fanout.join(self.context.now(), peer, version))

    def _tick(self) -> None:
        now = self.context.now()
        self.perform(self.fanout.tick(now, self.context.age_ms()))
        if self.serves_peers:
            self._join_connected_peers(now)
        self._schedule_tick(now)

    def _join_connected_peers(self, now: float) -> None:
        connected = self.context.lease_service.transport.outbound.keys()
        for peer in connected - self.fanout.subscribers.keys():
            # The version of the peer is unknown until its first acknowledgement. Until then, the peer is
            # assumed to have the version of this relay, and is sent a heartbeat.
            self.directions[peer] = ConnectionDirection.OUTBOUND
            self.perform(self.fanout.join(now, peer, self.fanout.store.version))

    def _schedule_tick(self, now: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        delay = max(MIN_TICK_DELAY_MS, self.fanout.next_tick_in(now))
        self._timer = self.context.lease_service.reactor.callLater(delay / 1000, self._tick)

    def _encode(self, message: Message) -> list[bytes]:
        """Return the bodies of the calls for a message; a delta too large for a call becomes a snapshot."""
        bodies = messages.encode_update(message, self.context.age_ms())
        if bodies:
            return bodies
        return messages.encode_update(self.fanout.store.snapshot(), self.context.age_ms())

    async def _send(self, subscriber: str, bodies: list[bytes]) -> None:
        """Send the calls of one message and handle the acknowledgement of the last one."""
        transport = self.context.lease_service.transport
        outbound = self.directions.get(subscriber) is ConnectionDirection.OUTBOUND
        call = transport.call if outbound else transport.call_inbound
        acknowledgement = b""
        try:
            for body in bodies:
                self.context.counters["update_bytes_sent"] += len(body)
                acknowledgement = await call(subscriber, messages.UPDATE_CALL, body)
            version = messages.decode_acknowledgement(acknowledgement)
        except (CallError, msgspec.MsgspecError):
            self.context.counters["updates_unacknowledged"] += 1
            self.fanout.remove(subscriber)
            return
        now = self.context.now()
        self.perform(self.fanout.on_acknowledgement(now, subscriber, version, self.context.age_ms()))
