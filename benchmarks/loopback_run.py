"""One run of the loopback benchmark: the balancer pinned to one core, its peers on the others."""

import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Sequence

import click
from hdrh.histogram import HdrHistogram
from loopback_cases import Case
from peer_messages import (
    ClientsResult,
    ClientsSettings,
    EndpointListSettings,
    EndpointListStarted,
    FlowsEstablished,
    ServersSettings,
    ServersStarted,
    to_json,
)

PEERS_SCRIPT = pathlib.Path(__file__).resolve().with_name("peers.py")
READY_TIMEOUT = 10.0  # s for the balancer to answer its first PING, or to print its counters
SERVER_PROCESSES = 3  # that the servers are divided among
CLIENT_PROCESSES = 3  # that the clients are divided among, from this concurrency on:
CONCURRENT = 16
MAX_SOCKETS = 16_384  # of the balancer
COUNTERS_DELAY = 0.5  # s between the last receipt and the counters, for ends of connections to arrive
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")
MAX_SETUP_US = 60_000_000  # the longest set-up that the histogram tells apart
LOG_TAIL = 300  # characters of the log in an error message
SETTINGS = {
    "limits": {"max_connects": 4, "connect_timeout": 250},
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 3000}],
}

Figures = dict[str, float]  # by key of the output


def pin_to(cores: set[int]) -> Callable[[], None]:
    """Return a function that pins the process that calls it to these cores."""
    return lambda: os.sched_setaffinity(0, cores)


