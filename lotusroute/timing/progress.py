"""Decides how long nothing has moved on a connection that is being ended. Times are milliseconds.

All timers that end a connection follow one rule: the connection is given up when its peer has made no
progress for the timer's timeout, or has taken none of the data that waits for it for a longer one. A timeout
that counted from the event that started it would cut off a peer that is slow but still takes or sends data,
and would lose what is on the way to it. The module is pure: its callers read the clock and the sockets.
"""

from collections.abc import Hashable
from typing import NamedTuple

# Time between two looks at a connection that is being ended. It bounds by how much a timeout is exceeded.
PROGRESS_CHECK_INTERVAL_MS = 250.0
# A server that owes a reply counts as unresponsive once it has sent nothing for this long. Healthy servers
# reply at once, and clients wait for a reply for at most 7 s.
UNRESPONSIVE_TIMEOUT_MS = 2_500.0
# Time without progress after which a server is given up that does not close a connection whose client has
# left, although it owes nothing.
SERVER_CLOSE_GRACE_MS = 2_000.0
# A peer for which data waits is given up once it has taken nothing for this long, even if it sends. The
# system of one that reads 10 kB/s tells of it only every 12 s, when a part of its receive buffer is free.
STALLED_PEER_TIMEOUT_MS = 30_000.0


class TransferState(NamedTuple):
    """How far a transfer has come; any change of it is progress. The sizes are in bytes."""

    server_undelivered: int  # what the server has still to take
    server_reads: int  # how often the server was read from, as far as that counts as progress
    client_undelivered: int = 0  # what the client has still to take


class ProgressTracker:
    """Remembers when the state of a transfer last changed.

    A state is any value that changes whenever the peer takes or sends data. The first one is asked for at the
    first look, since reading it costs system calls and most connections are closed before.
    """

    def __init__(self, now: float) -> None:
        self._state: Hashable = None
        self._last_progress = now

    def idle_time(self, now: float, state: Hashable) -> float:
        """Record the current state and return how long it has not changed.

        >>> tracker = ProgressTracker(0.0)
        >>> tracker.idle_time(250.0, state=5), tracker.idle_time(500.0, state=4)
        (250.0, 0.0)
        """
        if self._state is not None and state != self._state:
            self._last_progress = now
        self._state = state
        return now - self._last_progress
