"""Fan-out of a versioned store: which message is sent to which subscriber, and when.

Each subscriber has at most one message in flight, and is sent the update from the version that it last
acknowledged to the current one. Nothing is queued for a slow subscriber: all changes made while it was busy,
even 50 within a second, are sent as a single delta. A slow subscriber does not delay the others.

This module is pure: it does no I/O and reads no clock. Times are in milliseconds of the caller's clock.
"""

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from lotusroute.relay.versioned_store import Delta, Snapshot, Version, VersionedStore

# Time without another message after which a subscriber is sent a heartbeat. More than two intervals must fit
# into the 1,500 ms after which a subscriber that receives no message changes to another relay.
HEARTBEAT_INTERVAL_MS = 600.0
# Smallest number of ticks in a heartbeat interval; ticks are more frequent while a change is pending.
MIN_TICKS_PER_HEARTBEAT = 4
# Time after which a subscriber that has not acknowledged a message is dropped. A balancer that has received
# nothing for so long has already left the relay: it does so after 1,500 ms without a message.
ACKNOWLEDGEMENT_TIMEOUT_MS = 2_500.0
# Time for which a change waits before it is sent, so that changes that follow soon are sent with it.
COALESCE_DELAY_MS = 50.0
# Shortest time between two updates to the same subscriber. It limits a burst of 50 changes within a second to
# 5 updates; COALESCE_DELAY_MS alone would allow 20.
MIN_UPDATE_INTERVAL_MS = 250.0
# Largest number of snapshots in flight; other subscribers wait in a queue. This bounds the load when all
# balancers of a zone reconnect at once.
MAX_SNAPSHOTS_IN_FLIGHT = 8


class Heartbeat(NamedTuple):
    """States that nothing has changed since `version`, which discovery confirmed `age_ms` ago."""

    version: Version
    age_ms: float


Message = Snapshot | Delta | Heartbeat


class DropReason(StrEnum):
    """Why a subscriber is dropped; the values are part of counter names."""

    FULL = "full"
    SLOW = "slow"


class Send(NamedTuple):
    """Send a message to a subscriber, and pass its acknowledgement to `FanOut.on_acknowledgement`."""

    subscriber: str
    message: Message


class Drop(NamedTuple):
    """End or reject a subscription."""

    subscriber: str
    reason: DropReason


Action = Send | Drop


@dataclass(slots=True)
class Subscriber:
    """The state of one subscriber."""

    version: Version  # the version that the subscriber last acknowledged
    sent_at: float = math.inf  # time at which the message in flight was sent; infinity if there is none
    snapshot_in_flight: bool = False  # whether the message in flight is a snapshot
    last_message_at: float = -math.inf  # time at which the last message was sent, heartbeats included
    last_update_at: float = -math.inf  # time at which the last delta or snapshot was sent


