"""Outlier and overload detection by failed connects, latency reports or set-up times (docs/design.md)."""

import math

from lotusroute.routing import events
from lotusroute.routing.slow_start import TICK_INTERVAL, start_recovery, warming_up
from lotusroute.routing.state import DecayingMean, FlowRecord, RoutingState, ServerRecord

EJECTION_TIME = 4_000.0  # ms: most of the list's delay on a dead server, and up to half more at random
EJECTION_SCORE = 0.45  # two failed connects in a row, or one that found nobody
UNREACHABLE_WEIGHT = 0.6  # silent death shows in connects long before the list has it
FAILURE_WEIGHT = 0.3
RESET_WEIGHT = 0.15  # many connections cut at once: the process is gone; one now and then: it sheds load
SUCCESS_FACTOR = 0.5  # times the failure score after each success
ISOLATED_TIMEOUT_SCORE = 0.05  # score after three set-ups in a row: below, one timeout is chance
OVERLOAD_LATENCY_FACTOR = 3.0  # a server is slow from a third of the latency objective, overloaded from all
LATENCY_REPORT_TTL = 8_000.0  # ms: a server reports that it is well again only over own connections
OVERLOAD_AFTERMATH = 20_000.0  # ms, half of a connection's life: filled at once it was overloaded again
SLOW_SETUP_TTL = 2_500.0  # ms: two and a half of the reports that come once a second
SLOW_SETUP_RATIO = 2.5  # times the quickest other server's set-up: the median of a slow fleet is slow
FLEET_SETUP_FRACTION = 0.5  # of the fleet's recent mean, the least reference: a storm slows all servers
SETUP_TIME_CONSTANT = 200.0  # ms of set-ups averaged: at one every few seconds the last two or three
RECENT_SETUPS_WEIGHT = 2.0  # set-ups in the mean of the last few: one of twenty hid overload for seconds
SERVER_SETUP_WEIGHT = 1.0  # set-ups that weigh on as history of a server
FLEET_SETUP_WEIGHT = 2.3  # set-ups that weigh on as history of the fleet
MIN_SETUP_TIME = 1e-3  # ms, so that ratios are finite
INITIAL_SETUP_DEVIATION = 0.25  # mean deviation of the logarithm of set-ups, before any is measured
SETUP_DEVIATION_GAIN = 0.05  # weight of the last set-up: averaged over some twenty of the fleet
SIGNIFICANT_DEVIATIONS = 2.0  # of what is compared, 1.6 sigma: one in 20 by chance, of those that are signs
SIGNIFICANT_DELAY_FRACTION = 1 / 24  # of the least set-up target: less delay, added up, is no sign
STALL_WINDOW = 100.0  # ms: connects begun within it are one sign, for a stall of ours delays all of them
SETUPS_TO_RECOVER = 8  # in time, after which a server has recovered: at few a second RECOVERY_TIME is less


def slow_latency(state: RoutingState) -> float:
    """Return the latency in ms from which a server is slow: by the objective, without reports by set-up."""
    objective = 0.0 if state.lacks_latency_reports else state.config.latency_objective
    return (objective or state.min_setup_target) / 3


def overload_latency(state: RoutingState) -> float:
    """Return the latency in ms from which a server is overloaded."""
    return slow_latency(state) * (1 if state.lacks_latency_reports else OVERLOAD_LATENCY_FACTOR)


def record_result(state: RoutingState, server: ServerRecord, flow: FlowRecord, result: str) -> None:
    """Take in how a connect, or the connection that came of it, has ended."""
    if result == events.ConnectionResult.OK:
        server.failure_score *= SUCCESS_FACTOR
    elif result == events.ConnectionResult.FULL:
        start_recovery(state, server)
        server.overloaded_until = max(server.overloaded_until, state.now + TICK_INTERVAL)
    elif result == events.ConnectionResult.UNREACHABLE:
        _record_failure(state, server, UNREACHABLE_WEIGHT)
    elif result in (
        events.ConnectionResult.ERROR,
        events.ConnectionResult.TIMEOUT,
        events.ConnectionResult.RESET,
    ):
        was_cut = result == events.ConnectionResult.RESET and flow.established
        if was_cut or (result == events.ConnectionResult.TIMEOUT and not _isolated_timeout(state, server)):
            start_recovery(state, server)
        _record_failure(state, server, RESET_WEIGHT if was_cut else FAILURE_WEIGHT)


def _record_failure(state: RoutingState, server: ServerRecord, weight: float) -> None:
    server.failure_score += weight * (1 - server.failure_score)
    if server.failure_score >= EJECTION_SCORE and server.ejected_until <= state.now:
        server.ejected_until = state.now + EJECTION_TIME + state.rng.uniform(0.0, EJECTION_TIME / 2)
        state.actions.append(events.OutlierEjected(server.id))


def _isolated_timeout(state: RoutingState, server: ServerRecord) -> bool:
    """Tell whether a timeout stands among set-ups in time: one in 28 had three of four flows rejected."""
    setup_time = server.setup_time
    recent = setup_time is not None and setup_time.updated_at + TICK_INTERVAL > state.now
    return recent and server.failure_score < ISOLATED_TIMEOUT_SCORE


