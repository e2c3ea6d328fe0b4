"""Upstream attempts and connections: retries, timeouts, broken connections and partial writes."""

import re
import socket
import time

import pytest
from balancer_process import Balancer
from fake_servers import FakeServer
from fake_transport import FakeTransport
from flow_helpers import reset_connection
from waiting import wait_until

from lotusroute.net.upstream.attempt import AttemptContext, UpstreamAttempt
from lotusroute.net.upstream.connection import UpstreamConnection
from lotusroute.net.upstream.events import AttemptStage
from lotusroute.net.upstream.reply_tracker import MAX_TIMED_LINES


def test_flows_are_retried_elsewhere_after_a_full_and_an_unreachable_server_with_one_attempt_at_a_time():
    servers = [FakeServer("s1", b"BUSY\r\n"), FakeServer("s2", b"BUSY\r\n"), FakeServer("s3", b"UP r\r\n")]
    servers[1].stop_accepting()
    with Balancer(*servers) as balancer:
        for key in "abcdef":
            assert balancer.open_flow(key).readline() == b"UP r\r\n"
        assert servers[0].lines and servers[2].lines


def test_a_flow_at_an_unresponsive_server_is_answered_in_time_and_its_attempt_closed():
    server = FakeServer("s1", None)
    with Balancer(server) as balancer:
        start = time.monotonic()
        client = balancer.open_flow(timeout_ms=500)
        assert client.readline().startswith(b"BUSY") and client.readline() == b""
        assert time.monotonic() - start < 0.5
        # The attempt is closed, which tells the server that no client waits any more.
        wait_until(lambda: server.lines[-1] == b"")


def test_when_all_servers_are_unreachable_a_flow_is_rejected_at_once_with_retry_after():
    server = FakeServer("s1")
    server.stop_accepting()
    with Balancer(server) as balancer:
        start = time.monotonic()
        assert balancer.open_flow().readline() == b"BUSY 1000\r\n"
        assert time.monotonic() - start < 1.0


def test_a_reset_by_the_server_reaches_the_client_as_a_reset():
    server = FakeServer("s1")
    with Balancer(server) as balancer:
        client = balancer.open_flow()
        client.readline()
        server.resets_connections = True
        server.connections[-1].shutdown(socket.SHUT_RD)
        start = time.monotonic()
        with pytest.raises(ConnectionResetError):
            client.readline()
        assert time.monotonic() - start < 1.0


def test_a_reset_by_the_client_is_not_counted_as_a_failure_of_its_server():
    server = FakeServer("s1")
    with Balancer(server, env={"LB_LOG": "debug"}.items()) as balancer:
        for _ in range(2):
            client = balancer.open_flow()
            client.readline()
            reset_connection(client)
        wait_until(lambda: server.lines[-1] == b"")
        time.sleep(0.1)
        log = balancer.terminate()
    assert log.count("result=cancelled") == 2 and "result=reset" not in log


@pytest.mark.parametrize(("level", "attempts"), [("debug", 2), ("info", 0)])
def test_a_flow_is_logged_under_its_client_id_at_debug_level_only(level, attempts):
    servers = [FakeServer("s1", b"BUSY\r\n"), FakeServer("s2", b"BUSY\r\n")]
    with Balancer(*servers, env={"LB_LOG": level}.items()) as balancer:
        assert balancer.open_flow(id="9b1f").readline().startswith(b"BUSY")
        lines = [line for line in balancer.terminate().splitlines() if "id=9b1f" in line]
    logged = [re.search(r'event=("[^"]*"|\S+)', line)[1].strip('"') for line in lines]
    expected = ["flow requested", *["connect started", "connection ended"] * attempts, "answered"]
    assert logged == (expected if attempts else [])


def test_lines_that_arrive_with_the_receipt_and_the_end_are_forwarded_completely():
    server = FakeServer("s1")

    def reply_and_end(connection):
        # One thread sends the receipt and then the end. If the end came first, the attempt would fail.
        connection.recv(4096)
        connection.sendall(b"UP r\r\nM 1 a\r\nBYE\r\n")
        connection.shutdown(socket.SHUT_WR)

    server.serve_connection = reply_and_end
    with Balancer(server) as balancer:
        client = balancer.open_flow()
        assert [client.readline() for _ in range(4)] == [b"UP r\r\n", b"M 1 a\r\n", b"BYE\r\n", b""]


def test_clients_of_a_server_that_becomes_unresponsive_are_migrated_before_they_give_up():
    # Clients wait for a reply for at most 7 s.
    server = FakeServer("s1")
    with Balancer(server) as balancer:
        client = balancer.open_flow()
        client.readline()
        server.unresponsive = True
        client.write(b"M 1 a\r\n")
        start = time.monotonic()
        assert client.readline() == b"MOVE\r\n" and time.monotonic() - start < 7.0


def test_a_suspension_of_the_balancer_is_not_taken_for_an_unresponsive_server():
    # The timeouts expire while the balancer is suspended. If they were handled before what has arrived on the
    # sockets, healthy servers would be ejected for the balancer's own suspension.
    server = FakeServer("s1", None)
    with Balancer(server) as balancer:
        client = balancer.open_flow()
        wait_until(lambda: server.lines)
        balancer.suspend()
        server.connections[-1].sendall(b"UP r1\r\n")
        time.sleep(0.8)  # the attempt times out after 600 ms
        balancer.resume()
        assert client.readline() == b"UP r1\r\n"
        balancer.suspend()
        client.write(b"M 1 a\r\n")
        time.sleep(3.5)  # an unanswered server counts as unresponsive after 2.5 s
        balancer.resume()
        assert client.readline() == b"M 1 a\r\n"


