"""Measures one balancer's CPU time and memory for flows, idle connections and relayed lines.

The size is the number of connections; for lines it is the number of lines. The balancer is the real program.
Servers and discovery are stub processes; the stub clients run in the measuring process.
"""

import asyncio
import contextlib
import resource
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from lotusroute.capacity.client_stub import StubClient
from lotusroute.capacity.deployment import (
    allocate_port,
    run_discovery,
    start_balancer,
    temporary_folder,
    wait_until_listening,
)
from lotusroute.capacity.measurement import Measurement, MeasurementOptions
from lotusroute.capacity.processes import MeasuredProcess, RunTooLargeError, check_footprint
from lotusroute.process_control.config_files import endpoint_entry

# Time from the opening of the last connection to the measurement of idle connections.
SETTLE_DELAY_S = 4.0
# Entries of the endpoint list, all for one stub process. There are several, so that flows have other servers
# to go to while the balancer ejects one that was slow for a moment.
SERVERS = 8
LINES_PER_CLIENT = 20  # a client sends each line after it has received the echo of the previous one
CONCURRENT_CLIENTS = 16  # number of clients that open flows or exchange lines at the same time
CONCURRENT_OPENS = 32  # connections opened at the same time before the idle interval
UNMEASURED_FLOWS = 32  # flows opened before the measurement, because the first flows are slower
# Descriptors that a process needs in addition to two for each connection.
SPARE_DESCRIPTORS = 256


class RunningBalancer(NamedTuple):
    """The process of the measured balancer and the port on which it accepts clients."""

    process: MeasuredProcess
    port: int


@dataclass(frozen=True, slots=True)
class BalancerSample:
    """The balancer's CPU time since its start and its memory, at one point in time."""

    timestamp: float  # time on the monotonic clock, in s
    cpu_seconds: float
    resident_mb: float


@dataclass(frozen=True, slots=True)
class ConnectionSamples:
    """Samples at the bounds of two consecutive intervals: one idle, one with lines exchanged."""

    idle: BalancerSample  # start of the idle interval, with all connections open
    exchange: BalancerSample  # end of the idle interval, when clients start to exchange lines
    end: BalancerSample  # end of the exchange, when all lines have been exchanged

    def idle_cpu_fraction(self) -> float:
        """Return the fraction of a core that the balancer uses while all connections are idle."""
        cpu_seconds = self.exchange.cpu_seconds - self.idle.cpu_seconds
        return cpu_seconds / (self.exchange.timestamp - self.idle.timestamp)

    def exchange_cpu_seconds(self) -> float:
        """Return the CPU time of the exchange in s, less what the idle connections would have used meanwhile.

        Never negative.
        """
        cpu_seconds = self.end.cpu_seconds - self.exchange.cpu_seconds
        idle_cpu_seconds = self.idle_cpu_fraction() * (self.end.timestamp - self.exchange.timestamp)
        return max(0.0, cpu_seconds - idle_cpu_seconds)


def measure_data_plane(size: int, options: MeasurementOptions) -> list[Measurement]:
    """Measure a balancer with `size` connections.

    Raises `RunTooLargeError` if the machine lacks the memory or the process the descriptors for them.
    """
    options.report(check_footprint(3))
    _raise_descriptor_limit(size)
    with _run_balancer() as (balancer, port):
        asyncio.run(_open_flows(port, UNMEASURED_FLOWS))
        cpu_before = balancer.cpu_seconds()
        asyncio.run(_open_flows(port, size))
        flow_cpu_seconds = balancer.cpu_seconds() - cpu_before
        empty_mb = balancer.resident_mb()

        def sample() -> BalancerSample:
            cpu_seconds = balancer.cpu_seconds()
            return BalancerSample(time.monotonic(), cpu_seconds, balancer.resident_mb())

        samples = asyncio.run(_sample_connections(port, size, options.seconds, sample))
    memory_mb = samples.idle.resident_mb - empty_mb
    lines = LINES_PER_CLIENT * size
    return [
        Measurement("flow.cpu", "s of CPU", size, flow_cpu_seconds),
        Measurement("idle_connection.memory", "MB over a balancer without connections", size, memory_mb),
        Measurement("idle_connection.cpu", "% of a core", size, 100 * samples.idle_cpu_fraction()),
        Measurement("line.cpu", "s of CPU", lines, samples.exchange_cpu_seconds()),
    ]


def _raise_descriptor_limit(connections: int) -> None:
    needed = 2 * connections + SPARE_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if needed > hard:
        raise RunTooLargeError(f"{connections} connections need {needed} descriptors, {hard} are available")
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, needed), hard))


@contextlib.contextmanager
def _run_balancer() -> Iterator[RunningBalancer]:
    """Run a balancer, its discovery stub and its server stub."""
    server_port = allocate_port()
    port = allocate_port()
    hosts = [endpoint_entry(f"s-{index}", server_port) for index in range(SERVERS)]
    with (
        temporary_folder() as folder,
        run_discovery(SERVERS, server_port) as discovery,
        MeasuredProcess("lotusroute.capacity.server_stub", [str(server_port)]),
        start_balancer(folder, "n1", port, discovery.port, {}, hosts) as balancer,
    ):
        wait_until_listening(port)
        yield RunningBalancer(balancer, port)


async def _open_flows(port: int, count: int) -> None:
    """Open and close `count` connections, CONCURRENT_CLIENTS at a time."""

    async def run_client(first: int) -> None:
        for key in range(first, count, CONCURRENT_CLIENTS):
            client = await StubClient.open(port, key)
            await client.close()

    await asyncio.gather(*(run_client(first) for first in range(CONCURRENT_CLIENTS)))


async def _sample_connections(
    port: int, count: int, seconds: float, sample: Callable[[], BalancerSample]
) -> ConnectionSamples:
    """Open connections, leave them idle for `seconds`, then exchange lines over all; sample at each bound."""
    clients: list[StubClient] = []
    for first in range(0, count, CONCURRENT_OPENS):
        keys = range(first, min(count, first + CONCURRENT_OPENS))
        clients += await asyncio.gather(*(StubClient.open(port, key) for key in keys))
    await asyncio.sleep(SETTLE_DELAY_S)
    idle = sample()
    await asyncio.sleep(seconds)
    exchange = sample()

    async def exchange_lines(group: list[StubClient]) -> None:
        for _ in range(LINES_PER_CLIENT):
            for client in group:
                await client.exchange_line()

    groups = [clients[first::CONCURRENT_CLIENTS] for first in range(CONCURRENT_CLIENTS)]
    await asyncio.gather(*(exchange_lines(group) for group in groups))
    return ConnectionSamples(idle, exchange, sample())
