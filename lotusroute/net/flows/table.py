"""The flows in flight, by number, and the client ids that are in use.

Owns both. An id counts as in use for a while after its flow has ended, because servers keep an id as long as
any of their clients may use it.
Times are milliseconds.
"""

from collections import deque
from collections.abc import Callable, Iterator

from lotusroute.net.downstream.connection import DownstreamConnection
from lotusroute.net.downstream.open_request import OpenRequest
from lotusroute.net.flows.flow import ActiveFlow
from lotusroute.routing.events import ServiceType

CLOSED_FLOW_ID_TTL_MS = 60_000.0  # how long servers may still use the id of an ended flow
MAX_CLOSED_FLOW_IDS = 20_000  # largest number of ids of ended flows that are kept, which take about 5 MB


class FlowTable:
    """Flows in flight; each is removed with its final answer or at the end of its connection."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._flows: dict[int, ActiveFlow] = {}
        # The request ids of the flows in flight and of the ended flows in `_closed`.
        self._ids: set[str] = set()
        # The end times and request ids of recently ended flows, the oldest first.
        self._closed: deque[tuple[float, str]] = deque()
        self._last_number = 0
        # This is the dict's own method, because it is called for every event and a wrapper would cost one
        # more call each time.
        self.get: Callable[[int], ActiveFlow | None] = self._flows.get

    def __len__(self) -> int:
        return len(self._flows)

    def __iter__(self) -> Iterator[ActiveFlow]:
        return iter(self._flows.values())

    def __contains__(self, flow: ActiveFlow) -> bool:
        return flow.number in self._flows

    def add(
        self,
        request: OpenRequest,
        service_type: ServiceType,
        deadline: float,
        downstream: DownstreamConnection,
    ) -> ActiveFlow:
        """Create a flow with the next number and add it."""
        self._last_number += 1
        self._ids.add(request.id)
        flow = ActiveFlow(self._last_number, request, service_type, deadline, downstream)
        self._flows[flow.number] = flow
        return flow

    def remove(self, flow: ActiveFlow) -> None:
        """Remove a flow that is answered or whose connection has ended."""
        del self._flows[flow.number]
        self._closed.append((self._clock(), flow.request.id))

    def established(self) -> list[ActiveFlow]:
        """Return the established flows whose client can be asked to reconnect."""
        return [flow for flow in self if flow.established and not flow.downstream.disconnected]

    def is_id_in_use(self, request_id: str) -> bool:
        """Return whether the id belongs to a flow in flight or to one that ended recently."""
        return request_id in self._ids

    def expire_closed_ids(self, now: float) -> None:
        """Forget the ids of flows that ended long ago, and the oldest ids beyond the limit."""
        closed = self._closed
        while closed and (closed[0][0] < now - CLOSED_FLOW_ID_TTL_MS or len(closed) > MAX_CLOSED_FLOW_IDS):
            _, request_id = closed.popleft()
            self._ids.discard(request_id)
