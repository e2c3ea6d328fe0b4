"""The core of one balancer: its parts, put together, and which of them handles which event.

All times are milliseconds.
"""

import logging
import random
from collections.abc import Callable

from lotusroute.monotonic_clock import MS_PER_SECOND
from lotusroute.net.admission import AdmissionControl
from lotusroute.net.config import BalancerConfig
from lotusroute.net.connection_monitor import CHECK_INTERVAL, ConnectionMonitor, PeriodicCheck
from lotusroute.net.downstream import DownstreamClosed, RequestReceived
from lotusroute.net.draining import MIGRATION_INTERVAL, BatchMigrator, DrainStep, ServerDraining
from lotusroute.net.endpoint_list import EndpointUpdate
from lotusroute.net.endpoints import EndpointRegistry
from lotusroute.net.event_loop import CoalescedTimer, EventLoop
from lotusroute.net.existing_connections import RetryExisting
from lotusroute.net.flow_manager import AttemptTimedOut, CloseGraceExpired, FlowManager
from lotusroute.net.flow_table import FlowTable
from lotusroute.net.line_protocol import ERR
from lotusroute.net.poll_schedule import CHANGE_DEADLINE_S
from lotusroute.net.shutdown import GracefulShutdown
from lotusroute.net.structured_log import LOGGER, Counters, log_event
from lotusroute.net.upstream import AttemptEnded, LoadReported, ReceiptReceived, ReplyTimed
from lotusroute.routing import events
from lotusroute.routing.director import Director
from lotusroute.routing.start_times import StartTimes

MIN_LOGGED_CORRECTION = 100.0  # ms by which a server's start is not as the endpoint list has it


def _no_pending_answers() -> bool:
    return False


