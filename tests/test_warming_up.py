"""Slow start: admission of flows to servers that warm up or recover."""

import random
from collections import Counter

import pytest
from director_host import KEYS, FakeHost, actions_of

from lotusroute.routing import events, slow_start


def test_a_storm_of_reconnecting_clients_is_admitted_by_slots():
    # Incident i7b0290: 1,200 clients per second reconnected, and each connection was reset within half a
    # second. A recovering server must not admit all of them.
    host = FakeHost(1)
    for _ in range(10):
        host.establish()
        host.advance(1000.0)
    host.decide(events.LatencyReport("s0", 500.0))
    host.decide(events.LatencyReport("s0", 20.0))
    host.now += 1000.0
    answers = Counter(type(host.request(reconnecting=True)) for _ in range(100))
    assert answers[events.Connect] <= 2


def test_a_server_that_warms_up_gets_no_more_than_its_budget_from_all_balancers():
    # Incident iab64fb: reconnecting clients counted as new ones. This raised the budget of a new server, and
    # the server was overloaded.
    sent = Counter()
    for instance in range(3):
        host = FakeHost(2, instance_index=instance, instance_count=3)
        for _ in range(30):
            host.establish("warm")
            host.advance(500.0)
        host.now = 20_000.0
        host.update_endpoints(events.Server("s9", started_at=20_000.0))
        for index in range(400):
            host.now += 10.0
            sent[host.request(KEYS[index % 200], reconnecting=True).server] += 1
    # The budget is a third of 6 arrivals per second, for 4 s, at 0.2 to 0.36 of the server's capacity, times
    # a burst of 3: under 7 flows.
    assert sent["s9"] <= 7
    host.now = 40_001.0
    assert any(host.request(key).server == "s9" for key in KEYS)


def test_flows_are_sent_to_the_warmed_up_servers_while_most_servers_warm_up():
    # Incident i781c5a: 555 of 740 servers warmed up at once. 377 balancers waited for their slots, which are
    # far apart with so many balancers, and rejected half of all flows.
    host = FakeHost(3, instance_count=377, instance_index=300)
    host.now = 1000.0
    host.update_endpoints(*(events.Server(f"c{index}", started_at=1000.0) for index in range(5)))
    answers = [host.request(key, reconnecting=index % 2 > 0) for index, key in enumerate(KEYS)]
    assert len(actions_of(events.Connect, answers)) == len(KEYS)
    sent = 0
    for instance in range(0, 377, 10):
        host = FakeHost(1, instance_count=377, instance_index=instance)
        for index in range(20):
            host.establish(f"key-{index}")
            host.advance(1000.0)
        host.update_endpoints(events.Server("cold", started_at=host.now))
        host.now += 3000.0
        sent += host.request(f"key-{instance}").server == "cold"
    assert 2 <= sent <= 19


def test_a_server_that_warms_up_gets_no_spilled_flow():
    # Incident ibceb3c: in a connection storm, all overloaded servers of a fleet of 142 spilled their flows to
    # 33 new servers, and three of these failed.
    host = FakeHost(6, reports_latency=True)
    host.establish()
    host.advance(20_000.0)
    host.update_endpoints(events.Server("cold", started_at=host.now))
    host.now += 19_000.0
    for index in range(6):
        host.decide(events.LatencyReport(f"s{index}", 500.0))
    for key in KEYS:
        if host.default_server(key) != "cold":
            assert isinstance(host.request(key), events.Reject)


def test_a_recovering_server_still_gets_a_share_of_hundreds_of_flows_a_second():
    # With a single flow per slot period of 3 s, a fleet whose servers have each had one fault would serve
    # next to nothing.
    host = FakeHost(2)
    for _ in range(3):
        host.establish_each(lambda _: 1.0, 300, gap=2.0)
        host.advance(1000.0)
    for server in host.director.state.servers.values():
        slow_start.start_recovery(host.director.state, server)
    answers = host.establish_each(lambda _: 1.0, 300, gap=2.0)
    assert 50 <= answers[events.Connect] <= 290
    # Timely set-ups end a recovery early, since its 12 s would outlast a fault after which hundreds of
    # set-ups have been timely.
    assert host.establish_each(lambda _: 1.0, 100, gap=2.0) == {events.Connect: 100}


def admitted_by_94_balancers(weight, reconnecting):
    """Return how many of 94 balancers send a flow to a server in the fifth second after its start.

    Each balancer has a flow every 3 s.
    """
    sent = 0
    for instance in range(94):
        host = FakeHost(0, instance_count=94, instance_index=instance, reports_latency=True)
        host.now = 20_000.0
        host.update_endpoints(
            *(events.Server(f"s{index}", weight=3.0) for index in range(3)), scope=events.ListScope.COMPLETE
        )
        state = host.director.state
        state.new_client_arrivals.mean = state.arrivals.mean = 0.35
        host.update_endpoints(events.Server("cold", weight=weight, started_at=host.now))
        host.now += 4_000.0
        key = next(key for key in KEYS if host.default_server(key) == "cold")
        sent += host.request(key, reconnecting=reconnecting).server == "cold"
    return sent


def test_many_balancers_send_to_a_warming_server_by_slots_that_depend_on_its_weight():
    # The server must not stay without flows until its fifth second, and a single reconnecting client must not
    # look like a connection storm to a balancer with few flows.
    assert 35 <= admitted_by_94_balancers(3.0, False) <= 65
    assert 20 <= admitted_by_94_balancers(3.0, True) < admitted_by_94_balancers(3.0, False)
    # A group causes the same load on any server, so a server with a smaller weight gets fewer flows: 25
    # connections of one group within a second make a small server fail.
    assert admitted_by_94_balancers(2.0, True) <= 0.6 * admitted_by_94_balancers(3.0, True)


