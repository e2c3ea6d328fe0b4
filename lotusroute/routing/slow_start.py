"""Slow start: limits the flows to a server that warms up or recovers from overload (docs/design.md).

An admission slot is the part of a fixed period in which a balancer may send one flow to a server. The phase
of a balancer's slots in the period is given by its index, so that the balancers take turns.
"""

from lotusroute.routing.records import ServerRecord
from lotusroute.routing.segments import assigned_server, preference_order
from lotusroute.routing.state import TICK_INTERVAL_MS, RoutingState

# Period in which each balancer has one slot. An overloaded server fails within about this time.
SLOT_PERIOD_MS = 3_000.0
# Load that a large group may cause on one server, relative to the mean load of a server. With 1, servers that
# warm up exceed the load that they are allowed.
GROUP_LOAD_FACTOR = 2.0
MIN_CAPACITY_FRACTION = 0.05  # lower bound on the fraction of its full capacity that a starting server has
# Flows that are added to rates. Without them, one flow in three ticks looks like a connection storm.
PRIOR_FLOWS_PER_TICK = 1.0
RECOVERY_TIME_MS = 12_000.0  # time without a sign of overload after which a server has recovered
# Fraction of its share of the arrivals of new clients that a server gets at the beginning of its recovery.
INITIAL_RECOVERY_FRACTION = 0.5
# Time without a sign of overload in which the fraction that a recovering server gets doubles.
RECOVERY_DOUBLING_TIME_MS = 4_000.0
# Ratio of all flows that arrive for a recovering server to those of new clients, by which slots are
# shortened. It is also the number of admissible flows per period above which one flow per slot is too few. A
# value of 2 leads to similar results.
RECOVERY_SLOT_FLOWS = 4.0
MIN_RATE_PER_MS = 1e-9  # lower bound on rates, which keeps intervals finite
# Timely set-ups that end a recovery early. If there are fewer within RECOVERY_TIME_MS, the recovery ends
# after that time.
SETUPS_TO_RECOVER = 8


def warming_up(state: RoutingState, server: ServerRecord) -> bool:
    """Return whether a server started less than the warm-up time ago."""
    return server.started_at > 0 and state.now < server.started_at + state.config.slow_start_duration


def capacity_fraction(state: RoutingState, server: ServerRecord) -> float:
    """Return the fraction of its full capacity that a server has, given the time since its start."""
    config = state.config
    progress = min(1.0, max(0.0, state.now - server.started_at) / max(config.slow_start_duration, 1.0))
    return config.slow_start_share + (1 - config.slow_start_share) * progress


def start_recovery(state: RoutingState, server: ServerRecord, duration: float = RECOVERY_TIME_MS) -> None:
    """Limit the flows to an overloaded server for `duration` ms."""
    admission = server.admission
    if admission.recovering_until <= state.now:
        admission.last_slot_at = state.now
    admission.recovering_until = max(admission.recovering_until, state.now + duration)
    admission.timely_setups = 0
    state.recently_overloaded[server.id] = server


def record_timely_setup(state: RoutingState, server: ServerRecord) -> None:
    """Count a set-up that was not slow; end the server's recovery early after SETUPS_TO_RECOVER of them."""
    admission = server.admission
    admission.timely_setups += 1
    if admission.timely_setups >= SETUPS_TO_RECOVER:
        admission.recovering_until = min(admission.recovering_until, state.now)


def try_admit(state: RoutingState, server: ServerRecord, reconnecting: bool) -> bool:
    """Return whether a server may get a flow now; if it warms up or recovers, use up a slot or the quota."""
    if warming_up(state, server):
        return _try_admit_warming_up(state, server, reconnecting)
    return server.admission.recovering_until <= state.now or _try_admit_recovering(state, server)


def _try_admit_warming_up(state: RoutingState, server: ServerRecord, reconnecting: bool) -> bool:
    """Use this balancer's quota of the server's capacity, or else its slot.

    With few balancers, most flows are admitted by the quotas; with many balancers, most by the slots.
    """
    if state.lacks_latency_reports:
        return _try_take_slot(state, server, admitted_fraction(state, server, reconnecting))
    capacity = state.config.slow_start_burst * capacity_fraction(state, server)
    return _try_use_quota(state, server, capacity) or _try_take_slot(
        state, server, _warming_up_slot_fraction(state, server, capacity, reconnecting)
    )


def _try_use_quota(state: RoutingState, server: ServerRecord, capacity: float) -> bool:
    """Use this balancer's quota: one of every `instance_count` flows that all balancers together may send.

    The time of its first flow depends on its index, so that the balancers do not all send a flow at once.
    """
    config, admission = state.config, server.admission
    total_weight = max(state.total_weight, server.weight)
    fleet_arrival_rate = state.new_client_arrivals.mean * config.instance_count / TICK_INTERVAL_MS
    fleet_quota_rate = fleet_arrival_rate * capacity * server.weight / total_weight
    fleet_flows = config.instance_count if admission.quota_flows else config.instance_index + 1
    if state.now < admission.last_quota_at + fleet_flows / max(fleet_quota_rate, MIN_RATE_PER_MS):
        return False
    admission.last_quota_at = state.now
    admission.quota_flows += 1
    return True


