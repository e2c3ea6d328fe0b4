"""Waits for conditions that other threads and processes bring about."""

import time
from collections.abc import Callable
from typing import TypeVar

TIMEOUT_S = 10.0  # longest time that a test waits for anything
POLL_INTERVAL_S = 0.01

Result = TypeVar("Result")


def wait_until(condition: Callable[[], Result]) -> Result:
    """Wait until the condition returns something true, and return that."""
    deadline = time.monotonic() + TIMEOUT_S
    while not (result := condition()):
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(POLL_INTERVAL_S)
    return result
