"""The life of each flow from a client's first line to its one final answer.

Passes what happens to flows on to the Director and carries out the commands it returns. Existing connections,
which stood before this process started, return to their own server without the Director.

Owns the state of every flow in flight: its attempt, its timer, its answer. The flow table only finds them.
All times are milliseconds of Unix time.
"""

import math
from collections.abc import Callable
from typing import Any, NamedTuple

from lotusroute.net.admission import AdmissionControl, AdmissionResult, busy_line
from lotusroute.net.config import BalancerConfig
from lotusroute.net.downstream import DownstreamClosed, DownstreamConnection, RequestReceived
from lotusroute.net.endpoints import EndpointRegistry
from lotusroute.net.event_loop import CoalescedTimer, EventLoop
from lotusroute.net.existing_connections import EXISTING_MAX_WAIT, ExistingConnections, RetryExisting
from lotusroute.net.flow import ActiveFlow
from lotusroute.net.flow_table import FlowTable
from lotusroute.net.line_protocol import ERR
from lotusroute.net.reasons import AnswerReason, EndReason, MigrationReason
from lotusroute.net.structured_log import Counters, log_event
from lotusroute.net.upstream import (
    AttemptEnded,
    AttemptStage,
    LoadReported,
    ReceiptReceived,
    UpstreamAttempt,
)
from lotusroute.routing import events
from lotusroute.routing.director import Director

DEADLINE_MARGIN = 40.0  # ms before a flow's connect timeout by which it is answered: a busy core's delay
DEADLINE_MARGIN_SHARE = 0.25  # of a short connect timeout at most, which must leave time to serve
SERVER_CLOSE_GRACE = 2_000.0  # ms for a server to close a connection whose client has left
CAPACITY_RETRY_AFTER = 1_000.0  # ms for a new flow that finds no capacity: connections end by the second
SHUTDOWN_RETRY_AFTER = 400.0  # ms after which a retry reaches other balancers: the front knows by then


class AttemptTimedOut(NamedTuple):
    """The time of a connection attempt is over."""

    flow_id: int
    attempt: UpstreamAttempt


class CloseGraceExpired(NamedTuple):
    """A server has had its time to close a connection whose client has left."""

    flow_id: int