def test_a_warming_server_that_many_flows_are_assigned_to_gets_its_even_share():
    # Otherwise the default server of two large groups could get 21 of 60 attempts within 1.2 s and fail.
    host = FakeHost(48, instance_count=200, instance_index=0)
    for key in [key for key in KEYS if host.default_server(key) != "cold"][:5]:
        host.establish(key)
    host.update_endpoints(events.Server("cold", started_at=1.0))
    state = host.director.state
    new_server = state.servers["cold"]
    recent = state.recent_replicas
    recent.clear()
    others = [n for n in range(1024) if slow_start.warming_up_target(state, n, 0) is not new_server]
    assigned = [n for n in range(1024) if slow_start.warming_up_target(state, n, 0) is new_server]
    recent.extend((n, 0) for n in others[:3] + assigned[:1])
    # One of four recent flows is assigned to the new server.
    assert slow_start.even_share_factor(state, new_server) == pytest.approx(4 / 49)
    recent.extend((n, 0) for n in others[:59])
    # One of 63, which is less than its even share.
    assert slow_start.even_share_factor(state, new_server) == pytest.approx(63 / 49)
    recent.extend((n, 0) for n in assigned[:8])
    assert slow_start.even_share_factor(state, new_server) == pytest.approx(64 / 8 / 49)


def test_two_hundred_balancers_load_a_warming_server_no_faster_than_it_warms_up():
    # If seven of ten balancers are killed, their clients reconnect to the others within 3 s. With one flow
    # per slot of each of these balancers, a new server with 14% of its capacity would get 31 flows and fail.
    hosts, sent = [], 0
    for instance in range(200):
        host = FakeHost(
            47,
            seed=instance,
            instance_count=200,
            instance_index=instance,
            slow_start_duration=24_000.0,
            slow_start_share=0.14,
        )
        for n in range(4 * (instance % 10 < 3)):
            host.establish(f"held-{instance}-{n}")
        hosts.append(host)
    for step in range(30):
        for instance, host in enumerate(hosts):
            host.now = 40_000.0 + 100.0 * step
            if not step:
                host.update_endpoints(events.Server("cold", started_at=38_000.0))
            if (step + instance) % 5 == 0:
                sent += host.establish(f"key-{instance}-{step}").server == "cold"
    # With four flows per balancer, each of the 48 servers holds 200 x 4 / 48, about 17, when it has warmed
    # up. The settings allow this one 3 times 14 to 33% of that.
    assert 3 <= sent <= 3 * 0.33 * 200 * 4 / 48


def connects_in_a_storm(seed):
    """Simulate 200 balancers and 400 clients, a tenth of them in one group, that reconnect within 1.2 s.

    Returns the number of attempts to that group's default server, which started 4 to 5.2 s before. They
    come from reconnecting clients, spilling, retries and migrations to the default server.
    """
    rng, hosts, connects = random.Random(seed), [], 0
    new_server = events.Server("cold", started_at=38_000.0)
    probe = FakeHost(59, groups_share_work=True)
    probe.update_endpoints(new_server)
    large_group = next(key for key in map(str, range(seed, 10_000)) if probe.default_server(key) == "cold")

    def group():
        return large_group if rng.random() < 0.1 else f"g{int(100 * rng.random() ** 2)}"

    for instance in range(200):
        host = FakeHost(
            59,
            seed=instance,
            instance_count=200,
            instance_index=instance,
            slow_start_duration=24_000.0,
            slow_start_share=0.14,
            groups_share_work=True,
        )
        host.now = 39_900.0
        for n in range(4):
            host.establish(f"held-{n}", group=group())
        host.update_endpoints(new_server)
        hosts.append(host)
    for now in sorted(42_000.0 + rng.random() * 1_200.0 for _ in range(400)):
        host = rng.choice(hosts)
        host.now = now
        host.director.state.servers[f"s{rng.randrange(59)}"].admission.recovering_until = now + 5_000.0
        actions = [host.request(str(now), group=group(), reconnecting=True)]
        if isinstance(actions[0], events.Connect) and rng.random() < 0.1:
            connects += actions[0].server == "cold"
            actions = host.end(actions[0], events.ConnectionResult.UNREACHABLE)
        connects += sum(connect.server == "cold" for connect in actions_of(events.Connect, actions))
        if rng.random() < 0.3:
            for action in actions_of(events.Migrate, host.decide(events.TimerFired("tick"))):
                host.end(events.Connect(action.id, ""), events.ConnectionResult.CANCELLED, final=True)
    return connects


def test_a_group_with_a_tenth_of_a_connection_storm_does_not_overload_its_warming_server():
    # On the sampled day join+mass=91003, 18 of 60 servers drained at once, and 294 clients reconnected within
    # a second. 30 of them belonged to one group, whose default server had started 4.5 s before. The 200
    # balancers, with four flows each, admitted 18 of them to this server, and it failed.
    connects = [connects_in_a_storm(seed) for seed in range(4)]
    # A server with the mean load holds 13.3 flows, and its warm-up takes 24 s. The limit is its share for
    # 2 s, times a burst of 3, at 0.31 of its capacity after it began with 0.14. A single run may by chance
    # reach twice that, which is the load at which servers fail.
    allowed = 3 * 13.3 / 24 * 2 * 0.31 / 0.14
    assert 0 < sum(connects) / 4 <= allowed and max(connects) <= 2 * allowed, connects
