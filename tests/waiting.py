"""Waits for conditions that other threads or processes fulfil."""

import time
from collections.abc import Callable
from typing import TypeVar

TIMEOUT_S = 10.0  # longest time that a test waits for anything
POLL_INTERVAL_S = 0.01

Result = TypeVar("Result")


def wait_until(condition: Callable[[], Result]) -> Result:
    """Call `condition` repeatedly until its result is true, and return that; fail after TIMEOUT_S."""
    deadline = time.monotonic() + TIMEOUT_S
    while not (result := condition()):
        assert time.monotonic() < deadline, f"the condition was not met within {TIMEOUT_S:g} s"
        time.sleep(POLL_INTERVAL_S)
    return result
