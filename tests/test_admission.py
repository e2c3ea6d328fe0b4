"""Admission control: which requests become flows."""

from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from lotusroute.net.downstream.open_request import parse_open_request
from lotusroute.net.flows.admission import (
    EXISTING_ACCEPT_WINDOW_MS,
    MAX_BACKLOG,
    AdmissionControl,
    AdmissionResult,
)
from lotusroute.net.flows.table import FlowTable
from lotusroute.routing import events

LIVE = events.ServiceType(300.0)


class FakeLoop:
    """An event loop with only a clock and a backlog, which tests set."""

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
    """Return a configuration with this limit on descriptors."""
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
    # 64 descriptors are reserved; the other four are enough for two flows, which take two descriptors each.
    return AdmissionControl(config(sockets=68), loop, table)


def add_flows(table, count=2):
    return [table.add(request(f"other{index}"), LIVE, 900.0, Mock()) for index in range(count)]


def test_a_valid_request_is_accepted_below_the_capacity(admission, table):
    add_flows(table, 1)
    assert admission.evaluate(request(t="acme")) is AdmissionResult.ACCEPTED


@pytest.mark.parametrize("pairs", [{"c": "unknown"}, {"t": "unknown"}])
def test_a_request_of_an_unknown_service_type_or_tenant_is_malformed(admission, pairs):
    assert admission.evaluate(request(**pairs)) is AdmissionResult.MALFORMED


def test_a_request_with_the_id_of_a_flow_in_flight_is_malformed(admission, table):
    add_flows(table, 1)
    assert admission.evaluate(request("other0")) is AdmissionResult.MALFORMED


def test_at_capacity_new_flows_are_rejected_and_existing_connections_are_not(admission, table):
    add_flows(table)
    assert admission.evaluate(request()) is AdmissionResult.AT_CAPACITY
    assert admission.evaluate(request(at="s1")) is AdmissionResult.ACCEPTED


def test_a_larger_configuration_raises_the_capacity(admission, table):
    add_flows(table)
    admission.update_capacity(config(sockets=70))
    assert admission.evaluate(request()) is AdmissionResult.ACCEPTED


def test_new_flows_are_rejected_while_too_many_events_are_queued(admission, loop):
    loop.backlog = MAX_BACKLOG
    assert admission.evaluate(request()) is AdmissionResult.ACCEPTED
    loop.backlog += 1
    assert admission.evaluate(request()) is AdmissionResult.AT_CAPACITY


def test_existing_connections_are_malformed_after_their_accept_window(admission, loop):
    loop.now = EXISTING_ACCEPT_WINDOW_MS
    assert admission.evaluate(request(at="s1")) is AdmissionResult.ACCEPTED
    loop.now += 1.0
    assert admission.evaluate(request(at="s1")) is AdmissionResult.MALFORMED


def test_after_close_every_valid_request_is_rejected_for_the_shutdown(admission):
    admission.close()
    assert admission.evaluate(request()) is AdmissionResult.SHUTTING_DOWN
    assert admission.evaluate(request(at="s1")) is AdmissionResult.SHUTTING_DOWN
