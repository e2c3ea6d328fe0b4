"""Model checker of the lease protocol: explores the states of `LeaseModel` at random or breadth first.

python -m lotusroute.fault_injection.lease_model_checker --walks 20000 --seed 1
python -m lotusroute.fault_injection.lease_model_checker --search 200000
"""

import argparse
import random
import sys
import time
from collections import deque
from typing import NamedTuple

from lotusroute.fault_injection.invariants import InvariantViolationError
from lotusroute.fault_injection.lease_model import (
    LeaseModel,
    ModelState,
    Transition,
    TransitionKind,
)

WALK_LENGTH = 120  # transitions of a random walk


def random_walk(model: LeaseModel, rng: random.Random, length: int) -> int:
    """Take random transitions; returns the number of changes of holder."""
    state = model.initial
    taken: list[Transition] = []
    fencing_tokens = set()
    # Each walk has its own conditions: fast and slow networks, many crashes and none. Time passes seldom
    # compared with messages, or no proposer would ever win a majority.
    weights = {
        TransitionKind.ADVANCE_TIME: rng.choice((0.3, 1.0, 2.0)),
        TransitionKind.TICK: rng.choice((0.5, 2.0)),
        TransitionKind.DELIVER: rng.choice((1.0, 3.0)),
    }
    fault_weight = rng.choice((0.02, 0.2))
    try:
        for _ in range(length):
            possible = model.transitions(state)
            possible_weights = [weights.get(transition.kind, fault_weight) for transition in possible]
            transition = rng.choices(possible, possible_weights)[0]
            taken.append(transition)
            state = model.apply(state, transition)
            fencing_tokens.add(state.fencing_token)
    except InvariantViolationError as violation:
        raise InvariantViolationError(
            f"{violation}; after {len(taken)} moves, the last {taken[-20:]}"
        ) from None
    return len(fencing_tokens) - 1


class SearchResult(NamedTuple):
    """The extent of a search."""

    states: int
    depth: int
    exhaustive: bool  # all reachable states were visited


def search(model: LeaseModel, max_states: int) -> SearchResult:
    """Visit all states breadth first, up to a maximum."""
    seen = {model.initial}
    queue: deque[tuple[ModelState, tuple[Transition, ...]]] = deque([(model.initial, ())])
    depth = 0
    while queue:
        state, path = queue.popleft()
        depth = len(path)
        for transition in model.transitions(state):
            next_path = (*path, transition)
            try:
                next_state = model.apply(state, transition)
            except InvariantViolationError as violation:
                raise InvariantViolationError(
                    f"{violation}; after {len(next_path)} moves {next_path}"
                ) from None
            if next_state in seen:
                continue
            if len(seen) >= max_states:
                return SearchResult(len(seen), depth, exhaustive=False)
            seen.add(next_state)
            queue.append((next_state, next_path))
    return SearchResult(len(seen), depth, exhaustive=True)


def run_search(model: LeaseModel, max_states: int, started: float) -> None:
    """Search, and print the extent."""
    result = search(model, max_states)
    extent = "all" if result.exhaustive else "cut off there"
    print(
        f"search: {result.states} states, {result.depth} moves deep, {extent}, "
        f"{time.monotonic() - started:.1f} s, no breach"
    )


def run_walks(model: LeaseModel, walks: int, length: int, seed: int, started: float) -> None:
    """Take random walks, and print how many holders they saw."""
    rng = random.Random(seed)
    changes = sum(random_walk(model, rng, length) for _ in range(walks))
    print(
        f"walks: {walks} of {length} moves, {changes} hand-overs, "
        f"{time.monotonic() - started:.1f} s, no breach"
    )


def create_parser() -> argparse.ArgumentParser:
    """Create the parser of the command line."""
    parser = argparse.ArgumentParser(
        description="Try interleavings of the lease machines and judge each state.",
        epilog="example: python -m lotusroute.fault_injection.lease_model_checker --walks 20000 --askers 3",
    )
    parser.add_argument("--walks", type=int, default=0, help="random interleavings to try")
    parser.add_argument("--length", type=int, default=WALK_LENGTH, help="transitions of each")
    parser.add_argument("--seed", type=int, default=1, help="of the random walks")
    parser.add_argument(
        "--search", type=int, default=0, metavar="STATES", help="visit all states up to so many"
    )
    parser.add_argument("--askers", type=int, default=2, help="number of proposers")
    parser.add_argument("--keepers", type=int, default=3, help="number of acceptors")
    parser.add_argument("--crashes", type=int, default=1, help="processes that crash in one interleaving")
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the checker; 0 if no invariant was violated, 1 otherwise, 2 on wrong usage."""
    parser = create_parser()
    options = parser.parse_args(arguments)
    if not options.walks and not options.search:
        parser.error("nothing to do: give --walks N or --search STATES")
    model = LeaseModel(options.askers, options.keepers, crashes=options.crashes)
    started = time.monotonic()
    try:
        if options.search:
            run_search(model, options.search, started)
        if options.walks:
            run_walks(model, options.walks, options.length, options.seed, started)
    except InvariantViolationError as violation:
        print(f"explorer: breach: {violation}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
