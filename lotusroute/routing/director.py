"""The director: the entry point of the routing logic. Each kind of decision has its own module."""

import random
from collections import deque

from lotusroute.routing import (
    events,
    failure_detection,
    migration,
    overload_detection,
    retries,
    segments,
    server_selection,
    slow_start,
)
from lotusroute.routing.errors import UnknownEventError
from lotusroute.routing.records import FlowRecord, ServerRecord
from lotusroute.routing.state import TICK_INTERVAL_MS, FleetSetupTimes, RoutingState
from lotusroute.routing.statistics import DecayingCount

# Weight of the last tick in moving averages and in decaying counts, which thus cover about ten ticks.
RATE_GAIN = 0.1
# Ticks between rebalancing steps: 5 s, as in SlimeMold. Without latency reports, each tick rebalances.
REBALANCE_INTERVAL_TICKS = 5
# Time after a server has left the endpoint list in which reconnects of its clients are expected. Clients
# reconnect within 2 s, but endpoint lists arrive seconds late.
RECONNECT_PERIOD_MS = 5_000.0
# Base of the subscription backoff, which doubles with each consecutive rejected poll. The backoff is at most
# half of the poll interval.
SUBSCRIBE_BACKOFF_MS = 500.0
TICK_TIMER = "tick"  # name of the periodic timer


