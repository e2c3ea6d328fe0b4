"""A process of many hollow balancers: fleet members that handle no flows.

Each consists of those components of a balancer that work without flows: transport, leases, shared discovery
and discovery client. SIGUSR1 logs the counters, summed over all of them.

    python -m lotusroute.capacity.hollow_balancers settings.json
"""

import signal
import sys

from twisted.internet import defer

from lotusroute.capacity import member_process
from lotusroute.capacity.member_settings import HollowBalancerSettings
from lotusroute.fleet import config, lease_service, shared_discovery
from lotusroute.net import structured_log
from lotusroute.net.discovery.client import Discovery
from lotusroute.net.reactor import reactor
from lotusroute.timing.poll_limits import PollLimits

START_INTERVAL_S = 0.01  # time between the starts of two hollow balancers
DRAIN_GRACE_MS = 2_000.0


class HollowBalancers:
    """The hollow balancers of one process."""

    def __init__(self, settings: HollowBalancerSettings) -> None:
        self.fleet = config.load_fleet_config(settings.fleet)
        self.discovery_address = settings.discovery_address()
        self.counters = structured_log.Counters()

    def start(self, name: str, seed: int) -> None:
        """Start a hollow balancer; `seed` is the seed of its discovery client."""
        leases = lease_service.LeaseService(reactor, self.fleet, name, self.counters)
        limits = PollLimits.for_remote_discovery(DRAIN_GRACE_MS)
        discovery = Discovery(self.discovery_address, 0, seed, self._count_update, self.counters, limits)
        if self.fleet.tasks:
            shared = shared_discovery.SharedDiscovery(leases)
            shared.discovery = discovery
            discovery.update_source = shared
        leases.start().addErrback(
            lambda failure: structured_log.log_event("listen failed", name=name, reason=str(failure.value))
        )
        defer.ensureDeferred(discovery.follow())

    def _count_update(self, _update: object) -> None:
        self.counters["lists_received"] += 1


def main(file: str) -> None:
    """Run the hollow balancers named in a settings file until the process is killed."""
    settings = HollowBalancerSettings.read(file)
    balancers = HollowBalancers(settings)
    handlers = {signal.SIGUSR1: balancers.counters.print}
    member_process.run_members(settings.names, balancers.start, START_INTERVAL_S, handlers)


if __name__ == "__main__":
    main(sys.argv[1])
