"""Records that the routing decisions keep: servers, flows, counts and means.

They hold no decision, no threshold and no constant; those stand in the files listed under `policy` in
deploy/balancer.toml. Times are milliseconds on the host's clock.
"""

import math
import random
from collections import Counter, deque
from dataclasses import dataclass, field

from lotusroute.routing import events


@dataclass(slots=True)
class DecayingMean:
    """A mean in which samples weigh less with age: those within `time_constant`, or the last few if rare.

    Between samples the weight of the past decays, but never under `min_weight`; with a new sample the
    total never exceeds `max_weight`.
    """

    value: float
    time_constant: float
    min_weight: float
    max_weight: float = math.inf
    weight: float = 0.0
    updated_at: float = 0.0

    def add(self, now: float, sample: float) -> None:
        """Take in a sample that was measured `now`."""
        retained = self.weight * math.exp((self.updated_at - now) / self.time_constant)
        self.weight = min(max(self.min_weight, retained), self.max_weight - 1) + 1
        self.value += (sample - self.value) / self.weight
        self.updated_at = now


@dataclass(slots=True)
class DecayingCount:
    """A count of events in which older ones weigh less: e times less after `time_constant`."""

    time_constant: float
    value: float = 0.0
    updated_at: float = 0.0

    def value_at(self, now: float) -> float:
        """Return the count as of `now`."""
        return self.value * math.exp((self.updated_at - now) / self.time_constant)

    def increment(self, now: float) -> None:
        """Count one event."""
        self.value = 1 + self.value_at(now)
        self.updated_at = now


@dataclass(slots=True)
class TickRate:
    """Events in the current tick, and their running mean a tick."""

    count: int = 0
    mean: float = 0.0

    def end_tick(self, gain: float) -> None:
        """Take the tick's count into the mean with the weight `gain`."""
        self.mean += gain * (self.count - self.mean)
        self.count = 0


@dataclass(slots=True)
class ConnectResults:
    """Counts of connects and cut connections that decay by tick."""

    failed: float = 0.0  # or rejected while throttled
    established: float = 0.0
    resets: float = 0.0  # established connections that were cut

    def count_end(self, was_established: bool, result: str) -> None:
        """Count a connect that failed, or a connection that was cut."""
        if was_established:
            self.resets += result == events.ConnectionResult.RESET
        else:
            self.failed += result != events.ConnectionResult.OK

    def decay(self, factor: float) -> None:
        """Multiply all counts by `factor`."""
        self.failed *= factor
        self.established *= factor
        self.resets *= factor


@dataclass(slots=True, eq=False)
class ServerRecord:
    """A server as this balancer knows it: its line of the endpoint list, own connections and findings."""

    id: str
    hash: int
    started_at: float
    first_seen_at: float  # as this process; the director may set it back, so that it does not count as new
    zone: str = ""
    cell: int = 0
    state: str = events.EndpointState.REMOVED  # until its line of the list is read
    size: float = 1.0  # its weight in hashing and in shares of the load
    connections: dict[int, "FlowRecord"] = field(default_factory=dict)  # by flow id
    latency: float = 0.0  # ms, of the last latency report
    migrated_at: float = 0.0  # when clients were last migrated away
    slow_sign_at: float = 0.0  # when the connect of the last sign of slowness was begun
    timely_setups: int = 0  # set-ups in time since it was last overloaded

    failure_score: float = 0.0  # 0 to 1, by failed connects and cut connections
    ejected_until: float = 0.0
    overloaded_until: float = 0.0  # gets no new flows
    deprioritized_until: float = 0.0  # gets new flows only where others cannot serve
    recovering_until: float = 0.0  # gets new flows by admission slots
    confirmed_slow_until: float = 0.0  # its connections are migrated
    setup_time: DecayingMean | None = None  # ms
    recent_setup_time: DecayingMean | None = None  # ms, of the last few
    setup_delay: float = 0.0  # ms by which set-ups in a row were late, added up
    slow_signs: int = 0  # signs of slowness in a row
    last_slot_at: float = -math.inf  # when a flow was last admitted by slot
    last_quota_at: float = 0.0  # when a flow was last admitted by this balancer's own quota
    quota_flows: int = 0  # flows admitted by the own quota

    def __post_init__(self) -> None:
        """Count the own quota from the first sight of the server."""
        self.last_quota_at = self.first_seen_at

    @property
    def usage(self) -> float:
        """Own connections by size."""
        return len(self.connections) / self.size

    @property
    def restricted_until(self) -> float:
        """When the last of the findings that keep new flows away, or limit them, expires."""
        return max(self.ejected_until, self.overloaded_until, self.recovering_until, self.deprioritized_until)

    def update(self, endpoint: events.Server) -> None:
        """Take over what the endpoint list says of it, but for its size and start."""
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.state = endpoint.state

    def restart(self, started_at: float, now: float) -> None:
        """Take the server as a new process: findings about the old one return to their initial values."""
        self.started_at = started_at
        self.first_seen_at = now
        self.failure_score = 0.0
        self.ejected_until = 0.0
        self.overloaded_until = 0.0
        self.deprioritized_until = 0.0
        self.recovering_until = 0.0
        self.confirmed_slow_until = 0.0
        self.setup_time = None
        self.recent_setup_time = None
        self.setup_delay = 0.0
        self.slow_signs = 0
        self.last_slot_at = -math.inf
        self.last_quota_at = now
        self.quota_flows = 0


