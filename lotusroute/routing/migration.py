"""Migration: selects established flows whose clients are asked to reconnect, so that they move elsewhere.

Flows migrate away from overloaded servers. Where servers send no latency reports, flows also migrate to their
default server, since a server that joins the fleet later would otherwise get few flows.
"""

from collections import Counter

from lotusroute.routing.overload_detection import overload_latency_threshold
from lotusroute.routing.records import FlowRecord, ServerRecord
from lotusroute.routing.segments import assigned_server, default_server
from lotusroute.routing.slow_start import admitted_fraction, capacity_fraction, warming_up
from lotusroute.routing.state import RoutingState

# Shortest time between two migrations from the same server. Latency reports show the effect of a migration
# only after this time.
MIGRATION_INTERVAL_MS = 2_000.0
# Fraction of this balancer's flows on an overloaded server that migrate at a time, multiplied by the ratio of
# the server's latency to the overload threshold.
LATENCY_MIGRATION_FRACTION = 0.15
# Fraction of this balancer's flows on an overloaded server that migrate at a time if servers send no latency
# reports. It is larger, since set-up times show an overload late.
FIXED_MIGRATION_FRACTION = 0.34
# Fraction of flows that migrate to their default server per tick. A fraction of 0.5 causes a reconnect storm.
DEFAULT_MIGRATION_RATE = 0.2


def migrate(state: RoutingState) -> None:
    """Request the migrations that are due at a tick."""
    for server in state.recently_overloaded.values():
        overload = server.overload
        is_slow = max(overload.overloaded_until, overload.confirmed_slow_until) > state.now
        if is_slow and server.connections and state.now >= server.migrated_at + MIGRATION_INTERVAL_MS:
            migrate_from_overloaded(state, server)
    if state.lacks_latency_reports:
        _migrate_to_defaults(state)


def migrate_from_overloaded(state: RoutingState, server: ServerRecord) -> None:
    """Migrate some of an overloaded server's flows.

    These are the heaviest flows or, if groups share work and servers send no latency reports, those of the
    largest groups.
    """
    server.migrated_at = state.now
    by_group = state.config.groups_share_work and state.lacks_latency_reports
    flows = _in_migration_order(server, by_group)
    # Computed once: for each flow of 2,000 migrations per second, this would take a third of the CPU time.
    targets = _override_targets(state) if flows and by_group else []
    count = int(len(flows) * _migration_fraction(state, server, len(flows)) + state.rng.random())
    for flow in flows[:count]:
        state.request_migration(flow)
        if targets and assigned_server(state, flow.segment, flow.replica) is server:
            state.overrides[flow.segment, flow.replica] = min(targets, key=lambda s: (s.usage, s.id))


def _in_migration_order(server: ServerRecord, by_group: bool) -> list[FlowRecord]:
    """Return the established flows of a server: the heaviest first or, by group, the largest group first."""
    flows = [flow for flow in server.connections.values() if flow.established]
    if by_group:
        sizes = Counter(flow.segment for flow in flows)
        flows.sort(key=lambda flow: (-sizes[flow.segment], flow.segment, -flow.load, flow.request.id))
    else:
        flows.sort(key=lambda flow: (-flow.load, flow.request.id))
    return flows


def _override_targets(state: RoutingState) -> list[ServerRecord]:
    """Return the servers to which replicas of an overloaded server may be reassigned."""
    available = [
        server
        for server in state.ready
        if max(server.failures.ejected_until, server.overload.overloaded_until) <= state.now
    ]
    return [server for server in available if not warming_up(state, server)]


def _migration_fraction(state: RoutingState, server: ServerRecord, flow_count: int) -> float:
    """Return the fraction of a server's flows to migrate, which is larger if there are only few."""
    fraction = 1 / (1 + flow_count)
    if state.lacks_latency_reports:
        return max(FIXED_MIGRATION_FRACTION, fraction)
    # The latency limits the fraction: if each of many balancers has a single flow on the server, half of all
    # its flows would migrate otherwise.
    by_latency = LATENCY_MIGRATION_FRACTION * server.reported_latency / overload_latency_threshold(state)
    return max(LATENCY_MIGRATION_FRACTION, min(fraction, by_latency))


def _migrate_to_defaults(state: RoutingState) -> None:
    """Migrate flows to their default servers: in each tick a random subset, to avoid a reconnect storm."""
    for flow in [flow for flow in state.flows.values() if flow.established]:
        default = default_server(state, flow.segment, flow.replica)
        if default is not None and default is not flow.server and _should_migrate_to_default(state, default):
            state.overrides.pop((flow.segment, flow.replica), None)
            state.request_migration(flow)


def _should_migrate_to_default(state: RoutingState, default: ServerRecord) -> bool:
    """Decide at random whether a flow migrates to its default server in this tick.

    A server that warms up admits only some flows; the others would be sent elsewhere and migrate again. The
    probability is therefore multiplied by that of being admitted.
    """
    if not default.started_at or default.restricted_until > state.now:
        return False
    sample = state.rng.random()
    probability = DEFAULT_MIGRATION_RATE * capacity_fraction(state, default)
    if sample >= probability or not warming_up(state, default):
        return sample < probability
    # This is slow and would delay the tick, so it is computed last, for the few flows that get here.
    return sample < probability * admitted_fraction(state, default, reconnecting=True)
