"""Counts the messages and bytes that a relay or a lease holder sends in a fixed simulated scenario.

No process and no clock is involved, so the counts do not depend on the machine: they grow only if the code
sends more.
"""

from typing import NamedTuple

import msgspec

from lotusroute.capacity.stubs import DISCARD_PORT
from lotusroute.fleet.shared_discovery import HEARTBEAT_INTERVAL_S as HOLDER_HEARTBEAT_INTERVAL_S
from lotusroute.fleet.shared_discovery import SharedUpdate
from lotusroute.process_control.config_files import endpoint_entry
from lotusroute.relay import endpoint_items, messages
from lotusroute.relay.endpoint_items import EndpointListUpdate
from lotusroute.relay.fanout import HEARTBEAT_INTERVAL_MS, Action, Drop, FanOut, Heartbeat
from lotusroute.relay.versioned_store import Version, VersionedStore

ENDPOINTS = 20  # number of servers in the endpoint list
IDLE_TIME_MS = 6_000.0  # time without a change at the end of the scenario
CHANGES = 3  # number of changes, which are published one after the other
CHANGE_INTERVAL_MS = 10.0
TICK_INTERVAL_MS = 100.0
AGE_MS = 100.0  # age of the endpoint list that every message states
DISCOVERY_ADDRESS = "d:1"


class SentCounts(NamedTuple):
    """What a sender sent to all its receivers; a relay's bytes include the acknowledgements it received."""

    messages: int
    size_bytes: int


class RelaySimulation:
    """A simulated relay and its subscribers, which acknowledge each message immediately."""

    def __init__(self, subscribers: int) -> None:
        self.now = 0.0
        self.store = VersionedStore()
        self.fanout = FanOut(self.store, subscribers)
        self.subscribers = {f"n{index}": VersionedStore() for index in range(subscribers)}
        self.messages = 0
        self.size_bytes = 0

    def publish(self, update: EndpointListUpdate) -> None:
        """Store an update as if discovery had sent it."""
        self.store.publish(1, endpoint_items.item_changes(self.store, update, DISCOVERY_ADDRESS))

    def join_all(self) -> None:
        """Let all subscribers join with an empty list."""
        for name in self.subscribers:
            self.perform(self.fanout.join(self.now, name, Version()))

    def tick(self) -> None:
        """Let the relay send what is due."""
        self.perform(self.fanout.tick(self.now, AGE_MS))

    def perform(self, actions: list[Action]) -> None:
        """Deliver the messages of `actions` and those that the acknowledgements trigger."""
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            assert not isinstance(action, Drop)
            for body in messages.encode_update(action.message, AGE_MS):
                self.messages += 1
                self.size_bytes += len(body)
            subscriber = self.subscribers[action.subscriber]
            if not isinstance(action.message, Heartbeat):
                subscriber.apply(action.message)
            self.size_bytes += len(messages.encode_acknowledgement(subscriber.version))
            pending += self.fanout.on_acknowledgement(self.now, action.subscriber, subscriber.version, AGE_MS)


def count_sent_by_relay(size: int) -> SentCounts:
    """Count what a relay sends to `size` subscribers that join with an empty list: changes, then idle time.

    >>> few, many = count_sent_by_relay(10), count_sent_by_relay(20)
    >>> many.messages == 2 * few.messages, many.size_bytes == 2 * few.size_bytes
    (True, True)
    """
    simulation = RelaySimulation(size)
    endpoints = [endpoint_entry(f"s-{index}", DISCARD_PORT) for index in range(ENDPOINTS)]
    simulation.publish(EndpointListUpdate(1, True, endpoints))
    simulation.join_all()
    for change in range(CHANGES):
        simulation.now += CHANGE_INTERVAL_MS
        simulation.publish(
            EndpointListUpdate(2 + change, False, [endpoint_entry("s-0", DISCARD_PORT, "DRAINING")])
        )
        simulation.fanout.on_store_changed(simulation.now)
        simulation.now += HEARTBEAT_INTERVAL_MS
        simulation.tick()
    end = simulation.now + IDLE_TIME_MS
    while simulation.now < end:
        simulation.now += TICK_INTERVAL_MS
        simulation.tick()
    assert all(subscriber.items == simulation.store.items for subscriber in simulation.subscribers.values())
    return SentCounts(simulation.messages, simulation.size_bytes)


def count_sent_by_lease_holder(size: int) -> SentCounts:
    """Count what the holder of the lease `watch` sends in a fleet of `size` balancers.

    It sends one change to each of the others, then heartbeats while idle.

    >>> few, many = count_sent_by_lease_holder(11), count_sent_by_lease_holder(21)
    >>> many.messages == 2 * few.messages, many.size_bytes == 2 * few.size_bytes
    (True, True)
    """
    discovery_url = "http://127.0.0.1:8500/api/targets"
    update = SharedUpdate(7, discovery_url, 2, 1, False, [endpoint_entry("s-0", DISCARD_PORT, "DRAINING")])
    heartbeat = SharedUpdate(7, discovery_url, 2)
    heartbeats = round(IDLE_TIME_MS / 1_000 / HOLDER_HEARTBEAT_INTERVAL_S)
    update_bytes = len(msgspec.msgpack.encode(update))
    heartbeat_bytes = len(msgspec.msgpack.encode(heartbeat))
    peers = size - 1
    messages_per_peer = 1 + heartbeats
    bytes_per_peer = update_bytes + heartbeats * heartbeat_bytes
    return SentCounts(messages_per_peer * peers, bytes_per_peer * peers)
