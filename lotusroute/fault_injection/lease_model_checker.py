"""Tries interleavings of the lease machines: messages late, lost, doubled, reordered; crashes, stalls, drift.

Owns the small world in which keepers and askers run, the order in which things happen there, and what counts
as a breach. It must never change the machines, use a clock or a socket, or pass over a breach.

    python -m lotusroute.fault_injection.lease_model_checker --walks 20000 --seed 1
    python -m lotusroute.fault_injection.lease_model_checker --search 200000

Real time passes in steps. Keepers' clocks run fast and askers' slow, both at the ends of the drift, which is
the worst for a lease. An asker looks at its clock only when a move `look` or a message comes: where none
does, it stands still, and what it then does belongs to the past. Disk has each number that a keeper promised.
"""

import argparse
import random
import sys
import time
from collections import deque
from typing import NamedTuple

from lotusroute.leases.acceptor import BALLOT_LIMIT, Acceptor
from lotusroute.leases.messages import (
    LeaseAcquired,
    LeaseReleased,
    LeaseTerms,
    ReplyReceived,
    RequestLease,
    Tick,
)
from lotusroute.leases.proposer import Proposer, ProposerState

STEP = 500.0  # ms of real time a step: six of them are a lease, so that few steps reach its end
TASK = "task"
FLIGHT = 16  # messages in flight at most: beyond that the oldest is lost
DRIFT = 0.2  # far more than clocks do, so that it shows in whole steps


class _Least:
    """Draws the least: an explorer tries the orders, not the pauses."""

    @staticmethod
    def uniform(least: float, most: float) -> float:
        return least


class World(NamedTuple):
    """All there is at one moment; the same value is the same state."""

    now: int  # steps of real time
    acceptors: tuple  # (kept, open_from, floor) each
    proposers: tuple  # (name, claim, looked, round) each
    flight: tuple  # (to, from, words), the oldest first
    fencing_token: int  # the highest under which somebody held
    holder: str  # who that was
    doubles: int  # messages that may still be doubled
    crashes: int  # processes that may still crash


class Breach(Exception):
    """What must never be; says what, and the steps that led there."""


