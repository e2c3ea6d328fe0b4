"""Admission control: whether a new flow is accepted, and the answer where it is not.

Owns the balancer's capacity and whether it still accepts flows. All times are milliseconds.
"""

from enum import Enum, auto

from lotusroute.net.config import BalancerConfig
from lotusroute.net.event_loop import EventLoop
from lotusroute.net.flow_table import FlowTable
from lotusroute.net.line_protocol import BUSY
from lotusroute.net.open_request import OpenRequest

RESERVED_SOCKETS_DIVISOR = 8  # one in so many descriptors is kept from flows: our own, and new connections'
MIN_RESERVED_SOCKETS = 64
SOCKETS_PER_FLOW = 2
BASE_MEMORY_MB = 32  # the program by itself: 24 measured, and the interpreter's growth
MEMORY_PER_FLOW_MB = 1 / 16  # both sides' read and unwritten data, and the flow's objects
MAX_BACKLOG = 4096  # queued events beyond which new flows are rejected: some 100 ms of work
EXISTING_ACCEPT_WINDOW = 60_000.0  # ms from the start in which existing connections return; later are forged


class AdmissionResult(Enum):
    """What becomes of a new flow."""

    ACCEPTED = auto()
    MALFORMED = auto()
    SHUTTING_DOWN = auto()
    AT_CAPACITY = auto()


def busy_line(retry_after: float, max_retry_after: float) -> bytes:
    """Return a rejection with its Retry-After in ms, without one where the settings allow none.

    >>> busy_line(250.4, 1000.0), busy_line(250.4, 0.0)
    (b'BUSY 250', b'BUSY')
    """
    retry_after = round(min(retry_after, max_retry_after))
    return b"%b %d" % (BUSY, retry_after) if retry_after > 0 else BUSY


class AdmissionControl:
    """Accepts flows while they are usable, there is capacity and the balancer is not shutting down."""

    def __init__(self, config: BalancerConfig, loop: EventLoop, table: FlowTable) -> None:
        self._config = config
        self._loop = loop
        self._table = table
        self._started_at = loop.clock()
        self._closed = False
        self._capacity = 1
        self.resize(config)

    def resize(self, config: BalancerConfig) -> None:
        """Set the capacity by the descriptors and the memory of a configuration."""
        reserved = max(MIN_RESERVED_SOCKETS, config.sockets // RESERVED_SOCKETS_DIVISOR)
        by_sockets = (config.sockets - reserved) // SOCKETS_PER_FLOW
        by_memory = int((config.memory_mb - BASE_MEMORY_MB) / MEMORY_PER_FLOW_MB)
        self._capacity = max(1, min(by_sockets, by_memory))

    def close(self) -> None:
        """Accept no more flows: the balancer is shutting down."""
        self._closed = True

    def evaluate(self, request: OpenRequest) -> AdmissionResult:
        """Decide on a client's request. Existing connections take no capacity that they did not have."""
        if not self._usable(request):
            return AdmissionResult.MALFORMED
        if request.existing_server and self._loop.clock() > self._started_at + EXISTING_ACCEPT_WINDOW:
            return AdmissionResult.MALFORMED
        if self._closed:
            return AdmissionResult.SHUTTING_DOWN
        full = len(self._table) >= self._capacity or self._loop.backlog > MAX_BACKLOG
        if full and not request.existing_server:
            return AdmissionResult.AT_CAPACITY
        return AdmissionResult.ACCEPTED

    def _usable(self, request: OpenRequest) -> bool:
        """Return whether a server could use the request.

        The id of an open flow, sent by another client, made servers answer ERR to healthy flows of the same
        id, and the servers were ejected for it.
        """
        tenants = self._config.tenants
        if request.service_type not in self._config.service.service_types:
            return False
        if self._table.knows_id(request.id):
            return False
        return not (tenants and request.tenant and request.tenant not in tenants)
