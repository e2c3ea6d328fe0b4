"""Clients that disconnect, or send too much, at any point of their flow; on loopback sockets.

Each coincidence is forced: by a server that lets no connection come up until it is opened, or by a balancer
that is stopped while both events arrive.
"""

import collections
import socket
import time

import pytest
from flow_helpers import EFFECTS, FIRST, descriptors, end, goes_on, reset, settings, stand_still
from harness import DEADLINE, Balancer, FakeServer, SlowDoor, soon
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from lotusroute.net.downstream import DownstreamFactory


@pytest.mark.parametrize(
    "effect, behind, leave",
    [
        ("read_like", 0, end),
        ("read_like", 6_000, reset),
        ("read_like", 300_000, end),
        ("idempotency_key", 6_000, end),
        ("non_idempotent", 0, reset),
        ("non_idempotent", 6_000, end),
        ("non_idempotent", 300_000, reset),
    ],
)
def test_who_leaves_while_a_connect_comes_up_is_not_sent_on(effect, behind, leave):
    # Read no further than 4 KiB behind its line, neither its FIN nor its RST was seen.
    server = SlowDoor("s0")
    with Balancer(server, settings=settings(effect)) as balancer:
        client = balancer.ask(wait=4_000)
        client.conn.settimeout(0.2)
        try:
            client.conn.sendall(b"M 1 " + b"x" * behind + b"\r\n")
        except OSError:  # refused, or no room
            assert behind > 16_384
        time.sleep(0.1)
        leave(client)
        time.sleep(0.1)
        server.open()
        time.sleep(1.5)  # the system tries again after one second
        assert not server.flows()
        assert balancer.ask("other").readline() == b"UP r1\r\n"


@pytest.mark.parametrize("leave", [end, reset])
def test_who_leaves_while_the_balancer_is_held_up_is_not_sent_on_with_the_connect_that_came_up(leave):
    server = SlowDoor("s0")
    with Balancer(server, settings=settings()) as balancer:
        client = balancer.ask(wait=4_000)
        time.sleep(0.2)
        stand_still(balancer)
        server.open()
        server.came()  # up first, so that the balancer hears of it first
        leave(client)
        time.sleep(0.35)
        goes_on(balancer)
        soon(lambda: b"" in server.lines)
        assert not server.flows()


def test_hundreds_who_left_while_the_balancer_was_held_up_are_not_sent_on():
    server = FakeServer("s0")
    with Balancer(server) as balancer:
        stand_still(balancer)
        for at in range(200):
            end(balancer.ask(str(at)))
        time.sleep(0.35)
        goes_on(balancer)
        assert balancer.ask("last").readline() == b"UP r1\r\n"
        assert sum(line.startswith(b"OPEN") for line in server.lines) == 1


def half_line_and_end(file):
    """Say half a line more, then end the sending alone, as one that cancels its request."""
    file.conn.sendall(b"M 7")
    file.conn.shutdown(socket.SHUT_WR)


LEAVES = end, reset, half_line_and_end


@pytest.mark.parametrize("leave", LEAVES)
@pytest.mark.parametrize("effect", EFFECTS)
def test_no_further_connect_is_begun_for_one_whose_end_lies_unread_behind_its_own_lines(effect, leave):
    # Read by 8 KiB a turn, the end was not seen when the first connect had failed: the second was begun.
    first, second = FakeServer("s0", None), FakeServer("s1")
    with Balancer(first, second, settings=settings(effect)) as balancer:
        client = balancer.ask(FIRST, wait=4_000)
        soon(lambda: first.lines)
        stand_still(balancer)
        client.conn.sendall(b"".join(b"M 1 " + b"x" * 3_600 + b"\r\n" for _ in range(4)))
        first.conns[0].sendall(b"BUSY\r\n")  # it has not run: any effect may be sent again
        leave(client)
        time.sleep(0.35)
        goes_on(balancer)
        soon(lambda: b"" in first.lines)
        time.sleep(0.3)
        assert not second.conns
        first.reply = b"UP r1\r\n"
        assert balancer.ask("other").readline() == b"UP r1\r\n"


