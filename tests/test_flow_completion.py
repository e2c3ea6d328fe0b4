"""How flows end after a drain, a malformed answer or a timeout; on loopback sockets.

The tests force the order of events with a server that accepts no connection until told to, or by suspending
the balancer while several events arrive.
"""

import socket
import time

import pytest
from balancer_process import Balancer
from director_host import FakeHost
from fake_servers import FakeServer, SlowAcceptServer
from flow_helpers import (
    EFFECTS,
    KEY_OF_FIRST_SERVER,
    descriptor_count,
    flow_settings,
    is_connecting_to,
    resetting_server,
)
from waiting import TIMEOUT_S, wait_until

from lotusroute.routing import events


@pytest.mark.parametrize("effect", EFFECTS)
def test_an_attempt_that_has_not_connected_is_cancelled_when_its_server_drains(effect):
    # An attempt that connects late would write its first line when the drain grace is over.
    slow, other = SlowAcceptServer("s0"), FakeServer("s1", b"UP other\r\n")
    with Balancer(slow, other, settings=flow_settings(effect)) as balancer:
        client = balancer.open_flow(KEY_OF_FIRST_SERVER, timeout_ms=4_000)
        time.sleep(0.1)
        balancer.discovery.entries, balancer.discovery.seq = [slow.entry("DRAINING"), other.entry()], 2
        start = time.monotonic()
        assert client.readline() == b"UP other\r\n" and time.monotonic() < start + 0.7
        slow.start_accepting()
        time.sleep(1.5)
        assert not slow.open_lines()


def test_an_attempt_that_connected_while_the_balancer_was_suspended_is_not_used_after_the_drain_grace():
    # When the balancer resumes after 400 ms, it finds the connection before it reads that the server drains.
    # The drain grace of 300 ms is over, so the server would no longer accept the line.
    slow, other = SlowAcceptServer("s0"), FakeServer("s1", b"UP other\r\n")
    with Balancer(slow, other, settings=flow_settings(grace=300)) as balancer:
        client = balancer.open_flow(KEY_OF_FIRST_SERVER, timeout_ms=4_000)
        time.sleep(0.1)
        balancer.suspend()
        slow.start_accepting()
        slow.wait_for_connections()  # the balancer is notified of the connection before the drain
        balancer.discovery.entries, balancer.discovery.seq = [slow.entry("DRAINING"), other.entry()], 2
        time.sleep(0.4)
        balancer.resume()
        assert client.readline() == b"UP other\r\n" and not slow.open_lines()


def test_a_retry_that_connects_after_the_deduplication_window_is_not_sent():
    # The first attempt may have run the flow, and servers remember its key for 600 ms. The retry connects
    # only after the SYN is retransmitted, one second later; sent then, it could run the flow a second time.
    first, second = resetting_server("s0"), SlowAcceptServer("s1")
    settings = flow_settings("idempotency_key", group="all", window=600)
    with Balancer(first, second, settings=settings) as balancer:
        client = balancer.open_flow(KEY_OF_FIRST_SERVER, timeout_ms=4_000)
        wait_until(lambda: first.lines)
        # A retry that is accepted before it has waited for a retransmission would be within the window.
        wait_until(lambda: is_connecting_to(second))
        second.start_accepting()
        assert client.readline().startswith(b"BUSY") and not second.open_lines()


MALFORMED_RECEIPTS = (
    b"UP\r\n",
    b"UP \r\n",
    b"UPS r1\r\n",
    b"up r1\r\n",
    b" UP r1\r\n",
    b"UP r1",
    b"U",
    b"\r\n",
    b"UP \xff\r\n",
    b"ERR\r\nUP r1\r\n",
    b"x" * 5_000,
)


@pytest.mark.parametrize("answer", [MALFORMED_RECEIPTS[index] for index in (0, 2, 5, 8, 9, 10)])
def test_a_malformed_receipt_does_not_reach_the_client_and_another_server_serves(answer):
    malformed, other = FakeServer("s0", answer), FakeServer("s1", b"UP other\r\n")
    with Balancer(malformed, other, settings=flow_settings()) as balancer:
        assert (
            balancer.open_flow(KEY_OF_FIRST_SERVER, timeout_ms=1_000).readline() == b"UP other\r\n"
            and malformed.lines
        )
        malformed.reply = b"UP r1\r\n"
        assert balancer.open_flow(KEY_OF_FIRST_SERVER + "x").readline() in (b"UP r1\r\n", b"UP other\r\n")


