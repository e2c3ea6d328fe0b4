"""Stories of ends that meet something still owed, on loopback sockets.

Each crossing is forced: by a server that lets nothing come up until told, or by a balancer that is stopped
while both events arrive.
"""

import collections
import pathlib
import signal
import socket
import struct
import time
import types

import pytest
from harness import DEADLINE, SETTINGS, Balancer, FakeHost, FakeServer, SlowDoor, soon
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from lotusroute.net.discovery import Discovery
from lotusroute.net.downstream import FlowRequested
from lotusroute.net.endpoint_list import EndpointUpdate
from lotusroute.net.listener import DownstreamFactory
from lotusroute.net.owner import Owner
from lotusroute.routing import events

EFFECTS = "read_like", "idempotency_key", "non_idempotent"
FIRST = next(key for key in map(str, range(99)) if FakeHost(servers=2).default(key) == "s0")  # s0 first


def settings(effect="read_like", deadline=4_000, come_up=5_000, grace=2_000, **more):
    """As SETTINGS, for one service type, and connections that may take long to come up."""
    kind = {"name": "live", "setup_target": 300, "deadline": deadline, "effect": effect, **more}
    return {
        **SETTINGS,
        "service_types": [kind],
        "rules": {"stop_sending_within": grace},
        "limits": {**SETTINGS["limits"], "connect_timeout": come_up},
    }


def reset(file):
    """Break a connection off."""
    file.conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    file.close()
    file.conn.close()


def end(file):
    """Close a connection politely."""
    file.close()
    file.conn.close()


def stand_still(balancer):
    """Stop the program between two instructions, for certain."""
    balancer.process.send_signal(signal.SIGSTOP)
    status = f"/proc/{balancer.process.pid}/stat"
    with open(status) as file:
        soon(lambda: (file.seek(0), file.read().rsplit(")", 1)[1].split()[0] == "T")[1])


def goes_on(balancer):
    balancer.process.send_signal(signal.SIGCONT)


def descriptors(balancer):
    """How many the program holds."""
    return len(list(pathlib.Path(f"/proc/{balancer.process.pid}/fd").iterdir()))


# The client leaves


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
    assert (
        side.has_disconnected()
        and side.transport.value() == b"ERR\r\n"
        and counters["early_data_overflows"] == 1
    )
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


# A server drains


@pytest.mark.parametrize("effect", EFFECTS)
def test_a_connect_that_has_not_come_up_is_taken_back_when_its_server_drains(effect):
    slow, other = SlowDoor("s0"), FakeServer("s1", b"UP other\r\n")
    with Balancer(slow, other, settings=settings(effect)) as balancer:
        client = balancer.ask(FIRST, wait=4_000)
        time.sleep(0.1)
        balancer.list.entries, balancer.list.seq = [slow.entry("DRAINING"), other.entry()], 2
        start = time.monotonic()
        assert client.readline() == b"UP other\r\n" and time.monotonic() < start + 0.7
        slow.open()
        time.sleep(1.5)
        assert not slow.flows()


def test_a_connect_that_came_up_while_the_balancer_was_held_up_is_not_used_beyond_the_grace():
    slow, other = SlowDoor("s0"), FakeServer("s1", b"UP other\r\n")
    with Balancer(slow, other, settings=settings(grace=300)) as balancer:
        client = balancer.ask(FIRST, wait=4_000)
        time.sleep(0.1)
        stand_still(balancer)
        slow.open()
        slow.came()  # first, so that the balancer hears of it before it hears of the drain
        balancer.list.entries, balancer.list.seq = [slow.entry("DRAINING"), other.entry()], 2
        time.sleep(0.4)
        goes_on(balancer)
        assert client.readline() == b"UP other\r\n" and not slow.flows()


# What may have run


def breaks(name):
    """A server that resets each connection once it has its line."""
    server = FakeServer(name, None)
    serve = server._serve

    def broken(conn):
        server.lines.append(conn.recv(4096))
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.close()

    server._serve = lambda conn: (serve if server.reply else broken)(conn)
    return server


@pytest.mark.parametrize(
    "effect, group, last",
    [
        ("read_like", "all", b"BUSY"),
        ("idempotency_key", "all", b"BUSY"),
        ("idempotency_key", "cell", b"ERR"),
    ],
)
def test_at_the_stop_what_an_earlier_connect_may_have_run_is_not_called_harmless(effect, group, last):
    # The end looked at the connect in flight alone, and that had not come up.
    first, second = breaks("s0"), SlowDoor("s1")
    told = settings(effect, deadline=8_000, group=group, window=20_000)
    with Balancer(first, second, settings=told) as balancer:
        client = balancer.ask(FIRST, wait=8_000)
        soon(lambda: first.lines)
        balancer.process.send_signal(signal.SIGTERM)
        assert client.readline().startswith(last) and client.readline() == b""


