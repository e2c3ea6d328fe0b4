"""Finds free loopback ports for processes that have yet to be started."""

import collections
import contextlib
import random
import socket
from collections.abc import Sequence

LOOPBACK = "127.0.0.1"
# Ports below the ephemeral range of the operating system, which starts at 32768 by default on Linux.
# A port from that range could be assigned to a connection or listener of another program before the process
# that it was allocated for has started. That process may take seconds to start; it would then find its port
# in use, and exit.
ALLOCATABLE_PORTS = range(10_000, 32_000)
MAX_RECENT_PORTS = 1_000  # number of most recently allocated ports that are not allocated again


class PortAllocator:
    """Allocates free ports, except recently allocated ones, whose processes may still be starting.

    Allocators in processes that run at the same time should be given disjoint ports, because none of them
    knows which ports the others have recently allocated.
    """

    def __init__(self, ports: Sequence[int] = ALLOCATABLE_PORTS) -> None:
        self._ports = ports
        self._recent_ports: collections.deque[int] = collections.deque(maxlen=MAX_RECENT_PORTS)
        self._rng = random.SystemRandom()

    def allocate(self) -> int:
        """Return a port that no process listens on."""
        while True:
            port = self._rng.choice(self._ports)
            if port in self._recent_ports:
                continue
            with contextlib.suppress(OSError), socket.create_server((LOOPBACK, port)):
                self._recent_ports.append(port)
                return port


def system_assigned_port() -> int:
    """Return a free ephemeral port; the operating system may assign it again before the caller uses it."""
    with socket.create_server((LOOPBACK, 0)) as listener:
        port: int = listener.getsockname()[1]
        return port
