"""Ends flows that their servers have not ended: the client has left, or the balancer ends the flow.

Times are milliseconds of Unix time.
"""

from typing import NamedTuple

from lotusroute.net.downstream.connection import LINGER_TIMEOUT_MS
from lotusroute.net.downstream.events import DownstreamClosed
from lotusroute.net.flows.attempts import FlowAttempts
from lotusroute.net.flows.context import BalancerContext
from lotusroute.net.flows.final_answers import FinalAnswers
from lotusroute.net.flows.flow import ActiveFlow
from lotusroute.net.flows.request_admission import SHUTDOWN_RETRY_AFTER_MS
from lotusroute.net.reasons import AnswerReason, EndReason, MigrationReason
from lotusroute.net.transport.line_protocol import ERR
from lotusroute.net.upstream.events import AttemptStage
from lotusroute.routing import events
from lotusroute.timing.progress import (
    PROGRESS_CHECK_INTERVAL_MS,
    SERVER_CLOSE_GRACE_MS,
    STALLED_PEER_TIMEOUT_MS,
    UNRESPONSIVE_TIMEOUT_MS,
    ProgressTracker,
    TransferState,
)

# Migrations after which the server or this process is gone.
FORCED_MIGRATIONS = frozenset({MigrationReason.SERVER_DRAINS, MigrationReason.SHUTDOWN})


class ServerCloseCheck(NamedTuple):
    """A connection whose client has left, and whose server has not closed it, is to be checked."""

    flow_number: int


class FlowEndings:
    """Ends flows for a reason on the client's or the balancer's side."""

    def __init__(self, context: BalancerContext, attempts: FlowAttempts, answers: FinalAnswers) -> None:
        self._counters = context.counters
        self._loop = context.loop
        self._flow_table = context.flow_table
        self._attempts = attempts
        self._answers = answers

    def client_disconnected(self, event: DownstreamClosed) -> None:
        """Withdraw a flow that is not established; give an established one's server time to close."""
        flow = self._flow_table.get(event.flow_number)
        if flow is None:
            return
        if not flow.established:
            self._attempts.withdraw(flow)
        elif not flow.client_left_at:
            # The server usually closes the connection once it has read what the client sent. One that has
            # disappeared never does, so it is given up when nothing has moved for a while.
            flow.client_left_at = self._loop.clock()
            flow.progress = ProgressTracker(flow.client_left_at)
            self._schedule_close_check(flow)

    def _schedule_close_check(self, flow: ActiveFlow) -> None:
        flow.timer = self._loop.call_later(PROGRESS_CHECK_INTERVAL_MS, ServerCloseCheck(flow.number))

    def check_server_close(self, event: ServerCloseCheck) -> None:
        """Close a connection whose client has left if its server neither closes it nor makes progress."""
        flow = self._flow_table.get(event.flow_number)
        if flow is None or flow.progress is None:
            return
        state = flow.transfer_state()
        if flow.progress.idle_time(self._loop.clock(), state) < self._close_timeout(flow, state):
            self._schedule_close_check(flow)
        else:
            self._give_up_server(flow)

    @staticmethod
    def _close_timeout(flow: ActiveFlow, state: TransferState) -> float:
        """Return how long nothing may move on a connection whose client has left."""
        if state.client_undelivered:
            return STALLED_PEER_TIMEOUT_MS  # the server may be waiting for the client to read
        if flow.established_upstream.connection.owes_reply():
            return UNRESPONSIVE_TIMEOUT_MS
        return SERVER_CLOSE_GRACE_MS

    def _give_up_server(self, flow: ActiveFlow) -> None:
        """End a connection whose client has left; if lines of the client are lost, ask it to reconnect."""
        upstream = flow.established_upstream
        flow.log_step(
            "close grace expired",
            server=upstream.server,
            server_undelivered=upstream.connection.undelivered_bytes(),
            server_reads=upstream.connection.read_count,
            client_undelivered=flow.downstream.undelivered_bytes(),
        )
        lines_lost = upstream.connection.owes_reply()
        upstream.abort()
        if lines_lost:
            flow.downstream.send_migrate()
        else:
            flow.downstream.half_close()
        self._attempts.connection_ended(
            flow, upstream, events.ConnectionResult.CANCELLED, EndReason.CLOSE_GRACE_EXPIRED
        )

    def migrate(self, flow_number: int, reason: MigrationReason) -> None:
        """Ask the client of an established flow to reconnect, and close its connection.

        A client that has stopped sending is only asked to if its connection could not be kept anyway.
        """
        flow = self._flow_table.get(flow_number)
        if flow is None or not flow.established:
            return
        if not flow.client_left_at or reason in FORCED_MIGRATIONS:
            upstream = flow.established_upstream
            self._counters["migrated"] += 1
            flow.log_step("client migrated", server=upstream.server, reason=reason)
            flow.downstream.send_migrate()
            upstream.close_after_migration()
            self._attempts.connection_ended(
                flow, upstream, events.ConnectionResult.CANCELLED, EndReason.MIGRATED
            )

    def disconnect_unresponsive(self, flow: ActiveFlow, now: float) -> None:
        """Reset the connection to an unresponsive server and ask its client to reconnect."""
        self._counters["unresponsive_connections"] += 1
        upstream = flow.established_upstream
        flow.log_step(
            "server unresponsive",
            server=upstream.server,
            silence_ms=upstream.connection.replies.server_silence(now),
            stalled_ms=upstream.connection.stalled_time(now),
        )
        upstream.abort()
        flow.downstream.send_migrate()
        self._attempts.connection_ended(flow, upstream, events.ConnectionResult.RESET, EndReason.UNRESPONSIVE)

    def disconnect_stalled_client(self, flow: ActiveFlow) -> None:
        """Close a connection whose client has taken nothing for too long.

        The client is asked to reconnect all the same, in case it reads again just now.
        """
        self._counters["stalled_clients"] += 1
        upstream = flow.established_upstream
        flow.log_step(
            "client stalled", server=upstream.server, client_undelivered=flow.downstream.undelivered_bytes()
        )
        flow.downstream.send_migrate(LINGER_TIMEOUT_MS)
        upstream.close_after_migration()
        self._attempts.connection_ended(
            flow, upstream, events.ConnectionResult.CANCELLED, EndReason.CLIENT_STALLED
        )

    def reject_unfinished(self) -> None:
        """Send the final answer to all flows that are not established: the shutdown waits no longer."""
        for flow in list(self._flow_table):
            attempt = flow.upstream
            if flow.established or (attempt is not None and attempt.stage == AttemptStage.ESTABLISHED):
                continue  # the flow is established, or its receipt is queued
            if attempt is not None:
                flow.record_attempt_result(attempt.abort())
            answer = flow.final_rejection(self._answers.busy_line(SHUTDOWN_RETRY_AFTER_MS))
            self._answers.answer(flow, answer, AnswerReason.SHUTDOWN)

    def fail(self, flow_number: int) -> None:
        """End a flow whose handling raised an exception, so that its client is not left waiting."""
        flow = self._flow_table.get(flow_number)
        if flow is None:
            return
        self._flow_table.remove(flow)
        flow.abort_attempt()
        if flow.established:
            flow.downstream.send_migrate()
        else:
            flow.downstream.send_final_answer(ERR)
        self._loop.enqueue(events.ClientDisconnected(flow_number))
