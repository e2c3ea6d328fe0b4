"""Which relay a process follows, and when it goes to another.

Owns the order of relays, the time after which a silent one is left, and how fresh what came is. It must never
do I/O, read a clock, draw from anything but a handed `random.Random`, or hold a process back from asking
discovery itself.
"""

import math
import random
from hashlib import blake2b
from typing import NamedTuple

JOIN = 600.0  # ms for a relay to take us in: a way of its own, and one that stands still is left soon
SILENT = 1_500.0  # ms without a word after which a relay is left: three beats, and 4 s are kept with room
STALE = 1_800.0  # ms since discovery answered the origin, whose watch waits 0.5 s and is left 1 s after that
PAUSE = 200.0, 2_000.0  # ms, first and longest, after all relays were tried; half of it drawn
HOME = 20_000.0, 60_000.0  # ms, drawn, after which one of our own zone is tried again: they come back apart


class Join(NamedTuple):
    """Ask a relay to be taken in."""

    relay: str


class Quit(NamedTuple):
    """Leave a relay: nothing more of it is taken."""

    relay: str


def order(name: str, own: list[str], others: list[str]) -> list[str]:
    """The relays in the order in which one process tries them: those of its zone, then the others, each by
    rendezvous hash, so that those of a dead relay spread over all that are left.

    >>> order("n1", ["a", "b"], ["c"])[-1], sorted(order("n1", ["a", "b"], ["c"]))
    ('c', ['a', 'b', 'c'])
    """

    def rank(relay: str) -> bytes:
        return blake2b(f"{name} {relay}".encode(), digest_size=8).digest()

    return sorted(own, key=rank) + sorted(others, key=rank)


class RelaySelector:
    """One process's choice of a relay."""

    def __init__(self, name: str, own: list[str], others: list[str], chance: random.Random) -> None:
        self.order, self.chance, self.own = order(name, own, others), chance, frozenset(own)
        self.at = 0  # of the order, the one that is joined or followed
        self.followed = ""  # the relay that has taken us in
        self.heard_at = -math.inf  # its last word, or when we asked it
        self.fresh_at = -math.inf  # when what we hold was surely the origin's
        self.wait_until = -math.inf  # after all were tried
        self.asked = ""  # the relay that is to take us in
        self.tried = 0
        self.joined_at = -math.inf
        self.home_at = math.inf

    def tick(self, now: float) -> list[Join | Quit]:
        """Time has passed."""
        if self.followed:
            if now - self.heard_at >= SILENT or now - max(self.joined_at, self.fresh_at + STALE) >= SILENT:
                # Silent, or cut off from the origin itself, which another relay may not be.
                return self.lost(now, self.followed)
            if now >= self.home_at:
                self.home_at = math.inf
                out: list[Join | Quit] = [Quit(self.followed)]
                self.followed, self.at, self.tried = "", 0, 0
                return out + self._join(now)
            return []
        if self.asked:
            return self.lost(now, self.asked) if now - self.heard_at >= JOIN else []
        return self._join(now) if now >= self.wait_until else []

    def taken_in(self, now: float, relay: str) -> None:
        """A relay has taken us in."""
        if relay != self.asked:
            return
        self.followed, self.asked, self.heard_at, self.joined_at = relay, "", now, now
        self.home_at = math.inf if relay in self.own else now + self.chance.uniform(*HOME)

    def word(self, now: float, relay: str) -> bool:
        """A relay's word; whether it counts: only the one that is followed is listened to."""
        if relay != self.followed:
            return False
        self.heard_at = now
        return True

    def rests(self, now: float, age: float) -> None:
        """What is held is what the origin had so many ms ago."""
        self.fresh_at = max(self.fresh_at, now - age)
        if age < STALE:
            self.tried = 0

    def lost(self, now: float, relay: str) -> list[Join | Quit]:
        """A relay is gone, silent, or won't have us: the next one."""
        if relay not in (self.followed, self.asked):
            return []
        out: list[Join | Quit] = [Quit(relay)]
        self.followed = self.asked = ""
        self.at, self.tried = (self.at + 1) % len(self.order), self.tried + 1
        if self.tried % len(self.order) == 0:
            rounds = self.tried // len(self.order)
            pause = min(PAUSE[0] * 2 ** (rounds - 1), PAUSE[1])
            self.wait_until = now + pause * self.chance.uniform(0.5, 1.0)
            self.at = 0
            return out
        return out + self._join(now)

    def fresh(self, now: float) -> bool:
        """Whether what we hold may be relied on; else discovery is asked."""
        return now - self.fresh_at < STALE

    def _join(self, now: float) -> list[Join | Quit]:
        self.asked, self.heard_at = self.order[self.at], now
        return [Join(self.asked)]
