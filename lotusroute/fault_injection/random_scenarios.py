"""Hunts for breaches: drawn faults between several processes, judged, from a seed that brings them back.

Owns which faults are drawn and when, and what has to be so once they end. It must never draw from anything
but its seed, go on after a breach without telling it, or leave a process behind.

    python -m lotusroute fault-injection hunt --seconds 60 --processes 5 --seed 1
"""

import random
import time
from typing import NamedTuple

from lotusroute.fault_injection.invariants import Breach, judge
from lotusroute.fault_injection.processes import LogRecord, ProcessFleet

LEASE = 1_000.0  # ms: a third of the usual, so that more hand-overs fit in
FAULTS = 6  # of one scenario, at most
CALM = 3 * LEASE / 1000 + 5.0  # s after the last fault until somebody holds: a start, silence, a lease
WEIGHTS = {
    "kill": 3,
    "end": 2,
    "stop": 3,
    "cut": 3,
    "one way": 3,
    "reset": 2,
    "slow": 1,
    "trickle": 1,
    "all": 1,
}


class Outcome(NamedTuple):
    """What came of one scenario."""

    seed: int
    faults: tuple[str, ...]
    breaches: tuple[Breach, ...]
    hand_overs: int
    recovered: float  # s from the end of the last fault until somebody held; -1 where nobody did

    @property
    def bad(self) -> bool:
        """Whether something was breached, or nobody held in the end."""
        return bool(self.breaches) or self.recovered < 0


def scenario(seed: int, processes: int = 3, keepers: int = 3) -> Outcome:
    """Play one drawn scenario."""
    draw, made = random.Random(seed), []
    with ProcessFleet(processes, keepers, lease_ms=LEASE) as fleet:
        fleet.wait_for_holder()
        down: set[str] = set()
        for _ in range(draw.randint(2, FAULTS)):
            made.append(_fault(draw, fleet, down))
            time.sleep(draw.choice((0.0, 0.05, 0.3, 1.2)))
        for name in sorted(down):
            fleet.start(name)
        fleet.proxy.delays.clear()
        fleet.proxy.rates.clear()
        fleet.proxy.unblock()
        fleet.record_fault("healed")
        healed = time.monotonic()
        try:
            held = fleet.wait_for(lambda lines: _holds(lines, healed), CALM)
        except AssertionError:
            held = None
        lines = fleet.copy_records()
    count = sum(line.event == "lease acquired" for line in lines)
    after = max(0.0, held - healed) if held is not None else -1.0
    return Outcome(seed, tuple(made), tuple(judge(lines)), count, after)


def _holds(lines: list[LogRecord], healed: float) -> float | None:
    """When somebody holds who still does; None while nobody does."""
    holder: tuple[str, float] | None = None
    for line in lines:
        if line.event == "lease acquired":
            holder = line.process, line.time
        elif holder and (
            line.event == "lease lost"
            and line.process == holder[0]
            or line.event == "kill"
            and line.fields.get("of") == holder[0]
        ):
            holder = None
    # One who held before counts once it could have noticed that it does no longer.
    if holder is None or holder[1] <= healed and time.monotonic() < healed + LEASE / 1000:
        return None
    return holder[1]


def _fault(draw: random.Random, fleet: ProcessFleet, down: set[str]) -> str:
    """Do one thing to the fleet, of those it can bear; says what."""
    kind = draw.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
    up = sorted(set(fleet.names) - down)
    # Half of the time the holder is meant: it is where most may go wrong.
    held = [line.process for line in fleet.records if line.event == "lease acquired" and line.process in up]
    name = held[-1] if held and draw.random() < 0.5 else draw.choice(up)
    other = draw.choice([other for other in fleet.names if other != name])
    if kind in ("kill", "end"):
        fleet.kill(name) if kind == "kill" else fleet.terminate(name)
        if len(up) > 1 and draw.random() < 0.3:
            down.add(name)
        else:
            time.sleep(draw.choice((0.0, 0.05)))
            fleet.start(name)
        return f"{kind} {name}"
    if kind == "all":
        for keeper in [keeper for keeper in fleet.acceptors if keeper in up]:
            fleet.kill(keeper)
            fleet.start(keeper)
        return "kill all keepers"
    if kind == "stop":
        length = draw.choice((0.1, 0.6, 1.5, 3.0))
        with fleet.paused(name):
            time.sleep(length)
        return f"stop {name} {length}"
    if kind == "cut":
        some = draw.sample(fleet.names, draw.randint(1, len(fleet.names) // 2))
        fleet.record_fault("cut", of=",".join(some))
        fleet.proxy.partition(some, [peer for peer in fleet.names if peer not in some])
        if draw.random() < 0.7:
            time.sleep(draw.choice((0.2, 1.0, 2.5)))
            fleet.proxy.unblock()
        return f"cut {','.join(some)}"
    if kind == "one way":
        fleet.record_fault("one way", of=name, to=other)
        fleet.proxy.block((name, other))
        return f"one way {name} {other}"
    if kind == "reset":
        fleet.record_fault("reset", of=name, to=other)
        fleet.proxy.reset(name, other)
        return f"reset {name} {other}"
    fleet.record_fault(kind, of=name, to=other)
    if kind == "slow":
        fleet.proxy.delays[name, other] = draw.choice((0.05, 0.3, 0.8))
    else:
        fleet.proxy.rates[name, other] = draw.choice((20.0, 200.0))
    return f"{kind} {name} {other}"
