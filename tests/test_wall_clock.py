"""Steps of the wall clock affect no deadline, timeout or grace, because these are durations.

A timer that uses the wall clock is late by the size of a step back and fires too early after a step forward.
"""

import signal
import socket
import time

import pytest
from balancer_process import Balancer
from fake_servers import FakeServer

HOUR_S = 3_600.0
STEPS_S = [-HOUR_S, -20.0, -3.0, 3.0, HOUR_S]  # in incident-1 the steps were 3 and -20
UNRESPONSIVE_LIMIT_S = 7.0  # the protocol's limit for ending a connection that has no replies


def time_to_migration(balancer, server, wall_clock, step):
    """Step the clock when the server stops replying; return the seconds until its client gets MOVE."""
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
        assert time_to_migration(balancer, server, wall_clock, 0.0) < UNRESPONSIVE_LIMIT_S


@pytest.mark.parametrize("step", STEPS_S)
def test_the_client_of_an_unresponsive_server_is_migrated_in_time_after_a_step(wall_clock, step):
    server = FakeServer("s1")
    with Balancer(server, env=wall_clock.environment) as balancer:
        assert time_to_migration(balancer, server, wall_clock, step) < UNRESPONSIVE_LIMIT_S


@pytest.mark.parametrize("step", STEPS_S)
def test_a_flow_whose_server_never_replies_is_answered_by_its_deadline_after_a_step(wall_clock, step):
    server = FakeServer("s1", None)
    with Balancer(server, env=wall_clock.environment) as balancer:
        requested_at = time.monotonic()
        client = balancer.open_flow(timeout_ms=1_500)
        while not server.lines:
            time.sleep(0.01)
        wall_clock.step(step)
        assert client.readline().startswith(b"BUSY")
        assert 0.9 < time.monotonic() - requested_at < 1.5


@pytest.mark.parametrize("step", STEPS_S)
def test_the_timeout_of_a_first_line_in_two_parts_is_unchanged_by_a_step(wall_clock, step):
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


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_a_drain_is_received_in_time_from_a_discovery_that_stopped_answering_before_a_step(wall_clock, step):
    one, two = FakeServer("s1", b"UP one\r\n"), FakeServer("s2", b"UP two\r\n")
    with Balancer(one, env=wall_clock.environment) as balancer:
        client = balancer.open_flow()
        assert client.readline() == b"UP one\r\n"
        balancer.discovery.interruptions += 1  # the long poll in flight is never answered
        wall_clock.step(step)
        changed_at = time.monotonic()
        balancer.discovery.entries, balancer.discovery.seq = [one.entry("DRAINING"), two.entry()], 2
        assert client.readline() == b"MOVE\r\n"
        # 6 s until the change counts as received, 2 s of grace, and 1 s over which clients are migrated.
        assert time.monotonic() - changed_at < 9.0
        assert balancer.open_flow().readline() == b"UP two\r\n"


def test_steps_are_counted_and_make_no_timer_late_and_no_poll_of_discovery_fail(wall_clock):
    with Balancer(FakeServer("s1"), env=wall_clock.environment) as balancer:
        for step in (HOUR_S, -HOUR_S, -20.0, 3.0):
            wall_clock.step(step)
            time.sleep(1.2)  # the balancer compares the clocks once a second
        log = balancer.terminate(signal.SIGTERM)
    assert log.count('event="wall clock stepped"') == 4 and "wall_clock_steps=4" in log
    assert not any(counter in log for counter in ("late_timers", "discovery_failures", "internal_errors"))


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_a_shutdown_with_a_step_migrates_all_clients_and_ends_in_time(wall_clock, step):
    with Balancer(FakeServer("s1"), env=wall_clock.environment) as balancer:
        clients = [balancer.open_flow(str(index)) for index in range(20)]
        assert {client.readline() for client in clients} == {b"UP r1\r\n"}
        stopped_at = time.monotonic()
        balancer.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        wall_clock.step(step)
        assert {client.readline() for client in clients} == {b"MOVE\r\n"}
        assert {client.readline() for client in clients} == {b""}
        assert balancer.process.wait(timeout=5.0) == 0
        # Migrations begin 0.45 s after the signal and take 1.3 s; the last lines have 0.2 s to be written.
        assert 0.9 < time.monotonic() - stopped_at < 3.0


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_the_grace_of_a_server_to_close_after_its_client_is_unchanged_by_a_step(wall_clock, step):
    server = FakeServer("s1")

    def never_close(connection):
        connection.recv(4096)
        connection.sendall(b"UP r1\r\n")
        while connection.recv(4096):
            pass
        time.sleep(6.0)

    server.serve_connection = never_close
    with Balancer(server, env=wall_clock.environment) as balancer:
        client = balancer.open_flow()
        assert client.readline() == b"UP r1\r\n"
        left_at = time.monotonic()
        client.conn.shutdown(socket.SHUT_WR)
        time.sleep(0.2)
        wall_clock.step(step)
        assert client.readline() == b""
        assert 1.8 < time.monotonic() - left_at < 3.0