def record_latency(state: RoutingState, server: ServerRecord, latency: float) -> None:
    """Take in a latency report; two thresholds, since with one a full fleet migrated all day."""
    server.latency = latency
    expiry = state.now + LATENCY_REPORT_TTL
    # What filled a server that is well again is still to leave.
    aftermath = 0.0 if state.lacks_latency_reports else state.now + OVERLOAD_AFTERMATH
    server.deprioritized_until = expiry if latency >= slow_latency(state) else aftermath
    server.overloaded_until = expiry if latency >= overload_latency(state) else 0.0
    if server.overloaded_until:
        start_recovery(state, server)
    elif server.deprioritized_until:
        state.recently_overloaded[server.id] = server


def record_setup(state: RoutingState, server: ServerRecord, flow: FlowRecord) -> None:
    """Take in a set-up; without latency reports, slow ones are signs of overload if they are not chance."""
    took = state.now - flow.attempted_at
    server.failure_score *= SUCCESS_FACTOR
    fleet = state.fleet_setup_time or _mean(took, FLEET_SETUP_WEIGHT, FLEET_SETUP_WEIGHT + 1)
    fleet_time = fleet.value
    fleet.add(state.now, took)
    mean = server.setup_time or _mean(fleet_time, SERVER_SETUP_WEIGHT)
    recent = server.recent_setup_time or _mean(fleet_time, SERVER_SETUP_WEIGHT, RECENT_SETUPS_WEIGHT)
    deviation = abs(math.log(max(took, MIN_SETUP_TIME) / max(recent.value, MIN_SETUP_TIME)))
    state.setup_deviation += SETUP_DEVIATION_GAIN * (min(1.0, deviation) - state.setup_deviation)
    mean.add(state.now, took)
    recent.add(state.now, took)
    state.fleet_setup_time = fleet
    server.setup_time = mean
    server.recent_setup_time = recent
    if not state.lacks_latency_reports or warming_up(state, server):
        return
    reference = _reference(state, server, fleet)
    if reference is None:
        return
    least = max(FLEET_SETUP_FRACTION * fleet_time, reference.value, MIN_SETUP_TIME)
    slow = min(took, recent.value)
    if slow <= least * SLOW_SETUP_RATIO:
        _record_timely_setup(state, server)
        return
    server.setup_delay += slow - least
    if server.setup_delay >= SIGNIFICANT_DELAY_FRACTION * state.min_setup_target:
        error = math.sqrt(1 / mean.weight + 1 / reference.weight)
        noise = math.exp(SIGNIFICANT_DEVIATIONS * state.setup_deviation * error)
        _record_slow_sign(state, server, flow)
        _confirm_slow(state, server, mean.value, least, noise)


def _mean(value: float, min_weight: float, max_weight: float = math.inf) -> DecayingMean:
    return DecayingMean(value, SETUP_TIME_CONSTANT, min_weight, max_weight)


def _record_timely_setup(state: RoutingState, server: ServerRecord) -> None:
    server.setup_delay = 0.0
    if server.deprioritized_until <= state.now:
        server.slow_signs = 0
    server.timely_setups += 1
    if server.timely_setups >= SETUPS_TO_RECOVER:
        server.recovering_until = min(server.recovering_until, state.now)


def _record_slow_sign(state: RoutingState, server: ServerRecord, flow: FlowRecord) -> None:
    if not server.slow_signs or flow.attempted_at >= server.slow_sign_at + STALL_WINDOW:
        server.slow_signs += 1
        server.slow_sign_at = flow.attempted_at
    server.deprioritized_until = state.now + SLOW_SETUP_TTL
    state.recently_overloaded[server.id] = server


def _confirm_slow(state: RoutingState, server: ServerRecord, mean: float, least: float, noise: float) -> None:
    """Migrate from a server that is slow for sure; on a second sign, of a later connect, reject flows too."""
    min_delay = SIGNIFICANT_DELAY_FRACTION * state.min_setup_target
    if mean <= max(least * SLOW_SETUP_RATIO, least + min_delay):
        return
    significant = mean > least * max(SLOW_SETUP_RATIO, noise)
    if significant or server.slow_signs > 1:
        server.confirmed_slow_until = server.deprioritized_until
    if significant and server.slow_signs > 1:
        server.overloaded_until = max(server.overloaded_until, server.deprioritized_until)
        start_recovery(state, server, SLOW_SETUP_TTL)


def _reference(state: RoutingState, server: ServerRecord, fleet: DecayingMean) -> DecayingMean | None:
    """Return the set-up time of the quickest other server; of many that of an eighth: the least is luck."""
    if state.now >= state.sorted_at + len(state.ready):  # a ms a server: its cost is bounded
        state.by_setup_time = sorted(state.ready, key=lambda s: ((s.setup_time or fleet).value, s.id))
        state.sorted_at = state.now
    rank = len(state.by_setup_time) // 8
    others = [other for other in state.by_setup_time[: rank + 2] if other is not server]
    return (others[min(rank, len(others) - 1)].setup_time or fleet) if others else None
