"""The state of a director: its configuration, and the servers, flows and rates that it has recorded.

This module makes no decisions and has no thresholds; these are in the decision modules, which
deploy/balancer.toml lists under `policy`. Times are in milliseconds on the host's clock.
"""

import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from lotusroute.routing import events
from lotusroute.routing.records import FlowRecord, ServerRecord
from lotusroute.routing.statistics import ConnectionCounts, DecayingCount, DecayingMean, TickRate

TICK_INTERVAL_MS = 1_000.0  # interval of the periodic timer, and of the servers' latency reports


@dataclass(slots=True)
class FleetSetupTimes:
    """Set-up times over all servers; written by `overload_detection.py`."""

    deviation: float  # mean absolute deviation of the logarithm of set-up times
    mean: DecayingMean | None = None
    # The ready servers as of `sorted_at`, the quickest first.
    servers_by_setup_time: list[ServerRecord] = field(default_factory=list)
    sorted_at: float = -math.inf


@dataclass(slots=True)
class SubscriptionState:
    """The subscription to endpoint updates, if discovery must be polled; written by `director.py`."""

    active: bool = False
    rejections: int = 0  # consecutive polls that discovery rejected
    renew_at: float = 0.0  # the earliest time of the next subscription

    def record_poll(self, accepted: bool) -> None:
        """Record the result of a poll."""
        self.active = accepted
        self.rejections = 0 if accepted else self.rejections + 1


@dataclass(slots=True, eq=False)
class RoutingState:
    """The state of a director; each decision module reads all of it and writes the fields that it owns."""

    config: events.ServiceConfig
    rng: random.Random
    recent_replicas: deque[tuple[int, int]]  # segment and replica of each recently requested flow
    recent_arrivals: DecayingCount  # count of recently requested flows
    fleet_setup_times: FleetSetupTimes

    now: float = 0.0
    actions: list[events.Action] = field(default_factory=list)  # actions in response to the current event
    ticks: int = 0

    # Listed servers, and removed servers while this balancer has connections to them, by id.
    servers: dict[str, ServerRecord] = field(default_factory=dict)
    ready: list[ServerRecord] = field(default_factory=list)  # the ready servers of the last endpoint list
    total_weight: float = 1.0  # sum of the weights of the ready servers
    max_weight: float = 1.0  # largest weight of a ready server
    # Servers that recover from overload or are deprioritized, by id.
    recently_overloaded: dict[str, ServerRecord] = field(default_factory=dict)
    # Until this time, clients of servers that have left the endpoint list may reconnect.
    reconnects_expected_until: float = 0.0
    subscription: SubscriptionState = field(default_factory=SubscriptionState)

    flows: dict[int, FlowRecord] = field(default_factory=dict)  # flows that have not ended, by id
    flow_counts: Counter[int] = field(default_factory=Counter)  # number of flows, by segment
    # Cache of the preference orders, by segment.
    preference_orders: dict[int, list[ServerRecord]] = field(default_factory=dict)
    # Servers assigned instead of the default servers, by segment and replica.
    overrides: dict[tuple[int, int], ServerRecord] = field(default_factory=dict)

    arrivals: TickRate = field(default_factory=TickRate)  # rate of requested flows
    # Rate of requested flows that are neither reconnecting nor mid-flow.
    new_client_arrivals: TickRate = field(default_factory=TickRate)
    connects: ConnectionCounts = field(default_factory=ConnectionCounts)
    spill_depth: int = 0  # number of servers of its preference order that a segment may use

    @property
    def lacks_latency_reports(self) -> bool:
        """Whether servers send no latency reports, so that overload shows only in set-up times."""
        return not self.config.reports_latency

    @property
    def min_setup_target(self) -> float:
        """The shortest set-up target of all service types."""
        return min(
            (service_type.setup_target for service_type in self.config.service_types.values()), default=0.0
        )

    def start_event(self, now: float) -> None:
        """Set the time to that of a new event, and clear the actions of the previous one."""
        self.now = now
        self.actions = []

    def count_arrival(self, request: events.FlowRequest) -> None:
        """Count a requested flow."""
        self.arrivals.count += 1
        self.recent_arrivals.increment(self.now)
        if not (request.reconnecting or request.mid_flow):
            self.new_client_arrivals.count += 1

    def end_tick(self, gain: float, decay: float) -> None:
        """Add this tick to the arrival rates with weight `gain`; multiply connection counts by `decay`."""
        self.new_client_arrivals.end_tick(gain)
        self.arrivals.end_tick(gain)
        self.connects.decay(decay)
        self.ticks += 1

    def prune_recently_overloaded(self) -> None:
        """Remove servers from `recently_overloaded` that have recovered or are not ready."""
        for server in list(self.recently_overloaded.values()):
            ends_at = max(server.admission.recovering_until, server.overload.deprioritized_until)
            if ends_at <= self.now or server.state != events.EndpointState.READY:
                del self.recently_overloaded[server.id]

    def add_server(self, endpoint: events.Server, server_hash: int) -> ServerRecord:
        """Add a record for a new server, without the location and state of its endpoint list entry."""
        server = ServerRecord(endpoint.id, server_hash, endpoint.started_at, self.now)
        self.servers[endpoint.id] = server
        return server

    def mark_unlisted(self, server_ids: set[str]) -> None:
        """Mark all servers that are not in `server_ids` as removed."""
        for server in self.servers.values():
            if server.id not in server_ids:
                server.state = events.EndpointState.REMOVED

    def refresh_ready_servers(self) -> bool:
        """Recompute the fields that depend on server states and weights; drop removed, unconnected servers.

        Returns whether a server has stopped being ready, or no server was ready before.
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
        self.total_weight = sum(server.weight for server in self.ready) or 1.0
        self.max_weight = max((server.weight for server in self.ready), default=1.0)
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
