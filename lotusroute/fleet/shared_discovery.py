"""The task `watch`: its holder follows discovery and hands on what it hears, the others call when they must.

Owns who calls discovery, and what is taken from a holder's word. It must never keep a balancer from calling
for longer than STALE, take a list under a lower fence than one it has seen, or pass on what discovery did not
tell.
"""

import msgspec
from twisted.internet import defer

from lotusroute.fleet.lease_service import LeaseService
from lotusroute.fleet.transport import BODY, CallFailed
from lotusroute.net.discovery import LONG_POLL_HOLD_MS
from lotusroute.net.structured_log import log_event

TASK = "watch"
BEAT = 0.4  # s between a holder's words: three fit into STALE, one lost is nothing
STALE = 1_500.0  # ms without a word until a balancer calls by itself: within a drain's 2 s
FRESH = LONG_POLL_HOLD_MS + 1_000.0  # ms after discovery's last answer in which a holder still speaks
LONGEST = 50.0  # ms that handing on takes at most: so much of the lease must be left


class SharedUpdate(msgspec.Struct, array_like=True):
    """What a holder tells: that it listens, and a list or changes where there are any."""

    fence: int
    where: str  # discovery's address: versions of another say nothing
    seq: int  # the version that the holder has
    since: int = -1  # the version that `hosts` are changes to; -1 where they are all or there are none
    whole: bool = False
    hosts: list | None = None


class SharedDiscovery:
    """This balancer's part in the task; what `Discovery` asks before it calls."""

    def __init__(self, part: LeaseService) -> None:
        self.part, self.reactor, self.counters = part, part.reactor, part.counters
        self.discovery = None  # the one that follows now; another after a reload
        self.fence = 0  # while this balancer holds the task
        self.highest = 0  # the highest fence under which a word was taken
        self.heard_at = -1e12  # ms, when a word was last taken
        self.said = -1  # the version that the holder had, by its last word
        self.answered_at = -1e12  # ms, when discovery last answered this balancer well
        self.waiting: defer.Deferred | None = None
        part.serves["watch"] = self.word
        part.changed = self.changed

    # What Discovery asks and tells

    async def turn(self, discovery) -> None:
        """Wait until this balancer has to call discovery by itself, or this one is followed no more."""
        while not (self.fence or self._behind() or discovery.closed):
            left = self.heard_at + STALE - self.part.clock()
            if left <= 0:
                break
            self.waiting = defer.Deferred()
            timer = self.reactor.callLater(left / 1000, self.wake)
            await self.waiting
            if timer.active():
                timer.cancel()
        self.counters["shared_discovery_fallback_requests"] += 1

    def age(self) -> float:
        """How long ago a holder's word was last taken, in s: so old is the list at most."""
        return (self.part.clock() - self.heard_at) / 1000

    def answered(self, told: dict, since: int | None) -> None:
        """Discovery has answered this balancer; a holder hands it on."""
        self.answered_at = self.part.clock()
        if self.part.fence(TASK, LONGEST) and (told["hosts"] or told["whole"]):
            word = SharedUpdate(self.fence, self.discovery.base, told["seq"], -1 if since is None else since)
            word.whole, word.hosts = told["whole"], told["hosts"]
            self._tell(word)

    def failed(self) -> None:
        """Discovery has not: a holder says nothing until it does, and the others call for themselves."""
        self.answered_at = -1e12

    # The holder

    def changed(self, task: str, fence: int) -> None:
        """The task came to this balancer or left it."""
        if task != TASK:
            return
        self.fence = fence
        self.wake()
        if fence:
            for peer in self.part.others():
                self.part.link.dial(peer)
            self._beat(fence)

    def _beat(self, fence: int) -> None:
        if fence != self.fence:
            return
        self.reactor.callLater(BEAT, self._beat, fence)
        known = self.discovery is not None and self.discovery.seq is not None
        fresh = self.part.clock() - self.answered_at < FRESH
        if known and fresh and self.part.fence(TASK, LONGEST):
            self._tell(SharedUpdate(fence, self.discovery.base, self.discovery.seq))

    def _tell(self, word: SharedUpdate) -> None:
        body = msgspec.msgpack.encode(word)
        if len(body) > BODY:
            # Too long for one call: the version in the next beat tells them to call.
            self.counters["shared_discovery_oversized"] += 1
            return
        self.counters["shared_discovery_sent"] += 1
        for peer in self.part.others():
            self.part.link.call(peer, "watch", body).addErrback(self._untold)

    def _untold(self, reason) -> None:
        """One that was not reached calls by itself."""
        reason.trap(CallFailed)
        self.counters["shared_discovery_unsent"] += 1

    # The others

    def word(self, peer: str, body: bytes) -> bytes:
        """A holder's word came."""
        word = msgspec.msgpack.decode(body, type=SharedUpdate)
        if word.fence < self.highest:
            self.counters["shared_discovery_fenced"] += 1
            raise CallFailed("a later holder has spoken")
        if self.discovery is None or word.where != self.discovery.base or self.fence:
            raise CallFailed("not followed here")
        if word.fence > self.highest:
            log_event("shared discovery followed", holder=peer, fence=word.fence)
        self.highest, self.heard_at, self.said = word.fence, self.part.clock(), word.seq
        if word.hosts is not None:
            told = {"seq": word.seq, "whole": word.whole, "hosts": word.hosts}
            self.counters["shared_discovery_applied"] += self.discovery.handed(
                told, None if word.since < 0 else word.since
            )
        if self._behind():
            self.wake()
        return b""

    def _behind(self) -> bool:
        """Whether the holder knows a list that has not come here."""
        return self.discovery is None or self.discovery.seq is None or self.discovery.seq < self.said

    def wake(self) -> None:
        """Look again whether a call is due."""
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.callback(None)
