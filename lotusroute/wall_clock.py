"""The wall clock, for points in time that other machines know: the only module that may read it.

The wall clock may be stepped at any moment, in both directions. So no span of time is measured by it:
deadlines, timeouts and intervals go by the monotonic clock, `time.monotonic`, and timers by a reactor of
`lotusroute.net.monotonic_reactor`. The linter rejects readings of the wall clock elsewhere.
"""

import time

from lotusroute.monotonic_clock import MS_PER_SECOND


def unix_ms() -> float:
    """Return the Unix time in milliseconds, by the wall clock."""
    return time.time() * MS_PER_SECOND
