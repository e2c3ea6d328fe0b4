"""Segments: hashing, preference orders, replicas and rebalancing (docs/design.md).

The method follows SlimeMold (APNET 2023).

A segment is a hash bucket of flows. Its preference order, by weighted rendezvous hashing, is the same in all
balancers. A segment has one or more replicas; replica n is assigned to server n of the preference order,
unless this balancer has an override for it.
"""

import math
from collections import Counter
from zlib import crc32

from lotusroute.routing.events import FlowRequest
from lotusroute.routing.records import FlowRecord, ServerRecord
from lotusroute.routing.state import RoutingState

# 10 bits give 1,024 segments, so that few groups share one. With 8 bits, more groups share segments; 12 bits
# bring no further benefit.
SEGMENT_BITS = 10
# Load of one server, relative to the mean, above which a segment gets another replica. In a fleet at 40% of
# its capacity, a server can take this much together with the shared work of a group.
MAX_LOAD_RATIO = 1.4
# Flows outside of all groups that are added to this balancer's flows. A large group cannot be recognized by a
# few flows, and without them some groups would be spread by chance.
PRIOR_FLOWS = 5
# Requested flows whose segments and replicas are kept to show which segments and servers are requested.
# Keeping more would cost more CPU time.
MAX_RECENT_FLOWS = 64
# Flows with the usual mix of groups, added to the recent flows: as many as each of 200 balancers sees.
PRIOR_RECENT_FLOWS = 20
# A replica is reassigned if the usage of the least busy server is below this fraction of that of the busiest
# one. This is the value in SlimeMold; values from 0.6 to 0.9 lead to similar results.
REBALANCE_RATIO = 0.8
# Connections on the busiest server below which nothing is rebalanced: differences of so few are chance.
MIN_CONNECTIONS_TO_REBALANCE = 4
# Time in which a new server is excluded from rebalancing, since its low usage means nothing yet.
NEW_SERVER_PERIOD_MS = 10_000.0
# Number of servers of its preference order that a segment may use. More would scatter groups that share work.
SPILL_DEPTH = 4
MAX_REPLICAS = 2 * SPILL_DEPTH  # maximum number of replicas of a segment, and length of a preference order
# Product of rank and total weight below which there are usually at least MAX_REPLICAS servers.
RANK_CUTOFF = 6 * SPILL_DEPTH
HASH_MULTIPLIER = 0xBF58476D1CE4E5B9  # the multiplier of SplitMix64; any odd number would do
HASH_MASK = (1 << 64) - 1


def hash_text(text: str) -> int:
    """Return a 64-bit hash that is the same in all balancers."""
    return crc32(text.encode()) * HASH_MULTIPLIER & HASH_MASK


def segment_of(state: RoutingState, request: FlowRequest) -> int:
    """Return the segment of a flow, by the hash of its group if groups share work, else of its key."""
    shared = request.group if state.config.groups_share_work else None
    return crc32((shared or request.key or str(request.id)).encode()) >> (32 - SEGMENT_BITS)


def register_flow(state: RoutingState, request: FlowRequest) -> FlowRecord:
    """Add a new flow to the state; its key selects one of its segment's replicas."""
    flow = state.add_flow(request, segment_of(state, request))
    key_hash = crc32((request.key or str(request.id)).encode())
    flow.replica = key_hash % replica_count(state, flow.segment)
    state.recent_replicas.append((flow.segment, flow.replica))
    return flow


def replica_count(state: RoutingState, segment: int) -> int:
    """Return the number of replicas of a segment, which grows with its share of the flows.

    In a fleet of 80 servers, for example, a single server cannot take a tenth of all flows.
    """
    servers = len(state.ready)
    flows = len(state.flows)
    if state.lacks_latency_reports and flows < servers:
        replicas = _replica_count_by_recent_flows(state, segment)
        if replicas is not None:
            return replicas
    others = (state.flow_counts[segment] - 1) * servers
    return min(1 + int(others / (MAX_LOAD_RATIO * (flows + PRIOR_FLOWS))), MAX_REPLICAS)