@dataclass(slots=True, eq=False)
class FlowRecord:
    """A flow that this balancer has not finished."""

    request: events.FlowRequest
    segment: int
    replica: int = 0  # which server of the segment's preference order it is assigned to
    attempted: list[str] = field(default_factory=list)  # ids of servers, in order
    possibly_ran_on: ServerRecord | None = None  # the first server on which it may have run
    possibly_ran_at: float = 0.0  # when that connect was begun
    server: ServerRecord | None = None  # of the last attempt
    attempted_at: float = 0.0
    established: bool = False  # connected, and not asked to migrate
    load: float = 0.0  # work a second, of the last load report

    def begin_attempt(self, server: ServerRecord, now: float) -> None:
        """Record that a connect to `server` begins."""
        self.attempted.append(server.id)
        self.attempted_at = now
        self.server = server
        server.connections[self.request.id] = self

    def restore_connection(self, server: ServerRecord | None) -> None:
        """Record a connection from before the start; its server may be unknown."""
        self.established = True
        self.server = server
        if server is not None:
            server.connections[self.request.id] = self

    def record_possible_run(self) -> None:
        """Record that the attempt may have run, if none before did."""
        if self.possibly_ran_on is None:
            self.possibly_ran_on = self.server
            self.possibly_ran_at = self.attempted_at


