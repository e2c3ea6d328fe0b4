"""The client of discovery, which knows the list of servers.

`Discovery` follows the list at one address. It long-polls for changes, one poll after the other, from the
version that it has, and for the complete list where it has none. `PollSchedule` decides on all times. What an
update means for flows is decided by the consumer of the updates.
"""

import contextlib
import json
import random
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, cast

from twisted.internet import task
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IReactorTime

from lotusroute.address import Address
from lotusroute.errors import ProtocolError
from lotusroute.monotonic_clock import MS_PER_SECOND
from lotusroute.net.discovery_request import DiscoveryRequester, HttpResponse
from lotusroute.net.discovery_source import UpdateSource
from lotusroute.net.endpoint_list import (
    MALFORMED_LIST_ERRORS,
    EndpointListMessage,
    EndpointUpdate,
    parse_endpoint_list,
    parse_version,
)
from lotusroute.net.poll_schedule import (
    ASSUMED_DRAIN_GRACE_MS,
    LONG_POLL_HOLD_MS,
    PollLimits,
    PollSchedule,
    PollStage,
    PollTiming,
)
from lotusroute.net.reactor import reactor
from lotusroute.net.structured_log import log_event
from lotusroute.routing.events import ListScope

STATUS_OK = 200
REJECTION_STATUSES = frozenset((429, 502, 503, 504))  # the version that was polled for may be valid
MAX_LOGGED_ERROR_LENGTH = 200
DEFAULT_POLL_LIMITS = PollLimits.for_remote_discovery(ASSUMED_DRAIN_GRACE_MS)


class DiscoveryFailed(NamedTuple):
    """A poll brought no list."""

    stage: PollStage
    reason: str


