"""Model checker of the lease protocol: explores the states of `LeaseModel` by random walk or breadth first.

Examples:
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

WALK_LENGTH = 120  # transitions in a random walk
SHOWN_TRANSITIONS = 20  # number of last transitions that the message of a violation shows


def random_walk(model: LeaseModel, rng: random.Random, length: int) -> int:
    """Take `length` random transitions; returns how often the lease changed its holder.

    Raises `InvariantViolationError`, with the last transitions, on a violation.
    """
    state = model.initial
    taken: list[Transition] = []
    fencing_tokens = set()
    # Each walk draws its own weights, so that the network is fast or slow and crashes are frequent or rare.
    # Time must advance less often than messages are delivered: otherwise no proposer would win a majority.
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
            f"{violation}; after {len(taken)} transitions, ending with {taken[-SHOWN_TRANSITIONS:]}"
        ) from None
    return len(fencing_tokens) - 1


class SearchResult(NamedTuple):
    """How much of the state space a search covered."""

    states: int  # distinct states visited
    depth: int  # transitions from the initial state to the last expanded state
    exhaustive: bool  # whether all reachable states were visited


def search(model: LeaseModel, max_states: int) -> SearchResult:
    """Visit states breadth first until all reachable ones or `max_states` of them are visited.

    Raises `InvariantViolationError`, with the path to it, on a violation.
    """
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
                    f"{violation}; after {len(next_path)} transitions {next_path}"
                ) from None
            if next_state in seen:
                continue
            if len(seen) >= max_states:
                return SearchResult(len(seen), depth, exhaustive=False)
            seen.add(next_state)
            queue.append((next_state, next_path))
    return SearchResult(len(seen), depth, exhaustive=True)


def run_search(model: LeaseModel, max_states: int, started_at: float) -> None:
    """Search breadth first and print how much was covered."""
    result = search(model, max_states)
    extent = "exhaustive" if result.exhaustive else "cut off"
    print(
        f"search: {result.states} states, {result.depth} transitions deep, {extent}, "
        f"{time.monotonic() - started_at:.1f} s, no violation"
    )


def run_walks(model: LeaseModel, walks: int, length: int, seed: int, started_at: float) -> None:
    """Take random walks and print how often the lease changed its holder."""
    rng = random.Random(seed)
    changes = sum(random_walk(model, rng, length) for _ in range(walks))
    print(
        f"walks: {walks} of {length} transitions, {changes} changes of holder, "
        f"{time.monotonic() - started_at:.1f} s, no violation"
    )


# Legacy names of options. They are accepted because scripts may still use them, but `--help` hides them.
LEGACY_OPTIONS = {"--askers": "proposers", "--keepers": "acceptors"}


def create_parser() -> argparse.ArgumentParser:
    """Create the parser of the command line."""
    parser = argparse.ArgumentParser(
        description="Explore interleavings of the lease protocol and check the invariants in each state.",
        epilog="example: python -m lotusroute.fault_injection.lease_model_checker --walks 500 --proposers 3",
    )
    parser.add_argument("--walks", type=int, default=0, help="number of random walks")
    parser.add_argument("--length", type=int, default=WALK_LENGTH, help="transitions in each walk")
    parser.add_argument("--seed", type=int, default=1, help="random seed of the walks")
    parser.add_argument(
        "--search",
        type=int,
        default=0,
        metavar="STATES",
        help="search breadth first, up to this number of states",
    )
    parser.add_argument("--proposers", type=int, default=2, help="number of proposers")
    parser.add_argument("--acceptors", type=int, default=3, help="number of acceptors")
    parser.add_argument("--crashes", type=int, default=1, help="maximum number of crashes in an interleaving")
    for legacy, current in LEGACY_OPTIONS.items():
        parser.add_argument(legacy, dest=current, type=int, default=argparse.SUPPRESS, help=argparse.SUPPRESS)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run the checker; returns 0 if no invariant was violated, otherwise 1. Exits with 2 on a usage error."""
    parser = create_parser()
    options = parser.parse_args(arguments)
    if not options.walks and not options.search:
        parser.error("nothing to do: give --walks N or --search STATES")
    model = LeaseModel(options.proposers, options.acceptors, crashes=options.crashes)
    started_at = time.monotonic()
    try:
        if options.search:
            run_search(model, options.search, started_at)
        if options.walks:
            run_walks(model, options.walks, options.length, options.seed, started_at)
    except InvariantViolationError as violation:
        print(f"violation: {violation}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
