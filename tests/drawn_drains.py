"""Days of drawn drains, reloads and faults of discovery, with a judge outside the balancer.

A day has a few rounds. In each, one server begins to drain, discovery has one fault at most, and a reload may
move discovery to a new address. The judge computes when the drain counts as received by the protocol, and
looks at the servers for flows that came after that time and the grace.

`PYTHONPATH=. python tests/drawn_drains.py --days 200` plays many days side by side and prints those with a
late flow.
"""

import argparse
import concurrent.futures
import contextlib
import random
import socket
import sys
import time
from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from balancer_process import SETTINGS, Balancer, ClientConnection
from fake_discovery import FakeDiscovery
from fake_servers import FakeServer
from waiting import wait_until

from lotusroute.address import Address
from lotusroute.process_control.free_ports import LOOPBACK

# By the protocol, a change counts as received this long after discovery has it and can be reached, and what a
# new discovery has, this long after SIGHUP.
MAX_UPDATE_DELAY_S = 6.0
MAX_UPDATE_DELAY_AFTER_RELOAD_S = 4.0
# Allowance of the protocol, and for the threads of the judge, which record when a flow arrives.
SLACK_S = 0.05 + 0.1
ROUND_S = 10.0
ROUNDS = 3
SERVER_COUNT = 5
FLOW_INTERVAL_S = 0.04
FLOW_COUNT = 40  # flows that are open at the same time
QUEUE_DELAY_S = 1.8  # how long each poll of a crowded discovery waits that is not rejected
OLD_DISCOVERY_CLOSES_S = 1.5


class Fault(StrEnum):
    """What is wrong with discovery in one round."""

    NONE = "none"
    SLOW = "slow"  # each response is sent late
    REJECTING = "rejecting"  # three polls in a row are rejected
    SILENT = "silent"  # the polls in flight are never answered
    DOWN = "down"  # neither polls in flight nor new ones are answered for some seconds


class TimedServer(FakeServer):
    """A server that records when each flow arrives."""

    def __init__(self, name: str) -> None:
        self.opened: list[float] = []
        super().__init__(name)

    def _reply_to(self, conn: socket.socket, line: bytes) -> None:
        if line.startswith(b"OPEN"):
            self.opened.append(time.monotonic())
        super()._reply_to(conn, line)


class Round(NamedTuple):
    """One drawn round; times are seconds from its start."""

    fault: Fault
    fault_at: float
    delay_s: float  # how late each response of a slow discovery is
    down_s: float  # how long discovery is down
    drain_at: float
    reload_at: float | None
    crowded_s: float  # for how long the discovery of the reload rejects polls; 0 if it is prompt


def draw_round(rng: random.Random) -> Round:
    """Draw one round."""
    return Round(
        fault=rng.choice(list(Fault)),
        fault_at=rng.uniform(0.0, 2.0),
        delay_s=rng.uniform(0.1, 2.5),
        down_s=rng.uniform(0.5, 4.0),
        drain_at=rng.uniform(0.0, 3.0),
        reload_at=rng.uniform(0.0, 3.0) if rng.random() < 0.4 else None,
        crowded_s=rng.choice([0.0, rng.uniform(0.1, 1.9)]),
    )


class Drain(NamedTuple):
    """A server that drains from `begin` to `end`, which counts as received at `received_by`."""

    server: TimedServer
    begin: float
    received_by: float
    end: float


def received_after(play: Round, is_agent: bool) -> float:
    """Return how long after the start of a round its drain counts as received at the latest.

    What an agent on the balancer's machine learns at its return counts at once, unless a reload before has
    moved discovery to one that answers each poll late.
    """
    is_late = play.crowded_s > 0.0 and play.reload_at is not None and play.reload_at < play.fault_at
    match play.fault:
        case Fault.NONE:
            by_fault = play.drain_at
        case Fault.DOWN:
            reachable_at = max(play.drain_at, play.fault_at + play.down_s)
            by_fault = reachable_at + (0.0 if is_agent and not is_late else MAX_UPDATE_DELAY_S)
        case Fault.SILENT:
            by_fault = max(play.drain_at, play.fault_at + MAX_UPDATE_DELAY_S)
        case _:
            by_fault = max(play.drain_at, play.fault_at) + MAX_UPDATE_DELAY_S
    if play.reload_at is None or by_fault <= play.reload_at:
        return by_fault
    by_reload = max(play.drain_at, play.reload_at + MAX_UPDATE_DELAY_AFTER_RELOAD_S)
    # A fault before the reload is one of the old discovery, a later one is one of the new discovery.
    return by_reload if play.fault_at < play.reload_at else max(by_fault, by_reload)


