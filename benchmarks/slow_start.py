"""The sum of what all balancers send to servers in slow start, beside what the settings allow these.

A fleet of Directors runs in one process and in virtual time (ms). Flows are fed to it, and the connects to
each new server are counted in every window. The count uses nothing that a Director reports.

    python benchmarks/slow_start.py --directors 30 --cold six-of-ten --seeds 50

A warm server has capacity for C flows of mean work a second: what comes to each server of the fleet, over the
fleet's load. In slow start its capacity is C x share, where the share grows linearly from SLOW_START_SHARE to
1, and it fails when more than N + 2 x root of N + 2 connects come in a window, N being SLOW_START_BURST x C x
share x window.
"""

import heapq
import json
import math
import multiprocessing
import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import NamedTuple

import click

from lotusroute.routing import events
from lotusroute.routing.director import Director

STABILIZATION_MS = 16_000.0  # before the first replacement: connections and averages have become steady
OBSERVATION_MS = 24_000.0  # after the first replacement
ROLLOUT_MS = 7_000.0  # in which six of ten servers are replaced, one after the other
SLOW_START_MS = 18_000.0
SLOW_START_SHARE = 0.2
SLOW_START_BURST = 3.0
WINDOW_MS = 2_000.0
FLEET_LOAD = 0.4  # before anything happens
CONNECTION_LIFETIME_MS = 12_000.0  # mean
FLOWS_PER_SERVER = 1.2  # a second, mean
SETUP_MS = 5.0
FLOW_DEADLINE_MS = 1_800.0
CLIENT_RETRIES = 3  # of a client whose flow is rejected
CLIENT_BACKOFF_MS = 200.0  # without a Retry-After
CONNECTION_STORM_MS = 3_000.0  # after the first replacement
DRAIN_MS = 1_000.0  # in which the connections of a replaced server are closed
REPLACEMENTS = {"one-of-eight": (1 / 8, 1.0), "six-of-ten": (0.6, ROLLOUT_MS)}  # share of servers, ms in all


class Case(NamedTuple):
    """One fleet and what happens to it."""

    directors: int
    skewed: bool  # one in eight balancers receives six times the flows of the others
    replacement: str  # a key of REPLACEMENTS
    groups: int  # that clients belong to; 0: no groups
    connection_storm: bool  # a third of all connections break, and their clients reconnect

    @property
    def server_count(self) -> int:
        """Number of servers, which grows with the number of balancers."""
        if self.directors <= 5:
            return 12
        if self.directors <= 30:
            return 30
        return 60

    def as_row(self) -> dict[str, object]:
        """Return the case by the keys of the output."""
        return {
            "directors": self.directors,
            "skewed": self.skewed,
            "cold": self.replacement,
            "groups": self.groups,
            "crowd": self.connection_storm,
        }


class Connection(NamedTuple):
    """An established flow."""

    director: int
    server: str
    client: int


class Attempt(NamedTuple):
    """A flow that a client has opened and that is not yet established."""

    client: int
    retries: int


@dataclass(frozen=True, slots=True)
class Result:
    """What one run showed."""

    worst: float  # the highest ratio of connects in a window to the most that a server survives
    count: int  # connects in that window
    n: float  # what the settings allow in it
    filled: float  # connects in slow start as a share of what the settings allow
    served: float  # established flows as a share of opened ones
    lost: float  # clients that gave up as a share of opened flows


