"""Short stories: one for each rule and each failure met."""

import random
from collections import Counter

import pytest
from harness import VIP, FakeHost, of

from lotusroute.routing import events, migration, segments, slow_start

KEYS = [f"key-{at}" for at in range(200)]


def kind(kind, group="all"):
    return {"live": events.ServiceType(300.0, kind, group, 5000.0)}


def test_two_balancers_share_defaults_and_a_lost_server_remaps_only_its_own():
    one, two = FakeHost(), FakeHost(instance_index=1)
    before = {key: one.ask(key).server for key in KEYS}
    assert before == {key: two.ask(key).server for key in KEYS}
    one.list(events.Server("s2", state=events.REMOVED))
    after = {key: one.ask(key).server for key in KEYS}
    assert all(after[key] == before[key] for key in KEYS if before[key] != "s2")
    assert "s2" in before.values() and "s2" not in after.values()


def test_a_small_group_stays_together_and_a_large_one_spreads_over_the_first_of_its_order():
    # graos-sul-later: a group with a tenth of all flows was sent to one of 80 servers.
    host = FakeHost(40, groups_share_work=True)
    for at in range(60):
        host.open(f"key-{at}", group=f"yard-{at}")
    assert len({host.open(key, group="silo").server for key in KEYS[:2]}) == 1
    port = [host.open(key, group="port").server for key in KEYS[:40]]
    assert 4 <= len(set(port)) <= 8 and len(set(port[:2])) == 1


def test_one_segment_a_check_leaves_the_busiest_and_mid_flow_keeps_the_default():
    host = FakeHost(2)
    mine = [key for key in KEYS if host.ask(key).server == "s0"]
    host = FakeHost(2, reports_latency=True)
    for key in mine[:20]:
        host.open(key)
    host.wait(15_000.0)
    moved = [key for key in mine if host.ask(key).server == "s1"]
    assert len(moved) == 1
    assert host.ask(moved[0], mid_flow=True).server == "s0"
    host.list(events.Server("s1", state=events.DRAINING))
    assert host.ask(moved[0]).server == "s0"


def test_where_no_server_says_it_is_slow_a_segment_may_move_each_second():
    # A day of 25 s on sockets: one server held 3 connections beside 20 on each other, four checks moved four.
    host = FakeHost(2)
    mine = [key for key in KEYS if host.ask(key).server == "s0"]
    host = FakeHost(2)
    for key in mine[:20]:
        host.open(key)
    host.wait(5_000.0 + 10_000.0)  # a new server is left alone for ten
    assert len([key for key in mine if host.ask(key).server == "s1"]) >= 4


def test_a_group_goes_on_where_its_standing_connections_are():
    # Groups stood on one server each, their defaults were others: each was soon paid for on two.
    host = FakeHost(groups_share_work=True)
    default = host.ask(group="yard").server
    other = next(server for server in ("s0", "s1", "s2") if server != default)
    host = FakeHost(groups_share_work=True)
    host.tell(events.ExistingConnection(events.Flow(99, "live", None, "yard", "k", 1800.0), other))
    assert host.ask(group="yard").server == other
    host.list(events.Server(other, state=events.DRAINING))
    assert host.ask(group="yard").server != other


def test_draining_servers_get_nothing_new():
    host = FakeHost(2)
    host.list(events.Server("s0", state=events.DRAINING))
    assert {host.ask(key).server for key in KEYS} == {"s1"}


def test_no_server_means_an_answer_at_once():
    assert FakeHost(0).ask() == events.Reject(1, 1000.0)


def test_failed_connects_go_down_the_order_one_at_a_time_then_get_one_answer():
    host = FakeHost()
    connect, seen = host.ask(), []
    while isinstance(connect, events.Connect):
        seen.append(connect.server)
        actions = [
            a for a in host.end(connect, events.UNREACHABLE) if not isinstance(a, events.OutlierEjected)
        ]
        assert len(actions) == 1
        connect = actions[0]
    assert connect == events.Reject(1, 1000.0) and len(set(seen)) == len(seen) == 4
    assert host.end(events.Connect(1, seen[-1]), events.TIMEOUT, True) == []


def test_a_time_out_at_the_connect_timeout_is_answered_and_not_tried_again():
    host = FakeHost()
    connect = host.ask()
    host.now += 1800.0
    assert of(events.Connect, host.end(connect, events.TIMEOUT)) == []
    assert host.director.state.flows == {}


def test_once_only_is_not_sent_twice_unless_it_never_ran():
    host = FakeHost(service_types=kind(events.NON_IDEMPOTENT))
    second = of(events.Connect, host.end(host.ask(), events.FULL))[0]
    assert host.end(second, events.TIMEOUT) == [events.Abort(1)]


