"""Clients that read slowly or not at all, on established connections and at their end; on loopback sockets.

The clients have small receive buffers, or their servers send more than all buffers hold, so that data
certainly waits at the balancer.
"""

import contextlib
import signal
import socket
import threading
import time

import pytest
from balancer_process import Balancer
from connection_ending_helpers import (
    CHECK_INTERVAL_S,
    CHECK_MARGIN_S,
    CLIENT_BUFFER_BYTES,
    DRAIN_SPREAD_S,
    LINGER_TIMEOUT_S,
    SHUTDOWN_LIMIT_S,
    drain_servers,
    end_connection,
    numbered_line,
)
from fake_servers import FakeServer
from flow_helpers import close_connection, descriptor_count
from waiting import TIMEOUT_S, wait_until

CLIENT_STALL_TIMEOUT_S = 30.0
UNRESPONSIVE_TIMEOUT_S = 2.5
IDLE_CLIENT_TIMEOUT_S = 60.0
ECHOED_LINE = b"M 1 echo\r\n"
# With 128 descriptors, 80 are left for connections.
SLOW_CLIENT_COUNT = 39
SLOW_CLIENT_LINES = 80  # read for several seconds
NEW_FLOW_COUNT = 20


def fill_client_with_lines(balancer, server, count, buffer_bytes=CLIENT_BUFFER_BYTES, **parameters):
    """Open a flow whose client does not read, and push numbered lines to it; return the client.

    The client's receive buffer is small, so nearly all lines wait at the balancer.
    """
    client = balancer.open_flow(**parameters)
    client.conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    assert client.readline() == b"UP r1\r\n"
    for number in range(count):
        server.connections[-1].sendall(numbered_line(number))
    return client


def read_slowly(client, minimum_s):
    """Read 4 KiB each 20 ms until the end of the connection; return all lines.

    The client must still have been reading after `minimum_s`, or the test has shown nothing.
    """
    start, received = time.monotonic(), b""
    while part := client.conn.recv(CLIENT_BUFFER_BYTES):
        received += part
        time.sleep(0.02)
    assert time.monotonic() - start > minimum_s
    return received.splitlines(keepends=True)


def test_a_client_that_reads_slowly_receives_all_lines_and_its_move_when_its_server_drains():
    # The connection was reset a second after MOVE had been queued behind lines that the client had not read.
    count, server = 150, FakeServer("s0")
    with Balancer(server) as balancer:
        client = fill_client_with_lines(balancer, server, count)
        drain_servers(balancer, server)
        lines = read_slowly(client, minimum_s=2 * LINGER_TIMEOUT_S)
        assert lines == [numbered_line(number) for number in range(count)] + [b"MOVE\r\n"]


@pytest.mark.parametrize("close", ["half", "full"])
def test_a_client_that_reads_slowly_receives_all_lines_of_a_server_that_has_ended(close):
    # The connection was reset a second after the server's end, also while the client took data.
    count, server = 150, FakeServer("s0")
    with Balancer(server) as balancer:
        client = fill_client_with_lines(balancer, server, count)
        server.connections[0].sendall(b"BYE\r\n")
        end_connection(server, close)
        lines = read_slowly(client, minimum_s=2 * LINGER_TIMEOUT_S)
        assert lines == [numbered_line(number) for number in range(count)] + [b"BYE\r\n"]


def test_a_client_that_takes_nothing_is_disconnected_within_a_second_of_its_servers_end():
    # The protocol requires that a connection ends within a second of its server's end.
    server = FakeServer("s0")
    with Balancer(server) as balancer:
        idle_descriptors = descriptor_count(balancer)
        client = fill_client_with_lines(balancer, server, 150)
        time.sleep(LINGER_TIMEOUT_S)  # the client's last progress is long past
        end_connection(server, "full")
        ended = time.monotonic()
        wait_until(lambda: descriptor_count(balancer) <= idle_descriptors)
        assert time.monotonic() - ended < LINGER_TIMEOUT_S + CHECK_MARGIN_S and client


def test_a_migrated_client_that_takes_nothing_is_disconnected_in_time():
    # Without a limit from its last progress, a client that has disappeared would hold a descriptor for ever.
    server = FakeServer("s0")
    with Balancer(server) as balancer:
        client = fill_client_with_lines(balancer, server, 150)
        time.sleep(CHECK_MARGIN_S)
        descriptors = descriptor_count(balancer)
        drain_servers(balancer, server)
        start = time.monotonic()
        time.sleep(DRAIN_SPREAD_S + CLIENT_STALL_TIMEOUT_S / 2)
        assert descriptor_count(balancer) == descriptors - 1  # the client is still owed its MOVE
        time.sleep(start + DRAIN_SPREAD_S + CLIENT_STALL_TIMEOUT_S + CHECK_MARGIN_S - time.monotonic())
        assert descriptor_count(balancer) == descriptors - 2 and client


