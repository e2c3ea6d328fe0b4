"""What the parts of one balancer share."""

from dataclasses import dataclass

from lotusroute.net.config import BalancerConfig
from lotusroute.net.endpoints import EndpointRegistry
from lotusroute.net.event_loop import CoalescedTimer, EventLoop
from lotusroute.net.flow_table import FlowTable
from lotusroute.net.structured_log import Counters


@dataclass(frozen=True, slots=True)
class BalancerContext:
    """The configuration, the event loop and the state that several parts of a balancer read."""

    config: BalancerConfig  # as at the start; see `DiscoverySession` for a reloaded one
    counters: Counters
    loop: EventLoop
    flow_table: FlowTable
    endpoints: EndpointRegistry
    drain_timer: CoalescedTimer  # fires for the next batch of migrations