@dataclass
class Day:
    """One day with one balancer; `play` returns the flows that came too late."""

    seed: int
    drains: list[Drain] = field(default_factory=list)
    rounds: list[Round] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.mode = self.rng.choice(["push", "ask"])
        self.grace_s = self.rng.choice([0.5, 2.0])
        self.servers = [TimedServer(f"s{index}") for index in range(SERVER_COUNT)]
        self.clients: deque[ClientConnection] = deque()
        self.draining: TimedServer | None = None
        self.log = ""

    def play(self) -> list[str]:
        """Play the rounds and return a text for each flow that came too late."""
        rules = {"stop_sending_within": 1_000 * self.grace_s}
        settings = {**SETTINGS, "discovery": self.mode, "rules": rules}
        with Balancer(*self.servers, settings=settings) as balancer:
            self.discovery = self.faulty = balancer.discovery
            wait_until(lambda: self.discovery.responses)
            for _ in range(ROUNDS):
                self._play_round(balancer, draw_round(self.rng))
            self.log = balancer.terminate()
        return self._late_flows()

    def _play_round(self, balancer: Balancer, play: Round) -> None:
        start = time.monotonic()
        old = self.discovery
        server = self.rng.choice(self.servers)
        self.rounds.append(play)
        steps = [
            (play.fault_at, lambda: self._begin_fault(play)),
            (play.drain_at, lambda: self._drain(server)),
        ]
        if play.fault == Fault.DOWN:
            steps.append((play.fault_at + play.down_s, self._end_outage))
        if play.reload_at is not None:
            steps.append((play.reload_at, lambda: self._reload(balancer, play)))
            steps.append((play.reload_at + OLD_DISCOVERY_CLOSES_S, old.server_close))
        for due_at, step in sorted(steps, key=lambda item: item[0]):
            self._open_flows_until(balancer, start + due_at)
            step()
        end = start + ROUND_S
        self._open_flows_until(balancer, end)
        self.drains.append(
            Drain(server, start + play.drain_at, start + received_after(play, self.mode == "push"), end)
        )
        self._recover()
        self._open_flows_until(balancer, end + 1.0)

    def _publish(self, draining: TimedServer | None) -> None:
        entries = [server.entry("DRAINING" if server is draining else "SERVING") for server in self.servers]
        self.discovery.publish(entries)

    def _drain(self, server: TimedServer) -> None:
        self.draining = server
        self._publish(server)

    def _recover(self) -> None:
        """End all faults and the drain."""
        discovery = self.discovery
        discovery.down, discovery.sending_delay, discovery.response_delay = False, 0.0, 0.0
        self.draining = None
        self._publish(None)

    def _begin_fault(self, play: Round) -> None:
        self.faulty = self.discovery
        match play.fault:
            case Fault.SLOW:
                self.discovery.sending_delay = play.delay_s
            case Fault.REJECTING:
                self.discovery.rejections = 3
            case Fault.SILENT:
                self.discovery.interruptions += 1
            case Fault.DOWN:
                self.discovery.down = True
            case _:
                pass

    def _end_outage(self) -> None:
        self.faulty.down = False

    def _reload(self, balancer: Balancer, play: Round) -> None:
        old = self.discovery
        self.discovery = FakeDiscovery(*self.servers)
        self.discovery.seq = old.seq
        if self.draining is not None:
            self._publish(self.draining)
        if play.crowded_s:
            self.discovery.rejecting_until = time.monotonic() + play.crowded_s
            self.discovery.response_delay = QUEUE_DELAY_S
        balancer.reload(discovery=str(Address(LOOPBACK, self.discovery.server_port)))

    def _open_flows_until(self, balancer: Balancer, until: float) -> None:
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                self.clients.append(balancer.open_flow(key=f"{self.rng.random()}"))
            if len(self.clients) > FLOW_COUNT:
                self.clients.popleft().conn.close()
            time.sleep(FLOW_INTERVAL_S)

    def _late_flows(self) -> list[str]:
        late = []
        for play, drain in zip(self.rounds, self.drains, strict=True):
            limit = drain.received_by + self.grace_s + SLACK_S
            for opened_at in drain.server.opened:
                if limit < opened_at < drain.end:
                    after = opened_at - drain.begin
                    allowed = limit - drain.begin
                    late.append(
                        f"{self.mode}, grace {self.grace_s}: {after:.2f} s, allowed {allowed:.2f}: {play}"
                    )
        return late


def play_day(seed: int) -> list[str]:
    """Play one day; return a text for each flow that came too late."""
    return Day(seed).play()


def main() -> int:
    """Play days side by side; return 1 if one has a late flow."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--days", type=int, default=20)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--concurrency", type=int, default=4)
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.days)
    late_days = 0
    # A process for each day, because the servers and discoveries of a day keep their threads.
    with concurrent.futures.ProcessPoolExecutor(options.concurrency, max_tasks_per_child=1) as pool:
        for seed, late in zip(seeds, pool.map(play_day, seeds), strict=True):
            late_days += bool(late)
            for text in late[:3]:
                print(f"seed {seed}: {len(late)} late, {text}", flush=True)
    print(f"{options.days} days, {late_days} with a late flow")
    return 1 if late_days else 0


if __name__ == "__main__":
    sys.exit(main())
