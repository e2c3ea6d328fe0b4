"""Slow start: admission to servers that warm up or recover."""

import random
from collections import Counter

import pytest
from director_host import KEYS, FakeHost, actions_of

from lotusroute.routing import events, slow_start


def test_a_storm_of_reconnecting_clients_is_admitted_by_slots():
    # i7b0290: 1,200 joins a second, each reset within half a second.
    host = FakeHost(1)
    for _ in range(10):
        host.establish()
        host.advance(1000.0)
    host.decide(events.LatencyReport("s0", 500.0))
    host.decide(events.LatencyReport("s0", 20.0))
    host.now += 1000.0
    answers = Counter(type(host.request(reconnecting=True)) for _ in range(100))
    assert answers[events.Connect] <= 2


def test_a_server_that_warms_up_gets_its_budget_over_all_balancers():
    # iab64fb: reconnecting clients counted as first arrivals, and a new server was overloaded.
    sent = Counter()
    for instance in range(3):
        host = FakeHost(2, instance_index=instance, instance_count=3)
        for _ in range(30):
            host.establish("warm")
            host.advance(500.0)
        host.now = 20_000.0
        host.update_endpoints(events.Server("s9", started=20_000.0))
        for index in range(400):
            host.now += 10.0
            sent[host.request(KEYS[index % 200], reconnecting=True).server] += 1
    # 6 arrivals a second over 3 servers: 4 s of a share from 0.2 to 0.36, times 3, is under 7 flows
    assert sent["s9"] <= 7
    host.now = 40_001.0
    assert any(host.request(key).server == "s9" for key in KEYS)


def test_flows_find_the_warmed_up_servers_of_a_fleet_that_has_grown():
    # i781c5a: 555 of 740 servers warmed up; 377 balancers waited for slots and rejected half of all flows.
    host = FakeHost(3, instance_count=377, instance_index=300)
    host.now = 1000.0
    host.update_endpoints(*(events.Server(f"c{index}", started=1000.0) for index in range(5)))
    answers = [host.request(key, reconnecting=index % 2 > 0) for index, key in enumerate(KEYS)]
    assert len(actions_of(events.Connect, answers)) == len(KEYS)
    sent = 0
    for instance in range(0, 377, 10):
        host = FakeHost(1, instance_count=377, instance_index=instance)
        for index in range(20):
            host.establish(f"key-{index}")
            host.advance(1000.0)
        host.update_endpoints(events.Server("cold", started=host.now))
        host.now += 3000.0
        sent += host.request(f"key-{instance}").server == "cold"
    assert 2 <= sent <= 19


def test_a_server_that_warms_up_gets_no_spilled_flow():
    # ibceb3c: all overloaded servers of 142 spilled a storm over 33 new ones, three of which failed.
    host = FakeHost(6, reports_latency=True)
    host.establish()
    host.advance(20_000.0)
    host.update_endpoints(events.Server("cold", started=host.now))
    host.now += 19_000.0
    for index in range(6):
        host.decide(events.LatencyReport(f"s{index}", 500.0))
    for key in KEYS:
        if host.default_server(key) != "cold":
            assert isinstance(host.request(key), events.Reject)


def test_a_recovering_server_still_gets_a_share_of_hundreds_of_flows_a_second():
    # One flow a slot of 3 s: a fleet that had one fault each served next to nothing.
    host = FakeHost(2)
    for _ in range(3):
        host.establish_each(lambda _: 1.0, 300, gap=2.0)
        host.advance(1000.0)
    for server in host.director.state.servers.values():
        slow_start.start_recovery(host.director.state, server)
    answers = host.establish_each(lambda _: 1.0, 300, gap=2.0)
    assert 50 <= answers[events.Connect] <= 290
    # 12 s of recovery outlasted a fault after which hundreds of set-ups in time had passed.
    assert host.establish_each(lambda _: 1.0, 100, gap=2.0) == {events.Connect: 100}


def admitted_by_94_balancers(size, reconnecting):
    """How many of 94 balancers with a flow every third second send one to a server in its fifth second."""
    sent = 0
    for instance in range(94):
        host = FakeHost(0, instance_count=94, instance_index=instance, reports_latency=True)
        host.now = 20_000.0
        host.update_endpoints(
            *(events.Server(f"s{index}", size=3.0) for index in range(3)), scope=events.ListScope.COMPLETE
        )
        state = host.director.state
        state.first_arrivals.mean = state.arrivals.mean = 0.35
        host.update_endpoints(events.Server("cold", size=size, started=host.now))
        host.now += 4_000.0
        key = next(key for key in KEYS if host.default_server(key) == "cold")
        sent += host.request(key, reconnecting=reconnecting).server == "cold"
    return sent


