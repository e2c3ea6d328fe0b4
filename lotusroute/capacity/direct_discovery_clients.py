"""A process of many clients that each poll discovery directly, as a balancer outside a fleet does.

Each client is the balancer's own `Discovery` class. SIGUSR1 logs the counters, summed over all clients.

    python -m lotusroute.capacity.direct_discovery_clients settings.json
"""

import signal
import sys

from twisted.internet import defer

from lotusroute.capacity import member_process
from lotusroute.capacity.member_settings import MemberSettings
from lotusroute.net import structured_log
from lotusroute.net.discovery.client import Discovery

START_INTERVAL_S = 0.005  # time between the starts of two clients


def main(file: str) -> None:
    """Run the clients named in a settings file until the process is killed."""
    settings = MemberSettings.read(file)
    counters = structured_log.Counters()

    def count_update(_update: object) -> None:
        counters["lists_received"] += 1

    def start(_name: str, index: int) -> None:
        discovery = Discovery(settings.discovery_address(), 0, index, count_update, counters)
        defer.ensureDeferred(discovery.follow())

    handlers = {signal.SIGUSR1: counters.print}
    member_process.run_members(settings.names, start, START_INTERVAL_S, handlers)


if __name__ == "__main__":
    main(sys.argv[1])
