"""A balancer's side: it follows one relay, and calls discovery by itself where that is stale.

Owns which relay this balancer follows and what it takes from it. It must never keep a balancer from calling
discovery within the time in which a change counts as told, take what it can't prove, or judge a list.
"""

import math
import os
import pathlib
import random
import time
import tomllib
from collections import Counter
from typing import NamedTuple

from twisted.internet import defer

from lotusroute.errors import InvalidValueError
from lotusroute.fleet.config import FleetConfig
from lotusroute.fleet.transport import CallFailed, PeerTransport
from lotusroute.leases.messages import LeaseTerms
from lotusroute.net.config import parse_address
from lotusroute.net.discovery import MIN_REJECTION_BACKOFF, QUEUE_TIMEOUT
from lotusroute.net.structured_log import log_event
from lotusroute.relay import endpoint_items, messages
from lotusroute.relay.relay_selector import Join, Quit, RelaySelector
from lotusroute.relay.versioned_store import SPOILT, TAKEN, Version, VersionedStore

TICK = 0.1  # s between looks at the clock
FIRST = 0.8  # s that a new process waits for its first news before it calls discovery itself
KEYS = {"name", "zone", "relays"}


class RelaysConfig(NamedTuple):
    """The relays, as one balancer is told of them."""

    fleet: str
    own: dict[str, tuple[str, int]]  # those of its zone
    others: dict[str, tuple[str, int]]


def read(path: str | os.PathLike) -> RelaysConfig:
    """Read the operator's file; an error names file, key and mend."""
    try:
        told = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        return relays(told)
    except (OSError, ValueError, InvalidValueError) as fault:
        raise InvalidValueError(f"LB_RELAYS: {path}: {fault}") from None


def relays(told: dict) -> RelaysConfig:
    """Check what the file tells.

    >>> tables = {"a": {"r1": "127.0.0.1:1"}, "b": {"r2": "127.0.0.1:2"}}
    >>> relays({"name": "f", "zone": "a", "relays": tables}).own
    {'r1': ('127.0.0.1', 1)}
    """
    unknown = sorted(set(told) - KEYS)
    if unknown:
        raise InvalidValueError(f"{unknown[0]}: no such key; there are {', '.join(sorted(KEYS))}")
    name, zone, zones = (told.get(key) for key in ("name", "zone", "relays"))
    if not isinstance(name, str) or not name:
        raise InvalidValueError("name: not set; give the fleet's")
    if not isinstance(zone, str):
        raise InvalidValueError("zone: give this balancer's")
    tables = zones.values() if isinstance(zones, dict) else ()
    if not tables or not all(isinstance(table, dict) and table for table in tables):
        raise InvalidValueError('relays: give a table for each zone, as [relays.a] with r1 = "HOST:PORT"')
    own, others = {}, {}
    for where, table in zones.items():
        for relay, at in table.items():
            if relay in own or relay in others:
                raise InvalidValueError(f"relays.{where}.{relay}: the name stands twice")
            try:
                (own if where == zone else others)[relay] = parse_address(str(at))
            except InvalidValueError as fault:
                raise InvalidValueError(f"relays.{where}.{relay}: {fault}") from None
    return RelaysConfig(name, own, others)


