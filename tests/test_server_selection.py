"""Server selection: spilling, reconnecting clients, and servers outside the preference order."""

from director_host import FakeHost

from lotusroute.routing import events


def test_an_overloaded_server_spills_and_flows_are_rejected_when_all_are_overloaded():
    host = FakeHost(2)
    first = host.request().server
    host.decide(events.LatencyReport(first, 500.0))
    assert host.request().server != first
    for server in ("s0", "s1"):
        host.decide(events.LatencyReport(server, 500.0))
    assert isinstance(host.request(), events.Reject)


def test_spilling_stops_after_four_servers():
    # Incidents i7b0290, ieafd3e: with unlimited spilling, groups were spread over the whole fleet, and every
    # server did work for every group.
    host = FakeHost(8, reports_latency=True)
    for _ in range(4):
        host.decide(events.LatencyReport(host.request().server, 500.0))
    assert isinstance(host.request(), events.Reject)


def test_spilling_is_shallower_while_the_fleet_is_overloaded():
    # Incidents i44d241, i60ba31: while every server was overloaded, groups that spilled overloaded the next
    # servers, too, since each of them has to do the work for the group.
    host = FakeHost(8, reports_latency=True)
    for server in list(host.director.state.servers.values())[:7]:
        server.overload.deprioritized_until = 90_000.0
        host.director.state.recently_overloaded[server.id] = server
    host.advance(1000.0)
    for _ in range(2):
        host.decide(events.LatencyReport(host.request().server, 500.0))
    assert isinstance(host.request(), events.Reject)


def test_reconnecting_clients_often_skip_a_server_to_which_the_balancer_has_no_connections():
    # If there are many balancers, such as 157, most have no connection to an overloaded server and so get no
    # latency report from it.
    host = FakeHost(8, instance_count=150, reports_latency=True)
    default = host.request().server
    host.end(events.Connect(1, default), events.ConnectionResult.OK, True)
    skipped = 0
    for _ in range(40):
        reconnect = host.request(reconnecting=True)
        skipped += reconnect.server != default
        host.end(reconnect, events.ConnectionResult.OK, True)
    assert 10 <= skipped <= 30
    host.establish(reconnecting=False)
    assert host.request(reconnecting=True).server == default


def test_forty_balancers_move_a_group_to_a_single_server_when_its_server_drains():
    # If the drain spread the group over several servers, it would cost work on each of them. When 16 groups
    # had 30 replicas after several servers had drained, this work cost as much as their connections, and two
    # of five servers were overloaded.
    fleet = [
        FakeHost(8, seed=index, groups_share_work=True, instance_count=40, instance_index=index)
        for index in range(40)
    ]
    connects = [host.establish(f"key-{index}", group="group") for index, host in enumerate(fleet)]
    draining = connects[0].server
    for host, connect in zip(fleet, connects, strict=True):
        host.update_endpoints(events.Server(draining, state=events.EndpointState.DRAINING))
        host.end(connect, events.ConnectionResult.CANCELLED, True)
        host.now += 500.0
    servers = {
        host.request(f"key-{39 - index}", "group", reconnecting=True).server
        for index, host in enumerate(fleet)
    }
    assert len(servers) == 1 and draining not in servers


def test_flows_are_sent_outside_their_preference_order_before_they_are_rejected():
    # If the first four servers of a flow's preference order are overloaded, the flow must not be rejected
    # while the four others are idle.
    host = FakeHost(8)
    for server in ("s0", "s1", "s2", "s3"):
        host.director.state.servers[server].overload.overloaded_until = host.now + 1e6
    assert host.establish_each(lambda _: 1.0, 200) == {events.Connect: 200}
