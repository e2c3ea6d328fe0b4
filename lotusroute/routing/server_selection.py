"""Server selection: which server a flow's next attempt goes to, and how far a segment spills."""

from collections.abc import Iterator

from lotusroute.routing.events import DedupScope, Effect, FlowRequest
from lotusroute.routing.records import FlowRecord, ServerRecord
from lotusroute.routing.segments import SPILL_DEPTH, assigned_server, default_server, preference_order
from lotusroute.routing.slow_start import try_admit, warming_up
from lotusroute.routing.state import RoutingState

OVERLOADED_SPILL_DEPTH = 2  # while a large part of the fleet is overloaded
OVERLOADED_FLEET_FRACTION = 0.5  # of the servers, which counts as a large part
UNKNOWN_SERVER_SKIP_PROBABILITY = 0.75  # for reconnecting clients
FALLBACK_CANDIDATES = 8  # servers outside the segment's preference order


def update_spill_depth(state: RoutingState) -> None:
    """Limit spilling while a large part of the fleet is overloaded.

    Spilling spreads groups over more servers, each of which then does the work for the group.
    """
    overloaded = len(state.recently_overloaded) > OVERLOADED_FLEET_FRACTION * len(state.ready)
    state.spill_depth = OVERLOADED_SPILL_DEPTH if overloaded else SPILL_DEPTH


def select_server(state: RoutingState, flow: FlowRecord) -> ServerRecord | None:
    """Return the first candidate that is unrestricted and admits the flow, else the best of the others."""
    mid_flow = flow.request.mid_flow
    unknown = overloaded = deprioritized = ejected = None
    for server in _candidates(state, flow):
        if server.failures.ejected_until > state.now:
            ejected = ejected or server
        elif server.overload.overloaded_until > state.now and not mid_flow:
            overloaded = server
        elif server.overload.deprioritized_until > state.now and not mid_flow:
            deprioritized = deprioritized or server
        elif _skips_unknown(state, server, flow.request):
            unknown = server
        elif _admits(state, server, flow):
            return server
    if _admits(state, unknown, flow):
        return unknown
    fallback = _fallback_server(state, flow) if state.lacks_latency_reports else None
    if fallback is not None or _admits(state, deprioritized, flow):
        return fallback or deprioritized
    return ejected if overloaded is None and _admits(state, ejected, flow) else None


def _candidates(state: RoutingState, flow: FlowRecord) -> Iterator[ServerRecord]:
    """Yield the servers that the flow may be sent to, in order of preference, as far as the segment spills.

    At most one of the servers that warm up is yielded, and none of them counts towards the spill depth: the
    assigned one or, without latency reports, the first.
    """
    server_of = default_server if flow.request.mid_flow else assigned_server
    assigned = server_of(state, flow.segment, flow.replica)
    remaining_depth = state.spill_depth
    warming_candidate = None if state.lacks_latency_reports else assigned
    others = [s for s in preference_order(state, flow.segment) if s is not assigned]
    for server in others if assigned is None else [assigned, *others]:
        if warming_up(state, server):
            warming_candidate = warming_candidate or (server if state.lacks_latency_reports else None)
            if server is not warming_candidate:
                continue
        else:
            remaining_depth -= 1
            if remaining_depth < 0:
                return
        if _may_attempt(state, flow, server):
            yield server


def _skips_unknown(state: RoutingState, server: ServerRecord, request: FlowRequest) -> bool:
    """Return whether a reconnecting client skips a server that this balancer has no connections to.

    The reconnect may be the only indication that the server is overloaded.
    """
    if not request.reconnecting or request.mid_flow or server.connections or warming_up(state, server):
        return False
    expected = state.now < state.reconnects_expected_until
    return not expected and state.rng.random() < UNKNOWN_SERVER_SKIP_PROBABILITY


def _admits(state: RoutingState, server: ServerRecord | None, flow: FlowRecord) -> bool:
    return server is not None and try_admit(state, server, flow.request.reconnecting)


def _fallback_server(state: RoutingState, flow: FlowRecord) -> ServerRecord | None:
    """Return a random server without restrictions, which may be outside the segment's preference order."""
    start = int(state.rng.random() * len(state.ready))
    end = start + min(FALLBACK_CANDIDATES, len(state.ready))
    for server in (state.ready * 2)[start:end]:
        unrestricted = server.restricted_until <= state.now and not warming_up(state, server)
        if unrestricted and _may_attempt(state, flow, server):
            return server
    return None


def _may_attempt(state: RoutingState, flow: FlowRecord, server: ServerRecord) -> bool:
    """Return whether the flow may be sent to a server: not twice to one, and only if a retry is safe.

    A flow with an idempotency key that may have run goes only to servers that recognize the key.
    """
    previous = flow.possibly_ran_on
    if previous is None or server.id in flow.attempted:
        return server.id not in flow.attempted
    service_type = state.config.service_types[flow.request.service_type]
    if service_type.effect != Effect.IDEMPOTENCY_KEY:
        return service_type.effect != Effect.NON_IDEMPOTENT
    in_window = state.now < flow.possibly_ran_at + service_type.dedup_window
    match service_type.dedup_scope:
        case DedupScope.ALL:
            return in_window
        case DedupScope.ZONE:
            return in_window and server.zone == previous.zone
        case DedupScope.CELL:
            return in_window and server.cell == previous.cell
        case _:
            return False
