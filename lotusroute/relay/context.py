"""What the components of one relay share."""

from collections import Counter
from dataclasses import dataclass

from lotusroute.fleet.lease_service import LeaseService
from lotusroute.relay.replica import RelayReplica


@dataclass(frozen=True, slots=True)
class RelayContext:
    """The collaborators of each component of a relay."""

    lease_service: LeaseService
    replica: RelayReplica
    counters: "Counter[str]"

    def now(self) -> float:
        """Return the time in ms of the relay's clock."""
        return self.lease_service.clock()

    def age_ms(self) -> float:
        """Return how long ago discovery confirmed the list of the replica."""
        return self.replica.age_ms(self.now())
