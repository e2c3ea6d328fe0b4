"""Watches a connection that has sent its last data, until its peer closes it or makes no progress.

Times are milliseconds.
"""

from collections.abc import Callable, Hashable
from dataclasses import dataclass

from lotusroute.timing.progress import STALLED_PEER_TIMEOUT_MS, ProgressTracker


def _never_stalled(_now: float) -> float:
    """Return 0, for connections whose state changes only if the peer takes data."""
    return 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LingerRules:
    """What counts as progress on a lingering connection, and how long there may be none."""

    clock: Callable[[], float]
    # Returns a value that changes whenever the peer makes progress.
    state: Callable[[], Hashable]
    # Returns the longest time without progress.
    timeout: Callable[[], float]
    # Returns how long the peer has taken none of the data that waits for it, whatever else it does.
    stalled_time: Callable[[float], float] = _never_stalled


class Linger:
    """Remembers since when a connection lingers and when its peer last made progress."""

    def __init__(self, rules: LingerRules) -> None:
        self._rules = rules
        self._since = rules.clock()
        self._progress = ProgressTracker(self._since)

    def duration(self) -> float:
        """Return for how long the connection has lingered."""
        return self._rules.clock() - self._since

    def has_expired(self) -> bool:
        """Look at the connection; return whether its peer has made no progress for too long."""
        now = self._rules.clock()
        idle_time = self._progress.idle_time(now, self._rules.state())
        stalled_time = self._rules.stalled_time(now)
        return idle_time >= self._rules.timeout() or stalled_time >= STALLED_PEER_TIMEOUT_MS
