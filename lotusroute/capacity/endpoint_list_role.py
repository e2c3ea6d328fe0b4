"""Measures endpoint lists by number of servers: size, and the CPU time of parsing, applying and routing."""

import itertools
import json
import time
from collections.abc import Callable

from lotusroute.capacity.measurement import Measurement, MeasurementOptions
from lotusroute.capacity.processes import check_footprint
from lotusroute.net.discovery.endpoint_list import parse_endpoint_list
from lotusroute.process_control.config_files import endpoint_entry
from lotusroute.routing import events
from lotusroute.routing.director import Director

REPETITIONS = 3  # how often each operation is timed; the shortest time is reported
FLOWS = 200  # number of flows that are routed in one timing
SETUP_TARGET_MS = 300.0
FLOW_DEADLINE_MS = 2_000.0
SERVER_PORT = 9_000


def measure_endpoint_list(size: int, options: MeasurementOptions) -> list[Measurement]:
    """Measure a list of `size` servers."""
    options.report(check_footprint(1))
    hosts = [endpoint_entry(f"s-{index:08x}", SERVER_PORT) for index in range(size)]
    document = {"seq": 1, "whole": True, "hosts": hosts}
    body = json.dumps(document).encode()
    update = parse_endpoint_list(document, events.ListScope.COMPLETE)
    complete = events.EndpointList(events.ListScope.COMPLETE, update.servers)
    change = events.EndpointList(events.ListScope.CHANGES, update.servers[:1])
    director = Director(
        events.ServiceConfig(
            {"live": events.ServiceType(SETUP_TARGET_MS)}, groups_share_work=True, max_attempts=4
        ),
        1,
    )
    flow_ids = itertools.count(1)

    def parse() -> None:
        parse_endpoint_list(json.loads(body), events.ListScope.COMPLETE)

    def apply_complete() -> None:
        director.decide(0.0, complete)

    def apply_change() -> None:
        director.decide(0.0, change)

    def route_flows() -> None:
        for _ in range(FLOWS):
            _route_flow(director, next(flow_ids))

    flow_unit = "ms of CPU, each in a segment of its own"
    return [
        Measurement("list.bytes", "B", size, len(body)),
        Measurement("list.parse", "ms of CPU", size, _shortest_cpu_ms(parse)),
        Measurement("list.apply", "ms of CPU", size, _shortest_cpu_ms(apply_complete)),
        Measurement("list.apply_change", "ms of CPU", size, _shortest_cpu_ms(apply_change)),
        Measurement("routing.flow", flow_unit, size, _shortest_cpu_ms(route_flows) / FLOWS),
    ]


def _route_flow(director: Director, flow_id: int) -> None:
    """Route a flow in its own segment, then end it."""
    flow = events.FlowRequest(flow_id, "live", None, f"g{flow_id}", f"k{flow_id}", FLOW_DEADLINE_MS)
    director.decide(1.0, flow)
    director.decide(2.0, events.ClientDisconnected(flow_id))


def _shortest_cpu_ms(function: Callable[[], None]) -> float:
    shortest = float("inf")
    for _ in range(REPETITIONS):
        started = time.process_time()
        function()
        shortest = min(shortest, time.process_time() - started)
    return 1000 * shortest