@dataclass(slots=True, eq=False)
class RoutingState:
    """All that a director knows. The modules beside decide by it; each says what its fields mean to it."""

    config: events.ServiceConfig
    rng: random.Random
    recent_replicas: deque[tuple[int, int]]  # segments and replicas of the last flows asked for
    recent_arrivals: DecayingCount  # flows asked for

    now: float = 0.0
    actions: list[events.Action] = field(default_factory=list)  # of the event in hand
    ticks: int = 0

    servers: dict[str, ServerRecord] = field(
        default_factory=dict
    )  # removed ones leave with their connections
    ready: list[ServerRecord] = field(default_factory=list)  # as of the last endpoint list
    total_size: float = 1.0  # of the ready servers
    largest_size: float = 1.0
    recently_overloaded: dict[str, ServerRecord] = field(default_factory=dict)
    reconnects_expected_until: float = 0.0  # clients of servers that left the list come back until then
    subscribed: bool = False
    refusals: int = 0  # of polls, in a row
    subscribe_at: float = 0.0

    flows: dict[int, FlowRecord] = field(default_factory=dict)  # unfinished, by id
    flow_counts: Counter[int] = field(default_factory=Counter)  # unfinished, by segment
    preference_orders: dict[int, list[ServerRecord]] = field(default_factory=dict)  # by segment, cached
    overrides: dict[tuple[int, int], ServerRecord] = field(default_factory=dict)  # by segment and replica

    arrivals: TickRate = field(default_factory=TickRate)  # flows asked for
    first_arrivals: TickRate = field(default_factory=TickRate)  # without clients that come back
    connects: ConnectResults = field(default_factory=ConnectResults)
    spill_depth: int = 0  # servers of its order that a segment spills over, set by the director
    setup_deviation: float = 0.0  # mean deviation of the logarithm of set-up times, set by the director
    fleet_setup_time: DecayingMean | None = None  # ms, of all servers
    by_setup_time: list[ServerRecord] = field(default_factory=list)  # the quickest first, as of `sorted_at`
    sorted_at: float = -math.inf

    @property
    def lacks_latency_reports(self) -> bool:
        """Whether no server reports its latency, as on sockets: overload shows in set-up times alone."""
        return not self.config.reports_latency

    @property
    def min_setup_target(self) -> float:
        """The least set-up target of the service types, in ms."""
        return min((kind.setup_target for kind in self.config.service_types.values()), default=0.0)

    def start_event(self, now: float) -> None:
        """Take over the time of an event, and start it with no actions."""
        self.now = now
        self.actions = []

    def count_arrival(self, request: events.FlowRequest) -> None:
        """Count a flow that is asked for."""
        self.arrivals.count += 1
        self.recent_arrivals.increment(self.now)
        if not (request.reconnecting or request.mid_flow):
            self.first_arrivals.count += 1

    def end_tick(self, gain: float, decay: float) -> None:
        """Average arrivals, the last tick's by `gain`, and multiply the counts of connects by `decay`."""
        self.first_arrivals.end_tick(gain)
        self.arrivals.end_tick(gain)
        self.connects.decay(decay)
        self.ticks += 1

    def expire_overloaded(self) -> None:
        """Drop recently overloaded servers whose findings have expired, or that are not ready."""
        for server in list(self.recently_overloaded.values()):
            expired = max(server.recovering_until, server.deprioritized_until) <= self.now
            if expired or server.state != events.EndpointState.READY:
                del self.recently_overloaded[server.id]

    def record_poll(self, accepted: bool) -> None:
        """Record the outcome of the last poll of discovery."""
        self.subscribed = accepted
        self.refusals = 0 if accepted else self.refusals + 1

    def add_server(self, endpoint: events.Server, server_hash: int) -> ServerRecord:
        """Record a new server; its line of the list is still to be read."""
        server = ServerRecord(endpoint.id, server_hash, endpoint.started, self.now)
        self.servers[endpoint.id] = server
        return server

    def mark_unlisted(self, server_ids: set[str]) -> None:
        """Mark the servers that a complete endpoint list does not hold as removed."""
        for server in self.servers.values():
            if server.id not in server_ids:
                server.state = events.EndpointState.REMOVED

    def refresh_ready(self) -> bool:
        """Drop removed servers without connections, and list those that are ready, with their sizes.

        Returns whether a server is not ready any more, or none has been before.
        """
        previous = self.ready
        self.servers = {
            s.id: s for s in self.servers.values() if s.state != events.EndpointState.REMOVED or s.connections
        }
        self.ready = [
            server for server in self.servers.values() if server.state == events.EndpointState.READY
        ]
        self.total_size = sum(server.size for server in self.ready) or 1.0
        self.largest_size = max((server.size for server in self.ready), default=1.0)
        self.preference_orders.clear()
        self.overrides = {
            key: s for key, s in self.overrides.items() if s.state == events.EndpointState.READY
        }
        return not previous or any(server.state != events.EndpointState.READY for server in previous)

    def add_flow(self, request: events.FlowRequest, segment: int) -> FlowRecord:
        """Record a new flow."""
        flow = FlowRecord(request, segment)
        self.flows[request.id] = flow
        self.flow_counts[segment] += 1
        return flow

    def request_migration(self, flow: FlowRecord) -> None:
        """Ask the client of an established connection to leave and come again."""
        flow.established = False
        self.actions.append(events.Migrate(flow.request.id))

    def remove_flow(self, flow: FlowRecord) -> None:
        """Forget a finished flow."""
        del self.flows[flow.request.id]
        self.flow_counts[flow.segment] -= 1
        if not self.flow_counts[flow.segment]:
            del self.flow_counts[flow.segment]
        if flow.server is not None:
            flow.server.connections.pop(flow.request.id, None)