def test_one_of_many_balancers_sends_to_a_warming_server_by_its_slot_and_the_servers_size():
    # pasig-main big-1: none came before the fifth second, and each reconnecting client looked like a storm.
    assert 35 <= admitted_by_94_balancers(3.0, False) <= 65
    assert 20 <= admitted_by_94_balancers(3.0, True) < admitted_by_94_balancers(3.0, False)
    # d6-big: 25 connections of one group came to a small server within a second, and it failed.
    assert admitted_by_94_balancers(2.0, True) <= 0.6 * admitted_by_94_balancers(3.0, True)


def test_a_warming_server_that_many_flows_want_gets_its_even_share():
    # join+mass: the default of two large groups got 21 of 60 connects in 1.2 s and failed.
    host = FakeHost(48, instance_count=200, instance_index=0)
    for key in [key for key in KEYS if host.default_server(key) != "cold"][:5]:
        host.establish(key)
    host.update_endpoints(events.Server("cold", started=1.0))
    state = host.director.state
    new_server = state.servers["cold"]
    recent = state.recent_replicas
    recent.clear()
    away = [n for n in range(1024) if slow_start.warming_up_target(state, n, 0) is not new_server]
    home = [n for n in range(1024) if slow_start.warming_up_target(state, n, 0) is new_server]
    recent.extend((n, 0) for n in away[:3] + home[:1])
    # One of the four that it knows of.
    assert slow_start.even_share_factor(state, new_server) == pytest.approx(4 / 49)
    recent.extend((n, 0) for n in away[:59])
    # One of 63: less than its even share.
    assert slow_start.even_share_factor(state, new_server) == pytest.approx(63 / 49)
    recent.extend((n, 0) for n in home[:8])
    assert slow_start.even_share_factor(state, new_server) == pytest.approx(64 / 8 / 49)


def test_two_hundred_balancers_fill_a_warming_server_no_faster_than_it_warms_up():
    # herd+mass: seven in ten balancers were killed, their clients came back within 3 s to all others, each
    # of which gave every new server one flow a slot: one with 14% of its capacity got 31 and failed.
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
                host.update_endpoints(events.Server("cold", started=38_000.0))
            if (step + instance) % 5 == 0:
                sent += host.establish(f"key-{instance}-{step}").server == "cold"
    # Each has four at 48 servers: a warmed-up server bears 17, this one by the rule 3 x 14 to 33% of them.
    assert 3 <= sent <= 3 * 0.33 * 200 * 4 / 48


def storm(seed):
    """200 balancers with four connections each; 400 clients come back within 1.2 s, a tenth of one group.

    Returns how many connects reach that group's default server, 4 to 5.2 s old, by all paths: clients that
    reconnect, spills of overloaded servers, retries, migrations to the default server.
    """
    rng, hosts, connects = random.Random(seed), [], 0
    new_server = events.Server("cold", started=38_000.0)
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
        host.director.state.servers[f"s{rng.randrange(59)}"].recovering_until = now + 5_000.0
        actions = [host.request(str(now), group=group(), reconnecting=True)]
        if isinstance(actions[0], events.Connect) and rng.random() < 0.1:
            connects += actions[0].server == "cold"
            actions = host.end(actions[0], events.ConnectionResult.UNREACHABLE)
        connects += sum(connect.server == "cold" for connect in actions_of(events.Connect, actions))
        if rng.random() < 0.3:
            for action in actions_of(events.Migrate, host.decide(events.TimerFired("tick"))):
                host.end(events.Connect(action.id, ""), events.ConnectionResult.CANCELLED, final=True)
    return connects


def test_one_group_in_a_tenth_of_a_storm_does_not_overload_its_warming_server():
    # join+mass 91003: 18 of 60 servers drained at once, 294 clients came back within a second, 30 of them of
    # one group whose default was 4.5 s old. 200 balancers with four flows each admitted 18, and it failed.
    connects = [storm(seed) for seed in range(4)]
    # A mean server holds 13.3, filled in 24 s. The part of that in 2 s by the rule, at 0.31 of its capacity
    # where it begins with 0.14; up to twice that for one by chance, where servers were seen to fail.
    bears = 3 * 13.3 / 24 * 2 * 0.31 / 0.14
    assert 0 < sum(connects) / 4 <= bears and max(connects) <= 2 * bears, connects