@pytest.mark.parametrize(("sockets", "lingering_count", "new_count"), [(128, 30, 32), (1_024, 420, 448)])
def test_clients_that_do_not_take_their_move_hold_no_descriptor_that_a_new_flow_needs(
    sockets, lingering_count, new_count
):
    # Many clients take nothing and linger. The balancer has room for the new flows, with two descriptors
    # each, only without these clients. The shutdown keeps its time with all of them.
    server, other = FakeServer("s0"), FakeServer("s1")
    with Balancer(server, sockets=sockets) as balancer:
        lingering = [
            fill_client_with_lines(balancer, server, 20, key=str(index)) for index in range(lingering_count)
        ]
        balancer.discovery.entries = [server.entry("DRAINING"), other.entry()]
        balancer.discovery.seq += 1
        wait_until(lambda: server.lines.count(b"") == lingering_count)  # all clients were migrated
        time.sleep(LINGER_TIMEOUT_S + CHECK_MARGIN_S)
        clients = []
        for index in range(new_count):
            clients.append(balancer.open_flow(f"new{index}"))
            assert clients[-1].readline() == b"UP r1\r\n"
        assert lingering
        start = time.monotonic()
        balancer.process.send_signal(signal.SIGTERM)
        assert balancer.process.wait(TIMEOUT_S) == 0
        assert time.monotonic() - start < SHUTDOWN_LIMIT_S
        assert [client.readline() for client in clients] == [b"MOVE\r\n"] * new_count


def test_new_flows_are_served_beside_clients_that_read_slowly_after_their_servers_end():
    # The connection to a server that had ended was not counted while its client still received data, so new
    # flows were admitted for which no descriptor was left. They can have those of these connections.
    server, other = FakeServer("s0"), FakeServer("s1")
    with Balancer(server, other, sockets=128) as balancer:
        slow = [
            fill_client_with_lines(balancer, server, SLOW_CLIENT_LINES, key=str(index), at="s0")
            for index in range(SLOW_CLIENT_COUNT)
        ]
        for conn in server.connections:
            conn.shutdown(socket.SHUT_WR)
        received = [b""] * SLOW_CLIENT_COUNT
        reader = threading.Thread(target=read_all_slowly, args=(slow, received), daemon=True)
        reader.start()
        time.sleep(LINGER_TIMEOUT_S + CHECK_MARGIN_S)
        assert descriptor_count(balancer) > 2 * SLOW_CLIENT_COUNT
        new_clients = []
        for index in range(NEW_FLOW_COUNT):
            new_clients.append(balancer.open_flow(f"new{index}", at="s1"))
            assert new_clients[-1].readline() == b"UP r1\r\n"
        reader.join()
        assert [data.count(b"\r\n") for data in received] == [SLOW_CLIENT_LINES] * SLOW_CLIENT_COUNT


def read_all_slowly(clients, received):
    """Read 4 KiB from each client in turn, fifty times a second, until all connections are closed."""
    remaining = dict(enumerate(clients))
    while remaining:
        for index, client in list(remaining.items()):
            data = b""
            with contextlib.suppress(OSError):
                data = client.conn.recv(CLIENT_BUFFER_BYTES)
            received[index] += data
            if not data:
                del remaining[index]
        time.sleep(0.02)


def test_a_client_that_reads_slowly_receives_its_move_before_the_process_exits():
    # The process ended once the last lines were handed to the system. The client's next line then met a
    # closed socket, and the system's reset dropped what the client had not received.
    count, server = 90, FakeServer("s0")
    with Balancer(server) as balancer:
        client = fill_client_with_lines(balancer, server, count, buffer_bytes=8 * CLIENT_BUFFER_BYTES)
        start = time.monotonic()
        balancer.process.send_signal(signal.SIGTERM)
        threading.Thread(target=send_every_50_ms, args=(client,), daemon=True).start()
        lines = [line for line in read_slowly(client, minimum_s=1.0) if line != ECHOED_LINE]
        assert lines == [numbered_line(number) for number in range(count)] + [b"MOVE\r\n"]
        balancer.process.wait(TIMEOUT_S)
        assert time.monotonic() - start < SHUTDOWN_LIMIT_S


def send_every_50_ms(client):
    """Send short lines until the connection is closed."""
    with contextlib.suppress(OSError):
        while True:
            client.write(ECHOED_LINE)
            time.sleep(0.05)


