"""Simulates a fleet of directors with their clients and servers, while some servers are replaced.

A director is the routing logic of one balancer. All directors run in one process, in virtual time (ms). The
simulation records the connects to new servers.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from lotusroute.routing import events
from lotusroute.routing.director import Director

# Time from the start to the first replacement, within which the number of connections and the averages of the
# directors become steady.
STABILIZATION_MS = 16_000.0
OBSERVATION_MS = 24_000.0  # time from the first replacement to the end of the simulation
SLOW_START_MS = 18_000.0
SLOW_START_SHARE = 0.2
SLOW_START_BURST = 3.0  # multiple of its capacity above which a server is overloaded
MEAN_LIFETIME_MS = 12_000.0  # mean lifetime of a connection
FLOWS_PER_SERVER_PER_S = 1.2  # mean rate of new clients, divided by the number of servers
SETUP_MS = 5.0  # time from the connect until the flow is established
FLOW_DEADLINE_MS = 1_800.0  # time from a flow's request to its deadline
# Number of times that a client whose flow is rejected or aborted retries. Reconnecting after an established
# connection has been closed counts as the first time.
CLIENT_RETRIES = 3
# Time until a client retries if the balancer gives no time to retry after, before it is varied at random.
CLIENT_BACKOFF_MS = 200.0
CONNECTION_STORM_MS = 3_000.0  # time from the first replacement until connections are reset
DRAIN_MS = 1_000.0  # time within which the connections of a replaced server are closed


class Replacement(NamedTuple):
    """The part of the servers that is replaced, one after the other within `duration_ms`."""

    server_fraction: float
    duration_ms: float


REPLACEMENTS = {"one-of-eight": Replacement(1 / 8, 1.0), "six-of-ten": Replacement(0.6, 7_000.0)}


class Case(NamedTuple):
    """A fleet, its clients, and what happens to its servers and connections during a run."""

    directors: int
    skewed: bool  # every eighth balancer gets six times the flows of the others
    replacement: str  # a key of REPLACEMENTS
    groups: int  # number of groups that the clients belong to; 0: clients have no group
    connection_storm: bool  # a third of all connections are reset at once, and their clients reconnect

    @property
    def server_count(self) -> int:
        """The number of servers, which grows with the number of balancers."""
        if self.directors <= 5:
            return 12
        if self.directors <= 30:
            return 30
        return 60

    def as_row(self) -> dict[str, object]:
        """Return the case as columns of the output."""
        return {
            "directors": self.directors,
            "skewed": self.skewed,
            "replacement": self.replacement,
            "groups": self.groups,
            "connection_storm": self.connection_storm,
        }


class Connection(NamedTuple):
    """An established flow."""

    director: int
    server: str
    client: int


class Attempt(NamedTuple):
    """A requested flow that is not established yet."""

    client: int
    retries: int


class ScheduledCall(NamedTuple):
    """A call that is due at a time of the simulation; sorted by that time, then by `order`."""

    due_at: float
    order: int
    call: Callable[[], None]


class Simulation:
    """A discrete-event simulation of the directors, their clients and their servers."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        service_config = events.ServiceConfig(
            {"live": events.ServiceType(300.0)},
            instance_count=case.directors,
            groups_share_work=case.groups > 0,
            trusts_weights=False,
            max_attempts=4,
            max_retry_after=1_000.0,
            slow_start_share=SLOW_START_SHARE,
            slow_start_duration=SLOW_START_MS,
            slow_start_burst=SLOW_START_BURST,
        )
        self.directors = [
            Director(service_config._replace(instance_index=index), seed * 1_000 + index)
            for index in range(case.directors)
        ]
        self.flow_weights = [
            6.0 if case.skewed and index % 8 == 0 else 1.0 for index in range(case.directors)
        ]
        self.now = 0.0
        self.scheduled_calls: list[ScheduledCall] = []  # a heap, with the next call first
        self.scheduled_count = 0
        self.last_id = 0  # the last id given to a flow or a client; all ids are from one sequence
        self.attempts: dict[int, Attempt] = {}  # flows that are not established yet, by flow id
        self.connections: dict[int, Connection] = {}  # established flows, by flow id
        self.started_at: dict[str, float] = {}  # start time of each new server, by server id
        self.connects: dict[str, list[float]] = {}  # times of the connects to each new server, by server id
        self.counters: Counter[str] = Counter()

    def schedule(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call; calls at the same time are made in the order in which they were scheduled."""
        self.scheduled_count += 1
        heapq.heappush(self.scheduled_calls, ScheduledCall(self.now + delay, self.scheduled_count, call))

    def run(self) -> None:
        """Run the simulation to its end."""
        names = [f"s{index}" for index in range(self.case.server_count)]
        endpoints = events.EndpointList(
            events.ListScope.COMPLETE, tuple(events.Server(name) for name in names)
        )
        for director in range(len(self.directors)):
            self.decide(director, endpoints)
        self.schedule(0.0, self._start_next_client)
        self._schedule_replacements(names)
        if self.case.connection_storm:
            self.schedule(STABILIZATION_MS + CONNECTION_STORM_MS, self._reset_connections)
        while self.scheduled_calls and self.scheduled_calls[0].due_at <= STABILIZATION_MS + OBSERVATION_MS:
            scheduled = heapq.heappop(self.scheduled_calls)
            self.now = scheduled.due_at
            scheduled.call()

    def decide(self, director: int, event: events.Event) -> None:
        """Pass an event to a director and carry out the actions that it returns."""
        for action in self.directors[director].decide(self.now, event):
            match action:
                case events.Connect():
                    if action.server in self.started_at:
                        self.connects[action.server].append(self.now)
                    self.schedule(SETUP_MS, partial(self._establish, director, action.id, action.server))
                case events.Reject() | events.Abort():
                    self._retry(action)
                case events.Migrate():
                    self._close_connection(
                        action.id, events.ConnectionResult.CANCELLED, self.rng.uniform(50.0, 500.0)
                    )
                case events.SetTimer():
                    self.schedule(
                        action.delay, partial(self.decide, director, events.TimerFired(action.name))
                    )

    # Clients

    def _start_next_client(self) -> None:
        flows_per_ms = FLOWS_PER_SERVER_PER_S * self.case.server_count / 1_000
        self.schedule(self.rng.expovariate(flows_per_ms), self._start_next_client)
        self.last_id += 1
        self._open_flow(self.last_id, 0)

    def _open_flow(self, client: int, retries: int) -> None:
        self.counters["requested"] += 1
        director = self.rng.choices(range(len(self.directors)), self.flow_weights)[0]
        self.last_id += 1
        flow = self.last_id
        self.attempts[flow] = Attempt(client, retries)
        self.decide(
            director,
            events.FlowRequest(
                flow,
                "live",
                None,
                self._group(client),
                f"k{client}",
                self.now + FLOW_DEADLINE_MS,
                reconnecting=retries > 0,
            ),
        )

    def _group(self, client: int) -> str | None:
        if not self.case.groups:
            return None
        # Groups differ in size: the first of ten has as many clients as the last three together.
        return f"g{int(self.case.groups * random.Random(client).random() ** 1.5)}"

    def _retry(self, action: events.Reject | events.Abort) -> None:
        client, retries = self.attempts.pop(action.id)
        if retries >= CLIENT_RETRIES:
            self.counters["lost"] += 1
            return
        backoff = getattr(action, "retry_after", 0.0) or CLIENT_BACKOFF_MS
        self.schedule(backoff * self.rng.uniform(0.9, 1.3), partial(self._open_flow, client, retries + 1))

    # Connections

    def _establish(self, director: int, flow: int, server: str) -> None:
        client, _ = self.attempts.pop(flow)
        self.counters["established"] += 1
        self.connections[flow] = Connection(director, server, client)
        self.decide(director, events.Established(flow, server))
        self.schedule(self.rng.expovariate(1 / MEAN_LIFETIME_MS), partial(self._end_connection, flow))

    def _end_connection(self, flow: int) -> None:
        if flow in self.connections:
            connection = self.connections.pop(flow)
            ended = events.ConnectionEnded(flow, connection.server, True, events.ConnectionResult.OK)
            self.decide(connection.director, ended)

    def _close_connection(self, flow: int, result: events.ConnectionResult, reconnect_delay: float) -> None:
        """End a connection; its client reconnects after the delay."""
        if flow in self.connections:
            connection = self.connections.pop(flow)
            ended = events.ConnectionEnded(flow, connection.server, True, result)
            self.decide(connection.director, ended)
            self.schedule(reconnect_delay, partial(self._open_flow, connection.client, 1))

    def _reset_connections(self) -> None:
        for flow in list(self.connections):
            if self.rng.random() < 1 / 3:
                self._close_connection(flow, events.ConnectionResult.RESET, self.rng.uniform(50.0, 1_500.0))

    # Servers

    def _schedule_replacements(self, names: list[str]) -> None:
        replacement = REPLACEMENTS[self.case.replacement]
        count = max(1, round(replacement.server_fraction * len(names)))
        for index in range(count):
            offset = replacement.duration_ms * index / count if count > 1 else 0.0
            replace = partial(self._replace_server, names[index], f"c{index}")
            self.schedule(STABILIZATION_MS + offset, replace)

    def _replace_server(self, old: str, new: str) -> None:
        self.started_at[new] = self.now
        self.connects[new] = []
        changes = (
            events.Server(old, state=events.EndpointState.DRAINING),
            events.Server(new, started_at=self.now),
        )
        for director in range(len(self.directors)):
            self.decide(director, events.EndpointList(events.ListScope.CHANGES, changes))
        for flow, connection in list(self.connections.items()):
            if connection.server == old:
                closing_delay = self.rng.uniform(0.0, DRAIN_MS)
                reconnect_delay = self.rng.uniform(50.0, 500.0)
                close = partial(
                    self._close_connection, flow, events.ConnectionResult.CANCELLED, reconnect_delay
                )
                self.schedule(closing_delay, close)
