"""A relay on the link, which is the origin while it holds that lease.

Owns the store and the subscribers of one relay process and what travels between them, and, at the origin,
the calls to discovery. It must never publish without the lease, pass on what it can't prove, or hold the
reactor up.
"""

import math

import msgspec
from twisted.internet import defer

from lotusroute.fleet.lease_service import LeaseService
from lotusroute.fleet.transport import CallFailed
from lotusroute.net.discovery import Discovery
from lotusroute.net.structured_log import log_event
from lotusroute.relay import endpoint_items, messages
from lotusroute.relay.fanout import Drop, FanOut, Send
from lotusroute.relay.versioned_store import (
    OLDER,
    SPOILT,
    TAKEN,
    PublishRejected,
    Snapshot,
    Version,
    VersionedStore,
)

TASK = "origin"
HOLD = 500  # ms that the origin's watch waits: it alone calls, and its silence is noticed so much sooner
SEND = 50.0  # ms that an act of the origin takes at most: so much of the lease must be left
NEVER = 1e9  # ms: the age of what rests on nothing


class RelayServer:
    """One relay."""

    def __init__(self, part: LeaseService, where: tuple[str, int], counters, seed: int = 0) -> None:
        """`where`: discovery's address, which the origin calls."""
        self.part, self.reactor, self.counters, self.seed = part, part.reactor, counters, seed
        self.where = where
        self.store = VersionedStore()
        self.fan = FanOut(self.store, part.plan.guests + len(part.plan.peers))
        self.assembly = messages.Assembly()
        self.fence = 0  # while this relay is the origin
        self.highest = 0  # the highest fence that it heard of
        self.known_at = -NEVER  # ms: when what is held was surely discovery's
        self.taken: dict[str, str] = {}  # how those that we send to are reached: `guest` or `peer`
        self.discovery: Discovery | None = None
        self.timer = None  # the next tick
        part.serves.update(follow=self._follow, news=self._news)
        part.shows["news"] = self.show
        part.changed, part.left = self._changed, self._left

    def start(self):
        """Open the link; brings the listening, or its failure."""
        self._tick()
        return self.part.start()

    def old(self) -> float:
        """How old in ms what is held is."""
        return min(NEVER, self.part.clock() - self.known_at)

    # What is sent

    def _tick(self) -> None:
        now = self.part.clock()
        self._act(self.fan.tick(now, self.old()))
        if self.fence:
            for peer in self.part.link.out.keys() - self.fan.followers.keys():
                # What it has is not known yet: it says so as it acknowledges.
                self.taken[peer] = "peer"
                self._act(self.fan.join(now, peer, self.store.version))
        self._tick_again(self.fan.due(now))

    def _tick_again(self, ms: float) -> None:
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = self.reactor.callLater(max(0.005, ms / 1000), self._tick)

    def _told(self, now: float) -> None:
        """The store has changed."""
        self.fan.news(now)
        self._tick_again(self.fan.due(now))

    def _act(self, actions: list[Send | Drop]) -> None:
        for action in actions:
            if isinstance(action, Drop):
                self.counters[f"subscribers_dropped_{action.why}"] += 1
            else:
                self.counters["updates_sent"] += 1
                self.counters[f"{type(action.news).__name__.lower()}s_sent"] += 1
                self._send(action.to, action.news)

    def _send(self, to: str, news) -> None:
        calls = messages.written(news, self.old())
        if not calls:
            calls = messages.written(
                Snapshot(self.store.version, self.store.digest, dict(self.store.items)), self.old()
            )
        defer.ensureDeferred(self._carry(to, calls))

    async def _carry(self, to: str, calls: list[bytes]) -> None:
        link = self.part.link
        call = link.call if self.taken.get(to) == "peer" else link.call_back
        try:
            for body in calls:
                self.counters["update_bytes_sent"] += len(body)
                told = await call(to, "news", body)
            at = messages.at(told)
        except (CallFailed, msgspec.MsgspecError):
            self.counters["updates_unacknowledged"] += 1
            self.fan.leave(to)
            return
        self._act(self.fan.acknowledged(self.part.clock(), to, at, self.old()))

    def _left(self, peer: str) -> None:
        if self.taken.pop(peer, None) is not None:
            self.fan.leave(peer)

    # What comes

    def _follow(self, peer: str, body: bytes) -> bytes:
        """A subscriber wants to follow, from a version."""
        if self.old() > NEVER / 2:
            raise CallFailed("nothing to tell yet")
        if peer not in self.taken and len(self.fan.followers) >= self.fan.most:
            self.counters["subscribers_dropped_full"] += 1
            raise CallFailed("full")
        self.taken[peer] = "guest"
        version = messages.at(body)
        self.reactor.callLater(0, self._begin, peer, version)
        return b""

    def _begin(self, peer: str, version: Version) -> None:
        # After the answer, so that it knows that it is taken in when the first news come.
        self._act(self.fan.join(self.part.clock(), peer, version))

    def _news(self, peer: str, body: bytes) -> bytes:
        """An origin's word."""
        word = messages.read(body)
        fence = word.version[0]
        if peer not in self.part.plan.peers or fence < self.highest or self.fence >= fence:
            self.counters["updates_fenced"] += 1
            raise CallFailed("a later origin has spoken")
        if fence > self.highest:
            log_event("origin followed", origin=peer, fence=fence)
        self.highest = fence
        now = self.part.clock()
        if word.parts or word.since is not None:
            news = self.assembly.take(word)
            if news is not None:
                outcome = self.store.take(news)
                self.counters[f"updates_{outcome}"] += 1
                if outcome == TAKEN:
                    self._told(now)
                elif outcome == SPOILT:
                    return messages.acknowledged(Version())
                elif outcome == OLDER:
                    raise CallFailed("a later origin has spoken")
        if self.store.version == word.version:
            self.known_at = max(self.known_at, now - word.age)
        return messages.acknowledged(self.store.version)

    # The origin

    def _changed(self, task: str, fence: int) -> None:
        if task != TASK:
            return
        self.fence = fence
        if not fence:
            for peer in [peer for peer, how in self.taken.items() if how == "peer"]:
                del self.taken[peer]
                self.fan.leave(peer)
            if self.discovery is not None:
                self.discovery.close()
                self.discovery = None
            return
        self.highest = fence
        for peer in self.part.others():
            self.part.link.dial(peer)
        where, seq = endpoint_items.about(self.store)
        same = where == self._base()
        self.discovery = Discovery(self.where, seq if same else None, self.seed, self._nothing, self.counters)
        self.discovery.watch, self.discovery.max_hold_ms = self, HOLD
        defer.ensureDeferred(self.discovery.follow())

    def _base(self) -> str:
        return f"{self.where[0]}:{self.where[1]}"

    def _nothing(self, news) -> None:
        """What discovery told is published as it was told."""

    # What Discovery asks and tells

    async def turn(self, discovery) -> None:
        """The origin always calls."""

    def age(self) -> float:
        """Nobody tells the origin but discovery."""
        return math.inf

    def failed(self) -> None:
        """Discovery is away: what is held grows old, and subscribers see that."""

    def wake(self) -> None:
        """Nobody waits."""

    def answered(self, told: dict, since: int | None) -> None:
        """Discovery has answered: publish, under the lease."""
        if not self.part.fence(TASK, SEND):
            return
        now = self.part.clock()
        try:
            if self.store.publish(self.fence, endpoint_items.changes(self.store, told, self._base())):
                self.counters["updates_published"] += 1
                self._told(now)
        except PublishRejected as fault:
            self.counters["updates_fenced"] += 1
            log_event("publish rejected", why=str(fault))
            return
        self.known_at = now

    # What operators see

    def show(self) -> dict:
        """For `relay show`; times in ms from now."""
        versions = [follower.version for follower in self.fan.followers.values()]
        lack = sum(version < self.store.version for version in versions)
        return {
            "version": list(self.store.version),
            "digest": f"{self.store.digest:016x}",
            "items": len(self.store.items),
            "age_ms": round(self.old()),
            "origin": self.fence,
            "subscribers": len(versions),
            "lack": lack,
            "in_line": len(self.fan.waiting),
            "oldest": list(min(versions, default=self.store.version)),
        }
