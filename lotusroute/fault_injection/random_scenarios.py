"""Random fault scenarios: injects faults drawn from a seed into a fleet, then checks the lease invariants.

    python -m lotusroute fault-injection run --seconds 60 --processes 5 --seed 1

The seed determines the faults and the pauses between them, but not how the operating system schedules the
processes.
"""

import random
import time
from typing import NamedTuple

from lotusroute.fault_injection.fault_injector import FaultInjector
from lotusroute.fault_injection.invariants import Violation, find_violations
from lotusroute.fault_injection.log_records import LEASE_ACQUIRED, LEASE_LOST, FaultKind, LogRecord
from lotusroute.fault_injection.processes import ProcessFleet
from lotusroute.process_control.errors import LogTimeoutError

# A third of the default lease duration, so that the lease changes its holder several times in a scenario.
LEASE_MS = 1_000.0
LEASE_S = LEASE_MS / 1000
MIN_FAULTS = 2  # lowest number of faults in a scenario
MAX_FAULTS = 6  # highest number of faults in a scenario
PAUSES_BETWEEN_FAULTS_S = (0.0, 0.05, 0.3, 1.2)
# Longest time from healing all faults until a process holds the lease. It includes the start of a process,
# the silence of an acceptor after its restart, and one lease.
RECOVERY_TIMEOUT_S = 3 * LEASE_S + 5.0


class ScenarioOutcome(NamedTuple):
    """The result of one scenario."""

    seed: int
    faults: tuple[str, ...]
    violations: tuple[Violation, ...]
    holder_changes: int  # acquisitions of the lease, including the first
    recovery_time: float  # seconds from healing all faults until a process held the lease; -1 if none did

    @property
    def failed(self) -> bool:
        """Whether an invariant was violated or no process held the lease at the end."""
        return bool(self.violations) or self.recovery_time < 0


def run_scenario(seed: int, process_count: int = 3, acceptor_count: int = 3) -> ScenarioOutcome:
    """Run one random scenario and check the invariants."""
    rng = random.Random(seed)
    with ProcessFleet(process_count, acceptor_count, lease_ms=LEASE_MS) as fleet:
        fleet.wait_for_holder()
        injector = FaultInjector(fleet, rng)
        faults = []
        for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
            faults.append(injector.inject())
            time.sleep(rng.choice(PAUSES_BETWEEN_FAULTS_S))
        injector.heal()
        recovery_time = _wait_for_recovery(fleet, time.monotonic())
        records = fleet.records
    holder_changes = sum(record.event == LEASE_ACQUIRED for record in records)
    violations = tuple(find_violations(records))
    return ScenarioOutcome(seed, tuple(faults), violations, holder_changes, recovery_time)


def _wait_for_recovery(fleet: ProcessFleet, healed_at: float) -> float:
    """Return the seconds from `healed_at` until a process holds the lease; -1 on a timeout."""
    try:
        acquired_at = fleet.wait_for(
            lambda records: _current_lease_start(records, healed_at), RECOVERY_TIMEOUT_S
        )
    except LogTimeoutError:
        return -1.0
    return max(0.0, acquired_at - healed_at)


def _current_lease_start(records: list[LogRecord], healed_at: float) -> float | None:
    """Return when the current holder acquired its lease; None while there is no holder."""
    holder: LogRecord | None = None
    for record in records:
        if record.event == LEASE_ACQUIRED:
            holder = record
        elif holder is not None and _ends_lease(record, holder.process):
            holder = None
    if holder is None:
        return None
    if holder.time <= healed_at and time.monotonic() < healed_at + LEASE_S:
        # The holder may have lost the lease through a fault and not have noticed yet.
        return None
    return holder.time


def _ends_lease(record: LogRecord, holder: str) -> bool:
    """Return whether a record shows that the holder lost the lease or was killed."""
    if record.event == LEASE_LOST:
        return record.process == holder
    return record.event == FaultKind.KILL and record.fields.get("target") == holder