def _replica_count_by_recent_flows(state: RoutingState, segment: int) -> int | None:
    """Return the number of replicas by the recent flows, which show large groups even if few flows are open.

    Returns None if a typical group is not too large for one server.
    """
    servers = len(state.ready)
    counts = Counter(recent for recent, _ in state.recent_replicas)
    total = len(state.recent_replicas)
    # The probability that two recent flows belong to the same segment. It estimates the fraction of all flows
    # that the segment of a random flow has.
    typical_fraction = sum(n * (n - 1) for n in counts.values()) / (total * (total - 1) + PRIOR_RECENT_FLOWS)
    if typical_fraction * servers <= MAX_LOAD_RATIO:
        return None
    fraction = (counts[segment] + PRIOR_RECENT_FLOWS * typical_fraction) / (total + PRIOR_RECENT_FLOWS)
    return min(1 + int(fraction * servers / MAX_LOAD_RATIO), MAX_REPLICAS)


def preference_order(state: RoutingState, segment: int) -> list[ServerRecord]:
    """Return a segment's servers in order of preference; cached until the next endpoint update.

    The order is computed on demand. Computing those of all segments after each endpoint update would take
    five times the CPU time.
    """
    if segment not in state.preference_orders:
        state.preference_orders[segment] = _rank_servers(state, hash_text(str(segment)))
    return state.preference_orders[segment]


def _rank_servers(state: RoutingState, segment_hash: int) -> list[ServerRecord]:
    """Return the first MAX_REPLICAS servers by weighted rendezvous hashing, the lowest rank first."""

    def rank(server: ServerRecord) -> float:
        sample = ((segment_hash ^ server.hash) * HASH_MULTIPLIER & HASH_MASK) + 1
        return -math.log(sample / (HASH_MASK + 2)) / server.weight

    # Logarithms are slow, so servers are filtered by hash first: every server with a rank of at most `cutoff`
    # has a hash of at least `min_hash`. If too few servers rank up to `cutoff`, all servers are ranked.
    cutoff = RANK_CUTOFF / state.total_weight
    min_hash = int(HASH_MASK * math.exp(-cutoff * state.max_weight))
    candidates = [s for s in state.ready if (segment_hash ^ s.hash) * HASH_MULTIPLIER & HASH_MASK >= min_hash]
    ranks = sorted((rank(server), server.id, server) for server in candidates)
    if sum(value <= cutoff for value, _, _ in ranks) < MAX_REPLICAS:
        ranks = sorted((rank(server), server.id, server) for server in state.ready)
    return [server for _, _, server in ranks[:MAX_REPLICAS]]


def default_server(state: RoutingState, segment: int, replica: int) -> ServerRecord | None:
    """Return the server of a replica by the preference order, which is the same in all balancers."""
    return next(iter(preference_order(state, segment)[replica:]), None)


def assigned_server(state: RoutingState, segment: int, replica: int) -> ServerRecord | None:
    """Return the server of a replica in this balancer: its override if there is one, else its default."""
    return state.overrides.get((segment, replica)) or default_server(state, segment, replica)


def rebalance(state: RoutingState) -> None:
    """Reassign one replica from the busiest to the least busy server if their usage differs widely."""
    candidates = [server for server in state.ready if _can_rebalance(state, server)]
    if not candidates:
        return
    busiest = max(candidates, key=lambda s: (s.usage, s.id))
    least_busy = min(candidates, key=lambda s: (s.usage, s.id))
    connections = len(busiest.connections)
    if connections < MIN_CONNECTIONS_TO_REBALANCE or least_busy.usage >= REBALANCE_RATIO * busiest.usage:
        return
    connections_to_migrate = (busiest.usage - least_busy.usage) / busiest.usage * connections / 2
    replicas = {(flow.segment, flow.replica) for flow in busiest.connections.values()}
    assigned = [replica for replica in replicas if assigned_server(state, *replica) is busiest]
    if not assigned:
        return
    reassigned = min(
        assigned, key=lambda replica: (abs(state.flow_counts[replica[0]] - connections_to_migrate), replica)
    )
    state.overrides.pop(reassigned, None)
    if assigned_server(state, *reassigned) is not least_busy:
        state.overrides[reassigned] = least_busy


def _can_rebalance(state: RoutingState, server: ServerRecord) -> bool:
    return max(server.failures.ejected_until, server.first_seen_at + NEW_SERVER_PERIOD_MS) <= state.now