class Subscription:
    """One balancer's; what `Discovery` asks before it calls."""

    def __init__(self, reactor, told: RelaysConfig, name: str, counters: Counter) -> None:
        self.reactor, self.counters, self.name = reactor, counters, name
        self.chance = random.Random(os.urandom(16))
        plan = FleetConfig(told.fleet, "", {**told.own, **told.others}, (), LeaseTerms(()))
        self.follower = RelaySelector(name, list(told.own), list(told.others), self.chance)
        self.link = PeerTransport(
            reactor, plan, name, self.chance, counters, self._serve, self._up, self._lost
        )
        self.store, self.assembly = VersionedStore(), messages.Assembly()
        self.discovery = None  # the one that follows now; another after a reload
        self.began = self.clock()
        self.waiting: defer.Deferred | None = None
        self.calling = False  # this balancer calls discovery by itself for now

    @staticmethod
    def clock() -> float:
        """Milliseconds of the machine's own clock, which nothing sets."""
        return time.monotonic() * 1000

    def start(self) -> None:
        """Begin to follow."""
        self._act(self.follower.tick(self.clock()))
        self.reactor.callLater(TICK * self.chance.uniform(0.8, 1.2), self.start)

    def _act(self, actions: list[Join | Quit]) -> None:
        for action in actions:
            if isinstance(action, Quit):
                self.counters["relay_left"] += 1
                self.link.drop(action.relay)
            elif action.relay in self.link.out:
                self._up(action.relay)
            else:
                self.link.dial(action.relay)

    def _up(self, relay: str) -> None:
        if relay != self.follower.asked:
            return
        call = self.link.call(relay, "follow", messages.acknowledged(self.store.version))
        call.addCallbacks(lambda _: self._taken_in(relay), lambda reason: self._refused(relay, reason))

    def _lost(self, relay: str) -> None:
        self._act(self.follower.lost(self.clock(), relay))

    def _taken_in(self, relay: str) -> None:
        self.follower.taken_in(self.clock(), relay)
        if self.follower.followed == relay:
            self.counters["relay_joined"] += 1
            log_event("relay joined", relay=relay, version=self.store.version.number)

    def _refused(self, relay: str, reason) -> None:
        reason.trap(CallFailed)
        self._lost(relay)

    # What comes

    def _serve(self, peer: str, kind: str, body: bytes) -> bytes:
        if kind != "news":
            raise CallFailed(f"no call '{kind[:32]}'")
        word, now = messages.read(body), self.clock()
        if not self.follower.word(now, peer):
            raise CallFailed("not followed here")
        if word.parts or word.since is not None:
            self.counters["updates_received"] += 1
            news = self.assembly.take(word)
            if news is not None:
                _, seq = endpoint_items.about(self.store)
                outcome = self.store.take(news)
                self.counters[f"updates_{outcome}"] += 1
                if outcome == SPOILT:
                    return messages.acknowledged(Version())
                if outcome == TAKEN:
                    self._hand(news, seq)
        if self.store.version == word.version:
            self.follower.rests(now, word.age)
            if self.follower.fresh(now):
                self.calling = False
        return messages.acknowledged(self.store.version)

    def _hand(self, news, seq: int | None) -> None:
        """Give the list to what follows discovery, which checks it as discovery's own."""
        if self.discovery is None or not self._same(self.discovery):
            self.counters["updates_of_other_discovery"] += 1
            return
        changed = getattr(news, "changed", None)
        if changed is not None and self.discovery.handed(endpoint_items.answer(self.store, changed), seq):
            return
        if not self.discovery.handed(endpoint_items.answer(self.store, None), None):
            self.counters["updates_not_applied_locally"] += 1

    def _same(self, discovery) -> bool:
        """Whether what relays carry is this discovery's."""
        return discovery.base.startswith(f"http://{endpoint_items.about(self.store)[0]}/")

    # What Discovery asks and tells

    async def turn(self, discovery) -> None:
        """Wait until this balancer has to call discovery by itself, or this one is followed no more."""
        while not discovery.closed and not self.calling:
            now = self.clock()
            if not self._same(discovery) and now >= self.began + 1000 * FIRST:
                # After a reload the relays' list says nothing of the new discovery's. Checked on every
                # iteration: a reload may come while the first updates are still waited for.
                self.counters["relay_fallback_requests"] += 1
                return
            if self.follower.fresh(now) or now < self.began + 1000 * FIRST:
                if discovery.seq is None and self._same(discovery):
                    discovery.handed(endpoint_items.answer(self.store, None), None)
                await self._wait(TICK)
                continue
            # All that lost their relays at once come one by one, as far as the time for news allows.
            room = max(0.0, min(MIN_REJECTION_BACKOFF, discovery._left() - QUEUE_TIMEOUT))
            await self._wait(room * self.chance.random())
            if not self.follower.fresh(self.clock()):
                self.calling = True
                self.counters["relay_stale"] += 1
        if self.calling:
            self.counters["relay_fallback_requests"] += 1

    def _wait(self, seconds: float) -> defer.Deferred:
        self.waiting = defer.Deferred()
        timer = self.reactor.callLater(seconds, self.wake)

        def over(_: object) -> None:
            if timer.active():
                timer.cancel()

        return self.waiting.addBoth(over)

    def age(self) -> float:
        """How old the list is at most, in s, by the relay's word; of another discovery's it says nothing."""
        if self.discovery is None or not self._same(self.discovery):
            return math.inf
        return (self.clock() - self.follower.fresh_at) / 1000

    def answered(self, told: dict, since: int | None) -> None:
        """Discovery has answered this balancer: by itself it goes on until a relay is fresh."""

    def failed(self) -> None:
        """Nor did it."""

    def wake(self) -> None:
        """Look again."""
        waiting, self.waiting = self.waiting, None
        if waiting is not None:
            waiting.callback(None)
