"""Migration: established connections that are asked to leave overloaded servers or return to defaults."""

from collections import Counter

from lotusroute.routing.outlier_detection import overload_latency
from lotusroute.routing.segments import assigned_server, default_server
from lotusroute.routing.slow_start import admitted_fraction, capacity_fraction, warming_up
from lotusroute.routing.state import RoutingState, ServerRecord

MIGRATION_INTERVAL = 2_000.0  # ms: until reports can show what the last migration did
MIGRATION_FRACTION = 0.15  # of the own connections at a time, times the latency over its threshold
UNREPORTED_MIGRATION_FRACTION = 0.34  # without latency reports: set-up times show overload late
DEFAULT_MIGRATION_RATE = 0.2  # a second, of connections whose default is another server; 0.5 was a storm


def migrate(state: RoutingState) -> None:
    """Migrate from overloaded servers, and without latency reports to default servers as well."""
    for server in state.recently_overloaded.values():
        overloaded = max(server.overloaded_until, server.confirmed_slow_until) > state.now
        if overloaded and server.connections and state.now >= server.migrated_at + MIGRATION_INTERVAL:
            migrate_from_overloaded(state, server)
    if state.lacks_latency_reports:
        _migrate_to_defaults(state)


def migrate_from_overloaded(state: RoutingState, server: ServerRecord) -> None:
    """Migrate some connections away, the heaviest first; without latency reports the largest groups."""
    server.migrated_at = state.now
    flows = [flow for flow in server.connections.values() if flow.established]
    by_group = state.config.groups_share_work and state.lacks_latency_reports
    groups = Counter(flow.segment for flow in flows if by_group)
    flows.sort(key=lambda f: (-groups[f.segment], f.segment if by_group else 0, -f.load, f.request.id))
    targets = []
    if groups:  # found once: for each of 2,000 migrations a second that took a third of the CPU
        fit = [s for s in state.ready if max(s.ejected_until, s.overloaded_until) <= state.now]
        targets = [s for s in fit if not warming_up(state, s)]
    count = int(len(flows) * _migrating_fraction(state, server, len(flows)) + state.rng.random())
    for flow in flows[:count]:
        state.request_migration(flow)
        if targets and assigned_server(state, flow.segment, flow.replica) is server:
            state.overrides[flow.segment, flow.replica] = min(targets, key=lambda s: (s.usage, s.id))


def _migrating_fraction(state: RoutingState, server: ServerRecord, flows: int) -> float:
    fraction = 1 / (1 + flows)
    if state.lacks_latency_reports:
        return max(UNREPORTED_MIGRATION_FRACTION, fraction)
    # Half of all left where each of many balancers held one: no more leave than messages are late.
    by_latency = MIGRATION_FRACTION * server.latency / overload_latency(state)
    return max(MIGRATION_FRACTION, min(fraction, by_latency))


def _migrate_to_defaults(state: RoutingState) -> None:
    """Migrate to default servers that joined later, each client by chance, so that they are no storm."""
    for flow in [flow for flow in state.flows.values() if flow.established]:
        default = default_server(state, flow.segment, flow.replica)
        if default is not None and default is not flow.server and _takes_back(state, default):
            state.overrides.pop((flow.segment, flow.replica), None)
            state.request_migration(flow)


def _takes_back(state: RoutingState, server: ServerRecord) -> bool:
    if not server.started_at or server.restricted_until > state.now:
        return False
    sample = state.rng.random()
    probability = DEFAULT_MIGRATION_RATE * capacity_fraction(state, server)
    if sample >= probability or not warming_up(state, server):
        return sample < probability
    # One not admitted went elsewhere and migrated again. Computed for few, so that the tick is not delayed.
    return sample < probability * admitted_fraction(state, server, reconnecting=True)