def test_a_non_idempotent_flow_is_not_retried_after_a_malformed_receipt():
    servers = [FakeServer(f"s{index}", answer) for index, answer in enumerate(MALFORMED_RECEIPTS)]
    default_server = FakeHost(servers=len(MALFORMED_RECEIPTS)).default_server
    keys = [
        next(key for key in map(str, range(999)) if default_server(key) == server.name) for server in servers
    ]
    with Balancer(*servers, settings=flow_settings("non_idempotent")) as balancer:
        # All flows are requested at once: one requested after most attempts have failed would get no attempt.
        balancer.suspend()
        clients = [balancer.open_flow(key, timeout_ms=1_000) for key in keys]
        balancer.resume()
        assert {client.readline() for client in clients} == {b"ERR\r\n"}
        for server in servers:
            assert sum(line.startswith(b"OPEN") for line in server.lines) == 1


def test_a_first_line_that_is_complete_but_unread_at_its_timeout_is_served():
    # The line is completed while the balancer is suspended. When it resumes, the timeout of 2 s has expired
    # and the rest of the line is still in the socket.
    with Balancer(FakeServer("s0")) as balancer:
        client = balancer.connect_and_send(b"PING")
        assert client.readline() == b"PONG\r\n"
        client.conn.sendall(b"OPEN id9 k c=li")
        time.sleep(0.2)
        balancer.suspend()
        client.conn.sendall(b"ve,d=4000\r\n")
        time.sleep(2.2)
        balancer.resume()
        assert client.readline() == b"UP r1\r\n"


def test_a_client_that_does_not_close_is_disconnected_within_seconds_and_reads_all_lines():
    server = FakeServer("s0")
    with Balancer(server) as balancer:
        client = balancer.open_flow()
        assert client.readline() == b"UP r1\r\n"
        descriptors_before = descriptor_count(balancer)
        server.connections[0].sendall(b"M 1 last\r\nBYE\r\n")
        server.connections[0].shutdown(socket.SHUT_WR)
        wait_until(lambda: descriptor_count(balancer) <= descriptors_before - 2)
        assert [client.readline() for _ in range(3)] == [b"M 1 last\r\n", b"BYE\r\n", b""]


def test_an_unwritten_move_is_not_lost_when_new_connections_take_all_descriptors():
    # A migrated client counts as idle. If it were evicted for a new connection while data is still to be
    # written, it would never read its MOVE.
    server = FakeServer("s0")
    with Balancer(server, sockets=128) as balancer:
        client = balancer.open_flow()
        assert client.readline() == b"UP r1\r\n"
        line, sent = b"M 1 " + b"x" * 3_000 + b"\r\n", 0
        server.connections[0].settimeout(0.3)
        try:
            while True:
                sent += server.connections[0].send(line)
        except TimeoutError:
            pass
        balancer.discovery.entries, balancer.discovery.seq = [server.entry("DRAINING")], 2
        time.sleep(1.2)  # the client is migrated within a second
        flood = [socket.create_connection(("127.0.0.1", balancer.port)) for _ in range(200)]
        read = client.read(10_000_000)
        while part := client.read(10_000_000):
            read = read[-100:] + part
        assert read.endswith(b"\r\nMOVE\r\n") and flood


def test_a_flow_with_an_idempotency_key_of_unknown_scope_that_may_have_run_is_not_retried():
    service_type = events.ServiceType(300.0, events.Idempotency.IDEMPOTENCY_KEY, "shelf", 9_000.0)
    host = FakeHost(config=events.ServiceConfig({"live": service_type}, max_attempts=4))
    assert host.end(host.request(), events.ConnectionResult.RESET) == [
        events.Abort(1, events.RejectReason.NO_SERVER_AVAILABLE)
    ]


assert TIMEOUT_S > 4.0  # the longest time that a test above waits for an answer
