"""Admission control: whether a new flow is accepted, and the answer where it is not.

Owns the balancer's capacity and whether it still accepts flows. Times are milliseconds.
"""

from enum import Enum, auto

from lotusroute.net.config import BalancerConfig
from lotusroute.net.event_loop import EventLoop
from lotusroute.net.flow_table import FlowTable
from lotusroute.net.line_protocol import BUSY
from lotusroute.net.open_request import OpenRequest

# Descriptors kept for the process and for connections without a flow.
RESERVED_SOCKETS_DIVISOR = 8
MIN_RESERVED_SOCKETS = 64
SOCKETS_PER_FLOW = 2
BASE_MEMORY_MB = 32  # of the process without flows
MEMORY_PER_FLOW_MB = 1 / 16  # for the data buffered on both sides and the flow's objects
MAX_BACKLOG = 4096  # queued events
EXISTING_ACCEPT_WINDOW_MS = 60_000.0  # after the start; later claims to be one are forged


class AdmissionResult(Enum):
    """What becomes of a new flow."""

    ACCEPTED = auto()
    MALFORMED = auto()
    SHUTTING_DOWN = auto()
    AT_CAPACITY = auto()


def busy_line(retry_after: float, max_retry_after: float) -> bytes:
    """Return a rejection with its Retry-After, or without one where the settings allow none.

    >>> busy_line(250.4, 1000.0), busy_line(250.4, 0.0)
    (b'BUSY 250', b'BUSY')
    """
    retry_after = round(min(retry_after, max_retry_after))
    return b"%b %d" % (BUSY, retry_after) if retry_after > 0 else BUSY


class AdmissionControl:
    """Accepts usable requests while there is capacity and the balancer is not shutting down."""

    def __init__(self, config: BalancerConfig, loop: EventLoop, table: FlowTable) -> None:
        self._config = config
        self._loop = loop
        self._table = table
        self._started_at = loop.clock()
        self._closed = False
        self._capacity = 1
        self.resize(config)

    def resize(self, config: BalancerConfig) -> None:
        """Derive the capacity from the descriptors and the memory of a configuration."""
        reserved = max(MIN_RESERVED_SOCKETS, config.sockets // RESERVED_SOCKETS_DIVISOR)
        by_sockets = (config.sockets - reserved) // SOCKETS_PER_FLOW
        by_memory = int((config.memory_mb - BASE_MEMORY_MB) / MEMORY_PER_FLOW_MB)
        self._capacity = max(1, min(by_sockets, by_memory))

    def close(self) -> None:
        """Accept no more flows: the balancer is shutting down."""
        self._closed = True

    def evaluate(self, request: OpenRequest) -> AdmissionResult:
        """Decide on a client's request; existing connections are accepted beyond the capacity."""
        if not self._usable(request):
            return AdmissionResult.MALFORMED
        if request.existing_server and self._loop.clock() > self._started_at + EXISTING_ACCEPT_WINDOW_MS:
            return AdmissionResult.MALFORMED
        if self._closed:
            return AdmissionResult.SHUTTING_DOWN
        full = len(self._table) >= self._capacity or self._loop.backlog > MAX_BACKLOG
        if full and not request.existing_server:
            return AdmissionResult.AT_CAPACITY
        return AdmissionResult.ACCEPTED

    def _usable(self, request: OpenRequest) -> bool:
        """Return whether a server could use the request.

        An id that is in use is not usable: a server would answer ERR to the healthy flow of the same id, and
        the answer would count as the server's failure.
        """
        tenants = self._config.tenants
        if request.service_type not in self._config.service.service_types:
            return False
        if self._table.knows_id(request.id):
            return False
        return not (tenants and request.tenant and request.tenant not in tenants)
