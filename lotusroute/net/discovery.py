"""The client of discovery, which knows the list of servers.

`Discovery` follows the list at one address: it long-polls for changes, one poll after the other, from the
version that it has, and for the complete list where it has none. It backs off when discovery fails, rejects
polls or does not answer. Updates go to `enqueue`; what they mean for flows is decided there. Times are in s
unless a name ends in `_ms`.

One deadline covers all polls: whatever becomes of them, a change counts as received `CHANGE_DEADLINE` after
discovery had it, and a server that drains may be sent to only for its grace from then on. So each poll, its
timeout and each backoff have to fit into what is left of both since the last complete response. With a limit
for each by itself, an unanswered long poll and a rejection after it passed the deadline by up to 4 s.
"""

import contextlib
import json
import random
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from twisted.internet import defer, task
from twisted.internet.base import DelayedCall
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from lotusroute.address import Address
from lotusroute.errors import ProtocolError
from lotusroute.net.discovery_source import UpdateSource
from lotusroute.net.endpoint_list import (
    MALFORMED_LIST_ERRORS,
    EndpointUpdate,
    parse_endpoint_list,
    parse_version,
)
from lotusroute.net.reactor import reactor
from lotusroute.net.structured_log import log_event
from lotusroute.routing import events

CHANGE_DEADLINE = 6.0  # s after which, by the protocol, a change counts as received
LONG_POLL_HOLD_MS = 2_000  # ms for which a long poll is held at most
QUEUE_TIMEOUT = 2.0  # s that polls of many balancers wait in discovery's queue before they fail
REQUEST_TIMEOUT = QUEUE_TIMEOUT + 0.3  # s beyond the hold for a complete response
# s beyond the hold where nothing is queued at discovery: the last response came within half of it.
UNQUEUED_REQUEST_TIMEOUT = 1.0
# s, the same for an agent on this machine, which has the list and answers at once.
MIN_AGENT_REQUEST_TIMEOUT = 0.1
MAX_AGENT_REQUEST_TIMEOUT = 1.0
# s by which a timer fires late when this process was suspended: the timeout says nothing of discovery then.
SUSPENSION_THRESHOLD = 0.05
MIN_BACKOFF = 0.1  # s after a first failure: within the 200 ms that a watch event may take
MAX_BACKOFF = 1.0  # s
MAX_AGENT_BACKOFF = 0.5  # s where an agent has the list: polls cost it nothing
# s left at least for the backoff after a rejection: 200 that are rejected at once are no storm afterwards.
MIN_REJECTION_BACKOFF = 1.2
MIN_BACKOFF_SHARE = 0.2  # of a backoff that is waited at least; the rest is random, so that polls spread
TIMING_MARGIN = 0.15  # s for a busy CPU and the way of a response
DEFAULT_GRACE_MS = 2_000.0
REJECTION_STATUSES = (429, 502, 503, 504)  # they say nothing of the version that was polled for
STATUS_OK = 200
MAX_LOGGED_ERROR = 200  # characters


class PollStage(StrEnum):
    """How far a failed poll had come; the values are in the log."""

    NO_RESPONSE = "no answer"
    PARTIAL_RESPONSE = "an answer in part"
    REJECTED = "a refusal"
    MALFORMED_RESPONSE = "an answer that is no list"


class DiscoveryFailed(NamedTuple):
    """A poll without a list."""

    reached: PollStage
    why: str


