"""Re-establishes connections that were open before this process started.

Such a connection returns to the server that it was connected to, without a routing decision. A failed attempt
is retried with an increasing backoff until the connection is given up. Times are milliseconds of Unix time.
"""

from collections.abc import Callable
from typing import NamedTuple

from lotusroute.net.flows.context import BalancerContext
from lotusroute.net.flows.flow import ActiveFlow
from lotusroute.net.reasons import AnswerReason
from lotusroute.net.transport.line_protocol import ERR
from lotusroute.routing.events import NEVER_RAN, ConnectionResult, Idempotency
from lotusroute.timing.deadlines import existing_attempt_deadline, existing_retry_backoff


class RetryExisting(NamedTuple):
    """The backoff before the next attempt of an existing connection has expired."""

    flow_number: int


class ExistingConnections:
    """Reconnects existing connections to their servers and decides on retries."""

    def __init__(
        self,
        context: BalancerContext,
        start_attempt: Callable[[ActiveFlow, str, float], None],
        answer: Callable[[ActiveFlow, bytes, AnswerReason], None],
    ) -> None:
        """`start_attempt` takes a flow, a server and a deadline; `answer` sends a flow's final answer."""
        self._counters = context.counters
        self._loop = context.loop
        self._flow_table = context.flow_table
        self._endpoints = context.endpoints
        self._max_attempts = context.config.service.max_attempts
        self._start_attempt = start_attempt
        self._answer = answer

    def reconnect(self, flow: ActiveFlow) -> None:
        """Start an attempt at the flow's server, or retry later if the endpoint list lacks it."""
        server = flow.request.existing_server
        if server is not None and self._endpoints.has_address(server):
            flow.reconnect_attempts += 1
            deadline = existing_attempt_deadline(self._loop.clock(), flow.deadline)
            self._start_attempt(flow, server, deadline)
        else:
            self._retry_later(flow)

    def retry(self, event: RetryExisting) -> None:
        """Start the next attempt when the backoff has expired."""
        flow = self._flow_table.get(event.flow_number)
        if flow is not None and not flow.established:
            self.reconnect(flow)

    def attempt_failed(self, flow: ActiveFlow, result: ConnectionResult) -> None:
        """Retry after a failed attempt if the flow has not run, or may run again."""
        if result in NEVER_RAN or flow.service_type.idempotency == Idempotency.IDEMPOTENT:
            self._retry_later(flow)
        else:
            self._give_up(flow)

    def _retry_later(self, flow: ActiveFlow) -> None:
        exhausted = flow.reconnect_attempts >= self._max_attempts
        backoff = existing_retry_backoff(self._loop.clock(), flow.deadline, flow.reconnect_attempts)
        if exhausted or backoff is None:
            self._give_up(flow)
        else:
            self._loop.call_later(backoff, RetryExisting(flow.number))

    def _give_up(self, flow: ActiveFlow) -> None:
        self._counters["existing_connections_lost"] += 1
        self._answer(flow, ERR, AnswerReason.EXISTING_CONNECTION_LOST)
