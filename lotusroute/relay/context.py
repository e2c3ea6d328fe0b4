"""The objects that the components of a relay share."""

from collections import Counter
from dataclasses import dataclass

from lotusroute.fleet.lease_service import LeaseService
from lotusroute.relay.replica import RelayReplica


@dataclass(frozen=True, slots=True)
class RelayContext:
    """The lease service, the replica and the counters of a relay, as each of its components uses them."""

    lease_service: LeaseService
    replica: RelayReplica
    counters: "Counter[str]"

    def now(self) -> float:
        """Return the time of the relay's clock in ms."""
        return self.lease_service.clock()

    def age_ms(self) -> float:
        """Return how many ms ago discovery last confirmed the replica's list."""
        return self.replica.age_ms(self.now())
