"""One flow in flight: its client, its current attempt, and whether an earlier attempt may have run it.

A flow lasts from a client's first line to its final answer or to the end of its connection. Which answer may
be given, and whether the client's line may still be sent, is decided here for every way in which a flow can
end, so that two of them that coincide lead to the same result. Times are milliseconds of Unix time.
"""

import logging
from dataclasses import dataclass

from twisted.internet.base import DelayedCall

from lotusroute.net.downstream.connection import DownstreamConnection
from lotusroute.net.downstream.open_request import OpenRequest
from lotusroute.net.errors import NoUpstreamError
from lotusroute.net.structured_log import LOGGER, log_event
from lotusroute.net.transport.line_protocol import ERR
from lotusroute.net.upstream.attempt import UpstreamAttempt
from lotusroute.routing import events
from lotusroute.timing.progress import ProgressTracker, TransferState

MIN_SEND_GRACE_MS = 50.0  # the protocol extends every time limit by this much, also a drain grace of 0


@dataclass(slots=True, eq=False)
class ActiveFlow:
    """A flow in flight."""

    number: int
    request: OpenRequest
    service_type: events.ServiceType
    deadline: float  # the time by which the client has to be answered
    downstream: DownstreamConnection
    # The attempt in flight, or the established one; a flow has at most one at a time.
    upstream: UpstreamAttempt | None = None
    # The timer of the attempt or, once the client of an established flow has left, of the next look at it.
    timer: DelayedCall | None = None
    established: bool = False
    client_left_at: float = 0.0  # when the client of an established flow left; 0 while it is connected
    progress: ProgressTracker | None = None  # set when the client of an established flow leaves
    reconnect_attempts: int = 0  # number of attempts so far to re-establish an existing connection
    attempt_started_at: float = 0.0
    attempt_deadline: float = 0.0
    may_have_run_since: float | None = None  # start of the first attempt that may have run on a server

    def record_attempt_result(self, result: events.ConnectionResult) -> None:
        """Record how an attempt ended.

        Once an attempt may have run the flow, the results of later attempts do not make a retry safe again. A
        shutdown that considered only the attempt in flight would tell clients that a retry is safe when it is
        not.
        """
        if result not in events.NEVER_RAN and self.may_have_run_since is None:
            self.may_have_run_since = self.attempt_started_at

    def final_rejection(self, busy: bytes) -> bytes:
        """Return the final answer when no attempt is left: `busy` if a retry is safe, else ERR."""
        may_have_run = self.may_have_run_since is not None
        return busy if self.service_type.safe_to_retry(may_have_run) else ERR

    def may_send(self, now: float, grace: float) -> bool:
        """Return whether the client's line may be sent on the connection that was just opened.

        It may not if the client has disconnected, or if the attempt's deadline or the deduplication window is
        over. Nor may it if the attempt was started more than `grace` ago, the time for which a draining
        server still accepts lines: a balancer that was stalled may not have read yet that the server drains.
        """
        if now >= self.attempt_deadline or self.downstream.has_disconnected():
            return False
        if self.request.existing_server:
            return True  # an existing connection returns to its server, draining or not
        service_type = self.service_type
        ran_at = self.may_have_run_since
        if (
            service_type.idempotency == events.Idempotency.IDEMPOTENCY_KEY
            and ran_at is not None
            and now >= ran_at + service_type.dedup_window
        ):
            return False
        return now < self.attempt_started_at + max(grace, MIN_SEND_GRACE_MS)

    def routing_request(self) -> events.FlowRequest:
        """Return the event that requests a server for the flow from the Director."""
        request = self.request
        return events.FlowRequest(
            self.number,
            request.service_type,
            request.tenant,
            request.group,
            request.key,
            self.deadline,
            reconnecting=request.reconnecting,
        )

    @property
    def established_upstream(self) -> UpstreamAttempt:
        """The attempt that established the flow; raises NoUpstreamError without one."""
        if self.upstream is None:
            raise NoUpstreamError(self.number)
        return self.upstream

    def transfer_state(self) -> TransferState:
        """Return how far the transfers of an established flow have come."""
        connection = self.established_upstream.connection
        if self.downstream.disconnected:
            return connection.delivery_state()
        return TransferState(
            server_undelivered=connection.undelivered_bytes(),
            server_reads=connection.read_count,
            client_undelivered=self.downstream.undelivered_bytes(),
        )

    def cancel_timer(self) -> None:
        """Cancel the pending timer, if there is one."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None

    def abort_attempt(self) -> None:
        """Cancel the timer and abort the attempt or its connection, if there is one."""
        self.cancel_timer()
        if self.upstream is not None:
            self.upstream.abort()

    def log_step(self, event: str, **fields: object) -> None:
        """Log a step at debug level with the client's id for the flow, the same at every balancer."""
        if LOGGER.isEnabledFor(logging.DEBUG):
            log_event(event, logging.DEBUG, id=self.request.id, flow=self.number, **fields)
