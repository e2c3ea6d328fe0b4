"""The endpoint registry: addresses of the listed servers, and drain deadlines."""

from unittest.mock import Mock

import pytest

from lotusroute.address import Address
from lotusroute.net.discovery.endpoint_list import EndpointUpdate
from lotusroute.net.flows.endpoints import DRAIN_MIGRATION_SPREAD_MS, EndpointRegistry
from lotusroute.routing import events

ADDRESS = Address("127.0.0.1", 9_000)


def endpoint_update(scope, **states):
    """Return an endpoint update from the states of servers by id."""
    servers = tuple(events.Server(server, state=state) for server, state in states.items())
    addresses = {server: ADDRESS for server, state in states.items() if state != events.EndpointState.REMOVED}
    return EndpointUpdate(scope, servers, addresses)


def test_a_drain_is_notified_once_and_its_deadline_stays():
    on_drain_started = Mock()
    registry = EndpointRegistry(on_drain_started)
    for now in (0.0, 400.0):
        registry.update(
            endpoint_update(
                events.ListScope.CHANGES, s1=events.EndpointState.DRAINING, s2=events.EndpointState.READY
            ),
            now,
        )
    assert on_drain_started.call_count == 1 and registry.drain_deadlines == {"s1": DRAIN_MIGRATION_SPREAD_MS}
    assert registry.has_address("s1") and not registry.accepts_new_flows("s1")
    assert registry.accepts_new_flows("s2")


@pytest.mark.parametrize(
    "update",
    [
        endpoint_update(events.ListScope.CHANGES, s1=events.EndpointState.REMOVED),
        endpoint_update(events.ListScope.COMPLETE, s2=events.EndpointState.READY),
    ],
)
def test_a_draining_server_that_is_removed_or_no_longer_listed_is_forgotten(update):
    registry = EndpointRegistry(Mock())
    registry.update(endpoint_update(events.ListScope.COMPLETE, s1=events.EndpointState.DRAINING), 0.0)
    registry.update(update, 1.0)
    assert not registry.has_address("s1") and not registry.drain_deadlines
