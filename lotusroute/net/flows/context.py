"""The objects that the components of one balancer share."""

from dataclasses import dataclass

from lotusroute.net.config import BalancerConfig
from lotusroute.net.event_loop import CoalescedTimer, EventLoop
from lotusroute.net.flows.endpoints import EndpointRegistry
from lotusroute.net.flows.table import FlowTable
from lotusroute.net.structured_log import Counters
from lotusroute.net.upstream.lingering import LingeringUpstreams


@dataclass(frozen=True, slots=True)
class BalancerContext:
    """The configuration, the event loop and the state that several components of a balancer use."""

    # The configuration that was loaded at startup. `DiscoverySession` applies a reloaded configuration.
    config: BalancerConfig
    counters: Counters
    loop: EventLoop
    flow_table: FlowTable
    endpoints: EndpointRegistry
    drain_timer: CoalescedTimer  # fires when the next batch of migrations is due
    lingering_upstreams: LingeringUpstreams
