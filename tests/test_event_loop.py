"""The event loop: order of events, isolation of failures, and timers."""

from unittest.mock import Mock

import pytest

from lotusroute.net.event_loop import CoalescedTimer, EventLoop
from lotusroute.net.structured_log import Counters


class Tick:
    """An event without a flow."""


@pytest.fixture
def counters():
    return Counters()


@pytest.fixture
def loop(counters):
    return EventLoop(counters)


def test_events_are_dispatched_in_order_with_those_that_handlers_add_last(loop):
    handled = []

    def handle_text(text):
        handled.append(text)
        if text == "first":
            loop.enqueue(3)

    loop.register({str: handle_text, int: handled.append})
    for event in ("first", "second"):
        loop.enqueue(event)
    loop.run_pending()
    assert handled == ["first", "second", 3] and loop.backlog == 0


@pytest.mark.parametrize("event", [Tick(), "no handler"])
def test_a_failed_event_is_counted_and_reported_and_the_next_one_handled(loop, counters, event):
    handled = []
    loop.on_failure = Mock()
    loop.register({Tick: Mock(side_effect=OSError("closed")), int: handled.append})
    loop.enqueue(event)
    loop.enqueue(7)
    loop.run_pending()
    assert handled == [7] and counters == {"internal_errors": 1}
    loop.on_failure.assert_called_once_with(event, 0)


def test_the_clock_does_not_go_back_when_the_system_time_does(loop, monkeypatch):
    before = loop.clock()
    monkeypatch.setattr("time.time", lambda: 0.0)
    assert loop.clock() >= before


def test_a_coalesced_timer_is_pending_at_most_once_until_its_event_is_acknowledged():
    loop, event = Mock(), Tick()
    timer = CoalescedTimer(loop, 50.0, event)
    timer.schedule()
    timer.schedule()
    loop.call_later.assert_called_once_with(50.0, event)
    timer.acknowledge()
    timer.schedule()
    assert loop.call_later.call_count == 2
