"""The wall clock, for points in time that are shared with other machines. Only this module may read it.

The wall clock may be stepped at any moment, by seconds or by an hour, in both directions. So no duration is
measured with it: deadlines, timeouts and intervals use the monotonic clock, `time.monotonic`, and timers a
reactor that `lotusroute.net.monotonic_reactor` installs. The linter rejects readings of the wall clock
elsewhere.
"""

import time

from lotusroute.monotonic_clock import MS_PER_SECOND


def unix_ms() -> float:
    """Return the Unix time in milliseconds, by the wall clock."""
    return time.time() * MS_PER_SECOND
