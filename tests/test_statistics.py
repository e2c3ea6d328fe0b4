"""Means, counts and rates in which recent events weigh more."""

import math

import pytest

from lotusroute.routing.events import ConnectionResult
from lotusroute.routing.statistics import ConnectionCounts, DecayingCount, DecayingMean, TickRate


def test_a_first_sample_is_averaged_with_the_initial_value_of_minimum_weight():
    mean = DecayingMean(10.0, time_constant=100.0, min_weight=1.0)
    mean.add(0.0, 20.0)
    assert mean.value == 15.0 and mean.weight == 2.0


def test_samples_lose_weight_with_age_down_to_the_minimum_weight():
    mean = DecayingMean(0.0, time_constant=100.0, min_weight=1.0)
    for _ in range(9):
        mean.add(0.0, 10.0)
    assert mean.weight == 10.0
    mean.add(100.0, 10.0)
    assert mean.weight == pytest.approx(10.0 / math.e + 1)
    mean.add(10_000.0, 10.0)
    assert mean.weight == 2.0


def test_the_weight_of_a_mean_is_limited():
    mean = DecayingMean(0.0, time_constant=100.0, min_weight=1.0, max_weight=2.0)
    for _ in range(5):
        mean.add(0.0, 8.0)
    assert mean.weight == 2.0
    mean.add(0.0, 0.0)
    assert mean.value == pytest.approx(7.75 / 2)


def test_a_count_decays_by_the_factor_e_in_a_time_constant():
    count = DecayingCount(time_constant=100.0)
    count.increment(0.0)
    count.increment(100.0)
    assert count.value_at(100.0) == pytest.approx(1 + 1 / math.e)
    assert count.value_at(200.0) == pytest.approx((1 + 1 / math.e) / math.e)


def test_a_rate_approaches_the_count_per_tick():
    rate = TickRate()
    rate.count = 10
    rate.end_tick(0.5)
    assert (rate.mean, rate.count) == (5.0, 0)
    rate.end_tick(0.5)
    assert rate.mean == 2.5


def test_failed_attempts_and_resets_of_established_connections_are_counted_separately():
    counts = ConnectionCounts()
    counts.count_end(False, ConnectionResult.TIMEOUT)
    counts.count_end(False, ConnectionResult.OK)
    counts.count_end(True, ConnectionResult.RESET)
    counts.count_end(True, ConnectionResult.ERROR)
    assert (counts.failed, counts.resets) == (1.0, 1.0)
    counts.decay(0.9)
    assert (counts.failed, counts.resets) == (0.9, 0.9)