class BalancerCore:
    """Everything between the sockets and the Director."""

    def __init__(self, config: BalancerConfig, counters: Counters) -> None:
        self._counters = counters
        director = Director(config.service, config.seed)
        rng = random.Random(config.seed + 1)  # its own sequence: what is sampled here shifts no decision
        self.loop = EventLoop(counters)
        self.enqueue = self.loop.enqueue
        self.clock = self.loop.clock
        self.has_pending_answers: Callable[[], bool] = (
            _no_pending_answers  # whether clients without a flow are owed an answer
        )
        self.request_complete_list: Callable[[], None] | None = (
            None  # asks discovery for the complete list again
        )
        self.flow_table = FlowTable(self.clock)
        self._drain_timer = CoalescedTimer(self.loop, MIGRATION_INTERVAL, DrainStep())
        self._endpoints = EndpointRegistry(self._drain_timer.schedule)
        self._admission = AdmissionControl(config, self.loop, self.flow_table)
        self.flow_manager = FlowManager(
            config,
            counters,
            self.loop,
            director,
            self.flow_table,
            self._admission,
            self._endpoints,
            self._drain_timer,
        )
        self._start_times = StartTimes(CHANGE_DEADLINE_S * MS_PER_SECOND)
        self._monitor = ConnectionMonitor(
            counters, self.loop, self.flow_manager, self.flow_table, director.slow_latency_threshold
        )
        migrator = BatchMigrator(self.flow_manager, rng)
        self._draining = ServerDraining(self.flow_table, self._endpoints, migrator, self._drain_timer)
        self._shutdown = GracefulShutdown(
            config,
            self.loop,
            self.flow_manager,
            self.flow_table,
            self._admission,
            migrator,
            self._drain_timer,
            self._has_pending_answers,
        )
        self._register_handlers()
        self._monitor.start()

    def _register_handlers(self) -> None:
        flows = self.flow_manager
        self.loop.on_failure = self._recover
        self.loop.register(
            {
                RequestReceived: flows.request_received,
                ReceiptReceived: flows.receipt_received,
                AttemptEnded: flows.attempt_ended,
                AttemptTimedOut: flows.attempt_timed_out,
                DownstreamClosed: flows.client_disconnected,
                LoadReported: flows.load_reported,
                RetryExisting: flows.retry_existing,
                CloseGraceExpired: flows.close_grace_expired,
                events.TimerFired: flows.decide,
                events.ClientDisconnected: flows.decide,
                ReplyTimed: self._monitor.reply_timed,
                PeriodicCheck: self._monitor.check,
                EndpointUpdate: self._endpoints_updated,
                DrainStep: self._drain_step,
            }
        )

    def ready(self) -> bool:
        """Whether flows can be served."""
        return bool(self._endpoints.addresses) and not self._shutdown.in_progress

    def apply_limits(self, config: BalancerConfig) -> None:
        """Set the capacity by the descriptors and the memory of a new configuration."""
        self._admission.resize(config)

    def stop(self, on_stopped: Callable[[], None]) -> None:
        """Finish the flows in flight and migrate all clients; call `on_stopped` when they are gone."""
        self._shutdown.start(on_stopped)

    def _has_pending_answers(self) -> bool:
        return self.has_pending_answers()

    def _endpoints_updated(self, event: EndpointUpdate) -> None:
        """Apply a list, or changes to it, to connections and decisions."""
        self._counters["endpoint_updates"] += 1
        self._endpoints.update(event, self.clock())
        self._monitor.retain_servers(self._endpoints.addresses.keys())
        if LOGGER.isEnabledFor(logging.DEBUG):
            _log_endpoints(event)
        self.flow_manager.decide(events.EndpointList(event.scope, self._bound_starts(event)))
        self.flow_manager.cancel_unavailable_attempts()

    def _bound_starts(self, update: EndpointUpdate) -> tuple[events.Server, ...]:
        """Return the servers of an update with their starts on our clock."""
        now = self.clock()
        previous = update.previous_list_at
        previous_list_at = None if previous is None else self.loop.at_monotonic(previous)
        servers = tuple(self._start_times.bound(server, now, previous_list_at) for server in update.servers)
        self._report_bounded_starts(update.servers, servers)
        return servers

    def _report_bounded_starts(
        self, reported: tuple[events.Server, ...], bounded: tuple[events.Server, ...]
    ) -> None:
        """Log, in one line for a whole list, starts that differ: a wrong clock of ours concerns them all."""
        corrections = {
            after.id: after.started_at - before.started_at
            for before, after in zip(reported, bounded, strict=True)
            if abs(after.started_at - before.started_at) >= MIN_LOGGED_CORRECTION
        }
        if corrections:
            self._counters["start_times_bounded"] += len(corrections)
            largest = max(corrections, key=lambda server_id: abs(corrections[server_id]))
            log_event(
                "start times bounded", servers=len(corrections), server=largest, by=corrections[largest]
            )

    def _drain_step(self, _: DrainStep) -> None:
        """Migrate the next clients whose server, or whose balancer, leaves."""
        self._drain_timer.acknowledge()
        now = self.clock()
        self._draining.migrate_clients(now)
        if self._shutdown.in_progress:
            self._shutdown.step(now)
        else:
            self._draining.schedule_next_step()

    def _recover(self, event: object, flow_number: int) -> None:
        """Repair what an event or a command left undone when its handling raised an exception."""
        self.flow_manager.fail(flow_number)
        if isinstance(event, events.TimerFired):
            # Without its next one the Director's upkeep would stop for good.
            self.loop.call_later(CHECK_INTERVAL, event)
        elif isinstance(event, DrainStep):
            # Without its next one the shutdown would never end.
            self.loop.call_later(MIGRATION_INTERVAL, event)
        elif isinstance(event, RequestReceived) and not event.flow_id:
            event.connection.send_final_answer(ERR)
        elif isinstance(event, EndpointUpdate) and self.request_complete_list is not None:
            # Part of it may have been applied, a drain not: it is not sent again unless asked for.
            self.request_complete_list()


def _log_endpoints(event: EndpointUpdate) -> None:
    for server in event.servers:
        log_event(
            "endpoint update",
            logging.DEBUG,
            scope=event.scope,
            server=server.id,
            state=server.state,
            at=server.started_at,
            cell=server.cell,
        )
