"""Clients that disconnect, or send too much, at any point of their flow; on loopback sockets.

The tests force the order of events with a server that accepts no connection until told to, or by suspending
the balancer while several events arrive.
"""

import collections
import socket
import time

import pytest
from balancer_process import Balancer
from fake_servers import FakeServer, SlowAcceptServer
from fake_transport import FakeTransport
from flow_helpers import (
    EFFECTS,
    KEY_OF_FIRST_SERVER,
    close_connection,
    descriptor_count,
    flow_settings,
    reset_connection,
)
from twisted.internet.task import Clock
from waiting import TIMEOUT_S, wait_until

from lotusroute.net.downstream.listener import BalancerHooks, DownstreamFactory
from lotusroute.net.upstream.lingering import LingeringUpstreams


@pytest.mark.parametrize(
    ("effect", "early_bytes", "disconnect"),
    [
        ("read_like", 0, close_connection),
        ("read_like", 6_000, reset_connection),
        ("read_like", 300_000, close_connection),
        ("idempotency_key", 6_000, close_connection),
        ("non_idempotent", 0, reset_connection),
        ("non_idempotent", 6_000, close_connection),
        ("non_idempotent", 300_000, reset_connection),
    ],
)
def test_a_client_that_disconnects_while_its_attempt_connects_is_not_forwarded(
    effect, early_bytes, disconnect
):
    # A balancer that read only 4 KiB after the first line would notice neither the FIN nor the RST of a
    # client that sent more, and would forward the flow of a client that has left.
    server = SlowAcceptServer("s0")
    with Balancer(server, settings=flow_settings(effect)) as balancer:
        client = balancer.open_flow(timeout_ms=4_000)
        client.conn.settimeout(0.2)
        try:
            client.conn.sendall(b"M 1 " + b"x" * early_bytes + b"\r\n")
        except OSError:  # the client is rejected already, or the buffers are full
            assert early_bytes > 16_384
        time.sleep(0.1)
        disconnect(client)
        time.sleep(0.1)
        server.start_accepting()
        time.sleep(1.5)  # the kernel retransmits the SYN of the attempt after one second
        assert not server.open_lines()
        assert balancer.open_flow("other").readline() == b"UP r1\r\n"


@pytest.mark.parametrize("disconnect", [close_connection, reset_connection])
def test_a_client_that_disconnects_while_the_balancer_is_suspended_is_not_forwarded_when_its_attempt_connects(
    disconnect,
):
    # When the balancer resumes, it handles the connection to the server first; the client's disconnect is
    # then still unread, and the first line would be written for a client that has left.
    server = SlowAcceptServer("s0")
    with Balancer(server, settings=flow_settings()) as balancer:
        client = balancer.open_flow(timeout_ms=4_000)
        time.sleep(0.2)
        balancer.suspend()
        server.start_accepting()
        server.wait_for_connections()  # the balancer is notified of the connection before the disconnect
        disconnect(client)
        time.sleep(0.35)
        balancer.resume()
        wait_until(lambda: b"" in server.lines)
        assert not server.open_lines()


def test_hundreds_of_clients_that_disconnected_while_the_balancer_was_suspended_are_not_forwarded():
    # Each request arrives together with its client's disconnect. Attempts for hundreds of clients that have
    # left would fill the server's queue.
    server = FakeServer("s0")
    with Balancer(server) as balancer:
        balancer.suspend()
        for index in range(200):
            close_connection(balancer.open_flow(str(index)))
        time.sleep(0.35)
        balancer.resume()
        assert balancer.open_flow("last").readline() == b"UP r1\r\n"
        assert sum(line.startswith(b"OPEN") for line in server.lines) == 1


def half_close_after_partial_line(client):
    """Send part of a line and then a FIN, like a client that cancels its request."""
    client.conn.sendall(b"M 7")
    client.conn.shutdown(socket.SHUT_WR)


DISCONNECTS = close_connection, reset_connection, half_close_after_partial_line


