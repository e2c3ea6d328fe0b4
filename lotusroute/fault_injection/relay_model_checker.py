"""Random model checker of relays: explores message orders, crashes and changes of the origin.

    python -m lotusroute.fault_injection.relay_model_checker --walks 2000 --seed 1

The model runs the stores and fan-outs of the program without a real clock or sockets. Messages are delayed,
lost, duplicated, reordered and corrupted, and processes crash. Random relays become the origin; several may
consider themselves the origin at the same time, because a deposed origin continues to publish until it
receives a later fencing token. Two subscribers switch between relays. After each step, two invariants are
checked:

- No process reverts to an older version, except to an empty store by a crash.
- Each process has exactly the items that an origin published under the version of the process.

At the end, faults stop and all processes must converge to the version and items of the last origin.

Times are in milliseconds of the model's clock.
"""

import argparse
import random
import sys
from collections import Counter
from typing import NamedTuple

from lotusroute.fault_injection.invariants import InvariantViolationError
from lotusroute.relay.errors import DeposedError
from lotusroute.relay.fanout import (
    ACKNOWLEDGEMENT_TIMEOUT_MS,
    COALESCE_DELAY_MS,
    HEARTBEAT_INTERVAL_MS,
    Action,
    FanOut,
    Heartbeat,
    Message,
    Send,
)
from lotusroute.relay.versioned_store import (
    Changes,
    Delta,
    UpdateOutcome,
    Version,
    VersionedStore,
)

RELAYS = ("r1", "r2", "r3")
SUBSCRIBERS = ("s1", "s2")
KEYS = tuple("abcd")
CHANGED_KEYS = 2  # number of items that one change affects
VALUES = 3  # number of distinct values of an item
CORRUPT_VALUE = b"corrupt"
LAST_VALUE = b"last"  # value that is published after faults have stopped
MAX_SUBSCRIBERS = 8  # maximum number of subscribers of one relay
# Number of messages in flight from which on a random one is lost for each message that a fan-out sends.
MAX_IN_FLIGHT = 12
STEPS = 120  # number of random steps in a walk
RECOVERY_TICKS = 400  # number of ticks without faults within which all processes must converge

# How often each of these steps is drawn, relative to each kind of fault.
DELIVER_WEIGHT = 8
TICK_WEIGHT = 4
CHANGE_WEIGHT = 2


class Envelope(NamedTuple):
    """A message in flight: an update, or a version as its acknowledgement."""

    source: str
    destination: str
    payload: Message | Version


