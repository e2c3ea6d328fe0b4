"""Re-establishing connections that stood before this process started.

Such a connection returns to the server that it was connected to, without a routing decision, and is retried
with a growing backoff until it is lost. Owns the rule only; the flows belong to the flow manager, which hands
in how an attempt is started and how a flow is answered. All times are milliseconds of Unix time.
"""

from collections.abc import Callable
from typing import NamedTuple

from lotusroute.net.config import BalancerConfig
from lotusroute.net.endpoints import EndpointRegistry
from lotusroute.net.event_loop import EventLoop
from lotusroute.net.flow import ActiveFlow
from lotusroute.net.line_protocol import ERR
from lotusroute.net.reasons import AnswerReason
from lotusroute.net.structured_log import Counters
from lotusroute.routing import events

EXISTING_RETRY_BACKOFF = 1_000.0  # ms, times the attempts so far
EXISTING_ATTEMPT_TIMEOUT = 8_000.0  # ms for its server to take it back; the start is the busiest time of all
EXISTING_MAX_WAIT = 35_000.0  # ms from its request until it is given up; it counts as lost after 40 s


class RetryExisting(NamedTuple):
    """The backoff of an existing connection is over."""

    flow_id: int


class ExistingConnections:
    """Connects existing connections to their servers and decides on retries."""

    def __init__(
        self,
        config: BalancerConfig,
        counters: Counters,
        loop: EventLoop,
        endpoints: EndpointRegistry,
        start_attempt: Callable[[ActiveFlow, str, float], None],
        answer: Callable[[ActiveFlow, bytes, str], None],
    ) -> None:
        self._config = config
        self._counters = counters
        self._loop = loop
        self._endpoints = endpoints
        self._start_attempt = start_attempt
        self._answer = answer

    def reconnect(self, flow: ActiveFlow) -> None:
        """Start an attempt at the flow's server, or wait for a list that names it."""
        server = flow.request.existing_server
        if server is not None and self._endpoints.has_address(server):
            flow.attempts += 1
            deadline = min(flow.deadline, self._loop.clock() + EXISTING_ATTEMPT_TIMEOUT)
            self._start_attempt(flow, server, deadline)
        else:
            self._retry_later(flow)

    def attempt_failed(self, flow: ActiveFlow, result: str) -> None:
        """Retry after a failed attempt if the flow has not run, or may run again."""
        if result in events.NEVER_RAN or flow.service_type.effect == events.Effect.IDEMPOTENT:
            self._retry_later(flow)
        else:
            self._give_up(flow)

    def _retry_later(self, flow: ActiveFlow) -> None:
        exhausted = flow.attempts >= self._config.service.max_attempts
        if exhausted or self._loop.clock() + EXISTING_RETRY_BACKOFF >= flow.deadline:
            self._give_up(flow)
        else:
            self._loop.call_later(EXISTING_RETRY_BACKOFF * max(1, flow.attempts), RetryExisting(flow.number))

    def _give_up(self, flow: ActiveFlow) -> None:
        self._counters["existing_connections_lost"] += 1
        self._answer(flow, ERR, AnswerReason.EXISTING_CONNECTION_LOST)
