"""Slow start: how many flows a server gets while it warms up or recovers from overload (docs/design.md)."""

from lotusroute.routing.segments import assigned_server, preference_order
from lotusroute.routing.state import RoutingState, ServerRecord

TICK_INTERVAL = 1_000.0  # ms between upkeep; as often as servers report latency
SLOT_ROUND = 3_000.0  # ms in which the slots of all balancers pass; the time in which a server fails
GROUP_LOAD_FACTOR = 2.0  # times the mean that a large group may ask of one server; 1 broke the rule
MIN_CAPACITY_FRACTION = 0.05  # of its capacity that a server is taken to have at least when it starts
PRIOR_FLOWS_PER_TICK = 1.0  # added to rates: one flow in three ticks looked like a storm without it
RATE_GAIN = 0.1  # weight of the last tick: arrivals and results are averaged over about ten
RECOVERY_TIME = 12_000.0  # ms without a sign of overload until a server has recovered
RECOVERY_RATE = 0.5  # times the mean first arrivals, for a server overloaded just now
RECOVERY_DOUBLING_TIME = 4_000.0  # ms without a sign of overload in which that rate doubles
RECOVERY_SLOT_FACTOR = 4.0  # times the first arrivals that come to a recovering server; 2 measured alike


def warming_up(state: RoutingState, server: ServerRecord) -> bool:
    """Tell whether a server has started within the warm-up time."""
    return server.started_at > 0 and state.now < server.started_at + state.config.slow_start_duration


def capacity_fraction(state: RoutingState, server: ServerRecord) -> float:
    """Return what part of its full capacity a server that has started has at least."""
    config = state.config
    progress = min(1.0, max(0.0, state.now - server.started_at) / max(config.slow_start_duration, 1.0))
    return config.slow_start_share + (1 - config.slow_start_share) * progress


def start_recovery(state: RoutingState, server: ServerRecord, duration: float = RECOVERY_TIME) -> None:
    """Admit flows to a server that has been overloaded by slots, for `duration` ms."""
    if server.recovering_until <= state.now:
        server.last_slot_at = state.now
    server.recovering_until = max(server.recovering_until, state.now + duration)
    server.timely_setups = 0
    state.recently_overloaded[server.id] = server


def admits(state: RoutingState, server: ServerRecord, reconnecting: bool) -> bool:
    """Tell whether a server gets one more flow now; if so, a slot or part of the quota is used up."""
    if warming_up(state, server):
        return _admits_warming_up(state, server, reconnecting)
    return server.recovering_until <= state.now or _admits_recovering(state, server)


def _admits_warming_up(state: RoutingState, server: ServerRecord, reconnecting: bool) -> bool:
    """Use the own quota, which with few balancers is most of the server's budget, or else a slot."""
    if state.lacks_latency_reports:
        return _take_slot(state, server, admitted_fraction(state, server, reconnecting))
    config = state.config
    capacity = config.slow_start_burst * capacity_fraction(state, server)
    total_size = max(state.total_size, server.size)
    first_rate = state.first_arrivals.mean
    rate = first_rate * config.instance_count / TICK_INTERVAL * capacity * server.size / total_size
    flows = config.instance_count if server.quota_flows else config.instance_index + 1
    if state.now >= server.last_quota_at + flows / max(rate, 1e-9):
        server.last_quota_at = state.now
        server.quota_flows += 1
        return True
    # A group asks as much of a small server: 25 flows in a second overloaded one of two cores.
    fraction = capacity / GROUP_LOAD_FACTOR * (server.size * len(state.ready) / total_size)
    if reconnecting:
        all_rate = max(state.arrivals.mean, state.arrivals.count, first_rate)
        fraction *= (first_rate + PRIOR_FLOWS_PER_TICK) / (all_rate + PRIOR_FLOWS_PER_TICK)
    return _take_slot(state, server, fraction)


def admitted_fraction(state: RoutingState, server: ServerRecord, reconnecting: bool) -> float:
    """Return what part of the flows for a server that warms up is admitted without latency reports.

    All balancers together fill it in the warm-up time; one group that is back at once has a limit more.
    """
    config = state.config
    initial = max(config.slow_start_share, MIN_CAPACITY_FRACTION) * max(config.slow_start_duration, 1.0)
    even_share = even_share_factor(state, server)
    capacity = config.slow_start_burst * capacity_fraction(state, server) * SLOT_ROUND / initial
    limit = 1.0
    if reconnecting and config.groups_share_work and state.now < state.reconnects_expected_until:
        servers_per_flow = max(1.0, len(state.ready) / len(state.recent_replicas))
        limit = capacity / GROUP_LOAD_FACTOR * min(1.0, even_share * servers_per_flow)
    arrivals = max(1.0, state.recent_arrivals.value_at(state.now))
    return min(1.0, limit, capacity * len(state.flows) / arrivals * even_share)


def even_share_factor(state: RoutingState, server: ServerRecord) -> float:
    """Return a server's even share over the part of recent flows that want it, so that it gets no more."""
    recent = state.recent_replicas
    wanted = sum(warming_up_target(state, segment, replica) is server for segment, replica in recent)
    return server.size / max(state.total_size, server.size) * len(recent) / max(1, wanted)


def warming_up_target(state: RoutingState, segment: int, replica: int) -> ServerRecord | None:
    """Return the one server that warms up which a replica's flows may reach: its own, or first in order."""
    assigned = assigned_server(state, segment, replica)
    if assigned is None or warming_up(state, assigned):
        return assigned
    return next((s for s in preference_order(state, segment) if warming_up(state, s)), None)


def _admits_recovering(state: RoutingState, server: ServerRecord) -> bool:
    """Use a slot; at hundreds of flows a second, where one a slot is next to nothing, the own rate."""
    calm = state.now + RECOVERY_TIME - server.recovering_until
    capacity = RECOVERY_RATE * 2 ** (calm / RECOVERY_DOUBLING_TIME)
    arrivals = max(state.first_arrivals.mean, state.first_arrivals.count)
    rate = arrivals / TICK_INTERVAL * capacity * server.size / state.total_size
    if rate * SLOT_ROUND <= RECOVERY_SLOT_FACTOR:
        return _take_slot(state, server, capacity / RECOVERY_SLOT_FACTOR)
    if state.now < server.last_slot_at + 1 / rate:
        return False
    server.last_slot_at = state.now
    return True


def _take_slot(state: RoutingState, server: ServerRecord, fraction: float) -> bool:
    """Admit one flow in this balancer's slot: `fraction` of a round, at a phase by its index."""
    phase = (state.config.instance_index / state.config.instance_count + state.now / SLOT_ROUND) % 1
    if phase >= fraction or state.now < server.last_slot_at + fraction * SLOT_ROUND:
        return False
    server.last_slot_at = state.now
    return True