class Simulation:
    """The Directors, their clients and their servers, in virtual time."""

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
        self.weights = [6.0 if case.skewed and index % 8 == 0 else 1.0 for index in range(case.directors)]
        self.now = 0.0
        self.calls: list[tuple[float, int, Callable[[], None]]] = []  # a heap: time, order, call
        self.scheduled = 0
        self.last_id = 0  # of flows and clients
        self.attempts: dict[int, Attempt] = {}  # by flow
        self.connections: dict[int, Connection] = {}  # by flow
        self.started_at: dict[str, float] = {}  # by new server
        self.connects: dict[str, list[float]] = {}  # times, by new server
        self.counters: Counter[str] = Counter()

    def schedule(self, delay: float, call: Callable[[], None]) -> None:
        """Call something after a delay; calls of one time are made in the order of scheduling."""
        self.scheduled += 1
        heapq.heappush(self.calls, (self.now + delay, self.scheduled, call))

    def run(self) -> None:
        """Run from the start to the end of the observation."""
        names = [f"s{index}" for index in range(self.case.server_count)]
        endpoints = events.EndpointList(
            events.ListScope.COMPLETE, tuple(events.Server(name) for name in names)
        )
        for director in range(len(self.directors)):
            self.decide(director, endpoints)
        self.schedule(0.0, self._next_client)
        self._schedule_replacements(names)
        if self.case.connection_storm:
            self.schedule(STABILIZATION_MS + CONNECTION_STORM_MS, self._break_connections)
        while self.calls and self.calls[0][0] <= STABILIZATION_MS + OBSERVATION_MS:
            self.now, _, call = heapq.heappop(self.calls)
            call()

    def decide(self, director: int, event: events.Event) -> None:
        """Pass an event to a Director and carry out its actions."""
        for action in self.directors[director].decide(self.now, event):
            match action:
                case events.Connect():
                    if action.server in self.started_at:
                        self.connects[action.server].append(self.now)
                    self.schedule(SETUP_MS, partial(self._establish, director, action.id, action.server))
                case events.Reject() | events.Abort():
                    self._retry(action)
                case events.Migrate():
                    self._close(action.id, events.ConnectionResult.CANCELLED, self.rng.uniform(50.0, 500.0))
                case events.SetTimer():
                    self.schedule(
                        action.delay, partial(self.decide, director, events.TimerFired(action.mark))
                    )

    # Clients

    def _next_client(self) -> None:
        flows_per_ms = FLOWS_PER_SERVER * self.case.server_count / 1_000
        self.schedule(self.rng.expovariate(flows_per_ms), self._next_client)
        self.last_id += 1
        self._open_flow(self.last_id, 0)

    def _open_flow(self, client: int, retries: int) -> None:
        self.counters["opened"] += 1
        director = self.rng.choices(range(len(self.directors)), self.weights)[0]
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
        # Groups differ in size as a rule: the first of ten has as many clients as the last three.
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
        self.schedule(self.rng.expovariate(1 / CONNECTION_LIFETIME_MS), partial(self._end, flow))

    def _end(self, flow: int) -> None:
        if flow in self.connections:
            connection = self.connections.pop(flow)
            ended = events.ConnectionEnded(flow, connection.server, True, events.ConnectionResult.OK)
            self.decide(connection.director, ended)

    def _close(self, flow: int, result: str, reconnect_delay: float) -> None:
        """End a connection whose client then reconnects."""
        if flow in self.connections:
            connection = self.connections.pop(flow)
            ended = events.ConnectionEnded(flow, connection.server, True, result)
            self.decide(connection.director, ended)
            self.schedule(reconnect_delay, partial(self._open_flow, connection.client, 1))

    def _break_connections(self) -> None:
        for flow in list(self.connections):
            if self.rng.random() < 1 / 3:
                self._close(flow, events.ConnectionResult.RESET, self.rng.uniform(50.0, 1_500.0))

    # Servers

    def _schedule_replacements(self, names: list[str]) -> None:
        share, duration = REPLACEMENTS[self.case.replacement]
        count = max(1, round(share * len(names)))
        for index in range(count):
            offset = duration * index / count if count > 1 else 0.0
            replace = partial(self._replace, names[index], f"c{index}")
            self.schedule(STABILIZATION_MS + offset, replace)

    def _replace(self, old: str, new: str) -> None:
        self.started_at[new] = self.now
        self.connects[new] = []
        changes = (
            events.Server(old, state=events.EndpointState.DRAINING),
            events.Server(new, started=self.now),
        )
        for director in range(len(self.directors)):
            self.decide(director, events.EndpointList(events.ListScope.CHANGES, changes))
        for flow, connection in list(self.connections.items()):
            if connection.server == old:
                closing_delay = self.rng.uniform(0.0, DRAIN_MS)
                reconnect_delay = self.rng.uniform(50.0, 500.0)
                close = partial(self._close, flow, events.ConnectionResult.CANCELLED, reconnect_delay)
                self.schedule(closing_delay, close)


def allowed_connects(started_at: float, window_end: float) -> float:
    """Return N, the connects that the settings allow a server in slow start in the window up to a time."""

    def share(timestamp: float) -> float:
        progress = min(1.0, max(0.0, timestamp - started_at) / SLOW_START_MS)
        return SLOW_START_SHARE + (1 - SLOW_START_SHARE) * progress

    mean_share = (share(max(started_at, window_end - WINDOW_MS)) + share(window_end)) / 2
    capacity = FLOWS_PER_SERVER / FLEET_LOAD
    return SLOW_START_BURST * capacity * mean_share * WINDOW_MS / 1_000


