"""A process's replica of the endpoint list, updated by the messages of another process.

Times are in milliseconds of the caller's clock.
"""

from collections import Counter
from typing import NamedTuple

from lotusroute.relay import messages
from lotusroute.relay.versioned_store import Update, UpdateOutcome, Version, VersionedStore

# Age of the list of a relay that has received nothing from discovery or an origin.
UNKNOWN_AGE_MS = 1e9


class ReceivedUpdate(NamedTuple):
    """A completely received update, and the outcome of applying it."""

    update: Update
    outcome: UpdateOutcome


class Replica:
    """The store of one process, and the parts of a snapshot that is being received."""

    def __init__(self, counters: "Counter[str]") -> None:
        self.store = VersionedStore()
        self.counters = counters
        self._assembler = messages.SnapshotAssembler()

    def receive(self, message: messages.UpdateMessage) -> ReceivedUpdate | None:
        """Apply the update that this message completes.

        Returns None for a heartbeat, and for a snapshot part that does not complete the snapshot.
        """
        if message.is_heartbeat:
            return None
        update = self._assembler.add(message)
        if update is None:
            return None
        outcome = self.store.apply(update)
        self.counters[f"updates_{outcome}"] += 1
        return ReceivedUpdate(update, outcome)

    def acknowledge(self, received: ReceivedUpdate | None) -> bytes:
        """Return the encoded acknowledgement of a message, which names the version of the replica.

        After a corrupt update it names the empty version, which requests a snapshot.
        """
        if received is not None and received.outcome == UpdateOutcome.CORRUPT:
            return messages.encode_acknowledgement(Version())
        return messages.encode_acknowledgement(self.store.version)


class RelayReplica(Replica):
    """The replica of a relay, which tells its subscribers the age of the list."""

    def __init__(self, counters: "Counter[str]") -> None:
        super().__init__(counters)
        self.confirmed_at = -UNKNOWN_AGE_MS  # latest known time at which discovery confirmed the list

    def confirm(self, now: float, age_ms: float) -> None:
        """Record that discovery confirmed the list `age_ms` ago."""
        self.confirmed_at = max(self.confirmed_at, now - age_ms)

    def age_ms(self, now: float) -> float:
        """Return how many ms ago discovery last confirmed the list; at most UNKNOWN_AGE_MS."""
        return min(UNKNOWN_AGE_MS, now - self.confirmed_at)

    def has_list(self, now: float) -> bool:
        """Return whether the replica has received a list."""
        return self.age_ms(now) <= UNKNOWN_AGE_MS / 2
