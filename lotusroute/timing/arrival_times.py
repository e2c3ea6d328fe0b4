"""Since when the input that an event loop reads may have waited in the system. Times are seconds.

A request's time runs from its arrival, which is earlier than its reading if the process was busy or
suspended. The system does not tell when input arrived, but the event loop's waits for it give a lower bound.
"""

# A wait that takes longer than this has found nothing when it began.
MIN_WAIT_S = 0.001
# A wait that exceeds its timeout by this shows that the process was suspended in the meantime.
SUSPENSION_THRESHOLD_S = 0.05
# Suspensions up to this long are ordinary: the process was held up on a busy core.
ORDINARY_SUSPENSION_S = 0.15


class ArrivalTimes:
    """Derives the bound from the times of the event loop's waits for input."""

    def __init__(self, now: float) -> None:
        self.input_since = now  # the earliest time at which the input of the last wait may have arrived
        self._returned_at = now  # when the last wait returned

    def poll_returned(self, started_at: float, timeout: float | None, returned_at: float) -> None:
        """Record a wait for input; `timeout` is None if it had none.

        A wait that exceeded its timeout is taken to have been suspended before its end for as long as after
        it, or for an ordinary time. If it were taken to have been suspended from its beginning, a request
        that was held up for a moment would count as long expired.

        >>> arrivals = ArrivalTimes(0.0)
        >>> arrivals.poll_returned(1.0, 0.5, 1.2)
        >>> arrivals.input_since
        1.2
        >>> arrivals.poll_returned(1.9, 0.5, 1.9)  # the input arrived while that of the last wait was handled
        >>> arrivals.input_since
        1.2
        >>> arrivals.poll_returned(2.0, 0.5, 4.0)  # the process was suspended
        >>> arrivals.input_since
        2.0
        >>> arrivals.poll_returned(5.0, 1.0, 6.125)  # the process was held up
        >>> arrivals.input_since
        5.85
        """
        if returned_at - started_at < MIN_WAIT_S:
            self.input_since = self._returned_at
        elif timeout is not None and returned_at > started_at + timeout + SUSPENSION_THRESHOLD_S:
            due_at = started_at + timeout
            before_due = max(ORDINARY_SUSPENSION_S, returned_at - due_at)
            self.input_since = max(started_at, due_at - before_due)
        else:
            self.input_since = returned_at
        self._returned_at = returned_at
