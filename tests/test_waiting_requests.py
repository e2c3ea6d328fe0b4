"""The time of a request that waits: during the start, for discovery's first response, or in the system."""

import contextlib
import signal
import time

import pytest
from balancer_process import Balancer, ClientConnection
from fake_servers import FakeServer
from waiting import TIMEOUT_S, wait_until

from lotusroute.net.downstream.listener import ACCEPTS_PER_ITERATION
from lotusroute.process_control.readiness import answers_health_check

# By the protocol, an answer later than this after the client's timeout counts as none.
MAX_LATENESS_S = 0.5
# The faults of discovery: slow responses, and none at all. The balancer waits for a second at most.
DISCOVERY_STATES = [{"response_delay": 0.1}, {"response_delay": 0.7}, {"response_delay": 3.0}, {"down": True}]
TIMEOUTS_MS = [100, 250, 400, 1_800]


def connect_at_start(balancer: Balancer) -> ClientConnection:
    """Connect as soon as the new process listens."""

    def connected() -> ClientConnection | None:
        try:
            return balancer.connect()
        except ConnectionRefusedError:
            return None

    connection = wait_until(connected)
    assert connection is not None
    return connection


def request_at_start(balancer: Balancer, timeout_ms: int) -> ClientConnection:
    """Request a flow as soon as the new process listens."""
    connection = connect_at_start(balancer)
    connection.conn.sendall(b"OPEN id%d k c=live,d=%d\r\n" % (timeout_ms, timeout_ms))
    return connection


@pytest.fixture
def starting():
    """Start a balancer that is killed after the test, with its server and discovery in a given state."""
    with contextlib.ExitStack() as stack:

        def start(server: FakeServer, **discovery_state: object) -> Balancer:
            balancer = Balancer(server, cached_version=1, **discovery_state)
            stack.callback(balancer.__exit__)
            return balancer

        yield start


def requests_at(server: FakeServer) -> list[bytes]:
    """Return the first lines that have reached the server."""
    return [line for line in server.lines if line.startswith(b"OPEN")]


@pytest.mark.parametrize("discovery_state", DISCOVERY_STATES)
@pytest.mark.parametrize("timeout_ms", TIMEOUTS_MS)
def test_a_request_during_the_start_is_answered_within_its_own_time(starting, timeout_ms, discovery_state):
    balancer = starting(FakeServer("s1"), **discovery_state)
    connection = request_at_start(balancer, timeout_ms)
    sent_at = time.monotonic()
    answer = connection.readline()
    assert answer.split()[0] in (b"UP", b"BUSY")
    assert time.monotonic() - sent_at < timeout_ms / 1_000 + MAX_LATENESS_S


def test_a_request_waits_for_the_list_that_discovery_sends_during_the_start(starting):
    drained, ready = FakeServer("s1", b"UP drained\r\n"), FakeServer("s2", b"UP ready\r\n")
    balancer = starting(drained, response_delay=0.5)
    balancer.discovery.entries = [drained.entry("DRAINING"), ready.entry()]
    balancer.discovery.seq = 2
    assert request_at_start(balancer, 1_800).readline() == b"UP ready\r\n"


def test_a_health_check_is_answered_once_requests_are_decided_and_before_the_request_behind_it(starting):
    balancer = starting(FakeServer("s1"), response_delay=0.7)
    connection = connect_at_start(balancer)
    connection.conn.sendall(b"PING\r\nOPEN id1 k c=live,d=1800\r\n")
    connection.conn.settimeout(0.3)
    with pytest.raises(TimeoutError):
        connection.conn.recv(100)
    connection.conn.settimeout(TIMEOUT_S)
    received = b""
    while received.count(b"\n") < 2:
        received += connection.conn.recv(100)
    assert received.startswith(b"PONG\r\nUP ")


def test_a_client_that_has_gone_during_the_start_reaches_no_server(starting):
    server = FakeServer("s1")
    balancer = starting(server, down=True)
    request_at_start(balancer, 1_800).conn.close()
    request_at_start(balancer, 1_799).readline()
    assert len(requests_at(server)) == 1


def test_requests_whose_time_has_passed_while_the_process_was_suspended_reach_no_server(starting):
    # More requests than the balancer accepts at once: those that it accepts last have waited as long.
    server = FakeServer("s1")
    balancer = starting(server)
    wait_until(lambda: answers_health_check(balancer.port))
    assert balancer.open_flow(timeout_ms=1_800).readline().startswith(b"UP ")
    balancer.suspend()
    expired = [balancer.open_flow(timeout_ms=300) for _ in range(3 * ACCEPTS_PER_ITERATION)]
    in_time = balancer.open_flow(timeout_ms=1_800)
    time.sleep(0.6)
    balancer.resume()
    assert {connection.readline() for connection in expired} == {b"BUSY\r\n"}
    assert in_time.readline().startswith(b"UP ")
    assert len(requests_at(server)) == 2


def test_a_request_after_a_burst_that_was_accepted_at_once_has_its_whole_time(starting):
    # The balancer accepts as many at once, so it could not see that it had left none of the burst.
    balancer = starting(FakeServer("s1"))
    wait_until(lambda: answers_health_check(balancer.port))
    balancer.suspend()
    burst = [balancer.connect() for _ in range(ACCEPTS_PER_ITERATION)]
    balancer.resume()
    time.sleep(1.0)
    assert balancer.open_flow(timeout_ms=800).readline().startswith(b"UP ") and burst


def test_a_shutdown_during_the_start_answers_the_requests_that_wait(starting):
    server = FakeServer("s1")
    balancer = starting(server, down=True)
    connection = request_at_start(balancer, 1_800)
    time.sleep(0.1)
    started_at = time.monotonic()
    balancer.process.send_signal(signal.SIGTERM)
    assert connection.readline().startswith(b"BUSY")
    assert balancer.process.wait(TIMEOUT_S) == 0
    assert time.monotonic() - started_at < 1.8 + 0.7
    assert requests_at(server) == []
