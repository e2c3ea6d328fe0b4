"""Segments: hashing, preference orders and rebalancing, after SlimeMold (APNET 2023; docs/design.md)."""

import math
from collections import Counter
from zlib import crc32

from lotusroute.routing import events
from lotusroute.routing.state import FlowRecord, RoutingState, ServerRecord

SEGMENT_BITS = 10  # 1024 segments, so that few groups share one; 8 bits mixed them, 12 gave no more
MAX_LOAD_RATIO = 1.4  # mean servers' connections that one server takes: at 40% load, with a group's cost
PRIOR_FLOWS = 5  # flows of no group added to the own ones, so that chance spreads no group
RECENT_FLOWS = 64  # last flows that show what segments and servers are wanted; more cost CPU
PRIOR_RECENT_FLOWS = 20  # flows of the usual mix added to them: as many as each of 200 balancers sees
REBALANCE_RATIO = 0.8  # of least to most usage, the paper's value; 0.6 to 0.9 measured alike
MIN_CONNECTIONS_TO_REBALANCE = 4  # on the busiest server: lower counts are chance
NEW_SERVER_PERIOD = 10_000.0  # ms in which the low usage of a new server says nothing yet
SPILL_DEPTH = 4  # servers of its order that a segment spills over: more scatter groups that share work
MAX_REPLICAS = 2 * SPILL_DEPTH  # length of a preference order
RANK_CUTOFF = 6 * SPILL_DEPTH  # rank times total size that most servers of a preference order are under
HASH_MULTIPLIER = 0xBF58476D1CE4E5B9  # the odd multiplier of SplitMix64; any odd one would do
HASH_MASK = (1 << 64) - 1


def hash_text(text: str) -> int:
    """Return the 64-bit hash that ranks servers and segments alike in all balancers."""
    return crc32(text.encode()) * HASH_MULTIPLIER & HASH_MASK


def segment_of(state: RoutingState, request: events.FlowRequest) -> int:
    """Return the segment of a flow: by its group where groups share work, else by its key."""
    shared = request.group if state.config.groups_share_work else None
    return crc32((shared or request.key or str(request.id)).encode()) >> (32 - SEGMENT_BITS)


def register(state: RoutingState, request: events.FlowRequest) -> FlowRecord:
    """Take in a new flow; its key chooses the replica of its segment."""
    flow = state.add_flow(request, segment_of(state, request))
    key_hash = crc32((request.key or str(request.id)).encode())
    flow.replica = key_hash % replica_count(state, flow.segment)
    state.recent_replicas.append((flow.segment, flow.replica))
    return flow


def replica_count(state: RoutingState, segment: int) -> int:
    """Return over how many servers a segment is spread: one cannot hold a tenth of the flows of 80."""
    servers = len(state.ready)
    flows = len(state.flows)
    if state.lacks_latency_reports and flows < servers:
        # The few own flows do not show how few groups there are; the recent ones do.
        counts = Counter(recent for recent, _ in state.recent_replicas)
        total = len(state.recent_replicas)
        same_group = sum(n * (n - 1) for n in counts.values()) / (total * (total - 1) + PRIOR_RECENT_FLOWS)
        if same_group * servers > MAX_LOAD_RATIO:  # the usual group is more than one server takes
            fraction = (counts[segment] + PRIOR_RECENT_FLOWS * same_group) / (total + PRIOR_RECENT_FLOWS)
            return min(1 + int(fraction * servers / MAX_LOAD_RATIO), MAX_REPLICAS)
    others = (state.flow_counts[segment] - 1) * servers
    return min(1 + int(others / (MAX_LOAD_RATIO * (flows + PRIOR_FLOWS))), MAX_REPLICAS)


def preference_order(state: RoutingState, segment: int) -> list[ServerRecord]:
    """Return a segment's first servers, ranked on demand: for all after each list took five times the CPU."""
    if segment not in state.preference_orders:
        state.preference_orders[segment] = _rank_servers(state, hash_text(str(segment)))
    return state.preference_orders[segment]


def _rank_servers(state: RoutingState, segment_hash: int) -> list[ServerRecord]:
    def rank(server: ServerRecord) -> tuple[float, str, ServerRecord]:
        sample = ((segment_hash ^ server.hash) * HASH_MULTIPLIER & HASH_MASK) + 1
        return -math.log(sample / (HASH_MASK + 2)) / server.size, server.id, server

    # Whoever ranks under `cutoff` hashes to `least` or more; the first are among so many.
    cutoff = RANK_CUTOFF / state.total_size
    least = int(HASH_MASK * math.exp(-cutoff * state.largest_size))
    likely = [s for s in state.ready if (segment_hash ^ s.hash) * HASH_MULTIPLIER & HASH_MASK >= least]
    ranks = sorted(map(rank, likely))
    if sum(value <= cutoff for value, _, _ in ranks) < MAX_REPLICAS:
        ranks = sorted(map(rank, state.ready))
    return [server for _, _, server in ranks[:MAX_REPLICAS]]


def default_server(state: RoutingState, segment: int, replica: int) -> ServerRecord | None:
    """Return the server that all balancers take for a replica of a segment."""
    return next(iter(preference_order(state, segment)[replica:]), None)


def assigned_server(state: RoutingState, segment: int, replica: int) -> ServerRecord | None:
    """Return this balancer's server for a replica: its override, or else the default."""
    return state.overrides.get((segment, replica)) or default_server(state, segment, replica)


def rebalance(state: RoutingState) -> None:
    """Reassign one replica from the busiest server to the idlest if usage is uneven."""
    known = [s for s in state.ready if max(s.ejected_until, s.first_seen_at + NEW_SERVER_PERIOD) <= state.now]
    if not known:
        return
    busiest = max(known, key=lambda s: (s.usage, s.id))
    idlest = min(known, key=lambda s: (s.usage, s.id))
    connections = len(busiest.connections)
    if connections < MIN_CONNECTIONS_TO_REBALANCE or idlest.usage >= REBALANCE_RATIO * busiest.usage:
        return
    gap = (busiest.usage - idlest.usage) / busiest.usage * connections / 2
    replicas = {(flow.segment, flow.replica) for flow in busiest.connections.values()}
    own = [key for key in replicas if assigned_server(state, *key) is busiest]
    if own:
        closest = min(own, key=lambda key: (abs(state.flow_counts[key[0]] - gap), key))
        state.overrides.pop(closest, None)
        if assigned_server(state, *closest) is not idlest:
            state.overrides[closest] = idlest
