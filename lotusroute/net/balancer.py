"""The core of one balancer: creates its components and registers which of them handles which event.

Times are milliseconds.
"""

import logging
import random
from collections.abc import Callable, Iterable

from lotusroute.monotonic_clock import MS_PER_SECOND
from lotusroute.net.config import BalancerConfig
from lotusroute.net.discovery.endpoint_list import EndpointUpdate
from lotusroute.net.downstream.events import RequestReceived
from lotusroute.net.event_loop import CoalescedTimer, EventLoop
from lotusroute.net.flows.admission import AdmissionControl
from lotusroute.net.flows.connection_monitor import CHECK_INTERVAL_MS, ConnectionMonitor, PeriodicCheck
from lotusroute.net.flows.context import BalancerContext
from lotusroute.net.flows.draining import MIGRATION_INTERVAL_MS, BatchMigrator, DrainStep, ServerDraining
from lotusroute.net.flows.endpoints import EndpointRegistry
from lotusroute.net.flows.manager import FlowManager
from lotusroute.net.flows.shutdown import GracefulShutdown, PendingWork
from lotusroute.net.flows.startup_gate import StartupGate
from lotusroute.net.flows.table import FlowTable
from lotusroute.net.structured_log import LOGGER, Counters, log_event
from lotusroute.net.transport.line_protocol import ERR
from lotusroute.net.upstream.events import ReplyTimed
from lotusroute.net.upstream.lingering import LingeringUpstreams
from lotusroute.routing import events
from lotusroute.routing.director import Director
from lotusroute.routing.start_times import StartTimes
from lotusroute.timing.poll_limits import MAX_UPDATE_DELAY_S

# Smallest difference between a server's start time in the endpoint list and its corrected one that is logged.
MIN_LOGGED_CORRECTION_MS = 100.0


def _nothing_pending() -> bool:
    return False


