"""Detects steps of the wall clock and late timers.

The wall clock may be stepped at any time; the monotonic clock never is. Steps and late timers are only logged
and counted, for the analysis of incidents; no decision depends on them. Times are milliseconds.
"""

import logging
import math
from collections.abc import Callable

from lotusroute import wall_clock
from lotusroute.monotonic_clock import monotonic_ms
from lotusroute.net.structured_log import Counters, log_event

# Smallest step that is reported. Slewing changes the wall clock by less than this between two calls.
MIN_STEP_MS = 100.0
MAX_TIMER_DELAY_MS = 1_000.0  # delay from which the periodic timer is reported as late


class ClockMonitor:
    """Compares the two clocks with each other, and a periodic timer with the time at which it was due.

    `observe` is called before every batch of events, so that a late timer is logged before it fires.
    """

    def __init__(
        self,
        counters: Counters,
        monotonic: Callable[[], float] = monotonic_ms,
        wall: Callable[[], float] = wall_clock.unix_ms,
    ) -> None:
        self._counters = counters
        self._monotonic = monotonic
        self._wall = wall
        self._offset = wall() - monotonic()
        self._due_at = math.inf  # when the periodic timer is due; infinity once its delay is reported

    def expect_timer(self, delay: float) -> None:
        """Record that the periodic timer was set to fire after `delay`."""
        self._due_at = self._monotonic() + delay

    def observe(self) -> None:
        """Log and count a step of the wall clock since the last call, and a periodic timer that is late."""
        now = self._monotonic()
        offset = self._wall() - now
        step = offset - self._offset
        self._offset = offset
        if abs(step) >= MIN_STEP_MS:
            self._counters["wall_clock_steps"] += 1
            log_event("wall clock stepped", logging.WARNING, step_ms=step)
        delay = now - self._due_at
        if delay >= MAX_TIMER_DELAY_MS:
            self._due_at = math.inf
            self._counters["late_timers"] += 1
            log_event("timers late", logging.WARNING, late_ms=delay)
