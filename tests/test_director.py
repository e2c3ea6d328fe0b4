"""The director: endpoint lists, subscriptions, existing connections and unknown events."""

import pytest
from director_host import KEYS, SERVICE_CONFIG, FakeHost, actions_of

from lotusroute.routing import events, slow_start


def test_draining_servers_get_no_new_flows():
    host = FakeHost(2)
    host.update_endpoints(events.Server("s0", state=events.EndpointState.DRAINING))
    assert {host.request(key).server for key in KEYS} == {"s1"}


def test_without_servers_a_flow_is_rejected_at_once():
    assert FakeHost(0).request() == events.Reject(1, 1000.0, events.RejectReason.NO_SERVER_AVAILABLE)


def test_a_restarted_server_warms_up_again_and_is_no_longer_ejected():
    host = FakeHost()
    ejected = host.request().server
    host.end(events.Connect(1, ejected), events.ConnectionResult.UNREACHABLE)
    host.update_endpoints(events.Server(ejected, started_at=1.0))
    restarted = host.director.state.servers[ejected]
    assert restarted.failures.ejected_until == 0.0
    assert slow_start.warming_up(host.director.state, restarted)


def test_a_rejected_subscription_is_renewed_with_backoff():
    host = FakeHost(polls_discovery=True, config=SERVICE_CONFIG)
    host.decide(events.EndpointList(events.ListScope.REJECTED))
    subscriptions = [actions_of(events.Subscribe, host.advance(1000.0)) for _ in range(3)]
    assert sum(map(len, subscriptions)) == 1
    host.decide(events.EndpointList(events.ListScope.REJECTED))
    host.decide(events.EndpointList(events.ListScope.CHANGES))
    assert actions_of(events.Subscribe, host.advance(20_000.0)) == []


def test_existing_connections_are_counted_and_finished_flows_leave_no_state():
    host = FakeHost()
    host.decide(events.ExistingConnection(events.FlowRequest(900, "live", "t", None, "k", 0.0), "s1"))
    connects = [host.establish(key) for key in KEYS]
    assert 900 in host.director.state.servers["s1"].connections
    host.decide(events.ConnectionEnded(900, "s1", True, events.ConnectionResult.OK))
    for connect in connects[:100]:
        host.end(connect, events.ConnectionResult.OK, True)
    for connect in connects[100:]:
        host.decide(events.ClientDisconnected(connect.id))
    assert not host.director.state.flows and not host.director.state.flow_counts
    assert not any(server.connections for server in host.director.state.servers.values())


def test_an_event_of_an_unknown_type_raises_an_error():
    with pytest.raises(TypeError, match="unknown event"):
        FakeHost().decide(object())


def test_a_latency_report_of_an_unknown_server_is_ignored():
    assert FakeHost().decide(events.LatencyReport("gone", 500.0)) == []