class Explorer:
    """The moves that a world has."""

    def __init__(
        self,
        proposers: int = 2,
        acceptors: int = 3,
        doubles: int = 1,
        crashes: int = 1,
        drift: float = DRIFT,
        known_drift: float = DRIFT,
    ) -> None:
        names = tuple(f"k{n}" for n in range(acceptors))
        # As on a fleet, less the figures that would only make more steps.
        self.terms = LeaseTerms(
            names, drift=known_drift, margin=0.0, request_timeout=2 * STEP, stall_threshold=8 * STEP
        )
        self.fast, self.slow = 1 + drift, 1 - drift
        self.first = World(
            0,
            tuple(((), -1.0, 0) for _ in names),
            tuple((f"a{n}.0", ProposerState(requested=True), 0.0, 0) for n in range(proposers)),
            (),
            0,
            "",
            doubles,
            crashes,
        )

    # Machines out of a world, and back

    def _acceptor(self, world: World, at: int) -> Acceptor:
        states, serving_from, ballot_floor = world.acceptors[at]
        acceptor = Acceptor(self.terms, 0.0, ballot_floor)
        acceptor.serving_from, acceptor.ballot_floor, acceptor.persisted_below, acceptor.states = (
            serving_from,
            ballot_floor,
            BALLOT_LIMIT,
            dict(states),
        )
        return acceptor

    def _proposer(self, world: World, at: int) -> Proposer:
        name, state, last_event_at, count = world.proposers[at]
        proposer = Proposer(name, self.terms, _Least)
        proposer.states, proposer.last_event_at, proposer.round = {TASK: state}, last_event_at, count
        return proposer

    def _put(self, world: World, at: int, proposer: Proposer, out: list) -> World:
        entry = (proposer.name, proposer.states[TASK], proposer.last_event_at, proposer.round)
        flight = list(world.flight)
        for action in out:
            if isinstance(action, LeaseAcquired):
                world = self._held(world, proposer.name, action.fencing_token)
            elif hasattr(action, "acceptor"):
                flight.append((self.terms.acceptors.index(action.acceptor), at, action.request))
        proposers = world.proposers[:at] + (entry,) + world.proposers[at + 1 :]
        return world._replace(proposers=proposers, flight=tuple(flight[-FLIGHT:]))

    @staticmethod
    def _held(world: World, name: str, fencing_token: int) -> World:
        if fencing_token <= world.fencing_token and name != world.holder:
            raise Breach(
                f"{name} holds under {fencing_token}, not over {world.fencing_token} of {world.holder}"
            )
        return world._replace(fencing_token=max(fencing_token, world.fencing_token), holder=name)

    def judge(self, world: World) -> None:
        """No two hold at one moment, each by its own clock."""
        holders = [name for name, state, _, _ in world.proposers if state.holds(world.now * STEP * self.slow)]
        if len(holders) > 1:
            raise Breach(f"{' and '.join(holders)} hold at step {world.now}")

    # Moves

    def moves(self, world: World) -> list[tuple]:
        """All that may happen next."""
        found: list[tuple] = [("time",)]
        found += [
            ("look", at)
            for at, entry in enumerate(world.proposers)
            if entry[2] < world.now * STEP * self.slow or not entry[3]
        ]
        seen = set()
        for at, message in enumerate(world.flight):
            if message not in seen:
                seen.add(message)
                found.append(("deliver", at))
                found += [("double", at)] if world.doubles else []
        if world.crashes:
            found += [("crash keeper", at) for at in range(len(world.acceptors))]
            found += [("crash asker", at) for at in range(len(world.proposers))]
        return found

    def make(self, world: World, move: tuple) -> World:
        """Make one move and judge what came of it."""
        kind = move[0]
        if kind == "time":
            world = world._replace(now=world.now + 1)
        elif kind == "look":
            proposer = self._proposer(world, move[1])
            world = self._put(world, move[1], proposer, proposer.handle(world.now * STEP * self.slow, Tick()))
        elif kind in ("deliver", "double"):
            world = self._deliver(world, move[1], kind == "double")
        elif kind == "crash keeper":
            # Its memory is gone; what disk has is not. It is back at once, which is the worst.
            states, _, ballot_floor = world.acceptors[move[1]]
            promised = max([ballot_floor, *(entry.promised for _, entry in states)])
            acceptor = Acceptor(self.terms, world.now * STEP * self.fast, promised)
            entry = ((), acceptor.serving_from, acceptor.ballot_floor)
            acceptors = world.acceptors[: move[1]] + (entry,) + world.acceptors[move[1] + 1 :]
            world = world._replace(acceptors=acceptors, crashes=world.crashes - 1)
        else:
            name, start = world.proposers[move[1]][0].split(".")
            proposer = Proposer(f"{name}.{int(start) + 1}", self.terms, _Least)
            world = world._replace(crashes=world.crashes - 1)
            world = self._put(
                world, move[1], proposer, proposer.handle(world.now * STEP * self.slow, RequestLease(TASK))
            )
        self.judge(world)
        return world

    def _deliver(self, world: World, at: int, double: bool) -> World:
        to, sender, words = world.flight[at]
        rest = world.flight if double else world.flight[:at] + world.flight[at + 1 :]
        world = world._replace(flight=rest, doubles=world.doubles - double)
        if hasattr(words, "proposer"):
            acceptor = self._acceptor(world, to)
            reply, _, waiters = acceptor.handle(world.now * STEP * self.fast, words)
            entry = (tuple(acceptor.states.items()), acceptor.serving_from, acceptor.ballot_floor)
            acceptors = world.acceptors[:to] + (entry,) + world.acceptors[to + 1 :]
            # A reply to one that has crashed since finds nobody.
            told = [(sender, to, (words.proposer, ReplyReceived(self.terms.acceptors[to], reply)))]
            told += [
                (at, to, (entry[0], LeaseReleased(TASK)))
                for at, entry in enumerate(world.proposers)
                if entry[0] in waiters
            ]
            return world._replace(acceptors=acceptors, flight=(*world.flight, *told)[-FLIGHT:])
        name, event = words
        proposer = self._proposer(world, to)
        if proposer.name != name:
            return world
        return self._put(world, to, proposer, proposer.handle(world.now * STEP * self.slow, event))


