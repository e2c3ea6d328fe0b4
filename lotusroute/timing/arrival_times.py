"""Since when the input that an event loop reads may have waited in the system. Times are seconds.

A request's time runs from its arrival, which is earlier than its reading if the process was busy or
suspended. The system does not tell when input arrived, but the event loop's waits for it give a lower bound.
"""

# A wait that takes longer than this has found nothing when it began; a shorter one may have been preempted.
MIN_WAIT_S = 0.02
# A wait that exceeds its timeout by this shows that the process was suspended in the meantime.
SUSPENSION_THRESHOLD_S = 0.05
# Suspensions up to this long are ordinary: the process was held up on a busy core.
ORDINARY_SUSPENSION_S = 0.15


def earliest_arrival(previous_return: float, started_at: float, timeout: float, returned_at: float) -> float:
    """Return the earliest time at which the input that a wait has found may have arrived.

    The wait before it ended at `previous_return`. A wait that exceeded its timeout is taken to have been
    suspended before its end for as long as after it, or for an ordinary time. If it were taken to have been
    suspended from its beginning, a request that was held up for a moment would count as long expired.

    >>> earliest_arrival(0.0, 1.0, 0.5, 1.2)
    1.2
    >>> earliest_arrival(1.2, 1.9, 0.5, 1.9)  # it arrived while the input of the wait before was handled
    1.2
    >>> earliest_arrival(1.9, 2.0, 0.5, 4.0)  # the process was suspended
    2.0
    >>> earliest_arrival(4.0, 5.0, 1.0, 6.125)  # the process was held up
    5.85
    """
    if returned_at - started_at < MIN_WAIT_S:
        return previous_return
    if returned_at > started_at + timeout + SUSPENSION_THRESHOLD_S:
        due_at = started_at + timeout
        return max(started_at, due_at - max(ORDINARY_SUSPENSION_S, returned_at - due_at))
    return returned_at
