"""Segments: hashing, preference orders, replicas and rebalancing, after SlimeMold (docs/design.md).

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

SEGMENT_BITS = 10
MAX_LOAD_RATIO = 1.4  # load of one server relative to the mean; a segment above it gets another replica
PRIOR_FLOWS = 5  # added to this balancer's flows, since a large group cannot be recognized by a few flows
MAX_RECENT_FLOWS = 64  # requested flows whose segments and replicas are kept
PRIOR_RECENT_FLOWS = 20  # flows with the usual mix of groups, added to the recent flows
REBALANCE_RATIO = 0.8  # rebalances if the least busy server's usage is below this part of the busiest one's
MIN_CONNECTIONS_TO_REBALANCE = 4  # on the busiest server
NEW_SERVER_PERIOD_MS = 10_000.0  # in which a new server has a low usage that means nothing
SPILL_DEPTH = 4  # servers of its preference order that a segment may use
MAX_REPLICAS = 2 * SPILL_DEPTH  # also the length of a preference order
RANK_CUTOFF = 6 * SPILL_DEPTH  # rank times total weight; usually MAX_REPLICAS servers or more rank below it
HASH_MULTIPLIER = 0xBF58476D1CE4E5B9  # odd; from SplitMix64
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
    """Return the number of replicas of a segment, which grows with its share of the flows."""
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
    """Return a segment's servers in order of preference; cached until the next endpoint update."""
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
