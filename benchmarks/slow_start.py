"""What all balancers together send to cold servers, beside what the rule lets these bear.

Owns a fleet of Directors in one process and in virtual time, the flows that are fed to them, and the count of
connects in each window. It must never judge by anything that a Director says, or know how one decides.

    python benchmarks/slow_start.py --directors 30 --cold six-of-ten --seeds 50

A server bears C flows of mean work a second when warm: what comes to each of the fleet, over the load of the
fleet. While it warms up it bears C x share, from `cold_from` on in a line to 1, and falls when more than
N + 2 x root of N + 2 come in a window, N being `tip_multiple` x C x share x window.
"""

import heapq
import json
import math
import multiprocessing
import random
import sys
from collections import Counter
from typing import NamedTuple

import click

from lotusroute.routing import events
from lotusroute.routing.director import Director

SETTLE = 16_000.0  # ms before the first cold server starts: connections and means have settled
LENGTH = 24_000.0  # ms that are looked at after it
RELEASE = 7_000.0  # ms in which six of ten servers are replaced, one after the other
WARM = 18_000.0  # ms
COLD_FROM, TIP = 0.2, 3.0
WINDOW = 2_000.0  # ms
LOAD = 0.4  # of the fleet, before anything happens
LIVE = 12_000.0  # ms that a connection lives, in the mean
EACH = 1.2  # flows a second that are meant for a server, in the mean
SETUP = 5.0  # ms
RETRIES = 3  # of a client that is turned away
COLD = {"one-of-eight": (1 / 8, 1.0), "six-of-ten": (0.6, RELEASE)}


class Case(NamedTuple):
    """One fleet."""

    directors: int
    skewed: bool  # one in eight balancers sees six times what the others do
    cold: str
    groups: int  # that clients belong to; 0: each client is by itself
    crowd: bool  # a third of all connections break 3 s after the first start, and all come again

    @property
    def servers(self) -> int:
        """How many there are."""
        return 12 if self.directors <= 5 else 30 if self.directors <= 30 else 60


class Fleet:
    """The Directors, their clients and their servers."""

    def __init__(self, case: Case, seed: int) -> None:
        self.case, self.chance = case, random.Random(seed)
        vip = events.ServiceConfig(
            {"live": events.ServiceType(300.0)},
            instance_count=case.directors,
            groups_share_work=case.groups > 0,
            trusts_weights=False,
            max_attempts=4,
            max_retry_after=1_000.0,
            slow_start_share=COLD_FROM,
            slow_start_duration=WARM,
            slow_start_burst=TIP,
        )
        self.directors = [
            Director(vip._replace(instance_index=at), seed * 1_000 + at) for at in range(case.directors)
        ]
        shares = [6.0 if case.skewed and at % 8 == 0 else 1.0 for at in range(case.directors)]
        self.shares = shares
        self.queue: list = []  # (when, order, what, ...)
        self.order = self.flows = 0
        self.open: dict[int, tuple[int, str, int]] = {}  # flow: director, server, client
        self.asks: dict[int, tuple[int, int]] = {}  # flow in hand: client, tries
        self.started: dict[str, float] = {}
        self.sent: dict[str, list[float]] = {}  # to cold servers, when
        self.counts = Counter()
        self.now = 0.0

    def at(self, ms: float, *what: object) -> None:
        """Plan something."""
        self.order += 1
        heapq.heappush(self.queue, (self.now + ms, self.order, what))

    def run(self) -> None:
        """Play all."""
        names = [f"s{at}" for at in range(self.case.servers)]
        for at in range(len(self.directors)):
            self.decide(
                at, events.EndpointList(events.COMPLETE, tuple(events.Server(name) for name in names))
            )
        self.at(0.0, "client")
        share, span = COLD[self.case.cold]
        count = max(1, round(share * len(names)))
        for at in range(count):
            self.at(SETTLE + span * at / count * (count > 1), "replace", names[at], f"c{at}")
        if self.case.crowd:
            self.at(SETTLE + 3_000.0, "break")
        while self.queue and self.queue[0][0] <= SETTLE + LENGTH:
            self.now, _, (kind, *rest) = heapq.heappop(self.queue)
            getattr(self, f"_{kind}")(*rest)

    def decide(self, director: int, event: events.Event) -> None:
        """Tell a Director, and do what it says."""
        for action in self.directors[director].decide(self.now, event):
            if isinstance(action, events.Connect):
                if action.server in self.started:
                    self.sent[action.server].append(self.now)
                self.at(SETUP, "up", director, action.id, action.server)
            elif isinstance(action, events.Reject | events.Abort):
                client, tries = self.asks.pop(action.id)
                self.counts["refused"] += 1
                if tries < RETRIES:
                    wait = getattr(action, "retry_after", 0.0) or 200.0
                    self.at(wait * self.chance.uniform(0.9, 1.3), "ask", client, tries + 1)
                else:
                    self.counts["lost"] += 1
            elif isinstance(action, events.Migrate):
                self.counts["moved"] += 1
                self._close(action.id, events.CANCELLED, self.chance.uniform(50.0, 500.0))
            elif isinstance(action, events.SetTimer):
                self.at(action.delay, "wake", director, action.mark)

    def _wake(self, director: int, mark: str) -> None:
        self.decide(director, events.TimerFired(mark))

    def _client(self) -> None:
        self.at(self.chance.expovariate(EACH * self.case.servers / 1_000), "client")
        self.flows += 1
        self._ask(self.flows, 0)

    def _ask(self, client: int, tries: int) -> None:
        self.counts["asked"] += 1
        director = self.chance.choices(range(len(self.directors)), self.shares)[0]
        self.flows += 1
        flow = self.flows
        self.asks[flow] = client, tries
        # Groups differ in size as a rule: the first of ten has as many as the last three.
        drawn = int(self.case.groups * random.Random(client).random() ** 1.5)
        group = f"g{drawn}" if self.case.groups else None
        self.decide(
            director,
            events.Flow(flow, "live", None, group, f"k{client}", self.now + 1_800.0, reconnecting=tries > 0),
        )

    def _up(self, director: int, flow: int, server: str) -> None:
        client, _ = self.asks.pop(flow)
        self.counts["served"] += 1
        self.open[flow] = director, server, client
        self.decide(director, events.Established(flow, server))
        self.at(self.chance.expovariate(1 / LIVE), "end", flow)

    def _end(self, flow: int) -> None:
        if flow in self.open:
            director, server, _ = self.open.pop(flow)
            self.decide(director, events.ConnectionEnded(flow, server, True, events.OK))

    def _close(self, flow: int, result: str, back: float) -> None:
        if flow in self.open:
            director, server, client = self.open.pop(flow)
            self.decide(director, events.ConnectionEnded(flow, server, True, result))
            self.at(back, "ask", client, 1)

    def _replace(self, old: str, new: str) -> None:
        self.started[new], self.sent[new] = self.now, []
        changes = events.Server(old, state=events.DRAINING), events.Server(new, started=self.now)
        for at in range(len(self.directors)):
            self.decide(at, events.EndpointList(events.CHANGES, changes))
        for flow, (_, server, _) in list(self.open.items()):
            if server == old:
                self.at(
                    self.chance.uniform(0.0, 1_000.0),
                    "close",
                    flow,
                    events.CANCELLED,
                    self.chance.uniform(50.0, 500.0),
                )

    def _break(self) -> None:
        for flow in list(self.open):
            if self.chance.random() < 1 / 3:
                self._close(flow, events.RESET, self.chance.uniform(50.0, 1_500.0))


