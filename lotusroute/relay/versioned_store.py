"""A versioned key-value store that is replicated from one origin by snapshots and deltas.

A version consists of a fencing token and a sequence number. The fencing token is that of the lease under
which an origin published the version: it never decreases, and no two origins share one (docs/leases.md).
Sequence numbers increase by one, also from one fencing token to the next. Each update carries a digest over
all items, which shows whether applying the update results in the origin's items. An update is applied
completely or not at all.

This module is pure: it does no I/O and reads no clock.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple

from lotusroute.relay.errors import DeposedError

# Number of versions from which a delta can be made; a subscriber that lags further behind is sent a snapshot.
HISTORY_LIMIT = 512
# Number of removed keys that deltas can still report. Beyond it, the versions from which a delta would need a
# discarded key are removed from the history.
TOMBSTONE_LIMIT = 4_096
DIGEST_MASK = (1 << 64) - 1

Changes = dict[str, bytes | None]  # new values by key; None if the key was removed


class UpdateOutcome(StrEnum):
    """The result of applying an update; the values are part of counter names."""

    APPLIED = "applied"
    DUPLICATE = "duplicate"  # the store already has this version
    STALE = "stale"  # the store has a later version than the update
    GAP = "gap"  # the base version of the delta is not the store's version
    CORRUPT = "corrupt"  # the digest does not match the items


class Version(NamedTuple):
    """Identifies the contents of a store; (0, 0) is the empty store.

    >>> str(Version(7, 31))
    '7.31'
    """

    fencing_token: int = 0
    sequence_number: int = 0

    def __str__(self) -> str:
        return f"{self.fencing_token}.{self.sequence_number}"


class Snapshot(NamedTuple):
    """All items at a version."""

    version: Version
    digest: int
    items: dict[str, bytes]


class Delta(NamedTuple):
    """The changes from one version to another."""

    base_version: Version
    version: Version
    digest: int
    changes: Changes


Update = Snapshot | Delta


@dataclass(frozen=True, slots=True)
class SnapshotPart:
    """One of the messages that a large snapshot is split into."""

    index: int
    count: int
    items: Changes


def item_hash(key: str, value: bytes) -> int:
    """Return the 64-bit hash of an item.

    A digest is the sum of the hashes of all items modulo 2^64, so it does not depend on their order.

    >>> item_hash("a", b"1") == item_hash("a", b"1") != item_hash("a", b"2")
    True
    """
    encoded = key.encode()
    return int.from_bytes(blake2b(b"%d:%b%b" % (len(encoded), encoded, value), digest_size=8).digest())


class VersionedStore:
    """The items of one process, and the history that it needs to make updates for other processes."""

    def __init__(self) -> None:
        self.version = Version()
        self.digest = 0
        self.items: dict[str, bytes] = {}  # not limited in number: as many as the origin publishes
        self.item_versions: dict[str, Version] = {}  # the version in which each item last changed
        # The version in which each key was removed, oldest first, for at most TOMBSTONE_LIMIT keys.
        self.tombstones: dict[str, Version] = {}
        # The versions from which a delta can be made, newest last.
        self.history: deque[Version] = deque(maxlen=HISTORY_LIMIT)

    def publish(self, fencing_token: int, changes: Changes) -> bool:
        """Make a new version of those changes that have an effect; return whether there is a new version.

        Only the origin may call this. The first call with a new fencing token makes a version even without a
        change, because the new origin confirms that the items are current. Raises `DeposedError` if the store
        has a version with a higher fencing token.
        """
        if fencing_token < self.version.fencing_token:
            raise DeposedError(fencing_token, self.version.fencing_token)
        effective = {key: value for key, value in changes.items() if self.items.get(key) != value}
        if not effective and fencing_token == self.version.fencing_token:
            return False
        version = Version(fencing_token, self.version.sequence_number + 1)
        self._commit(version, effective, self.digest_after(effective))
        return True

    def apply(self, update: Update) -> UpdateOutcome:
        """Apply an update from the origin and return the outcome; any but APPLIED changes nothing."""
        if update.version == self.version:
            return UpdateOutcome.DUPLICATE
        if update.version < self.version:
            return UpdateOutcome.STALE
        if isinstance(update, Delta):
            if update.base_version != self.version:
                return UpdateOutcome.GAP
            changes = update.changes
        else:
            changes = self._changes_to(update)
        if self.digest_after(changes) != update.digest:
            return UpdateOutcome.CORRUPT
        if isinstance(update, Snapshot):
            # The versions that a snapshot skips are unknown, so no delta can be made from an earlier version.
            self.history.clear()
            self.tombstones.clear()
        self._commit(update.version, changes, update.digest)
        return UpdateOutcome.APPLIED

    def update_since(self, version: Version) -> Update | None:
        """Return the update from a version to the current one; None if the version is current or later."""
        if version >= self.version:
            return None
        if version not in self.history:
            return self.snapshot()
        changes: Changes = {key: None for key, removed_in in self.tombstones.items() if removed_in > version}
        for key, changed_in in self.item_versions.items():
            if changed_in > version:
                changes[key] = self.items[key]
        return Delta(version, self.version, self.digest, changes)

    def snapshot(self) -> Snapshot:
        """Return all items at the current version."""
        return Snapshot(self.version, self.digest, dict(self.items))

    def digest_after(self, changes: Changes) -> int:
        """Return the digest of the items as they would be after these changes."""
        digest = self.digest
        for key, value in changes.items():
            old_value = self.items.get(key)
            if old_value is not None:
                digest -= item_hash(key, old_value)
            if value is not None:
                digest += item_hash(key, value)
        return digest & DIGEST_MASK

    def _changes_to(self, snapshot: Snapshot) -> Changes:
        changes: Changes = dict.fromkeys(self.items.keys() - snapshot.items.keys())
        for key, value in snapshot.items.items():
            if self.items.get(key) != value:
                changes[key] = value
        return changes

    def _commit(self, version: Version, changes: Changes, digest: int) -> None:
        for key, value in changes.items():
            self.tombstones.pop(key, None)
            if value is not None:
                self.items[key] = value
                self.item_versions[key] = version
            elif self.items.pop(key, None) is not None:
                del self.item_versions[key]
                self.tombstones[key] = version
        self._trim_tombstones()
        self.version = version
        self.digest = digest
        self.history.append(version)

    def _trim_tombstones(self) -> None:
        """Discard the oldest tombstones, and the versions from which a delta would need them."""
        while len(self.tombstones) > TOMBSTONE_LIMIT:
            removed_in = self.tombstones.pop(next(iter(self.tombstones)))
            while self.history and self.history[0] < removed_in:
                self.history.popleft()


def split_snapshot(snapshot: Snapshot, max_bytes: int) -> Iterator[SnapshotPart]:
    """Split a snapshot into parts of at most `max_bytes` of items each.

    The size of a key is its number of characters. A larger item than `max_bytes` is a part of its own.

    >>> snapshot = Snapshot(Version(1, 1), 0, {"a": b"12", "b": b"3"})
    >>> [(part.index, part.count, list(part.items)) for part in split_snapshot(snapshot, 3)]
    [(0, 2, ['a']), (1, 2, ['b'])]
    """
    batches: list[Changes] = [{}]
    batch_size = 0
    for key, value in snapshot.items.items():
        item_size = len(key) + len(value)
        if batch_size + item_size > max_bytes and batches[-1]:
            batches.append({})
            batch_size = 0
        batches[-1][key] = value
        batch_size += item_size
    return (SnapshotPart(index, len(batches), items) for index, items in enumerate(batches))
