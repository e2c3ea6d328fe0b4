"""Admits clients' requests: each becomes a flow or is rejected at once, as `AdmissionControl` decides.

Times are milliseconds of Unix time.
"""

from collections.abc import Callable

from lotusroute.net.downstream.connection import DownstreamConnection
from lotusroute.net.downstream.events import RequestReceived
from lotusroute.net.flows.admission import AdmissionControl, AdmissionResult
from lotusroute.net.flows.context import BalancerContext
from lotusroute.net.flows.existing_connections import ExistingConnections
from lotusroute.net.flows.final_answers import FinalAnswers
from lotusroute.routing import events
from lotusroute.timing.deadlines import request_deadline

# Retry-After for a flow that finds no capacity. Some connections end every second, which frees capacity.
CAPACITY_RETRY_AFTER_MS = 1_000.0
# Retry-After during the shutdown. After this time, the front end sends clients only to other balancers.
SHUTDOWN_RETRY_AFTER_MS = 400.0
# Retry-After for a request whose time is over: another balancer can serve it at once.
EXPIRED_RETRY_AFTER_MS = 0.0


class RequestAdmission:
    """Turns clients' requests into flows, or rejects them."""

    def __init__(
        self,
        context: BalancerContext,
        admission: AdmissionControl,
        answers: FinalAnswers,
        existing: ExistingConnections,
        decide: Callable[[events.Event], None],
    ) -> None:
        self._counters = context.counters
        self._clock = context.loop.clock
        self._flow_table = context.flow_table
        self._service_types = context.config.service.service_types
        self._admission = admission
        self._answers = answers
        self._existing = existing
        self._decide = decide

    def request_received(self, event: RequestReceived) -> None:
        """Admit a new flow or an existing connection, or reject it at once."""
        downstream = event.connection
        if downstream.disconnected or downstream.has_disconnected():
            # An attempt for this client would take a place in a server's queue for nothing, and attempts for
            # hundreds of clients whose disconnects were unread would fill the queue.
            self._counters["client_disconnects"] += 1
            return
        deadline = self.deadline(event)
        if deadline <= self._clock():
            # The process was stalled, or requests were held for too long. No server could answer it in time.
            self._shed(downstream, EXPIRED_RETRY_AFTER_MS)
            return
        match self._admission.evaluate(event.request):
            case AdmissionResult.ACCEPTED:
                self._admit(event, deadline)
            case AdmissionResult.MALFORMED:
                downstream.reject_malformed()
            case AdmissionResult.SHUTTING_DOWN:
                self._shed(downstream, SHUTDOWN_RETRY_AFTER_MS)
            case AdmissionResult.AT_CAPACITY:
                self._shed(downstream, CAPACITY_RETRY_AFTER_MS)

    def deadline(self, event: RequestReceived) -> float:
        """Return until when the request is to be answered."""
        is_existing = bool(event.request.existing_server)
        return request_deadline(event.received_at, event.request.timeout, is_existing)

    def _admit(self, event: RequestReceived, deadline: float) -> None:
        request = event.request
        flow = self._flow_table.add(
            request, self._service_types[request.service_type], deadline, event.connection
        )
        event.connection.flow_number = flow.number
        flow.log_step(
            "flow requested",
            service_type=request.service_type,
            group=request.group,
            reconnecting=request.reconnecting,
            existing_server=request.existing_server,
        )
        if request.existing_server:
            self._existing.reconnect(flow)
        else:
            self._decide(flow.routing_request())

    def _shed(self, downstream: DownstreamConnection, retry_after: float) -> None:
        self._counters["load_shed"] += 1
        downstream.send_final_answer(self._answers.busy_line(retry_after))
