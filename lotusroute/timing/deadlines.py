"""Until when a request is answered, and how often a connection is restored that was open before the start.

Times are milliseconds.
"""

ANSWER_MARGIN_MS = 40.0  # a flow is answered this long before its timeout, to allow for a busy core
# Largest part of the client's timeout that the margin may take, so that a short timeout leaves time to serve
# the flow.
MAX_ANSWER_MARGIN_FRACTION = 0.25
# Longest time from a request until its existing connection is given up. The protocol counts the connection as
# lost after 40 s.
EXISTING_TIMEOUT_MS = 35_000.0
# Time for a server to take an existing connection back. It is long because servers are busiest just after a
# balancer's start.
EXISTING_ATTEMPT_TIMEOUT_MS = 8_000.0
# Backoff before the next attempt. It is multiplied by the number of attempts so far.
EXISTING_RETRY_BACKOFF_MS = 1_000.0


def request_deadline(received_at: float, timeout: float, is_existing: bool = False) -> float:
    """Return until when a request is to be answered whose client waits for `timeout`.

    >>> request_deadline(1_000.0, 2_000.0), request_deadline(1_000.0, 100.0)
    (2960.0, 1075.0)
    """
    margin = min(ANSWER_MARGIN_MS, MAX_ANSWER_MARGIN_FRACTION * timeout)
    longest = EXISTING_TIMEOUT_MS if is_existing else timeout
    return received_at + min(timeout - margin, longest)


def existing_attempt_deadline(now: float, deadline: float) -> float:
    """Return until when an attempt to restore an existing connection may last; `deadline` is the request's.

    >>> existing_attempt_deadline(0.0, 35_000.0), existing_attempt_deadline(30_000.0, 35_000.0)
    (8000.0, 35000.0)
    """
    return min(deadline, now + EXISTING_ATTEMPT_TIMEOUT_MS)


def existing_retry_backoff(now: float, deadline: float, attempts: int) -> float | None:
    """Return the backoff after so many attempts to restore an existing connection; None if it is too late.

    >>> existing_retry_backoff(0.0, 35_000.0, 0), existing_retry_backoff(0.0, 35_000.0, 3)
    (1000.0, 3000.0)
    >>> existing_retry_backoff(34_500.0, 35_000.0, 1) is None
    True
    """
    if now + EXISTING_RETRY_BACKOFF_MS >= deadline:
        return None
    return EXISTING_RETRY_BACKOFF_MS * max(1, attempts)
