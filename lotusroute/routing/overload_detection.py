"""Overload detection: finds slow and overloaded servers by latency reports or set-up times (docs/design.md).

A set-up time is the time from the start of an attempt until the flow is established. Set-up times are used
only where servers send no latency reports. There the consequences grow with the evidence: a slow sample makes
a server deprioritized, confirmed slowness migrates its connections, and a repeated and statistically
significant slowness makes it overloaded.
"""

import math

from lotusroute.routing.records import FlowRecord, ServerRecord, SetupTimes
from lotusroute.routing.slow_start import record_timely_setup, start_recovery, warming_up
from lotusroute.routing.state import TICK_INTERVAL_MS, RoutingState
from lotusroute.routing.statistics import DecayingMean

OVERLOAD_LATENCY_FACTOR = 3.0  # latency of an overloaded server over that of a slow one
LATENCY_REPORT_TTL_MS = 8_000.0
RECOVERED_DEPRIORITIZED_MS = 20_000.0  # from a latency report below the threshold

SETUP_TIME_CONSTANT_MS = 200.0  # of means of set-up times
RECENT_SETUPS_WEIGHT = 2.0  # set-ups in the mean of the last few
SERVER_SETUP_WEIGHT = 1.0  # least weight of a server's earlier set-ups
FLEET_SETUP_WEIGHT = 2.3  # weight of the fleet's earlier set-ups
MIN_SETUP_TIME_MS = 1e-3  # keeps ratios finite
INITIAL_SETUP_DEVIATION = 0.25  # of the logarithm of set-up times
SETUP_DEVIATION_GAIN = 0.05  # weight of the last set-up in the deviation

SLOW_SAMPLE_TTL_MS = 2_500.0
SLOW_SETUP_RATIO = 2.5  # slow set-up time over the expected one
FLEET_SETUP_FRACTION = 0.5  # of the fleet's mean; the least expected set-up time
REFERENCE_RANK_DIVISOR = 8  # the reference is at an eighth of the order by set-up time
SORT_INTERVAL_PER_SERVER_MS = 1.0  # of that order; bounds its cost
SIGNIFICANT_DEVIATIONS = 2.0  # standard errors
SIGNIFICANT_DELAY_FRACTION = 1 / 24  # of the shortest set-up target
STALL_WINDOW_MS = 100.0  # attempts that began within it are one sample


def slow_latency_threshold(state: RoutingState) -> float:
    """Return the latency from which a server is slow.

    It derives from the latency objective; without latency reports from the shortest set-up target.
    """
    objective = 0.0 if state.lacks_latency_reports else state.config.latency_objective
    return (objective or state.min_setup_target) / OVERLOAD_LATENCY_FACTOR


def overload_latency_threshold(state: RoutingState) -> float:
    """Return the latency from which a server is overloaded."""
    return slow_latency_threshold(state) * (1 if state.lacks_latency_reports else OVERLOAD_LATENCY_FACTOR)


def record_latency(state: RoutingState, server: ServerRecord, latency: float) -> None:
    """Update a server with its latency report: slow servers are deprioritized, the slowest overloaded."""
    server.reported_latency = latency
    overload = server.overload
    expires_at = state.now + LATENCY_REPORT_TTL_MS
    # A recovered server still holds the connections that overloaded it.
    recovered_until = 0.0 if state.lacks_latency_reports else state.now + RECOVERED_DEPRIORITIZED_MS
    overload.deprioritized_until = expires_at if latency >= slow_latency_threshold(state) else recovered_until
    overload.overloaded_until = expires_at if latency >= overload_latency_threshold(state) else 0.0
    if overload.overloaded_until:
        start_recovery(state, server)
    elif overload.deprioritized_until:
        state.recently_overloaded[server.id] = server


def record_full_queue(state: RoutingState, server: ServerRecord) -> None:
    """Make a server overloaded that rejected a connection for lack of capacity."""
    start_recovery(state, server)
    overload = server.overload
    overload.overloaded_until = max(overload.overloaded_until, state.now + TICK_INTERVAL_MS)


def record_setup(state: RoutingState, server: ServerRecord, flow: FlowRecord) -> None:
    """Update set-up times with an established flow, and evaluate them if there are no latency reports."""
    setup_time = state.now - flow.attempted_at
    previous_fleet_mean = _update_fleet_mean(state, setup_time)
    times = _update_setup_times(state, server, setup_time, previous_fleet_mean)
    if state.lacks_latency_reports and not warming_up(state, server):
        sample = min(setup_time, times.recent.value)
        _compare_with_others(state, server, flow, sample, previous_fleet_mean)


def _update_fleet_mean(state: RoutingState, setup_time: float) -> float:
    """Add a set-up time to the fleet's mean; return the mean before it."""
    times = state.fleet_setup_times
    if times.mean is None:
        times.mean = _new_mean(setup_time, FLEET_SETUP_WEIGHT, FLEET_SETUP_WEIGHT + 1)
    previous = times.mean.value
    times.mean.add(state.now, setup_time)
    return previous