def worst_window(started_at: float, connects: list[float]) -> tuple[float, int, float]:
    """Return the window of a server's slow start with the highest ratio: ratio, connects, N."""
    worst = (0.0, 0, 0.0)
    first = 0
    for last, window_end in enumerate(connects):
        if window_end > started_at + SLOW_START_MS:
            break
        while connects[first] <= window_end - WINDOW_MS:
            first += 1
        count = last - first + 1
        allowed = allowed_connects(started_at, window_end)
        worst = max(worst, (count / (allowed + 2 * math.sqrt(allowed) + 2), count, allowed))
    return worst


def run_case(job: tuple[Case, int]) -> Result:
    """Run one case with one seed."""
    case, seed = job
    simulation = Simulation(case, seed)
    simulation.run()
    worst = (0.0, 0, 0.0)
    connect_sum = 0.0
    allowed_sum = 0.0
    for name, connects in simulation.connects.items():
        started_at = simulation.started_at[name]
        worst = max(worst, worst_window(started_at, connects))
        connect_sum += sum(timestamp <= started_at + SLOW_START_MS for timestamp in connects)
        windows = min(SLOW_START_MS, simulation.now - started_at) / WINDOW_MS
        allowed_sum += allowed_connects(started_at, started_at + SLOW_START_MS / 2) * windows
    ratio, count, allowed = worst
    opened = max(1, simulation.counters["opened"])
    return Result(
        worst=ratio,
        count=count,
        n=allowed,
        filled=connect_sum / max(1e-9, allowed_sum),
        served=simulation.counters["established"] / opened,
        lost=simulation.counters["lost"] / opened,
    )


def summarize(case: Case, results: list[Result]) -> dict[str, object]:
    """Return one row of the output: the worst of all seeds, and means."""
    worst = max(results, key=lambda result: result.worst)

    def mean(values: list[float]) -> float:
        return round(sum(values) / len(results), 3)

    return {
        **case.as_row(),
        "worst": round(worst.worst, 2),
        "sent": worst.count,
        "n": round(worst.n, 1),
        "over": sum(result.worst > 1 for result in results),
        "of": len(results),
        "filled": mean([result.filled for result in results]),
        "served": mean([result.served for result in results]),
        "lost": mean([result.lost for result in results]),
    }


@click.command()
@click.option("--directors", multiple=True, type=click.IntRange(1, 1_000), help="balancers; repeat for more")
@click.option(
    "--cold", "replacements", multiple=True, type=click.Choice(list(REPLACEMENTS)), help="servers replaced"
)
@click.option("--seeds", type=click.IntRange(1), default=50)
@click.option("--first", type=int, default=1, help="the first seed")
@click.option("--workers", type=click.IntRange(1, 64), default=2, help="processes")
@click.option("--json", "as_json", is_flag=True, help="print JSON, one object a case")
def main(
    directors: tuple[int, ...],
    replacements: tuple[str, ...],
    seeds: int,
    first: int,
    workers: int,
    as_json: bool,
) -> None:
    """Count what new servers are sent; exit 1 where one was sent more than it survives.

    Example: python benchmarks/slow_start.py --directors 20 --directors 30 --seeds 50 --workers 4
    """
    cases = [
        Case(count, skewed, replacement, groups, connection_storm)
        for count in directors or (2, 5, 20, 30, 60, 200)
        for replacement in replacements or REPLACEMENTS
        for skewed in (False, True)
        for groups in (0, 36, 190)
        for connection_storm in (False, True)
    ]
    any_over = False
    with multiprocessing.Pool(workers) as pool:
        jobs = [(case, first + index) for case in cases for index in range(seeds)]
        results = pool.imap(run_case, jobs, chunksize=5)
        for case in cases:
            row = summarize(case, [next(results) for _ in range(seeds)])
            any_over = any_over or row["over"] != 0
            if as_json:
                print(json.dumps(row), flush=True)
            else:
                print(" ".join(f"{key}={value}" for key, value in row.items()), flush=True)
    sys.exit(int(any_over))


if __name__ == "__main__":
    main()
