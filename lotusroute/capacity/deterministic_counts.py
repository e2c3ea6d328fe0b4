"""Messages and bytes that a role sends for a fixed script, without a process or a clock.

The counts do not depend on the machine: growth means that the code sends more.
"""

import msgspec

from lotusroute.capacity.stubs import entry
from lotusroute.fleet.shared_discovery import HEARTBEAT_INTERVAL_S as HOLDER_HEARTBEAT_INTERVAL
from lotusroute.fleet.shared_discovery import SharedUpdate
from lotusroute.relay import endpoint_items, messages
from lotusroute.relay.endpoint_items import EndpointListUpdate
from lotusroute.relay.fanout import HEARTBEAT_INTERVAL_MS, Action, Drop, FanOut, Heartbeat
from lotusroute.relay.versioned_store import Version, VersionedStore

ENDPOINTS = 20  # in the list
IDLE_TIME_MS = 6_000.0  # without a change, at the end of the script
CHANGES = 3
CHANGE_INTERVAL_MS = 10.0
TICK_INTERVAL_MS = 100.0
AGE_MS = 100.0  # of the endpoint list, in all messages
DISCOVERY_ADDRESS = "d:1"


class RelayScript:
    """A relay and its subscribers, all of which acknowledge each message at once."""

    def __init__(self, subscribers: int) -> None:
        self.now = 0.0
        self.store = VersionedStore()
        self.fanout = FanOut(self.store, subscribers)
        self.subscribers = {f"n{index}": VersionedStore() for index in range(subscribers)}
        self.messages = 0
        self.bytes = 0

    def publish(self, update: EndpointListUpdate) -> None:
        """Publish an answer of discovery."""
        self.store.publish(1, endpoint_items.item_changes(self.store, update, DISCOVERY_ADDRESS))

    def join_all(self) -> None:
        """Let all subscribers join from nothing."""
        for name in self.subscribers:
            self.perform(self.fanout.join(self.now, name, Version()))

    def tick(self) -> None:
        """Let the relay send what is due."""
        self.perform(self.fanout.tick(self.now, AGE_MS))

    def perform(self, actions: list[Action]) -> None:
        """Deliver messages and their acknowledgements until there are no more."""
        pending = list(actions)
        while pending:
            action = pending.pop(0)
            assert not isinstance(action, Drop)
            for body in messages.encode_update(action.message, AGE_MS):
                self.messages += 1
                self.bytes += len(body)
            subscriber = self.subscribers[action.subscriber]
            if not isinstance(action.message, Heartbeat):
                subscriber.apply(action.message)
            self.bytes += len(messages.encode_acknowledgement(subscriber.version))
            pending += self.fanout.on_acknowledgement(self.now, action.subscriber, subscriber.version, AGE_MS)


def relay(size: int) -> dict[str, int]:
    """Count for a relay with so many subscribers: all join from nothing, some changes, then idle time.

    >>> few, many = relay(10), relay(20)
    >>> many["messages"] == 2 * few["messages"], many["bytes"] == 2 * few["bytes"]
    (True, True)
    """
    script = RelayScript(size)
    endpoints = [entry(f"s-{index}") for index in range(ENDPOINTS)]
    script.publish(EndpointListUpdate(1, True, endpoints))
    script.join_all()
    for change in range(CHANGES):
        script.now += CHANGE_INTERVAL_MS
        script.publish(EndpointListUpdate(2 + change, False, [entry("s-0", health="DRAINING")]))
        script.fanout.on_store_changed(script.now)
        script.now += HEARTBEAT_INTERVAL_MS
        script.tick()
    end = script.now + IDLE_TIME_MS
    while script.now < end:
        script.now += TICK_INTERVAL_MS
        script.tick()
    assert all(subscriber.items == script.store.items for subscriber in script.subscribers.values())
    return {"messages": script.messages, "bytes": script.bytes}


def holder(size: int) -> dict[str, int]:
    """Count for the holder of the lease `watch` in a fleet of so many: one change, then idle time.

    >>> few, many = holder(11), holder(21)
    >>> many["messages"] == 2 * few["messages"], many["bytes"] == 2 * few["bytes"]
    (True, True)
    """
    discovery_url = "http://127.0.0.1:8500/api/targets"
    update = SharedUpdate(7, discovery_url, 2, 1, False, [entry("s-0", health="DRAINING")])
    heartbeat = SharedUpdate(7, discovery_url, 2)
    heartbeats = round(IDLE_TIME_MS / 1_000 / HOLDER_HEARTBEAT_INTERVAL)
    update_bytes = len(msgspec.msgpack.encode(update))
    heartbeat_bytes = len(msgspec.msgpack.encode(heartbeat))
    peers = size - 1
    return {
        "messages": (1 + heartbeats) * peers,
        "bytes": (update_bytes + heartbeats * heartbeat_bytes) * peers,
    }