@pytest.mark.parametrize("behind", [0, 9_000, 16_000])
def test_hundreds_whose_connects_come_up_are_not_sent_on_when_they_have_left_in_the_same_turn(behind):
    server = SlowDoor("s0")
    with Balancer(server, settings=settings()) as balancer:
        clients = [balancer.ask(str(at), wait=4_000) for at in range(120)]
        for client in clients:
            client.conn.sendall(b"".join(b"M 1 " + b"x" * 990 + b"\r\n" for _ in range(behind // 1_000)))
        time.sleep(0.3)
        stand_still(balancer)
        server.open()
        server.came()
        for at, client in enumerate(clients):
            LEAVES[at % 3](client)
        time.sleep(0.35)
        goes_on(balancer)
        time.sleep(2.0)  # the system tries those again that did not come up, after one second
        assert not server.flows()
        assert balancer.ask("other").readline() == b"UP r1\r\n"


@pytest.mark.parametrize("effect", EFFECTS)
def test_a_line_that_comes_with_its_end_is_not_sent_on_by_a_balancer_that_was_held_up(effect):
    server = FakeServer("s0")
    with Balancer(server, settings=settings(effect)) as balancer:
        stand_still(balancer)
        for at, leave in enumerate(LEAVES):
            leave(balancer.ask(str(at)))
        time.sleep(0.15)
        goes_on(balancer)
        assert balancer.ask("other").readline() == b"UP r1\r\n"
        assert sum(line.startswith(b"OPEN") for line in server.lines) == 1


def test_a_standing_connection_whose_client_has_left_between_two_tries_is_not_tried_again():
    server = FakeServer("s0", b"BUSY\r\n")
    with Balancer(server, settings=settings(deadline=8_000)) as balancer:
        client = balancer.ask(wait=8_000, at="s0")
        client.conn.sendall(b"".join(b"M 1 " + b"x" * 990 + b"\r\n" for _ in range(15)))
        soon(lambda: b"" in server.lines)
        stand_still(balancer)
        end(client)
        time.sleep(1.2)  # the next try is due, before the end is read
        goes_on(balancer)
        time.sleep(0.5)
        assert len(server.conns) == 1


def test_a_client_that_says_more_than_may_be_held_is_refused_at_once_and_one_that_says_less_is_served():
    server = FakeServer("s0", None)
    with Balancer(server) as balancer:
        hasty, flood = balancer.ask(wait=1_500), balancer.ask(wait=1_500)
        lines = [b"M %d " % at + b"x" * 1_000 + b"\r\n" for at in range(10)]
        hasty.conn.sendall(b"".join(lines))
        flood.conn.sendall(b"x" * 40_000)
        start = time.monotonic()
        assert flood.readline() == b"ERR\r\n" and time.monotonic() < start + 0.5
        soon(lambda: any(line.startswith(b"OPEN id1 ") for line in server.lines))
        for conn in server.conns:
            try:
                conn.sendall(b"UP r1\r\n")
            except OSError:
                continue  # the other's
        assert hasty.readline() == b"UP r1\r\n" and [hasty.readline() for _ in lines] == lines


class Socket(StringTransport):
    """A transport whose socket holds a flood."""

    bufferSize, dataBuffer, _tempDataBuffer, closed = 8_192, b"", (), False

    def doRead(self):
        self.protocol.dataReceived(b"x" * self.bufferSize)

    def writeSomeData(self, data):
        self.write(data)
        return len(data)

    def setTcpNoDelay(self, _):
        pass

    def unregisterProducer(self):
        pass

    def loseWriteConnection(self):
        pass

    def loseConnection(self):
        self.closed = True


def test_a_flood_that_is_found_as_its_flow_is_taken_is_refused_and_lingers():
    # Closed at once over what it still sends, it would be sent a reset that may overtake its last line.
    events, counters = [], collections.Counter()
    clients = DownstreamFactory(events.append, lambda: 0.0, lambda: True, 1_024, counters)
    side = clients.buildProtocol(None)
    side.callLater = Clock().callLater
    side.transport = Socket()
    side.transport.protocol = side
    side.makeConnection(side.transport)
    side.dataReceived(b"OPEN id1 k c=live,d=900\r\n")
    assert side.left() and side.transport.value() == b"ERR\r\n" and counters["early_data_overflows"] == 1
    assert not side.transport.closed and len(events) == 1


@pytest.mark.parametrize("effect", EFFECTS)
def test_a_client_that_breaks_off_in_the_turn_of_its_receipt_leaves_its_server_too(effect):
    server = FakeServer("s0", None)
    with Balancer(server, settings=settings(effect)) as balancer:
        client = balancer.ask()
        soon(lambda: server.lines)
        stand_still(balancer)
        server.conns[0].sendall(b"UP r1\r\n")
        reset(client)
        goes_on(balancer)
        soon(lambda: server.lines[-1] == b"")
        server.reply = b"UP r1\r\n"
        assert balancer.ask("other").readline() == b"UP r1\r\n"
        assert "event failed" not in balancer.end()


def test_a_server_that_does_not_end_what_its_client_has_left_is_left_too():
    server = FakeServer("s0")
    server._serve = lambda conn: (server.lines.append(conn.recv(4096)), conn.sendall(b"UP r1\r\n"))
    with Balancer(server) as balancer:
        client = balancer.ask()
        assert client.readline() == b"UP r1\r\n"
        held, start = descriptors(balancer), time.monotonic()
        client.conn.shutdown(socket.SHUT_WR)
        assert client.readline() == b"" and 1.5 < time.monotonic() - start < 4.0
        soon(lambda: descriptors(balancer) < held)


assert DEADLINE > 4.0  # the longest that a test above waits for its answer
