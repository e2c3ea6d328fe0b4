"""The client of discovery, the service that publishes the endpoint list.

`Discovery` follows the list at one address by consecutive long polls. Each requests the changes since the
version that the client has, or the complete list if it has none. `PollSchedule` determines all holds,
timeouts and backoffs. The consumer of the updates decides what they mean for flows.
"""

import contextlib
import json
import logging
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
from lotusroute.net.discovery.endpoint_list import (
    MALFORMED_LIST_ERRORS,
    EndpointListMessage,
    EndpointUpdate,
    parse_endpoint_list,
    parse_version,
)
from lotusroute.net.discovery.request import DiscoveryRequest, DiscoveryRequester, HttpResponse
from lotusroute.net.discovery.response_body import STATUS_OK
from lotusroute.net.discovery.update_source import UpdateSource
from lotusroute.net.reactor import reactor
from lotusroute.net.structured_log import log_event
from lotusroute.routing.events import ListScope
from lotusroute.timing.poll_limits import (
    ASSUMED_DRAIN_GRACE_MS,
    LONG_POLL_HOLD_MS,
    MAX_UPDATE_DELAY_S,
    PollLimits,
)
from lotusroute.timing.poll_schedule import PollSchedule, PollStage, PollTiming

# Statuses of a rejected poll. They say nothing about the polled version, which may still be valid.
REJECTION_STATUSES = frozenset((429, 502, 503, 504))
MAX_LOGGED_ERROR_LENGTH = 200  # characters
NO_CHANGES = EndpointUpdate(ListScope.CHANGES, (), {})
DEFAULT_POLL_LIMITS = PollLimits.for_remote_discovery(ASSUMED_DRAIN_GRACE_MS)


