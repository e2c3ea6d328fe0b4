"""Sends the only answer of a flow that is not established. Times are milliseconds."""

from lotusroute.net.flows.admission import busy_line
from lotusroute.net.flows.context import BalancerContext
from lotusroute.net.flows.flow import ActiveFlow
from lotusroute.net.reasons import AnswerReason
from lotusroute.routing.events import RejectReason


class FinalAnswers:
    """Ends flows by answering their clients."""

    def __init__(self, context: BalancerContext) -> None:
        self._flow_table = context.flow_table
        self._max_retry_after = context.config.service.max_retry_after

    def busy_line(self, retry_after: float) -> bytes:
        """Return the line that rejects a flow, with a Retry-After unless the settings allow none."""
        return busy_line(retry_after, self._max_retry_after)

    def answer(self, flow: ActiveFlow, line: bytes, reason: AnswerReason | RejectReason) -> None:
        """Remove the flow from the flow table, abort its attempt and send the line to its client."""
        self._flow_table.remove(flow)
        flow.abort_attempt()
        flow.log_step("answered", answer=line.decode(), reason=reason)
        flow.downstream.send_final_answer(line)
