"""Tests of the relay selector: preference order, timeouts, failback and backoff."""

import random
from collections import Counter

from lotusroute.relay.relay_selector import (
    JOIN_TIMEOUT_MS,
    MIN_FAILBACK_DELAY_MS,
    SILENCE_TIMEOUT_MS,
    STALENESS_LIMIT_MS,
    Join,
    Leave,
    RelaySelector,
    preference_order,
)


def test_a_silent_relay_is_replaced_by_the_next_in_preference_order():
    first, second, third = preference_order("n1", ["a1", "a2"], ["b1"])
    selector = RelaySelector("n1", ["a1", "a2"], ["b1"], random.Random(1))
    assert third == "b1"
    assert selector.tick(0.0) == [Join(first)]
    selector.on_joined(10.0, first)
    assert selector.on_message(20.0, first)
    assert not selector.on_message(20.0, second)
    selector.on_confirmed(20.0, 100.0)
    assert selector.is_fresh(20.0 + STALENESS_LIMIT_MS - 101.0)
    assert not selector.is_fresh(20.0 + STALENESS_LIMIT_MS)
    assert selector.tick(19.0 + SILENCE_TIMEOUT_MS) == []
    assert selector.tick(20.0 + SILENCE_TIMEOUT_MS) == [Leave(first), Join(second)]
    assert selector.tick(20.0 + SILENCE_TIMEOUT_MS + JOIN_TIMEOUT_MS) == [Leave(second), Join(third)]


def test_a_subscriber_of_a_remote_relay_fails_back_to_its_own_zone():
    first, second, third = preference_order("n1", ["a1", "a2"], ["b1"])
    selector = RelaySelector("n1", ["a1", "a2"], ["b1"], random.Random(1))
    selector.tick(0.0)
    selector.on_lost(0.0, first)
    selector.on_lost(0.0, second)
    selector.on_joined(5_000.0, third)
    now = 5_000.0
    while not (actions := selector.tick(now)):
        now += 100.0
        selector.on_message(now, third)
        selector.on_confirmed(now, 100.0)
    assert actions == [Leave(third), Join(first)]
    assert now > 5_000.0 + MIN_FAILBACK_DELAY_MS


def test_a_relay_with_a_stale_list_is_left_even_if_it_sends_heartbeats():
    """A relay that is cut off from the origin is not silent: only the age of its list shows the failure."""
    selector = RelaySelector("n1", ["a1"], ["b1"], random.Random(1))
    selector.tick(0.0)
    selector.on_joined(0.0, "a1")
    now = 0.0
    while not (actions := selector.tick(now)):
        now += 100.0
        selector.on_message(now, "a1")
        selector.on_confirmed(now, 50.0 + now)  # the list grows older as time passes
    assert actions == [Leave("a1"), Join("b1")]
    assert now <= STALENESS_LIMIT_MS + SILENCE_TIMEOUT_MS + 200.0


def test_join_attempts_back_off_while_all_relays_are_unreachable():
    selector = RelaySelector("n1", ["a1"], ["b1"], random.Random(1))
    attempts = 0
    now = 0.0
    actions = selector.tick(now)
    while now < 20_000.0:
        attempts += sum(isinstance(action, Join) for action in actions)
        if selector.joining:
            actions = selector.on_lost(now, selector.joining)
        else:
            now += 50.0
            actions = selector.tick(now)
    # Each round has two attempts, one for each relay, and soon there is a round every 1 to 2 s.
    assert 20 <= attempts <= 60


def test_subscribers_of_a_failed_relay_spread_over_the_others():
    relays = [f"r{index}" for index in range(8)]
    orders = [preference_order(f"n{index}", relays, []) for index in range(800)]
    second_choices = Counter(order[1] for order in orders if order[0] == "r0")
    assert second_choices.total() > 60
    assert max(second_choices.values()) < second_choices.total() / 3
