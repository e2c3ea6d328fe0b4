"""HTTP requests to discovery, one at a time, with a timeout for the whole response. Times are seconds."""

from typing import Any, NamedTuple, TypeVar

from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, HTTPConnectionPool, readBody

from lotusroute.net.poll_schedule import REQUEST_TIMEOUT_S, PollStage, PollTiming
from lotusroute.net.reactor import reactor

Result = TypeVar("Result")

# A timer that is later than this shows that the process was suspended. Its timeout then does not show that
# discovery is not answering.
SUSPENSION_THRESHOLD_S = 0.05


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    body: bytes


class DiscoveryRequester:
    """Sends the requests of one discovery client over connections that are kept open."""

    def __init__(self, request_timeout: float) -> None:
        """`request_timeout` is the step by which a timeout is extended after a suspension."""
        self._request_timeout = request_timeout
        self._pool = HTTPConnectionPool(reactor)
        self._agent = Agent(reactor, connectTimeout=REQUEST_TIMEOUT_S, pool=self._pool)
        self._pending: Deferred[Any] | None = None
        self._timer: DelayedCall | None = None
        self.stage = PollStage.NO_RESPONSE  # progress of the request in flight

    async def get(self, url: str, timing: PollTiming) -> HttpResponse:
        """Send a request and return the response; raises whatever the HTTP client raises."""
        self.stage = PollStage.NO_RESPONSE
        self._start_timer(timing.timeout, timing.suspension_extension)
        try:
            return await self._exchange(url)
        finally:
            self._stop_timer()

    async def _exchange(self, url: str) -> HttpResponse:
        response = await self._make_cancellable(self._agent.request(b"GET", url.encode()))
        self.stage = PollStage.PARTIAL_RESPONSE
        body = await self._make_cancellable(readBody(response))
        self.stage = PollStage.MALFORMED_RESPONSE
        return HttpResponse(response.code, body)

    def _make_cancellable(self, pending: "Deferred[Result]") -> "Deferred[Result]":
        """Store a Deferred that is awaited, so that `cancel` can cancel it."""
        self._pending = pending
        return pending

    def cancel(self) -> None:
        """Cancel the request in flight, if there is one."""
        if self._pending is not None:
            self._pending.cancel()

    def close(self) -> None:
        """Cancel the request in flight and close the connections."""
        self.cancel()
        self._pool.closeCachedConnections()

    def _start_timer(self, seconds: float, extension: float) -> None:
        """Cancel the request in flight after `seconds`.

        If this process was suspended in the meantime, the response may have arrived but not been read. The
        request then has up to `extension` more seconds, in steps of one request timeout.
        """
        deadline = reactor.seconds() + seconds

        def expire() -> None:
            was_suspended = reactor.seconds() > deadline + SUSPENSION_THRESHOLD_S
            if was_suspended and extension > 0:
                step = min(self._request_timeout, extension)
                self._start_timer(step, extension - self._request_timeout)
            else:
                self.cancel()

        self._timer = reactor.callLater(seconds, expire)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
