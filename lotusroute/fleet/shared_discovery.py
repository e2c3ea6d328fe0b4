"""The task `watch`: its holder follows discovery and hands on what it hears, the others call when they must.

Owns who calls discovery, and what is taken from a holder's word. It must never keep a balancer from calling
for longer than STALE, take a list under a lower fence than one it has seen, or pass on what discovery did not
tell.
"""

import msgspec
from twisted.internet import defer

from lotusroute.fleet.lease_service import LeaseService
from lotusroute.fleet.peer_connection import MAX_BODY_BYTES, CallError
from lotusroute.net.discovery import HOLD
from lotusroute.net.structured_log import log_event

TASK = "watch"
HEARTBEAT_INTERVAL = 0.4  # s between a holder's words: three fit into STALE, one lost is nothing
HOLDER_TIMEOUT = 1_500.0  # ms without a word until a balancer calls by itself: within a drain's 2 s
MAX_ANSWER_AGE = HOLD + 1_000.0  # ms after discovery's last answer in which a holder still speaks
MAX_SEND_DURATION = 50.0  # ms that handing on takes at most: so much of the lease must be left


class SharedUpdate(msgspec.Struct, array_like=True):
    """What a holder tells: that it listens, and a list or changes where there are any."""

    fencing_token: int
    discovery_url: str  # discovery's address: versions of another say nothing
    seq: int  # the version that the holder has
    since: int = -1  # the version that `hosts` are changes to; -1 where they are all or there are none
    complete: bool = False
    entries: list | None = None


class SharedDiscovery:
    """This balancer's part in the task; what `Discovery` asks before it calls."""

    def __init__(self, lease_service: LeaseService) -> None:
        self.lease_service, self.reactor, self.counters = (
            lease_service,
            lease_service.reactor,
            lease_service.counters,
        )
        self.discovery = None  # the one that follows now; another after a reload
        self.fencing_token = 0  # while this balancer holds the task
        self.highest_fencing_token = 0  # the highest fence under which a word was taken
        self.last_update_at = -1e12  # ms, when a word was last taken
        self.holder_seq = -1  # the version that the holder had, by its last word
        self.answered_at = -1e12  # ms, when discovery last answered this balancer well
        self.waiting: defer.Deferred | None = None
        lease_service.call_handlers["watch"] = self.on_update
        lease_service.on_lease_changed = self.on_lease_changed

    # What Discovery asks and tells

    async def turn(self, discovery) -> None:
        """Wait until this balancer has to call discovery by itself, or this one is followed no more."""
        while not (self.fencing_token or self._behind() or discovery.closed):
            left = self.last_update_at + HOLDER_TIMEOUT - self.lease_service.clock()
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
        return (self.lease_service.clock() - self.last_update_at) / 1000

    def answered(self, answer: dict, since: int | None) -> None:
        """Discovery has answered this balancer; a holder hands it on."""
        self.answered_at = self.lease_service.clock()
        if self.lease_service.fencing_token(TASK, MAX_SEND_DURATION) and (answer["hosts"] or answer["whole"]):
            update = SharedUpdate(
                self.fencing_token, self.discovery.base, answer["seq"], -1 if since is None else since
            )
            update.complete, update.entries = answer["whole"], answer["hosts"]
            self._broadcast(update)

    def failed(self) -> None:
        """Discovery has not: a holder says nothing until it does, and the others call for themselves."""
        self.answered_at = -1e12

    # The holder

    def on_lease_changed(self, task: str, fencing_token: int) -> None:
        """The task came to this balancer or left it."""
        if task != TASK:
            return
        self.fencing_token = fencing_token
        self.wake()
        if fencing_token:
            for peer in self.lease_service.other_peers():
                self.lease_service.transport.connect(peer)
            self._send_heartbeat(fencing_token)

    def _send_heartbeat(self, fencing_token: int) -> None:
        if fencing_token != self.fencing_token:
            return
        self.reactor.callLater(HEARTBEAT_INTERVAL, self._send_heartbeat, fencing_token)
        known = self.discovery is not None and self.discovery.seq is not None
        fresh = self.lease_service.clock() - self.answered_at < MAX_ANSWER_AGE
        if known and fresh and self.lease_service.fencing_token(TASK, MAX_SEND_DURATION):
            self._broadcast(SharedUpdate(fencing_token, self.discovery.base, self.discovery.seq))

    def _broadcast(self, update: SharedUpdate) -> None:
        body = msgspec.msgpack.encode(update)
        if len(body) > MAX_BODY_BYTES:
            # Too long for one call: the version in the next beat tells them to call.
            self.counters["shared_discovery_oversized"] += 1
            return
        self.counters["shared_discovery_sent"] += 1
        for peer in self.lease_service.other_peers():
            self.lease_service.transport.call(peer, "watch", body).addErrback(self._on_send_failed)

    def _on_send_failed(self, reason) -> None:
        """One that was not reached calls by itself."""
        reason.trap(CallError)
        self.counters["shared_discovery_unsent"] += 1

    # The others

    def on_update(self, peer: str, body: bytes) -> bytes:
        """A holder's word came."""
        update = msgspec.msgpack.decode(body, type=SharedUpdate)
        if update.fencing_token < self.highest_fencing_token:
            self.counters["shared_discovery_fenced"] += 1
            raise CallError("a later holder has spoken")
        if self.discovery is None or update.discovery_url != self.discovery.base or self.fencing_token:
            raise CallError("not followed here")
        if update.fencing_token > self.highest_fencing_token:
            log_event("shared discovery followed", holder=peer, fence=update.fencing_token)
        self.highest_fencing_token, self.last_update_at, self.holder_seq = (
            update.fencing_token,
            self.lease_service.clock(),
            update.seq,
        )
        if update.entries is not None:
            answer = {"seq": update.seq, "whole": update.complete, "hosts": update.entries}
            self.counters["shared_discovery_applied"] += self.discovery.handed(
                answer, None if update.since < 0 else update.since
            )
        if self._behind():
            self.wake()
        return b""

    def _behind(self) -> bool:
        """Whether the holder knows a list that has not come here."""
        return self.discovery is None or self.discovery.seq is None or self.discovery.seq < self.holder_seq

    def wake(self) -> None:
        """Look again whether a call is due."""
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.callback(None)
