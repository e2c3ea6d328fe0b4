"""The periodic check of open connections: slow and unresponsive servers, idle and stalled clients.

Owns the reply delays measured since the last check and the set of servers that were reported as slow. Times
are milliseconds.
"""

import logging
from collections import Counter
from collections.abc import Callable, Set
from enum import Enum, auto
from statistics import median
from typing import NamedTuple

from lotusroute.net.flows.context import BalancerContext
from lotusroute.net.flows.endings import FlowEndings
from lotusroute.net.flows.flow import ActiveFlow
from lotusroute.net.reasons import MigrationReason
from lotusroute.net.structured_log import LOGGER, log_event
from lotusroute.net.upstream.events import ReplyTimed
from lotusroute.routing import events
from lotusroute.timing.progress import STALLED_PEER_TIMEOUT_MS

# Time between two checks. Whether a server is slow is judged by its reply delays since the last check.
CHECK_INTERVAL_MS = 1_000.0
# A client that has sent lines before counts as idle once it has neither sent nor received one for this long.
# Such clients usually send a line every 2 s.
IDLE_CLIENT_TIMEOUT_MS = 60_000.0


class PeriodicCheck(NamedTuple):
    """The next check of the open connections is due."""


class FlowCondition(Enum):
    """What a check finds of an established flow."""

    HEALTHY = auto()
    UNRESPONSIVE_SERVER = auto()
    STALLED_CLIENT = auto()
    IDLE_CLIENT = auto()


class CheckedFlow(NamedTuple):
    """An established flow and what a check has found of it."""

    flow: ActiveFlow
    condition: FlowCondition


class ConnectionMonitor:
    """Checks all established connections once a second."""

    def __init__(
        self,
        context: BalancerContext,
        endings: FlowEndings,
        decide: Callable[[events.Event], None],
        slow_latency_threshold: float,
    ) -> None:
        """`slow_latency_threshold` is the reply delay from which on the Director considers a server slow."""
        self._counters = context.counters
        self._loop = context.loop
        self._flow_table = context.flow_table
        self._endings = endings
        self._decide = decide
        self._slow_latency_threshold = slow_latency_threshold
        # The reply delays that were measured since the last check, by server.
        self._reply_delays: dict[str, list[float]] = {}
        # The servers that were reported as slow and not yet as recovered.
        self._slow_servers: set[str] = set()

    def start(self) -> None:
        """Schedule the next check."""
        self._loop.call_later(CHECK_INTERVAL_MS, PeriodicCheck())
        self._loop.clock_monitor.expect_timer(CHECK_INTERVAL_MS)

    def reply_timed(self, event: ReplyTimed) -> None:
        """Record how long a server took to reply to a client's line."""
        self._reply_delays.setdefault(event.server, []).append(event.delay)

    def retain_servers(self, servers: Set[str]) -> None:
        """Forget slow servers that are no longer in the endpoint list."""
        self._slow_servers &= servers

    def check(self, _: PeriodicCheck) -> None:
        """Report slow servers, then end connections on which a peer is unresponsive, stalled or idle."""
        self.start()
        now = self._loop.clock()
        self._flow_table.expire_closed_ids(now)
        established = [flow for flow in self._flow_table if flow.established and flow.upstream is not None]
        checked = [CheckedFlow(flow, _condition_of(flow, now)) for flow in established]
        for flow in established:
            self._record_pending_time(flow, now)
        if LOGGER.isEnabledFor(logging.DEBUG):
            self._log_check(checked, now)
        self._report_latencies()
        for flow, condition in checked:
            if flow in self._flow_table:  # a latency report may have migrated its client
                self._end_flow(flow, condition, now)

    def _record_pending_time(self, flow: ActiveFlow, now: float) -> None:
        """Count a line that waits for its reply for so long that its server is slow as a reply delay."""
        pending_time = flow.established_upstream.connection.replies.oldest_pending_time(now)
        if pending_time >= self._slow_latency_threshold:
            self._reply_delays.setdefault(flow.established_upstream.server, []).append(pending_time)

    def _end_flow(self, flow: ActiveFlow, condition: FlowCondition, now: float) -> None:
        """End a flow whose connection is not to be kept."""
        match condition:
            case FlowCondition.UNRESPONSIVE_SERVER:
                # TCP does not detect that a machine has disappeared, so the connection would stay open.
                self._endings.disconnect_unresponsive(flow, now)
            case FlowCondition.STALLED_CLIENT:
                self._endings.disconnect_stalled_client(flow)
            case FlowCondition.IDLE_CLIENT:
                self._endings.migrate(flow.number, MigrationReason.IDLE_CLIENT)

    def _log_check(self, checked: list[CheckedFlow], now: float) -> None:
        for flow, _ in checked:
            _log_transfer(flow, now)
        counts = Counter(condition for _, condition in checked)
        log_event(
            "connections checked",
            logging.DEBUG,
            flows=len(self._flow_table),
            unresponsive=counts[FlowCondition.UNRESPONSIVE_SERVER],
            stalled=counts[FlowCondition.STALLED_CLIENT],
            idle=counts[FlowCondition.IDLE_CLIENT],
        )

    def _report_latencies(self) -> None:
        """Report slow servers to the Director at each check, and once more when they have recovered."""
        for server, delays in self._reply_delays.items():
            delay = median(delays)
            if delay >= self._slow_latency_threshold:
                self._slow_servers.add(server)
            elif server in self._slow_servers:
                self._slow_servers.discard(server)
            else:
                continue
            self._counters["latency_reports"] += 1
            log_event("server slow", logging.DEBUG, server=server, delay_ms=delay, samples=len(delays))
            self._decide(events.LatencyReport(server, delay))
        self._reply_delays = {}


def _condition_of(flow: ActiveFlow, now: float) -> FlowCondition:
    """Return the condition of an established flow's connections."""
    connection = flow.established_upstream.connection
    if connection.is_unresponsive(now):
        return FlowCondition.UNRESPONSIVE_SERVER
    if flow.downstream.stalled_time(now) >= STALLED_PEER_TIMEOUT_MS:
        return FlowCondition.STALLED_CLIENT
    if connection.replies.client_idle_time(now) >= IDLE_CLIENT_TIMEOUT_MS:
        return FlowCondition.IDLE_CLIENT
    return FlowCondition.HEALTHY


def _log_transfer(flow: ActiveFlow, now: float) -> None:
    """Log what either side of an established flow has still to take, and since when its server is silent."""
    connection = flow.established_upstream.connection
    flow.log_step(
        "transfer",
        server=flow.established_upstream.server,
        server_undelivered=connection.undelivered_bytes(),
        server_reads=connection.read_count,
        server_silence_ms=connection.replies.server_silence(now),
        client_undelivered=flow.downstream.undelivered_bytes(),
        client_reads=flow.downstream.read_count,
    )