def test_referenced_goes_again_only_where_and_while_repeats_are_known():
    for group in ("zone", "cell"):
        host = FakeHost(service_types=kind(events.IDEMPOTENCY_KEY, group))
        first = host.ask()
        second = of(events.Connect, host.end(first, events.RESET))[0]
        assert int(second.server[1:]) % 2 == int(first.server[1:]) % 2
        assert host.end(second, events.RESET)[-1] == events.Abort(1)
    host = FakeHost(service_types=kind(events.IDEMPOTENCY_KEY))
    first = host.ask()
    host.director.state.flows[1].request = host.director.state.flows[1].request._replace(deadline=9000.0)
    host.now = 5000.0
    assert host.end(first, events.RESET) == [events.Reject(1, 1000.0)]


def test_silent_death_sets_a_server_aside_and_it_returns():
    host = FakeHost()
    dead = host.ask().server
    host.end(events.Connect(1, dead), events.UNREACHABLE)
    assert host.ask().server != dead
    host.now += 6001.0
    assert host.ask().server == dead


def test_when_all_are_set_aside_flows_still_go_somewhere():
    host = FakeHost(2)
    first = host.ask()
    host.end(of(events.Connect, host.end(first, events.UNREACHABLE))[0], events.UNREACHABLE)
    assert isinstance(host.ask(), events.Connect)


def test_a_jammed_server_spills_and_all_jammed_reject():
    host = FakeHost(2)
    first = host.ask().server
    host.tell(events.LatencyReport(first, 500.0))
    assert host.ask().server != first
    for server in ("s0", "s1"):
        host.tell(events.LatencyReport(server, 500.0))
    assert isinstance(host.ask(), events.Reject)


def test_spilling_stops_after_four_servers():
    # i7b0290 and ieafd3e: groups scattered over the fleet, and every server paid for every group.
    host = FakeHost(8, reports_latency=True)
    for _ in range(4):
        host.tell(events.LatencyReport(host.ask().server, 500.0))
    assert isinstance(host.ask(), events.Reject)


def test_spilling_is_shallower_while_the_fleet_is_jammed():
    # i44d241, i60ba31: with every server jammed, spilled groups jammed the next ones.
    host = FakeHost(8, reports_latency=True)
    for server in list(host.director.state.servers.values())[:7]:
        server.deprioritized_until = 90_000.0
        host.director.state.recently_overloaded[server.id] = server
    host.wait(1000.0)
    for _ in range(2):
        host.tell(events.LatencyReport(host.ask().server, 500.0))
    assert isinstance(host.ask(), events.Reject)


def test_a_crowd_of_returning_clients_is_let_in_by_turns():
    # i7b0290: 1,200 joins a second, each reset within half a second.
    host = FakeHost(1)
    for _ in range(10):
        host.open()
        host.wait(1000.0)
    host.tell(events.LatencyReport("s0", 500.0))
    host.tell(events.LatencyReport("s0", 20.0))
    host.now += 1000.0
    answers = Counter(type(host.ask(reconnecting=True)) for _ in range(100))
    assert answers[events.Connect] <= 2


def test_an_overdriven_server_sheds_its_heaviest_once_in_two_seconds():
    host = FakeHost(2, reports_latency=True)
    server = host.open().server
    heavy = [host.open() for _ in range(9)][4]
    host.tell(events.LoadReport(heavy.id, 900.0))
    host.tell(events.LatencyReport(server, 500.0))
    moves = of(events.Migrate, host.wait(2000.0))
    assert 1 <= len(moves) <= 3 and moves[0] == events.Migrate(heavy.id)


def test_a_cold_server_gets_its_budget_over_all_balancers():
    # iab64fb: returning clients counted as arrivals, and a fresh server was pushed over.
    sent = Counter()
    for me in range(3):
        host = FakeHost(2, instance_index=me, instance_count=3)
        for _ in range(30):
            host.open("warm")
            host.wait(500.0)
        host.now = 20_000.0
        host.list(events.Server("s9", started=20_000.0))
        for at in range(400):
            host.now += 10.0
            sent[host.ask(KEYS[at % 200], reconnecting=True).server] += 1
    # 6 arrivals a second over 3 servers: 4 s of a share from 0.2 to 0.36, times 3, is under 7 flows
    assert sent["s9"] <= 7
    host.now = 40_001.0
    assert any(host.ask(key).server == "s9" for key in KEYS)


