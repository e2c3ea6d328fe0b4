"""Steps of the wall clock change no deadline, wait or grace: these are spans of real time."""

import time

import pytest
from harness import Balancer, FakeServer

HOUR = 3_600.0
STEPS = [-HOUR, -20.0, -3.0, 3.0, HOUR]  # s; incident-1 had 3 and -20
UNRESPONSIVE_LIMIT = 7.0  # s in which a connection that brings nothing back has to be ended, by the protocol


def time_to_migration(balancer, server, wall_clock, step):
    """Return the s until the client of a server that stops replying, as the clock is stepped, gets MOVE."""
    client = balancer.open_flow()
    assert client.readline() == b"UP r1\r\n"
    server.unresponsive = True
    client.write(b"M 1 a\r\n")
    stopped_at = time.monotonic()
    wall_clock.step(step)
    assert client.readline() == b"MOVE\r\n"
    return time.monotonic() - stopped_at


def test_without_a_step_the_client_of_an_unresponsive_server_is_migrated_in_time(wall_clock):
    server = FakeServer("s1")
    with Balancer(server, env=wall_clock.environment) as balancer:
        assert time_to_migration(balancer, server, wall_clock, 0.0) < UNRESPONSIVE_LIMIT


@pytest.mark.parametrize("step", STEPS)
def test_the_client_of_an_unresponsive_server_is_migrated_in_time_after_a_step(wall_clock, step):
    server = FakeServer("s1")
    with Balancer(server, env=wall_clock.environment) as balancer:
        assert time_to_migration(balancer, server, wall_clock, step) < UNRESPONSIVE_LIMIT


@pytest.mark.parametrize("step", STEPS)
def test_a_flow_at_a_server_that_says_nothing_is_answered_by_its_deadline_after_a_step(wall_clock, step):
    server = FakeServer("s1", None)
    with Balancer(server, env=wall_clock.environment) as balancer:
        requested_at = time.monotonic()
        client = balancer.open_flow(wait=1_500)
        while not server.lines:
            time.sleep(0.01)
        wall_clock.step(step)
        assert client.readline().startswith(b"BUSY")
        assert 0.9 < time.monotonic() - requested_at < 1.5


@pytest.mark.parametrize("step", STEPS)
def test_a_first_line_in_two_parts_has_its_whole_time_and_no_more_after_a_step(wall_clock, step):
    server = FakeServer("s1")
    with Balancer(server, env=wall_clock.environment) as balancer:
        slow, stuck = balancer.connect(), balancer.connect()
        connected_at = time.monotonic()
        for client in (slow, stuck):
            client.write(b"OPEN slow k c=live,")
        time.sleep(0.1)
        wall_clock.step(step)
        time.sleep(0.5)
        slow.write(b"d=1800\r\n")
        assert slow.readline() == b"UP r1\r\n"
        assert stuck.readline() == b"" and 1.8 < time.monotonic() - connected_at < 3.0