def walk(explorer: Explorer, chance: random.Random, length: int) -> int:
    """Make moves as drawn; returns how many hand-overs were seen. A breach tells its seed by the moves."""
    world, made, fences = explorer.first, [], set()
    # Days differ: quick and slow networks, many crashes and none. Time passes seldom beside messages, or
    # nothing would ever be agreed.
    often = {
        "time": chance.choice((0.3, 1.0, 2.0)),
        "look": chance.choice((0.5, 2.0)),
        "deliver": chance.choice((1.0, 3.0)),
    }
    rare = chance.choice((0.02, 0.2))
    try:
        for _ in range(length):
            moves = explorer.moves(world)
            move = chance.choices(moves, [often.get(move[0], rare) for move in moves])[0]
            made.append(move)
            world = explorer.make(world, move)
            fences.add(world.fencing_token)
    except Breach as breach:
        raise Breach(f"{breach}; after {len(made)} moves, the last {made[-20:]}") from None
    return len(fences) - 1


def search(explorer: Explorer, states: int) -> tuple[int, int, bool]:
    """Try all orders, the shortest first, up to so many states; returns states, depth, whether all were."""
    seen, line, depth = {explorer.first}, deque([(explorer.first, 0, ())]), 0
    while line:
        world, depth, made = line.popleft()
        for move in explorer.moves(world):
            try:
                after = explorer.make(world, move)
            except Breach as breach:
                raise Breach(f"{breach}; after {len(made) + 1} moves {(*made, move)}") from None
            if after not in seen:
                if len(seen) >= states:
                    return len(seen), depth, False
                seen.add(after)
                line.append((after, depth + 1, (*made, move)))
    return len(seen), depth, True


def main(words: list[str] | None = None) -> int:
    """Explore as asked; 0 where nothing was breached, 1 on a breach, 2 on a bad call."""
    parser = argparse.ArgumentParser(
        description="Try interleavings of the lease machines and judge each state.",
        epilog="example: python -m lotusroute.fault_injection.lease_model_checker --walks 20000 --askers 3",
    )
    parser.add_argument("--walks", type=int, default=0, help="drawn orders to try")
    parser.add_argument("--length", type=int, default=120, help="moves of each")
    parser.add_argument("--seed", type=int, default=1, help="of the draws")
    parser.add_argument(
        "--search", type=int, default=0, metavar="STATES", help="try all orders up to so many states"
    )
    parser.add_argument("--askers", type=int, default=2, help="who ask")
    parser.add_argument("--keepers", type=int, default=3, help="who keep")
    parser.add_argument("--crashes", type=int, default=1, help="processes that crash in one order")
    said = parser.parse_args(words)
    if not said.walks and not said.search:
        parser.error("nothing to do: give --walks N or --search STATES")
    explorer = Explorer(said.askers, said.keepers, crashes=said.crashes)
    began = time.monotonic()
    try:
        if said.search:
            states, depth, whole = search(explorer, said.search)
            print(
                f"search: {states} states, {depth} moves deep, {'all' if whole else 'cut off there'}, "
                f"{time.monotonic() - began:.1f} s, no breach"
            )
        chance, overs = random.Random(said.seed), 0
        for _ in range(said.walks):
            overs += walk(explorer, chance, said.length)
        if said.walks:
            print(
                f"walks: {said.walks} of {said.length} moves, {overs} hand-overs, "
                f"{time.monotonic() - began:.1f} s, no breach"
            )
    except Breach as breach:
        print(f"explorer: breach: {breach}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
