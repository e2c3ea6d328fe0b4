"""Downstream connections on loopback sockets: first lines, descriptor and memory limits, eviction."""

import pathlib
import socket
import time

import pytest
from balancer_process import SETTINGS, Balancer
from fake_servers import FakeServer
from flow_helpers import descriptor_count
from waiting import TIMEOUT_S, wait_until

from lotusroute.net.transport.line_protocol import LineProtocol

MALFORMED_FIRST_LINES = [
    b"",
    b"HELLO",
    b"OPEN",
    b"OPEN id k",
    b"OPEN id k c=live",
    b"OPEN id k c=live,d=x",
    b"OPEN id k c=live,d=-5",
    b"OPEN id k c=odd,d=900",
    b"OPEN id k c=live,d=900,d=900",
    b"OPEN id k c=live,d=nan",
    b"OPEN \xff k c=live,d=9",
    b"OPEN id k c=live,d=1_0",
    b"OPEN id k c=live,d=+9",
    b"OPEN id k c=live,d=99999999999999",
    b"OPEN  k c=live,d=900",
    b"OPEN -1 k c=live,d=900",
    b"PING x",
    b"OPEN id k c=live,d=900\nOPEN id k c=live,d=900",
    b"OPEN id k c=live,d=900,x=\x01",
    b"OPEN id k =,d=900",
    b"OPEN id k " + b"x" * 4100,
    b"x" * 9000,
]


@pytest.mark.parametrize("line", MALFORMED_FIRST_LINES)
def test_a_malformed_first_line_is_answered_and_the_next_client_is_served(line, shared_balancer):
    assert shared_balancer.connect_and_send(line).readline() == b"ERR\r\n"
    assert shared_balancer.open_flow().readline() == b"UP r1\r\n"


def test_a_flow_is_served_and_lines_are_forwarded_unchanged_both_ways():
    server = FakeServer("s1", b"UP 5cf3\r\nLOAD 12.5\r\n")
    with Balancer(server) as balancer:
        client = balancer.open_flow(timeout_ms=1500, g="yard", x="1")
        assert client.readline() == b"UP 5cf3\r\n" and client.readline() == b"LOAD 12.5\r\n"
        first = server.lines[0].decode()
        timeout = int(first.split("d=")[1].split(",")[0])
        assert first == f"OPEN id1 k c=live,d={timeout},g=yard,x=1\r\n" and 300 <= timeout <= 1500
        client.write(b"M 1 ")
        time.sleep(0.05)
        client.write(b"a\r\nM 2 \xff b\r\n")
        assert client.readline() == b"M 1 a\r\n" and client.readline() == b"M 2 \xff b\r\n"
        client.conn.shutdown(socket.SHUT_WR)
        assert client.readline() == b"BYE\r\n" and client.readline() == b""
        assert server.lines[-1] == b""


def test_beyond_the_descriptor_limit_new_flows_are_shed_and_served_again_later():
    with Balancer(FakeServer("s1"), sockets=68) as balancer:
        clients = [balancer.open_flow(str(index)) for index in range(2)]
        assert {client.readline() for client in clients} == {b"UP r1\r\n"}
        assert balancer.open_flow().readline() == b"BUSY 1000\r\n"
        clients[0].conn.shutdown(socket.SHUT_WR)
        assert clients[0].readline() == b"BYE\r\n"
        wait_until(lambda: balancer.open_flow().readline() == b"UP r1\r\n")


def test_a_client_that_reads_nothing_blocks_its_server_and_does_not_fill_the_memory():
    server = FakeServer("s1")
    with Balancer(server) as balancer:
        client = balancer.open_flow()
        client.readline()
        conn = server.connections[-1]
        conn.settimeout(0.5)
        sent = 0
        with pytest.raises(TimeoutError):
            while sent < 64_000_000:
                sent += conn.send(b"M 1 " + b"x" * 3900 + b"\r\n")
        assert sent < 32_000_000 and balancer.open_flow("other").readline() == b"UP r1\r\n"