class FlowManager:
    """Runs connection attempts, answers every flow once, and carries out the Director's commands."""

    def __init__(
        self,
        config: BalancerConfig,
        counters: Counters,
        loop: EventLoop,
        director: Director,
        table: FlowTable,
        admission: AdmissionControl,
        endpoints: EndpointRegistry,
        drain_timer: CoalescedTimer,
    ) -> None:
        self._config = config
        self._counters = counters
        self._loop = loop
        self._clock = loop.clock
        self._director = director
        self._table = table
        self._admission = admission
        self._endpoints = endpoints
        self._drain_timer = drain_timer
        self._existing = ExistingConnections(
            config, counters, loop, endpoints, self._start_attempt, self._answer
        )
        self._commands: dict[type, Callable[[Any], None]] = {
            events.Connect: self._connect,
            events.Reject: self._reject,
            events.Abort: self._abort,
            events.Migrate: self._migrate,
            events.SetTimer: self._set_timer,
            events.OutlierEjected: self._log_ejection,
            events.Subscribe: self._subscribe,
        }

    def decide(self, event: events.Event) -> None:
        """Pass an event to the Director and carry out its commands."""
        for command in self._director.decide(self._clock(), event):
            try:
                self._commands[type(command)](command)
            except Exception:
                # Any exception: the Director counts on the other commands being carried out.
                self._loop.report_failure(command, getattr(command, "id", 0))

    # Events of clients

    def request_received(self, event: RequestReceived) -> None:
        """Admit a new flow or an existing connection, or answer it at once."""
        downstream = event.connection
        if downstream.disconnected or downstream.has_disconnected():
            # Nothing is started for it: hundreds whose end lay unread filled a server's queue.
            self._counters["client_disconnects"] += 1
            return
        result = self._admission.evaluate(event.request)
        if result is AdmissionResult.MALFORMED:
            downstream.reject_malformed()
        elif result is AdmissionResult.SHUTTING_DOWN:
            self._shed(downstream, SHUTDOWN_RETRY_AFTER)
        elif result is AdmissionResult.AT_CAPACITY:
            self._shed(downstream, CAPACITY_RETRY_AFTER)
        else:
            self._admit(event)

    def _admit(self, event: RequestReceived) -> None:
        request = event.request
        margin = min(DEADLINE_MARGIN, DEADLINE_MARGIN_SHARE * request.wait)
        flow = self._table.add(
            request,
            self._config.service.service_types[request.service_type],
            event.received_at + request.wait - margin,
            event.connection,
        )
        event.connection.flow_id = flow.number
        flow.log_step(
            "flow requested",
            c=request.service_type,
            g=request.group,
            returned=request.reconnecting,
            at=request.existing_server,
        )
        if request.existing_server:
            flow.deadline = min(flow.deadline, event.received_at + EXISTING_MAX_WAIT)
            self._existing.reconnect(flow)
        else:
            self.decide(flow.routing_request())

    def _shed(self, downstream: DownstreamConnection, retry_after: float) -> None:
        self._counters["load_shed"] += 1
        downstream.send_final_answer(self._busy_line(retry_after))

    def _busy_line(self, retry_after: float) -> bytes:
        return busy_line(retry_after, self._config.service.max_retry_after)

    def client_disconnected(self, event: DownstreamClosed) -> None:
        """Withdraw a flow that waits; give the server of an established one time to close."""
        flow = self._table.get(event.flow_id)
        if flow is None:
            return
        if not flow.established:
            self._withdraw(flow)
        elif not flow.client_left_at:
            # Its server closes it now, or has closed it; one that has vanished never will.
            flow.client_left_at = self._clock()
            flow.timer = self._loop.call_later(SERVER_CLOSE_GRACE, CloseGraceExpired(flow.number))

    def _withdraw(self, flow: ActiveFlow) -> None:
        """Drop a flow whose client has left before it was established."""
        self._counters["client_disconnects"] += 1
        server = flow.upstream.server if flow.upstream is not None else None
        flow.log_step("client disconnected", server=server)
        self._table.remove(flow)
        flow.abort_attempt()
        flow.downstream.send_final_answer(ERR)
        if not flow.request.existing_server:
            self.decide(events.ClientDisconnected(flow.number))

    def close_grace_expired(self, event: CloseGraceExpired) -> None:
        """Close a connection whose client has left and whose server does not close it."""
        flow = self._table.get(event.flow_id)
        if flow is not None:
            connection = flow.connection
            connection.abort()
            flow.downstream.half_close()
            self._connection_ended(
                flow, connection, events.ConnectionResult.CANCELLED, EndReason.CLOSE_GRACE_EXPIRED
            )

    # Connection attempts

    def _start_attempt(self, flow: ActiveFlow, server: str, deadline: float) -> None:
        if flow.downstream.has_disconnected():
            # Its end lay unread behind its own lines when an earlier attempt failed: the next was started.
            self._withdraw(flow)
            return
        now = self._clock()
        timeout = deadline - now
        attempt = UpstreamAttempt(
            flow.number,
            server,
            flow.request.rewritten(timeout),
            self._loop.enqueue,
            self._clock,
            self._counters,
            may_send=lambda: flow.may_send(self._clock(), self._config.drain_grace),
        )
        connect_timeout = self._config.connect_timeout
        flow.attempt_started_at = now
        flow.attempt_deadline = deadline
        flow.upstream = attempt
        attempt.connect(self._endpoints.addresses[server], timeout < connect_timeout)
        timed_out = AttemptTimedOut(flow.number, attempt)
        flow.timer = self._loop.call_later(min(connect_timeout, timeout), timed_out)
        self._counters["connects"] += 1
        flow.log_step("connect started", server=server, wait=timeout)

    def receipt_received(self, event: ReceiptReceived) -> None:
        """Join the client to the server that has accepted its flow."""
        flow = self._table.get(event.flow_id)
        if flow is None or flow.upstream is not event.attempt:
            self._counters["late_receipts"] += 1
            event.attempt.abort()
            return
        if flow.downstream.disconnected:
            # It broke off in the reactor turn of the receipt; its `DownstreamClosed` is queued behind this.
            self._withdraw(flow)
            return
        flow.cancel_timer()
        flow.established = True
        self._counters["established"] += 1
        server = event.attempt.server
        flow.log_step("established", server=server, ms=self._clock() - flow.attempt_started_at)
        flow.downstream.attach_upstream(event.attempt, event.receipt)
        if self._endpoints.is_draining(server):
            self._drain_timer.schedule()
        if flow.request.existing_server:
            self.decide(events.ExistingConnection(flow.routing_request(), server))
        else:
            self.decide(events.Established(flow.number, server))

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Take the end of the current attempt, or of the connection that came of it."""
        flow = self._table.get(event.flow_id)
        if flow is not None and flow.upstream is event.attempt:
            self._connection_ended(flow, event.attempt, event.result, event.reason)

    def attempt_timed_out(self, event: AttemptTimedOut) -> None:
        """End an attempt whose connect timeout, or whole time, has passed.

        The time-out comes through the queue, behind whatever the sockets brought while this process was
        stalled: a stall of ours must not have healthy servers ejected.
        """
        flow = self._table.get(event.flow_id)
        attempt = event.attempt
        if flow is None or flow.upstream is not attempt or attempt.stage >= AttemptStage.ESTABLISHED:
            return
        remaining = flow.attempt_deadline - self._clock()
        if attempt.stage > AttemptStage.CONNECTING and remaining > 0:
            flow.timer = self._loop.call_later(remaining, event)
        else:
            self._connection_ended(flow, attempt, attempt.abort(), EndReason.TIMED_OUT)

    def _connection_ended(
        self, flow: ActiveFlow, attempt: UpstreamAttempt, result: str, reason: EndReason
    ) -> None:
        """Have the Director, or the rule for existing connections, choose what follows an end."""
        flow.cancel_timer()
        server = attempt.server
        flow.upstream = None
        self._counters[f"ended_{result}"] += 1
        flow.log_step(
            "connection ended", server=server, result=result, reason=reason, came=attempt.final_stage.log_name
        )
        if flow.established:
            self._table.remove(flow)
            self.decide(events.ConnectionEnded(flow.number, server, True, result))
            return
        flow.record_attempt_result(result)
        if flow.request.existing_server:
            self._existing.attempt_failed(flow, result)
            return
        self.decide(events.ConnectionEnded(flow.number, server, False, result))
        if flow.upstream is None and flow in self._table:
            raise RuntimeError("flow left without a connect or an answer")

    def cancel_unavailable_attempts(self) -> None:
        """Cancel attempts that have not connected to servers that now take no new flows.

        One that came up late wrote its first byte when the drain's grace was over. Existing connections
        return to their own server all the same.
        """
        for flow in list(self._table):
            attempt = flow.upstream
            if attempt is None or attempt.stage != AttemptStage.CONNECTING or flow.request.existing_server:
                continue
            if not self._endpoints.accepts_new_flows(attempt.server):
                self._counters["connects_cancelled"] += 1
                attempt.abort()
                self._connection_ended(flow, attempt, events.ConnectionResult.UNSENT, EndReason.SERVER_DRAINS)

    def retry_existing(self, event: RetryExisting) -> None:
        """Try an existing connection again after its backoff."""
        flow = self._table.get(event.flow_id)
        if flow is not None and not flow.established:
            self._existing.reconnect(flow)

    # Ends that other parts of the balancer ask for

    def migrate(self, flow_number: int, reason: MigrationReason) -> None:
        """Ask the client of an established flow to reconnect, and close its connection."""
        flow = self._table.get(flow_number)
        if flow is not None and flow.established and not flow.client_left_at:
            connection = flow.connection
            self._counters["migrated"] += 1
            flow.log_step("client migrated", server=connection.server, reason=reason)
            flow.downstream.send_migrate()
            connection.close_after_migration()
            self._connection_ended(flow, connection, events.ConnectionResult.CANCELLED, EndReason.MIGRATED)

    def disconnect_unresponsive(self, flow: ActiveFlow, now: float) -> None:
        """Ask the client of a server that has gone silent to reconnect."""
        self._counters["unresponsive_connections"] += 1
        connection = flow.connection
        silence = connection.server_silence(now)
        flow.log_step("server unresponsive", server=connection.server, silence=silence)
        connection.abort()
        flow.downstream.send_migrate()
        self._connection_ended(flow, connection, events.ConnectionResult.RESET, EndReason.UNRESPONSIVE)

    def reject_unfinished(self) -> None:
        """Give all flows that are not established their final answer: the shutdown waits no longer."""
        for flow in list(self._table):
            attempt = flow.upstream
            if flow.established or (attempt is not None and attempt.stage == AttemptStage.ESTABLISHED):
                continue  # established, or its receipt is in the queue
            if attempt is not None:
                flow.record_attempt_result(attempt.abort())
            answer = flow.final_rejection(self._busy_line(SHUTDOWN_RETRY_AFTER))
            self._answer(flow, answer, AnswerReason.SHUTDOWN)

    def fail(self, flow_number: int) -> None:
        """End a flow whose handling raised an exception, so that its client is not left waiting."""
        flow = self._table.get(flow_number)
        if flow is None:
            return
        self._table.remove(flow)
        flow.abort_attempt()
        if flow.established:
            flow.downstream.send_migrate()
        else:
            flow.downstream.send_final_answer(ERR)
        self._loop.enqueue(events.ClientDisconnected(flow_number))

    def load_reported(self, event: LoadReported) -> None:
        """Pass a server's load report for a connection to the Director."""
        flow = self._table.get(event.flow_id)
        if flow is not None:
            flow.log_step("load report", load=event.load)
            self.decide(events.LoadReport(event.flow_id, event.load))

    def _answer(self, flow: ActiveFlow, line: bytes, reason: str) -> None:
        self._table.remove(flow)
        flow.abort_attempt()
        flow.log_step("answered", words=line.decode(), reason=reason)
        flow.downstream.send_final_answer(line)

    # The Director's commands

    def _connect(self, command: events.Connect) -> None:
        flow = self._table.get(command.id)
        if flow is None or flow.established or flow.upstream is not None:
            return
        if not self._endpoints.has_address(command.server):
            raise RuntimeError(f"no address of {command.server}")
        timeout = command.timeout or math.inf
        self._start_attempt(flow, command.server, min(flow.deadline, self._clock() + timeout))

    def _reject(self, command: events.Reject) -> None:
        flow = self._table.get(command.id)
        if flow is not None and not flow.established:
            self._counters["rejected"] += 1
            self._answer(flow, self._busy_line(command.retry_after), command.reason)

    def _abort(self, command: events.Abort) -> None:
        flow = self._table.get(command.id)
        if flow is not None and not flow.established:
            self._counters["aborted"] += 1
            self._answer(flow, ERR, command.reason)

    def _migrate(self, command: events.Migrate) -> None:
        self.migrate(command.id, MigrationReason.ROUTING)

    def _set_timer(self, command: events.SetTimer) -> None:
        self._loop.call_later(command.delay, events.TimerFired(command.mark))

    @staticmethod
    def _log_ejection(command: events.OutlierEjected) -> None:
        log_event("outlier ejected", server=command.server)

    @staticmethod
    def _subscribe(command: events.Subscribe) -> None:
        """Do nothing: the discovery client watches by itself."""