class DiscoveryFailed(NamedTuple):
    """The result of a poll that returned no usable list."""

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
        first_update_delay: float = MAX_UPDATE_DELAY_S,
    ) -> None:
        """`enqueue` is called with each update.

        What discovery has now counts as received after `first_update_delay` seconds.
        `version` is the version of the list that was enqueued before, or None to request the complete list.
        """
        host, port = address
        self.list_url = f"http://{host}:{port}/api/targets"
        self.version = version
        self.enqueue = enqueue
        self.counters = counters
        self.max_hold_ms = LONG_POLL_HOLD_MS
        self.closed = False
        self.on_first_response: Callable[[], None] | None = None  # called once, after the first poll
        # A source of updates that balancers share; while it provides them, this client does not poll.
        self.update_source: UpdateSource | None = None
        self._schedule = PollSchedule(limits, random.Random(seed), reactor.seconds(), first_update_delay)
        self._requester = DiscoveryRequester(limits.request_timeout, self._late_response_received)
        self._backoff: Deferred[None] | None = None  # the wait after a failed poll
        # When the enqueued list was last known to be current; None before the first update.
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
        """Make the next poll request the complete list, because an update was not applied."""
        self.version = None

    def remaining(self) -> float:
        """Return the seconds left until the next complete response is due."""
        return self._schedule.remaining(reactor.seconds())

    async def follow(self) -> None:
        """Poll until the client is closed."""
        while not self.closed:
            await self._wait_until_poll_due()
            if self.closed:
                return
            result = await self._poll()
            if self.closed:
                # A late response from an old address must not be applied after updates from the new one.
                return
            if isinstance(result, EndpointUpdate):
                self._enqueue_update(result, reactor.seconds())
            self._report_first_response()
            if isinstance(result, DiscoveryFailed):
                await self._back_off(result)

    def apply_shared_update(self, message: EndpointListMessage, since: int | None) -> bool:
        """Apply a list that another balancer received from the same discovery.

        Returns False if it is malformed, older than this client's list, or has changes relative to another
        version. The balancer then polls by itself.
        """
        try:
            if self.closed or not self._is_applicable(message, since):
                return False
            update = self._decode(message)
        except MALFORMED_LIST_ERRORS:
            return False
        self._enqueue_update(update, reactor.seconds())
        self._report_first_response()
        return True

    async def _wait_until_poll_due(self) -> None:
        """Wait while a shared source provides the updates."""
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
        since = self.version
        try:
            response = await self._requester.get(self._poll_url(timing.hold), timing, since)
            return self._handle_response(response, timing, since)
        except MALFORMED_LIST_ERRORS as error:
            self.version = None
            return DiscoveryFailed(self._requester.stage, f"{type(error).__name__}: {error}")
        except Exception as error:  # the HTTP client raises many types; none may end `follow`
            reason = f"{type(error).__name__}: {error}"[:MAX_LOGGED_ERROR_LENGTH]
            return DiscoveryFailed(self._requester.stage, reason)

    def _poll_url(self, hold: float) -> str:
        if self.version is None:
            return self.list_url
        return f"{self.list_url}?from={self.version}&hold_ms={int(MS_PER_SECOND * hold)}"

    def _handle_response(
        self, response: HttpResponse, timing: PollTiming, since: int | None
    ) -> EndpointUpdate | DiscoveryFailed:
        """Decode a response and record it; raises unless it is a list that can be applied."""
        if response.status in REJECTION_STATUSES:
            # The version is kept: if 40 balancers request the complete list after a rejection, an overloaded
            # discovery answers none of them.
            return DiscoveryFailed(PollStage.REJECTED, f"status {response.status}")
        if response.status != STATUS_OK:
            raise ProtocolError(f"expected status {STATUS_OK}, got {response.status}")
        message = json.loads(response.body)
        if since != self.version and not self._answer_applies(message, since):
            update = NO_CHANGES  # a late response has brought a newer list meanwhile
        else:
            update = self._decode(message)
        self._schedule.response_received(reactor.seconds(), timing, has_changes=bool(update.servers))
        if self.update_source is not None and update is not NO_CHANGES:
            self.update_source.on_response(message, since)
        return update

    def _late_response_received(self, request: DiscoveryRequest, response: HttpResponse) -> None:
        """Apply a list that arrives after its poll's timeout, unless a newer one was applied meanwhile."""
        if self.closed or response.status != STATUS_OK:
            return
        try:
            message = json.loads(response.body)
            if not self._answer_applies(message, request.since):
                return
            update = self._decode(message)
        except MALFORMED_LIST_ERRORS as error:
            log_event("late response ignored", logging.DEBUG, reason=f"{type(error).__name__}: {error}")
            return
        self.counters["late_discovery_responses"] += 1
        has_changes = bool(update.servers)
        self._schedule.late_response_received(reactor.seconds(), request.timing, has_changes)
        if self.update_source is not None:
            self.update_source.on_response(message, request.since)
        self._enqueue_update(update, request.timing.started_at)
        self._report_first_response()

    def _answer_applies(self, message: EndpointListMessage, since: int | None) -> bool:
        """Return whether a message that answers a poll from version `since` still applies to the list.

        Changes since an older version than the list's contain those since the list's version.
        """
        if self._is_outdated(message):
            return False
        has_base = since is not None and self.version is not None and since <= self.version
        return bool(message["whole"]) or has_base

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

    def _enqueue_update(self, update: EndpointUpdate, current_at: float) -> None:
        """Queue an update with a list that was current at `current_at`, unless it has no changes."""
        previous_list_at = self._list_current_at
        self._list_current_at = max(current_at, previous_list_at or current_at)
        if update.servers or update.scope == ListScope.COMPLETE:
            self.enqueue(update._replace(previous_list_at=previous_list_at))

    def _report_first_response(self) -> None:
        """Call `on_first_response` once, after the first update or the first failed poll."""
        callback = self.on_first_response
        self.on_first_response = None
        if callback is not None:
            callback()

    def _is_applicable(self, message: EndpointListMessage, since: int | None) -> bool:
        """Return whether a message is not older than the list, and complete or relative to its version."""
        return not self._is_outdated(message) and (bool(message["whole"]) or since == self.version)

    def _is_outdated(self, message: EndpointListMessage) -> bool:
        """Return whether a message is older than the list."""
        return self.version is not None and parse_version(message["seq"]) < self.version

    def _decode(self, message: EndpointListMessage) -> EndpointUpdate:
        """Decode a message and adopt its version; raises if it is malformed or cannot be applied."""
        scope = ListScope.COMPLETE if message["whole"] else ListScope.CHANGES
        update = parse_endpoint_list(message, scope, self.counters)
        version = parse_version(message["seq"])
        if scope == ListScope.CHANGES and (self.version is None or version < self.version):
            raise ProtocolError(f"changes up to version {version} do not apply to version {self.version}")
        self.version = version
        return update