def _warming_up_slot_fraction(
    state: RoutingState, server: ServerRecord, capacity: float, reconnecting: bool
) -> float:
    """Return the length of a slot for a server that warms up, as a fraction of the period."""
    total_weight = max(state.total_weight, server.weight)
    # A group causes the same load on any server, so a server with a larger weight gets longer slots. 25 flows
    # within a second overload a small server of two cores.
    fraction = capacity / GROUP_LOAD_FACTOR * (server.weight * len(state.ready) / total_weight)
    if reconnecting:
        new_client_rate = state.new_client_arrivals.mean
        total_rate = max(state.arrivals.mean, state.arrivals.count, new_client_rate)
        fraction *= (new_client_rate + PRIOR_FLOWS_PER_TICK) / (total_rate + PRIOR_FLOWS_PER_TICK)
    return fraction


def admitted_fraction(state: RoutingState, server: ServerRecord, reconnecting: bool) -> float:
    """Return the fraction of its flows that a warming server admits if servers send no latency reports.

    With these fractions, all balancers together load the server up to its capacity by the end of the warm-up
    time. A further limit applies while all clients of a group that lost its server may reconnect at once.
    """
    config = state.config
    initial_capacity = max(config.slow_start_share, MIN_CAPACITY_FRACTION)
    duration = max(config.slow_start_duration, 1.0)
    capacity = config.slow_start_burst * capacity_fraction(state, server)
    # The flows that the server can take in one period, as a fraction of the mean load of a server.
    period_budget = capacity * SLOT_PERIOD_MS / (initial_capacity * duration)
    even_share = even_share_factor(state, server)
    limit = 1.0
    if reconnecting and config.groups_share_work and state.now < state.reconnects_expected_until:
        servers_per_flow = max(1.0, len(state.ready) / len(state.recent_replicas))
        limit = period_budget / GROUP_LOAD_FACTOR * min(1.0, even_share * servers_per_flow)
    arrivals = max(1.0, state.recent_arrivals.value_at(state.now))
    return min(1.0, limit, period_budget * len(state.flows) / arrivals * even_share)


def even_share_factor(state: RoutingState, server: ServerRecord) -> float:
    """Return the ratio of the server's even share of the load to the part of recent flows that targets it.

    Multiplied by this factor, the admitted flows are no more than the even share.
    """
    recent = state.recent_replicas
    targeted = sum(warming_up_target(state, segment, replica) is server for segment, replica in recent)
    return server.weight / max(state.total_weight, server.weight) * len(recent) / max(1, targeted)


def warming_up_target(state: RoutingState, segment: int, replica: int) -> ServerRecord | None:
    """Return the one warming server that a replica's flows may reach.

    This is the assigned server if it warms up, else the first warming one in the segment's preference order.
    """
    assigned = assigned_server(state, segment, replica)
    if assigned is None or warming_up(state, assigned):
        return assigned
    return next((s for s in preference_order(state, segment) if warming_up(state, s)), None)


def _try_admit_recovering(state: RoutingState, server: ServerRecord) -> bool:
    """Use a slot or, above RECOVERY_SLOT_FLOWS per period, limit the rate of this balancer's flows.

    At hundreds of flows per second, one flow per slot is next to nothing.
    """
    # A recovery that is shorter than RECOVERY_TIME_MS skips the beginning of a full one.
    elapsed = state.now + RECOVERY_TIME_MS - server.admission.recovering_until
    capacity = INITIAL_RECOVERY_FRACTION * 2 ** (elapsed / RECOVERY_DOUBLING_TIME_MS)
    arrivals = max(state.new_client_arrivals.mean, state.new_client_arrivals.count)
    rate = arrivals / TICK_INTERVAL_MS * capacity * server.weight / state.total_weight
    if rate * SLOT_PERIOD_MS <= RECOVERY_SLOT_FLOWS:
        return _try_take_slot(state, server, capacity / RECOVERY_SLOT_FLOWS)
    if state.now < server.admission.last_slot_at + 1 / rate:
        return False
    server.admission.last_slot_at = state.now
    return True


def _try_take_slot(state: RoutingState, server: ServerRecord, fraction: float) -> bool:
    """Use this balancer's slot, which lasts `fraction` of the period; return False if there is none now."""
    phase = (state.config.instance_index / state.config.instance_count + state.now / SLOT_PERIOD_MS) % 1
    if phase >= fraction or state.now < server.admission.last_slot_at + fraction * SLOT_PERIOD_MS:
        return False
    server.admission.last_slot_at = state.now
    return True
