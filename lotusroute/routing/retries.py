"""Retries: whether a flow gets another attempt, the attempt's timeout, throttling, and the final answer."""

from lotusroute.routing.events import Abort, FlowRequest, Reject, RejectReason
from lotusroute.routing.records import FlowRecord, ServerRecord
from lotusroute.routing.server_selection import select_server
from lotusroute.routing.state import RoutingState

# Timeout, as a multiple of the set-up target, of an attempt that another one may follow.
ATTEMPT_TIMEOUT_TARGETS = 2.0
# Timeout, as a fraction of the time until the deadline, of an attempt that another one may follow, if servers
# send no latency reports. The rest of the time is enough for one more attempt.
ATTEMPT_DEADLINE_FRACTION = 0.8
# Failed attempts per established connection above which flows are throttled. A zone that is cut off causes
# about this ratio.
MAX_FAILURE_RATIO = 0.5
FAILURE_ALLOWANCE = 4.0  # failed attempts allowed on top of MAX_FAILURE_RATIO; so few say nothing yet
# Failed attempts and resets, per established connection that was not reset, above which reconnecting clients
# are throttled: one failure or reset in five shows an overload.
MAX_RESET_RATIO = 0.25
RESET_ALLOWANCE = 1.0  # failed attempts and resets allowed on top of MAX_RESET_RATIO; so few say nothing yet
RETRY_AFTER_MS = 1_000.0  # rejected clients stay away for about one tick; then there are new reports


def next_server(state: RoutingState, flow: FlowRecord) -> ServerRecord | RejectReason:
    """Return the server of a flow's next attempt, or the reason why there is none."""
    if len(flow.attempted) >= state.config.max_attempts:
        return RejectReason.ATTEMPTS_EXHAUSTED
    if state.now >= flow.request.deadline:
        return RejectReason.DEADLINE_PASSED
    if _should_throttle(state, flow.request):
        return RejectReason.THROTTLED
    return select_server(state, flow) or RejectReason.NO_SERVER_AVAILABLE


def _should_throttle(state: RoutingState, request: FlowRequest) -> bool:
    """Return whether to reject a flow because many attempts fail, counted over all servers.

    Retries would keep the failures going, whichever server they are sent to. The probability of rejection is
    the number of failures in excess of the allowed number, divided by all attempts.
    """
    connects = state.connects
    # A balancer with few flows sees too few set-ups to detect overloaded servers, but it sees their resets.
    # Clients whose connections were reset reconnect at once, and would then be reset by other servers.
    has_few_flows = len(state.flows) < len(state.ready)
    counts_resets = state.lacks_latency_reports and request.reconnecting and has_few_flows
    if counts_resets:
        failures = connects.failed + connects.resets
        successes = max(0.0, connects.established - connects.resets)
        excess = failures - MAX_RESET_RATIO * successes - RESET_ALLOWANCE
    else:
        failures = connects.failed
        successes = connects.established
        excess = failures - MAX_FAILURE_RATIO * successes - FAILURE_ALLOWANCE
    if request.mid_flow or excess <= 0:
        return False
    if state.rng.random() > excess / (failures + successes):
        return False
    if not counts_resets:
        connects.failed += 1
    return True


def attempt_timeout(state: RoutingState, flow: FlowRecord) -> float:
    """Return the timeout of the flow's next attempt; 0 if the attempt may take until the deadline."""
    if len(flow.attempted) + 1 >= state.config.max_attempts:
        return 0.0
    time_left = flow.request.deadline - state.now
    if state.lacks_latency_reports:
        # With a short timeout, all flows give up and try again while a store that the servers share is slow.
        # A store that takes 1.5 s to answer would never work off its queue.
        return ATTEMPT_DEADLINE_FRACTION * time_left
    target = state.config.service_types[flow.request.service_type].setup_target
    return min(time_left / 2, ATTEMPT_TIMEOUT_TARGETS * target)


def final_answer(state: RoutingState, flow: FlowRecord, reason: RejectReason) -> Reject | Abort:
    """Return the answer for a flow that gets no further attempt."""
    service_type = state.config.service_types[flow.request.service_type]
    if service_type.safe_to_retry(flow.possibly_ran_on is not None):
        return Reject(flow.request.id, min(state.config.max_retry_after, RETRY_AFTER_MS), reason)
    return Abort(flow.request.id, reason)
