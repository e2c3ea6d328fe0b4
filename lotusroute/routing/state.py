"""The state of a director: what it was configured with, and all that it has learned.

The state makes no decisions and has no thresholds; these are in the decision modules, which
deploy/balancer.toml lists under `policy`. Times are milliseconds on the host's clock.
"""

import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from lotusroute.routing import events
from lotusroute.routing.records import FlowRecord, ServerRecord
from lotusroute.routing.statistics import ConnectionCounts, DecayingCount, DecayingMean, TickRate

TICK_INTERVAL_MS = 1_000.0  # servers report their latency as often


@dataclass(slots=True)
class FleetSetupTimes:
    """Set-up times of all servers together; written by `overload_detection.py`."""

    deviation: float  # mean absolute deviation of the logarithm of set-up times
    mean: DecayingMean | None = None
    quickest_first: list[ServerRecord] = field(default_factory=list)  # in the order of `sorted_at`
    sorted_at: float = -math.inf


@dataclass(slots=True)
class SubscriptionState:
    """The subscription to endpoint updates, where discovery must be polled; written by `director.py`."""

    active: bool = False
    rejections: int = 0  # of consecutive polls
    renew_at: float = 0.0  # not before

    def record_poll(self, accepted: bool) -> None:
        """Record the result of a poll."""
        self.active = accepted
        self.rejections = 0 if accepted else self.rejections + 1


@dataclass(slots=True, eq=False)
class RoutingState:
    """All that a director knows; the decision modules read it and write the fields that they own."""

    config: events.ServiceConfig
    rng: random.Random
    recent_replicas: deque[tuple[int, int]]  # segment and replica of each of the last requested flows
    recent_arrivals: DecayingCount  # requested flows
    fleet_setup_times: FleetSetupTimes

    now: float = 0.0
    actions: list[events.Action] = field(default_factory=list)  # of the current event
    ticks: int = 0

    servers: dict[str, ServerRecord] = field(default_factory=dict)  # removed ones while they have connections
    ready: list[ServerRecord] = field(default_factory=list)  # as of the last endpoint list
    total_size: float = 1.0  # of the ready servers
    largest_size: float = 1.0  # of a ready server
    recently_overloaded: dict[str, ServerRecord] = field(default_factory=dict)
    reconnects_expected_until: float = 0.0  # by clients of servers that have left the endpoint list
    subscription: SubscriptionState = field(default_factory=SubscriptionState)

    flows: dict[int, FlowRecord] = field(default_factory=dict)  # that have not ended, by id
    flow_counts: Counter[int] = field(default_factory=Counter)  # of these, by segment
    preference_orders: dict[int, list[ServerRecord]] = field(default_factory=dict)  # cache, by segment
    overrides: dict[tuple[int, int], ServerRecord] = field(default_factory=dict)  # by segment and replica

    arrivals: TickRate = field(default_factory=TickRate)  # requested flows
    first_arrivals: TickRate = field(default_factory=TickRate)  # without reconnecting clients
    connects: ConnectionCounts = field(default_factory=ConnectionCounts)
    spill_depth: int = 0  # servers of its preference order that a segment may use

    @property
    def lacks_latency_reports(self) -> bool:
        """Whether overload shows only in set-up times, since servers send no latency reports."""
        return not self.config.reports_latency

    @property
    def min_setup_target(self) -> float:
        """The shortest set-up target of all service types."""
        return min((kind.setup_target for kind in self.config.service_types.values()), default=0.0)

    def start_event(self, now: float) -> None:
        """Begin an event that happened at `now`."""
        self.now = now
        self.actions = []

    def count_arrival(self, request: events.FlowRequest) -> None:
        """Count a requested flow."""
        self.arrivals.count += 1
        self.recent_arrivals.increment(self.now)
        if not (request.reconnecting or request.mid_flow):
            self.first_arrivals.count += 1

    def end_tick(self, gain: float, decay: float) -> None:
        """Add the tick to the arrival rates with the weight `gain`; multiply connection counts by `decay`."""
        self.first_arrivals.end_tick(gain)
        self.arrivals.end_tick(gain)
        self.connects.decay(decay)
        self.ticks += 1

    def expire_overloaded(self) -> None:
        """Drop servers from `recently_overloaded` that have recovered or are not ready."""
        for server in list(self.recently_overloaded.values()):
            ends_at = max(server.admission.recovering_until, server.overload.deprioritized_until)
            if ends_at <= self.now or server.state != events.EndpointState.READY:
                del self.recently_overloaded[server.id]

    def add_server(self, endpoint: events.Server, server_hash: int) -> ServerRecord:
        """Add a record for a new server; its location and state are not copied yet."""
        server = ServerRecord(endpoint.id, server_hash, endpoint.started_at, self.now)
        self.servers[endpoint.id] = server
        return server

    def mark_unlisted(self, server_ids: set[str]) -> None:
        """Mark all servers as removed that are not in `server_ids`."""
        for server in self.servers.values():
            if server.id not in server_ids:
                server.state = events.EndpointState.REMOVED

    def refresh_ready(self) -> bool:
        """Recompute what depends on the servers' states and sizes; drop removed servers without connections.

        Returns whether a server stopped being ready, or none was ready before.
        """
        previous = self.ready
        self.servers = {
            server.id: server
            for server in self.servers.values()
            if server.state != events.EndpointState.REMOVED or server.connections
        }
        self.ready = [
            server for server in self.servers.values() if server.state == events.EndpointState.READY
        ]
        self.total_size = sum(server.size for server in self.ready) or 1.0
        self.largest_size = max((server.size for server in self.ready), default=1.0)
        self.preference_orders.clear()
        self.overrides = {
            key: server
            for key, server in self.overrides.items()
            if server.state == events.EndpointState.READY
        }
        return not previous or any(server.state != events.EndpointState.READY for server in previous)

    def add_flow(self, request: events.FlowRequest, segment: int) -> FlowRecord:
        """Add a record for a new flow."""
        flow = FlowRecord(request, segment)
        self.flows[request.id] = flow
        self.flow_counts[segment] += 1
        return flow

    def request_migration(self, flow: FlowRecord) -> None:
        """Ask the client of an established flow to reconnect."""
        flow.established = False
        self.actions.append(events.Migrate(flow.request.id))

    def remove_flow(self, flow: FlowRecord) -> None:
        """Remove a flow that has ended."""
        del self.flows[flow.request.id]
        self.flow_counts[flow.segment] -= 1
        if not self.flow_counts[flow.segment]:
            del self.flow_counts[flow.segment]
        if flow.server is not None:
            flow.server.connections.pop(flow.request.id, None)
