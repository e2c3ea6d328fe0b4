"""Selection of the relay that a process subscribes to.

Relays in the process's own zone are tried first. The process leaves a relay that does not accept the
subscription in time, is silent, or has a stale list: such a relay may have lost its connection to the origin
while other relays have not.

This module is pure: it does no I/O, reads no clock, and takes its randomness from the given `random.Random`.
Times are in milliseconds of the caller's clock. The caller decides whether to poll discovery in the meantime.
"""

import math
import random
from hashlib import blake2b
from typing import NamedTuple

# Longest time from the connection attempt until the subscription is accepted. It is long enough for the
# network, and short enough that a relay whose process is suspended is left soon.
JOIN_TIMEOUT_MS = 600.0
# Time without a message after which a relay is left. It must be longer than two heartbeat intervals of 600 ms
# and well below the 4 s within which a change has to be in force everywhere.
SILENCE_TIMEOUT_MS = 1_500.0
# Time since discovery last confirmed the list to the origin, after which the list is stale. It must be longer
# than the 1,500 ms that a poll of the origin may take: discovery holds it for up to 500 ms, and it times out
# 1,000 ms later unless polls are queued at discovery.
STALENESS_LIMIT_MS = 1_800.0
# The backoff after all relays have failed; it doubles with each round of failures.
MIN_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 2_000.0
MIN_BACKOFF_FRACTION = 0.5  # the fraction of a backoff that is always waited; the rest is random
# The delay before a return to the own zone is random, so that subscribers do not return all at once.
MIN_FAILBACK_DELAY_MS = 20_000.0
MAX_FAILBACK_DELAY_MS = 60_000.0


class Join(NamedTuple):
    """Connect to a relay and subscribe to it."""

    relay: str


class Leave(NamedTuple):
    """Disconnect from a relay and accept no more messages from it."""

    relay: str


Action = Join | Leave


def preference_order(name: str, local: list[str], remote: list[str]) -> list[str]:
    """Return the relays in the order in which a process tries them, those in its own zone first.

    Within each group they are ordered by rendezvous hashing, which spreads the subscribers of a failed relay
    over all others.

    >>> preference_order("n1", ["a", "b"], ["c"])[-1], sorted(preference_order("n1", ["a", "b"], ["c"]))
    ('c', ['a', 'b', 'c'])
    """

    def rank(relay: str) -> bytes:
        return blake2b(f"{name} {relay}".encode(), digest_size=8).digest()

    return sorted(local, key=rank) + sorted(remote, key=rank)


class RelaySelector:
    """Selects the relay that one process subscribes to."""

    def __init__(self, name: str, local: list[str], remote: list[str], rng: random.Random) -> None:
        self.relays = preference_order(name, local, remote)
        self.local_relays = frozenset(local)
        self.rng = rng
        self.index = 0  # position in `relays` of the current relay, or of the relay being joined
        self.joining = ""  # relay that is being joined and has not accepted the subscription; empty if none
        self.current = ""  # relay that has accepted the subscription; empty if none
        self.consecutive_failures = 0
        self.retry_at = -math.inf  # end of the backoff after all relays have failed
        self.join_started_at = -math.inf  # when the last join was started
        self.joined_at = -math.inf  # when a subscription was last accepted
        self.failback_at = math.inf  # when to return to the own zone; infinity if no return is planned
        self.last_message_at = -math.inf  # when the current relay was joined or last sent a message
        self.confirmed_at = -math.inf  # latest known time at which discovery confirmed the list

    def tick(self, now: float) -> list[Action]:
        """Check the timeouts and return the actions that are due."""
        if self.current:
            return self._check_current(now)
        if self.joining:
            if now - self.join_started_at >= JOIN_TIMEOUT_MS:
                return self.on_lost(now, self.joining)
            return []
        if now >= self.retry_at:
            return [self._join(now)]
        return []

    def on_joined(self, now: float, relay: str) -> None:
        """Handle the acceptance of the subscription by a relay."""
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
        """Record a message of a relay; return whether it is from the current relay and may be used."""
        if relay != self.current:
            return False
        self.last_message_at = now
        return True

    def on_confirmed(self, now: float, age_ms: float) -> None:
        """Record that discovery confirmed the list to the origin `age_ms` ago."""
        self.confirmed_at = max(self.confirmed_at, now - age_ms)
        if age_ms < STALENESS_LIMIT_MS:
            self.consecutive_failures = 0

    def on_lost(self, now: float, relay: str) -> list[Action]:
        """Change to the next relay, after this one disconnected, timed out or rejected the subscription."""
        if relay not in (self.current, self.joining):
            return []
        self.current = ""
        self.joining = ""
        self.index = (self.index + 1) % len(self.relays)
        self.consecutive_failures += 1
        if self.consecutive_failures % len(self.relays) == 0:
            self._back_off(now)
            return [Leave(relay)]
        return [Leave(relay), self._join(now)]

    def is_fresh(self, now: float) -> bool:
        """Return whether the list is recent enough to be used without polling discovery."""
        return now - self.confirmed_at < STALENESS_LIMIT_MS

    def _check_current(self, now: float) -> list[Action]:
        silent = now - self.last_message_at >= SILENCE_TIMEOUT_MS
        # Counted from the join at the earliest: a newly joined relay needs time to send a fresh list.
        stale_since = max(self.joined_at, self.confirmed_at + STALENESS_LIMIT_MS)
        stale = now - stale_since >= SILENCE_TIMEOUT_MS
        if silent or stale:
            return self.on_lost(now, self.current)
        if now >= self.failback_at:
            return self._fail_back(now)
        return []

    def _fail_back(self, now: float) -> list[Action]:
        """Return to the first relay in preference order."""
        previous = self.current
        self.failback_at = math.inf
        self.current = ""
        self.index = 0
        self.consecutive_failures = 0
        return [Leave(previous), self._join(now)]

    def _back_off(self, now: float) -> None:
        """Start the backoff, after which the relays are tried again from the first."""
        rounds = self.consecutive_failures // len(self.relays)
        backoff = min(MIN_BACKOFF_MS * 2 ** (rounds - 1), MAX_BACKOFF_MS)
        self.retry_at = now + backoff * self.rng.uniform(MIN_BACKOFF_FRACTION, 1.0)
        self.index = 0

    def _join(self, now: float) -> Join:
        self.joining = self.relays[self.index]
        self.join_started_at = now
        return Join(self.joining)
