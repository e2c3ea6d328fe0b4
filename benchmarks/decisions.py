"""Measures how much CPU time routing decisions take, for various numbers of servers and open connections.

Each figure is the median over several blocks of flows. No socket is opened.
"""

import json
import random
import statistics
import time
from typing import TypedDict

import click

from lotusroute.routing import events
from lotusroute.routing.director import Director

SERVER_COUNTS = (10, 100, 1_000)
CONNECTION_COUNTS = (100, 1_000, 5_000)
BLOCKS = 7
FLOWS_PER_BLOCK = 300
SETUP_MS = 2.0
FLOW_DEADLINE_MS = 1_800.0  # time from a flow's request to its deadline
SEED = 7


class Figures(TypedDict):
    """CPU time in microseconds."""

    flow_us: float  # CPU time that it takes to open, establish and end one flow
    tick_us: float  # CPU time of one tick


class FlowDriver:
    """Opens and ends flows through one director, in virtual time (ms)."""

    def __init__(self, server_count: int) -> None:
        self.rng = random.Random(SEED)
        service_config = events.ServiceConfig({"live": events.ServiceType(300.0)}, max_attempts=4)
        self.director = Director(service_config, SEED)
        self.now = 0.0
        servers = tuple(events.Server(f"s{number}") for number in range(server_count))
        self.director.decide(self.now, events.EndpointList(events.ListScope.COMPLETE, servers))

    def open_flow(self, flow_id: int) -> str:
        """Open and establish a flow; return the server's id."""
        self.now += 1.0
        key = f"{self.rng.random()}"
        flow = events.FlowRequest(flow_id, "live", None, None, key, self.now + FLOW_DEADLINE_MS)
        connect = self.director.decide(self.now, flow)[0]
        # No server is ever overloaded, so the first action for each flow is to connect to a server.
        assert isinstance(connect, events.Connect)
        established_at = self.now + self.rng.uniform(0.5, 1.5) * SETUP_MS
        self.director.decide(established_at, events.Established(flow_id, connect.server))
        return connect.server

    def run_flow(self, flow_id: int) -> None:
        """Open a flow, establish it and end it."""
        ended_at = self.now + SETUP_MS
        server = self.open_flow(flow_id)
        self.director.decide(
            ended_at, events.ConnectionEnded(flow_id, server, True, events.ConnectionResult.OK)
        )

    def tick(self) -> None:
        """Run one tick."""
        self.director.decide(self.now, events.TimerFired("tick"))


def measure(server_count: int, connection_count: int) -> Figures:
    """Measure one flow and one tick with the given numbers of servers and open connections."""
    driver = FlowDriver(server_count)
    for flow_id in range(connection_count):
        driver.open_flow(flow_id)
    flow_times = []
    tick_times = []
    flow_id = connection_count
    for _ in range(BLOCKS):
        started_at = time.perf_counter()
        for _ in range(FLOWS_PER_BLOCK):
            flow_id += 1
            driver.run_flow(flow_id)
        flow_times.append((time.perf_counter() - started_at) / FLOWS_PER_BLOCK * 1e6)
        started_at = time.perf_counter()
        driver.tick()
        tick_times.append((time.perf_counter() - started_at) * 1e6)
    return {"flow_us": statistics.median(flow_times), "tick_us": statistics.median(tick_times)}


@click.command(epilog="Example: python benchmarks/decisions.py --json")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of a table.")
def main(as_json: bool) -> None:
    """Measure the CPU time of a flow and of a tick, for various numbers of servers and open connections."""
    results = {
        f"{servers} servers, {connections} open connections": measure(servers, connections)
        for servers in SERVER_COUNTS
        for connections in CONNECTION_COUNTS
    }
    if as_json:
        click.echo(json.dumps(results))
        return
    for name, figures in results.items():
        click.echo(f"{name:<38} flow {figures['flow_us']:8.1f} us   tick {figures['tick_us']:8.1f} us")


if __name__ == "__main__":
    main()
