"""Tests of the conditions under which a balancer that subscribes to a relay polls discovery."""

import math
import random
from collections import Counter

import pytest
from golden_bytes_support import RecordingDiscovery
from twisted.internet import defer, task

from lotusroute.relay.discovery_forwarder import DiscoveryForwarder
from lotusroute.relay.endpoint_items import EndpointListUpdate, item_changes
from lotusroute.relay.relay_selector import STALENESS_LIMIT_MS, RelaySelector
from lotusroute.relay.update_source import CHECK_INTERVAL_S, FIRST_UPDATE_TIMEOUT_S, RelayUpdateSource
from lotusroute.relay.versioned_store import VersionedStore
from lotusroute.timing.poll_limits import MIN_REJECTION_BACKOFF_S

LIST = EndpointListUpdate(12, True, [{"host": "s-1"}])
ADDRESS = "10.0.0.9:8500"  # address of the discovery service that RecordingDiscovery polls


class PolledDiscovery(RecordingDiscovery):
    """A discovery client whose next response has to arrive within 6 s."""

    def remaining(self):
        return 6.0


@pytest.fixture
def reactor():
    return task.Clock()


@pytest.fixture
def source(reactor):
    rng = random.Random(1)
    counters = Counter()
    selector = RelaySelector("n1", ["r1"], [], rng)
    forwarder = DiscoveryForwarder(VersionedStore(), counters)
    return RelayUpdateSource(reactor, lambda: 1000 * reactor.seconds(), rng, counters, selector, forwarder)


def receive_list(source):
    store = source.forwarder.store
    store.publish(1, item_changes(store, LIST, ADDRESS))
    source.selector.on_confirmed(source.clock(), 0.0)


def wait_for_poll(source, discovery):
    return defer.ensureDeferred(source.wait_until_poll_due(discovery))


def advance(reactor, seconds):
    """Advance the clock in steps of CHECK_INTERVAL_S, so that each check runs."""
    for _ in range(round(seconds / CHECK_INTERVAL_S)):
        reactor.advance(CHECK_INTERVAL_S)


def test_without_an_update_discovery_is_polled_soon_after_the_start(reactor, source):
    due = wait_for_poll(source, PolledDiscovery())
    advance(reactor, FIRST_UPDATE_TIMEOUT_S - CHECK_INTERVAL_S)
    assert not due.called
    advance(reactor, 3 * CHECK_INTERVAL_S)
    assert due.called
    assert source.counters == {"relay_fallback_requests": 1}


def test_discovery_is_polled_only_once_the_list_is_stale(reactor, source):
    receive_list(source)
    due = wait_for_poll(source, PolledDiscovery())
    advance(reactor, STALENESS_LIMIT_MS / 1000)
    assert not due.called
    advance(reactor, MIN_REJECTION_BACKOFF_S + 2 * CHECK_INTERVAL_S)
    assert due.called
    assert source.counters == {"relay_stale": 1, "relay_fallback_requests": 1}


def test_polling_ends_with_a_fresh_list(reactor, source):
    source.polling = True
    receive_list(source)
    source.on_list_confirmed(source.clock())
    due = wait_for_poll(source, PolledDiscovery())
    advance(reactor, 1.0)
    assert not due.called


def test_a_client_without_a_list_gets_the_complete_list(reactor, source):
    receive_list(source)
    discovery = PolledDiscovery()
    discovery.version = None
    wait_for_poll(source, discovery)
    assert discovery.updates == [({"seq": 12, "whole": True, "hosts": [{"host": "s-1"}]}, None)]


def test_the_list_of_another_discovery_service_is_not_used(reactor, source):
    """After a reload, the relays may still have the list of the discovery service that was polled before."""
    receive_list(source)
    source.discovery = PolledDiscovery()
    advance(reactor, FIRST_UPDATE_TIMEOUT_S + CHECK_INTERVAL_S)
    assert source.age() == pytest.approx(FIRST_UPDATE_TIMEOUT_S + CHECK_INTERVAL_S)
    source.discovery.list_url = "http://10.0.0.8:8500/api/targets"
    assert source.age() == math.inf
    assert wait_for_poll(source, source.discovery).called


def test_closing_the_client_ends_the_wait(reactor, source):
    receive_list(source)
    discovery = PolledDiscovery()
    due = wait_for_poll(source, discovery)
    discovery.closed = True
    source.wake()
    assert due.called
    assert not source.counters