def test_a_receipt_that_comes_as_all_is_cut_at_the_stop_is_passed_on_and_its_client_moved():
    server = FakeServer("s0", None)
    with Balancer(server, settings=settings("non_idempotent", deadline=8_000)) as balancer:
        client = balancer.ask(wait=8_000)
        soon(lambda: server.lines)
        balancer.process.send_signal(signal.SIGTERM)
        time.sleep(3.0)
        stand_still(balancer)
        server.conns[0].sendall(b"UP r1\r\n")
        time.sleep(0.4)  # all is cut 3.35 s after the order
        goes_on(balancer)
        assert client.readline() == b"UP r1\r\n" and client.readline() == b"MOVE\r\n"


def test_a_repeat_that_comes_up_when_its_window_is_over_is_not_sent():
    first, second = breaks("s0"), SlowDoor("s1")
    told = settings("idempotency_key", group="all", window=600)
    with Balancer(first, second, settings=told) as balancer:
        client = balancer.ask(FIRST, wait=4_000)
        soon(lambda: first.lines)
        second.open()
        assert client.readline().startswith(b"BUSY") and not second.flows()


SPOILT = (
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


@pytest.mark.parametrize("answer", [SPOILT[at] for at in (0, 2, 5, 8, 9, 10)])
def test_a_spoilt_answer_reaches_nobody_as_served_and_another_server_serves(answer):
    spoilt, sound = FakeServer("s0", answer), FakeServer("s1", b"UP sound\r\n")
    with Balancer(spoilt, sound, settings=settings()) as balancer:
        assert balancer.ask(FIRST, wait=1_000).readline() == b"UP sound\r\n" and spoilt.lines
        spoilt.reply = b"UP r1\r\n"
        assert balancer.ask(FIRST + "x").readline() in (b"UP r1\r\n", b"UP sound\r\n")


def test_after_a_spoilt_answer_a_once_only_flow_is_sent_nowhere_else():
    servers = [FakeServer(f"s{at}", answer) for at, answer in enumerate(SPOILT)]
    home = FakeHost(servers=len(SPOILT)).default
    keys = [next(key for key in map(str, range(999)) if home(key) == server.name) for server in servers]
    with Balancer(*servers, settings=settings("non_idempotent")) as balancer:
        # All at once: where most connects have failed already, a later flow is refused without a connect.
        stand_still(balancer)
        clients = [balancer.ask(key, wait=1_000) for key in keys]
        goes_on(balancer)
        assert {client.readline() for client in clients} == {b"ERR\r\n"}
        for server in servers:
            assert sum(line.startswith(b"OPEN") for line in server.lines) == 1


# We end something


def test_a_first_line_that_is_whole_in_the_socket_is_answered_though_its_time_is_over():
    with Balancer(FakeServer("s0")) as balancer:
        client = balancer.say(b"PING")
        assert client.readline() == b"PONG\r\n"
        client.conn.sendall(b"OPEN id9 k c=li")
        time.sleep(0.2)
        stand_still(balancer)
        client.conn.sendall(b"ve,d=1500\r\n")
        time.sleep(2.2)
        goes_on(balancer)
        assert client.readline() == b"UP r1\r\n"


def test_who_came_while_the_balancer_was_held_up_at_its_stop_is_answered_before_the_end():
    with Balancer(FakeServer("s0")) as balancer:
        waiting = balancer.say(b"PING")
        assert waiting.readline() == b"PONG\r\n"
        balancer.process.send_signal(signal.SIGTERM)
        assert waiting.conn.send(b"OPEN id8 k c=") and balancer.ask().readline().startswith(b"BUSY")
        stand_still(balancer)
        waiting.conn.sendall(b"live,d=1500\r\n")
        newcomers = [balancer.ask(str(at)) for at in range(40)]
        time.sleep(1.0)
        goes_on(balancer)
        assert {client.readline()[:4] for client in [waiting, *newcomers]} == {b"BUSY"}
        balancer.end(0)
        assert balancer.process.returncode == 0


def test_a_second_order_to_stop_and_a_reload_while_it_stops_change_nothing():
    with Balancer(FakeServer("s0")) as balancer:
        client = balancer.ask()
        assert client.readline() == b"UP r1\r\n"
        balancer.process.send_signal(signal.SIGTERM)
        soon(lambda: balancer.ask().readline().startswith(b"BUSY"))
        for number in (signal.SIGHUP, signal.SIGTERM):
            balancer.process.send_signal(number)
            assert balancer.ask().readline().startswith(b"BUSY")
        assert client.readline() == b"MOVE\r\n" and client.readline() == b""
        log = balancer.end(0)
        assert balancer.process.returncode == 0
        assert log.count('event="shutdown started"') == log.count("event=reloaded") == 1


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


def test_a_client_that_stays_after_its_end_is_let_go_within_seconds_and_has_read_all():
    server = FakeServer("s0")
    with Balancer(server) as balancer:
        client = balancer.ask()
        assert client.readline() == b"UP r1\r\n"
        held = descriptors(balancer)
        server.conns[0].sendall(b"M 1 last\r\nBYE\r\n")
        server.conns[0].shutdown(socket.SHUT_WR)
        soon(lambda: descriptors(balancer) <= held - 2)
        assert [client.readline() for _ in range(3)] == [b"M 1 last\r\n", b"BYE\r\n", b""]


def test_a_move_that_waits_to_be_written_is_not_lost_to_newcomers():
    server = FakeServer("s0")
    with Balancer(server, sockets=128) as balancer:
        client = balancer.ask()
        assert client.readline() == b"UP r1\r\n"
        line, sent = b"M 1 " + b"x" * 3_000 + b"\r\n", 0
        server.conns[0].settimeout(0.3)
        try:
            while True:
                sent += server.conns[0].send(line)
        except TimeoutError:
            pass
        balancer.list.entries, balancer.list.seq = [server.entry("DRAINING")], 2
        time.sleep(1.2)  # moved within a second
        flood = [socket.create_connection(("127.0.0.1", balancer.port)) for _ in range(200)]
        read = client.read(10_000_000)
        while part := client.read(10_000_000):
            read = read[-100:] + part
        assert read.endswith(b"\r\nMOVE\r\n") and flood


# What discovery tells


def test_one_spoilt_entry_does_not_keep_a_drain_unheard_and_no_whole_list_is_asked_for():
    one, two = FakeServer("s0", b"UP one\r\n"), FakeServer("s1", b"UP two\r\n")
    with Balancer(one, two) as balancer:
        other = {**one.entry(), "host": "s9"}
        odd = {"health": "odd"}, {"block": 1e999}, {"host": 0}
        for spoilt in 7, {"host": "s9"}, *({**other, **part} for part in odd):
            balancer.list.entries = [spoilt, one.entry("DRAINING"), two.entry()]
            balancer.list.seq += 1
            soon(lambda: balancer.list.asked[-1][1] == str(balancer.list.seq))
            assert {balancer.ask(str(at)).readline() for at in range(5)} == {b"UP two\r\n"}
        assert None not in [since for _, since in balancer.list.asked]
        log = balancer.end()
        assert log.count('event="malformed list entries" entries=1') == 5


def broken_owner(**parts):
    """An owner of which only what a story needs works."""
    owner = types.SimpleNamespace(counters=collections.Counter(), relist=None, clock=lambda: 0.0, **parts)
    owner._failed = lambda event, number: Owner._failed(owner, event, number)
    owner._forget = parts.get("_forget", lambda number: None)
    return owner


def test_an_action_that_raises_takes_none_of_the_others_with_it():
    done, forgotten = [], []

    def move(owner, action):
        if action.id == 1:
            raise OSError("gone")
        done.append(action.id)

    actions = [events.Migrate(1), events.Migrate(2)]
    owner = broken_owner(
        _do={events.Migrate: move}, director=types.SimpleNamespace(decide=lambda *_: actions)
    )
    owner._forget = forgotten.append
    Owner._decide(owner, events.TimerFired("tick"))
    assert done == [2] and forgotten == [1]


def test_a_line_over_which_something_broke_before_it_was_a_flow_is_answered():
    said = []
    side = types.SimpleNamespace(flow_id=0, send_final_answer=said.append)
    Owner._failed(broken_owner(), FlowRequested(side, None, 0.0), 0)
    assert said == [b"ERR"]


def test_a_list_over_which_something_broke_is_asked_for_whole():
    following = Discovery(("127.0.0.1", 1), 41, 7, print, collections.Counter())
    owner = broken_owner()
    owner.relist = following.request_complete_list
    Owner._failed(owner, EndpointUpdate(events.CHANGES, (), {}), 0)
    assert following.seq is None


def test_a_referenced_flow_of_an_unknown_group_that_may_have_run_goes_nowhere_else():
    kind = events.ServiceType(300.0, events.IDEMPOTENCY_KEY, "shelf", 9_000.0)
    host = FakeHost(vip=events.ServiceConfig({"live": kind}, max_attempts=4))
    assert host.end(host.ask(), events.RESET) == [events.Abort(1)]


assert DEADLINE > 4.0  # the longest that a story above waits for its answer