def _update_setup_times(
    state: RoutingState, server: ServerRecord, setup_time: float, fleet_mean: float
) -> SetupTimes:
    """Add a set-up time to the server's means and to the fleet's deviation."""
    times = server.overload.setup_times
    if times is None:
        times = server.overload.setup_times = SetupTimes(
            mean=_new_mean(fleet_mean, SERVER_SETUP_WEIGHT),
            recent=_new_mean(fleet_mean, SERVER_SETUP_WEIGHT, RECENT_SETUPS_WEIGHT),
        )
    ratio = max(setup_time, MIN_SETUP_TIME_MS) / max(times.recent.value, MIN_SETUP_TIME_MS)
    fleet = state.fleet_setup_times
    fleet.deviation += SETUP_DEVIATION_GAIN * (min(1.0, abs(math.log(ratio))) - fleet.deviation)
    times.add(state.now, setup_time)
    return times


def _new_mean(value: float, min_weight: float, max_weight: float = math.inf) -> DecayingMean:
    return DecayingMean(value, SETUP_TIME_CONSTANT_MS, min_weight, max_weight)


def _compare_with_others(
    state: RoutingState, server: ServerRecord, flow: FlowRecord, sample: float, fleet_mean: float
) -> None:
    """Compare a sample of the server's set-up time with the time that is expected of a healthy server."""
    reference = _reference_setup_time(state, server)
    if reference is None:
        return
    expected = max(FLEET_SETUP_FRACTION * fleet_mean, reference.value, MIN_SETUP_TIME_MS)
    if sample <= expected * SLOW_SETUP_RATIO:
        _record_timely_sample(state, server)
        return
    server.overload.accumulated_delay += sample - expected
    if server.overload.accumulated_delay >= _significant_delay(state):
        _record_slow_sample(state, server, flow)
        _evaluate_slow_samples(state, server, expected, reference)


def _reference_setup_time(state: RoutingState, server: ServerRecord) -> DecayingMean | None:
    """Return the set-up time of another server that is among the quickest; None if there is no other.

    In a large fleet the very quickest are skipped, since their lead may be chance.
    """
    fleet = state.fleet_setup_times
    if state.now >= fleet.sorted_at + SORT_INTERVAL_PER_SERVER_MS * len(state.ready):
        fleet.quickest_first = sorted(state.ready, key=lambda s: (_mean_setup_time(state, s).value, s.id))
        fleet.sorted_at = state.now
    rank = len(fleet.quickest_first) // REFERENCE_RANK_DIVISOR
    # One more server than the rank needs, as the server itself may be among them.
    others = [other for other in fleet.quickest_first[: rank + 2] if other is not server]
    return _mean_setup_time(state, others[min(rank, len(others) - 1)]) if others else None


def _mean_setup_time(state: RoutingState, server: ServerRecord) -> DecayingMean:
    """Return the mean set-up time of a server; the fleet's if the server has none yet."""
    times = server.overload.setup_times
    if times is not None:
        return times.mean
    fleet_mean = state.fleet_setup_times.mean
    assert fleet_mean is not None  # set-up times are compared only after one was added
    return fleet_mean


def _record_timely_sample(state: RoutingState, server: ServerRecord) -> None:
    server.overload.accumulated_delay = 0.0
    if server.overload.deprioritized_until <= state.now:
        server.overload.slow_samples = 0
    record_timely_setup(state, server)


def _significant_delay(state: RoutingState) -> float:
    return SIGNIFICANT_DELAY_FRACTION * state.min_setup_target


def _record_slow_sample(state: RoutingState, server: ServerRecord, flow: FlowRecord) -> None:
    overload = server.overload
    if not overload.slow_samples or flow.attempted_at >= overload.last_slow_attempt_at + STALL_WINDOW_MS:
        overload.slow_samples += 1
        overload.last_slow_attempt_at = flow.attempted_at
    overload.deprioritized_until = state.now + SLOW_SAMPLE_TTL_MS
    state.recently_overloaded[server.id] = server


def _evaluate_slow_samples(
    state: RoutingState, server: ServerRecord, expected: float, reference: DecayingMean
) -> None:
    """Migrate connections of a server that is slow on average; mark it overloaded if that is certain.

    Either a significant deviation or a second slow sample confirms slowness; both together mean overload.
    """
    mean = _mean_setup_time(state, server)
    if mean.value <= max(expected * SLOW_SETUP_RATIO, expected + _significant_delay(state)):
        return
    overload = server.overload
    is_significant = mean.value > expected * max(SLOW_SETUP_RATIO, _noise_ratio(state, mean, reference))
    is_repeated = overload.slow_samples > 1
    if is_significant or is_repeated:
        overload.confirmed_slow_until = overload.deprioritized_until
    if is_significant and is_repeated:
        overload.overloaded_until = max(overload.overloaded_until, overload.deprioritized_until)
        start_recovery(state, server, SLOW_SAMPLE_TTL_MS)


def _noise_ratio(state: RoutingState, mean: DecayingMean, reference: DecayingMean) -> float:
    """Return the ratio of two means of set-up times that random variation can explain."""
    standard_error = math.sqrt(1 / mean.weight + 1 / reference.weight)
    return math.exp(SIGNIFICANT_DEVIATIONS * state.fleet_setup_times.deviation * standard_error)
