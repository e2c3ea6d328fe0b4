"""Many processes that start at once, each on a part of a core, are ready in time whatever discovery does."""

import contextlib
import pathlib
import signal
import threading
import time

import pytest
from balancer_process import SETTINGS, Balancer, free_port
from fake_servers import FakeServer

from lotusroute.process_control.readiness import answers_health_check

PROCESS_COUNT = 10  # number of processes that are started at once
CPU_SHARE = 0.1  # the share of a core that each process may use
READY_TIMEOUT_S = 10.0  # longest time until 90 % of the processes have to answer PONG
SAMPLE_INTERVAL_S = 0.004  # time between two readings of the CPU time that the processes have used
DISCOVERY_STATES = {"up": {}, "silent": {"down": True}, "rejecting": {"rejections": 1_000}, "closed": {}}


class Throttle(threading.Thread):
    """Context manager that limits each process to a share of a core, by SIGSTOP and SIGCONT."""

    def __init__(self, processes):
        super().__init__(daemon=True)
        self.processes = processes
        self.stopped = threading.Event()
        self.started_at = time.monotonic()

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self.stopped.set()
        self.join()
        for process in self.processes:
            process.send_signal(signal.SIGCONT)

    def cpu_seconds(self, process):
        """Return the CPU time that a process has used."""
        return int(pathlib.Path(f"/proc/{process.pid}/schedstat").read_text().split()[0]) / 1e9

    def run(self):
        while not self.stopped.wait(SAMPLE_INTERVAL_S):
            allowed = CPU_SHARE * (time.monotonic() - self.started_at)
            for process in self.processes:
                with contextlib.suppress(OSError, IndexError):
                    over = self.cpu_seconds(process) > allowed
                    process.send_signal(signal.SIGSTOP if over else signal.SIGCONT)


@contextlib.contextmanager
def started_balancers(discovery):
    """Start all processes at once, with discovery in one of the `DISCOVERY_STATES`."""
    server = FakeServer("s1")
    with contextlib.ExitStack() as stack:
        balancers = []
        for _ in range(PROCESS_COUNT):
            env = {"LB_DISCOVERY": f"127.0.0.1:{free_port()}"} if discovery == "closed" else {}
            balancer = Balancer(
                server,
                settings=SETTINGS,
                sockets=4_096,
                memory_mb=80,
                cached_version=1,
                env=env.items(),
                **DISCOVERY_STATES[discovery],
            )
            stack.callback(balancer.__exit__)
            balancers.append(balancer)
        yield balancers


@pytest.mark.parametrize("discovery", DISCOVERY_STATES)
def test_processes_started_at_once_on_a_tenth_of_a_core_are_ready_in_time(discovery):
    start = time.monotonic()
    ready = {}
    with (
        started_balancers(discovery) as balancers,
        Throttle([balancer.process for balancer in balancers]) as throttle,
    ):
        while len(ready) < PROCESS_COUNT and time.monotonic() < start + 2 * READY_TIMEOUT_S:
            for index, balancer in enumerate(balancers):
                if index not in ready and answers_health_check(balancer.port):
                    elapsed = time.monotonic() - start
                    ready[index] = elapsed, throttle.cpu_seconds(balancer.process)
            time.sleep(0.05)
        in_time = [elapsed for elapsed, _ in ready.values() if elapsed < READY_TIMEOUT_S]
        assert len(in_time) >= 0.9 * PROCESS_COUNT, ready
        ended = [balancer.terminate() for balancer in balancers if balancer.process.poll() is not None]
        assert ended == []  # the logs of processes that ended by themselves