def test_a_returned_server_is_cold_again_and_starts_with_a_clean_name():
    host = FakeHost()
    dead = host.ask().server
    host.end(events.Connect(1, dead), events.UNREACHABLE)
    host.list(events.Server(dead, started=1.0))
    known = host.director.state.servers[dead]
    assert known.ejected_until == 0.0 and slow_start.warming_up(host.director.state, known)


def test_a_broken_subscription_is_renewed_with_back_off():
    host = FakeHost(polls_discovery=True, vip=VIP)
    host.tell(events.EndpointList(events.REFUSED))
    asked = [of(events.Subscribe, host.wait(1000.0)) for _ in range(3)]
    assert sum(map(len, asked)) == 1
    host.tell(events.EndpointList(events.REFUSED))
    host.tell(events.EndpointList(events.CHANGES))
    assert of(events.Subscribe, host.wait(20_000.0)) == []


def test_open_connections_at_the_start_are_counted_and_tables_empty_again():
    host = FakeHost()
    host.tell(events.ExistingConnection(events.Flow(900, "live", "t", None, "k", 0.0), "s1"))
    connects = [host.open(key) for key in KEYS]
    assert 900 in host.director.state.servers["s1"].connections
    host.tell(events.ConnectionEnded(900, "s1", True, events.OK))
    for connect in connects[:100]:
        host.end(connect, events.OK, True)
    for connect in connects[100:]:
        host.tell(events.ClientDisconnected(connect.id))
    assert not host.director.state.flows and not host.director.state.flow_counts
    assert not any(h.connections for h in host.director.state.servers.values())


def test_returning_clients_pass_by_a_server_of_which_nothing_is_known():
    # zanella-serra-later big-1: 157 balancers, of which most never heard that a server was jammed.
    host = FakeHost(8, instance_count=150, reports_latency=True)
    default = host.ask().server
    host.end(events.Connect(1, default), events.OK, True)
    passed = 0
    for _ in range(40):
        back = host.ask(reconnecting=True)
        passed += back.server != default
        host.end(back, events.OK, True)
    assert 10 <= passed <= 30
    host.open(reconnecting=False)
    assert host.ask(reconnecting=True).server == default


def test_forty_balancers_that_hold_next_to_nothing_keep_a_group_whole_when_its_server_drains():
    # join+vast: 16 groups stood on 30 servers' places after the first wave of drains, which cost as much as
    # their connections, and two servers of five were overdriven.
    fleet = [
        FakeHost(8, seed=at, groups_share_work=True, instance_count=40, instance_index=at) for at in range(40)
    ]
    connects = [host.open(f"key-{at}", group="yard") for at, host in enumerate(fleet)]
    left = connects[0].server
    for host, connect in zip(fleet, connects, strict=True):
        host.list(events.Server(left, state=events.DRAINING))
        host.end(connect, events.CANCELLED, True)
        host.now += 500.0
    back = {host.ask(f"key-{39 - at}", "yard", reconnecting=True).server for at, host in enumerate(fleet)}
    assert len(back) == 1 and left not in back


def test_connections_come_home_to_a_server_that_joins_the_sooner_the_warmer_it_is():
    # join+vast: seven servers of twelve were replaced; five old ones held everything, two were overdriven.
    fleet = [
        FakeHost(4, seed=at, instance_count=40, instance_index=at, groups_share_work=True) for at in range(40)
    ]
    groups = [f"g{at}" for at in range(10)]
    for host in fleet:
        connects = {host.open(f"k{at}", group=group).id: group for at, group in enumerate(groups)}
        host.list(events.Server("new", started=host.now + 1.0))
    homes = {group for group in groups if fleet[0].default(group) == "new"}
    assert 1 <= len(homes) <= 5
    early, late = ([of(events.Migrate, host.wait(ms)) for host in fleet] for ms in (5_000.0, 15_000.0))
    moved = [connects[move.id] for moves in early + late for move in moves]
    assert set(moved) == homes and len(moved) > 0.8 * 40 * len(homes)
    # Not as a crowd: under two in five of them in the first five seconds.
    assert 0 < sum(map(len, early)) < 0.4 * 40 * len(homes)


def test_none_is_moved_home_to_a_cold_server_that_would_not_let_it_in():
    # roll+mass: while many came back, clients were moved home, not let in, placed elsewhere, moved again.
    moves = {}
    for crowd in 0, 40:
        fleet = [FakeHost(4, seed=at, instance_count=200, instance_index=at) for at in range(200)]
        for host in fleet:
            key = next(key for key in KEYS if host.default(key) == "s1")
            host.list(events.Server("s1", state=events.DRAINING))
            host.open(key)
            host.list(events.Server("s1", started=host.now + 1.0))
            recent = host.director.state.recent_arrivals
            recent.value, recent.updated_at = 1.0 + crowd, 1_000.0
        moves[crowd] = sum(len(of(events.Migrate, host.wait(4_000.0))) for host in fleet)
    assert 0 < 3 * moves[40] < moves[0]


