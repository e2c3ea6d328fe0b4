"""Stories of news of the list: whatever becomes of the calls, it is in within one time, on loopback sockets.

Each story plays many balancers at once, every one with a discovery of its own that does to its calls what the
case says, for the time they take is the protocol's.
"""

import contextlib
import itertools
import socket
import threading
import time

import pytest
from flow_helpers import resume_process, stop_process
from harness import DEADLINE, SETTINGS, Balancer, FakeServer, discovery, soon

LATEST, LINE = 6.0, 2.0  # s: when a change counts as told, and how long calls may stand in line
ASKED = {**SETTINGS, "discovery": "ask", "rules": {"stop_sending_within": 500}}
TWO = ["silent", "half", "refuse"]
CASES = [(*case, LINE) for case in itertools.product(TWO, repeat=2) if "refuse" in case]
CASES += [case for case in itertools.product(TWO, repeat=2) if "refuse" not in case]
CASES += [("refuse", "refuse", "silent"), ("refuse", "silent", "refuse")]


def watched(balancer):
    """Wait until a watch has just been opened after a whole answer, the last of which is `told`."""
    calls = len(balancer.list.asked)
    soon(lambda: len(balancer.list.asked) > calls)


def heard(balancer, seq):
    """When the version, or a newer one, went out to the balancer."""
    return next((at for at, told in balancer.list.told if told >= seq), None)


def play(settings, cases, change, before=lambda balancer: None):
    """Let a change come just after a whole answer, do to the next calls what each case says, and return by
    how many seconds each balancer's news was in after the change."""
    took = {}
    with contextlib.ExitStack() as stack:
        servers = [FakeServer(f"s{at}") for at in range(2)]
        balancers = [stack.enter_context(Balancer(*servers, settings=settings)) for _ in cases]
        changed = []
        for case, balancer in zip(cases, balancers, strict=True):
            soon(lambda b=balancer: len(b.list.told) > 0)
            before(balancer)
            # In force for the call that comes after the answer in hand.
            balancer.list.script[:] = list(case)
            watched(balancer)
            changed.append(time.monotonic())
            balancer.list.entries = [servers[0].entry("DRAINING"), servers[1].entry()]
            balancer.list.seq = 2
            change(balancer)
        until = time.monotonic() + 2 * LATEST
        while time.monotonic() < until and not all(heard(b, 2) for b in balancers):
            time.sleep(0.02)
        for case, balancer, at in zip(cases, balancers, changed, strict=True):
            took[case] = (heard(balancer, 2) or float("inf")) - at
    return took


def test_two_calls_in_a_row_that_bring_nothing_and_a_line_behind_them_fit_into_one_time():
    # Each call and pause was counted by itself: a refusal paused for up to 4 s and the grace, a silent watch
    # took 4.3 s, and the next pause started anew, so that two that followed one another passed 6.5 s.
    took = play(ASKED, CASES, lambda balancer: None)
    assert max(took.values()) < LATEST + 0.5, took


def test_a_process_that_was_held_up_over_a_silent_watch_and_is_then_refused_still_hears_in_time():
    def hold_up(balancer):
        time.sleep(0.1)
        stop_process(balancer)
        time.sleep(3.5)
        resume_process(balancer)

    took = play(ASKED, [("silent", "refuse")], hold_up)
    assert max(took.values()) < LATEST + 0.5, took


@pytest.mark.parametrize("script", [["silent"], ["refuse", "refuse"], ["half", "refuse"]])
def test_a_new_address_whose_first_calls_bring_nothing_is_heard_in_time(script):
    one, two = FakeServer("s0"), FakeServer("s1", b"UP two\r\n")
    new = discovery(two)
    new.seq, new.script = 7, [*script, LINE]
    with Balancer(one, settings=ASKED) as balancer:
        soon(lambda: balancer.list.told)
        balancer.reload(discovery=f"127.0.0.1:{new.server_port}")
        start = time.monotonic()
        soon(lambda: new.told)
        assert new.told[0][0] - start < LATEST + 0.5
        soon(lambda: balancer.ask().readline() == b"UP two\r\n")  # written is not yet read
    new.shutdown()


