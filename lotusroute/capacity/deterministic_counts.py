"""Messages and bytes of a role for a given script, without a process or a clock: the same in every run.

Owns the scripts. It must never depend on the machine: what grows here grew in the code.
"""

import msgspec

from lotusroute.capacity.stubs import entry
from lotusroute.fleet.shared_discovery import HEARTBEAT_INTERVAL, SharedUpdate
from lotusroute.relay import endpoint_items, messages
from lotusroute.relay.fanout import BEAT, Drop, FanOut
from lotusroute.relay.versioned_store import Version, VersionedStore

HOSTS = 20  # servers in the list
REST = 6_000.0  # ms at rest
CHANGES = 3


def relay(size: int) -> dict[str, int]:
    """A relay with so many subscribers: all join from nothing, three changes, six seconds of rest.

    >>> few, many = relay(10), relay(20)
    >>> many["messages"] == 2 * few["messages"], many["bytes"] == 2 * few["bytes"]
    (True, True)
    """
    store, now, sent, size_sent = VersionedStore(), 0.0, 0, 0
    hosts = [entry(f"s-{at}") for at in range(HOSTS)]
    store.publish(1, endpoint_items.changes(store, {"seq": 1, "whole": True, "hosts": hosts}, "d:1"))
    fan = FanOut(store, size)
    followers = {f"n{at}": VersionedStore() for at in range(size)}

    def carry(actions: list) -> None:
        nonlocal sent, size_sent
        todo = list(actions)
        while todo:
            action = todo.pop(0)
            assert not isinstance(action, Drop)
            for body in messages.written(action.news, 100.0):
                sent, size_sent = sent + 1, size_sent + len(body)
            if hasattr(action.news, "digest"):
                followers[action.to].take(action.news)
            at = followers[action.to].version
            size_sent += len(messages.acknowledged(at))
            todo += fan.acknowledged(now, action.to, at, 100.0)

    for name in followers:
        carry(fan.join(now, name, Version()))
    for number in range(CHANGES):
        now += 10.0
        told = {"seq": 2 + number, "whole": False, "hosts": [entry("s-0", health="DRAINING")]}
        store.publish(1, endpoint_items.changes(store, told, "d:1"))
        fan.news(now)
        now += BEAT
        carry(fan.tick(now, 100.0))
    until = now + REST
    while now < until:
        now += 100.0
        carry(fan.tick(now, 100.0))
    assert all(follower.items == store.items for follower in followers.values())
    return {"messages": sent, "bytes": size_sent}


def holder(size: int) -> dict[str, int]:
    """The holder of `watch` in a fleet of so many: one change and six seconds of rest.

    >>> few, many = holder(11), holder(21)
    >>> many["messages"] == 2 * few["messages"], many["bytes"] == 2 * few["bytes"]
    (True, True)
    """
    where = "http://127.0.0.1:8500/api/targets"
    told = SharedUpdate(7, where, 2, 1, False, [entry("s-0", health="DRAINING")])
    beat = SharedUpdate(7, where, 2)
    beats = round(REST / 1_000 / HEARTBEAT_INTERVAL)
    each = len(msgspec.msgpack.encode(told)) + beats * len(msgspec.msgpack.encode(beat))
    return {"messages": (1 + beats) * (size - 1), "bytes": each * (size - 1)}
