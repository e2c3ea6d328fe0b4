"""An event, a command or an endpoint that cannot be handled does not affect any other."""

import collections
import json
from unittest.mock import Mock, call

import pytest
from balancer_process import SETTINGS, Balancer
from fake_servers import FakeServer
from waiting import wait_until

from lotusroute.address import Address
from lotusroute.net.balancer import BalancerCore
from lotusroute.net.config import load_config
from lotusroute.net.discovery.client import Discovery
from lotusroute.net.discovery.endpoint_list import EndpointUpdate
from lotusroute.net.downstream.events import RequestReceived
from lotusroute.net.downstream.open_request import parse_open_request
from lotusroute.net.structured_log import Counters
from lotusroute.net.upstream.events import AttemptStage
from lotusroute.routing import events
from lotusroute.routing.director import Director


@pytest.fixture
def core(tmp_path):
    """Return a balancer's core without sockets; `core.loop.run_pending()` dispatches queued events."""
    file = tmp_path / "config.json"
    addresses = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"}
    file.write_text(json.dumps({"name": "n", **addresses, "settings": SETTINGS}))
    return BalancerCore(load_config({"LB_CONFIG": str(file)}), Counters())


def established_flow(core, number):
    """Return a flow in the table of `core` with mocks on both sides."""
    request = parse_open_request(f"OPEN id{number} k c=live,d=900\r\n".encode())
    flow = core.flow_table.add(request, events.ServiceType(300.0), 900.0, Mock())
    flow.established = True
    flow.upstream = Mock(server="s1", final_stage=AttemptStage.ESTABLISHED)
    return flow


def test_a_command_that_raises_ends_its_own_flow_and_the_other_commands_are_executed(core, monkeypatch):
    flows = [established_flow(core, number) for number in (1, 2)]
    upstreams = [flow.upstream for flow in flows]
    upstreams[0].close_after_migration.side_effect = OSError("closed")
    migrations = [events.Migrate(flow.number) for flow in flows]
    tick = events.TimerFired("tick")
    monkeypatch.setattr(Director, "decide", lambda _, now, event: migrations if event is tick else [])
    core.flow_manager.decide(tick)
    assert upstreams[1].close_after_migration.called and not upstreams[1].abort.called
    assert upstreams[0].abort.called and not len(core.flow_table)


def test_a_request_whose_handling_raises_before_its_flow_exists_is_answered_and_later_events_are_handled(
    core,
):
    failing, working = Mock(flow_number=0, disconnected=False), Mock(flow_number=0, disconnected=False)
    failing.has_disconnected.side_effect = OSError("closed")
    unknown = parse_open_request(b"OPEN id1 k c=unknown,d=900\r\n")
    working.has_disconnected.return_value = False
    core.serving_started()
    for downstream in (failing, working):
        core.enqueue(RequestReceived(downstream, unknown, core.clock()))
    core.loop.run_pending()
    assert failing.send_final_answer.call_args_list == [call(b"ERR")] and not failing.reject_malformed.called
    assert working.reject_malformed.called


def test_a_waiting_request_whose_handling_raises_does_not_affect_the_others(core):
    failing, working = Mock(flow_number=0, disconnected=False), Mock(flow_number=0, disconnected=False)
    failing.has_disconnected.side_effect = OSError("closed")
    working.has_disconnected.return_value = False
    unknown = parse_open_request(b"OPEN id1 k c=unknown,d=900\r\n")
    for downstream in (failing, working):
        core.enqueue(RequestReceived(downstream, unknown, core.clock()))
    core.loop.run_pending()
    assert not failing.has_disconnected.called and not working.has_disconnected.called
    core.serving_started()
    core.loop.run_pending()
    assert failing.send_final_answer.call_args_list == [call(b"ERR")] and not failing.reject_malformed.called
    assert working.reject_malformed.called


def test_an_endpoint_update_whose_handling_raises_makes_discovery_request_the_complete_list(core):
    discovery = Discovery(Address("127.0.0.1", 1), 41, 7, print, collections.Counter())
    core.request_complete_list = discovery.request_complete_list
    core.enqueue(EndpointUpdate(events.ListScope.CHANGES, (None,), {}))
    core.loop.run_pending()
    assert discovery.version is None


def test_one_malformed_endpoint_does_not_hide_a_drain_and_no_complete_list_is_requested():
    draining, ready = FakeServer("s0", b"UP one\r\n"), FakeServer("s1", b"UP two\r\n")
    with Balancer(draining, ready) as balancer:
        other = {**draining.entry(), "host": "s9"}
        malformed_fields = {"health": "odd"}, {"block": 1e999}, {"host": 0}
        for malformed in 7, {"host": "s9"}, *({**other, **field} for field in malformed_fields):
            balancer.discovery.entries = [malformed, draining.entry("DRAINING"), ready.entry()]
            balancer.discovery.seq += 1
            wait_until(lambda: balancer.discovery.polls[-1][1] == str(balancer.discovery.seq))
            assert {balancer.open_flow(str(index)).readline() for index in range(5)} == {b"UP two\r\n"}
        assert None not in [since for _, since in balancer.discovery.polls]
        log = balancer.terminate()
        assert log.count('event="malformed list entries" entries=1') == 5
