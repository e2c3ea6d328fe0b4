"""Stories of the start: many at once, on little of a core, are ready soon whatever discovery does."""

import contextlib
import pathlib
import signal
import socket
import threading
import time

import pytest
from harness import SETTINGS, Balancer, FakeServer, free_port

MANY = 10  # processes at once
SHARE = 0.1  # of a core, for each
READY = 10.0  # s in which nine in ten have to answer PONG
KNOWN = {"up": {}, "silent": {"down": True}, "refusing": {"refuses": 1_000}, "closed": {}}


class Throttle(threading.Thread):
    """Holds processes to a share of a core each, by what they have used, with SIGSTOP and SIGCONT."""

    def __init__(self, processes):
        super().__init__(daemon=True)
        self.processes, self.over, self.began = processes, threading.Event(), time.monotonic()

    def used(self, process):
        """Seconds of a core that a process has run."""
        return int(pathlib.Path(f"/proc/{process.pid}/schedstat").read_text().split()[0]) / 1e9

    def run(self):
        while not self.over.wait(0.004):
            allowed = SHARE * (time.monotonic() - self.began)
            for process in self.processes:
                with contextlib.suppress(OSError, IndexError):
                    process.send_signal(signal.SIGSTOP if self.used(process) > allowed else signal.SIGCONT)

    def end(self):
        self.over.set()
        self.join()
        for process in self.processes:
            process.send_signal(signal.SIGCONT)


def pong(balancer):
    """Whether it answers PONG within a second."""
    with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", balancer.port), 1.0) as conn:
        conn.sendall(b"PING\r\n")
        return conn.recv(64) == b"PONG\r\n"
    return False


@pytest.mark.parametrize("state", KNOWN)
def test_ten_that_start_at_once_at_a_tenth_of_a_core_are_ready_in_time(state):
    server = FakeServer("s1")
    with contextlib.ExitStack() as stack:
        balancers = []
        start = time.monotonic()
        for _ in range(MANY):
            env = {"LB_DISCOVERY": f"127.0.0.1:{free_port()}"}.items() if state == "closed" else ()
            balancer = Balancer(
                server, settings=SETTINGS, sockets=4_096, memory=80, known=1, env=env, **KNOWN[state]
            )
            stack.callback(balancer.__exit__)
            balancers.append(balancer)
        throttle = Throttle([balancer.process for balancer in balancers])
        throttle.start()
        stack.callback(throttle.end)
        ready = {}
        while len(ready) < MANY and time.monotonic() < start + 2 * READY:
            for at, balancer in enumerate(balancers):
                if at not in ready and pong(balancer):
                    ready[at] = time.monotonic() - start, throttle.used(balancer.process)
            time.sleep(0.05)
        assert sum(took < READY for took, _ in ready.values()) >= 0.9 * MANY, ready
        assert all(balancer.process.poll() is None for balancer in balancers)