def test_the_quick_order_of_a_large_fleet_is_the_whole_one():
    # i781c5a: ranking 185 servers for each segment after each list took five times the CPU allowed.
    host, dice = FakeHost(0), random.Random(5)
    host.list(*(events.Server(f"s{at}", size=dice.choice((0.7, 1.0, 2.0))) for at in range(90)))
    fleet = host.director.state
    quick = [segments.preference_order(fleet, segment) for segment in range(200)]
    fleet.preference_orders.clear()
    fleet.total_size = 1e-9  # no server is left out now
    assert quick == [segments.preference_order(fleet, segment) for segment in range(200)]
    assert all(len(set(map(id, order))) == 8 for order in quick)


def test_a_lone_connection_on_a_jammed_server_moves_sooner():
    # zanella-serra-later big-1: servers stayed jammed all day, 15% of one connection is one in 13 s.
    moved = 0
    for at in range(40):
        host = FakeHost(2)
        host.director.state.rng.seed(at)
        host.tell(events.LatencyReport(host.open().server, 500.0))
        moved += len(of(events.Migrate, host.wait(2000.0)))
    assert 12 <= moved <= 28


def test_where_most_connects_fail_everywhere_few_are_made():
    # zanella-serra-later: a jammed session store got 36 connects a flow and never recovered.
    host, connects = FakeHost(60, slow_start_duration=0.0), 0
    for at in range(60):
        answer = host.ask(f"key-{at}")
        while isinstance(answer, events.Connect):
            connects += 1
            answer = host.end(answer, events.ERROR)[-1]
    assert connects <= 20
    host.wait(60_000.0)
    assert isinstance(host.ask(), events.Connect)


def test_where_a_fleet_has_grown_cold_flows_find_the_warm_servers():
    # i781c5a: of 740 servers 555 were cold; 377 balancers waited for turns and refused half of all flows.
    host = FakeHost(3, instance_count=377, instance_index=300)
    host.now = 1000.0
    host.list(*(events.Server(f"c{at}", started=1000.0) for at in range(5)))
    answers = [host.ask(key, reconnecting=at % 2 > 0) for at, key in enumerate(KEYS)]
    assert len(of(events.Connect, answers)) == len(KEYS)
    sent = 0
    for me in range(0, 377, 10):
        host = FakeHost(1, instance_count=377, instance_index=me)
        for at in range(20):
            host.open(f"key-{at}")
            host.wait(1000.0)
        host.list(events.Server("cold", started=host.now))
        host.now += 3000.0
        sent += host.ask(f"key-{me}").server == "cold"
    assert 2 <= sent <= 19


def test_a_cold_server_gets_no_spilled_flow():
    # ibceb3c: all jammed servers of 142 spilled a crowd over 33 cold ones, three of which fell over.
    host = FakeHost(6, reports_latency=True)
    host.open()
    host.wait(20_000.0)
    host.list(events.Server("cold", started=host.now))
    host.now += 19_000.0
    for at in range(6):
        host.tell(events.LatencyReport(f"s{at}", 500.0))
    for key in KEYS:
        if host.default(key) != "cold":
            assert isinstance(host.ask(key), events.Reject)


def test_a_server_whose_set_ups_take_far_longer_than_the_others_is_overdriven():
    # Sockets, one slow server: nothing else told of it, and its clients were ill served for 15 s.
    host = FakeHost()

    def open_in(ms, key):
        connect = host.ask(key)
        host.now += ms(connect.server)
        host.tell(events.Established(connect.id, connect.server))
        return connect.server

    slow = host.ask().server
    for key in KEYS[:40]:
        open_in(lambda server: 20.0, key)
    seen = {open_in(lambda server: 90.0 if server == slow else 20.0, key) for key in KEYS[:40]}
    assert slow in seen and slow not in {host.ask(key).server for key in KEYS[:20]}
    assert of(events.Migrate, host.wait(2000.0))
    host.now += 30_000.0
    for key in KEYS:  # a crowd slows all alike; the first two of it may look like overdriven servers
        open_in(lambda server: 200.0, key)
        assert sum(known.overloaded_until > host.now for known in host.director.state.servers.values()) <= 2
    for ms in (20.0, 20.0, 80.0):  # all but one are slow: their median told nothing of them
        host.now += 30_000.0
        for key in KEYS[:60]:
            open_in(lambda server, ms=ms: 20.0 if server == slow else ms, key)
    assert [known.deprioritized_until > host.now for known in host.director.state.servers.values()].count(
        True
    ) == 3


