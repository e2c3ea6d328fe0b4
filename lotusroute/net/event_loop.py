"""The event loop of one balancer: a queue of events, a clock and timers.

Sockets and timers put typed events into the queue. A single consumer takes them out in order and calls the
handler registered for each event's type, so no two handlers ever run at once and none needs a lock.

Owns the queue, the clock and the handler table. Times are milliseconds.
"""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, TypeAlias

from twisted.internet.base import DelayedCall

from lotusroute import wall_clock
from lotusroute.monotonic_clock import MS_PER_SECOND, monotonic_ms
from lotusroute.net.clock_monitor import ClockMonitor
from lotusroute.net.reactor import reactor
from lotusroute.net.structured_log import Counters, log_exception

# A handler takes events or commands of one type, which is its key in a table of handlers.
Handler: TypeAlias = Callable[[Any], None]
Handlers: TypeAlias = Mapping[type, Handler]


class EventLoop:
    """The queue, clock and timers of a balancer; an exception in one handler does not affect other events."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self.clock_monitor = ClockMonitor(counters)
        # The offset that `clock` adds to the monotonic clock. The sum is Unix time, because servers' start
        # times and the balancers' turns at a shared task are expressed in it, but it advances with the
        # monotonic clock.
        self.clock_offset = wall_clock.unix_ms() - monotonic_ms()
        self._queue: deque[object] = deque()  # admission control bounds what new connections add to it
        self._run_scheduled = False
        self._handlers: dict[type, Handler] = {}
        # This function is called with a failed event and the number of its flow.
        self.on_failure: Callable[[object, int], None] | None = None

    @property
    def backlog(self) -> int:
        """Number of events in the queue."""
        return len(self._queue)

    def clock(self) -> float:
        """Return the Unix time; it never goes back."""
        return self.clock_offset + monotonic_ms()

    def at_monotonic(self, seconds: float) -> float:
        """Convert a reading of `time.monotonic`, which is in seconds, to the time of `clock`."""
        return self.clock_offset + seconds * MS_PER_SECOND

    def input_since(self) -> float:
        """Return the earliest time at which the input that is being read may have arrived."""
        return self.at_monotonic(reactor.input_since())

    def register(self, handlers: Handlers) -> None:
        """Add handlers, keyed by the type of the events that they take."""
        self._handlers.update(handlers)

    def enqueue(self, event: object) -> None:
        """Queue an event; every input of the balancer arrives through here."""
        self._queue.append(event)
        if not self._run_scheduled:
            self._run_scheduled = True
            reactor.callLater(0, self.run_pending)

    def call_later(self, delay: float, event: object) -> DelayedCall:
        """Queue an event after a delay."""
        return reactor.callLater(max(0.0, delay) / MS_PER_SECOND, self.enqueue, event)

    def run_pending(self) -> None:
        """Dispatch queued events, including those that handlers add, until the queue is empty."""
        self.clock_monitor.observe()
        while self._queue:
            event = self._queue.popleft()
            try:
                self._handlers[type(event)](event)
            except Exception:
                # All exceptions are caught: a failed event must not affect the others.
                self.report_failure(event, getattr(event, "flow_number", 0))
        self._run_scheduled = False

    def report_failure(self, event: object, flow_number: int) -> None:
        """Count and log the exception being handled, then let `on_failure` repair what the event left undone.

        `flow_number` is the number of the flow that the event was about, 0 for none.
        """
        self._counters["internal_errors"] += 1
        log_exception("event failed", kind=type(event).__name__)
        if self.on_failure is not None:
            self.on_failure(event, flow_number)


class CoalescedTimer:
    """Queues an event after a fixed delay; scheduling it again while it is pending does nothing."""

    def __init__(self, loop: EventLoop, delay: float, event: object) -> None:
        self._loop = loop
        self._delay = delay
        self._event = event
        self._pending = False

    def schedule(self) -> None:
        """Start the timer unless it is pending."""
        if not self._pending:
            self._pending = True
            self._loop.call_later(self._delay, self._event)

    def acknowledge(self) -> None:
        """Record that the event was handled, so that the timer can be scheduled again."""
        self._pending = False
