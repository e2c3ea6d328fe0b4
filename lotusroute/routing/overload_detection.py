"""Overload detection: finds slow and overloaded servers by latency reports or set-up times (docs/design.md).

A set-up time is the time from the start of an attempt until the flow is established. Set-up times are used
only where servers send no latency reports. The reaction then depends on the evidence: a slow sample
deprioritizes a server, confirmed slowness also migrates its connections, and slowness that is both repeated
and statistically significant marks the server as overloaded.
"""

import math

from lotusroute.routing.records import FlowRecord, ServerRecord, SetupTimes
from lotusroute.routing.slow_start import record_timely_setup, start_recovery, warming_up
from lotusroute.routing.state import TICK_INTERVAL_MS, RoutingState
from lotusroute.routing.statistics import DecayingMean

# Ratio of the latency threshold for overloaded servers to that for slow ones: a server is slow from a third
# of the latency objective, and overloaded from the whole objective. With a single threshold, a fully loaded
# fleet migrates connections all the time.
OVERLOAD_LATENCY_FACTOR = 3.0
# Time for which a latency report is valid. It is limited, since a server reports that it has recovered only
# on its open connections, and this balancer may have none left.
LATENCY_REPORT_TTL_MS = 8_000.0
# Time for which a server stays deprioritized after a latency report below the threshold: half of the lifetime
# of a connection. A recovered server that is filled at once is overloaded again.
RECOVERED_DEPRIORITIZED_MS = 20_000.0

# Time constant of the decay of the mean set-up times. With a set-up every few seconds, the means cover the
# last two or three set-ups.
SETUP_TIME_CONSTANT_MS = 200.0
# Maximum weight, in set-ups, of a server's mean of recent set-up times. A mean of twenty set-ups hides an
# overload for seconds.
RECENT_SETUPS_WEIGHT = 2.0
SERVER_SETUP_WEIGHT = 1.0  # minimum weight of earlier set-ups in the means of a server
FLEET_SETUP_WEIGHT = 2.3  # weight of earlier set-ups in the mean of the fleet
MIN_SETUP_TIME_MS = 1e-3  # keeps ratios finite
# Mean absolute deviation of the logarithm of set-up times that is assumed before any has been measured.
INITIAL_SETUP_DEVIATION = 0.25
SETUP_DEVIATION_GAIN = 0.05  # weight of the last set-up in the deviation, which covers about twenty set-ups

# Time for which a slow sample deprioritizes a server: two and a half of the intervals of one second at which
# ticks and latency reports come.
SLOW_SAMPLE_TTL_MS = 2_500.0
# A set-up time is slow above this multiple of the expected one. The expected one is that of one of the
# quickest other servers, since in a slow fleet the median is slow, too.
SLOW_SETUP_RATIO = 2.5
# Lower bound on the expected set-up time, as a fraction of the fleet's mean, since a connection storm slows
# all servers.
FLEET_SETUP_FRACTION = 0.5
REFERENCE_RANK_DIVISOR = 8  # the reference server is one eighth down the list from the quickest server
# Shortest time between sorts of the servers by set-up time, per server; it bounds the CPU time of the sorts.
SORT_INTERVAL_PER_SERVER_MS = 1.0
# Number of mean absolute deviations, scaled to the standard error, above which a deviation is significant.
# Two of them are 1.6 standard deviations, which chance exceeds in one of 20 samples that are slow.
SIGNIFICANT_DEVIATIONS = 2.0
# Fraction of the shortest set-up target; a smaller accumulated delay is no sign of overload.
SIGNIFICANT_DELAY_FRACTION = 1 / 24
# Slow attempts that began within this time count as one sample: a stall of this balancer delays all of them.
STALL_WINDOW_MS = 100.0


def slow_latency_threshold(state: RoutingState) -> float:
    """Return the latency at or above which a server is slow.

    It is derived from the latency objective, or from the shortest set-up target if there are no latency
    reports or no objective is set.
    """
    objective = 0.0 if state.lacks_latency_reports else state.config.latency_objective
    return (objective or state.min_setup_target) / OVERLOAD_LATENCY_FACTOR


def overload_latency_threshold(state: RoutingState) -> float:
    """Return the latency at or above which a server is overloaded."""
    return slow_latency_threshold(state) * (1 if state.lacks_latency_reports else OVERLOAD_LATENCY_FACTOR)


def record_latency(state: RoutingState, server: ServerRecord, latency: float) -> None:
    """Apply a latency report: a slow server is deprioritized, and a very slow one is marked overloaded."""
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


def record_capacity_rejection(state: RoutingState, server: ServerRecord) -> None:
    """Mark a server as overloaded, since it rejected a connection for lack of capacity."""
    start_recovery(state, server)
    overload = server.overload
    overload.overloaded_until = max(overload.overloaded_until, state.now + TICK_INTERVAL_MS)


def record_setup(state: RoutingState, server: ServerRecord, flow: FlowRecord) -> None:
    """Record the set-up time of an established flow; evaluate it if servers send no latency reports."""
    setup_time = state.now - flow.attempted_at
    previous_fleet_mean = _update_fleet_mean(state, setup_time)
    times = _update_setup_times(state, server, setup_time, previous_fleet_mean)
    if state.lacks_latency_reports and not warming_up(state, server):
        sample = min(setup_time, times.recent.value)
        _compare_with_expected(state, server, flow, sample, previous_fleet_mean)


def _update_fleet_mean(state: RoutingState, setup_time: float) -> float:
    """Add a set-up time to the fleet's mean; return the previous mean."""
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


def _compare_with_expected(
    state: RoutingState, server: ServerRecord, flow: FlowRecord, sample: float, fleet_mean: float
) -> None:
    """Compare a sample of the server's set-up time with the time expected of a healthy server."""
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
    """Return the mean set-up time of another server, one of the quickest; None if there is no other server.

    In a large fleet the very quickest servers are skipped, since they may be quick by chance.
    """
    fleet = state.fleet_setup_times
    if state.now >= fleet.sorted_at + SORT_INTERVAL_PER_SERVER_MS * len(state.ready):
        fleet.servers_by_setup_time = sorted(
            state.ready, key=lambda s: (_mean_setup_time(state, s).value, s.id)
        )
        fleet.sorted_at = state.now
    rank = len(fleet.servers_by_setup_time) // REFERENCE_RANK_DIVISOR
    # Take one more server than the rank requires, since `server` itself may be among them.
    others = [other for other in fleet.servers_by_setup_time[: rank + 2] if other is not server]
    return _mean_setup_time(state, others[min(rank, len(others) - 1)]) if others else None


def _mean_setup_time(state: RoutingState, server: ServerRecord) -> DecayingMean:
    """Return the mean set-up time of a server; the fleet's if the server has none yet."""
    times = server.overload.setup_times
    if times is not None:
        return times.mean
    fleet_mean = state.fleet_setup_times.mean
    assert fleet_mean is not None  # set-up times are compared only after one has been recorded
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
    """Confirm that a server is slow if its mean set-up time is high, too; mark it overloaded if certain.

    Either a significant deviation or a second slow sample confirms slowness, after which connections are
    migrated; both together mean that the server is overloaded.
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
    """Return the ratio of two mean set-up times up to which random variation can explain it."""
    standard_error = math.sqrt(1 / mean.weight + 1 / reference.weight)
    return math.exp(SIGNIFICANT_DEVIATIONS * state.fleet_setup_times.deviation * standard_error)