def test_on_sockets_the_largest_group_leaves_a_hot_server_whole_and_goes_to_the_idlest():
    # The heaviest connections left, whatever their group: three groups on one server became twelve on four.
    host = FakeHost(3, groups_share_work=True)
    lies = {}
    for at in range(30):
        lies.setdefault(host.ask(group=f"g{at}").server, []).append(f"g{at}")
    busy, idle, other = sorted(lies)
    host = FakeHost(3, groups_share_work=True)
    large = [host.open(str(at), group=lies[busy][0]).id for at in range(4)]
    lone = host.open("k", group=lies[busy][1])
    host.open("k", group=lies[other][0])
    host.tell(events.LoadReport(lone.id, 9_000_000.0))
    host.tell(events.LatencyReport(busy, 900.0))
    moved = [move.id for move in of(events.Migrate, host.wait(2000.0))]
    assert moved and set(moved) <= set(large)
    assert host.ask(group=lies[busy][0]).server == idle


def test_on_sockets_a_server_of_the_first_list_is_not_new_and_takes_a_segment_at_once():
    # One stood idle for ten seconds beside one with 29 connections; where servers tell, they are left alone.
    for tells, taken in (False, True), (True, False):
        host = FakeHost(2)
        mine = [key for key in KEYS if host.ask(key).server == "s0"]
        host = FakeHost(2, reports_latency=tells)
        for key in mine[:20]:
            host.open(key)
        host.wait(5_000.0)
        assert any(host.ask(key).server == "s1" for key in mine) == taken


def set_ups(host, draw, flows, gap=5.0):
    """Open flows one after the other, each set up after `draw(server)` ms and left at once; the answers."""
    answers = Counter()
    for at in range(flows):
        action = host.ask(f"key{at}")
        answers[type(action)] += 1
        if isinstance(action, events.Connect):
            host.now += draw(action.server)
            host.tell(events.Established(action.id, action.server))
            host.end(action, events.OK, final=True)
        host.now += gap
    return answers


@pytest.mark.parametrize("servers", [1, 2, 8, 40])
@pytest.mark.parametrize(
    "draw",
    [
        lambda chance: chance.uniform(1.0, 8.0),
        lambda chance: 5 * min(5.0, chance.lognormvariate(0, 1)),
        lambda chance: 100 * min(5.0, chance.lognormvariate(0, 1)),
        lambda chance: 20.0,
    ],
)
def test_a_healthy_fleet_refuses_nobody_whatever_its_set_ups(servers, draw):
    # Eight idle servers, set-ups of 1 to 8 ms: 2,247 of 4,000 flows were refused.
    host, chance = FakeHost(servers), random.Random(3)
    assert set_ups(host, lambda _: draw(chance), 400) == {events.Connect: 400}


def test_standing_connections_of_a_healthy_fleet_are_left_where_they_are():
    # 1,000 opened on idle servers: 123 sent away within seconds.
    host, chance, moves = FakeHost(8), random.Random(5), []
    for at in range(600):
        connect = host.ask(f"key{at}")
        host.now += chance.uniform(1.0, 8.0)
        host.tell(events.Established(connect.id, connect.server))
        moves += of(events.Migrate, host.wait(1000.0) if not at % 100 else [])
    assert not moves


def test_an_older_machine_that_is_three_times_slower_keeps_its_clients_and_none_is_refused():
    host, moves = FakeHost(8), []
    for at in range(200):
        connect = host.ask(f"key{at}")
        assert isinstance(connect, events.Connect)
        host.now += 3.0 if connect.server == "s0" else 1.0
        host.tell(events.Established(connect.id, connect.server))
        moves += of(events.Migrate, host.wait(1000.0) if not at % 50 else [])
    assert not moves


def test_a_server_ten_times_slower_is_passed_by_though_its_set_ups_are_short():
    host = FakeHost(8)
    set_ups(host, lambda _: 1.0, 200)
    slow = host.ask("key1").server
    answers = set_ups(host, lambda server: 10.0 if server == slow else 1.0, 120)
    assert answers == {events.Connect: 120} and slow not in {host.ask(f"key{at}").server for at in range(60)}


def test_a_stall_of_ours_amid_many_set_ups_is_no_servers_fault():
    host = FakeHost(8)
    set_ups(host, lambda _: 1.0, 200)
    flying = [host.ask(f"key{at}") for at in range(100)]
    host.now += 50.0
    for connect in flying:
        host.tell(events.Established(connect.id, connect.server))
    assert all(isinstance(host.ask(f"key{at}"), events.Connect) for at in range(100))
    assert not of(events.Migrate, host.wait(3000.0))


