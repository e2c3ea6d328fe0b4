"""When a discovery client polls, how long each poll may take, and how long the client waits after a failure.

One deadline covers all polls. By the protocol, a change counts as received `MAX_UPDATE_DELAY_S` after
discovery has it, whether polls succeed or not. From then on, a draining server may be sent to only for its
grace. So all polls, with their timeouts and backoffs, have to fit into the sum of both times, counted from
the last complete response. A separate limit for each poll and each backoff would not be enough: an unanswered
long poll and a rejection after it would exceed the deadline by up to 4 s.

Nothing here does I/O or reads a clock: the caller passes the time. All times are seconds of the monotonic
clock unless a name ends in `_ms`.
"""

import random
from enum import StrEnum
from typing import NamedTuple

from lotusroute.timing.poll_limits import (
    MAX_UPDATE_DELAY_S,
    MIN_BACKOFF_S,
    MIN_REJECTION_BACKOFF_S,
    TIMING_MARGIN_S,
    PollLimits,
)
from lotusroute.timing.round_trip_time import RoundTripTime

# The fixed part of a backoff; the rest is random, so that the polls of many balancers spread.
MIN_BACKOFF_FRACTION = 0.2
# The fixed part of the last backoff after which a poll may still wait in the queue, and the shortest time
# that is left for such a backoff.
MIN_LAST_BACKOFF_FRACTION = 0.5
MIN_LAST_BACKOFF_S = 0.3


class PollStage(StrEnum):
    """How far a failed poll got; the values are logged."""

    NO_RESPONSE = "no response"
    PARTIAL_RESPONSE = "partial response"
    REJECTED = "rejected"
    MALFORMED_RESPONSE = "malformed response"


# A response of which only a part arrives counts as none: the same timeout covers the headers and the body.
UNANSWERED_STAGES = frozenset((PollStage.NO_RESPONSE, PollStage.PARTIAL_RESPONSE))


class PollTiming(NamedTuple):
    """The times of one poll."""

    started_at: float
    hold: float  # how long discovery may hold the poll while there are no changes
    timeout: float  # time until the complete response, including the hold, after which the next poll is sent
    body_timeout: float  # longest time from the first part of the response to its end, as part of the timeout
    lifetime: float  # longest time until the complete response for which it is of use
    suspension_extension: float  # longest extension of the timeout if this process was suspended meanwhile


class Backoff(NamedTuple):
    """How long to wait after a failed poll."""

    longest: float
    fixed_fraction: float = MIN_BACKOFF_FRACTION  # the part of it that is not random


