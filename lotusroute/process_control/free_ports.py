"""Finds free loopback ports for processes that have yet to be started."""

import contextlib
import os
import random
import socket
import threading
import time
from collections.abc import Sequence

from lotusroute.process_control.errors import NoFreePortsError

LOOPBACK = "127.0.0.1"
# Ports below the ephemeral range of the operating system, which starts at 32768 by default on Linux.
# A port from that range could be assigned to a connection or listener of another program before the process
# that it was allocated for has started. That process may take seconds to start; it would then find its port
# in use, and exit.
ALLOCATABLE_PORTS = range(10_000, 32_000)
BLOCK_SIZE = 200  # number of ports that are reserved at once
# Time after which an allocated port may be allocated again. A process binds its port sooner.
MAX_START_TIME_S = 60.0


class PortBlock:
    """A range of ports that is reserved for this process among all that reserve ports in this way.

    The reservation is a listener on the first port of the range. It ends with the process.
    """

    def __init__(self, listener: socket.socket, ports: range) -> None:
        self._listener = listener  # kept open for as long as the block is reserved
        self.ports = ports[1:]

    @classmethod
    def reserve(cls) -> "PortBlock":
        """Reserve a block; raises NoFreePortsError if all of them are reserved."""
        starts = list(ALLOCATABLE_PORTS[::BLOCK_SIZE])
        random.SystemRandom().shuffle(starts)
        for start in starts:
            with contextlib.suppress(OSError):
                listener = socket.create_server((LOOPBACK, start))
                return cls(listener, range(start, start + BLOCK_SIZE))
        raise NoFreePortsError(len(starts))


class PortAllocator:
    """Allocates free ports, except recently allocated ones, whose processes may still be starting.

    Processes that run at the same time allocate disjoint ports, because none of them knows which ports the
    others have recently allocated. So an allocator reserves blocks of ports, unless the ports are given.
    """

    def __init__(self, ports: Sequence[int] | None = None) -> None:
        self._given_ports = ports
        self._blocks: list[PortBlock] = []
        self._owner = os.getpid()
        self._allocated_at: dict[int, float] = {}  # when each recent port was allocated
        self._rng = random.SystemRandom()
        self._lock = threading.Lock()

    def allocate(self) -> int:
        """Return a port that no process listens on; raises NoFreePortsError if there is none."""
        with self._lock:
            return self._allocate()

    def _allocate(self) -> int:
        for port in self._candidates():
            with contextlib.suppress(OSError), socket.create_server((LOOPBACK, port)):
                self._allocated_at[port] = time.monotonic()
                return port
        if self._given_ports is not None:
            raise NoFreePortsError(0)
        self._blocks.append(PortBlock.reserve())
        return self._allocate()

    def _candidates(self) -> list[int]:
        """Return the ports that were not allocated recently, in random order."""
        if self._owner != os.getpid():
            # A forked process must not use the blocks of its parent.
            self._owner, self._blocks = os.getpid(), []
        oldest = time.monotonic() - MAX_START_TIME_S
        self._allocated_at = {port: at for port, at in self._allocated_at.items() if at > oldest}
        ports = self._given_ports or [port for block in self._blocks for port in block.ports]
        candidates = [port for port in ports if port not in self._allocated_at]
        self._rng.shuffle(candidates)
        return candidates


def system_assigned_port() -> int:
    """Return a free ephemeral port; the operating system may assign it again before the caller uses it."""
    with socket.create_server((LOOPBACK, 0)) as listener:
        port: int = listener.getsockname()[1]
        return port