def test_one_connect_too_slow_among_many_that_stood_paces_nobody():
    # Heavy-tailed set-ups of 100 ms: one in 28 timed out, and 889 of 1,254 flows were refused.
    host = FakeHost(2)
    for at in range(200):
        connect = host.ask(f"key{at}")
        assert isinstance(connect, events.Connect)
        host.now += 5.0
        if at % 28 == 27:
            connect = of(events.Connect, host.end(connect, events.TIMEOUT))[0]
        host.tell(events.Established(connect.id, connect.server))


def test_a_server_that_must_be_paced_still_gets_a_share_of_hundreds_of_flows_a_second():
    # One flow a turn of 3 s: a fleet that had one trouble each served next to nothing.
    host = FakeHost(2)
    for _ in range(3):
        set_ups(host, lambda _: 1.0, 300, gap=2.0)
        host.wait(1000.0)
    for server in host.director.state.servers.values():
        slow_start.start_recovery(host.director.state, server)
    answers = set_ups(host, lambda _: 1.0, 300, gap=2.0)
    assert 50 <= answers[events.Connect] <= 290
    # 12 s of pacing outlasted a trouble over which hundreds of set-ups in time had passed.
    assert set_ups(host, lambda _: 1.0, 100, gap=2.0) == {events.Connect: 100}


def test_flows_go_beside_their_segments_order_before_they_are_refused():
    # Four of eight dead: flows whose four they were got BUSY beside four idle servers.
    host = FakeHost(8)
    for server in ("s0", "s1", "s2", "s3"):
        host.director.state.servers[server].overloaded_until = host.now + 1e6
    assert set_ups(host, lambda _: 1.0, 200) == {events.Connect: 200}


def test_a_server_is_slow_from_a_third_of_the_message_target_and_late_from_all_of_it():
    # kranj-works quiet: 28 ms counted as well again beside a target of 50, messages were late for 13 s.
    host = FakeHost(2, reports_latency=True, latency_objective=60.0)
    slow = host.ask().server
    host.tell(events.LatencyReport(slow, 28.0))
    assert {host.ask(key).server for key in KEYS} == {"s0", "s1"} - {slow}
    other = ({"s0", "s1"} - {slow}).pop()
    host.tell(events.LatencyReport(other, 90.0))
    assert host.ask().server == slow  # slow ones still serve before a flow is refused
    host.tell(events.LatencyReport(slow, 90.0))
    assert isinstance(host.ask(), events.Reject)


def test_a_server_that_is_well_again_is_passed_by_until_what_filled_it_has_left():
    # pasig-main quiet: one server jammed eight times in 45 s, its clients came back at once.
    host = FakeHost(2, reports_latency=True, latency_objective=60.0)
    slow = host.ask().server
    host.tell(events.LatencyReport(slow, 28.0))
    host.tell(events.LatencyReport(slow, 5.0))
    host.now += 15_000.0
    assert host.ask().server != slow
    host.now += 6_000.0
    assert host.ask().server == slow


def test_of_lone_connections_as_many_leave_as_messages_are_late():
    # kranj-works quiet: each of 16 balancers moved its only connection with a chance of a half.
    moved = Counter()
    for at in range(200):
        host = FakeHost(2, reports_latency=True, latency_objective=60.0)
        host.director.state.rng.seed(at)
        delay = (65.0, 600.0)[at % 2]
        host.tell(events.LatencyReport(host.open().server, delay))
        moved[delay] += len(of(events.Migrate, host.wait(2000.0)))
    assert moved[65.0] <= 30 < 35 <= moved[600.0] <= 65


def test_a_server_of_twice_the_size_gets_four_times_the_segments():
    # pasig-main quiet: two-core servers jammed under 3 connections while larger ones stood empty.
    host = FakeHost(0)
    host.list(*(events.Server(f"s{at}", size=2.0 + 2.0 * (at < 4)) for at in range(8)))
    got = Counter(host.ask(f"key-{at}").server in ("s0", "s1", "s2", "s3") for at in range(1000))
    assert 720 <= got[True] <= 880


def _let_in(size, returned):
    """How many of 94 balancers with a flow every third second send one to a cold server in its fifth."""
    sent = 0
    for me in range(94):
        host = FakeHost(0, instance_count=94, instance_index=me, reports_latency=True)
        host.now = 20_000.0
        host.list(*(events.Server(f"s{at}", size=3.0) for at in range(3)), scope=events.COMPLETE)
        state = host.director.state
        state.first_arrivals.mean = state.arrivals.mean = 0.35
        host.list(events.Server("cold", size=size, started=host.now))
        host.now += 4_000.0
        key = next(key for key in KEYS if host.default(key) == "cold")
        sent += host.ask(key, reconnecting=returned).server == "cold"
    return sent


