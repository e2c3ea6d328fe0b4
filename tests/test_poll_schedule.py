"""The times of polls and backoffs, without sockets: how much of the deadline a poll leaves for the next."""

import heapq
import random
from collections import Counter

import pytest

from lotusroute.timing.poll_limits import (
    MAX_AGENT_BACKOFF_S,
    MAX_BACKOFF_S,
    MAX_UPDATE_DELAY_AFTER_RELOAD_S,
    MAX_UPDATE_DELAY_S,
    MIN_BACKOFF_S,
    MIN_REJECTION_BACKOFF_S,
    QUEUE_TIMEOUT_S,
    REQUEST_TIMEOUT_S,
    TIMING_MARGIN_S,
    UNQUEUED_REQUEST_TIMEOUT_S,
    PollLimits,
)
from lotusroute.timing.poll_schedule import (
    MIN_BACKOFF_FRACTION,
    MIN_LAST_BACKOFF_FRACTION,
    PollSchedule,
    PollStage,
)

GRACE_MS = 500.0
MAX_HOLD_S = 2.0
START_S = 100.0


class LongestBackoffs(random.Random):
    """A random number generator with which every backoff has its maximum length."""

    def uniform(self, low, high):
        assert low in (MIN_BACKOFF_FRACTION, MIN_LAST_BACKOFF_FRACTION) and high == 1.0
        return high


def new_schedule(limits, rng=None):
    return PollSchedule(limits, rng or LongestBackoffs(), START_S)


@pytest.fixture
def remote():
    return new_schedule(PollLimits.for_remote_discovery(GRACE_MS))


@pytest.fixture
def agent():
    return new_schedule(PollLimits.for_local_agent(GRACE_MS))


def poll_successfully(schedule, now, duration=0.01, has_changes=True):
    """Record a poll that succeeds after `duration` seconds; return its times."""
    timing = schedule.next_poll(now, True, MAX_HOLD_S)
    schedule.response_received(now + duration, timing, has_changes)
    schedule.poll_succeeded()
    return timing


def fail_poll(schedule, now, stage):
    """Record a poll that is rejected at once or fails after its timeout; return when the next is due."""
    timing = schedule.next_poll(now, True, MAX_HOLD_S)
    schedule.poll_failed(timing, stage)
    failed_at = now if stage == PollStage.REJECTED else now + timing.timeout
    return failed_at + schedule.next_backoff(failed_at, stage)


def test_the_remaining_time_counts_from_the_last_complete_response(remote):
    interval = MAX_UPDATE_DELAY_S + GRACE_MS / 1_000 - TIMING_MARGIN_S
    assert remote.remaining(START_S) == pytest.approx(interval)
    poll_successfully(remote, START_S + 3.0)
    assert remote.remaining(START_S + 4.0) == pytest.approx(interval - 1.0 + 0.01)


def test_a_current_list_from_another_source_extends_the_remaining_time_and_an_older_one_does_not(remote):
    before = remote.remaining(START_S)
    remote.note_list_current_at(START_S - 5.0)
    assert remote.remaining(START_S) == before
    remote.note_list_current_at(START_S + 1.0)
    assert remote.remaining(START_S) == before + 1.0


def test_the_first_poll_and_one_for_the_complete_list_are_not_held(remote):
    assert remote.next_poll(START_S, True, MAX_HOLD_S).hold == 0.0
    poll_successfully(remote, START_S)
    assert remote.next_poll(START_S, False, MAX_HOLD_S).hold == 0.0
    assert remote.next_poll(START_S, True, MAX_HOLD_S).hold > 0.0


def test_a_poll_after_a_prompt_response_has_a_shorter_timeout_than_one_that_may_be_queued(remote):
    assert remote.next_poll(START_S, True, MAX_HOLD_S).timeout == REQUEST_TIMEOUT_S
    poll_successfully(remote, START_S)
    timing = remote.next_poll(START_S, True, MAX_HOLD_S)
    assert timing.timeout - timing.hold == pytest.approx(UNQUEUED_REQUEST_TIMEOUT_S)
    poll_successfully(remote, START_S, duration=UNQUEUED_REQUEST_TIMEOUT_S)
    timing = remote.next_poll(START_S, True, MAX_HOLD_S)
    assert timing.timeout - timing.hold == pytest.approx(REQUEST_TIMEOUT_S)


