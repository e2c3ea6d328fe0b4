"""Converts the reported start times of servers to the host's clock.

Endpoint lists contain start times as Unix times by the clocks of other machines. They cannot simply be
compared with this machine's clock, since any wall clock may be wrong by an hour or more. Slow start depends
on the difference, so each start time is limited to a range that this process has observed itself:

- a server started before its start time was received;
- a start time that is new to this process is not earlier than the last list without it, minus the time until
  a start is listed.

Each server's start time is bounded on its own, so a wrong clock on one server does not affect the others.
Times are in milliseconds on the host's clock, except those called `reported`, which are on a server's clock.
"""

from typing import NamedTuple

from lotusroute.routing import events

MAX_KNOWN_STARTS = 10_000  # three times the servers of the largest fleet; uses up to about 2 MB of memory


class _KnownStart(NamedTuple):
    reported: float
    started_at: float


class StartTimes:
    """Bounds reported start times; a server keeps its bounded start time until it restarts."""

    def __init__(self, listing_delay: float) -> None:
        """`listing_delay` is the longest time in ms until a started server is in an endpoint list."""
        self._listing_delay = listing_delay
        # By server id, oldest first. Servers that have left the list are kept, since a server that is listed
        # again with the same start time has not restarted.
        self._known: dict[str, _KnownStart] = {}

    def bound_start_time(
        self, server: events.Server, now: float, previous_list_at: float | None
    ) -> events.Server:
        """Return a server from an endpoint list received at `now`, with its start time on the host's clock.

        `previous_list_at` is the last time at which the previous list was known to be current; None for the
        first list. A server that is removed or has no start time is returned unchanged.
        """
        if server.state == events.EndpointState.REMOVED or not server.started_at:
            return server
        known = self._known.get(server.id)
        if known is None or known.reported != server.started_at:
            started_at = self._bound_start(server.started_at, now, previous_list_at)
            known = _KnownStart(server.started_at, started_at)
            self._remember(server.id, known)
        if known.started_at == server.started_at:
            return server
        return server._replace(started_at=known.started_at)

    def _bound_start(self, reported: float, now: float, previous_list_at: float | None) -> float:
        if previous_list_at is None:
            return min(reported, now)
        return min(max(reported, previous_list_at - self._listing_delay), now)

    def _remember(self, server_id: str, start: _KnownStart) -> None:
        self._known.pop(server_id, None)
        self._known[server_id] = start
        if len(self._known) > MAX_KNOWN_STARTS:
            del self._known[next(iter(self._known))]