class PeerProcess:
    """One process of `peers.py`."""

    def __init__(self, role: str, settings: object, cores: set[int]) -> None:
        self.process = subprocess.Popen(
            [sys.executable, str(PEERS_SCRIPT), role, to_json(settings)],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=pin_to(cores),
        )

    def read_message(self) -> dict:
        """Wait for the next message."""
        assert self.process.stdout is not None
        line = self.process.stdout.readline()
        if not line:
            raise click.ClickException(f"stand-in ended early with {self.process.wait()}; see above")
        return json.loads(line)

    def close(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()


class BalancerProcess:
    """The balancer of the checkout at `root`, on one core."""

    def __init__(
        self, root: pathlib.Path, hosts: list[dict], discovery_port: int, core: int, folder: str
    ) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.port = listener.getsockname()[1]
        self.root = root
        config = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "5eed",
            "limits": {"sockets": MAX_SOCKETS},
            "known": {"seq": 0, "whole": True, "hosts": hosts},
            "settings": SETTINGS,
        }
        config_file = pathlib.Path(folder, "config.json")
        config_file.write_text(json.dumps(config))
        self.log_file = pathlib.Path(folder, "log")
        with self.log_file.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "lotusroute"],
                cwd=root,
                stderr=log,
                env={**os.environ, "LB_CONFIG": str(config_file), "PYTHONPATH": str(root)},
                preexec_fn=pin_to({core}),
            )

    def wait_ready(self) -> None:
        """Wait until the balancer answers a PING."""
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            with (
                contextlib.suppress(OSError),
                socket.create_connection(("127.0.0.1", self.port), 1) as connection,
            ):
                connection.sendall(b"PING\r\n")
                if connection.recv(16) == b"PONG\r\n":
                    return
            time.sleep(0.02)
        log_tail = self.log_file.read_text()[-LOG_TAIL:]
        raise click.ClickException(f"{self.root}: not ready after {READY_TIMEOUT:g} s: {log_tail}")

    def cpu_ms(self) -> float:
        """Return the CPU time taken so far."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        user_ticks = int(fields[11])
        system_ticks = int(fields[12])
        return (user_ticks + system_ticks) * 1000 / CLOCK_TICKS

    def memory_kb(self) -> float:
        """Return the resident memory."""
        resident_pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return resident_pages * PAGE_SIZE / 1024

    def counters(self) -> dict[str, int]:
        """Have the balancer print its counters, and return them."""
        printed_before = len(self._counter_lines())
        self.process.send_signal(signal.SIGUSR1)
        deadline = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < deadline:
            lines = self._counter_lines()
            if len(lines) > printed_before:
                pairs = re.findall(r"(\w+)=(\d+)\b", lines[-1])
                return {key: int(value) for key, value in pairs if key != "time"}
            time.sleep(0.01)
        raise click.ClickException("the program prints no counters")

    def _counter_lines(self) -> list[str]:
        """Return the complete lines of counters in the log."""
        lines = self.log_file.read_text().splitlines(keepends=True)
        return [line for line in lines if "event=counters" in line and line.endswith("\n")]

    def close(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


class Run:
    """The processes of one run, which end with it."""

    def __init__(self, case: Case, root: pathlib.Path, seed: int) -> None:
        self.case = case
        self.root = root
        self.seed = seed
        cores = sorted(os.sched_getaffinity(0))
        self.balancer_core = cores[0]
        self.peer_cores = set(cores[1:] or cores)
        self._resources = contextlib.ExitStack()

    def __enter__(self) -> "Run":
        with contextlib.ExitStack() as stack:
            self._resources = stack
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            self.hosts = self._start_servers()
            endpoint_list = self.start_peer("list", EndpointListSettings(hosts=self.hosts))
            discovery_port = EndpointListStarted(**endpoint_list.read_message()).port
            self.balancer = BalancerProcess(self.root, self.hosts, discovery_port, self.balancer_core, folder)
            stack.callback(self.balancer.close)
            self.balancer.wait_ready()
            self._resources = stack.pop_all()
        return self

    def __exit__(self, *_: object) -> None:
        self._resources.close()

    def start_peer(self, role: str, settings: object) -> PeerProcess:
        """Start a process of peers."""
        peer = PeerProcess(role, settings, self.peer_cores)
        self._resources.callback(peer.close)
        return peer

    def _start_servers(self) -> list[dict]:
        process_count = min(SERVER_PROCESSES, len(self.case.setups_ms))
        processes = []
        for index in range(process_count):
            settings = ServersSettings(
                setups_ms=list(self.case.setups_ms[index::process_count]),
                spread=self.case.spread,
                seed=self.seed + index,
                name=f"s{index}",
                slow=self.case.slow if index == 0 else None,
            )
            processes.append(self.start_peer("servers", settings))
        hosts = []
        for process in processes:
            hosts += ServersStarted(**process.read_message()).hosts
        return hosts

    def start_clients(self) -> list[PeerProcess]:
        """Start the clients, which open their flows at once."""
        case = self.case
        process_count = CLIENT_PROCESSES if case.concurrency >= CONCURRENT else 1
        processes = []
        for index in range(process_count):
            settings = ClientsSettings(
                port=self.balancer.port,
                flows=_part(case.flows, process_count, index),
                concurrency=_part(case.concurrency, process_count, index),
                seed=self.seed * 100 + index,
                skewed=case.skewed,
                hold_s=case.hold_s,
                line_count=case.line_count,
            )
            processes.append(self.start_peer("clients", settings))
        return processes

    def direct_line_delays(self) -> list[float]:
        """Measure lines to the first server without the balancer; returns ms."""
        port = int(self.hosts[0]["dial"].rpartition(":")[2])
        settings = ClientsSettings(port=port, flows=1, concurrency=1, seed=1, line_count=self.case.line_count)
        return ClientsResult(**self.start_peer("clients", settings).read_message()).line_delays_ms


def _part(total: int, parts: int, index: int) -> int:
    """Return one part of a total that is divided as evenly as possible."""
    return total // parts + (total % parts > index)


def run_case(case: Case, root: pathlib.Path, seed: int) -> Figures:
    """Run one case on one checkout and return its figures; all processes have ended afterwards."""
    with Run(case, root, seed) as run:
        memory_before = run.balancer.memory_kb()
        cpu_before = run.balancer.cpu_ms()
        clients = run.start_clients()
        messages = [process.read_message() for process in clients]
        memory_per_connection = 0.0
        if case.hold_s:
            established = sum(FlowsEstablished(**message).count for message in messages)
            if established:
                memory_per_connection = (run.balancer.memory_kb() - memory_before) / established
        cpu_ms = run.balancer.cpu_ms() - cpu_before
        if case.hold_s:
            messages = [process.read_message() for process in clients]
        results = [ClientsResult(**message) for message in messages]
        time.sleep(COUNTERS_DELAY)
        counters = run.balancer.counters()
        direct_delays = run.direct_line_delays() if case.line_count else []
    return {
        **_flow_figures(results, counters),
        "cpu_ms_a_flow": cpu_ms / max(sum(result.opened for result in results), case.line_count),
        **_setup_figures(results),
        "kb_a_connection": memory_per_connection,
        "line_ms": _median([delay for result in results for delay in result.line_delays_ms]),
        "line_ms_straight": _median(direct_delays),
    }


def _flow_figures(results: list[ClientsResult], counters: dict[str, int]) -> Figures:
    opened = sum(result.opened for result in results)
    # Older builds count migrations as "moved".
    migrated = counters.get("migrated", counters.get("moved", 0))
    return {
        "asked": opened,
        "established": sum(len(result.setups_ms) for result in results),
        "refused": sum(result.rejected for result in results),
        "lost": sum(result.lost for result in results),
        "moved": migrated,
        "connects_a_flow": counters.get("connects", 0) / max(1, counters.get("flows", 0)),
        "flows_a_second": opened / max(result.seconds for result in results),
    }


def _setup_figures(results: list[ClientsResult]) -> Figures:
    histogram = HdrHistogram(1, MAX_SETUP_US, 3)
    for result in results:
        for setup_ms in result.setups_ms:
            histogram.record_value(max(1, int(setup_ms * 1000)))
    return {
        "setup_ms_p50": histogram.get_value_at_percentile(50) / 1000,
        "setup_ms_p99": histogram.get_value_at_percentile(99) / 1000,
    }


def _median(values: Sequence[float]) -> float:
    return statistics.median(values) if values else 0.0