class BalancerCore:
    """Passes events between the sockets and the `Director`, which makes the routing decisions."""

    def __init__(self, config: BalancerConfig, counters: Counters) -> None:
        # The caller that opens the sockets sets the next three attributes. `has_pending_answers` returns
        # whether clients that have no flow yet still wait for an answer, `has_undelivered_data` whether a
        # peer has still to receive its last data; `request_complete_list` makes discovery send the complete
        # list again.
        self.has_pending_answers: Callable[[], bool] = _nothing_pending
        self.has_undelivered_data: Callable[[], bool] = _nothing_pending
        self.request_complete_list: Callable[[], None] | None = None
        self.loop = EventLoop(counters)
        self.enqueue = self.loop.enqueue
        self.clock = self.loop.clock
        self.flow_table = FlowTable(self.clock)
        self._counters = counters
        self._drain_timer = CoalescedTimer(self.loop, MIGRATION_INTERVAL_MS, DrainStep())
        self._endpoints = EndpointRegistry(self._drain_timer.schedule)
        self.lingering_upstreams = LingeringUpstreams()
        context = BalancerContext(
            config,
            counters,
            self.loop,
            self.flow_table,
            self._endpoints,
            self._drain_timer,
            self.lingering_upstreams,
        )
        director = Director(config.service, config.seed)
        self._admission = AdmissionControl(config, self.loop, self.flow_table)
        self.flow_manager = FlowManager(context, director, self._admission)
        self._start_times = StartTimes(MAX_UPDATE_DELAY_S * MS_PER_SECOND)
        endings = self.flow_manager.endings
        self._monitor = ConnectionMonitor(
            context, endings, self.flow_manager.decide, director.slow_latency_threshold
        )
        # A separate random number generator, so that migration batches do not affect routing decisions.
        migrator = BatchMigrator(endings.migrate, random.Random(config.seed + 1))
        self._draining = ServerDraining(context, migrator)
        pending_work = PendingWork(self._has_pending_answers, self._has_undelivered_data)
        self._shutdown = GracefulShutdown(context, endings, self._admission, migrator, pending_work)
        self.loop.on_failure = self._recover
        self._gate = StartupGate(self.loop, self.flow_manager.requests)
        self.serving_started = self._gate.open
        self.when_serving = self._gate.when_open
        self._register_handlers()
        self._monitor.start()

    def _register_handlers(self) -> None:
        self.loop.register(self.flow_manager.handlers())
        self.loop.register(self._gate.handlers())
        self.loop.register(
            {
                ReplyTimed: self._monitor.reply_timed,
                PeriodicCheck: self._monitor.check,
                EndpointUpdate: self._endpoints_updated,
                DrainStep: self._drain_step,
            }
        )

    def _has_pending_answers(self) -> bool:
        return self.has_pending_answers()

    def _has_undelivered_data(self) -> bool:
        return self.has_undelivered_data()

    def ready(self) -> bool:
        """Return whether flows can be served."""
        return bool(self._endpoints.addresses) and not self._shutdown.in_progress

    def apply_limits(self, config: BalancerConfig) -> None:
        """Recompute the capacity from the descriptor and memory limits of a new configuration."""
        self._admission.update_capacity(config)

    def stop(self, on_stopped: Callable[[], None]) -> None:
        """Finish the flows in flight and migrate all clients, then call `on_stopped`."""
        self._shutdown.start(on_stopped)
        self._gate.open()

    def _endpoints_updated(self, update: EndpointUpdate) -> None:
        """Apply a list, or changes to it, to the connections and the routing decisions."""
        self._counters["endpoint_updates"] += 1
        self._endpoints.update(update, self.clock())
        self._monitor.retain_servers(self._endpoints.addresses.keys())
        if LOGGER.isEnabledFor(logging.DEBUG):
            _log_update(update)
        self.flow_manager.decide(events.EndpointList(update.scope, self._bound_start_times(update)))
        self.flow_manager.attempts.cancel_unavailable()

    def _bound_start_times(self, update: EndpointUpdate) -> tuple[events.Server, ...]:
        """Return the servers of an update with their start times on this process's clock."""
        now = self.clock()
        previous = update.previous_list_at
        previous_list_at = None if previous is None else self.loop.at_monotonic(previous)
        servers = tuple(
            self._start_times.bound_start_time(server, now, previous_list_at) for server in update.servers
        )
        self._log_bounded_start_times(update.servers, servers)
        return servers

    def _log_bounded_start_times(
        self, reported: Iterable[events.Server], bounded: Iterable[events.Server]
    ) -> None:
        """Log corrected start times, in a single line because a wrong local clock affects all servers."""
        corrections = {
            after.id: after.started_at - before.started_at
            for before, after in zip(reported, bounded, strict=True)
            if abs(after.started_at - before.started_at) >= MIN_LOGGED_CORRECTION_MS
        }
        if corrections:
            self._counters["start_times_bounded"] += len(corrections)
            largest = max(corrections, key=lambda server_id: abs(corrections[server_id]))
            log_event(
                "start times bounded",
                servers=len(corrections),
                server=largest,
                correction_ms=corrections[largest],
            )

    def _drain_step(self, _: DrainStep) -> None:
        """Migrate the next clients of draining servers or, during a shutdown, of this balancer."""
        self._drain_timer.acknowledge()
        now = self.clock()
        self._draining.migrate_clients(now)
        if self._shutdown.in_progress:
            self._shutdown.step(now)
        else:
            self._draining.schedule_next_step()

    def _recover(self, event: object, flow_number: int) -> None:
        """Make up for the work that an event or command left undone because its handler raised."""
        self.flow_manager.endings.fail(flow_number)
        match event:
            case events.TimerFired():
                # Only the handler of this event sets the Director's next timer, without which the Director's
                # periodic work would stop for good. So the event is repeated.
                self.loop.call_later(CHECK_INTERVAL_MS, event)
            case DrainStep():
                # Only the handler of this event schedules the next step of a shutdown, without which the
                # shutdown would never end. So the event is repeated.
                self.loop.call_later(MIGRATION_INTERVAL_MS, event)
            case RequestReceived() if not event.flow_number:
                event.connection.send_final_answer(ERR)
            case EndpointUpdate() if self.request_complete_list is not None:
                # Part of the update may have been applied, but a drain in it not. Discovery does not repeat
                # changes unless the complete list is requested.
                self.request_complete_list()


def _log_update(update: EndpointUpdate) -> None:
    for server in update.servers:
        log_event(
            "endpoint update",
            logging.DEBUG,
            scope=update.scope,
            server=server.id,
            state=server.state,
            started_at=server.started_at,
            cell=server.cell,
        )
