"""HTTP requests to discovery. Times are seconds.

A request whose timeout has passed is late, but its response is still taken: discovery may be slow, and what
it has decided to send may be what the next request waits for as long. A late request ends with its response,
with the response to a younger one, or at the end of its lifetime.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, TypeVar

from twisted.internet import defer
from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool

from lotusroute.net.discovery.response_body import read_body
from lotusroute.net.errors import PollTimedOutError
from lotusroute.net.reactor import reactor
from lotusroute.timing.arrival_times import SUSPENSION_THRESHOLD_S
from lotusroute.timing.poll_limits import REQUEST_TIMEOUT_S
from lotusroute.timing.poll_schedule import PollStage, PollTiming

Result = TypeVar("Result")

# Longest time from the start of a late request to that of the next one that is kept. Those between them are
# cancelled, so the number of connections to a silent discovery is limited.
LATE_REQUEST_INTERVAL_S = 1.0


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    body: bytes


class DiscoveryRequest:
    """One request, from its sending to its response or its cancellation."""

    def __init__(
        self,
        timing: PollTiming,
        since: int | None,
        request_timeout: float,
        on_timeout: "Callable[[DiscoveryRequest], None]",
        on_late_response: "Callable[[DiscoveryRequest, HttpResponse], None]",
    ) -> None:
        """`since` is the version that the request names, or None if it asks for the complete list.

        `request_timeout` is the step by which the timeout is extended after a suspension. `on_timeout` is
        called when the timeout passes, `on_late_response` with a response that arrives after it.
        """
        self.timing = timing
        self.since = since
        self.stage = PollStage.NO_RESPONSE  # progress of the request
        self.is_late = False
        self.is_finished = False
        self._on_timeout = on_timeout
        self._on_late_response = on_late_response
        self._request_timeout = request_timeout
        self._pending: Deferred[Any] | None = None
        self._in_time: Deferred[HttpResponse] = Deferred()
        self._timer: DelayedCall | None = None

    def send(self, agent: Agent, url: str) -> "Deferred[HttpResponse]":
        """Send the request; the result is its response, or whatever the HTTP client raises.

        It fails with PollTimedOutError when the timeout passes.
        """
        self._start_timer(self.timing.timeout, self.timing.suspension_extension)
        defer.ensureDeferred(self._exchange(agent, url)).addCallbacks(self._answered, self._failed)
        return self._in_time

    async def _exchange(self, agent: Agent, url: str) -> HttpResponse:
        response = await self._make_cancellable(agent.request(b"GET", url.encode()))
        self.stage = PollStage.PARTIAL_RESPONSE
        self._limit_time_left(self.timing.body_timeout)
        body = await self._make_cancellable(read_body(response))
        self.stage = PollStage.MALFORMED_RESPONSE
        return HttpResponse(response.code, body)

    def _make_cancellable(self, pending: "Deferred[Result]") -> "Deferred[Result]":
        """Store a Deferred that is awaited, so that `cancel` can cancel it."""
        self._pending = pending
        return pending

    def cancel(self) -> None:
        """Give the request up, unless it is finished."""
        if not self.is_finished and self._pending is not None:
            self._pending.cancel()

    def _answered(self, response: HttpResponse) -> None:
        self._finish()
        if self.is_late:
            self._on_late_response(self, response)
        else:
            self._in_time.callback(response)

    def _failed(self, reason: Failure) -> None:
        self._finish()
        if not self.is_late:
            self._in_time.errback(reason)

    def _finish(self) -> None:
        self.is_finished = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _start_timer(self, seconds: float, extension: float) -> None:
        """Let the timeout pass after `seconds`.

        If this process was suspended in the meantime, which a late timer shows, the response may have arrived
        but not been read. The request then has up to `extension` more seconds, in steps of one request
        timeout.
        """
        deadline = reactor.seconds() + seconds

        def expire() -> None:
            was_suspended = reactor.seconds() > deadline + SUSPENSION_THRESHOLD_S
            if was_suspended and extension > 0:
                step = min(self._request_timeout, extension)
                self._start_timer(step, extension - self._request_timeout)
            else:
                self._time_out()

        self._timer = reactor.callLater(seconds, expire)

    def _limit_time_left(self, seconds: float) -> None:
        """Let the timeout pass after `seconds` at the latest: a response that has begun is not queued."""
        timer = self._timer
        if not self.is_late and timer is not None and timer.getTime() > reactor.seconds() + seconds:
            timer.cancel()
            self._start_timer(seconds, self.timing.suspension_extension)

    def _time_out(self) -> None:
        self.is_late = True
        time_left = self.timing.started_at + self.timing.lifetime - reactor.seconds()
        self._timer = reactor.callLater(max(0.0, time_left), self.cancel)
        self._on_timeout(self)
        self._in_time.errback(PollTimedOutError(self.timing.timeout))


class DiscoveryRequester:
    """Sends the requests of one discovery client over connections that are kept open."""

    def __init__(
        self,
        request_timeout: float,
        on_late_response: Callable[[DiscoveryRequest, HttpResponse], None],
    ) -> None:
        """`request_timeout` is the step by which a timeout is extended after a suspension."""
        self._request_timeout = request_timeout
        self._on_late_response = on_late_response
        self._pool = HTTPConnectionPool(reactor)
        self._agent = Agent(reactor, connectTimeout=REQUEST_TIMEOUT_S, pool=self._pool)
        self._current: DiscoveryRequest | None = None
        self._late: list[DiscoveryRequest] = []  # those that may still be answered, the oldest first
        self.stage = PollStage.NO_RESPONSE  # progress of the last request when it ended or became late

    async def get(self, url: str, timing: PollTiming, since: int | None) -> HttpResponse:
        """Send a request and return its response; raises PollTimedOutError, or what the HTTP client raises.

        `since` is the version that the request names, or None if it asks for the complete list.
        """
        request = DiscoveryRequest(timing, since, self._request_timeout, self._timed_out, self._answered_late)
        self._current = request
        try:
            response = await request.send(self._agent, url)
        finally:
            self.stage = request.stage
            self._current = None
        self._cancel_older(request)
        return response

    def _timed_out(self, request: DiscoveryRequest) -> None:
        """Keep a request that has become late, unless the next one will follow the last late one closely."""
        self._late = [late for late in self._late if not late.is_finished]
        if self._late:
            since_last = reactor.seconds() - self._late[-1].timing.started_at
            if since_last < LATE_REQUEST_INTERVAL_S:
                request.cancel()
                return
        self._late.append(request)

    def _answered_late(self, request: DiscoveryRequest, response: HttpResponse) -> None:
        self._cancel_older(request)
        self._on_late_response(request, response)

    def _cancel_older(self, request: DiscoveryRequest) -> None:
        """Cancel the late requests that were sent before a request that was answered."""
        for late in self._late:
            if late.timing.started_at < request.timing.started_at:
                late.cancel()

    def cancel(self) -> None:
        """Cancel all requests in flight."""
        for late in self._late:
            late.cancel()
        if self._current is not None:
            self._current.cancel()

    def close(self) -> None:
        """Cancel all requests in flight and close the connections."""
        self.cancel()
        self._pool.closeCachedConnections()
