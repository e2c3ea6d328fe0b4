"""Tries orders of all that may happen to news: late, lost, doubled, reordered; crashes; origins that change.

Owns the small world in which stores and fans run, the order of moves, and what counts as a breach. It must
never change the machines, use a clock or a socket, or pass over a breach.

    python -m lotusroute.fault_injection.relay_model_checker --walks 2000 --seed 1

Relays are the origin one after the other or, for a while, several: a deposed one goes on publishing until it
hears of the later fence. Two subscribers follow either relay and change sides.
"""

import argparse
import random
import sys
from collections import Counter

from lotusroute.relay.fanout import BEAT, GIVE_UP, MERGE, Drop, FanOut, Heartbeat, Send
from lotusroute.relay.versioned_store import SPOILT, Delta, PublishRejected, Version, VersionedStore

RELAYS, SUBSCRIBERS = ("r1", "r2", "r3"), ("s1", "s2")
KEYS = tuple("abcd")
FLIGHT = 12  # messages in flight at most: beyond that one is lost


class Breach(Exception):
    """What must never be; says what."""


class World:
    """All processes and what is on its way between them."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.now = 0.0
        self.fence = 0
        self.origins: dict[str, int] = {}  # who thinks itself the origin, under which fence
        self.highest = dict.fromkeys(RELAYS, 0)  # the highest fence that each relay heard of
        self.stores = {name: VersionedStore() for name in RELAYS + SUBSCRIBERS}
        self.fans = {name: FanOut(self.stores[name], 8) for name in RELAYS}
        self.follows: dict[str, str] = {}
        self.flight: list[tuple] = []  # (kind, from, to, what)
        self.truth: dict[Version, dict[str, bytes]] = {Version(): {}}  # what each version is, as published
        self.seen = dict.fromkeys(RELAYS + SUBSCRIBERS, Version())  # the highest that each process had
        self.counts = Counter()

    # Moves

    def move(self) -> None:
        """One of all that may happen."""
        faults = [self.depose, self.follow, self.crash, self.lose, self.double, self.spoil]
        usual = [self.deliver] * 8 + [self.tick] * 4 + [self.publish] * 2
        self.chance.choice(usual + faults)()
        self.judge()

    def depose(self) -> None:
        """Another relay gets the lease; the old origin may not know yet."""
        self.fence += 1
        name = self.chance.choice(RELAYS)
        self.origins[name] = self.highest[name] = self.fence
        self.published(name, {})

    def published(self, name: str, changed: dict[str, bytes | None]) -> None:
        """An origin publishes; a deposed one that has heard of the later fence is refused."""
        store = self.stores[name]
        try:
            made = store.publish(self.origins[name], changed)
        except PublishRejected:
            self.origins.pop(name)
            return
        if made:
            self.fans[name].news(self.now)
            if store.version in self.truth and self.truth[store.version] != store.items:
                raise Breach(f"{store.version} published twice, with other items")
            self.truth[store.version] = dict(store.items)

    def publish(self) -> None:
        """Some keys change, come or leave."""
        if self.origins:
            name = self.chance.choice(sorted(self.origins))
            drawn = {key: self.chance.choice((None, b"%d" % self.chance.randrange(3))) for key in KEYS}
            self.published(name, dict(self.chance.sample(sorted(drawn.items()), 2)))

    def follow(self) -> None:
        """A subscriber joins a relay, or another one than before."""
        name, relay = self.chance.choice(SUBSCRIBERS), self.chance.choice(RELAYS)
        if name in self.follows:
            self.fans[self.follows[name]].leave(name)
        self.follows[name] = relay
        self.send(relay, self.fans[relay].join(self.now, name, self.stores[name].version))

    def crash(self) -> None:
        """A process dies and starts from nothing; what was on its way to it is lost."""
        name = self.chance.choice(RELAYS + SUBSCRIBERS)
        self.stores[name] = VersionedStore()
        self.seen[name] = Version()
        self.flight = [one for one in self.flight if one[2] != name]
        if name in RELAYS:
            self.origins.pop(name, None)
            self.highest[name] = 0
            self.fans[name] = FanOut(self.stores[name], 8)
            self.follows = {who: relay for who, relay in self.follows.items() if relay != name}
        else:
            self.follows.pop(name, None)
            for fan in self.fans.values():
                fan.leave(name)

    def tick(self) -> None:
        """Time passes at all."""
        self.now += self.chance.choice((MERGE, BEAT, GIVE_UP / 2))
        for name, fan in self.fans.items():
            if name in self.origins:
                for peer in RELAYS:
                    if peer != name and peer not in fan.followers:
                        self.send(name, fan.join(self.now, peer, self.stores[name].version))
            self.send(name, fan.tick(self.now, 0.0))

    def lose(self) -> None:
        """A message is lost; its sender hears of no answer."""
        if self.flight:
            self.flight.pop(self.chance.randrange(len(self.flight)))

    def double(self) -> None:
        """A message comes twice."""
        if self.flight:
            self.flight.append(self.chance.choice(self.flight))

    def spoil(self) -> None:
        """A byte of a message is wrong."""
        for at, (kind, source, to, what) in enumerate(self.flight):
            if kind == "news" and isinstance(what, Delta) and what.changed:
                self.flight[at] = kind, source, to, what._replace(changed={**what.changed, "a": b"spoilt"})
                return

    def deliver(self) -> None:
        """Any message comes, not the oldest as a rule."""
        if not self.flight:
            return
        kind, source, to, what = self.flight.pop(self.chance.randrange(len(self.flight)))
        if kind == "ack":
            self.send(to, self.fans[to].acknowledged(self.now, source, what, 0.0))
            return
        version = what.version
        if to in RELAYS:
            if version.fence < self.highest[to] or self.origins.get(to, 0) >= version.fence:
                return  # refused: a later origin has spoken
            self.highest[to] = version.fence
        elif self.follows.get(to) != source:
            return
        store = self.stores[to]
        at = store.version
        if not isinstance(what, Heartbeat):
            outcome = store.take(what)
            self.counts[outcome] += 1
            if outcome == SPOILT:
                self.flight.append(("ack", to, source, Version()))
                return
            if to in RELAYS and store.version != at:
                self.fans[to].news(self.now)
        self.flight.append(("ack", to, source, store.version))

    def send(self, source: str, actions: list[Send | Drop]) -> None:
        """Put messages on their way."""
        for action in actions:
            if isinstance(action, Send):
                if len(self.flight) >= FLIGHT:
                    self.lose()
                self.flight.append(("news", source, action.to, action.news))

    # What must hold

    def judge(self) -> None:
        """Raise Breach where a process went back, or holds what nobody published."""
        for name, store in self.stores.items():
            if store.version < self.seen[name]:
                raise Breach(f"{name} went back from {self.seen[name]} to {store.version}")
            self.seen[name] = store.version
            if self.truth.get(store.version) != store.items:
                raise Breach(
                    f"{name} holds {store.items} as {store.version}, "
                    f"published was {self.truth.get(store.version)}"
                )

    def calm(self) -> None:
        """No more faults: all have to end with the items of the origin with the highest fence."""
        self.depose()
        last = max(self.origins, key=self.origins.__getitem__)
        self.published(last, {"a": b"last"})
        for name in SUBSCRIBERS:
            self.follows.pop(name, None)
        for name in SUBSCRIBERS:
            relay = self.chance.choice(RELAYS)
            self.follows[name] = relay
            self.send(relay, self.fans[relay].join(self.now, name, self.stores[name].version))
        for _ in range(400):
            self.now += BEAT
            for name in [name for name in self.origins if name != last]:
                self.origins.pop(name)  # its lease is over
            self.tick()
            while self.flight:
                self.deliver()
                self.judge()
            for name, relay in self.follows.items():
                if name not in self.fans[relay].followers:
                    self.send(relay, self.fans[relay].join(self.now, name, self.stores[name].version))
            if all(
                store.items == self.stores[last].items and store.version == self.stores[last].version
                for store in self.stores.values()
            ):
                return
        behind = {name: store.version for name, store in self.stores.items()}
        raise Breach(f"not all have {self.stores[last].version} of {last}: {behind}")


def walk(seed: int, moves: int = 120) -> Counter:
    """Play one drawn order of moves, then calm; raises Breach."""
    world = World(seed)
    for _ in range(moves):
        world.move()
    world.calm()
    return world.counts


def main(arguments: list[str]) -> int:
    """Walk; 0 where nothing was breached, 1 else."""
    name = "python -m lotusroute.fault_injection.relay_model_checker"
    reader = argparse.ArgumentParser(prog=name, description=__doc__.splitlines()[0])
    reader.add_argument("--walks", type=int, default=1_000)
    reader.add_argument("--seed", type=int, default=1)
    told = reader.parse_args(arguments)
    counts = Counter()
    for seed in range(told.seed, told.seed + told.walks):
        try:
            counts += walk(seed)
        except Breach as breach:
            print(f"seed {seed}: {breach}")
            return 1
    print(f"{told.walks} walks, no breach; {dict(counts)}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
