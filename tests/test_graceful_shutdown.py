"""What is still owed when the balancer is told to stop; on loopback sockets."""

import signal
import time

import pytest
from flow_helpers import FIRST, breaks, goes_on, settings, stand_still
from harness import Balancer, FakeServer, SlowDoor, soon


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