def test_a_balancer_of_many_sends_to_a_cold_server_by_its_turn_and_size():
    # pasig-main big-1: none came before the fifth second, and each returning client looked like a crowd.
    assert 35 <= _let_in(3.0, False) <= 65
    assert 20 <= _let_in(3.0, True) < _let_in(3.0, False)
    # d6-big: 25 connections of one group came to a small server within a second, and it fell over.
    assert _let_in(2.0, True) <= 0.6 * _let_in(3.0, True)


def test_a_cold_server_that_many_want_gets_its_even_share_of_what_wants_it():
    # join+mass: one that was home to two large groups got 21 of 60 connects in 1.2 s and fell over.
    host = FakeHost(48, instance_count=200, instance_index=0)
    for key in [key for key in KEYS if host.default(key) != "cold"][:5]:
        host.open(key)
    host.list(events.Server("cold", started=1.0))
    cold = host.director.state.servers["cold"]
    spots = host.director.state.recent_replicas
    spots.clear()
    away = [n for n in range(1024) if slow_start.warming_up_target(host.director.state, n, 0) is not cold]
    home = [n for n in range(1024) if slow_start.warming_up_target(host.director.state, n, 0) is cold]
    spots.extend((n, 0) for n in away[:3] + home[:1])
    assert slow_start.even_share_factor(host.director.state, cold) == pytest.approx(
        4 / 49
    )  # one of the four that it knows of
    spots.extend((n, 0) for n in away[:59])
    assert slow_start.even_share_factor(host.director.state, cold) == pytest.approx(
        63 / 49
    )  # one of 63: less than its even share
    spots.extend((n, 0) for n in home[:8])
    assert slow_start.even_share_factor(host.director.state, cold) == pytest.approx(64 / 8 / 49)


def test_an_accepted_connect_is_waited_for_where_no_server_says_that_it_is_slow():
    # join+mass: set-ups of 1.5 s everywhere were given up after 0.6 s and called again, which kept them so.
    assert FakeHost(4).ask().within == pytest.approx(0.8 * 1800.0)
    assert FakeHost(4, reports_latency=True).ask().within == 600.0


def test_two_hundred_balancers_together_fill_a_cold_server_no_faster_than_it_warms():
    # herd+mass: seven in ten balancers were killed, their clients came back within 3 s to all others, each
    # balancer of which gave every new server one flow a turn: one 14% warm got 31 and fell over.
    hosts, sent = [], 0
    for me in range(200):
        host = FakeHost(
            47,
            seed=me,
            instance_count=200,
            instance_index=me,
            slow_start_duration=24_000.0,
            slow_start_share=0.14,
        )
        for n in range(4 * (me % 10 < 3)):
            host.open(f"held-{me}-{n}")
        hosts.append(host)
    for step in range(30):
        for me, host in enumerate(hosts):
            host.now = 40_000.0 + 100.0 * step
            if not step:
                host.list(events.Server("cold", started=38_000.0))
            if (step + me) % 5 == 0:
                sent += host.open(f"key-{me}-{step}").server == "cold"
    # Each holds four at 48 servers: a warm server bears 17, this one by the rule 3 x 14 to 33% of them.
    assert 3 <= sent <= 3 * 0.33 * 200 * 4 / 48


def _crowd(seed):
    """200 balancers that hold four each; 400 clients come back within 1.2 s, a tenth of them of one group.

    Returns how many connects reach that group's home, 4 to 5.2 s old, by all paths: clients that return,
    spills of jammed servers, second tries, clients that are moved home.
    """
    draw, hosts, came = random.Random(seed), [], 0
    cold = events.Server("cold", started=38_000.0)
    probe = FakeHost(59, groups_share_work=True)
    probe.list(cold)
    hot = next(key for key in map(str, range(seed, 10_000)) if probe.default(key) == "cold")

    def group():
        return hot if draw.random() < 0.1 else f"g{int(100 * draw.random() ** 2)}"

    for me in range(200):
        host = FakeHost(
            59,
            seed=me,
            instance_count=200,
            instance_index=me,
            slow_start_duration=24_000.0,
            slow_start_share=0.14,
            groups_share_work=True,
        )
        host.now = 39_900.0
        for n in range(4):
            host.open(f"held-{n}", group=group())
        host.list(cold)
        hosts.append(host)
    for at in sorted(42_000.0 + draw.random() * 1_200.0 for _ in range(400)):
        host = draw.choice(hosts)
        host.now = at
        host.director.state.servers[f"s{draw.randrange(59)}"].recovering_until = at + 5_000.0
        actions = [host.ask(str(at), group=group(), reconnecting=True)]
        if isinstance(actions[0], events.Connect) and draw.random() < 0.1:
            came += actions[0].server == "cold"
            actions = host.end(actions[0], events.UNREACHABLE)
        came += sum(connect.server == "cold" for connect in of(events.Connect, actions))
        if draw.random() < 0.3:
            for move in of(events.Migrate, host.tell(events.TimerFired("tick"))):
                host.end(events.Connect(move.id, ""), events.CANCELLED, final=True)
    return came