@pytest.mark.parametrize("disconnect", DISCONNECTS)
@pytest.mark.parametrize("effect", EFFECTS)
def test_no_retry_starts_for_a_client_whose_disconnect_is_unread_behind_its_own_lines(effect, disconnect):
    # A read takes at most 8 KiB, so the FIN behind 14 KB of lines is still unread when the first attempt
    # fails, and a retry would start for a client that has left.
    first, second = FakeServer("s0", None), FakeServer("s1")
    with Balancer(first, second, settings=flow_settings(effect)) as balancer:
        client = balancer.open_flow(KEY_OF_FIRST_SERVER, timeout_ms=4_000)
        wait_until(lambda: first.lines)
        balancer.suspend()
        client.conn.sendall(b"".join(b"M 1 " + b"x" * 3_600 + b"\r\n" for _ in range(4)))
        # The answer proves that the flow has not run, so it may be retried whatever its effect.
        first.connections[0].sendall(b"BUSY\r\n")
        disconnect(client)
        time.sleep(0.35)
        balancer.resume()
        wait_until(lambda: b"" in first.lines)
        time.sleep(0.3)
        assert not second.connections
        first.reply = b"UP r1\r\n"
        assert balancer.open_flow("other").readline() == b"UP r1\r\n"


@pytest.mark.parametrize("early_bytes", [0, 9_000, 16_000])
def test_hundreds_of_clients_that_disconnect_as_their_attempts_connect_are_not_forwarded(early_bytes):
    # The attempts connect while the balancer is suspended. The disconnects of the clients, which have sent up
    # to 16 KB early, are still unread when it resumes.
    server = SlowAcceptServer("s0")
    with Balancer(server, settings=flow_settings()) as balancer:
        clients = [balancer.open_flow(str(index), timeout_ms=4_000) for index in range(120)]
        for client in clients:
            client.conn.sendall(b"".join(b"M 1 " + b"x" * 990 + b"\r\n" for _ in range(early_bytes // 1_000)))
        time.sleep(0.3)
        balancer.suspend()
        server.start_accepting()
        server.wait_for_connections()
        for index, client in enumerate(clients):
            DISCONNECTS[index % 3](client)
        time.sleep(0.35)
        balancer.resume()
        time.sleep(2.0)  # the kernel retransmits dropped SYNs after one second
        assert not server.open_lines()
        assert balancer.open_flow("other").readline() == b"UP r1\r\n"


@pytest.mark.parametrize("effect", EFFECTS)
def test_a_request_that_arrives_with_its_disconnect_is_not_forwarded_by_a_suspended_balancer(effect):
    server = FakeServer("s0")
    with Balancer(server, settings=flow_settings(effect)) as balancer:
        balancer.suspend()
        for index, disconnect in enumerate(DISCONNECTS):
            disconnect(balancer.open_flow(str(index)))
        time.sleep(0.15)
        balancer.resume()
        assert balancer.open_flow("other").readline() == b"UP r1\r\n"
        assert sum(line.startswith(b"OPEN") for line in server.lines) == 1


def test_an_existing_connection_whose_client_disconnects_between_attempts_is_not_retried():
    # The retry's backoff of one second expires while the balancer is suspended, so the FIN of the client,
    # which has sent 15 KB early, is still unread when the retry is due.
    server = FakeServer("s0", b"BUSY\r\n")
    with Balancer(server, settings=flow_settings(deadline=8_000)) as balancer:
        client = balancer.open_flow(timeout_ms=8_000, at="s0")
        client.conn.sendall(b"".join(b"M 1 " + b"x" * 990 + b"\r\n" for _ in range(15)))
        wait_until(lambda: b"" in server.lines)
        balancer.suspend()
        close_connection(client)
        time.sleep(1.2)  # the retry is due before the FIN is read
        balancer.resume()
        time.sleep(0.5)
        assert len(server.connections) == 1


def test_early_data_beyond_the_buffer_limit_is_rejected_at_once_and_less_is_served():
    # The limit is 16 KiB. If reading stopped there, the client's disconnect would go unnoticed; if it went
    # on, the buffer would fill the memory.
    server = FakeServer("s0", None)
    with Balancer(server) as balancer:
        early_client, flooding_client = (
            balancer.open_flow(timeout_ms=1_500),
            balancer.open_flow(timeout_ms=1_500),
        )
        lines = [b"M %d " % index + b"x" * 1_000 + b"\r\n" for index in range(10)]
        early_client.conn.sendall(b"".join(lines))
        flooding_client.conn.sendall(b"x" * 40_000)
        start = time.monotonic()
        assert flooding_client.readline() == b"ERR\r\n" and time.monotonic() < start + 0.5
        wait_until(lambda: any(line.startswith(b"OPEN id1 ") for line in server.lines))
        for conn in server.connections:
            try:
                conn.sendall(b"UP r1\r\n")
            except OSError:
                continue  # this connection belongs to the rejected client and is closed
        assert early_client.readline() == b"UP r1\r\n" and [early_client.readline() for _ in lines] == lines


class FloodedTransport(FakeTransport):
    """A transport whose socket always has more data to read than may be buffered."""

    bufferSize, closed = 8_192, False

    def doRead(self):
        self.protocol.dataReceived(b"x" * self.bufferSize)

    def unregisterProducer(self):
        pass

    def loseWriteConnection(self):
        pass

    def loseConnection(self):
        self.closed = True


def test_a_flood_detected_when_its_flow_is_admitted_is_rejected_and_its_socket_lingers():
    # The flood is found while its flow is admitted, by the check for a disconnect. Closing the socket with
    # unread data would send a reset, which may overtake the final answer.
    events, counters = [], collections.Counter()
    hooks = BalancerHooks(events.append, lambda: 0.0, lambda: True, lambda callback: callback(), lambda: 0.0)
    factory = DownstreamFactory(hooks, 1_024, counters, LingeringUpstreams())
    connection = factory.buildProtocol(None)
    connection.callLater = Clock().callLater
    connection.transport = FloodedTransport()
    connection.transport.protocol = connection
    connection.makeConnection(connection.transport)
    connection.dataReceived(b"OPEN id1 k c=live,d=900\r\n")
    assert (
        connection.has_disconnected()
        and connection.transport.value() == b"ERR\r\n"
        and counters["early_data_overflows"] == 1
    )
    assert not connection.transport.closed and len(events) == 1


@pytest.mark.parametrize("effect", EFFECTS)
def test_a_client_reset_in_the_reactor_iteration_of_its_receipt_closes_the_server_connection_too(effect):
    # The receipt is handled when the client's connection is lost already, but the event that reports the loss
    # is still queued. Without a check, the server's connection would be attached to a closed one.
    server = FakeServer("s0", None)
    with Balancer(server, settings=flow_settings(effect)) as balancer:
        client = balancer.open_flow()
        wait_until(lambda: server.lines)
        balancer.suspend()
        server.connections[0].sendall(b"UP r1\r\n")
        reset_connection(client)
        balancer.resume()
        wait_until(lambda: server.lines[-1] == b"")
        server.reply = b"UP r1\r\n"
        assert balancer.open_flow("other").readline() == b"UP r1\r\n"
        assert "event failed" not in balancer.terminate()


def test_a_server_that_does_not_close_after_its_client_has_disconnected_is_disconnected():
    # The server has 2 s to close. Without a limit, one that has disappeared would hold two descriptors
    # forever.
    server = FakeServer("s0")
    server.serve_connection = lambda conn: (server.lines.append(conn.recv(4096)), conn.sendall(b"UP r1\r\n"))
    with Balancer(server) as balancer:
        client = balancer.open_flow()
        assert client.readline() == b"UP r1\r\n"
        descriptors_before, start = descriptor_count(balancer), time.monotonic()
        client.conn.shutdown(socket.SHUT_WR)
        assert client.readline() == b"" and 1.5 < time.monotonic() - start < 4.0
        wait_until(lambda: descriptor_count(balancer) < descriptors_before)


assert TIMEOUT_S > 4.0  # the longest time that a test above waits for an answer