def test_discovery_that_is_back_just_after_a_call_that_nobody_answers_is_heard_in_time_though_it_refuses():
    # Silent for seconds, so that all pauses have grown; the call sent just before the return is lost.
    servers = [FakeServer(f"s{at}") for at in range(2)]
    with contextlib.ExitStack() as stack:
        balancers = [stack.enter_context(Balancer(*servers, settings=ASKED)) for _ in range(6)]
        backs = {}
        for balancer in balancers:
            soon(lambda b=balancer: b.list.told)
            balancer.list.script[:] = ["silent"] * 4 + ["refuse", LINE]
        until = time.monotonic() + 30.0
        while time.monotonic() < until and not all(heard(b, 2) for b in balancers):
            for balancer in balancers:
                if balancer not in backs and len(balancer.list.script) == 2:
                    backs[balancer] = time.monotonic()  # the fourth call has just gone out, and is lost
                    balancer.list.entries, balancer.list.seq = [servers[1].entry()], 2
            time.sleep(0.01)
        took = [(heard(balancer, 2) or float("inf")) - backs[balancer] for balancer in balancers]
        assert max(took) < LATEST + 0.5, took


def said(balancer, text):
    """A client that says so much and rests; its connection."""
    conn = socket.create_connection(("127.0.0.1", balancer.port), timeout=DEADLINE)
    conn.sendall(text)
    return conn


KINDS = {
    "silent": b"",
    "checked": b"PING\r\n",
    "half a line": b"OPEN id9 k",
    "answered": b"NONSENSE\r\n",
    "established": b"OPEN e%d k%d c=live,d=1800\r\n",
}


@pytest.mark.parametrize("kind", KINDS)
def test_idle_clients_that_fill_the_descriptors_keep_no_news_and_no_newcomer_out(kind):
    # Discovery is away, its machine ends each connection, and a client comes every 2 ms that keeps its
    # descriptor. When it is back it is dialled within a second (2 s before), and a newcomer is served by the
    # server that it names.
    one, two = FakeServer("s0", b"UP one\r\n"), FakeServer("s1", b"UP two\r\n")
    rest, stop = [], threading.Event()
    with Balancer(one, settings=ASKED, sockets=256) as balancer:
        back = balancer.list
        soon(lambda: back.told)
        back.script[:] = ["drop"] * 1_000

        def crowd():
            while not stop.is_set():
                at = len(rest)
                with contextlib.suppress(OSError):
                    rest.append(said(balancer, KINDS[kind].replace(b"%d", b"%d" % at)))
                if at > 400 and kind != "established":
                    rest[at - 400].close()  # more than the program may hold still rest
                elif at > 150 and kind == "established":
                    rest[at].close()
                time.sleep(0.002)

        thread = threading.Thread(target=crowd, daemon=True)
        thread.start()
        time.sleep(9.0)  # all pauses have grown
        dials = [at for at, _ in back.asked][4:]
        assert len(dials) > 6 and max(b - a for a, b in itertools.pairwise(dials)) < 1.0 + 0.3
        back.entries, back.seq, back.script[:] = [one.entry("DELETED"), two.entry()], 5, []
        soon(lambda: back.told[-1][1] == 5)
        stop.set()
        thread.join()
        served = set()
        until = time.monotonic() + 2.0
        while time.monotonic() < until and b"UP two\r\n" not in served:
            with contextlib.suppress(OSError):
                served.add(balancer.ask("new").readline())
        if kind == "established":
            # Its descriptors are in use by flows that stand: newcomers are told so at once, none is cut off.
            assert served <= {b"UP two\r\n", b"BUSY 1000\r\n"} and served
        else:
            assert b"UP two\r\n" in served
        for conn in rest:
            conn.close()
        soon(lambda: balancer.ask("last").readline() == b"UP two\r\n")
        log = balancer.end()
        assert "event failed" not in log and "Traceback" not in log