class SweepServer(FakeServer):
    """A server that pushes more lines than the balancer and the system buffer, then echoes lines."""

    LINES = 2_500

    def serve_connection(self, conn):
        """Push the lines, then echo, until the connection ends."""
        with conn, conn.makefile("rb") as lines:
            self.lines.append(lines.readline())
            conn.sendall(b"UP r1\r\n")
            for number in range(self.LINES):
                conn.sendall(numbered_line(number))
            for line in lines:
                self.lines.append(line)
                conn.sendall(line)
            self.lines.append(b"")


def open_sweep(balancer, **parameters):
    """Open a flow at a `SweepServer`, and send a line once the balancer no longer reads the server."""
    client = balancer.open_flow(**parameters)
    assert client.readline() == b"UP r1\r\n"
    time.sleep(1.0)  # the buffers fill
    client.write(b"M 1 echo\r\n")
    return client


def test_a_server_is_not_unresponsive_while_its_client_does_not_read():
    # While the client has unsent data, the balancer does not read the server. Its replies lay unread in the
    # balancer's own socket, and after 2.5 s the healthy server was taken for unresponsive.
    server = SweepServer("s0")
    with Balancer(server) as balancer:
        client = open_sweep(balancer)
        time.sleep(UNRESPONSIVE_TIMEOUT_S + CHECK_INTERVAL_S + LINGER_TIMEOUT_S + CHECK_MARGIN_S)
        with client.conn.makefile("rb") as lines:
            received = [lines.readline() for _ in range(server.LINES + 1)]
        assert received[:-1] == [numbered_line(number) for number in range(server.LINES)]
        assert received[-1] == b"M 1 echo\r\n"


def test_a_server_is_not_slow_while_its_client_does_not_read():
    # The time for which the balancer itself did not read the server counted as the server's reply delay: the
    # server was reported as slow, and its client was migrated to the other server.
    sweep, other = SweepServer("s0"), FakeServer("s1")
    with Balancer(sweep, other, env={"LB_LOG": "debug"}.items()) as balancer:
        client = open_sweep(balancer, at="s0")
        time.sleep(3 * CHECK_INTERVAL_S)
        with client.conn.makefile("rb") as lines:
            received = [lines.readline() for _ in range(sweep.LINES + 1)]
        assert received[-1] == b"M 1 echo\r\n"
        time.sleep(CHECK_INTERVAL_S + CHECK_MARGIN_S)
        assert "server slow" not in balancer.terminate()


def test_lines_of_a_client_that_did_not_read_and_closed_reach_a_server_that_waits_to_send():
    # The balancer had stopped reading the server for the client's sake. If it did not read it again once the
    # client is gone, the server could not go on to read the client's lines.
    sent, server = [b"M %d\r\n" % number for number in range(20)], SweepServer("s0")
    with Balancer(server) as balancer:
        client = balancer.open_flow()
        assert client.readline() == b"UP r1\r\n"
        client.conn.sendall(b"".join(sent))
        client.conn.shutdown(socket.SHUT_WR)
        time.sleep(1.0)  # the buffers fill
        close_connection(client)
        wait_until(lambda: server.lines[-1] == b"")
        assert server.lines[1:-1] == sent


def test_a_client_that_receives_lines_for_over_a_minute_is_not_asked_to_reconnect():
    # Only the client's own lines counted as activity. A client that had sent one line and then received a
    # long answer got MOVE in the middle of it after 60 s, and again after each try.
    server = FakeServer("s0")
    with Balancer(server) as balancer:
        client = balancer.open_flow()
        assert client.readline() == b"UP r1\r\n"
        client.write(b"SCAN\r\n")
        assert client.readline() == b"SCAN\r\n"
        for number in range(int(IDLE_CLIENT_TIMEOUT_S) + 3):
            server.connections[0].sendall(b"M %d\r\n" % number)
            assert client.readline() == b"M %d\r\n" % number
            time.sleep(1.0)


def test_an_established_client_that_takes_nothing_is_disconnected_in_time():
    # The server neither ends nor is silent, so nothing else would ever end these two connections: one client
    # sends lines, the other only receives. The second has less data waiting than would stop its server.
    servers = [SweepServer("s0"), FakeServer("s1")]
    with Balancer(*servers) as balancer:
        start = time.monotonic()
        sending = open_sweep(balancer, at="s0")
        receiving = fill_client_with_lines(balancer, servers[1], 150, at="s1")
        time.sleep(CHECK_INTERVAL_S)
        descriptors = descriptor_count(balancer)
        time.sleep(CLIENT_STALL_TIMEOUT_S / 2)
        assert descriptor_count(balancer) == descriptors and sending
        limit = CLIENT_STALL_TIMEOUT_S + LINGER_TIMEOUT_S + 2 * CHECK_INTERVAL_S + CHECK_MARGIN_S
        time.sleep(start + 1.0 + limit - time.monotonic())  # the buffers have filled within a second
        assert descriptor_count(balancer) == descriptors - 4 and receiving
