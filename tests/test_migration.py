"""Migration of established connections."""

import random
from collections import Counter

from director_host import KEYS, FakeHost, actions_of

from lotusroute.routing import events, migration, slow_start


def test_the_heaviest_connections_migrate_from_an_overloaded_server_once_in_two_seconds():
    host = FakeHost(2, reports_latency=True)
    server = host.establish().server
    heavy = [host.establish() for _ in range(9)][4]
    host.decide(events.LoadReport(heavy.id, 900.0))
    host.decide(events.LatencyReport(server, 500.0))
    migrations = actions_of(events.Migrate, host.advance(2000.0))
    assert 1 <= len(migrations) <= 3 and migrations[0] == events.Migrate(heavy.id)


def test_connections_migrate_to_a_new_default_server_gradually_as_it_warms_up():
    # Otherwise new servers would get few flows, and the old ones would keep all connections: if seven of
    # twelve servers are replaced, the other five have all flows, and two of these become overloaded.
    fleet = [
        FakeHost(4, seed=index, instance_count=40, instance_index=index, groups_share_work=True)
        for index in range(40)
    ]
    groups = [f"g{index}" for index in range(10)]
    for host in fleet:
        connects = {host.establish(f"k{index}", group=group).id: group for index, group in enumerate(groups)}
        host.update_endpoints(events.Server("new", started_at=host.now + 1.0))
    groups_of_new = {group for group in groups if fleet[0].default_server(group) == "new"}
    assert 1 <= len(groups_of_new) <= 5
    early, late = (
        [actions_of(events.Migrate, host.advance(ms)) for host in fleet] for ms in (5_000.0, 15_000.0)
    )
    migrated = [connects[action.id] for actions in early + late for action in actions]
    assert set(migrated) == groups_of_new and len(migrated) > 0.8 * 40 * len(groups_of_new)
    # Not all at once: less than two fifths in the first five seconds.
    assert 0 < sum(map(len, early)) < 0.4 * 40 * len(groups_of_new)


def test_fewer_clients_migrate_to_a_default_server_that_would_not_admit_them():
    # While many clients reconnect, a client that migrates to its default server may not be admitted there. It
    # would be sent to another server and migrate again.
    migrations = {}
    for storm_size in 0, 40:
        fleet = [FakeHost(4, seed=index, instance_count=200, instance_index=index) for index in range(200)]
        for host in fleet:
            key = next(key for key in KEYS if host.default_server(key) == "s1")
            host.update_endpoints(events.Server("s1", state=events.EndpointState.DRAINING))
            host.establish(key)
            host.update_endpoints(events.Server("s1", started_at=host.now + 1.0))
            recent = host.director.state.recent_arrivals
            recent.value, recent.updated_at = 1.0 + storm_size, 1_000.0
        migrations[storm_size] = sum(len(actions_of(events.Migrate, host.advance(4_000.0))) for host in fleet)
    assert 0 < 3 * migrations[40] < migrations[0]


def test_a_single_connection_on_an_overloaded_server_migrates_with_a_higher_probability():
    # With a fixed fraction of 15% in each interval of 2 s, a single connection would migrate only after 13 s
    # in the mean. Servers on which each balancer has few connections would then stay overloaded.
    migrated = 0
    for index in range(40):
        host = FakeHost(2)
        host.director.state.rng.seed(index)
        host.decide(events.LatencyReport(host.establish().server, 500.0))
        migrated += len(actions_of(events.Migrate, host.advance(2000.0)))
    assert 12 <= migrated <= 28


def test_without_latency_reports_the_largest_group_is_reassigned_to_the_least_busy_server():
    # A group with connections on several servers costs work on each of them. If the heaviest connections
    # migrated, whatever their group, the work for three groups on one server would become that for twelve
    # groups on four servers.
    host = FakeHost(3, groups_share_work=True)
    groups_on = {}
    for index in range(30):
        groups_on.setdefault(host.request(group=f"g{index}").server, []).append(f"g{index}")
    busy, idle, other = sorted(groups_on)
    host = FakeHost(3, groups_share_work=True)
    large = [host.establish(str(index), group=groups_on[busy][0]).id for index in range(4)]
    single = host.establish("k", group=groups_on[busy][1])
    host.establish("k", group=groups_on[other][0])
    host.decide(events.LoadReport(single.id, 9_000_000.0))
    host.decide(events.LatencyReport(busy, 900.0))
    migrated = [action.id for action in actions_of(events.Migrate, host.advance(2000.0))]
    assert migrated and set(migrated) <= set(large)
    assert host.request(group=groups_on[busy][0]).server == idle


def test_established_connections_of_a_healthy_fleet_do_not_migrate():
    # The short set-up times of idle servers vary by chance. If that counted as overload, connections would
    # migrate for no reason: of 1,000 on idle servers, 123 did so within seconds.
    host, rng, migrations = FakeHost(8), random.Random(5), []
    for index in range(600):
        connect = host.request(f"key{index}")
        host.now += rng.uniform(1.0, 8.0)
        host.decide(events.Established(connect.id, connect.server))
        migrations += actions_of(events.Migrate, host.advance(1000.0) if not index % 100 else [])
    assert not migrations


def test_single_connections_migrate_in_proportion_to_the_reported_latency():
    # If each of 16 balancers has a single connection to a server, a fixed probability of a half would migrate
    # about half of these connections, even if the latency is hardly above the threshold.
    migrated = Counter()
    for index in range(200):
        host = FakeHost(2, reports_latency=True, latency_objective=60.0)
        host.director.state.rng.seed(index)
        latency = (65.0, 600.0)[index % 2]
        host.decide(events.LatencyReport(host.establish().server, latency))
        migrated[latency] += len(actions_of(events.Migrate, host.advance(2000.0)))
    assert migrated[65.0] <= 30 < 35 <= migrated[600.0] <= 65


def test_with_latency_reports_no_override_targets_are_computed_for_a_migration(monkeypatch):
    # Incident ica69c5: a list of 251 servers was computed for each of 2,000 migrations per second. This took
    # so much CPU time that the simulation was cut off before its end.
    host = FakeHost(50, reports_latency=True, latency_objective=60.0, slow_start_duration=0.0)
    server = host.establish().server
    host.decide(events.LatencyReport(server, 900.0))
    checked = []
    for module in migration, slow_start:
        monkeypatch.setattr(module, "warming_up", lambda state, server: checked.append(server) or False)
    migration.migrate_from_overloaded(host.director.state, host.director.state.servers[server])
    assert checked == []
