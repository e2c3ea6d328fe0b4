"""The choice of the relay that a process subscribes to.

Relays of the own zone are tried first. A relay is left when it is silent, when it does not accept the
subscription in time, and when its list grows stale: it may have lost its connection to the origin while
another relay has not.

This module is pure: it does no I/O, reads no clock, and takes its randomness from the given `random.Random`.
Times are in milliseconds of the caller's clock. The caller decides whether to poll discovery meanwhile.
"""

import math
import random
from hashlib import blake2b
from typing import NamedTuple

JOIN_TIMEOUT_MS = 600.0  # from the connect until the relay has accepted the subscription
SILENCE_TIMEOUT_MS = 1_500.0  # without a message; more than two heartbeat intervals
STALENESS_LIMIT_MS = 1_800.0  # since discovery last answered the origin
# After all relays have failed; the backoff doubles each time.
MIN_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 2_000.0
MIN_BACKOFF_FRACTION = 0.5  # the rest of a backoff is random
# The delay is random, so that subscribers do not return to their zone all at once.
MIN_FAILBACK_DELAY_MS = 20_000.0
MAX_FAILBACK_DELAY_MS = 60_000.0


class Join(NamedTuple):
    """Connect to a relay and subscribe."""

    relay: str


class Leave(NamedTuple):
    """Disconnect from a relay and accept no more messages from it."""

    relay: str


Action = Join | Leave


def preference_order(name: str, local: list[str], remote: list[str]) -> list[str]:
    """Return the relays in the order in which a process tries them, those of its own zone first.

    Within each group they are in rendezvous hash order, which spreads the subscribers of a failed relay over
    all others.

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
        self.index = 0  # in `relays`, of the current relay or the one being joined
        self.joining = ""  # the relay that has been asked for a subscription, if any
        self.current = ""  # the relay that has accepted the subscription, if any
        self.failures_in_row = 0
        self.retry_at = -math.inf  # end of the backoff after all relays have failed
        self.join_started_at = -math.inf  # when the last subscription was asked for
        self.joined_at = -math.inf  # when the last subscription was accepted
        self.failback_at = math.inf  # when to return to the own zone; infinity if there is no need to
        self.last_message_at = -math.inf  # of the current relay
        self.confirmed_at = -math.inf  # when discovery last confirmed the list, as far as is known

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
        """Note a message of a relay; return whether to use it, which holds for the current relay only."""
        if relay != self.current:
            return False
        self.last_message_at = now
        return True

    def on_confirmed(self, now: float, age_ms: float) -> None:
        """Note that discovery confirmed the list to the origin `age_ms` ago."""
        self.confirmed_at = max(self.confirmed_at, now - age_ms)
        if age_ms < STALENESS_LIMIT_MS:
            self.failures_in_row = 0

    def on_lost(self, now: float, relay: str) -> list[Action]:
        """Change to the next relay: this one disconnected, timed out or rejected the subscription."""
        if relay not in (self.current, self.joining):
            return []
        self.current = ""
        self.joining = ""
        self.index = (self.index + 1) % len(self.relays)
        self.failures_in_row += 1
        if self.failures_in_row % len(self.relays) == 0:
            self._back_off(now)
            return [Leave(relay)]
        return [Leave(relay), self._join(now)]

    def is_fresh(self, now: float) -> bool:
        """Return whether the list is current enough to be used without polling discovery."""
        return now - self.confirmed_at < STALENESS_LIMIT_MS

    def _check_current(self, now: float) -> list[Action]:
        silent = now - self.last_message_at >= SILENCE_TIMEOUT_MS
        # The time is counted from the join at the earliest, so that a new relay can send a fresh list.
        stale_since = max(self.joined_at, self.confirmed_at + STALENESS_LIMIT_MS)
        stale = now - stale_since >= SILENCE_TIMEOUT_MS
        if silent or stale:
            return self.on_lost(now, self.current)
        if now >= self.failback_at:
            return self._fail_back(now)
        return []

    def _fail_back(self, now: float) -> list[Action]:
        """Return to the preferred relay of the own zone."""
        previous = self.current
        self.failback_at = math.inf
        self.current = ""
        self.index = 0
        self.failures_in_row = 0
        return [Leave(previous), self._join(now)]

    def _back_off(self, now: float) -> None:
        """Start the backoff before the relays are tried again."""
        rounds = self.failures_in_row // len(self.relays)
        backoff = min(MIN_BACKOFF_MS * 2 ** (rounds - 1), MAX_BACKOFF_MS)
        self.retry_at = now + backoff * self.rng.uniform(MIN_BACKOFF_FRACTION, 1.0)
        self.index = 0

    def _join(self, now: float) -> Join:
        self.joining = self.relays[self.index]
        self.join_started_at = now
        return Join(self.joining)
