"""The lifecycle of a flow's attempts, from the connect to the end of the established connection.

Owns the attempt and the timer of each flow. Times are milliseconds of Unix time.
"""

from collections.abc import Callable
from typing import NamedTuple

from lotusroute.net.errors import UnansweredFlowError
from lotusroute.net.flows.context import BalancerContext
from lotusroute.net.flows.existing_connections import ExistingConnections
from lotusroute.net.flows.final_answers import FinalAnswers
from lotusroute.net.flows.flow import ActiveFlow
from lotusroute.net.reasons import EndReason
from lotusroute.net.transport.line_protocol import ERR
from lotusroute.net.upstream.attempt import AttemptContext, UpstreamAttempt
from lotusroute.net.upstream.events import (
    Attempt,
    AttemptEnded,
    AttemptStage,
    LoadReported,
    ReceiptReceived,
)
from lotusroute.routing import events


class AttemptTimedOut(NamedTuple):
    """The connect timeout or the deadline of an attempt has passed."""

    flow_number: int
    attempt: UpstreamAttempt


class FlowAttempts:
    """Starts attempts and handles what their servers answer and how they end."""

    def __init__(
        self, context: BalancerContext, answers: FinalAnswers, decide: Callable[[events.Event], None]
    ) -> None:
        self.existing = ExistingConnections(context, self.start, answers.answer)
        self._counters = context.counters
        self._loop = context.loop
        self._clock = context.loop.clock
        self._flow_table = context.flow_table
        self._endpoints = context.endpoints
        self._drain_timer = context.drain_timer
        self._connect_timeout = context.config.connect_timeout
        self._drain_grace = context.config.drain_grace
        self._attempt_context = AttemptContext(
            context.loop.enqueue, context.loop.clock, context.counters, context.lingering_upstreams
        )
        self._decide = decide

    def start(self, flow: ActiveFlow, server: str, deadline: float) -> None:
        """Start an attempt that must be established by `deadline`."""
        if flow.downstream.has_disconnected():
            # When an earlier attempt failed, the client's disconnect may still have been unread behind lines
            # that it sent early. Without this check, the next attempt would start.
            self.withdraw(flow)
            return
        now = self._clock()
        timeout = deadline - now
        attempt = UpstreamAttempt(
            flow.number,
            server,
            flow.request.rewritten(timeout),
            self._attempt_context,
            may_send=lambda: flow.may_send(self._clock(), self._drain_grace),
        )
        flow.attempt_started_at = now
        flow.attempt_deadline = deadline
        flow.upstream = attempt
        attempt.connect(self._endpoints.addresses[server], timeout < self._connect_timeout)
        timed_out = AttemptTimedOut(flow.number, attempt)
        flow.timer = self._loop.call_later(min(self._connect_timeout, timeout), timed_out)
        self._counters["connects"] += 1
        flow.log_step("connect started", server=server, timeout_ms=timeout)

    def receipt_received(self, event: ReceiptReceived) -> None:
        """Connect the client to the server that has accepted its flow."""
        flow = self._flow_table.get(event.flow_number)
        if flow is None or flow.upstream is not event.attempt:
            self._counters["late_receipts"] += 1
            event.attempt.abort()
            return
        if flow.downstream.disconnected:
            # The client's connection was lost in this reactor iteration; its `DownstreamClosed` is queued.
            self.withdraw(flow)
            return
        flow.cancel_timer()
        flow.established = True
        self._counters["established"] += 1
        server = event.attempt.server
        flow.log_step("established", server=server, setup_ms=self._clock() - flow.attempt_started_at)
        flow.downstream.attach_upstream(flow.established_upstream, event.receipt)
        if self._endpoints.is_draining(server):
            self._drain_timer.schedule()
        if flow.request.existing_server:
            self._decide(events.ExistingConnection(flow.routing_request(), server))
        else:
            self._decide(events.Established(flow.number, server))

    def load_reported(self, event: LoadReported) -> None:
        """Pass a server's load report for a connection to the Director."""
        flow = self._flow_table.get(event.flow_number)
        if flow is not None:
            flow.log_step("load report", load=event.load)
            self._decide(events.LoadReport(event.flow_number, event.load))

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Handle the end of a flow's current attempt, or of the connection that it established."""
        flow = self._flow_table.get(event.flow_number)
        if flow is not None and flow.upstream is event.attempt:
            self.connection_ended(flow, event.attempt, event.result, event.reason)

    def attempt_timed_out(self, event: AttemptTimedOut) -> None:
        """End an attempt whose connect timeout or deadline has passed.

        The event is queued behind all that arrived on the sockets while this process was stalled, so that a
        stall of this process does not lead to the ejection of healthy servers.
        """
        flow = self._flow_table.get(event.flow_number)
        attempt = event.attempt
        if flow is None or flow.upstream is not attempt or attempt.stage >= AttemptStage.ESTABLISHED:
            return
        remaining = flow.attempt_deadline - self._clock()
        if attempt.stage > AttemptStage.CONNECTING and remaining > 0:
            flow.timer = self._loop.call_later(remaining, event)
        else:
            self.connection_ended(flow, attempt, attempt.abort(), EndReason.TIMED_OUT)

    def cancel_unavailable(self) -> None:
        """Cancel attempts that are still connecting to servers that no longer accept new flows.

        Such an attempt might connect, and write its first line, only after the drain grace. Attempts of
        existing connections continue: those return to their own server even if it drains.
        """
        for flow in list(self._flow_table):
            attempt = flow.upstream
            if attempt is None or attempt.stage != AttemptStage.CONNECTING or flow.request.existing_server:
                continue
            if not self._endpoints.accepts_new_flows(attempt.server):
                self._counters["connects_cancelled"] += 1
                attempt.abort()
                self.connection_ended(flow, attempt, events.ConnectionResult.UNSENT, EndReason.SERVER_DRAINS)

    def withdraw(self, flow: ActiveFlow) -> None:
        """End a flow whose client has left before it was established."""
        self._counters["client_disconnects"] += 1
        server = flow.upstream.server if flow.upstream is not None else None
        flow.log_step("client disconnected", server=server)
        self._flow_table.remove(flow)
        flow.abort_attempt()
        flow.downstream.send_final_answer(ERR)
        if not flow.request.existing_server:
            self._decide(events.ClientDisconnected(flow.number))

    def connection_ended(
        self,
        flow: ActiveFlow,
        attempt: Attempt,
        result: events.ConnectionResult,
        reason: EndReason,
    ) -> None:
        """Record the end; the Director, or `ExistingConnections`, then decides what follows."""
        flow.cancel_timer()
        server = attempt.server
        flow.upstream = None
        self._counters[f"ended_{result}"] += 1
        stage = attempt.final_stage.log_name
        flow.log_step("connection ended", server=server, result=result, reason=reason, stage=stage)
        if flow.established:
            self._flow_table.remove(flow)
            self._decide(events.ConnectionEnded(flow.number, server, final=True, result=result))
            return
        flow.record_attempt_result(result)
        if flow.request.existing_server:
            self.existing.attempt_failed(flow, result)
            return
        self._decide(events.ConnectionEnded(flow.number, server, final=False, result=result))
        if flow.upstream is None and flow in self._flow_table:
            raise UnansweredFlowError(flow.number)
