"""Tests of the fan-out: coalescing, slow subscribers, and the limits on snapshots and subscribers."""

import pytest
from versioned_store_helpers import origin_store

from lotusroute.relay.fanout import (
    ACKNOWLEDGEMENT_TIMEOUT_MS,
    COALESCE_DELAY_MS,
    HEARTBEAT_INTERVAL_MS,
    MAX_SNAPSHOTS_IN_FLIGHT,
    MIN_UPDATE_INTERVAL_MS,
    Drop,
    FanOut,
    Heartbeat,
)
from lotusroute.relay.versioned_store import Snapshot, Version


@pytest.fixture
def origin():
    return origin_store()


def join_current(fanout, name):
    """Add a subscriber that has the current version and has acknowledged a heartbeat."""
    fanout.join(0.0, name, fanout.store.version)
    fanout.on_acknowledgement(1.0, name, fanout.store.version, 0.0)


def test_a_burst_of_changes_is_coalesced_and_a_busy_subscriber_gets_a_single_delta(origin):
    """Of 50 changes in a second, a fast subscriber gets at most 5 updates, one every 250 ms.

    A busy subscriber gets nothing until it acknowledges its heartbeat, and then a delta with all changes.
    """
    fanout = FanOut(origin, 10)
    join_current(fanout, "fast")
    join_current(fanout, "slow")
    sent = {"fast": [], "slow": []}
    now = 1_000.0
    # Both subscribers are sent a heartbeat, which "slow" does not acknowledge.
    for action in fanout.tick(now, 0.0):
        if action.subscriber == "fast":
            fanout.on_acknowledgement(now, "fast", origin.version, 0.0)
    for number in range(50):
        now += 20.0
        origin.publish(1, {"a": b"%d" % number, f"n{number}": b"x"})
        fanout.on_store_changed(now)
        for action in fanout.tick(now, 0.0):
            sent[action.subscriber].append(action.message)
            if action.subscriber == "fast":
                fanout.on_acknowledgement(now, "fast", action.message.version, 0.0)
    assert 3 <= len(sent["fast"]) <= 1_000 / MIN_UPDATE_INTERVAL_MS + 1
    assert sent["slow"] == []
    actions = fanout.on_acknowledgement(now + COALESCE_DELAY_MS, "slow", Version(1, 3), 0.0)
    assert len(actions) == 1
    assert len(actions[0].message.changes) == 51


def test_an_unresponsive_subscriber_is_dropped_without_delaying_the_others(origin):
    """A subscriber that never acknowledges its first heartbeat must not hold up the heartbeats of another."""
    fanout = FanOut(origin, 10)
    fanout.join(0.0, "unresponsive", origin.version)
    join_current(fanout, "healthy")
    heartbeats = 0
    dropped = []
    now = 1.0
    while now < 2 * ACKNOWLEDGEMENT_TIMEOUT_MS:
        now += 100.0
        for action in fanout.tick(now, 0.0):
            if isinstance(action, Drop):
                dropped.append((now, action))
                continue
            assert action.subscriber == "healthy"
            assert isinstance(action.message, Heartbeat)
            heartbeats += 1
            fanout.on_acknowledgement(now, "healthy", origin.version, 0.0)
    assert [action for _, action in dropped] == [Drop("unresponsive", "slow")]
    assert dropped[0][0] <= ACKNOWLEDGEMENT_TIMEOUT_MS + 200.0
    assert heartbeats >= 2 * ACKNOWLEDGEMENT_TIMEOUT_MS / HEARTBEAT_INTERVAL_MS - 2
    assert list(fanout.subscribers) == ["healthy"]


ZONE_SIZE = 326  # number of balancers in a zone


@pytest.fixture
def zone_fanout(origin):
    """A fan-out whose limit is the number of balancers in a zone."""
    return FanOut(origin, ZONE_SIZE)


def join_zone(fanout):
    """Subscribe all balancers of a zone, which have empty lists, at once; return the actions."""
    return [action for index in range(ZONE_SIZE) for action in fanout.join(0.0, f"n{index}", Version())]


def test_snapshots_in_flight_are_bounded_and_every_subscriber_gets_a_snapshot(origin, zone_fanout):
    """A whole zone that reconnects at once must not make a relay send 326 snapshots at the same time."""
    sent = join_zone(zone_fanout)
    assert len(sent) == MAX_SNAPSHOTS_IN_FLIGHT
    assert len(zone_fanout.snapshot_queue) == ZONE_SIZE - MAX_SNAPSHOTS_IN_FLIGHT
    served = 0
    while sent:
        served += 1
        sent += zone_fanout.on_acknowledgement(1.0, sent.pop(0).subscriber, origin.version, 0.0)
        assert sum(isinstance(action.message, Snapshot) for action in sent) <= MAX_SNAPSHOTS_IN_FLIGHT
    assert served >= ZONE_SIZE
    assert not zone_fanout.snapshot_queue
    assert zone_fanout.snapshots_in_flight == 0


def test_a_subscriber_beyond_the_limit_is_dropped(zone_fanout):
    join_zone(zone_fanout)
    assert zone_fanout.join(0.0, "one more", Version()) == [Drop("one more", "full")]


def test_a_removed_subscriber_frees_its_snapshot_in_flight(zone_fanout):
    zone_fanout.join(2.0, "n1", Version())
    zone_fanout.remove("n1")
    assert zone_fanout.snapshots_in_flight == 0
