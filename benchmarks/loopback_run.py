"""One run of the loopback benchmark: starts the processes of a case on one checkout, returns its figures."""

import contextlib
import os
import pathlib
import statistics
import tempfile
import time
from collections.abc import Sequence
from typing import Self

from hdrh.histogram import HdrHistogram
from loopback_cases import Case
from loopback_processes import BalancerProcess, PeerProcess
from loopback_report import Figures
from peer_messages import (
    ClientsResult,
    ClientsSettings,
    EndpointListSettings,
    EndpointListStarted,
    FlowsEstablished,
    ServersSettings,
    ServersStarted,
    Settings,
)

from lotusroute.address import parse_address
from lotusroute.process_control.config_files import JsonValue

SERVER_PROCESSES = 3  # number of processes among which the servers are divided
CLIENT_PROCESSES = 3  # number of processes among which the clients are divided
# Lowest concurrency with which the clients are divided among CLIENT_PROCESSES processes. With a lower one,
# they all run in one process.
MULTI_PROCESS_CONCURRENCY = 16
# Time between the end of the clients and the request for the counters, so that the ends of all connections
# have reached the balancer.
COUNTERS_DELAY_S = 0.5
MAX_SETUP_US = 60_000_000  # longest set-up time that the histogram can record
HISTOGRAM_DIGITS = 3  # number of significant digits that the histogram keeps of a set-up time
# The names of the counter of migrations: builds up to 964a6b3 call it "moved", later ones "migrated".
MIGRATION_COUNTERS = ("migrated", "moved")


class Run:
    """The processes of one run. As a context manager, it starts them and kills them at the end."""

    def __init__(self, case: Case, root: pathlib.Path, seed: int) -> None:
        self.case = case
        self.root = root
        self.seed = seed
        cores = sorted(os.sched_getaffinity(0))
        self.balancer_core = cores[0]
        self.peer_cores = set(cores[1:] or cores)
        self._resources = contextlib.ExitStack()

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            self._resources = stack
            folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
            self.hosts = self._start_servers()
            endpoint_list = self.start_peer("list", EndpointListSettings(hosts=self.hosts))
            discovery_port = endpoint_list.read_message(EndpointListStarted).port
            self.balancer = BalancerProcess(self.root, self.hosts, discovery_port, self.balancer_core, folder)
            stack.callback(self.balancer.close)
            self.balancer.wait_ready()
            self._resources = stack.pop_all()
        return self

    def __exit__(self, *_: object) -> None:
        self._resources.close()

    def start_peer(self, peer_kind: str, settings: Settings) -> PeerProcess:
        """Start a process of `peers.py`, which is killed at the end of the run."""
        peer = PeerProcess(peer_kind, settings, self.peer_cores)
        self._resources.callback(peer.close)
        return peer

    def _start_servers(self) -> list[dict[str, JsonValue]]:
        """Start all servers and return their entries of the endpoint list."""
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
        hosts: list[dict[str, JsonValue]] = []
        for process in processes:
            hosts += process.read_message(ServersStarted).hosts
        return hosts

    def start_clients(self) -> list[PeerProcess]:
        """Start the clients, which begin to open flows immediately."""
        case = self.case
        process_count = CLIENT_PROCESSES if case.concurrency >= MULTI_PROCESS_CONCURRENCY else 1
        processes = []
        for index in range(process_count):
            settings = ClientsSettings(
                port=self.balancer.port,
                flows=_even_part(case.flows, process_count, index),
                concurrency=_even_part(case.concurrency, process_count, index),
                seed=self.seed * 100 + index,
                skewed=case.skewed,
                hold_s=case.hold_s,
                line_count=case.line_count,
            )
            processes.append(self.start_peer("clients", settings))
        return processes

    def measure_direct_lines(self) -> list[float]:
        """Send lines to the first server without the balancer and return their round-trip times in ms."""
        port = parse_address(str(self.hosts[0]["dial"])).port
        settings = ClientsSettings(port=port, flows=1, concurrency=1, seed=1, line_count=self.case.line_count)
        return self.start_peer("clients", settings).read_message(ClientsResult).line_delays_ms


def _even_part(total: int, parts: int, index: int) -> int:
    """Return the part at `index` of a total that is divided as evenly as possible."""
    return total // parts + int(total % parts > index)


def run_case(case: Case, root: pathlib.Path, seed: int) -> Figures:
    """Run one case on one checkout and return its figures, after all of its processes have ended."""
    with Run(case, root, seed) as run:
        memory_before = run.balancer.memory_kb()
        cpu_before = run.balancer.cpu_ms()
        clients = run.start_clients()
        kb_per_connection = 0.0
        if case.hold_s:
            established = sum(process.read_message(FlowsEstablished).count for process in clients)
            if established:
                kb_per_connection = (run.balancer.memory_kb() - memory_before) / established
            cpu_ms = run.balancer.cpu_ms() - cpu_before
            results = [process.read_message(ClientsResult) for process in clients]
        else:
            results = [process.read_message(ClientsResult) for process in clients]
            cpu_ms = run.balancer.cpu_ms() - cpu_before
        time.sleep(COUNTERS_DELAY_S)
        counters = run.balancer.counters()
        direct_delays = run.measure_direct_lines() if case.line_count else []
    requested = sum(result.opened for result in results)
    histogram = _setup_histogram(results)
    return Figures(
        requested=requested,
        established=sum(len(result.setups_ms) for result in results),
        rejected=sum(result.rejected for result in results),
        lost=sum(result.lost for result in results),
        migrated=next((counters[name] for name in MIGRATION_COUNTERS if name in counters), 0),
        connects_per_flow=counters.get("connects", 0) / max(1, counters.get("flows", 0)),
        flows_per_second=requested / max(result.seconds for result in results),
        cpu_ms_per_flow=cpu_ms / max(requested, case.line_count),
        setup_ms_p50=histogram.get_value_at_percentile(50) / 1000,
        setup_ms_p99=histogram.get_value_at_percentile(99) / 1000,
        kb_per_connection=kb_per_connection,
        line_ms=_median([delay for result in results for delay in result.line_delays_ms]),
        line_ms_direct=_median(direct_delays),
    )


def _setup_histogram(results: Sequence[ClientsResult]) -> HdrHistogram:
    """Return the histogram of the set-up times in microseconds."""
    histogram = HdrHistogram(1, MAX_SETUP_US, HISTOGRAM_DIGITS)
    for result in results:
        for setup_ms in result.setups_ms:
            histogram.record_value(max(1, int(setup_ms * 1000)))
    return histogram


def _median(values: Sequence[float]) -> float:
    return statistics.median(values) if values else 0.0
