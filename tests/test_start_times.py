"""Start times of servers on the host's clock, with a correct and a wrong wall clock."""

import signal
import time

import pytest
from balancer_process import SETTINGS, Balancer
from director_host import KEYS, FakeHost, actions_of
from fake_servers import FakeServer
from waiting import wait_until

from lotusroute.routing import events, start_times
from lotusroute.routing.start_times import StartTimes
from lotusroute.wall_clock import unix_ms

HOUR_MS = 3_600_000.0
LISTING_DELAY_MS = 6_000.0  # longest time from the start of a server until it is listed
NOW_MS = 100 * HOUR_MS


@pytest.fixture
def starts():
    return StartTimes(LISTING_DELAY_MS)


def bounded_start(
    starts,
    reported,
    now=NOW_MS,
    previous_list_at=NOW_MS - 2_000.0,
    name="s1",
    state=events.EndpointState.READY,
):
    server = events.Server(name, state=state, started_at=reported)
    return starts.bound_start_time(server, now, previous_list_at).started_at


@pytest.mark.parametrize("age", [0.0, 500.0, 7_900.0])
def test_a_start_time_is_unchanged_if_the_clocks_agree(starts, age):
    assert bounded_start(starts, NOW_MS - age) == NOW_MS - age


def test_an_unknown_start_time_and_that_of_a_removed_server_are_unchanged(starts):
    assert bounded_start(starts, 0.0) == 0.0
    assert bounded_start(starts, 5.0, state=events.EndpointState.REMOVED) == 5.0


@pytest.mark.parametrize("ahead", [20_000.0, HOUR_MS])
def test_if_the_host_clock_is_ahead_a_new_start_is_bounded_by_the_last_list_without_it(starts, ahead):
    assert bounded_start(starts, NOW_MS - ahead) == NOW_MS - 2_000.0 - LISTING_DELAY_MS


@pytest.mark.parametrize("behind", [3_000.0, HOUR_MS])
def test_if_the_host_clock_is_behind_a_start_is_bounded_by_the_time_it_is_listed(starts, behind):
    assert bounded_start(starts, NOW_MS + behind) == NOW_MS
    assert bounded_start(starts, NOW_MS + behind, previous_list_at=None, name="s2") == NOW_MS


def test_a_start_time_in_the_first_list_may_be_of_any_age(starts):
    assert bounded_start(starts, NOW_MS - HOUR_MS, previous_list_at=None) == NOW_MS - HOUR_MS


def test_a_start_time_is_kept_in_later_lists_and_after_the_server_is_removed(starts):
    first = bounded_start(starts, NOW_MS + HOUR_MS)
    bounded_start(starts, NOW_MS + HOUR_MS, now=NOW_MS + 9_000.0, state=events.EndpointState.REMOVED)
    assert (
        bounded_start(starts, NOW_MS + HOUR_MS, now=NOW_MS + 9_000.0, previous_list_at=NOW_MS + 8_000.0)
        == first
    )
    restarted = bounded_start(
        starts, NOW_MS + 2 * HOUR_MS, now=NOW_MS + 9_000.0, previous_list_at=NOW_MS + 8_000.0
    )
    assert restarted == NOW_MS + 9_000.0


def test_the_clock_of_one_server_does_not_affect_another(starts):
    bounded_start(starts, NOW_MS + HOUR_MS)
    assert bounded_start(starts, NOW_MS - 1_000.0, name="s2") == NOW_MS - 1_000.0


def test_the_number_of_known_starts_is_bounded(starts, monkeypatch):
    monkeypatch.setattr(start_times, "MAX_KNOWN_STARTS", 2)
    for index in range(5):
        bounded_start(starts, NOW_MS, name=f"s{index}")
    assert len(starts._known) == 2


def connects_to_new_server(clock_error):
    """Return how many of 40 flows a director with a wrong clock sends to a server that has just started."""
    host, starts = FakeHost(1), StartTimes(LISTING_DELAY_MS)
    host.now = NOW_MS + clock_error
    reported = events.Server("new", started_at=NOW_MS)
    host.update_endpoints(starts.bound_start_time(reported, host.now, host.now - 2_000.0))
    actions = [host.request(key) for key in KEYS[:40]]
    return sum(connect.server == "new" for connect in actions_of(events.Connect, actions))


@pytest.mark.parametrize("clock_error", [-HOUR_MS, -20_000.0, 20_000.0, HOUR_MS])
def test_a_new_server_gets_as_few_flows_with_a_wrong_clock_as_with_a_correct_one(clock_error):
    assert connects_to_new_server(clock_error) <= connects_to_new_server(0.0) + 1 < 10


def test_a_new_server_has_warmed_up_after_the_warm_up_time_even_if_the_clock_is_behind():
    host, starts = FakeHost(1), StartTimes(LISTING_DELAY_MS)
    host.now = NOW_MS
    host.update_endpoints(
        starts.bound_start_time(events.Server("new", started_at=NOW_MS + HOUR_MS), NOW_MS, NOW_MS - 2_000.0)
    )
    host.advance(21_000.0)  # Slow start takes 20 s.
    assert sum(host.request(key).server == "new" for key in KEYS[:40]) >= 10


SLOW_START_SETTINGS = {**SETTINGS, "rules": {"cold_from": 0.2, "warm_after": 20_000, "tip_multiple": 3}}


@pytest.mark.parametrize("step", [-3_600.0, 0.0, 3_600.0])
def test_a_process_that_starts_with_a_wrong_clock_does_not_overload_a_new_server(wall_clock, step):
    old, new = FakeServer("old", b"UP old\r\n"), FakeServer("new", b"UP new\r\n")
    wall_clock.step(step)
    with Balancer(old, settings=SLOW_START_SETTINGS, env=wall_clock.environment) as balancer:
        clients = [balancer.open_flow(key) for key in KEYS[:40]]
        balancer.discovery.entries = [{**new.entry(), "born_ms": int(unix_ms())}, old.entry()]
        balancer.discovery.seq = 2
        wait_until(lambda: len(balancer.discovery.responses) > 1 and balancer.discovery.responses[-1][1] == 2)
        started_at = time.monotonic()
        while time.monotonic() < started_at + 3.0:
            clients.append(balancer.open_flow(f"late{len(clients)}"))
            assert clients[-1].readline().startswith(b"UP")
            time.sleep(0.02)
        # The new server is the default server of half the flows; with a correct clock it gets a few of them.
        assert 1 <= len(new.connections) <= 0.25 * (len(clients) - 40)
        log = balancer.terminate(signal.SIGTERM)
    expected = 0 if step == 0.0 else 1
    assert log.count('event="start times bounded" servers=1 server=new') == expected
    assert ("start_times_bounded=1" in log) == bool(expected)
