"""The cases of the loopback benchmark: each is a set of servers and the flows that clients open to them."""

import random
from typing import NamedTuple

from peer_messages import SlowPeriod

QUICK_CASES = ("idle-1", "idle-16", "idle-64", "5ms-heavy-16", "standing", "lines")


class Case(NamedTuple):
    """A set of servers and the flows that clients open to them."""

    name: str
    setups_ms: tuple[float, ...]  # median set-up time of each server
    spread: str = "light"  # distribution of the set-up times: light, heavy or wild; see server_stub.py
    concurrency: int = 16
    flows: int = 2_000
    skewed: bool = False
    hold_s: float = 0.0  # how long flows stay open after all have been answered; 0: each ends at its receipt
    line_count: int = 0  # lines that one client sends, one after the other, through the balancer and directly
    slow: SlowPeriod | None = None  # period in which one server sets up flows slowly, if any


def all_cases() -> dict[str, Case]:
    """Return all cases by name. Long set-ups come with fewer flows, so that no case takes much over 20 s."""
    cases = [
        *_idle_cases(),
        *_setup_cases(),
        *_server_cases(),
        Case("older", (1.0,) * 7 + (3.0,), "light", 16, 2_000),
        Case("zones", (1.0,) * 4 + (5.0,) * 4, "light", 16, 2_000),
        Case(
            "overdriven",
            (1.0,) * 8,
            "light",
            4,
            6_000,
            slow=SlowPeriod(server=0, start_s=2.0, end_s=7.0),
        ),
        Case("skewed-4", (1.0,) * 8, "heavy", 4, 2_000, skewed=True),
        Case("skewed-64", (1.0,) * 8, "heavy", 64, 2_000, skewed=True),
        Case("standing", (0.0,) * 8, concurrency=16, flows=1_000, hold_s=6.0),
        Case("standing-heavy", (20.0,) * 8, "heavy", 64, 1_000, hold_s=6.0),
        Case("standing-older", (1.0,) * 7 + (3.0,), "light", 16, 1_000, hold_s=6.0),
        Case("standing-5000", (0.0,) * 8, concurrency=16, flows=5_000, hold_s=4.0),
        Case("lines", (0.0,) * 8, concurrency=1, flows=1, line_count=3_000),
    ]
    return {case.name: case for case in cases}


def _idle_cases() -> list[Case]:
    return [
        Case(f"idle-{concurrency}", (0.0,) * 8, concurrency=concurrency, flows=4_000)
        for concurrency in (1, 4, 16, 64)
    ]


def _setup_cases() -> list[Case]:
    cases = []
    for setup_ms in (1.0, 5.0, 20.0, 100.0):
        for spread in ("light", "heavy"):
            for concurrency in (1, 16, 64):
                name = f"{setup_ms:.0f}ms-{spread}-{concurrency}"
                flows = max(100, min(2_000, int(8_000 * concurrency / (setup_ms + 2))))
                cases.append(Case(name, (setup_ms,) * 8, spread, concurrency, flows))
    cases.append(Case("100ms-wild-16", (100.0,) * 8, "wild", 16, 1_200))
    # A new generator is seeded for each server, so all eight have the same set-up time. This is kept, because
    # the figures in docs/performance.md were measured with this case.
    mixed = tuple(random.Random(1).choice((0.0, 1.0, 5.0, 20.0, 100.0)) for _ in range(8))
    for concurrency in (1, 16, 64):
        flows = 300 if concurrency == 1 else 1_500
        cases.append(Case(f"mixed-{concurrency}", mixed, "heavy", concurrency, flows))
    return cases


def _server_cases() -> list[Case]:
    return [Case(f"servers-{count}", (1.0,) * count, "heavy", 16, 2_000) for count in (1, 2, 50, 500)]