class Discovery:
    """Follows the list of servers at one address."""

    def __init__(
        self,
        address: Address,
        seq: int | None,
        seed: int,
        enqueue: Callable[[object], None],
        counters: Counter,
        grace_ms: float = DEFAULT_GRACE_MS,
        discovery_is_local_agent: bool = False,
    ) -> None:
        """`seq` is the version of the list that `enqueue` has already, None where the complete one is needed.

        `grace_ms` is the time from the news of a drain until nothing more may be sent to the server;
        `discovery_is_local_agent` says that an agent on this machine has the list.
        """
        self.base = f"http://{address[0]}:{address[1]}/api/targets"
        self.seq = seq
        self.enqueue = enqueue
        self.counters = counters
        self.rng = random.Random(seed)
        self.discovery_is_local_agent = discovery_is_local_agent
        self.max_hold_ms = LONG_POLL_HOLD_MS
        # From one complete response to the end of the next.
        self.update_interval = CHANGE_DEADLINE + grace_ms / 1000 - TIMING_MARGIN
        # When the list was last known to be current: the last complete response, or the start.
        self.as_of = reactor.seconds()
        # When the list that was passed on was last known to be current; None before the first.
        self.list_current_at: float | None = None
        self._set_timeouts(grace_ms)
        self.pool = HTTPConnectionPool(reactor)
        self.agent = Agent(reactor, connectTimeout=REQUEST_TIMEOUT, pool=self.pool)
        self.unanswered = True  # the last poll was not answered, or there was none: the next is not held
        self.queued = True  # the last response may have waited in a queue, or there was none
        self.stage = PollStage.NO_RESPONSE  # of the poll in flight
        self.backoff = 0.0  # the last one, 0 after a success
        self.rejections = 0  # in a row
        self.pending: defer.Deferred | None = None  # the poll or the backoff in flight
        self.poll_timer: DelayedCall | None = None  # cancels the poll in flight
        self.on_first_response: Callable[[], None] | None = None  # called once, after the first poll
        # Another source, where balancers share updates; asked before each poll.
        self.watch: UpdateSource | None = None
        self.closed = False

    def _set_timeouts(self, grace_ms: float) -> None:
        """Derive the timeouts and the longest backoff from the grace of a drain."""
        if self.discovery_is_local_agent:
            # What the agent learns while we do not hear it counts as received at once: half of the grace to
            # notice that it does not answer, a quarter for the backoff. It has no queue.
            timeout = min(max(MIN_AGENT_REQUEST_TIMEOUT, grace_ms / 2000), MAX_AGENT_REQUEST_TIMEOUT)
            self.request_timeout = timeout
            self.unqueued_request_timeout = timeout
            self.queue_timeout = 0.0
            self.max_backoff = min(MAX_AGENT_BACKOFF, max(MIN_BACKOFF, grace_ms / 4000))
            return
        self.request_timeout = REQUEST_TIMEOUT
        self.unqueued_request_timeout = UNQUEUED_REQUEST_TIMEOUT
        self.queue_timeout = QUEUE_TIMEOUT
        # Discovery may return just after a poll was sent that nobody answers: that poll, this backoff, a
        # rejection and a poll in the queue have to fit.
        left = self.update_interval - REQUEST_TIMEOUT - MIN_REJECTION_BACKOFF - QUEUE_TIMEOUT
        self.max_backoff = min(MAX_BACKOFF, max(MIN_BACKOFF, left))

    def close(self) -> None:
        """Cancel the poll in flight and close the connections: discovery has another address now."""
        self.closed = True
        if self.pending is not None:
            self.pending.cancel()
        if self.watch is not None:
            self.watch.wake()
        self.pool.closeCachedConnections()

    def request_complete_list(self) -> None:
        """Poll for the complete list the next time: an update was not applied."""
        self.seq = None

    async def follow(self) -> None:
        """Poll until closed, or for as long as the balancer runs."""
        while not self.closed:
            if self.watch is not None:
                await self.watch.wait_until_poll_due(self)
                if self.closed:
                    return
                self.as_of = max(self.as_of, reactor.seconds() - self.watch.age())
            result = await self._poll_and_note_silence()
            if self.closed:
                # A late response of the old address must not follow updates from the new one.
                return
            self._report_first_response()
            if isinstance(result, EndpointUpdate):
                self.backoff = 0.0
                self.rejections = 0
                self._put_update(result)
            else:
                await self._back_off(result)

    async def _poll_and_note_silence(self) -> EndpointUpdate | DiscoveryFailed:
        started = reactor.seconds()
        was_unanswered = self.unanswered
        result = await self._poll()
        self.unanswered = isinstance(result, DiscoveryFailed) and result.reached in (
            PollStage.NO_RESPONSE,
            PollStage.PARTIAL_RESPONSE,
        )
        if was_unanswered and self.unanswered:
            # Twice in a row: discovery is down, and changes count from its return on.
            self.as_of = max(self.as_of, started)
        return result

    def _put_update(self, update: EndpointUpdate) -> None:
        previous_list_at = self.list_current_at
        self.list_current_at = reactor.seconds()
        if update.servers or update.scope == events.ListScope.COMPLETE:
            self.enqueue(update._replace(previous_list_at=previous_list_at))

    def _report_first_response(self) -> None:
        """Call `on_first_response`, once: an update has come, or a poll has failed."""
        callback = self.on_first_response
        self.on_first_response = None
        if callback is not None:
            callback()

    async def _back_off(self, failure: DiscoveryFailed) -> None:
        """Wait after a failed poll; only the first failure in a row is logged."""
        self.counters["discovery_failures"] += 1
        if self.watch is not None:
            self.watch.on_failure()
        if not self.backoff:
            log_event("discovery failed", reached=failure.reached, reason=failure.why)
        if failure.reached == PollStage.REJECTED:
            self.rejections += 1
            self.backoff = self._rejection_backoff(first=self.rejections == 1)
        else:
            self.backoff = min(max(MIN_BACKOFF, 2 * self.backoff), self.max_backoff)
        self.pending = task.deferLater(reactor, self.backoff * self.rng.uniform(MIN_BACKOFF_SHARE, 1.0))
        with contextlib.suppress(defer.CancelledError):
            await self.pending

    def remaining(self) -> float:
        """Return the s left until the next complete response has to be in."""
        return self.as_of + self.update_interval - reactor.seconds()

    def _rejection_backoff(self, first: bool) -> float:
        """Return the longest backoff after a rejection, in s.

        A rejection costs discovery too, and those of 40 balancers each second kept it busy: where there is
        time it is used, and the poll after the backoff has to wait in the queue within what is left.
        """
        if self.discovery_is_local_agent:
            return self.max_backoff
        left = self.remaining()
        interval = self.update_interval - self.queue_timeout
        if left - self.queue_timeout >= MIN_REJECTION_BACKOFF or (first and left > 0):
            return max(min(interval / 2, left - self.queue_timeout), min(MIN_REJECTION_BACKOFF, left))
        return interval  # late whatever happens, and more polls only mean fewer that are answered

    async def _poll(self) -> EndpointUpdate | DiscoveryFailed:
        """Poll once; every failure comes back as a value."""
        started = reactor.seconds()
        timeout = self.request_timeout if self.queued or self.unanswered else self.unqueued_request_timeout
        hold = self._hold_time(timeout)
        timeout += hold
        self.stage = PollStage.NO_RESPONSE
        self.counters["discovery_requests"] += 1
        self._start_timer(timeout, max(TIMING_MARGIN, self.remaining() - timeout - self.request_timeout))
        try:
            status, body = await self._request(hold)
            return self._handle_response(status, body, started, hold, timeout)
        except MALFORMED_LIST_ERRORS as error:
            self.seq = None
            return DiscoveryFailed(self.stage, f"{type(error).__name__}: {error}")
        except Exception as error:  # the HTTP client raises dozens of types, and none may end the following
            return DiscoveryFailed(self.stage, f"{type(error).__name__}: {error}"[:MAX_LOGGED_ERROR])
        finally:
            self._stop_timer()

    def _hold_time(self, timeout: float) -> float:
        """Return for how many s discovery is asked to hold a poll that has nothing to report.

        After silence the poll is not held: a held one does not show whether discovery is back, and what it
        learnt meanwhile counts as received. Else there has to be time for what may follow: the timeout of
        this poll, a rejection of the next, the queue. No time is kept for the rejection where polls are
        queued: shorter holds were more polls, and the queue stayed for good.
        """
        if self.seq is None or self.unanswered:
            return 0.0
        left = self.remaining() - timeout - MIN_BACKOFF - self.queue_timeout
        if not (self.discovery_is_local_agent or self.queued):
            left -= MIN_REJECTION_BACKOFF
        return max(0.0, min(self.max_hold_ms / 1000, left))

    async def _request(self, hold: float) -> tuple[int, bytes]:
        """Send a poll and return the status and the body; `stage` follows."""
        url = self.base
        if self.seq is not None:
            url = f"{url}?from={self.seq}&hold_ms={int(1000 * hold)}"
        self.pending = self.agent.request(b"GET", url.encode())
        response = await self.pending
        self.stage = PollStage.PARTIAL_RESPONSE
        # The same timeout covers the body: a response that stays partial is none.
        self.pending = readBody(response)
        body = await self.pending
        self.stage = PollStage.MALFORMED_RESPONSE
        return response.code, body

    def _handle_response(
        self, status: int, body: bytes, started: float, hold: float, timeout: float
    ) -> EndpointUpdate | DiscoveryFailed:
        """Decode a response and note when it came; raises where it is no list that follows ours."""
        if status in REJECTION_STATUSES:
            # The version stays: 40 whose long poll was rejected polled for the complete list instead, and
            # none of them got a list all day.
            return DiscoveryFailed(PollStage.REJECTED, f"status {status}")
        if status != STATUS_OK:
            raise ProtocolError(f"status {status}")
        message = json.loads(body)
        since = self.seq
        update = self._decode(message)
        now = reactor.seconds()
        # Read late by us, it may be as old as a response can be.
        self.as_of = min(now, started + timeout)
        hold_used = 0.0 if update.servers else hold
        self.queued = now - started - hold_used > self.unqueued_request_timeout / 2
        if self.watch is not None:
            self.watch.on_response(message, since)
        return update

    def _start_timer(self, seconds: float, extra: float) -> None:
        """Cancel the poll in flight after so many seconds.

        Where this process was suspended meanwhile, the response may lie unread: then the poll has `extra`
        seconds more, one request timeout at a time.
        """
        deadline = reactor.seconds() + seconds

        def expire() -> None:
            if reactor.seconds() > deadline + SUSPENSION_THRESHOLD and extra > 0:
                self._start_timer(min(self.request_timeout, extra), extra - self.request_timeout)
            elif self.pending is not None:
                self.pending.cancel()

        self.poll_timer = reactor.callLater(seconds, expire)

    def _stop_timer(self) -> None:
        if self.poll_timer is not None and self.poll_timer.active():
            self.poll_timer.cancel()

    def _decode(self, message: dict) -> EndpointUpdate:
        """Decode a list and take its version; raises where it is no list or does not follow ours."""
        scope = events.ListScope.COMPLETE if message["whole"] else events.ListScope.CHANGES
        update = parse_endpoint_list(message, scope, self.counters)
        seq = parse_version(message["seq"])
        if scope == events.ListScope.CHANGES and (self.seq is None or seq < self.seq):
            raise ProtocolError(f"changes up to {seq} of a list held at {self.seq}")
        self.seq = seq
        return update

    def apply_shared_update(self, message: dict, since: int | None) -> bool:
        """Apply a list that another balancer received from the same discovery, checked like discovery's own.

        Returns False where it is malformed, older than ours, or changes to another version than ours: then
        this balancer polls by itself.
        """
        try:
            if self.closed or not self._follows(message, since):
                return False
            update = self._decode(message)
        except MALFORMED_LIST_ERRORS:
            return False
        self._put_update(update)
        self._report_first_response()
        return True

    def _follows(self, message: dict, since: int | None) -> bool:
        """Whether a list is not older than ours and, if it is changes, changes to our version."""
        if self.seq is not None and parse_version(message["seq"]) < self.seq:
            return False
        return bool(message["whole"]) or since == self.seq