class PollSchedule:
    """Computes the times of polls and backoffs from the results of earlier polls."""

    def __init__(
        self,
        limits: PollLimits,
        rng: random.Random,
        now: float,
        first_update_delay: float = MAX_UPDATE_DELAY_S,
    ) -> None:
        """The changes that discovery has now count as received after `first_update_delay`."""
        self._limits = limits
        self._rng = rng
        # When the next complete response is due.
        self._response_due_at = now + limits.update_interval - (MAX_UPDATE_DELAY_S - first_update_delay)
        self._unanswered = True  # the last poll was not answered, or there was none
        self._queued = True  # the last response may have waited in discovery's queue, or there was none
        self._backoff = 0.0  # upper bound of the last backoff; 0 after a success
        self._rejections = 0  # number of rejections since the last success
        self._response_time = RoundTripTime()  # of polls, without the time for which they were held

    @property
    def is_backing_off(self) -> bool:
        """Whether a backoff was computed since the last success."""
        return self._backoff > 0

    def remaining(self, now: float) -> float:
        """Return how much time is left until the next complete response is due."""
        return self._response_due_at - now

    def note_list_current_at(self, time: float) -> None:
        """Record that the list, from whatever source, was known to be current at `time`."""
        self._response_due_at = max(self._response_due_at, time + self._limits.update_interval)

    def next_poll(self, now: float, has_version: bool, max_hold: float) -> PollTiming:
        """Return the times of a poll sent now, for the complete list unless `has_version`."""
        limits = self._limits
        request_timeout = self._request_timeout()
        hold = self._hold_time(now, request_timeout, max_hold) if has_version else 0.0
        timeout = request_timeout + hold
        extension = self.remaining(now) - timeout - limits.request_timeout
        lifetime = max(timeout, hold + limits.update_interval)
        return PollTiming(
            started_at=now,
            hold=hold,
            timeout=timeout,
            body_timeout=limits.unqueued_request_timeout,
            lifetime=lifetime,
            suspension_extension=max(TIMING_MARGIN_S, extension),
        )

    def _request_timeout(self) -> float:
        """Return after how long without a response, beyond the hold, the next poll is sent.

        It grows with the measured times of responses, so that a slow discovery is not sent every poll twice.
        It shrinks again so far that the response to a poll which is sent after the timeout is still in time.
        """
        limits = self._limits
        may_be_queued = self._queued or self._unanswered
        shortest = limits.request_timeout if may_be_queued else limits.unqueued_request_timeout
        timeout = min(max(shortest, self._response_time.timeout), max(shortest, limits.max_request_timeout))
        next_response_time = (self._response_time.smoothed or 0.0) + 2 * MIN_BACKOFF_S
        longest = max(limits.unqueued_request_timeout, limits.update_interval - next_response_time)
        return min(timeout, longest)

    def _hold_time(self, now: float, request_timeout: float, max_hold: float) -> float:
        """Return how long discovery may hold a poll.

        A poll after an unanswered one is not held: a held poll does not show whether discovery is back, and
        the changes that discovery gets in the meantime count as received. Otherwise the hold leaves time for
        what may follow: the timeout of this poll, a rejection of the next one and the queue. If polls are
        queued, no time is reserved for the rejection: shorter holds mean more polls, and the queue would
        never empty.
        """
        if self._unanswered:
            return 0.0
        left = self.remaining(now) - request_timeout - MIN_BACKOFF_S - self._limits.queue_timeout
        if not (self._limits.discovery_is_local_agent or self._queued):
            left -= MIN_REJECTION_BACKOFF_S
        return max(0.0, min(max_hold, left))

    def response_received(self, now: float, poll: PollTiming, has_changes: bool) -> None:
        """Record a complete response.

        If this process read it late, the list counts as current until the poll's timeout only, not until now.
        """
        self._response_due_at = min(now, poll.started_at + poll.timeout) + self._limits.update_interval
        hold_used = 0.0 if has_changes else poll.hold
        waited = now - poll.started_at - hold_used
        self._queued = waited > self._limits.unqueued_request_timeout / 2
        self._measure_response_time(min(now, poll.started_at + poll.timeout), poll)

    def late_response_received(self, now: float, poll: PollTiming, has_changes: bool) -> None:
        """Record a complete response that brought a list after the poll's timeout.

        The list is as old as the poll, or as the end of its hold if there were no changes until then.
        """
        self.note_list_current_at(poll.started_at + (0.0 if has_changes else poll.hold))
        self._queued = True
        self._measure_response_time(now, poll)
        self.poll_succeeded()

    def _measure_response_time(self, now: float, poll: PollTiming) -> None:
        """Measure how long a response took, unless it is unknown how long the poll was held."""
        duration = now - poll.started_at - poll.hold
        if duration >= 0:
            self._response_time.measured(duration)

    def poll_succeeded(self) -> None:
        """Record a poll that brought a list."""
        self._unanswered = False
        self._backoff = 0.0
        self._rejections = 0

    def poll_failed(self, poll: PollTiming, stage: PollStage) -> None:
        """Record a failed poll."""
        was_unanswered = self._unanswered
        self._unanswered = stage in UNANSWERED_STAGES
        if was_unanswered and self._unanswered:
            # Two unanswered polls in a row show that discovery is down. The delay of its changes then counts
            # from the time when it is back.
            self.note_list_current_at(poll.started_at)

    def next_backoff(self, now: float, stage: PollStage) -> float:
        """Return how long to wait after a failed poll; the upper bound grows with each failure."""
        if stage == PollStage.REJECTED:
            self._rejections += 1
            backoff = self._rejection_backoff(now, first=self._rejections == 1)
        else:
            backoff = Backoff(min(max(MIN_BACKOFF_S, 2 * self._backoff), self._limits.max_backoff))
        self._backoff = backoff.longest
        return backoff.longest * self._rng.uniform(backoff.fixed_fraction, 1.0)

    def _rejection_backoff(self, now: float, first: bool) -> Backoff:
        """Return the backoff after a rejection.

        Rejecting a poll costs discovery work too: the rejections of 40 balancers that retry every second keep
        it busy. So the backoff uses the time that is left, less what the next poll may wait in the queue. A
        poll is sent before no more than the wait in the queue is left, whatever happened to earlier ones.
        """
        limits = self._limits
        if limits.discovery_is_local_agent:
            return Backoff(limits.max_backoff)
        left = self.remaining(now)
        before_queue = left - limits.queue_timeout
        interval = limits.update_interval - limits.queue_timeout
        if before_queue >= MIN_REJECTION_BACKOFF_S:
            return Backoff(max(MIN_REJECTION_BACKOFF_S, min(interval / 2, before_queue)))
        if before_queue >= MIN_LAST_BACKOFF_S:
            return Backoff(before_queue, MIN_LAST_BACKOFF_FRACTION)
        if first and left > 0:
            return Backoff(min(MIN_REJECTION_BACKOFF_S, left))
        if left >= MIN_REJECTION_BACKOFF_S:
            # The response is late only if it waits in the queue for as long as discovery allows.
            return Backoff(left)
        # The response is late in any case, and the more polls are sent, the fewer discovery can answer.
        return Backoff(interval)
