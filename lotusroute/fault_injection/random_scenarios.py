"""Random fault scenarios between several processes: faults from a seed, then a check of the invariants.

    python -m lotusroute fault-injection hunt --seconds 60 --processes 5 --seed 1

A scenario is reproducible from its seed as far as the faults and the pauses between them go.
"""

import random
import time
from enum import StrEnum
from typing import NamedTuple

from lotusroute.fault_injection.invariants import Violation, find_violations
from lotusroute.fault_injection.processes import LogRecord, ProcessFleet

LEASE_MS = 1_000.0  # a third of the default, so that more changes of holder fit in
MAX_FAULTS = 6  # of one scenario
RECOVERY_TIMEOUT = 3 * LEASE_MS / 1000 + 5.0  # s from the last fault to a holder: start, silence and a lease


class FaultKind(StrEnum):
    """The injected faults; the values are in the records and in the output."""

    KILL = "kill"
    TERMINATE = "end"
    PAUSE = "stop"
    PARTITION = "cut"
    BLOCK = "one way"
    RESET = "reset"
    DELAY = "slow"
    THROTTLE = "trickle"
    KILL_ACCEPTORS = "all"


WEIGHTS = {
    FaultKind.KILL: 3,
    FaultKind.TERMINATE: 2,
    FaultKind.PAUSE: 3,
    FaultKind.PARTITION: 3,
    FaultKind.BLOCK: 3,
    FaultKind.RESET: 2,
    FaultKind.DELAY: 1,
    FaultKind.THROTTLE: 1,
    FaultKind.KILL_ACCEPTORS: 1,
}


class ScenarioOutcome(NamedTuple):
    """The outcome of one scenario."""

    seed: int
    faults: tuple[str, ...]
    violations: tuple[Violation, ...]
    holder_changes: int
    recovery_time: float  # s from the end of the last fault until a process held the lease; -1 if none did

    @property
    def failed(self) -> bool:
        """Whether an invariant was violated, or no process held the lease in the end."""
        return bool(self.violations) or self.recovery_time < 0


def run_scenario(seed: int, process_count: int = 3, acceptor_count: int = 3) -> ScenarioOutcome:
    """Run one random scenario."""
    rng = random.Random(seed)
    with ProcessFleet(process_count, acceptor_count, lease_ms=LEASE_MS) as fleet:
        fleet.wait_for_holder()
        injector = FaultInjector(fleet, rng)
        faults = []
        for _ in range(rng.randint(2, MAX_FAULTS)):
            faults.append(injector.inject())
            time.sleep(rng.choice((0.0, 0.05, 0.3, 1.2)))
        injector.heal()
        recovery_time = _wait_for_recovery(fleet, time.monotonic())
        records = fleet.copy_records()
    holder_changes = sum(record.event == "lease acquired" for record in records)
    violations = tuple(find_violations(records))
    return ScenarioOutcome(seed, tuple(faults), violations, holder_changes, recovery_time)


def _wait_for_recovery(fleet: ProcessFleet, healed_at: float) -> float:
    """Return the s until a process holds the lease; -1 if none does in time."""
    try:
        acquired_at = fleet.wait_for(
            lambda records: _current_lease_start(records, healed_at), RECOVERY_TIMEOUT
        )
    except AssertionError:
        return -1.0
    assert acquired_at is not None  # wait_for returns true results only
    return max(0.0, acquired_at - healed_at)


def _current_lease_start(records: list[LogRecord], healed_at: float) -> float | None:
    """Return when the current holder acquired its lease; None while there is no holder."""
    holder: LogRecord | None = None
    for record in records:
        if record.event == "lease acquired":
            holder = record
        elif holder is not None and _ends_lease(record, holder.process):
            holder = None
    if holder is None:
        return None
    if holder.time <= healed_at and time.monotonic() < healed_at + LEASE_MS / 1000:
        # It may have lost the lease by a fault without having noticed yet.
        return None
    return holder.time


