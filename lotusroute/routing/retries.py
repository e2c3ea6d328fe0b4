"""Attempts of flows: the server of each, its time limit, throttling, and when a retry is safe."""

from collections.abc import Iterator

from lotusroute.routing import events
from lotusroute.routing.segments import SPILL_DEPTH, assigned_server, default_server, preference_order
from lotusroute.routing.slow_start import admits, warming_up
from lotusroute.routing.state import FlowRecord, RoutingState, ServerRecord

OVERLOADED_SPILL_DEPTH = 2  # servers a segment spills over while much of the fleet is overloaded
OVERLOADED_FLEET_FRACTION = 0.5  # of the servers, what much means; 0.75 cost 0.03 on overloaded days
UNKNOWN_SERVER_SKIP_PROBABILITY = 0.75  # for clients that come back; 0.5 did less
FALLBACK_CANDIDATES = 8  # servers outside the segment's order that are tried before a flow is rejected
ATTEMPT_TIMEOUT_TARGETS = 2.0  # set-up targets that one attempt may take while others could follow
ATTEMPT_DEADLINE_FRACTION = 0.8  # of the time left, without latency reports: the rest serves one more
MAX_FAILURE_RATIO = 0.5  # failed connects per established one, as when a zone is cut off
FAILURE_ALLOWANCE = 4.0  # failed connects that say nothing yet
MAX_RESET_RATIO = 0.25  # failed or cut ones, for clients that come back: one in five is overload
RESET_ALLOWANCE = 1.0  # failed or cut ones that say nothing yet
RETRY_AFTER = 1_000.0  # ms: a rejected client stays away for about a tick, then there are new reports


def update_spill_depth(state: RoutingState) -> None:
    """Spill less while much of the fleet is overloaded: scattered groups cost more than that relieves."""
    overloaded = len(state.recently_overloaded) > OVERLOADED_FLEET_FRACTION * len(state.ready)
    state.spill_depth = OVERLOADED_SPILL_DEPTH if overloaded else SPILL_DEPTH


def next_server(state: RoutingState, flow: FlowRecord) -> ServerRecord | events.RejectReason:
    """Return the server of a flow's next attempt, or why there is none."""
    if len(flow.attempted) >= state.config.max_attempts:
        return events.RejectReason.ATTEMPTS_EXHAUSTED
    if state.now >= flow.request.deadline:
        return events.RejectReason.DEADLINE_PASSED
    if _throttled(state, flow.request):
        return events.RejectReason.THROTTLED
    return _select_server(state, flow) or events.RejectReason.NO_FIT_SERVER


def _select_server(state: RoutingState, flow: FlowRecord) -> ServerRecord | None:
    """Return the first candidate that is fit and admits the flow; else the best of the others."""
    mid_flow = flow.request.mid_flow
    unknown = overloaded = deprioritized = ejected = None
    for server in _candidates(state, flow):
        if server.ejected_until > state.now:
            ejected = ejected or server
        elif server.overloaded_until > state.now and not mid_flow:
            overloaded = server
        elif server.deprioritized_until > state.now and not mid_flow:
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
    """Yield servers in order of preference, as far as the segment spills.

    Of those that warm up, which are no step, one is yielded: the assigned or, without reports, the first.
    """
    server_of = default_server if flow.request.mid_flow else assigned_server
    assigned = server_of(state, flow.segment, flow.replica)
    steps_left = state.spill_depth
    target = None if state.lacks_latency_reports else assigned
    others = [s for s in preference_order(state, flow.segment) if s is not assigned]
    for server in others if assigned is None else [assigned, *others]:
        if warming_up(state, server):
            target = target or (server if state.lacks_latency_reports else None)
            if server is not target:
                continue
        else:
            steps_left -= 1
            if steps_left < 0:
                return
        if _may_attempt(state, flow, server):
            yield server


def _skips_unknown(state: RoutingState, server: ServerRecord, request: events.FlowRequest) -> bool:
    """Tell whether to skip an unknown server: that a client comes back may be the only sign of overload."""
    if not request.reconnecting or request.mid_flow or server.connections or warming_up(state, server):
        return False
    expected = state.now < state.reconnects_expected_until
    return not expected and state.rng.random() < UNKNOWN_SERVER_SKIP_PROBABILITY


def _admits(state: RoutingState, server: ServerRecord | None, flow: FlowRecord) -> bool:
    return server is not None and admits(state, server, flow.request.reconnecting)


def _fallback_server(state: RoutingState, flow: FlowRecord) -> ServerRecord | None:
    """Return a healthy server outside the preference order: flows were rejected beside idle servers."""
    start = int(state.rng.random() * len(state.ready))
    end = start + min(FALLBACK_CANDIDATES, len(state.ready))
    for server in (state.ready * 2)[start:end]:
        healthy = server.restricted_until <= state.now and not warming_up(state, server)
        if healthy and _may_attempt(state, flow, server):
            return server
    return None


def _may_attempt(state: RoutingState, flow: FlowRecord, server: ServerRecord) -> bool:
    """Tell whether a retry is safe: a flow that may have run goes only where its repeat is dropped."""
    previous = flow.possibly_ran_on
    if previous is None or server.id in flow.attempted:
        return server.id not in flow.attempted
    service_type = state.config.service_types[flow.request.service_type]
    if service_type.effect != events.Effect.IDEMPOTENCY_KEY:
        return service_type.effect != events.Effect.NON_IDEMPOTENT
    same = {"all": True, "zone": server.zone == previous.zone, "cell": server.cell == previous.cell}
    in_window = state.now < flow.possibly_ran_at + service_type.dedup_window
    return in_window and same.get(service_type.dedup_scope, False)


def _throttled(state: RoutingState, request: events.FlowRequest) -> bool:
    """Tell whether to reject a flow since most connects fail, whatever the server: retries keep it so."""
    failures = state.connects.failed
    successes = state.connects.established
    excess = failures - MAX_FAILURE_RATIO * successes - FAILURE_ALLOWANCE
    few_flows = len(state.flows) < len(state.ready)
    count_resets = state.lacks_latency_reports and request.reconnecting and few_flows
    if count_resets:  # what was cut came back at once and was cut elsewhere
        failures += state.connects.resets
        successes = max(0.0, successes - state.connects.resets)
        excess = failures - MAX_RESET_RATIO * successes - RESET_ALLOWANCE
    if request.mid_flow or excess <= 0 or state.rng.random() > excess / (failures + successes):
        return False
    if not count_resets:
        state.connects.failed += 1
    return True


def attempt_timeout(state: RoutingState, flow: FlowRecord) -> float:
    """Return how many ms the next attempt may take; 0 for all the time that is left."""
    if len(flow.attempted) + 1 >= state.config.max_attempts:
        return 0.0
    time_left = flow.request.deadline - state.now
    if state.lacks_latency_reports:
        # A shared store that took 1.5 s never emptied while all gave up and called again.
        return ATTEMPT_DEADLINE_FRACTION * time_left
    target = state.config.service_types[flow.request.service_type].setup_target
    return min(time_left / 2, ATTEMPT_TIMEOUT_TARGETS * target)


def final_answer(
    state: RoutingState, flow: FlowRecord, reason: events.RejectReason
) -> events.Reject | events.Abort:
    """Return the answer to a flow that gets no further attempt."""
    service_type = state.config.service_types[flow.request.service_type]
    if service_type.safe_to_retry(flow.possibly_ran_on is not None):
        return events.Reject(flow.request.id, min(state.config.max_retry_after, RETRY_AFTER), reason)
    return events.Abort(flow.request.id, reason)
