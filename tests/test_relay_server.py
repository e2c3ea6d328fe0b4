"""Tests of the calls that relays and subscribers reject, and of the errors that state the reason."""

from collections import Counter

import pytest
from golden_bytes_support import NOW, lease_service_at_fixed_clock
from twisted.internet import task

from lotusroute.address import Address
from lotusroute.fleet.errors import UnknownCallError
from lotusroute.relay import messages
from lotusroute.relay.config import RelaysConfig
from lotusroute.relay.errors import (
    DeposedError,
    NoSnapshotError,
    NotSubscribedError,
    StaleUpdateError,
    SubscriberLimitError,
    UnknownOriginError,
)
from lotusroute.relay.fanout import Heartbeat
from lotusroute.relay.server import RelayServer
from lotusroute.relay.subscription import Subscription
from lotusroute.relay.versioned_store import Version, VersionedStore

EMPTY_VERSION = messages.encode_acknowledgement(Version())
# Number of processes of the fleet. They may subscribe in addition to `max_subscribers` others, here 0.
PEER_COUNT = 4


@pytest.fixture
def relay(tmp_path):
    service = lease_service_at_fixed_clock("a", tmp_path)
    return RelayServer(service, Address("10.0.0.9", 8500), Counter())


def heartbeat(fencing_token):
    (body,) = messages.encode_update(Heartbeat(Version(fencing_token, 1), 0.0), 0.0)
    return body


def snapshot(fencing_token, versions):
    store = VersionedStore()
    for number in range(versions):
        store.publish(fencing_token, {"a": b"%d" % number})
    (body,) = messages.encode_update(store.snapshot(), 0.0)
    return body


def call(relay, peer, kind, body):
    return relay.context.lease_service.call_handlers[kind](peer, body)


def test_a_relay_without_a_list_accepts_no_subscriber(relay):
    with pytest.raises(NoSnapshotError, match=r"^this relay has not received an endpoint list yet$"):
        call(relay, "n1", messages.SUBSCRIBE_CALL, EMPTY_VERSION)


def test_a_relay_accepts_subscribers_up_to_its_limit(relay):
    relay.context.replica.confirm(NOW, 0.0)
    reactor = relay.context.lease_service.reactor
    for index in range(PEER_COUNT):
        assert call(relay, f"n{index}", messages.SUBSCRIBE_CALL, EMPTY_VERSION) == b""
        reactor.advance(0)
    with pytest.raises(SubscriberLimitError, match="4 subscribers"):
        call(relay, "one more", messages.SUBSCRIBE_CALL, EMPTY_VERSION)
    assert call(relay, "n0", messages.SUBSCRIBE_CALL, EMPTY_VERSION) == b""
    assert relay.context.counters["subscribers_dropped_full"] == 1


def test_an_update_of_a_deposed_origin_is_rejected(relay):
    call(relay, "b", messages.UPDATE_CALL, heartbeat(9))
    with pytest.raises(
        DeposedError, match=r"^deposed: fencing token 7 is lower than 9, that of a later origin$"
    ):
        call(relay, "c", messages.UPDATE_CALL, heartbeat(7))
    assert relay.context.counters["updates_fenced"] == 1


def test_an_update_from_a_process_that_is_not_a_peer_is_rejected(relay):
    expected = r"^updates are accepted only from peers of this relay; 'n1' is not one of them$"
    with pytest.raises(UnknownOriginError, match=expected):
        call(relay, "n1", messages.UPDATE_CALL, heartbeat(9))
    assert relay.context.counters["updates_fenced"] == 1


def test_an_update_that_is_older_than_the_list_is_rejected(relay):
    call(relay, "b", messages.UPDATE_CALL, snapshot(9, versions=2))
    expected = r"^stale: version 9\.1 of the update is older than version 9\.2 of this relay$"
    with pytest.raises(StaleUpdateError, match=expected):
        call(relay, "b", messages.UPDATE_CALL, snapshot(9, versions=1))


def test_a_subscriber_accepts_only_updates_and_only_from_its_relay():
    relays = RelaysConfig("f", {"r1": Address("10.0.0.1", 1)}, {})
    subscription = Subscription(task.Clock(), relays, "n1", Counter())
    with pytest.raises(NotSubscribedError, match="'r1'"):
        subscription.handle_call("r1", messages.UPDATE_CALL, heartbeat(9))
    with pytest.raises(UnknownCallError, match="'other'"):
        subscription.handle_call("r1", "other", b"")
