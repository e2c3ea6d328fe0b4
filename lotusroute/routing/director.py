"""The one entry point of all routing decisions; each concern has a module beside, state.py their records."""

import random
from collections import deque

from lotusroute.routing import events, migration, outlier_detection, retries, segments, slow_start
from lotusroute.routing.state import DecayingCount, FlowRecord, RoutingState

REBALANCE_TICKS = 5  # ticks between rebalancing, 5 s as in the paper; without latency reports each tick
DEPARTURE_GRACE = 5_000.0  # ms after a server left: clients are back within two, the list is seconds late
SUBSCRIBE_BACKOFF = 500.0  # ms: first wait after a refused poll; doubles up to half of the poll interval


class Director:
    """The decisions of one balancer for one service. It is pure: the host brings clock, seed and events."""

    def __init__(self, config: events.ServiceConfig, seed: int) -> None:
        recent_replicas: deque[tuple[int, int]] = deque(maxlen=segments.RECENT_FLOWS)
        recent_arrivals = DecayingCount(slow_start.SLOT_ROUND)
        self.state = RoutingState(config, random.Random(seed), recent_replicas, recent_arrivals)
        self.state.setup_deviation = outlier_detection.INITIAL_SETUP_DEVIATION
        self.state.spill_depth = segments.SPILL_DEPTH

    @property
    def slow_latency_threshold(self) -> float:
        """Latency in ms from which a server is slow, for the host that measures it."""
        return outlier_detection.slow_latency(self.state)

    def decide(self, now: float, event: events.Event) -> list[events.Action]:
        """Take one event and return the actions it calls for, in order."""
        self.state.start_event(now)
        if not isinstance(event, events.FlowEvent):
            self._handle(event)
        elif (flow := self.state.flows.get(event.id)) is not None:
            self._update_flow(flow, event)
        return self.state.actions

    def _handle(self, event: events.Event) -> None:
        match event:
            case events.EndpointList():
                self._update_endpoints(event)
            case events.FlowRequest():
                self.state.count_arrival(event)
                self._attempt(segments.register(self.state, event))
            case events.ExistingConnection():
                self._restore_connection(event)
            case events.LatencyReport(server=server_id) if server_id in self.state.servers:
                outlier_detection.record_latency(self.state, self.state.servers[server_id], event.delay)
            case events.TimerFired():
                self._run_tick()
            case _ if not isinstance(event, events.LatencyReport):  # one of a server that is gone
                raise TypeError(f"unknown event {event!r}")

    def _update_flow(self, flow: FlowRecord, event: events.FlowEvent) -> None:
        match event:
            case events.Established():
                flow.established = True
                self.state.connects.established += 1
                if flow.server is not None:
                    outlier_detection.record_setup(self.state, flow.server, flow)
            case events.ConnectionEnded():
                self._end_connection(flow, event)
            case events.ClientDisconnected():
                self.state.remove_flow(flow)
            case events.LoadReport():
                flow.load = event.load

    def _update_endpoints(self, event: events.EndpointList) -> None:
        state = self.state
        if event.scope == events.ListScope.REJECTED:
            # A broken subscription goes unnoticed unless renewed; all renewing at once breaks it again.
            state.record_poll(accepted=False)
            wait = min(state.config.poll_interval / 2, SUBSCRIBE_BACKOFF * 2**state.refusals)
            state.subscribe_at = state.now + state.rng.uniform(0.2, 1.0) * wait
            return
        if not state.ticks:
            state.ticks = 1
            state.actions.append(events.SetTimer(state.rng.uniform(0.0, slow_start.TICK_INTERVAL), "tick"))
        elif state.config.polls_discovery:
            state.record_poll(accepted=True)
        if event.scope != events.ListScope.CHANGES:
            state.mark_unlisted({endpoint.id for endpoint in event.servers})
        for endpoint in event.servers:
            self._update_server(endpoint)
        if state.refresh_ready() and state.lacks_latency_reports:
            # Who comes back now may come from those that left, or from another balancer that died with us.
            state.reconnects_expected_until = state.now + DEPARTURE_GRACE

    def _update_server(self, endpoint: events.Server) -> None:
        state = self.state
        server = state.servers.get(endpoint.id)
        if server is None:
            if endpoint.state == events.EndpointState.REMOVED:
                return
            server = state.add_server(endpoint, segments.hash_text(endpoint.id))
            if state.lacks_latency_reports and state.ticks <= 1:
                # On sockets those of the first list are not new: one stood idle beside 29 connections.
                server.first_seen_at -= segments.NEW_SERVER_PERIOD
        elif endpoint.started != server.started_at:
            server.restart(endpoint.started, state.now)
        server.update(endpoint)
        # Squared: a heavy connection and its group's cost are little to a large server, half of a small one.
        server.size = endpoint.size**2 if state.config.trusts_weights and endpoint.size > 0 else 1.0

    def _attempt(self, flow: FlowRecord) -> None:
        """Connect a flow to a server, or reject it."""
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
        flow = segments.register(state, event.request)
        server = state.servers.get(event.server)
        flow.restore_connection(server)
        if (
            server is not None
            and state.config.groups_share_work
            and server.state == events.EndpointState.READY
        ):
            # Groups that stood elsewhere than their defaults were paid for twice: 12 places became 25.
            state.overrides[flow.segment, flow.replica] = server

    def _end_connection(self, flow: FlowRecord, event: events.ConnectionEnded) -> None:
        self.state.connects.count_end(flow.established, event.result)
        if flow.server is not None:
            outlier_detection.record_result(self.state, flow.server, flow, event.result)
            flow.server.connections.pop(event.id, None)
        if event.final:
            self.state.remove_flow(flow)
            return
        if event.result not in events.NEVER_RAN:
            flow.record_possible_run()
        self._attempt(flow)

    def _run_tick(self) -> None:
        state = self.state
        state.actions.append(events.SetTimer(slow_start.TICK_INTERVAL, "tick"))
        state.end_tick(max(slow_start.RATE_GAIN, 1 / state.ticks), 1 - slow_start.RATE_GAIN)
        if state.config.polls_discovery and not state.subscribed and state.now >= state.subscribe_at:
            state.subscribe_at = state.now + state.config.poll_interval / 2
            state.actions.append(events.Subscribe())
        state.expire_overloaded()
        migration.migrate(state)
        retries.update_spill_depth(state)
        if state.lacks_latency_reports or not state.ticks % REBALANCE_TICKS:
            segments.rebalance(state)
