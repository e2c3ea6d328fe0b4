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
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from lotusroute.monotonic_clock import MS_PER_SECOND
from lotusroute.timing.round_trip_time import RoundTripTime

# By the protocol, a change counts as received this long after discovery has it.
MAX_UPDATE_DELAY_S = 6.0
# What a new discovery has to tell counts as received this long after the reload that names its address.
MAX_UPDATE_DELAY_AFTER_RELOAD_S = 4.0
LONG_POLL_HOLD_MS = 2_000  # longest time for which discovery holds a poll while there are no changes
# The grace that a client without service settings, such as a relay, assumes.
ASSUMED_DRAIN_GRACE_MS = 2_000.0
TIMING_MARGIN_S = 0.15  # allowance for a busy CPU and for network latency
# Longest time that a poll waits in discovery's queue, behind the polls of other balancers, before it fails.
QUEUE_TIMEOUT_S = 2.0
# Timeout of a complete response, which is added to the hold. The shorter one applies if discovery queues no
# polls: if the last response came within half of it after the hold.
REQUEST_TIMEOUT_S = QUEUE_TIMEOUT_S + 0.3
UNQUEUED_REQUEST_TIMEOUT_S = 1.0
# Bounds of the timeout of an agent on this machine, which has the list and responds at once.
MIN_AGENT_REQUEST_TIMEOUT_S = 0.1
MAX_AGENT_REQUEST_TIMEOUT_S = 1.0
# Longest backoff after a first failure. It must be shorter than the 200 ms that a watch event may take.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
MAX_AGENT_BACKOFF_S = 0.5  # shorter than for a remote discovery, because polls cost an agent almost nothing
# Time reserved for the backoff after a rejection. It is long enough to spread the retries of 200 balancers
# whose polls are rejected at the same time, so that these do not arrive as another storm.
MIN_REJECTION_BACKOFF_S = 1.2
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


@dataclass(frozen=True, slots=True)
class PollLimits:
    """Time limits of polls and backoffs."""

    discovery_is_local_agent: bool
    update_interval: float  # longest time from one complete response to the end of the next
    request_timeout: float  # timeout of a complete response, which is added to the hold
    unqueued_request_timeout: float  # the request timeout if discovery queues no polls
    max_request_timeout: float  # the longest request timeout that measured times may lead to
    queue_timeout: float
    max_backoff: float

    @classmethod
    def for_remote_discovery(cls, drain_grace_ms: float) -> "PollLimits":
        """Return the limits for a discovery that serves many balancers.

        In the worst case, discovery comes back up just after a poll was sent that is never answered. The
        timeout of that poll, the backoff after it, a rejection and a queued poll have to fit into the
        interval.
        """
        update_interval = _update_interval(drain_grace_ms)
        left = update_interval - REQUEST_TIMEOUT_S - MIN_REJECTION_BACKOFF_S - QUEUE_TIMEOUT_S
        return cls(
            discovery_is_local_agent=False,
            update_interval=update_interval,
            request_timeout=REQUEST_TIMEOUT_S,
            unqueued_request_timeout=UNQUEUED_REQUEST_TIMEOUT_S,
            max_request_timeout=REQUEST_TIMEOUT_S,
            queue_timeout=QUEUE_TIMEOUT_S,
            max_backoff=min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, left)),
        )

    @classmethod
    def for_local_agent(cls, drain_grace_ms: float) -> "PollLimits":
        """Return the limits for an agent on this machine.

        A change counts as received as soon as the agent has it, even if the agent cannot be reached. Half of
        the grace is for the timeout that detects an unresponsive agent, a quarter for the backoff. An agent
        has no queue.
        """
        grace = drain_grace_ms / MS_PER_SECOND
        timeout = min(max(MIN_AGENT_REQUEST_TIMEOUT_S, grace / 2), MAX_AGENT_REQUEST_TIMEOUT_S)
        return cls(
            discovery_is_local_agent=True,
            update_interval=_update_interval(drain_grace_ms),
            request_timeout=timeout,
            unqueued_request_timeout=timeout,
            max_request_timeout=MAX_AGENT_REQUEST_TIMEOUT_S,
            queue_timeout=0.0,
            max_backoff=min(MAX_AGENT_BACKOFF_S, max(MIN_BACKOFF_S, grace / 4)),
        )


def _update_interval(drain_grace_ms: float) -> float:
    return MAX_UPDATE_DELAY_S + drain_grace_ms / MS_PER_SECOND - TIMING_MARGIN_S


class PollTiming(NamedTuple):
    """The times of one poll."""

    started_at: float
    hold: float  # how long discovery may hold the poll while there are no changes
    timeout: (
        float  # longest time until the complete response, including the hold, before the next poll is sent
    )
    body_timeout: float  # longest time from the first part of the response to its end, as part of the timeout
    lifetime: float  # longest time until the complete response for which it is of use
    suspension_extension: float  # longest extension of the timeout if this process was suspended meanwhile


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
            return self._rejection_backoff(now, first=self._rejections == 1)
        self._backoff = min(max(MIN_BACKOFF_S, 2 * self._backoff), self._limits.max_backoff)
        return self._draw_backoff(MIN_BACKOFF_FRACTION)

    def _rejection_backoff(self, now: float, first: bool) -> float:
        """Return how long to wait after a rejection.

        Rejecting a poll costs discovery work too: the rejections of 40 balancers that retry every second keep
        it busy. So the backoff uses the time that is left, less what the next poll may wait in the queue. A
        poll is sent before no more than the wait in the queue is left, whatever happened to earlier ones.
        """
        limits = self._limits
        if limits.discovery_is_local_agent:
            self._backoff = limits.max_backoff
            return self._draw_backoff(MIN_BACKOFF_FRACTION)
        left = self.remaining(now)
        before_queue = left - limits.queue_timeout
        interval = limits.update_interval - limits.queue_timeout
        if before_queue >= MIN_REJECTION_BACKOFF_S:
            self._backoff = max(MIN_REJECTION_BACKOFF_S, min(interval / 2, before_queue))
        elif before_queue >= MIN_LAST_BACKOFF_S:
            self._backoff = before_queue
            return self._draw_backoff(MIN_LAST_BACKOFF_FRACTION)
        elif left >= MIN_REJECTION_BACKOFF_S or (first and left > 0):
            # The response is late only if it waits in the queue for as long as discovery allows.
            self._backoff = min(MIN_REJECTION_BACKOFF_S, left) if first else left
        else:
            # The response is late in any case, and the more polls are sent, the fewer discovery can answer.
            self._backoff = interval
        return self._draw_backoff(MIN_BACKOFF_FRACTION)

    def _draw_backoff(self, fixed_fraction: float) -> float:
        return self._backoff * self._rng.uniform(fixed_fraction, 1.0)
