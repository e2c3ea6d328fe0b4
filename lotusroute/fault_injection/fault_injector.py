"""Injects random faults into the processes and the network of a fleet."""

import random
import time

from lotusroute.fault_injection.log_records import LEASE_ACQUIRED, FaultKind
from lotusroute.fault_injection.network_proxy import Link
from lotusroute.fault_injection.processes import ProcessFleet

# How often each kind of fault is drawn, relative to the others.
FAULT_WEIGHTS = {
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
HOLDER_PROBABILITY = 0.5  # probability that a fault targets the last lease holder
# Probability that a process stays down after it was ended, until all faults are healed.
STAY_DOWN_PROBABILITY = 0.3
# Probability that a partition is healed after one of PARTITIONS_S; the others are healed with all faults.
TEMPORARY_PARTITION_PROBABILITY = 0.7
RESTART_DELAYS_S = (0.0, 0.05)
PAUSES_S = (0.1, 0.6, 1.5, 3.0)
PARTITIONS_S = (0.2, 1.0, 2.5)
LINK_DELAYS_S = (0.05, 0.3, 0.8)
LINK_RATES = (20.0, 200.0)  # rates of throttled links in bytes per second


class FaultInjector:
    """Injects random faults into a fleet; methods that inject a fault return a description of it."""

    def __init__(self, fleet: ProcessFleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.down: set[str] = set()  # processes that were killed or terminated and not restarted yet

    def inject(self) -> str:
        """Inject one random fault that the fleet can tolerate in its current state."""
        kind = self.rng.choices(list(FAULT_WEIGHTS), list(FAULT_WEIGHTS.values()))[0]
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
                return self._inject_link_fault(kind, Link(process, peer))

    def heal(self) -> None:
        """Restart all processes that are down and remove all network faults."""
        for process in sorted(self.down):
            self.fleet.start(process)
        self.fleet.proxy.delays.clear()
        self.fleet.proxy.rates.clear()
        self.fleet.proxy.unblock()
        self.fleet.record_fault(FaultKind.HEAL)

    def _running(self) -> list[str]:
        return sorted(set(self.fleet.names) - self.down)

    def _choose_process(self) -> str:
        """Choose the last lease holder, where faults are most likely to do harm, or any running process."""
        running = self._running()
        holders = [
            record.process
            for record in self.fleet.records
            if record.event == LEASE_ACQUIRED and record.process in running
        ]
        if holders and self.rng.random() < HOLDER_PROBABILITY:
            return holders[-1]
        return self.rng.choice(running)

    def _end_process(self, kind: FaultKind, process: str) -> str:
        """Kill or terminate a process; in most cases, and always if no other one runs, restart it at once."""
        several_running = len(self._running()) > 1
        if kind == FaultKind.KILL:
            self.fleet.kill(process)
        else:
            self.fleet.terminate(process)
        if several_running and self.rng.random() < STAY_DOWN_PROBABILITY:
            self.down.add(process)
        else:
            time.sleep(self.rng.choice(RESTART_DELAYS_S))
            self.fleet.start(process)
        return f"{kind} {process}"

    def _kill_acceptors(self) -> str:
        """Kill all running acceptors, and restart each one at once."""
        running = self._running()
        for acceptor in self.fleet.acceptors:
            if acceptor in running:
                self.fleet.kill(acceptor)
                self.fleet.start(acceptor)
        return FaultKind.KILL_ACCEPTORS

    def _pause(self, process: str) -> str:
        duration_s = self.rng.choice(PAUSES_S)
        with self.fleet.paused(process):
            time.sleep(duration_s)
        return f"{FaultKind.PAUSE} {process} {duration_s}"

    def _partition(self) -> str:
        """Partition the fleet into two sides; most partitions are healed after a short time."""
        names = self.fleet.names
        minority = self.rng.sample(names, self.rng.randint(1, len(names) // 2))
        joined_names = ",".join(minority)
        self.fleet.record_fault(FaultKind.PARTITION, targets=joined_names)
        self.fleet.proxy.partition(minority, [name for name in names if name not in minority])
        if self.rng.random() < TEMPORARY_PARTITION_PROBABILITY:
            time.sleep(self.rng.choice(PARTITIONS_S))
            self.fleet.proxy.unblock()
        return f"{FaultKind.PARTITION} {joined_names}"

    def _inject_link_fault(self, kind: FaultKind, link: Link) -> str:
        proxy = self.fleet.proxy
        self.fleet.record_fault(kind, sender=link.sender, receiver=link.receiver)
        match kind:
            case FaultKind.BLOCK:
                proxy.block(link)
            case FaultKind.RESET:
                proxy.reset(link.sender, link.receiver)
            case FaultKind.DELAY:
                proxy.delays[link] = self.rng.choice(LINK_DELAYS_S)
            case FaultKind.THROTTLE:
                proxy.rates[link] = self.rng.choice(LINK_RATES)
        return f"{kind} {link.sender} {link.receiver}"
