"""Outlier ejection of servers whose connections fail."""

from director_host import FakeHost, actions_of

from lotusroute.routing import events


def test_an_unreachable_server_is_ejected_for_some_seconds():
    host = FakeHost()
    unreachable = host.request().server
    host.end(events.Connect(1, unreachable), events.ConnectionResult.UNREACHABLE)
    assert host.request().server != unreachable
    host.now += 6001.0
    assert host.request().server == unreachable


def test_flows_are_still_connected_when_all_servers_are_ejected():
    host = FakeHost(2)
    first = host.request()
    host.end(
        actions_of(events.Connect, host.end(first, events.ConnectionResult.UNREACHABLE))[0],
        events.ConnectionResult.UNREACHABLE,
    )
    assert isinstance(host.request(), events.Connect)


def test_isolated_timeouts_among_many_set_ups_cause_no_rejections():
    # If set-up times have a long tail, even a healthy server causes an occasional timeout: one in 28 set-ups
    # if they usually take about 100 ms. If each of them limited the flows to the server, most flows would be
    # rejected, such as 889 of 1,254.
    host = FakeHost(2)
    for index in range(200):
        connect = host.request(f"key{index}")
        assert isinstance(connect, events.Connect)
        host.now += 5.0
        if index % 28 == 27:
            connect = actions_of(events.Connect, host.end(connect, events.ConnectionResult.TIMEOUT))[0]
        host.decide(events.Established(connect.id, connect.server))
