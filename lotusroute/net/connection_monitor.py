"""The periodic check of open connections: slow servers, unresponsive servers and idle clients.

Owns the reply delays measured since the last check and the set of servers reported as slow. All times are
milliseconds.
"""

import logging
from collections.abc import Set
from statistics import median
from typing import NamedTuple

from lotusroute.net.event_loop import EventLoop
from lotusroute.net.flow import ActiveFlow
from lotusroute.net.flow_manager import FlowManager
from lotusroute.net.flow_table import FlowTable
from lotusroute.net.reasons import MigrationReason
from lotusroute.net.structured_log import LOGGER, Counters, log_event
from lotusroute.net.upstream import ReplyTimed
from lotusroute.routing import events

CHECK_INTERVAL = 1_000.0  # ms; servers are judged slow by the second
UNRESPONSIVE_TIMEOUT = 2_500.0  # ms without a line though one waits: servers reply at once, clients bear 7 s
IDLE_CLIENT_TIMEOUT = 60_000.0  # ms without a line from a client that sent some, usually one every 2 s


class PeriodicCheck(NamedTuple):
    """It is time to check the open connections."""


class ConnectionMonitor:
    """Checks all established connections once a second."""

    def __init__(
        self,
        counters: Counters,
        loop: EventLoop,
        flows: FlowManager,
        table: FlowTable,
        slow_latency_threshold: float,
    ) -> None:
        self._counters = counters
        self._loop = loop
        self._flows = flows
        self._table = table
        # ms of delay from which the Director takes a server as slow
        self._slow_latency_threshold = slow_latency_threshold
        self._reply_delays: dict[str, list[float]] = {}  # by server, since the last check
        self._slow_servers: set[str] = set()  # reported as slow, and not yet as recovered

    def start(self) -> None:
        """Schedule the next check."""
        self._loop.call_later(CHECK_INTERVAL, PeriodicCheck())
        self._loop.clock_monitor.expect_timer(CHECK_INTERVAL)

    def reply_timed(self, event: ReplyTimed) -> None:
        """Record how long a server took to reply to a client's line."""
        self._reply_delays.setdefault(event.server, []).append(event.delay)

    def retain_servers(self, servers: Set[str]) -> None:
        """Forget servers that are no longer in the endpoint list."""
        self._slow_servers &= servers

    def check(self, _: PeriodicCheck) -> None:
        """Report slow servers, then migrate clients that are idle or whose server is unresponsive."""
        self.start()
        now = self._loop.clock()
        self._table.expire_closed_ids(now)
        unresponsive: list[ActiveFlow] = []
        idle: list[ActiveFlow] = []
        for flow in self._table:
            if not flow.established or flow.upstream is None:
                continue
            waited = flow.upstream.oldest_wait(now)
            if waited >= self._slow_latency_threshold:
                self._reply_delays.setdefault(flow.upstream.server, []).append(waited)
            if flow.upstream.server_silence(now) >= UNRESPONSIVE_TIMEOUT:
                unresponsive.append(flow)
            elif flow.upstream.client_idle_time(now) >= IDLE_CLIENT_TIMEOUT:
                idle.append(flow)
        if LOGGER.isEnabledFor(logging.DEBUG):
            log_event(
                "connections checked",
                logging.DEBUG,
                flows=len(self._table),
                unresponsive=len(unresponsive),
                idle=len(idle),
            )
        self._report_latencies()
        for flow in idle:
            self._flows.migrate(flow.number, MigrationReason.IDLE_CLIENT)
        for flow in unresponsive:
            # A machine that has vanished sends nothing, and TCP does not notice.
            self._flows.disconnect_unresponsive(flow, now)

    def _report_latencies(self) -> None:
        """Report slow servers to the Director: at each check while they are slow, and once after."""
        for server, delays in self._reply_delays.items():
            delay = median(delays)
            if delay >= self._slow_latency_threshold:
                self._slow_servers.add(server)
            elif server in self._slow_servers:
                self._slow_servers.discard(server)
            else:
                continue
            self._counters["latency_reports"] += 1
            log_event("server slow", logging.DEBUG, server=server, delay=delay, of=len(delays))
            self._flows.decide(events.LatencyReport(server, delay))
        self._reply_delays = {}
