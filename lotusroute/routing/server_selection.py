"""Server selection: chooses the server of a flow's next attempt, and limits how far segments spill."""

from collections.abc import Iterator

from lotusroute.routing.events import DedupScope, FlowRequest, Idempotency
from lotusroute.routing.records import FlowRecord, ServerRecord
from lotusroute.routing.segments import SPILL_DEPTH, assigned_server, default_server, preference_order
from lotusroute.routing.slow_start import try_admit, warming_up
from lotusroute.routing.state import RoutingState

OVERLOADED_SPILL_DEPTH = 2  # servers that a segment may use while a large part of the fleet is overloaded
# Fraction of overloaded servers above which spilling is limited. With 0.75, the benchmark score of days with
# overload is 0.03 lower.
OVERLOADED_FLEET_FRACTION = 0.5
# Probability that a reconnecting client skips an unobserved server; see `_should_skip_unobserved`. A lower
# one, such as 0.5, has less effect.
UNOBSERVED_SERVER_SKIP_PROBABILITY = 0.75
FALLBACK_CANDIDATES = 8  # servers tried if no server in the segment's preference order takes the flow


def update_spill_depth(state: RoutingState) -> None:
    """Limit spilling while a large part of the fleet is overloaded.

    Spilling spreads a group over more servers, and each of them then has to do the work for the group.
    This costs more than the spilling relieves.
    """
    overloaded = len(state.recently_overloaded) > OVERLOADED_FLEET_FRACTION * len(state.ready)
    state.spill_depth = OVERLOADED_SPILL_DEPTH if overloaded else SPILL_DEPTH


def select_server(state: RoutingState, flow: FlowRecord) -> ServerRecord | None:
    """Return the first candidate that is unrestricted and admits the flow, or else the best alternative.

    The alternatives are, in this order: a server that was skipped as unobserved; a fallback server, if
    servers send no latency reports; a deprioritized server; and an ejected one, unless a candidate is
    overloaded.
    """
    mid_flow = flow.request.mid_flow
    unobserved = deprioritized = ejected = None
    any_overloaded = False
    for server in _candidates(state, flow):
        if server.failures.ejected_until > state.now:
            ejected = ejected or server
        elif server.overload.overloaded_until > state.now and not mid_flow:
            any_overloaded = True
        elif server.overload.deprioritized_until > state.now and not mid_flow:
            deprioritized = deprioritized or server
        elif _should_skip_unobserved(state, server, flow.request):
            unobserved = server
        elif _try_admit_flow(state, server, flow):
            return server
    if _try_admit_flow(state, unobserved, flow):
        return unobserved
    fallback = _fallback_server(state, flow) if state.lacks_latency_reports else None
    if fallback is not None:
        return fallback
    if _try_admit_flow(state, deprioritized, flow):
        return deprioritized
    return ejected if not any_overloaded and _try_admit_flow(state, ejected, flow) else None


def _candidates(state: RoutingState, flow: FlowRecord) -> Iterator[ServerRecord]:
    """Yield the servers that the flow may be sent to, in order of preference, up to the spill depth.

    Servers that warm up do not count towards the spill depth. At most one of them is yielded: the assigned
    one or, if servers send no latency reports, the first.
    """
    server_of = default_server if flow.request.mid_flow else assigned_server
    assigned = server_of(state, flow.segment, flow.replica)
    remaining_depth = state.spill_depth
    warming_candidate = None if state.lacks_latency_reports else assigned
    others = [s for s in preference_order(state, flow.segment) if s is not assigned]
    for server in others if assigned is None else [assigned, *others]:
        if warming_up(state, server):
            if warming_candidate is None and state.lacks_latency_reports:
                warming_candidate = server
            if server is not warming_candidate:
                continue
        else:
            remaining_depth -= 1
            if remaining_depth < 0:
                return
        if _may_attempt(state, flow, server):
            yield server


def _should_skip_unobserved(state: RoutingState, server: ServerRecord, request: FlowRequest) -> bool:
    """Return whether a reconnecting client skips an unobserved server.

    A server is unobserved if this balancer has no connections to it, and so cannot see whether the server is
    overloaded; the reconnect may be the only sign of it.
    """
    if not request.reconnecting or request.mid_flow or server.connections or warming_up(state, server):
        return False
    expected = state.now < state.reconnects_expected_until
    return not expected and state.rng.random() < UNOBSERVED_SERVER_SKIP_PROBABILITY


def _try_admit_flow(state: RoutingState, server: ServerRecord | None, flow: FlowRecord) -> bool:
    return server is not None and try_admit(state, server, flow.request.reconnecting)


def _fallback_server(state: RoutingState, flow: FlowRecord) -> ServerRecord | None:
    """Return a random unrestricted server, which may be outside the segment's preference order.

    Without it, flows are rejected while other servers are idle.
    """
    start = int(state.rng.random() * len(state.ready))
    end = start + min(FALLBACK_CANDIDATES, len(state.ready))
    for server in (state.ready * 2)[start:end]:
        unrestricted = server.restricted_until <= state.now and not warming_up(state, server)
        if unrestricted and _may_attempt(state, flow, server):
            return server
    return None


def _may_attempt(state: RoutingState, flow: FlowRecord, server: ServerRecord) -> bool:
    """Return whether the flow may be sent to a server: at most once, and only if a retry is safe there.

    A flow that may have run is retried only if it is idempotent, or on servers that recognize its key within
    the deduplication window.
    """
    if server.id in flow.attempted:
        return False
    previous = flow.possibly_ran_on
    if previous is None:
        return True
    service_type = state.config.service_types[flow.request.service_type]
    match service_type.idempotency:
        case Idempotency.IDEMPOTENT:
            return True
        case Idempotency.NON_IDEMPOTENT:
            return False
        case Idempotency.IDEMPOTENCY_KEY:
            within_dedup_window = state.now < flow.possibly_ran_at + service_type.dedup_window
            return within_dedup_window and _recognizes_keys_of(service_type.dedup_scope, server, previous)


def _recognizes_keys_of(scope: DedupScope, server: ServerRecord, previous: ServerRecord) -> bool:
    """Return whether a server recognizes the idempotency keys of flows that ran on `previous`."""
    match scope:
        case DedupScope.ALL:
            return True
        case DedupScope.ZONE:
            return server.zone == previous.zone
        case DedupScope.CELL:
            return server.cell == previous.cell
        case DedupScope.NONE:
            return False