def test_a_request_with_the_id_of_another_flow_reaches_no_server_and_that_flow_is_still_served():
    # A server that receives the id of an open flow again answers ERR to the healthy flow, and is ejected
    # after two such answers.
    server = FakeServer("s1")
    settings_with_tenant = {**SETTINGS, "tenants": [{"name": "acme"}]}
    with Balancer(server, settings=settings_with_tenant) as balancer:
        client = balancer.open_flow("own", id="7f3a", t="acme")
        assert client.readline() == b"UP r1\r\n"
        assert balancer.open_flow("other", id="7f3a", t="acme").readline() == b"ERR\r\n"
        client.write(b"M 1 a\r\n")
        assert client.readline() == b"M 1 a\r\n"
        client.conn.shutdown(socket.SHUT_WR)
        assert client.readline() == b"BYE\r\n"
        # The flow has just ended, and servers may still have its id in use.
        assert balancer.open_flow("other", id="7f3a", t="acme").readline() == b"ERR\r\n"
        assert balancer.open_flow(t="acne").readline() == b"ERR\r\n"
        assert sum(line.startswith(b"OPEN") for line in server.lines) == 1


def test_clients_that_send_nothing_or_byte_by_byte_or_only_health_checks_are_closed_within_three_seconds(
    shared_balancer,
):
    address = ("127.0.0.1", shared_balancer.port)
    silent, checking, trickling = (socket.create_connection(address, timeout=3.0) for _ in range(3))
    checking.sendall(b"PING\r\n")
    start = time.monotonic()
    while time.monotonic() < start + 1.8:
        trickling.sendall(b"O")
        time.sleep(0.2)
    received = [conn.recv(99) for conn in (silent, checking, trickling)]
    assert received == [b"", b"PONG\r\n", b""] and checking.recv(99) == b""
    assert time.monotonic() < start + 3.0


def test_sixty_megabytes_without_a_line_ending_are_rejected_and_neither_read_nor_buffered(shared_balancer):
    # If the data after the final answer were buffered, the buffer would grow to 60 MB, and each read would
    # copy all of it.
    conn = socket.create_connection(("127.0.0.1", shared_balancer.port), timeout=TIMEOUT_S)
    conn.settimeout(0.1)
    sent, start = 0, time.monotonic()
    with pytest.raises(OSError):  # the socket's buffer is full, or the connection is closed
        while sent < 60_000_000:
            sent += conn.send(b"k" * 65536)
    assert sent < 20_000_000 and conn.recv(5) == b"ERR\r\n" and time.monotonic() < start + 3.0
    # VmHWM is the process's peak memory.
    status = pathlib.Path(f"/proc/{shared_balancer.process.pid}/status").read_text()
    assert int(status.split("VmHWM:")[1].split()[0]) < 60_000  # kB
    assert shared_balancer.open_flow().readline() == b"UP r1\r\n"


def test_hundreds_of_idle_connections_take_no_descriptor_from_a_new_flow():
    # Without the eviction of idle connections, hundreds of clients that send nothing would cause ordinary
    # clients to be rejected.
    with Balancer(FakeServer("s1"), sockets=128) as balancer:
        for _ in range(3):
            idle = [socket.create_connection(("127.0.0.1", balancer.port)) for _ in range(300)]
            assert balancer.open_flow().readline() == b"UP r1\r\n"
            assert descriptor_count(balancer) <= 128
            # The oldest connection is evicted first and receives an answer.
            assert idle[0].recv(99) == b"BUSY\r\n"


def test_a_thousand_health_checks_on_one_connection_end_with_an_error(shared_balancer):
    # The front end sends one health check on a connection; an endless sequence would use up CPU time.
    client = shared_balancer.connect_and_send(b"\r\n".join([b"PING"] * 1000))
    answers = [client.readline() for _ in range(17)]
    assert answers == [b"PONG\r\n"] * 16 + [b"ERR\r\n"]


class RecordingProtocol(LineProtocol):
    """Records the lines that it receives."""

    def __init__(self):
        self.received = []

    def lineReceived(self, line):
        self.received.append(line)


def test_lines_are_slices_of_the_data_read_and_only_an_incomplete_rest_is_copied():
    protocol = RecordingProtocol()
    protocol.transport = type("Transport", (), {"disconnecting": False})()
    data = b"M 1 a\r\nM 2 b\r\nM 3"
    protocol.dataReceived(data)
    lines = protocol.received
    assert [bytes(line) for line in lines] == [b"M 1 a\r\n", b"M 2 b\r\n"] and lines[0].obj is data
    protocol.dataReceived(b" c\r\n")
    assert bytes(lines[2]) == b"M 3 c\r\n"