def test_a_response_without_changes_after_the_whole_hold_was_not_queued(remote):
    poll_successfully(remote, START_S)
    hold = remote.next_poll(START_S, True, MAX_HOLD_S).hold
    poll_successfully(remote, START_S, duration=hold + 0.01, has_changes=False)
    timing = remote.next_poll(START_S, True, MAX_HOLD_S)
    assert timing.timeout - timing.hold == pytest.approx(UNQUEUED_REQUEST_TIMEOUT_S)


@pytest.mark.parametrize("grace_ms", [0.0, 500.0, 2_000.0, 9_000.0])
def test_a_hold_leaves_time_for_a_timeout_a_rejection_and_the_queue(grace_ms):
    schedule = new_schedule(PollLimits.for_remote_discovery(grace_ms))
    poll_successfully(schedule, START_S)
    timing = schedule.next_poll(START_S, True, MAX_HOLD_S)
    rest = schedule.remaining(START_S) - timing.timeout - MIN_BACKOFF_S - MIN_REJECTION_BACKOFF_S
    assert rest >= QUEUE_TIMEOUT_S - 1e-9 or timing.hold == 0.0
    assert 0.0 <= timing.hold <= MAX_HOLD_S


def test_a_response_that_is_read_after_its_timeout_is_as_old_as_the_timeout_allows(remote):
    timing = remote.next_poll(START_S, True, MAX_HOLD_S)
    remote.response_received(START_S + 60.0, timing, has_changes=True)
    fresh = MAX_UPDATE_DELAY_S + GRACE_MS / 1_000 - TIMING_MARGIN_S
    assert remote.remaining(START_S + timing.timeout) == pytest.approx(fresh)


@pytest.mark.parametrize("stage", [PollStage.NO_RESPONSE, PollStage.PARTIAL_RESPONSE])
def test_two_unanswered_polls_in_a_row_restart_the_deadline_and_one_does_not(remote, stage):
    poll_successfully(remote, START_S)
    before = remote.remaining(START_S)
    second = fail_poll(remote, START_S, stage)
    assert remote.remaining(START_S) == before
    fail_poll(remote, second, stage)
    assert remote.remaining(second) == pytest.approx(before - 0.01)


@pytest.mark.parametrize("stage", [PollStage.REJECTED, PollStage.MALFORMED_RESPONSE])
def test_a_poll_that_was_answered_without_a_list_does_not_restart_the_deadline(remote, stage):
    poll_successfully(remote, START_S)
    before = remote.remaining(START_S)
    fail_poll(remote, START_S, stage)
    fail_poll(remote, START_S, stage)
    assert remote.remaining(START_S) == before


@pytest.mark.parametrize(
    ("limits", "longest"),
    [
        (PollLimits.for_remote_discovery(2_000.0), MAX_BACKOFF_S),
        (PollLimits.for_local_agent(GRACE_MS), GRACE_MS / 4_000),
        (PollLimits.for_local_agent(60_000.0), MAX_AGENT_BACKOFF_S),
        (PollLimits.for_local_agent(0.0), MIN_BACKOFF_S),
    ],
)
def test_backoffs_double_up_to_their_limit_and_start_at_the_minimum_after_a_success(limits, longest):
    schedule = new_schedule(limits)
    backoffs = [schedule.next_backoff(START_S, PollStage.NO_RESPONSE) for _ in range(6)]
    assert backoffs == [min(MIN_BACKOFF_S * 2**index, longest) for index in range(6)]
    assert schedule.is_backing_off
    poll_successfully(schedule, START_S)
    assert not schedule.is_backing_off
    assert schedule.next_backoff(START_S, PollStage.NO_RESPONSE) == MIN_BACKOFF_S


def test_a_backoff_is_random_beyond_its_fixed_fraction():
    limits = PollLimits.for_remote_discovery(GRACE_MS)
    schedules = [new_schedule(limits, random.Random(seed)) for seed in range(200)]
    backoffs = [schedule.next_backoff(START_S, PollStage.NO_RESPONSE) for schedule in schedules]
    assert MIN_BACKOFF_FRACTION * MIN_BACKOFF_S <= min(backoffs) < max(backoffs) <= MIN_BACKOFF_S
    assert max(backoffs) - min(backoffs) > 0.7 * MIN_BACKOFF_S


