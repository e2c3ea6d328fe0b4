"""Connects the components that handle flows: admission, attempts, endings and the Director's commands."""

from lotusroute.net.downstream.events import DownstreamClosed
from lotusroute.net.event_loop import Handlers
from lotusroute.net.flows.admission import AdmissionControl
from lotusroute.net.flows.attempts import AttemptTimedOut, FlowAttempts
from lotusroute.net.flows.commands import FlowCommands
from lotusroute.net.flows.context import BalancerContext
from lotusroute.net.flows.decisions import DecisionExecutor
from lotusroute.net.flows.endings import FlowEndings, ServerCloseCheck
from lotusroute.net.flows.existing_connections import RetryExisting
from lotusroute.net.flows.final_answers import FinalAnswers
from lotusroute.net.flows.request_admission import RequestAdmission
from lotusroute.net.upstream.events import AttemptEnded, LoadReported, ReceiptReceived
from lotusroute.routing import events
from lotusroute.routing.director import Director


class FlowManager:
    """Handles each flow from the client's first line to its final answer or the end of its connection."""

    def __init__(self, context: BalancerContext, director: Director, admission: AdmissionControl) -> None:
        decisions = DecisionExecutor(director, context.loop)
        answers = FinalAnswers(context)
        self.decide = decisions.decide
        self.attempts = FlowAttempts(context, answers, self.decide)
        self.endings = FlowEndings(context, self.attempts, answers)
        self.requests = RequestAdmission(context, admission, answers, self.attempts.existing, self.decide)
        commands = FlowCommands(context, self.attempts, self.endings, answers)
        decisions.register(commands.handlers())

    def handlers(self) -> Handlers:
        """Return the handler of each type of event about flows."""
        return {
            ReceiptReceived: self.attempts.receipt_received,
            AttemptEnded: self.attempts.attempt_ended,
            AttemptTimedOut: self.attempts.attempt_timed_out,
            LoadReported: self.attempts.load_reported,
            RetryExisting: self.attempts.existing.retry,
            DownstreamClosed: self.endings.client_disconnected,
            ServerCloseCheck: self.endings.check_server_close,
            events.TimerFired: self.decide,
            events.ClientDisconnected: self.decide,
        }
