"""Executes the Director's commands. Times are milliseconds of Unix time."""

import math

from lotusroute.net.errors import UnknownServerError
from lotusroute.net.event_loop import Handlers
from lotusroute.net.flows.attempts import FlowAttempts
from lotusroute.net.flows.context import BalancerContext
from lotusroute.net.flows.endings import FlowEndings
from lotusroute.net.flows.final_answers import FinalAnswers
from lotusroute.net.reasons import MigrationReason
from lotusroute.net.structured_log import log_event
from lotusroute.net.transport.line_protocol import ERR
from lotusroute.routing import events


class FlowCommands:
    """The handlers of commands; a command for a flow that has ended in the meantime is ignored."""

    def __init__(
        self, context: BalancerContext, attempts: FlowAttempts, endings: FlowEndings, answers: FinalAnswers
    ) -> None:
        self._counters = context.counters
        self._loop = context.loop
        self._flow_table = context.flow_table
        self._endpoints = context.endpoints
        self._attempts = attempts
        self._endings = endings
        self._answers = answers

    def handlers(self) -> Handlers:
        """Return the handler of each type of command."""
        return {
            events.Connect: self._connect,
            events.Reject: self._reject,
            events.Abort: self._abort,
            events.Migrate: self._migrate,
            events.SetTimer: self._set_timer,
            events.OutlierEjected: self._log_ejection,
            events.Subscribe: self._subscribe,
        }

    def _connect(self, command: events.Connect) -> None:
        flow = self._flow_table.get(command.id)
        if flow is None or flow.established or flow.upstream is not None:
            return
        if not self._endpoints.has_address(command.server):
            raise UnknownServerError(command.server)
        timeout = command.timeout or math.inf
        deadline = min(flow.deadline, self._loop.clock() + timeout)
        self._attempts.start(flow, command.server, deadline)

    def _reject(self, command: events.Reject) -> None:
        flow = self._flow_table.get(command.id)
        if flow is not None and not flow.established:
            self._counters["rejected"] += 1
            self._answers.answer(flow, self._answers.busy_line(command.retry_after), command.reason)

    def _abort(self, command: events.Abort) -> None:
        flow = self._flow_table.get(command.id)
        if flow is not None and not flow.established:
            self._counters["aborted"] += 1
            self._answers.answer(flow, ERR, command.reason)

    def _migrate(self, command: events.Migrate) -> None:
        self._endings.migrate(command.id, MigrationReason.ROUTING)

    def _set_timer(self, command: events.SetTimer) -> None:
        self._loop.call_later(command.delay, events.TimerFired(command.name))

    @staticmethod
    def _log_ejection(command: events.OutlierEjected) -> None:
        log_event("outlier ejected", server=command.server)

    @staticmethod
    def _subscribe(command: events.Subscribe) -> None:
        """Do nothing: the discovery client polls without being told."""