def new_attempt(line, clock=lambda: 0.0, enqueue=None):
    """Return an attempt that reports events to `enqueue`; without it, it must not report any."""
    return UpstreamAttempt(1, "s1", line, AttemptContext(enqueue, clock, None))


def test_a_client_that_pipelines_is_migrated_when_its_server_stops_after_a_part_of_the_replies():
    # Only the last 64 lines counted as unanswered. After as many replies the server seemed to owe nothing,
    # and a client that waited for the others was neither answered nor asked to reconnect.
    server, reply_count = FakeServer("s1"), 2 * MAX_TIMED_LINES

    def reply_to_a_part(conn):
        with conn.makefile("rb") as lines:
            lines.readline()
            conn.sendall(b"UP r1\r\n")
            for _ in range(reply_count):
                conn.sendall(lines.readline())
            lines.read()

    server.serve_connection = reply_to_a_part
    with Balancer(server) as balancer:
        client = balancer.open_flow()
        assert client.readline() == b"UP r1\r\n"
        sent = [b"M %d\r\n" % number for number in range(reply_count + MAX_TIMED_LINES)]
        client.write(b"".join(sent))
        with client.conn.makefile("rb") as lines:
            assert [lines.readline() for _ in range(reply_count)] == sent[:reply_count]
            start = time.monotonic()
            assert lines.readline() == b"MOVE\r\n" and time.monotonic() - start < 7.0


def test_replies_are_timed_against_the_lines_that_they_answer():
    # Of more than 64 unanswered lines the last were timed, and the first replies were timed against these.
    events, times, count = [], [0.0], MAX_TIMED_LINES + 10
    attempt = new_attempt(b"", clock=lambda: times[-1], enqueue=events.append)
    connection = attempt.connection = UpstreamConnection(attempt)
    connection.transport = FakeTransport()
    connection.downstream = connection  # the replies are sent to the fake transport, too
    for _ in range(count):
        times.append(times[-1] + 1.0)
        connection.forward(memoryview(b"M 1\r\n"))
    for unanswered in range(count, 0, -1):
        assert connection.owes_reply()
        assert connection.replies.unanswered_lines == unanswered
        connection.lineReceived(memoryview(b"M 1\r\n"))
    assert [event.delay for event in events] == [count - 1.0 - number for number in range(MAX_TIMED_LINES)]
    assert not connection.owes_reply()


def test_a_connection_that_is_lost_already_does_not_linger_for_its_unanswered_lines():
    # It would be counted as a descriptor that is in use, and nothing would ever remove it.
    attempt = new_attempt(b"")
    connection = attempt.connection = UpstreamConnection(attempt)
    connection.transport = FakeTransport()
    connection.forward(memoryview(b"M 1\r\n"))
    connection.transport.connected = False
    attempt.close_after_migration()
    assert connection.owes_reply()
    assert not attempt.lingering


def test_only_a_client_that_has_sent_lines_counts_as_idle():
    # If a client that only receives counted as idle, it would be migrated every minute.
    attempt = new_attempt(b"", clock=lambda: 5_000.0)
    attempt.connection = UpstreamConnection(attempt)
    assert attempt.connection.replies.client_idle_time(90_000.0) == 0.0
    attempt.connection.transport = FakeTransport(0)
    attempt.connection.forward(memoryview(b"M 1\r\n"))
    assert attempt.connection.replies.client_idle_time(90_000.0) == 85_000.0


def test_a_client_that_still_receives_lines_is_not_idle():
    # The time counted from the client's last line alone, so MOVE broke off a transfer of over a minute.
    times = [5_000.0]
    attempt = new_attempt(b"", clock=lambda: times[-1])
    connection = attempt.connection = UpstreamConnection(attempt)
    connection.transport = FakeTransport()
    connection.downstream = connection  # the server's lines are sent to the fake transport, too
    connection.forward(memoryview(b"SCAN\r\n"))
    connection.replies.discard_replies(1)
    times.append(80_000.0)
    connection.lineReceived(memoryview(b"M 1\r\n"))
    assert connection.replies.client_idle_time(90_000.0) == 10_000.0


FIRST_LINE = b"OPEN 1 k c=live,d=900\r\n"


@pytest.mark.parametrize("accepted", range(len(FIRST_LINE) + 1))
def test_a_first_line_written_in_parts_is_in_order_and_counts_as_written_with_its_last_byte(accepted):
    attempt = new_attempt(FIRST_LINE)
    connection = UpstreamConnection(attempt)
    transport = FakeTransport(accepted)
    connection.makeConnection(transport)
    assert (attempt.stage == AttemptStage.WRITTEN) == (accepted == len(FIRST_LINE))
    for _ in range(2):
        if transport.producer is not None:
            transport.producer.resumeProducing()
    assert transport.value() == FIRST_LINE and attempt.stage == AttemptStage.WRITTEN
