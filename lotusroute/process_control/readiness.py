"""Waits until a balancer answers health checks."""

import contextlib
import socket
import time

from lotusroute.process_control.errors import NotReadyError
from lotusroute.process_control.free_ports import LOOPBACK

CHECK_INTERVAL_S = 0.02  # time between two health checks
CHECK_TIMEOUT_S = 1.0  # timeout of each socket operation of a health check


def wait_until_ready(port: int, timeout: float, check_timeout: float = CHECK_TIMEOUT_S) -> None:
    """Wait until the balancer on a loopback port answers a health check.

    Raises NotReadyError after `timeout` seconds.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if answers_health_check(port, check_timeout):
            return
        time.sleep(CHECK_INTERVAL_S)
    raise NotReadyError(port, timeout)


def answers_health_check(port: int, check_timeout: float = CHECK_TIMEOUT_S) -> bool:
    """Return whether the balancer on a loopback port answers a health check in time."""
    with (
        contextlib.suppress(OSError),
        socket.create_connection((LOOPBACK, port), check_timeout) as connection,
        connection.makefile("rb") as answers,
    ):
        connection.sendall(b"PING\r\n")
        return answers.readline() == b"PONG\r\n"
    return False
