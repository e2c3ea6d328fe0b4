"""Measures how many flows all balancers together send to servers in slow start.

A fleet of directors, the routing logic of one balancer each, runs in one process, in virtual time (ms).
Simulated clients open flows, some servers are replaced, and the connects to each new server are counted in
every window. The counts do not rely on anything that a director reports.

    python benchmarks/slow_start.py --directors 30 --replace six-of-ten --seeds 50

A warm server has a capacity of C flows per second: the rate at which it gets flows, divided by
FLEET_LOAD_FRACTION. In slow start, the capacity is C x share, where the share grows linearly from
SLOW_START_SHARE to 1. The settings allow N = SLOW_START_BURST x C x share x window connects in a window. A
server counts as overloaded with more than N + 2 x sqrt(N) + 2, which leaves room for random variation.
"""

import json
import math
import multiprocessing
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

import click
from slow_start_simulation import (
    FLOWS_PER_SERVER_PER_S,
    REPLACEMENTS,
    SLOW_START_BURST,
    SLOW_START_MS,
    SLOW_START_SHARE,
    Case,
    Simulation,
)

WINDOW_MS = 2_000.0
FLEET_LOAD_FRACTION = 0.4  # load as a fraction of the servers' capacity, before the first replacement
OLDER_OPTIONS = {"cold": "replace"}  # older names of options, which still work, and the present names
DIRECTOR_COUNTS = (2, 5, 20, 30, 60, 200)
GROUP_COUNTS = (0, 36, 190)


class Window(NamedTuple):
    """The connects in one window to one server in slow start."""

    overload_ratio: float = 0.0  # connects, divided by the number above which the server is overloaded
    connects: int = 0
    allowed_connects: float = 0.0  # number of connects that the settings allow in the window


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one case with one seed."""

    worst: Window  # the window with the highest overload ratio
    allowance_used: float  # connects to servers in slow start, as a fraction of those allowed
    established: float  # established flows, as a fraction of requested flows
    lost: float  # clients that gave up after CLIENT_RETRIES retries, as a fraction of requested flows


def allowed_connects(started_at: float, window_end: float) -> float:
    """Return how many connects the settings allow in a window to a server in slow start."""

    def share(timestamp: float) -> float:
        progress = min(1.0, max(0.0, timestamp - started_at) / SLOW_START_MS)
        return SLOW_START_SHARE + (1 - SLOW_START_SHARE) * progress

    mean_share = (share(max(started_at, window_end - WINDOW_MS)) + share(window_end)) / 2
    capacity = FLOWS_PER_SERVER_PER_S / FLEET_LOAD_FRACTION
    return SLOW_START_BURST * capacity * mean_share * WINDOW_MS / 1_000


def worst_window(started_at: float, connects: list[float]) -> Window:
    """Return the window with the highest overload ratio in the slow start of a server."""
    worst = Window()
    first = 0
    for last, window_end in enumerate(connects):
        if window_end > started_at + SLOW_START_MS:
            break
        while connects[first] <= window_end - WINDOW_MS:
            first += 1
        count = last - first + 1
        allowed = allowed_connects(started_at, window_end)
        worst = max(worst, Window(count / (allowed + 2 * math.sqrt(allowed) + 2), count, allowed))
    return worst


def run_case(job: tuple[Case, int]) -> Result:
    """Run one case with one seed."""
    case, seed = job
    simulation = Simulation(case, seed)
    simulation.run()
    worst = Window()
    connect_sum = 0.0
    allowed_sum = 0.0
    for name, connects in simulation.connects.items():
        started_at = simulation.started_at[name]
        worst = max(worst, worst_window(started_at, connects))
        connect_sum += sum(timestamp <= started_at + SLOW_START_MS for timestamp in connects)
        windows = min(SLOW_START_MS, simulation.now - started_at) / WINDOW_MS
        allowed_sum += allowed_connects(started_at, started_at + SLOW_START_MS / 2) * windows
    requested = max(1, simulation.counters["requested"])
    return Result(
        worst=worst,
        allowance_used=connect_sum / max(1e-9, allowed_sum),
        established=simulation.counters["established"] / requested,
        lost=simulation.counters["lost"] / requested,
    )


def summarize(case: Case, results: list[Result]) -> dict[str, object]:
    """Return one row of the output: the worst window of all seeds, and means over all seeds."""
    worst = max((result.worst for result in results), key=lambda window: window.overload_ratio)

    def mean(values: list[float]) -> float:
        return round(sum(values) / len(results), 3)

    return {
        **case.as_row(),
        "worst_ratio": round(worst.overload_ratio, 2),
        "connects": worst.connects,
        "allowed_connects": round(worst.allowed_connects, 1),
        "overloaded_runs": sum(result.worst.overload_ratio > 1 for result in results),
        "runs": len(results),
        "allowance_used": mean([result.allowance_used for result in results]),
        "established": mean([result.established for result in results]),
        "lost": mean([result.lost for result in results]),
    }


@click.command(context_settings={"token_normalize_func": lambda name: OLDER_OPTIONS.get(name, name)})
@click.option(
    "--directors", multiple=True, type=click.IntRange(1, 1_000), help="Number of balancers; may be repeated."
)
@click.option(
    "--replace",
    "replacements",
    multiple=True,
    type=click.Choice(list(REPLACEMENTS)),
    help="Part of the servers that is replaced; may be repeated.",
)
@click.option("--seeds", type=click.IntRange(1), default=50, help="Number of seeds per case.")
@click.option("--first", "first_seed", type=int, default=1, help="The first seed.")
@click.option("--workers", type=click.IntRange(1, 64), default=2, help="Number of worker processes.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object per case.")
def main(
    directors: tuple[int, ...],
    replacements: tuple[str, ...],
    seeds: int,
    first_seed: int,
    workers: int,
    as_json: bool,
) -> None:
    """Count the connects to servers in slow start; exit with 1 if any server was overloaded.

    Example: python benchmarks/slow_start.py --directors 20 --directors 30 --seeds 50 --workers 4
    """
    cases = make_cases(directors, replacements)
    any_overloaded = False
    with multiprocessing.Pool(workers) as pool:
        jobs = [(case, first_seed + index) for case in cases for index in range(seeds)]
        results = pool.imap(run_case, jobs, chunksize=5)
        for case in cases:
            row = summarize(case, [next(results) for _ in range(seeds)])
            any_overloaded = any_overloaded or row["overloaded_runs"] != 0
            if as_json:
                print(json.dumps(row), flush=True)
            else:
                print(" ".join(f"{key}={value}" for key, value in row.items()), flush=True)
    sys.exit(int(any_overloaded))


def make_cases(directors: Sequence[int], replacements: Sequence[str]) -> list[Case]:
    """Return all cases with the given numbers of balancers and replacements; none given stands for all."""
    return [
        Case(count, skewed, replacement, groups, connection_storm)
        for count in directors or DIRECTOR_COUNTS
        for replacement in replacements or REPLACEMENTS
        for skewed in (False, True)
        for groups in GROUP_COUNTS
        for connection_storm in (False, True)
    ]


if __name__ == "__main__":
    main()