class Discovery:
    """Follows the list of servers at one address."""

    def __init__(
        self,
        address: Address,
        version: int | None,
        seed: int,
        enqueue: Callable[[EndpointUpdate], None],
        counters: Counter[str],
        limits: PollLimits = DEFAULT_POLL_LIMITS,
    ) -> None:
        """`enqueue` takes the updates.

        `version` is that of the list that `enqueue` has already, None where the complete one is needed.
        """
        host, port = address
        self.list_url = f"http://{host}:{port}/api/targets"
        self.version = version
        self.enqueue = enqueue
        self.counters = counters
        self.max_hold_ms = LONG_POLL_HOLD_MS
        self.closed = False
        self.on_first_response: Callable[[], None] | None = None  # called once, after the first poll
        # A source of updates that balancers share; it delays this client's own polls.
        self.update_source: UpdateSource | None = None
        self._schedule = PollSchedule(limits, random.Random(seed), reactor.seconds())
        self._requester = DiscoveryRequester(limits.request_timeout)
        self._backoff: Deferred[None] | None = None  # the wait after a failed poll
        # When the list that was passed on was last known to be current; None before the first.
        self._list_current_at: float | None = None

    def close(self) -> None:
        """Cancel the poll in flight and close the connections."""
        self.closed = True
        if self._backoff is not None:
            self._backoff.cancel()
        self._requester.close()
        if self.update_source is not None:
            self.update_source.wake()

    def request_complete_list(self) -> None:
        """Poll for the complete list the next time, because an update was not applied."""
        self.version = None

    def remaining(self) -> float:
        """Return the s left until the next complete response has to be in."""
        return self._schedule.remaining(reactor.seconds())

    async def follow(self) -> None:
        """Poll until closed, or for as long as the balancer runs."""
        while not self.closed:
            await self._wait_until_poll_due()
            if self.closed:
                return
            result = await self._poll()
            if self.closed:
                # A late response of the old address must not follow updates from the new one.
                return
            self._report_first_response()
            if isinstance(result, EndpointUpdate):
                self._pass_on(result)
            else:
                await self._back_off(result)

    def apply_shared_update(self, message: EndpointListMessage, since: int | None) -> bool:
        """Apply a list that another balancer received from the same discovery.

        Returns False where it is malformed, older than ours, or changes to another version than ours: then
        this balancer polls by itself.
        """
        try:
            if self.closed or not self._follows(message, since):
                return False
            update = self._decode(message)
        except MALFORMED_LIST_ERRORS:
            return False
        self._pass_on(update)
        self._report_first_response()
        return True

    async def _wait_until_poll_due(self) -> None:
        """Wait while another source provides the updates."""
        if self.update_source is not None:
            await self.update_source.wait_until_poll_due(self)
            if not self.closed:
                self._schedule.note_list_current_at(reactor.seconds() - self.update_source.age())

    async def _poll(self) -> EndpointUpdate | DiscoveryFailed:
        """Poll once and record the result for later polls."""
        max_hold = self.max_hold_ms / MS_PER_SECOND
        timing = self._schedule.next_poll(reactor.seconds(), self.version is not None, max_hold)
        result = await self._request_update(timing)
        if isinstance(result, DiscoveryFailed):
            self._schedule.poll_failed(timing, result.stage)
        else:
            self._schedule.poll_succeeded()
        return result

    async def _request_update(self, timing: PollTiming) -> EndpointUpdate | DiscoveryFailed:
        """Send a request; every failure is returned as a value."""
        self.counters["discovery_requests"] += 1
        try:
            response = await self._requester.get(self._poll_url(timing.hold), timing)
            return self._handle_response(response, timing)
        except MALFORMED_LIST_ERRORS as error:
            self.version = None
            return DiscoveryFailed(self._requester.stage, f"{type(error).__name__}: {error}")
        except Exception as error:  # the HTTP client raises many types, and none may end the following
            reason = f"{type(error).__name__}: {error}"[:MAX_LOGGED_ERROR_LENGTH]
            return DiscoveryFailed(self._requester.stage, reason)

    def _poll_url(self, hold: float) -> str:
        if self.version is None:
            return self.list_url
        return f"{self.list_url}?from={self.version}&hold_ms={int(MS_PER_SECOND * hold)}"

    def _handle_response(
        self, response: HttpResponse, timing: PollTiming
    ) -> EndpointUpdate | DiscoveryFailed:
        """Decode a response and record it; raises where it is no list that follows ours."""
        if response.status in REJECTION_STATUSES:
            # The version is kept: complete lists would add to the load of an overloaded discovery.
            return DiscoveryFailed(PollStage.REJECTED, f"status {response.status}")
        if response.status != STATUS_OK:
            raise ProtocolError(f"status {response.status}")
        message = json.loads(response.body)
        since = self.version
        update = self._decode(message)
        self._schedule.response_received(reactor.seconds(), timing, has_changes=bool(update.servers))
        if self.update_source is not None:
            self.update_source.on_response(message, since)
        return update

    async def _back_off(self, failure: DiscoveryFailed) -> None:
        """Wait after a failed poll; only the first failure in a row is logged."""
        self.counters["discovery_failures"] += 1
        if self.update_source is not None:
            self.update_source.on_failure()
        if not self._schedule.is_backing_off:
            log_event("discovery failed", stage=failure.stage, reason=failure.reason)
        backoff = self._schedule.next_backoff(reactor.seconds(), failure.stage)
        self._backoff = task.deferLater(cast(IReactorTime, reactor), backoff)
        with contextlib.suppress(CancelledError):
            await self._backoff

    def _pass_on(self, update: EndpointUpdate) -> None:
        previous_list_at = self._list_current_at
        self._list_current_at = reactor.seconds()
        if update.servers or update.scope == ListScope.COMPLETE:
            self.enqueue(update._replace(previous_list_at=previous_list_at))

    def _report_first_response(self) -> None:
        """Call `on_first_response`, once: an update has arrived, or a poll has failed."""
        callback = self.on_first_response
        self.on_first_response = None
        if callback is not None:
            callback()

    def _follows(self, message: EndpointListMessage, since: int | None) -> bool:
        """Return whether a list is not older than ours and, if it is changes, changes to our version."""
        if self.version is not None and parse_version(message["seq"]) < self.version:
            return False
        return bool(message["whole"]) or since == self.version

    def _decode(self, message: EndpointListMessage) -> EndpointUpdate:
        """Decode a list and take over its version; raises where it is no list or does not follow ours."""
        scope = ListScope.COMPLETE if message["whole"] else ListScope.CHANGES
        update = parse_endpoint_list(message, scope, self.counters)
        version = parse_version(message["seq"])
        if scope == ListScope.CHANGES and (self.version is None or version < self.version):
            raise ProtocolError(f"changes up to {version} of a list held at {self.version}")
        self.version = version
        return update
