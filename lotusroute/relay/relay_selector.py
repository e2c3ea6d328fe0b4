"""Which relay a process subscribes to, and when it changes to another.

A relay is left when it is silent, when it does not accept the subscription in time, and when what it has
grows stale: it is cut off from the origin then, and another one may not be. Relays of the own zone are tried
first.

Pure: no I/O, no clock, no randomness but the given `random.Random`. Times are in milliseconds of the caller's
clock. Whether discovery is polled meanwhile is up to the caller.
"""

import math
import random
from hashlib import blake2b
from typing import NamedTuple

JOIN_TIMEOUT_MS = 600.0  # from the connect until the relay has accepted the subscription
SILENCE_TIMEOUT_MS = 1_500.0  # without a message; more than two heartbeat intervals
STALENESS_LIMIT_MS = 1_800.0  # since discovery last answered the origin
# After all relays have failed once.
MIN_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 2_000.0
# Random, so that the subscribers of a zone do not return to it all at once.
MIN_FAILBACK_DELAY_MS = 20_000.0
MAX_FAILBACK_DELAY_MS = 60_000.0


class Join(NamedTuple):
    """Connect to a relay and subscribe."""

    relay: str


class Leave(NamedTuple):
    """Disconnect from a relay; nothing more from it is accepted."""

    relay: str


Action = Join | Leave


def preference_order(name: str, local: list[str], remote: list[str]) -> list[str]:
    """Return the relays in the order in which a process tries them: those of its zone, then the others.

    Both are in rendezvous hash order, so that the subscribers of a failed relay spread over all others.

    >>> preference_order("n1", ["a", "b"], ["c"])[-1], sorted(preference_order("n1", ["a", "b"], ["c"]))
    ('c', ['a', 'b', 'c'])
    """

    def rank(relay: str) -> bytes:
        return blake2b(f"{name} {relay}".encode(), digest_size=8).digest()

    return sorted(local, key=rank) + sorted(remote, key=rank)


class RelaySelector:
    """The choice of a relay by one process."""

    def __init__(self, name: str, local: list[str], remote: list[str], rng: random.Random) -> None:
        self.relays = preference_order(name, local, remote)
        self.local_relays = frozenset(local)
        self.rng = rng
        self.index = 0  # in `relays`, of the one that is being joined or is subscribed to
        self.joining = ""  # the relay that has not accepted us yet
        self.current = ""  # the relay that has
        self.attempts = 0  # relays that failed in a row
        self.retry_at = -math.inf  # end of the backoff after all relays failed
        self.joined_at = -math.inf
        self.failback_at = math.inf  # when to return to the own zone; inf: we are in it, or in none
        self.last_message_at = -math.inf  # of `current`, or when `joining` was asked
        self.confirmed_at = -math.inf  # when what we have was last known to be the origin's

    def tick(self, now: float) -> list[Action]:
        """Check all timeouts."""
        if self.current:
            return self._check_current(now)
        if self.joining:
            if now - self.last_message_at >= JOIN_TIMEOUT_MS:
                return self.on_lost(now, self.joining)
            return []
        if now >= self.retry_at:
            return [self._join(now)]
        return []

    def on_joined(self, now: float, relay: str) -> None:
        """Handle that a relay has accepted the subscription."""
        if relay != self.joining:
            return
        self.current = relay
        self.joining = ""
        self.last_message_at = now
        self.joined_at = now
        self.failback_at = math.inf
        if relay not in self.local_relays:
            self.failback_at = now + self.rng.uniform(MIN_FAILBACK_DELAY_MS, MAX_FAILBACK_DELAY_MS)

    def on_message(self, now: float, relay: str) -> bool:
        """Note a message of a relay; whether it may be used: only those of the current one may."""
        if relay != self.current:
            return False
        self.last_message_at = now
        return True

    def on_confirmed(self, now: float, age_ms: float) -> None:
        """Note that what we have is what discovery told the origin `age_ms` ago."""
        self.confirmed_at = max(self.confirmed_at, now - age_ms)
        if age_ms < STALENESS_LIMIT_MS:
            self.attempts = 0

    def on_lost(self, now: float, relay: str) -> list[Action]:
        """Change to the next relay: this one has disconnected, timed out or rejected us."""
        if relay not in (self.current, self.joining):
            return []
        self.current = ""
        self.joining = ""
        self.index = (self.index + 1) % len(self.relays)
        self.attempts += 1
        if self.attempts % len(self.relays) == 0:
            self._back_off(now)
            return [Leave(relay)]
        return [Leave(relay), self._join(now)]

    def is_fresh(self, now: float) -> bool:
        """Whether what we have may be relied on; if not, discovery has to be polled."""
        return now - self.confirmed_at < STALENESS_LIMIT_MS

    def _check_current(self, now: float) -> list[Action]:
        silent = now - self.last_message_at >= SILENCE_TIMEOUT_MS
        stale_since = max(self.joined_at, self.confirmed_at + STALENESS_LIMIT_MS)
        if silent or now - stale_since >= SILENCE_TIMEOUT_MS:
            return self.on_lost(now, self.current)
        if now >= self.failback_at:
            previous = self.current
            self.failback_at = math.inf
            self.current = ""
            self.index = 0
            self.attempts = 0
            return [Leave(previous), self._join(now)]
        return []

    def _back_off(self, now: float) -> None:
        """Wait before the relays are tried from the first one on: longer each round, half of it random."""
        rounds = self.attempts // len(self.relays)
        backoff = min(MIN_BACKOFF_MS * 2 ** (rounds - 1), MAX_BACKOFF_MS)
        self.retry_at = now + backoff * self.rng.uniform(0.5, 1.0)
        self.index = 0

    def _join(self, now: float) -> Join:
        self.joining = self.relays[self.index]
        self.last_message_at = now
        return Join(self.joining)
