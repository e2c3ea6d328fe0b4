"""Outlier ejection: servers whose connections fail get no flows for some seconds (docs/design.md)."""

from lotusroute.routing.events import ConnectionResult, OutlierEjected
from lotusroute.routing.overload_detection import record_capacity_rejection
from lotusroute.routing.records import ServerRecord
from lotusroute.routing.slow_start import start_recovery
from lotusroute.routing.state import TICK_INTERVAL_MS, RoutingState

# The failure score of a server is between 0 and 1. A failure moves it towards 1 by the weight of the failure;
# a success multiplies it by SUCCESS_FACTOR.
EJECTION_SCORE = 0.45  # reached by two consecutive failures, or by failing to reach the server once
# Weight of a failure to reach the server. One such failure ejects the server, since it shows a silent crash
# long before the endpoint list does.
UNREACHABLE_WEIGHT = 0.6
FAILURE_WEIGHT = 0.3
# Weight of the reset of an established connection. It is low, since an overloaded server resets a connection
# now and then; many resets at once mean that the server's process has ended.
RESET_WEIGHT = 0.15
SUCCESS_FACTOR = 0.5
# A timeout is isolated if the score is below this, as it is after a failure and three consecutive successes.
ISOLATED_TIMEOUT_SCORE = 0.05
# Minimum ejection time, which covers most of the time until a failed server leaves the endpoint list. Random
# jitter adds up to 50%.
EJECTION_TIME_MS = 4_000.0


def record_result(
    state: RoutingState, server: ServerRecord, result: ConnectionResult, was_established: bool
) -> None:
    """Update the server's failure score with the result of a connection attempt or connection."""
    match result:
        case ConnectionResult.OK:
            record_success(server)
        case ConnectionResult.FULL:
            record_capacity_rejection(state, server)
        case ConnectionResult.UNREACHABLE:
            _record_failure(state, server, UNREACHABLE_WEIGHT)
        case ConnectionResult.RESET if was_established:
            start_recovery(state, server)
            _record_failure(state, server, RESET_WEIGHT)
        case ConnectionResult.TIMEOUT:
            if not _is_isolated_timeout(state, server):
                start_recovery(state, server)
            _record_failure(state, server, FAILURE_WEIGHT)
        case ConnectionResult.ERROR | ConnectionResult.RESET:
            _record_failure(state, server, FAILURE_WEIGHT)


def record_success(server: ServerRecord) -> None:
    """Lower the failure score of a server that established or completed a connection."""
    server.failures.score *= SUCCESS_FACTOR


def _record_failure(state: RoutingState, server: ServerRecord, weight: float) -> None:
    failures = server.failures
    failures.score += weight * (1 - failures.score)
    if failures.score >= EJECTION_SCORE and failures.ejected_until <= state.now:
        jitter = state.rng.uniform(0.0, EJECTION_TIME_MS / 2)
        failures.ejected_until = state.now + EJECTION_TIME_MS + jitter
        state.actions.append(OutlierEjected(server.id))


def _is_isolated_timeout(state: RoutingState, server: ServerRecord) -> bool:
    """Return whether a timeout is isolated: the server's other recent attempts succeeded.

    An isolated timeout does not limit the flows to the server. If it did, one timeout in 28 attempts would
    cause three of four flows to be rejected.
    """
    times = server.overload.setup_times
    has_recent_setup = times is not None and times.mean.updated_at + TICK_INTERVAL_MS > state.now
    return has_recent_setup and server.failures.score < ISOLATED_TIMEOUT_SCORE
