"""Admission control: decides whether a new flow is accepted and formats the rejection if it is not.

Owns the balancer's capacity and the flag that closes admission at shutdown. Times are milliseconds.
"""

from enum import Enum, auto

from lotusroute.net.config import BalancerConfig
from lotusroute.net.downstream.open_request import OpenRequest
from lotusroute.net.event_loop import EventLoop
from lotusroute.net.flows.table import FlowTable
from lotusroute.net.transport.line_protocol import BUSY

# Descriptors reserved for the process itself and for connections without a flow: the process's limit divided
# by the divisor, but at least the minimum.
RESERVED_SOCKETS_DIVISOR = 8
MIN_RESERVED_SOCKETS = 64
SOCKETS_PER_FLOW = 2  # the client's connection and the server's
# Memory of the process without flows: the program takes 24 MB, and the interpreter's memory grows over time.
BASE_MEMORY_MB = 32
# Memory of a flow: its objects, and the data that is buffered on both sides, read or still to be written.
MEMORY_PER_FLOW_MB = 1 / 16
# Number of queued events above which new flows are rejected. Handling this many takes about 100 ms, by which
# a new flow would be delayed.
MAX_BACKLOG = 4096
# How long after the balancer's start existing connections are accepted; a later request that claims to be one
# is forged.
EXISTING_ACCEPT_WINDOW_MS = 60_000.0


class AdmissionResult(Enum):
    """The decision on a client's request."""

    ACCEPTED = auto()
    MALFORMED = auto()
    SHUTTING_DOWN = auto()
    AT_CAPACITY = auto()


def busy_line(retry_after: float, max_retry_after: float) -> bytes:
    """Return the line that rejects a flow, with a Retry-After unless the settings allow none.

    >>> busy_line(250.4, 1000.0), busy_line(250.4, 0.0)
    (b'BUSY 250', b'BUSY')
    """
    retry_after = round(min(retry_after, max_retry_after))
    return b"%b %d" % (BUSY, retry_after) if retry_after > 0 else BUSY


class AdmissionControl:
    """Accepts valid requests while there is capacity and the balancer is not shutting down."""

    def __init__(self, config: BalancerConfig, loop: EventLoop, table: FlowTable) -> None:
        self._config = config
        self._loop = loop
        self._table = table
        self._started_at = loop.clock()
        self._closed = False
        self._capacity = 1
        self.update_capacity(config)

    def update_capacity(self, config: BalancerConfig) -> None:
        """Compute the capacity from the limits on descriptors and memory in a configuration."""
        reserved = max(MIN_RESERVED_SOCKETS, config.sockets // RESERVED_SOCKETS_DIVISOR)
        by_sockets = (config.sockets - reserved) // SOCKETS_PER_FLOW
        by_memory = int((config.memory_mb - BASE_MEMORY_MB) / MEMORY_PER_FLOW_MB)
        self._capacity = max(1, min(by_sockets, by_memory))

    def close(self) -> None:
        """Accept no more flows: the balancer is shutting down."""
        self._closed = True

    def evaluate(self, request: OpenRequest) -> AdmissionResult:
        """Decide whether to accept a request.

        Existing connections are accepted even at capacity: they use no more capacity than they used before
        the balancer was restarted.
        """
        if not self._is_valid(request):
            return AdmissionResult.MALFORMED
        if request.existing_server and self._loop.clock() > self._started_at + EXISTING_ACCEPT_WINDOW_MS:
            return AdmissionResult.MALFORMED
        if self._closed:
            return AdmissionResult.SHUTTING_DOWN
        full = len(self._table) >= self._capacity or self._loop.backlog > MAX_BACKLOG
        if full and not request.existing_server:
            return AdmissionResult.AT_CAPACITY
        return AdmissionResult.ACCEPTED

    def _is_valid(self, request: OpenRequest) -> bool:
        """Return whether a server could serve the request.

        An id that is already in use, sent again by another client, is rejected here: a server would answer
        ERR to the healthy flow with the same id. Each such answer counts as a failure of the server, and two
        in a row eject it.
        """
        tenants = self._config.tenants
        if request.service_type not in self._config.service.service_types:
            return False
        if self._table.is_id_in_use(request.id):
            return False
        return not (tenants and request.tenant and request.tenant not in tenants)
