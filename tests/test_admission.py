"""Admission control, and the flow table and endpoint registry that it and the flow manager use."""

from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from lotusroute.address import Address
from lotusroute.net.admission import (
    EXISTING_ACCEPT_WINDOW_MS,
    MAX_BACKLOG,
    AdmissionControl,
    AdmissionResult,
)
from lotusroute.net.downstream import parse_open_request
from lotusroute.net.endpoint_list import EndpointUpdate
from lotusroute.net.endpoints import DRAIN_MIGRATION_SPREAD_MS, EndpointRegistry
from lotusroute.net.flow_table import CLOSED_FLOW_ID_TTL_MS, MAX_CLOSED_FLOW_IDS, FlowTable
from lotusroute.routing import events

LIVE = events.ServiceType(300.0)
ADDRESS = Address("127.0.0.1", 9_000)


class FakeLoop:
    """An event loop's clock and backlog, which tests set."""

    def __init__(self):
        self.now = 0.0
        self.backlog = 0

    def clock(self):
        return self.now


def request(request_id="id1", **pairs):
    """Return a client's request for a flow of the type `live`."""
    text = ",".join(f"{key}={value}" for key, value in {"c": "live", "d": 900, **pairs}.items())
    return parse_open_request(f"OPEN {request_id} k {text}\r\n".encode())


def config(sockets):
    """Return a configuration with a number of descriptors."""
    service = SimpleNamespace(service_types={"live": LIVE})
    return SimpleNamespace(sockets=sockets, memory_mb=1_024.0, tenants=frozenset({"acme"}), service=service)


@pytest.fixture
def loop():
    return FakeLoop()


@pytest.fixture
def table(loop):
    return FlowTable(loop.clock)


@pytest.fixture
def admission(loop, table):
    return AdmissionControl(config(sockets=68), loop, table)  # of which 64 are reserved: two flows


def fill(table, flows=2):
    return [table.add(request(f"other{index}"), LIVE, 900.0, Mock()) for index in range(flows)]


def test_a_usable_request_is_accepted_below_the_capacity(admission, table):
    fill(table, 1)
    assert admission.evaluate(request(t="acme")) is AdmissionResult.ACCEPTED


@pytest.mark.parametrize("pairs", [{"c": "unknown"}, {"t": "unknown"}])
def test_a_request_of_an_unknown_service_type_or_tenant_is_malformed(admission, pairs):
    assert admission.evaluate(request(**pairs)) is AdmissionResult.MALFORMED


def test_a_request_with_the_id_of_a_flow_in_flight_is_malformed(admission, table):
    fill(table, 1)
    assert admission.evaluate(request("other0")) is AdmissionResult.MALFORMED


def test_at_capacity_new_flows_are_rejected_and_existing_connections_are_not(admission, table):
    fill(table)
    assert admission.evaluate(request()) is AdmissionResult.AT_CAPACITY
    assert admission.evaluate(request(at="s1")) is AdmissionResult.ACCEPTED


def test_a_larger_configuration_raises_the_capacity(admission, table):
    fill(table)
    admission.resize(config(sockets=70))
    assert admission.evaluate(request()) is AdmissionResult.ACCEPTED


def test_new_flows_are_rejected_while_too_many_events_are_queued(admission, loop):
    loop.backlog = MAX_BACKLOG
    assert admission.evaluate(request()) is AdmissionResult.ACCEPTED
    loop.backlog += 1
    assert admission.evaluate(request()) is AdmissionResult.AT_CAPACITY


def test_existing_connections_are_malformed_when_the_time_after_the_start_is_over(admission, loop):
    loop.now = EXISTING_ACCEPT_WINDOW_MS
    assert admission.evaluate(request(at="s1")) is AdmissionResult.ACCEPTED
    loop.now += 1.0
    assert admission.evaluate(request(at="s1")) is AdmissionResult.MALFORMED


def test_after_closing_every_usable_request_meets_the_shutdown(admission):
    admission.close()
    assert admission.evaluate(request()) is AdmissionResult.SHUTTING_DOWN
    assert admission.evaluate(request(at="s1")) is AdmissionResult.SHUTTING_DOWN


def test_the_id_of_a_closed_flow_is_known_until_its_time_is_over(table, loop):
    (flow,) = fill(table, 1)
    table.remove(flow)
    table.expire_closed_ids(CLOSED_FLOW_ID_TTL_MS)
    assert table.knows_id("other0") and not len(table)
    table.expire_closed_ids(CLOSED_FLOW_ID_TTL_MS + 1.0)
    assert not table.knows_id("other0")


def test_the_oldest_ids_of_closed_flows_are_forgotten_beyond_the_limit(table):
    for flow in fill(table, MAX_CLOSED_FLOW_IDS + 1):
        table.remove(flow)
    table.expire_closed_ids(0.0)
    assert not table.knows_id("other0") and table.knows_id("other1")


def test_only_flows_whose_client_is_there_count_as_established(table):
    waiting, established, client_left = fill(table, 3)
    established.established = client_left.established = True
    client_left.client_left_at = 5.0
    assert table.established() == [established] and waiting in table


def endpoints(scope, **states):
    """Return an endpoint update from the states of servers by id."""
    servers = tuple(events.Server(server, state=state) for server, state in states.items())
    addresses = {server: ADDRESS for server, state in states.items() if state != events.EndpointState.REMOVED}
    return EndpointUpdate(scope, servers, addresses)


def test_a_drain_is_notified_once_and_its_deadline_stays():
    on_drain_started = Mock()
    registry = EndpointRegistry(on_drain_started)
    for now in (0.0, 400.0):
        registry.update(
            endpoints(
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
        endpoints(events.ListScope.CHANGES, s1=events.EndpointState.REMOVED),
        endpoints(events.ListScope.COMPLETE, s2=events.EndpointState.READY),
    ],
)
def test_a_draining_server_that_is_removed_or_no_longer_listed_is_forgotten(update):
    registry = EndpointRegistry(Mock())
    registry.update(endpoints(events.ListScope.COMPLETE, s1=events.EndpointState.DRAINING), 0.0)
    registry.update(update, 1.0)
    assert not registry.has_address("s1") and not registry.drain_deadlines