class RelayModel:
    """The states of all processes and the messages in flight between them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.fencing_token = 0  # fencing token of the most recent lease grant
        self.origins: dict[str, int] = {}  # fencing token by relay that considers itself the origin
        self.highest_fencing_tokens = dict.fromkeys(RELAYS, 0)  # highest token received or granted, by relay
        self.stores = {name: VersionedStore() for name in RELAYS + SUBSCRIBERS}
        self.fanouts = {name: FanOut(self.stores[name], MAX_SUBSCRIBERS) for name in RELAYS}
        self.subscriptions: dict[str, str] = {}  # relay of each subscriber
        self.in_flight: list[Envelope] = []
        self.published: dict[Version, dict[str, bytes]] = {Version(): {}}
        # Highest version of each process since its last crash.
        self.highest_versions = dict.fromkeys(RELAYS + SUBSCRIBERS, Version())
        self.outcomes: Counter[str] = Counter()

    # Steps

    def step(self) -> None:
        """Take one random step and check the invariants."""
        faults = [
            self.change_origin,
            self.subscribe,
            self.crash,
            self.lose_message,
            self.duplicate_message,
            self.corrupt_message,
        ]
        usual = DELIVER_WEIGHT * [self.deliver] + TICK_WEIGHT * [self.tick]
        usual += CHANGE_WEIGHT * [self.change_items]
        self.rng.choice(usual + faults)()
        self.check_invariants()

    def change_origin(self) -> None:
        """Grant the lease to a random relay; the previous origin does not notice yet."""
        self.fencing_token += 1
        name = self.rng.choice(RELAYS)
        self.origins[name] = self.fencing_token
        self.highest_fencing_tokens[name] = self.fencing_token
        self.publish(name, {})

    def publish(self, name: str, changes: Changes) -> None:
        """Publish changes as an origin, or stop being one if a later fencing token was received."""
        store = self.stores[name]
        try:
            new_version = store.publish(self.origins[name], changes)
        except DeposedError:
            self.origins.pop(name)
            return
        if not new_version:
            return
        self.fanouts[name].on_store_changed(self.now)
        published = self.published.get(store.version, store.items)
        if published != store.items:
            raise InvariantViolationError(
                f"version {store.version} was published twice, with items {published} and {store.items}"
            )
        self.published[store.version] = dict(store.items)

    def change_items(self) -> None:
        """Let a random origin add, change or remove random items."""
        if not self.origins:
            return
        name = self.rng.choice(sorted(self.origins))
        values = {key: self.rng.choice((None, b"%d" % self.rng.randrange(VALUES))) for key in KEYS}
        self.publish(name, dict(self.rng.sample(sorted(values.items()), CHANGED_KEYS)))

    def subscribe(self) -> None:
        """Subscribe a random subscriber to a random relay in place of its current one."""
        name = self.rng.choice(SUBSCRIBERS)
        relay = self.rng.choice(RELAYS)
        if name in self.subscriptions:
            self.fanouts[self.subscriptions[name]].remove(name)
        self.join(name, relay)

    def join(self, name: str, relay: str) -> None:
        """Subscribe a process to a relay, starting from the process's current version."""
        self.subscriptions[name] = relay
        self.send(relay, self.fanouts[relay].join(self.now, name, self.stores[name].version))

    def crash(self) -> None:
        """Restart a random process with an empty store; messages in flight to it are lost."""
        name = self.rng.choice(RELAYS + SUBSCRIBERS)
        self.stores[name] = VersionedStore()
        self.highest_versions[name] = Version()
        self.in_flight = [envelope for envelope in self.in_flight if envelope.destination != name]
        if name in RELAYS:
            self.origins.pop(name, None)
            self.highest_fencing_tokens[name] = 0
            self.fanouts[name] = FanOut(self.stores[name], MAX_SUBSCRIBERS)
            self.subscriptions = {
                subscriber: relay for subscriber, relay in self.subscriptions.items() if relay != name
            }
        else:
            self.subscriptions.pop(name, None)
            for fanout in self.fanouts.values():
                fanout.remove(name)

    def tick(self) -> None:
        """Advance the clock by a random duration and let all relays send what is due."""
        self.now += self.rng.choice(
            (COALESCE_DELAY_MS, HEARTBEAT_INTERVAL_MS, ACKNOWLEDGEMENT_TIMEOUT_MS / 2)
        )
        for name, fanout in self.fanouts.items():
            if name in self.origins:
                self.join_other_relays(name)
            self.send(name, fanout.tick(self.now, 0.0))

    def join_other_relays(self, origin: str) -> None:
        """Subscribe to an origin all other relays that are not subscribed."""
        fanout = self.fanouts[origin]
        for peer in RELAYS:
            if peer != origin and peer not in fanout.subscribers:
                self.send(origin, fanout.join(self.now, peer, self.stores[origin].version))

    def lose_message(self) -> None:
        """Drop a random message in flight; its sender receives no response to it."""
        if self.in_flight:
            self.in_flight.pop(self.rng.randrange(len(self.in_flight)))

    def duplicate_message(self) -> None:
        """Add a copy of a random message in flight; the copy is delivered separately."""
        if self.in_flight:
            self.in_flight.append(self.rng.choice(self.in_flight))

    def corrupt_message(self) -> None:
        """Corrupt a value in the first delta in flight that has changes."""
        for index, envelope in enumerate(self.in_flight):
            delta = envelope.payload
            if isinstance(delta, Delta) and delta.changes:
                corrupt = delta._replace(changes={**delta.changes, KEYS[0]: CORRUPT_VALUE})
                self.in_flight[index] = envelope._replace(payload=corrupt)
                return

    def deliver(self) -> None:
        """Deliver a random message in flight."""
        if not self.in_flight:
            return
        envelope = self.in_flight.pop(self.rng.randrange(len(self.in_flight)))
        source, destination, payload = envelope
        if isinstance(payload, Version):
            fanout = self.fanouts[destination]
            self.send(destination, fanout.on_acknowledgement(self.now, source, payload, 0.0))
        elif self.accepts(source, destination, payload.version.fencing_token):
            acknowledged = self.apply(destination, payload)
            self.in_flight.append(Envelope(destination, source, acknowledged))

    def accepts(self, source: str, destination: str, fencing_token: int) -> bool:
        """Return whether a process accepts an update; a relay also records the origin's fencing token."""
        if destination in SUBSCRIBERS:
            return self.subscriptions.get(destination) == source
        deposed = fencing_token < self.highest_fencing_tokens[destination]
        if deposed or self.origins.get(destination, 0) >= fencing_token:
            return False
        self.highest_fencing_tokens[destination] = fencing_token
        return True

    def apply(self, name: str, message: Message) -> Version:
        """Apply a message to the store of a process and return the version that the process acknowledges."""
        store = self.stores[name]
        if isinstance(message, Heartbeat):
            return store.version
        previous = store.version
        outcome = store.apply(message)
        self.outcomes[str(outcome)] += 1
        if outcome == UpdateOutcome.CORRUPT:
            return Version()
        if name in RELAYS and store.version != previous:
            self.fanouts[name].on_store_changed(self.now)
        return store.version

    def send(self, source: str, actions: list[Action]) -> None:
        """Put the messages sent by a fan-out in flight."""
        for action in actions:
            if isinstance(action, Send):
                if len(self.in_flight) >= MAX_IN_FLIGHT:
                    self.lose_message()
                self.in_flight.append(Envelope(source, action.subscriber, action.message))

    # Invariants

    def check_invariants(self) -> None:
        """Raise `InvariantViolationError` if the current state violates an invariant."""
        for name, store in self.stores.items():
            highest = self.highest_versions[name]
            if store.version < highest:
                raise InvariantViolationError(f"{name} reverted from version {highest} to {store.version}")
            self.highest_versions[name] = store.version
            published = self.published.get(store.version)
            if published != store.items:
                raise InvariantViolationError(
                    f"{name} has items {store.items} at version {store.version}, "
                    f"expected the published items {published}"
                )

    def recover(self) -> None:
        """Stop all faults; raises `InvariantViolationError` if a process does not converge to the origin."""
        self.change_origin()
        origin = max(self.origins, key=self.origins.__getitem__)
        self.publish(origin, {KEYS[0]: LAST_VALUE})
        for name in SUBSCRIBERS:
            self.subscriptions.pop(name, None)
        for name in SUBSCRIBERS:
            self.join(name, self.rng.choice(RELAYS))
        for _ in range(RECOVERY_TICKS):
            self.now += HEARTBEAT_INTERVAL_MS
            self.origins = {origin: self.origins[origin]}  # the leases of all others have expired
            self.tick()
            while self.in_flight:
                self.deliver()
                self.check_invariants()
            for name, relay in self.subscriptions.items():
                if name not in self.fanouts[relay].subscribers:
                    self.join(name, relay)
            if self.has_converged(self.stores[origin]):
                return
        versions = {name: str(store.version) for name, store in self.stores.items()}
        raise InvariantViolationError(
            f"after {RECOVERY_TICKS} ticks without faults, expected all processes to have the items of "
            f"{origin} at version {self.stores[origin].version}; the processes have the versions {versions}"
        )

    def has_converged(self, expected: VersionedStore) -> bool:
        """Return whether all processes have the version and the items of a store."""
        return all(
            store.version == expected.version and store.items == expected.items
            for store in self.stores.values()
        )


def walk(seed: int, steps: int = STEPS) -> Counter[str]:
    """Take random steps, recover from all faults, and return how often each outcome of an update occurred.

    Raises `InvariantViolationError` on a violation or if the processes do not converge.
    """
    model = RelayModel(seed)
    for _ in range(steps):
        model.step()
    model.recover()
    return model.outcomes


def main(arguments: list[str]) -> int:
    """Run the walks and return the exit code: 0 if all invariants held, otherwise 1."""
    name = "python -m lotusroute.fault_injection.relay_model_checker"
    parser = argparse.ArgumentParser(prog=name, description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--walks", type=int, default=1_000, help="number of random walks")
    parser.add_argument("--seed", type=int, default=1, help="seed of the first walk; each further one adds 1")
    options = parser.parse_args(arguments)
    outcomes: Counter[str] = Counter()
    for seed in range(options.seed, options.seed + options.walks):
        try:
            outcomes += walk(seed)
        except InvariantViolationError as error:
            print(f"seed {seed}: {error}")
            return 1
    print(f"{options.walks} walks, no violation; {dict(outcomes)}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
