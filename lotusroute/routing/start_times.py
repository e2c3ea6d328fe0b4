"""When servers started, on the host's own clock.

The endpoint list gives starts as Unix time by the clocks of other machines. Comparing them with the clock of
this machine is right only while both agree, and a wall clock may be wrong by an hour when the process starts.
Slow start depends on the difference, so each start is kept within what this process has seen itself:

- a server has started by the time at which its start is received;
- a start that is new to this process is not older than the last list without it, less the time that a start
  takes to be listed.

A server's entry affects that server alone: one wrong clock among the servers misleads about no other. Times
are milliseconds on the host's clock unless they are called reported.
"""

from typing import NamedTuple

from lotusroute.routing import events

MAX_KNOWN_STARTS = 10_000  # three times the servers of the largest fleet; some 2 MB


class _KnownStart(NamedTuple):
    reported: float
    started: float


class StartTimes:
    """Bounds the reported starts of servers; each keeps its time until the server starts again."""

    def __init__(self, listing_delay: float) -> None:
        """`listing_delay` is the longest time that a start takes until a list has it."""
        self._listing_delay = listing_delay
        # By server id, the oldest first. Servers that left the list are kept: one that is listed again with
        # the same start has not been restarted.
        self._known: dict[str, _KnownStart] = {}

    def bound(self, server: events.Server, now: float, previous_list_at: float | None) -> events.Server:
        """Return a server of a list that was received `now`, with its start on the host's clock.

        `previous_list_at` is when the list before that was last known to be current, None where there was
        none. A server without a start, or that was removed, is returned as it is.
        """
        if server.state == events.EndpointState.REMOVED or not server.started:
            return server
        known = self._known.get(server.id)
        if known is None or known.reported != server.started:
            started = self._bound_start(server.started, now, previous_list_at)
            known = _KnownStart(server.started, started)
            self._remember(server.id, known)
        return server if known.started == server.started else server._replace(started=known.started)

    def _bound_start(self, reported: float, now: float, previous_list_at: float | None) -> float:
        if previous_list_at is None:
            return min(reported, now)
        return min(max(reported, previous_list_at - self._listing_delay), now)

    def _remember(self, server_id: str, start: _KnownStart) -> None:
        self._known.pop(server_id, None)
        self._known[server_id] = start
        if len(self._known) > MAX_KNOWN_STARTS:
            del self._known[next(iter(self._known))]
