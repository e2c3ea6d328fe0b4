"""Finds ports on loopback for processes that are still to start."""

import collections
import contextlib
import random
import socket
from collections.abc import Sequence

LOOPBACK = "127.0.0.1"
# Below the range from which the system assigns ports: it gives none of these to another program's connection
# or listener before the process that the port is meant for has started.
ALLOCATED_PORTS = range(10_000, 32_000)
REMEMBERED_PORTS = 1_000


class PortAllocator:
    """Allocates ports that are free and were not allocated lately, as their processes may still be starting.

    Allocators of processes that run at the same time should have ports of their own.
    """

    def __init__(self, ports: Sequence[int] = ALLOCATED_PORTS) -> None:
        self._ports = ports
        self._recent_ports: collections.deque[int] = collections.deque(maxlen=REMEMBERED_PORTS)
        self._rng = random.SystemRandom()

    def allocate(self) -> int:
        """Return a port on which nobody listens."""
        while True:
            port = self._rng.choice(self._ports)
            if port in self._recent_ports:
                continue
            with contextlib.suppress(OSError), socket.create_server((LOOPBACK, port)):
                self._recent_ports.append(port)
                return port


def system_assigned_port() -> int:
    """Return a port on which nobody listens; the system may assign it again before it is used."""
    with socket.create_server((LOOPBACK, 0)) as listener:
        port: int = listener.getsockname()[1]
        return port
