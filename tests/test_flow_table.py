"""The flow table: flows in flight, and the client ids that are in use."""

from unittest.mock import Mock

import pytest

from lotusroute.net.downstream.open_request import parse_open_request
from lotusroute.net.flows.table import CLOSED_FLOW_ID_TTL_MS, MAX_CLOSED_FLOW_IDS, FlowTable
from lotusroute.routing import events


@pytest.fixture
def table():
    return FlowTable(lambda: 0.0)


def add_flows(table, count):
    """Add flows with the ids `id0`, `id1` and so on, and return them."""
    requests = (parse_open_request(f"OPEN id{index} k c=live,d=900\r\n".encode()) for index in range(count))
    return [table.add(request, events.ServiceType(300.0), 900.0, Mock()) for request in requests]


def test_the_id_of_a_closed_flow_is_in_use_until_it_expires(table):
    (flow,) = add_flows(table, 1)
    table.remove(flow)
    table.expire_closed_ids(CLOSED_FLOW_ID_TTL_MS)
    assert table.is_id_in_use("id0") and not len(table)
    table.expire_closed_ids(CLOSED_FLOW_ID_TTL_MS + 1.0)
    assert not table.is_id_in_use("id0")


def test_the_oldest_ids_of_closed_flows_are_forgotten_beyond_the_limit(table):
    for flow in add_flows(table, MAX_CLOSED_FLOW_IDS + 1):
        table.remove(flow)
    table.expire_closed_ids(0.0)
    assert not table.is_id_in_use("id0") and table.is_id_in_use("id1")


def test_only_flows_whose_client_is_connected_count_as_established(table):
    # A client that has stopped sending still reads, so it can be asked to reconnect; one that is gone cannot.
    waiting, established, client_stopped_sending, client_gone = add_flows(table, 4)
    for flow in (established, client_stopped_sending, client_gone):
        flow.established = True
    for flow in (waiting, established, client_stopped_sending, client_gone):
        flow.downstream.disconnected = flow is client_gone
    client_stopped_sending.client_left_at = client_gone.client_left_at = 5.0
    assert table.established() == [established, client_stopped_sending] and waiting in table