class Director:
    """Makes the routing decisions of one balancer for one service.

    A director does no I/O and reads no clock: its host passes in a seed and the events with their times, and
    carries out the returned actions. The same seed and events always give the same actions.
    """

    def __init__(self, config: events.ServiceConfig, seed: int) -> None:
        self.state = RoutingState(
            config=config,
            rng=random.Random(seed),
            recent_replicas=deque(maxlen=segments.MAX_RECENT_FLOWS),
            recent_arrivals=DecayingCount(slow_start.SLOT_PERIOD_MS),
            fleet_setup_times=FleetSetupTimes(overload_detection.INITIAL_SETUP_DEVIATION),
            spill_depth=segments.SPILL_DEPTH,
        )

    @property
    def slow_latency_threshold(self) -> float:
        """The latency in ms at or above which a server is slow, for hosts that measure latencies."""
        return overload_detection.slow_latency_threshold(self.state)

    def decide(self, now: float, event: events.Event) -> list[events.Action]:
        """Handle an event that happened at `now`; return the actions to carry out, in order.

        Events of flows that have ended are ignored.
        """
        self.state.start_event(now)
        if not isinstance(event, events.FlowEvent):
            self._handle_event(event)
        elif (flow := self.state.flows.get(event.id)) is not None:
            self._handle_flow_event(flow, event)
        return self.state.actions

    def _handle_event(self, event: events.Event) -> None:
        match event:
            case events.EndpointList():
                self._handle_endpoint_list(event)
            case events.FlowRequest():
                self.state.count_arrival(event)
                self._start_next_attempt(segments.register_flow(self.state, event))
            case events.ExistingConnection():
                self._restore_connection(event)
            case events.LatencyReport():
                self._record_latency(event)
            case events.TimerFired():
                self._run_tick()
            case _:
                raise UnknownEventError(event)

    def _handle_flow_event(self, flow: FlowRecord, event: events.FlowEvent) -> None:
        match event:
            case events.Established():
                self._record_established(flow)
            case events.ConnectionEnded():
                self._end_connection(flow, event)
            case events.ClientDisconnected():
                self.state.remove_flow(flow)
            case events.LoadReport():
                flow.load = event.load

    # Endpoint lists

    def _handle_endpoint_list(self, event: events.EndpointList) -> None:
        state = self.state
        if event.scope == events.ListScope.REJECTED:
            self._back_off_subscription()
            return
        if not state.ticks:
            # The first list starts the periodic timer, at a random phase.
            state.ticks = 1
            state.actions.append(events.SetTimer(state.rng.uniform(0.0, TICK_INTERVAL_MS), TICK_TIMER))
        elif state.config.polls_discovery:
            state.subscription.record_poll(accepted=True)
        if event.scope != events.ListScope.CHANGES:
            state.mark_unlisted({endpoint.id for endpoint in event.servers})
        for endpoint in event.servers:
            self._update_server(endpoint)
        expects_reconnects = state.refresh_ready_servers()
        if expects_reconnects and state.lacks_latency_reports:
            # Clients that reconnect now may come from a server that left the list or, after a restart of this
            # balancer, from another balancer that failed at the same time.
            state.reconnects_expected_until = state.now + RECONNECT_PERIOD_MS

    def _back_off_subscription(self) -> None:
        """Schedule the next subscription with random backoff.

        Nothing else shows that a subscription is broken, so it must be renewed. If all balancers renewed at
        once, discovery would reject the polls again.
        """
        state, subscription = self.state, self.state.subscription
        subscription.record_poll(accepted=False)
        backoff = min(state.config.poll_interval / 2, SUBSCRIBE_BACKOFF_MS * 2**subscription.rejections)
        subscription.renew_at = state.now + state.rng.uniform(0.2, 1.0) * backoff

    def _update_server(self, endpoint: events.Server) -> None:
        state = self.state
        server = state.servers.get(endpoint.id)
        if server is None:
            if endpoint.state == events.EndpointState.REMOVED:
                return
            server = self._add_server(endpoint)
        elif endpoint.started_at != server.started_at:
            server.restart(endpoint.started_at, state.now)
        server.update(endpoint)
        # The weight is squared, since a heavy connection and the shared work of its group need little of a
        # large server, but half of a small one.
        server.weight = endpoint.weight**2 if state.config.trusts_weights and endpoint.weight > 0 else 1.0

    def _add_server(self, endpoint: events.Server) -> ServerRecord:
        server = self.state.add_server(endpoint, segments.hash_text(endpoint.id))
        if self.state.lacks_latency_reports and self.state.ticks <= 1:
            # Servers of the first list are not treated as new. Rebalancing ignores new servers, so a server
            # could stay idle next to one with 29 connections.
            server.first_seen_at -= segments.NEW_SERVER_PERIOD_MS
        return server

    # Flows

    def _start_next_attempt(self, flow: FlowRecord) -> None:
        """Start the flow's next connection attempt; if there is none, send the final answer."""
        server = retries.next_server(self.state, flow)
        if isinstance(server, events.RejectReason):
            self.state.actions.append(retries.final_answer(self.state, flow, server))
            self.state.remove_flow(flow)
            return
        timeout = retries.attempt_timeout(self.state, flow)
        flow.begin_attempt(server, self.state.now)
        self.state.actions.append(events.Connect(flow.request.id, server.id, timeout))

    def _restore_connection(self, event: events.ExistingConnection) -> None:
        state = self.state
        flow = segments.register_flow(state, event.request)
        server = state.servers.get(event.server)
        flow.restore_connection(server)
        if server is None or server.state != events.EndpointState.READY:
            return
        if state.config.groups_share_work:
            # Assign the group to this server, so that its new clients share the work already done there.
            # Otherwise, the default servers would repeat the work of groups that are on other servers: 12
            # pairs of a group and a server that works for it would become 25.
            state.overrides[flow.segment, flow.replica] = server

    def _record_established(self, flow: FlowRecord) -> None:
        flow.established = True
        self.state.connects.established += 1
        if flow.server is not None:
            failure_detection.record_success(flow.server)
            overload_detection.record_setup(self.state, flow.server, flow)

    def _end_connection(self, flow: FlowRecord, event: events.ConnectionEnded) -> None:
        self.state.connects.count_end(flow.established, event.result)
        if flow.server is not None:
            failure_detection.record_result(self.state, flow.server, event.result, flow.established)
            flow.server.connections.pop(event.id, None)
        if event.final:
            self.state.remove_flow(flow)
            return
        if event.result not in events.NEVER_RAN:
            flow.record_possible_run()
        self._start_next_attempt(flow)

    # Reports and ticks

    def _record_latency(self, event: events.LatencyReport) -> None:
        """Record a latency report; ignored if the server has been removed."""
        server = self.state.servers.get(event.server)
        if server is not None:
            overload_detection.record_latency(self.state, server, event.latency)

    def _run_tick(self) -> None:
        state = self.state
        state.actions.append(events.SetTimer(TICK_INTERVAL_MS, TICK_TIMER))
        # During the first 1 / RATE_GAIN ticks, a rate is the plain mean of all ticks so far.
        state.end_tick(max(RATE_GAIN, 1 / state.ticks), 1 - RATE_GAIN)
        self._renew_subscription()
        state.prune_recently_overloaded()
        migration.migrate(state)
        server_selection.update_spill_depth(state)
        if state.lacks_latency_reports or not state.ticks % REBALANCE_INTERVAL_TICKS:
            segments.rebalance(state)

    def _renew_subscription(self) -> None:
        state, subscription = self.state, self.state.subscription
        if state.config.polls_discovery and not subscription.active and state.now >= subscription.renew_at:
            subscription.renew_at = state.now + state.config.poll_interval / 2
            state.actions.append(events.Subscribe())
