"""Retries: order of servers, safety, timeouts and throttling."""

import random

import pytest
from director_host import FakeHost, actions_of

from lotusroute.routing import events
from lotusroute.routing.events import RejectReason


def service_types(idempotency, dedup_scope=events.DedupScope.ALL):
    return {"live": events.ServiceType(300.0, idempotency, dedup_scope, 5000.0)}


def test_failed_connects_are_retried_on_each_server_once_and_then_answered_once():
    host = FakeHost()
    connect, attempted = host.request(), []
    while isinstance(connect, events.Connect):
        attempted.append(connect.server)
        actions = [
            a
            for a in host.end(connect, events.ConnectionResult.UNREACHABLE)
            if not isinstance(a, events.OutlierEjected)
        ]
        assert len(actions) == 1
        connect = actions[0]
    assert (
        connect == events.Reject(1, 1000.0, RejectReason.ATTEMPTS_EXHAUSTED)
        and len(set(attempted)) == len(attempted) == 4
    )
    assert host.end(events.Connect(1, attempted[-1]), events.ConnectionResult.TIMEOUT, True) == []


def test_a_timeout_at_the_deadline_is_answered_and_not_retried():
    host = FakeHost()
    connect = host.request()
    host.now += 1800.0
    actions = host.end(connect, events.ConnectionResult.TIMEOUT)
    assert actions_of(events.Connect, actions) == []
    assert actions[-1].reason == RejectReason.DEADLINE_PASSED
    assert host.director.state.flows == {}


def test_a_non_idempotent_flow_is_retried_only_if_it_never_ran():
    host = FakeHost(service_types=service_types(events.Idempotency.NON_IDEMPOTENT))
    second = actions_of(events.Connect, host.end(host.request(), events.ConnectionResult.FULL))[0]
    assert host.end(second, events.ConnectionResult.TIMEOUT) == [
        events.Abort(1, RejectReason.NO_SERVER_AVAILABLE)
    ]


def test_a_flow_with_an_idempotency_key_is_retried_only_in_its_scope_and_window():
    for dedup_scope in (events.DedupScope.ZONE, events.DedupScope.CELL):
        host = FakeHost(service_types=service_types(events.Idempotency.IDEMPOTENCY_KEY, dedup_scope))
        first = host.request()
        second = actions_of(events.Connect, host.end(first, events.ConnectionResult.RESET))[0]
        assert int(second.server[1:]) % 2 == int(first.server[1:]) % 2
        assert host.end(second, events.ConnectionResult.RESET)[-1] == events.Abort(
            1, RejectReason.NO_SERVER_AVAILABLE
        )
    host = FakeHost(service_types=service_types(events.Idempotency.IDEMPOTENCY_KEY))
    first = host.request()
    host.director.state.flows[1].request = host.director.state.flows[1].request._replace(deadline=9000.0)
    host.now = 5000.0
    assert host.end(first, events.ConnectionResult.RESET) == [
        events.Reject(1, 1000.0, RejectReason.NO_SERVER_AVAILABLE)
    ]


def test_a_flow_whose_idempotency_key_no_server_recognizes_is_not_retried():
    scope = events.DedupScope.NONE
    host = FakeHost(service_types=service_types(events.Idempotency.IDEMPOTENCY_KEY, scope))
    actions = host.end(host.request(), events.ConnectionResult.RESET)
    assert actions == [events.Abort(1, RejectReason.NO_SERVER_AVAILABLE)]


def test_connects_are_throttled_while_most_fail_on_all_servers():
    # A store that all servers share, such as a session store, cannot recover from an overload while every
    # flow is retried. Without throttling, an overloaded store got 36 attempts per flow and never recovered.
    host, connects = FakeHost(60, slow_start_duration=0.0), 0
    for index in range(60):
        answer = host.request(f"key-{index}")
        while isinstance(answer, events.Connect):
            connects += 1
            answer = host.end(answer, events.ConnectionResult.ERROR)[-1]
    assert connects <= 20
    host.advance(60_000.0)
    assert isinstance(host.request(), events.Connect)


def test_without_latency_reports_an_attempt_may_take_most_of_the_time_left():
    # If set-ups take 1.5 s on all servers, attempts with a timeout of 0.6 s fail everywhere, and their
    # retries would keep the set-ups slow.
    assert FakeHost(4).request().timeout == pytest.approx(0.8 * 1800.0)
    assert FakeHost(4, reports_latency=True).request().timeout == 600.0


def simulate_resetting_servers(seed):
    """Simulate 100 balancers, 520 clients and 20 servers; a server above 20 connections resets 7 of them.

    Returns the numbers of requests and resets, and the mean number of connections.
    """
    rng = random.Random(seed)
    hosts = [
        FakeHost(20, seed=instance, instance_count=100, instance_index=instance) for instance in range(100)
    ]
    established = {f"s{n}": [] for n in range(20)}
    due_requests = [(rng.random(), n, False) for n in range(520)]
    requests = resets = connections = 0
    for step in range(240):
        now = step * 0.05
        for host in hosts:
            host.now = now * 1000.0
            if not step % 20:
                host.advance(0.0)
                host.decide(events.TimerFired("tick"))
        next_due = []
        for due_at, client, reconnecting in due_requests:
            if due_at > now:
                next_due.append((due_at, client, reconnecting))
                continue
            host = rng.choice(hosts)
            requests += 1
            answer = host.request(f"key-{client}", reconnecting=reconnecting)
            if isinstance(answer, events.Reject):
                next_due.append((now + answer.retry_after / 1000.0, client, True))
                continue
            host.decide(events.Established(answer.id, answer.server))
            on_server = established[answer.server]
            on_server.append((host, answer, client))
            if len(on_server) > 20:
                for _ in range(7):
                    connected_host, connect, reset_client = on_server.pop(rng.randrange(len(on_server)))
                    connected_host.end(connect, events.ConnectionResult.RESET, final=True)
                    next_due.append((now + 0.1, reset_client, True))
                    resets += 1
        due_requests = next_due
        connections += sum(map(len, established.values()))
    return requests, resets, connections / 240


def test_most_clients_whose_connections_were_reset_are_rejected_until_there_is_capacity():
    # Overloaded servers reset connections, and clients that reconnect at once are connected and reset again.
    # On the sampled day join+mass=90019, 917 attempts were made from 9.5 to 12 s, ten per client, and 527 of
    # the connections were reset, after 0.3 s in the median. Without throttling, this simulation has 3,612
    # resets, each of which wastes a set-up.
    requests, resets, connections = simulate_resetting_servers(3)
    assert resets < 2_000 and connections > 300, (requests, resets, connections)
