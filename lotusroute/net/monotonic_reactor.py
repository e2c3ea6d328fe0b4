"""Installs the reactor that every process of the project runs on: its timers use the monotonic clock.

Twisted's reactors schedule delayed calls by the wall clock (`twisted.python.runtime.seconds` is `time.time`).
When that clock is stepped back, all pending calls are late by the step; when it is stepped forward, they run
early, by up to the step. Import this module and call `install` before anything imports
`twisted.internet.reactor`.
"""

import time
from typing import TYPE_CHECKING, cast

from twisted.internet import error, main

from lotusroute.net.errors import WallClockReactorError
from lotusroute.timing.arrival_times import SUSPENSION_THRESHOLD_S, earliest_arrival

if TYPE_CHECKING:
    from twisted.internet.base import ReactorBase


# Longest wait for events. A suspension of the process shows only if it exceeds the end of a wait.
MAX_WAIT_S = 0.25


class MonotonicTime:
    """Mixin for a reactor class: its clock, `seconds`, is the monotonic clock."""

    seconds = staticmethod(time.monotonic)

    def input_since(self) -> float:
        """Return the earliest time at which the input that is being read may have arrived."""
        return self.seconds()


class ObservedWaits(MonotonicTime):
    """Mixin that knows from the times of the waits for events how long input may have waited."""

    def __init__(self) -> None:
        # The times of the last wait, and the end of the one before it.
        self._wait_started_at = self._wait_returned_at = self._previous_return = time.monotonic()
        self._wait_timeout = MAX_WAIT_S
        super().__init__()

    def input_since(self) -> float:
        """Return the earliest time at which the input that is being read may have arrived."""
        return earliest_arrival(
            self._previous_return, self._wait_started_at, self._wait_timeout, self._wait_returned_at
        )


def install() -> None:
    """Install the reactor; raises WallClockReactorError if one on another clock is installed."""
    try:
        main.installReactor(_reactor_class()())
    except error.ReactorAlreadyInstalledError:
        _check_installed()


def _check_installed() -> None:
    from twisted.internet import reactor

    # Twisted declares its reactor as a module without attributes.
    if cast("ReactorBase", reactor).seconds is not time.monotonic:
        raise WallClockReactorError


def _reactor_class() -> "type[ReactorBase]":
    """Return the reactor class for this system: with epoll if available, else with select."""
    try:
        from twisted.internet.epollreactor import EPollReactor
    except ImportError:
        from twisted.internet.selectreactor import SelectReactor

        class MonotonicSelectReactor(MonotonicTime, SelectReactor):
            """Twisted's reactor for systems without epoll, on the monotonic clock."""

        return MonotonicSelectReactor

    monotonic = time.monotonic  # a local name, since it is called twice in each iteration

    class MonotonicEPollReactor(ObservedWaits, EPollReactor):
        """Twisted's epoll reactor on the monotonic clock, without a log context per event.

        Twisted sets up a log context for each read and write, which takes a ninth of the CPU time of a flow;
        none of our log lines use it.
        """

        def doPoll(self, timeout: float | None) -> None:
            """Wait for events for at most `timeout` seconds and handle them."""
            poll_timeout = MAX_WAIT_S if timeout is None else min(timeout, MAX_WAIT_S)
            self._previous_return = self._wait_returned_at
            self._wait_timeout = poll_timeout
            self._wait_started_at = monotonic()
            ready = self._poller.poll(poll_timeout, max(1, len(self._selectables)))
            self._wait_returned_at = monotonic()
            if self._wait_returned_at > self._wait_started_at + poll_timeout + SUSPENSION_THRESHOLD_S:
                # What arrived during the suspension may be found by the next wait only.
                self._wait_returned_at = self.input_since()
            for descriptor, event in ready:
                # The handler of an earlier event in this iteration may have closed the descriptor.
                selectable = self._selectables.get(descriptor)
                if selectable is not None:
                    self._doReadOrWrite(selectable, descriptor, event)

        doIteration = doPoll

    return MonotonicEPollReactor