def bears(started: float, at: float) -> float:
    """How many calls the settings allow a cold server in the window that ends `at`: N."""

    def share(now: float) -> float:
        return COLD_FROM + (1 - COLD_FROM) * min(1.0, max(0.0, now - started) / WARM)

    mean = (share(max(started, at - WINDOW)) + share(at)) / 2
    return TIP * EACH / LOAD * mean * WINDOW / 1_000


def play(job: tuple[Case, int]) -> dict:
    """Play one case once."""
    case, seed = job
    fleet = Fleet(case, seed)
    fleet.run()
    worst = (0.0, 0, 0.0)  # of what a server may get, how many, of how many
    sums = [0.0, 0.0]
    for name, times in fleet.sent.items():
        started, first = fleet.started[name], 0
        for last, at in enumerate(times):
            if at > started + WARM:
                break
            while times[first] <= at - WINDOW:
                first += 1
            count, n = last - first + 1, bears(started, at)
            worst = max(worst, (count / (n + 2 * math.sqrt(n) + 2), count, n))
        sums[0] += sum(at <= started + WARM for at in times)
        sums[1] += bears(started, started + WARM / 2) * min(WARM, fleet.now - started) / WINDOW
    return {
        "worst": worst[0],
        "count": worst[1],
        "n": worst[2],
        "filled": sums[0] / max(1e-9, sums[1]),
        "served": fleet.counts["served"] / max(1, fleet.counts["asked"]),
        "lost": fleet.counts["lost"] / max(1, fleet.counts["asked"]),
    }


@click.command()
@click.option("--directors", multiple=True, type=click.IntRange(1, 1_000), help="balancers; repeat for more")
@click.option("--cold", "colds", multiple=True, type=click.Choice(list(COLD)), help="how many start cold")
@click.option("--seeds", type=click.IntRange(1), default=50)
@click.option("--first", type=int, default=1, help="the first seed")
@click.option("--workers", type=click.IntRange(1, 64), default=2, help="processes")
@click.option("--json", "as_json", is_flag=True, help="print JSON, one object a case")
def main(
    directors: tuple[int, ...], colds: tuple[str, ...], seeds: int, first: int, workers: int, as_json: bool
) -> None:
    """Example: python benchmarks/slow_start.py --directors 20 --directors 30 --seeds 50 --workers 4"""
    cases = [
        Case(many, skewed, cold, groups, crowd)
        for many in directors or (2, 5, 20, 30, 60, 200)
        for cold in colds or COLD
        for skewed in (False, True)
        for groups in (0, 36, 190)
        for crowd in (False, True)
    ]
    broken = 0
    with multiprocessing.Pool(workers) as pool:
        jobs = [(case, first + at) for case in cases for at in range(seeds)]
        plays = pool.imap(play, jobs, chunksize=5)
        for case in cases:
            got = [next(plays) for _ in range(seeds)]
            worst = max(got, key=lambda play: play["worst"])
            over = sum(play["worst"] > 1 for play in got)
            broken += over
            keys = "filled", "served", "lost"
            mean = {key: round(sum(play[key] for play in got) / seeds, 3) for key in keys}
            row = {
                **case._asdict(),
                "worst": round(worst["worst"], 2),
                "sent": worst["count"],
                "n": round(worst["n"], 1),
                "over": over,
                "of": seeds,
                **mean,
            }
            print(json.dumps(row) if as_json else " ".join(f"{k}={v}" for k, v in row.items()), flush=True)
    sys.exit(int(broken > 0))


if __name__ == "__main__":
    main()
