"""Who follows a process's news, and what each is sent next.

Owns the table of subscribers, one message in flight to each, and the bounds on all of it. It must never do
I/O, read a clock, keep news for one who is slow, or let one's slowness cost another anything.

A subscriber is sent what it lacks from the version that it last acknowledged. While a message is in flight
nothing is queued for it: fifty changes in a second are one delta to whoever was busy meanwhile.
"""

import math
from typing import NamedTuple

from lotusroute.relay.versioned_store import Delta, Snapshot, Version, VersionedStore

BEAT = 600.0  # ms between words to one who lacks nothing: who hears none for 1.5 s goes elsewhere
GIVE_UP = 2_500.0  # ms without an acknowledgement after which one is let go: it has left by then
MERGE = 50.0  # ms that news wait for more
SPACE = 250.0  # ms from one news to the next to the same subscriber: a burst of 50 is five messages, not 20
SNAPSHOTS = 8  # in flight at once: what a returning zone may take of us; the others stand in line


class Heartbeat(NamedTuple):
    """A word that nothing has changed: the version, and how old in ms what it rests on is."""

    version: Version
    age: float


class Send(NamedTuple):
    """Send this to a subscriber, and say when it is acknowledged."""

    to: str
    news: Snapshot | Delta | Heartbeat


class Drop(NamedTuple):
    """Let a subscriber go."""

    to: str
    why: str


class _Follower:
    """What is known of one subscriber."""

    __slots__ = ("version", "sent_at", "snapshot", "told_at", "news_at")

    def __init__(self, version: Version) -> None:
        self.version = version
        self.sent_at = math.inf  # of the message in flight; inf: none is
        self.snapshot = False  # that message is a snapshot
        self.told_at = self.news_at = -math.inf  # the last message, and the last that brought news


class FanOut:
    """All subscribers of one process."""

    def __init__(self, store: VersionedStore, most: int) -> None:
        self.store, self.most = store, most
        self.followers: dict[str, _Follower] = {}  # `most` at most; leave when lost, dropped, or let go
        self.waiting: dict[str, None] = {}  # those who stand in line for a snapshot; leave with their turn
        self.snapshots = 0
        self.changed_at = math.inf  # when the oldest news came that are not told yet

    def join(self, now: float, name: str, version: Version) -> list[Send | Drop]:
        """One comes, from a version; it is let go where the table is full."""
        if name not in self.followers and len(self.followers) >= self.most:
            return [Drop(name, "full")]
        self.leave(name)
        self.followers[name] = _Follower(version)
        return self._next(now, name, 0.0)

    def leave(self, name: str) -> None:
        """One has gone."""
        self.waiting.pop(name, None)
        follower = self.followers.pop(name, None)
        if follower is not None and follower.snapshot:
            self.snapshots -= 1

    def acknowledged(self, now: float, name: str, version: Version, age: float) -> list[Send | Drop]:
        """One has what was in flight, and is at a version now."""
        follower = self.followers.get(name)
        if follower is None:
            return []
        follower.version, follower.sent_at = version, math.inf
        self.snapshots -= follower.snapshot
        follower.snapshot = False
        out = self._line(now)
        if now >= self.changed_at + MERGE or self.changed_at == math.inf:
            out += self._next(now, name, age)
        return out

    def news(self, now: float) -> None:
        """The store has changed: it is told with the next tick, MERGE after."""
        self.changed_at = min(self.changed_at, now)

    def tick(self, now: float, age: float) -> list[Send | Drop]:
        """Time has passed. `age`: how old in ms what we hold is, by the last word that it rests on."""
        out: list[Send | Drop] = []
        for name, follower in list(self.followers.items()):
            if now - follower.sent_at >= GIVE_UP:
                self.leave(name)
                out.append(Drop(name, "slow"))
        if now >= self.changed_at + MERGE:
            self.changed_at = math.inf
        told = self.changed_at == math.inf
        out += self._line(now)
        for name, follower in self.followers.items():
            beat = now - follower.told_at >= BEAT
            if follower.sent_at == math.inf and (beat or told and follower.version < self.store.version):
                out += self._next(now, name, age)
        return out

    def due(self, now: float) -> float:
        """In how many ms the next tick is wanted."""
        return min(BEAT / 4, max(0.0, self.changed_at + MERGE - now))

    def _line(self, now: float) -> list[Send | Drop]:
        """Those in line for a snapshot, as far as there is room."""
        out: list[Send | Drop] = []
        while self.waiting and self.snapshots < SNAPSHOTS:
            name = next(iter(self.waiting))
            del self.waiting[name]
            out += self._next(now, name, 0.0)
        return out

    def _next(self, now: float, name: str, age: float) -> list[Send | Drop]:
        """What one is sent now: what it lacks, or a beat; nothing while in line or with one in flight."""
        follower = self.followers[name]
        if follower.sent_at < math.inf or name in self.waiting:
            return []
        news = self.store.since(follower.version)
        if news is not None and now - follower.news_at < SPACE:
            return []  # with a later tick, and what comes until then
        if isinstance(news, Snapshot):
            if self.snapshots >= SNAPSHOTS:
                self.waiting[name] = None
                return []
            self.snapshots += 1
            follower.snapshot = True
        if news is None and now - follower.told_at < BEAT:
            return []
        follower.sent_at = follower.told_at = now
        if news is not None:
            follower.news_at = now
        return [Send(name, news or Heartbeat(self.store.version, age))]
