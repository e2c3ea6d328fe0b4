"""The monotonic clock in milliseconds, with which all durations are measured; see also `wall_clock`."""

import time

MS_PER_SECOND = 1000


def monotonic_ms() -> float:
    """Return the reading of `time.monotonic` in milliseconds."""
    return time.monotonic() * MS_PER_SECOND