class FanOut:
    """The subscribers of one process, and the messages that are due to each."""

    def __init__(self, store: VersionedStore, max_subscribers: int) -> None:
        self.store = store
        self.max_subscribers = max_subscribers
        self.subscribers: dict[str, Subscriber] = {}
        self.snapshot_queue: dict[str, None] = {}  # subscribers that wait for a snapshot, in order of arrival
        self.snapshots_in_flight = 0
        self.pending_since = math.inf  # time of the oldest change that no tick has sent; infinity if none

    def join(self, now: float, name: str, version: Version) -> list[Action]:
        """Add a subscriber that has `version`, or restart its subscription; reject a new one at the limit."""
        if name not in self.subscribers and len(self.subscribers) >= self.max_subscribers:
            return [Drop(name, DropReason.FULL)]
        self.remove(name)
        self.subscribers[name] = Subscriber(version)
        return self._next_message(now, name, 0.0)

    def remove(self, name: str) -> None:
        """Remove a subscriber, if there is one of this name."""
        self.snapshot_queue.pop(name, None)
        subscriber = self.subscribers.pop(name, None)
        if subscriber is not None and subscriber.snapshot_in_flight:
            self.snapshots_in_flight -= 1

    def on_acknowledgement(self, now: float, name: str, version: Version, age_ms: float) -> list[Action]:
        """Handle the acknowledgement of the message in flight: the subscriber now has `version`."""
        subscriber = self.subscribers.get(name)
        if subscriber is None:
            return []
        subscriber.version = version
        subscriber.sent_at = math.inf
        if subscriber.snapshot_in_flight:
            subscriber.snapshot_in_flight = False
            self.snapshots_in_flight -= 1
        actions = self._serve_snapshot_queue(now)
        if self.pending_since == math.inf or now >= self.pending_since + COALESCE_DELAY_MS:
            actions += self._next_message(now, name, age_ms)
        return actions

    def on_store_changed(self, now: float) -> None:
        """Record a change of the store; the first tick after COALESCE_DELAY_MS sends it."""
        self.pending_since = min(self.pending_since, now)

    def tick(self, now: float, age_ms: float) -> list[Action]:
        """Send the messages that are due; discovery confirmed the store's version `age_ms` ago."""
        actions = self._drop_slow(now)
        if now >= self.pending_since + COALESCE_DELAY_MS:
            self.pending_since = math.inf
        changes_due = self.pending_since == math.inf
        actions += self._serve_snapshot_queue(now)
        for name, subscriber in self.subscribers.items():
            if subscriber.sent_at < math.inf:
                continue
            heartbeat_due = now - subscriber.last_message_at >= HEARTBEAT_INTERVAL_MS
            update_due = changes_due and subscriber.version < self.store.version
            if heartbeat_due or update_due:
                actions += self._next_message(now, name, age_ms)
        return actions

    def next_tick_in(self, now: float) -> float:
        """Return the time in ms until the next tick is due."""
        return min(
            HEARTBEAT_INTERVAL_MS / MIN_TICKS_PER_HEARTBEAT,
            max(0.0, self.pending_since + COALESCE_DELAY_MS - now),
        )

    def _drop_slow(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for name, subscriber in list(self.subscribers.items()):
            if now - subscriber.sent_at >= ACKNOWLEDGEMENT_TIMEOUT_MS:
                self.remove(name)
                actions.append(Drop(name, DropReason.SLOW))
        return actions

    def _serve_snapshot_queue(self, now: float) -> list[Action]:
        """Send queued snapshots until MAX_SNAPSHOTS_IN_FLIGHT are in flight."""
        actions: list[Action] = []
        while self.snapshot_queue and self.snapshots_in_flight < MAX_SNAPSHOTS_IN_FLIGHT:
            name = next(iter(self.snapshot_queue))
            del self.snapshot_queue[name]
            actions += self._next_message(now, name, 0.0)
        return actions

    def _next_message(self, now: float, name: str, age_ms: float) -> list[Action]:
        """Start to send a subscriber an update if it lags, or else a heartbeat if one is due.

        Nothing is sent while the subscriber waits for a snapshot or has a message in flight.
        """
        subscriber = self.subscribers[name]
        if subscriber.sent_at < math.inf or name in self.snapshot_queue:
            return []
        update = self.store.update_since(subscriber.version)
        if update is None:
            if now - subscriber.last_message_at < HEARTBEAT_INTERVAL_MS:
                return []
            return [self._send(now, name, Heartbeat(self.store.version, age_ms))]
        if now - subscriber.last_update_at < MIN_UPDATE_INTERVAL_MS:
            return []  # a later tick sends the update, together with the changes made until then
        if isinstance(update, Snapshot):
            if self.snapshots_in_flight >= MAX_SNAPSHOTS_IN_FLIGHT:
                self.snapshot_queue[name] = None
                return []
            self.snapshots_in_flight += 1
            subscriber.snapshot_in_flight = True
        subscriber.last_update_at = now
        return [self._send(now, name, update)]

    def _send(self, now: float, name: str, message: Message) -> Send:
        subscriber = self.subscribers[name]
        subscriber.sent_at = now
        subscriber.last_message_at = now
        return Send(name, message)