def test_a_rejection_and_a_queue_after_an_unanswered_poll_fit_into_the_deadline(remote):
    poll_successfully(remote, START_S)
    first_retry = fail_poll(remote, START_S, PollStage.NO_RESPONSE)
    second_retry = fail_poll(remote, first_retry, PollStage.REJECTED)
    assert remote.remaining(second_retry) >= QUEUE_TIMEOUT_S - 0.01


def test_a_rejection_by_an_agent_has_the_maximum_backoff_and_its_holds_leave_no_time_for_a_queue(agent):
    assert agent.next_backoff(START_S, PollStage.REJECTED) == GRACE_MS / 4_000
    poll_successfully(agent, START_S)
    assert agent.next_poll(START_S, True, MAX_HOLD_S).hold == MAX_HOLD_S


def test_rejections_without_time_left_have_a_backoff_of_a_whole_interval(remote):
    late = START_S + remote.remaining(START_S) + 1.0
    interval = MAX_UPDATE_DELAY_S + GRACE_MS / 1_000 - TIMING_MARGIN_S - QUEUE_TIMEOUT_S
    assert remote.next_backoff(late, PollStage.REJECTED) == pytest.approx(interval)
    assert remote.next_backoff(late, PollStage.REJECTED) == pytest.approx(interval)


CLIENT_COUNT = 200  # balancers whose discovery is moved by the same reload
WAIT_S = 1.8  # how long each poll of a crowded discovery waits that is not rejected


class CrowdedDiscovery:
    """A discovery in virtual time that many clients poll at once: it rejects polls, then each one waits."""

    def __init__(self, grace_ms, rejecting_until):
        limits = PollLimits.for_remote_discovery(grace_ms)
        self.rejecting_until = rejecting_until
        self.poll_times = []
        self.list_times = []  # when clients received their list
        self.schedules = [
            PollSchedule(limits, random.Random(seed), 0.0, MAX_UPDATE_DELAY_AFTER_RELOAD_S)
            for seed in range(CLIENT_COUNT)
        ]

    def run(self):
        due = [(0.0, client) for client in range(CLIENT_COUNT)]
        while due:
            now, client = heapq.heappop(due)
            schedule = self.schedules[client]
            self.poll_times.append(now)
            timing = schedule.next_poll(now, False, MAX_HOLD_S)
            if now >= self.rejecting_until:
                self.list_times.append(now + WAIT_S)
                continue
            schedule.poll_failed(timing, PollStage.REJECTED)
            backoff = schedule.next_backoff(now, PollStage.REJECTED)
            heapq.heappush(due, (now + backoff, client))


@pytest.mark.parametrize("grace_ms", [500.0, 2_000.0])
@pytest.mark.parametrize("rejecting_until", [0.1, 0.5, 1.0, 1.5, 1.9])
def test_after_a_reload_all_balancers_have_the_list_of_a_crowded_discovery_in_time(rejecting_until, grace_ms):
    discovery = CrowdedDiscovery(grace_ms, rejecting_until)
    discovery.run()
    assert len(discovery.list_times) == CLIENT_COUNT
    assert max(discovery.list_times) <= MAX_UPDATE_DELAY_AFTER_RELOAD_S + grace_ms / 1_000
    # All poll at the reload; later no second has as many polls from all of them again.
    polls = Counter(int(time / 0.5) for time in discovery.poll_times if time > 0.0)
    assert max(polls.values()) < CLIENT_COUNT


@pytest.mark.parametrize("seed", range(50))
@pytest.mark.parametrize("grace_ms", [500.0, 2_000.0])
def test_the_poll_after_three_rejections_in_a_row_is_sent_before_the_response_is_due(grace_ms, seed):
    schedule = new_schedule(PollLimits.for_remote_discovery(grace_ms), random.Random(seed))
    poll_successfully(schedule, START_S)
    now = START_S
    for _ in range(3):
        now = fail_poll(schedule, now, PollStage.REJECTED)
    assert schedule.remaining(now) > 0.0


@pytest.mark.parametrize("already_late", [0.0, 60.0])
def test_the_timeout_is_extended_after_a_suspension_by_the_rest_of_the_deadline(remote, already_late):
    poll_successfully(remote, START_S)
    now = START_S + already_late
    timing = remote.next_poll(now, True, MAX_HOLD_S)
    rest = remote.remaining(now) - timing.timeout - REQUEST_TIMEOUT_S
    assert timing.suspension_extension == pytest.approx(max(TIMING_MARGIN_S, rest))