def test_a_tenth_of_a_crowd_that_is_one_group_does_not_push_its_cold_server_over():
    # join+mass 91003: 18 of 60 servers drained at once, 294 clients came back within a second, 30 of them of
    # one group whose home was 4.5 s old. 200 balancers that held four each let 18 in, and it fell over.
    came = [_crowd(seed) for seed in range(4)]
    # A mean server holds 13.3, filled in 24 s. The part of that in 2 s by the rule, at 0.31 of its capacity
    # where it begins with 0.14; up to twice that for one by chance, where servers were seen to fall over.
    bears = 3 * 13.3 / 24 * 2 * 0.31 / 0.14
    assert 0 < sum(came) / 4 <= bears and max(came) <= 2 * bears, came


def _jam(seed):
    """A hundred balancers, 20 servers that cut a third of what they hold once it is over 20, 520 clients."""
    draw = random.Random(seed)
    hosts = [FakeHost(20, seed=me, instance_count=100, instance_index=me) for me in range(100)]
    stand, due = {f"s{n}": [] for n in range(20)}, [(draw.random(), n, False) for n in range(520)]
    asks = cuts = held = 0
    for step in range(240):
        now = step * 0.05
        for host in hosts:
            host.now = now * 1000.0
            if not step % 20:
                host.wait(0.0)
                host.tell(events.TimerFired("tick"))
        back = []
        for at, client, returned in due:
            if at > now:
                back.append((at, client, returned))
                continue
            host = draw.choice(hosts)
            asks += 1
            answer = host.ask(f"key-{client}", reconnecting=returned)
            if isinstance(answer, events.Reject):
                back.append((now + answer.retry_after / 1000.0, client, True))
                continue
            host.tell(events.Established(answer.id, answer.server))
            full = stand[answer.server]
            full.append((host, answer, client))
            if len(full) > 20:
                for _ in range(7):
                    host, connect, client = full.pop(draw.randrange(len(full)))
                    host.end(connect, events.RESET, final=True)
                    back.append((now + 0.1, client, True))
                    cuts += 1
        due = back
        held += sum(map(len, stand.values()))
    return asks, cuts, held / 240


def test_clients_that_overdriven_servers_cut_are_not_sent_on_to_be_cut_again():
    # join+mass 90019: from 9.5 to 12 s 917 connects, 527 of them cut, after 0.3 s in the median, ten tries a
    # client. Without a pace this jam cuts 3,612 times; each is a set-up for nothing at a jammed server.
    asks, cuts, held = _jam(3)
    assert cuts < 2_000 and held > 300, (asks, cuts, held)


def test_where_groups_are_few_each_stands_on_several_servers():
    # join+mass 90019: 36 groups on 60 servers; of the four flows that a balancer held none was of the same
    # group, so each group had one place, and two of three servers none at all.
    def places(groups):
        host, draw = FakeHost(60, instance_count=200, groups_share_work=True), random.Random(1)
        for n in range(20):
            host.end(host.open(f"c{n}", group=f"g{draw.randrange(groups)}"), events.OK, final=True)
        found = [
            segments.register(host.director.state, events.Flow(-n, "live", None, f"g{n}", f"c{n}", 0.0))
            for n in range(groups)
        ]
        return sum(held.replica > 0 for held in found) / groups

    assert places(500) < 0.1 and places(20) > 0.2


def test_where_servers_tell_none_is_looked_for_when_connections_leave(monkeypatch):
    # ica69c5: a list of 251 servers was made for each of 2,000 moves a second, the day was cut off.
    host = FakeHost(50, reports_latency=True, latency_objective=60.0, slow_start_duration=0.0)
    server = host.open().server
    host.tell(events.LatencyReport(server, 900.0))
    asked = []
    for module in migration, slow_start:
        monkeypatch.setattr(module, "warming_up", lambda state, known: asked.append(known) or False)
    migration.migrate_from_overloaded(host.director.state, host.director.state.servers[server])
    assert asked == []