def _ends_lease(record: LogRecord, holder: str) -> bool:
    """Whether the record says that the holder lost the lease or was killed."""
    if record.event == "lease lost":
        return record.process == holder
    return record.event == "kill" and record.fields.get("of") == holder


class FaultInjector:
    """Injects random faults into a fleet; each method returns a description of the fault."""

    def __init__(self, fleet: ProcessFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.down: set[str] = set()  # processes that were ended and not started again

    def inject(self) -> str:
        """Inject one fault that the fleet can tolerate in its present state."""
        kind = self.rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        process = self._choose_process()
        peer = self.rng.choice([name for name in self.fleet.names if name != process])
        match kind:
            case FaultKind.KILL | FaultKind.TERMINATE:
                return self._end_process(kind, process)
            case FaultKind.KILL_ACCEPTORS:
                return self._kill_acceptors()
            case FaultKind.PAUSE:
                return self._pause(process)
            case FaultKind.PARTITION:
                return self._partition()
            case _:
                return self._disturb_link(kind, process, peer)

    def heal(self) -> None:
        """Start all processes that are down and remove all network faults."""
        for process in sorted(self.down):
            self.fleet.start(process)
        self.fleet.proxy.delays.clear()
        self.fleet.proxy.rates.clear()
        self.fleet.proxy.unblock()
        self.fleet.record_fault("healed")

    def _running(self) -> list[str]:
        return sorted(set(self.fleet.names) - self.down)

    def _choose_process(self) -> str:
        """Choose the last holder half of the time, as most can go wrong there, else any running process."""
        running = self._running()
        holders = [
            record.process
            for record in self.fleet.copy_records()
            if record.event == "lease acquired" and record.process in running
        ]
        if holders and self.rng.random() < 0.5:
            return holders[-1]
        return self.rng.choice(running)

    def _end_process(self, kind: FaultKind, process: str) -> str:
        """End a process; start it again at once most of the time, and always if it is the last one."""
        several_running = len(self._running()) > 1
        if kind == FaultKind.KILL:
            self.fleet.kill(process)
        else:
            self.fleet.terminate(process)
        if several_running and self.rng.random() < 0.3:
            self.down.add(process)
        else:
            time.sleep(self.rng.choice((0.0, 0.05)))
            self.fleet.start(process)
        return f"{kind} {process}"

    def _kill_acceptors(self) -> str:
        running = self._running()
        for acceptor in self.fleet.acceptors:
            if acceptor in running:
                self.fleet.kill(acceptor)
                self.fleet.start(acceptor)
        return "kill all keepers"

    def _pause(self, process: str) -> str:
        duration = self.rng.choice((0.1, 0.6, 1.5, 3.0))
        with self.fleet.paused(process):
            time.sleep(duration)
        return f"{FaultKind.PAUSE} {process} {duration}"

    def _partition(self) -> str:
        """Partition the fleet in two, most of the time only for a while."""
        names = self.fleet.names
        minority = self.rng.sample(names, self.rng.randint(1, len(names) // 2))
        joined_names = ",".join(minority)
        self.fleet.record_fault(FaultKind.PARTITION, of=joined_names)
        self.fleet.proxy.partition(minority, [name for name in names if name not in minority])
        if self.rng.random() < 0.7:
            time.sleep(self.rng.choice((0.2, 1.0, 2.5)))
            self.fleet.proxy.unblock()
        return f"{FaultKind.PARTITION} {joined_names}"

    def _disturb_link(self, kind: FaultKind, process: str, peer: str) -> str:
        proxy = self.fleet.proxy
        self.fleet.record_fault(kind, of=process, to=peer)
        match kind:
            case FaultKind.BLOCK:
                proxy.block((process, peer))
            case FaultKind.RESET:
                proxy.reset(process, peer)
            case FaultKind.DELAY:
                proxy.delays[process, peer] = self.rng.choice((0.05, 0.3, 0.8))
            case FaultKind.THROTTLE:
                proxy.rates[process, peer] = self.rng.choice((20.0, 200.0))
        return f"{kind} {process} {peer}"
