"""News by version: what one process holds of them, and how it follows.

Owns the versions' order, what may be taken after what, and the digest that proves it. It must never do I/O,
read a clock, go back to an older version, or mix what two origins published.

A version is (fence, number). The fence is the lease's of the origin that published it: it never falls, and
two origins never share one (docs/leases.md). Numbers grow by one within and across fences.
"""

from collections import deque
from collections.abc import Iterator
from hashlib import blake2b
from typing import NamedTuple

HISTORY = 512  # versions from which a delta can be told; one that follows from further back takes a snapshot
GONE = 4_096  # keys that have left and are still told in deltas; beyond, the history behind the oldest is cut
MASK = (1 << 64) - 1

TAKEN, SAME, OLDER, GAP, SPOILT = "applied", "duplicate", "stale", "gap", "corrupt"


class Version(NamedTuple):
    """Which news these are; (0, 0) is nothing yet."""

    fence: int = 0
    number: int = 0


class Snapshot(NamedTuple):
    """All there is at a version."""

    version: Version
    digest: int
    items: dict[str, bytes]


class Delta(NamedTuple):
    """What changed from one version to another; None: the key has left."""

    since: Version
    version: Version
    digest: int
    changed: dict[str, bytes | None]


class PublishRejected(Exception):
    """An origin may not publish: it was told of a higher fence."""


def weight(key: str, value: bytes) -> int:
    """What an item adds to the digest, modulo 2^64: the same in any order.

    >>> weight("a", b"1") == weight("a", b"1") != weight("a", b"2")
    True
    """
    name = key.encode()
    return int.from_bytes(blake2b(b"%d:%b%b" % (len(name), name, value), digest_size=8).digest())


class VersionedStore:
    """What one process holds."""

    def __init__(self) -> None:
        self.version = Version()
        self.digest = 0
        self.items: dict[str, bytes] = {}  # what the origin publishes bounds it
        self.at: dict[str, Version] = {}  # when each item last changed; leaves with it
        self.gone: dict[str, Version] = {}  # GONE at most, the oldest first; leave when they are back
        self.history: deque[Version] = deque(maxlen=HISTORY)  # passed here, the newest last

    def publish(self, fence: int, changed: dict[str, bytes | None]) -> bool:
        """An origin's: make a version of what differs; whether there is one. A new fence makes one all the
        same: its holder's word that these are the news. Raises Refused under a lower fence than one seen."""
        if fence < self.version.fence:
            raise PublishRejected(f"fence {fence} after {self.version.fence}")
        differs = {key: value for key, value in changed.items() if self.items.get(key) != value}
        if not differs and fence == self.version.fence:
            return False
        self._apply(Version(fence, self.version.number + 1), differs, self._digest(differs))
        return True

    def take(self, news: Snapshot | Delta) -> str:
        """A follower's: take news, or say why not. Nothing is taken in part."""
        if news.version <= self.version:
            return SAME if news.version == self.version else OLDER
        if isinstance(news, Delta):
            if news.since != self.version:
                return GAP
            changed = news.changed
        else:
            changed = dict.fromkeys(self.items.keys() - news.items.keys())
            changed.update(item for item in news.items.items() if self.items.get(item[0]) != item[1])
        if self._digest(changed) != news.digest:
            return SPOILT
        if isinstance(news, Snapshot):
            # What lies between is not known here: nobody can be told a delta from before.
            self.history.clear()
            self.gone.clear()
        self._apply(news.version, changed, news.digest)
        return TAKEN

    def since(self, version: Version) -> Delta | Snapshot | None:
        """What somebody at a version lacks; None where that is nothing, or where it is ahead of us."""
        if version >= self.version:
            return None
        if version not in self.history:
            return Snapshot(self.version, self.digest, dict(self.items))
        changed: dict[str, bytes | None] = {key: None for key, at in self.gone.items() if at > version}
        changed.update((key, self.items[key]) for key, at in self.at.items() if at > version)
        return Delta(version, self.version, self.digest, changed)

    def _digest(self, changed: dict[str, bytes | None]) -> int:
        """The digest with these changes."""
        digest = self.digest
        for key, value in changed.items():
            old = self.items.get(key)
            digest -= weight(key, old) if old is not None else 0
            digest += weight(key, value) if value is not None else 0
        return digest & MASK

    def _apply(self, version: Version, changed: dict[str, bytes | None], digest: int) -> None:
        for key, value in changed.items():
            self.gone.pop(key, None)
            if value is not None:
                self.items[key], self.at[key] = value, version
            elif self.items.pop(key, None) is not None:
                del self.at[key]
                self.gone[key] = version
        while len(self.gone) > GONE:
            cut = self.gone.pop(next(iter(self.gone)))
            while self.history and self.history[0] < cut:
                self.history.popleft()
        self.version, self.digest = version, digest
        self.history.append(version)


def parts(news: Snapshot, most: int) -> Iterator[tuple[int, int, dict[str, bytes]]]:
    """Cut a snapshot into parts of about so many bytes: (which, of how many, items).

    >>> news = Snapshot(Version(1, 1), 0, {"a": b"12", "b": b"3"})
    >>> [(at, of, list(items)) for at, of, items in parts(news, 3)]
    [(0, 2, ['a']), (1, 2, ['b'])]
    """
    cut: list[dict[str, bytes]] = [{}]
    size = 0
    for key, value in news.items.items():
        more = len(key) + len(value)
        if size + more > most and cut[-1]:
            cut.append({})
            size = 0
        cut[-1][key] = value
        size += more
    return ((at, len(cut), items) for at, items in enumerate(cut))
