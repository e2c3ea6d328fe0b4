"""The `UpdateSource` of a balancer that subscribes to a relay: decides when to poll discovery instead.

Once its list is stale, the balancer polls discovery until a relay has sent a fresh list. The first poll is
sent early enough that a change is in force by the deadline of the protocol. Times are in milliseconds unless
a name or a comment says seconds.
"""

import math
import random
from collections import Counter
from collections.abc import Callable

from twisted.internet.base import ReactorBase

from lotusroute.net.discovery.endpoint_list import EndpointListMessage
from lotusroute.net.discovery.update_source import DiscoveryClient
from lotusroute.net.interruptible_wait import InterruptibleWait
from lotusroute.relay.discovery_forwarder import DiscoveryForwarder
from lotusroute.relay.relay_selector import RelaySelector
from lotusroute.timing.poll_limits import MIN_REJECTION_BACKOFF_S, QUEUE_TIMEOUT_S

CHECK_INTERVAL_S = 0.1  # time between two checks of whether to poll discovery
# Time from the start of the balancer after which it polls discovery if it has received no list from a relay.
FIRST_UPDATE_TIMEOUT_S = 0.8


class RelayUpdateSource:
    """Keeps the discovery client from polling while the list received from a relay is fresh."""

    def __init__(
        self,
        reactor: ReactorBase,
        clock: Callable[[], float],
        rng: random.Random,
        counters: "Counter[str]",
        selector: RelaySelector,
        forwarder: DiscoveryForwarder,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.counters = counters
        self.selector = selector
        self.forwarder = forwarder
        self.discovery: DiscoveryClient | None = None  # the current client; a config reload replaces it
        self.started_at = clock()
        self.polling = False  # whether discovery is polled because the list is stale
        self._wait = InterruptibleWait(reactor)

    def on_list_confirmed(self, now: float) -> None:
        """Stop polling discovery if the list is fresh again."""
        if self.selector.is_fresh(now):
            self.polling = False

    async def wait_until_poll_due(self, discovery: DiscoveryClient) -> None:
        """Return when this balancer has to poll discovery, or the client is closed."""
        while not discovery.closed and not self.polling:
            now = self.clock()
            starting = now < self.started_at + 1000 * FIRST_UPDATE_TIMEOUT_S
            has_list = self.forwarder.has_list_of(discovery)
            if not has_list and not starting:
                # After a reload, the relays may have the list of another discovery service. The reload may
                # happen during a wait, so this is checked in every iteration.
                self.counters["relay_fallback_requests"] += 1
                return
            if starting or self.selector.is_fresh(now):
                if has_list and discovery.version is None:
                    self.forwarder.forward_complete_list(discovery)
                await self._wait.wait(CHECK_INTERVAL_S)
                continue
            await self._wait_before_polling(discovery)
        if self.polling:
            self.counters["relay_fallback_requests"] += 1

    def wake(self) -> None:
        """Make a pending `wait_until_poll_due` check at once whether to poll."""
        self._wait.wake()

    def age(self) -> float:
        """Return the maximum age of the list in seconds; infinity if it is from another discovery service."""
        if self.discovery is None or not self.forwarder.has_list_of(self.discovery):
            return math.inf
        return (self.clock() - self.selector.confirmed_at) / 1000

    def on_response(self, message: EndpointListMessage, since: int | None) -> None:
        """Do nothing: the balancer continues to poll until a relay has a fresh list."""

    def on_failure(self) -> None:
        """Do nothing: the balancer continues to poll until a relay has a fresh list."""

    async def _wait_before_polling(self, discovery: DiscoveryClient) -> None:
        """Wait for a random time, so that balancers that lose their relay together do not all poll together.

        The wait ends early enough for the poll to wait in discovery's queue and still meet its deadline.
        """
        max_delay = max(0.0, min(MIN_REJECTION_BACKOFF_S, discovery.remaining() - QUEUE_TIMEOUT_S))
        await self._wait.wait(max_delay * self.rng.random())
        if not self.selector.is_fresh(self.clock()):
            self.polling = True
            self.counters["relay_stale"] += 1
