"""A process of hollow balancers: the program's own link, leases, watch and discovery, without flows.

Owns how many of them share a process. It must never hold a copy of what they are made of: each is the very
code that a balancer runs. Started by `lotusroute scale`, with a file that names them:

    python -m lotusroute.capacity.hollow_balancers hollow.json
"""

import json
import pathlib
import signal
import sys

from lotusroute.net import epoll_reactor

epoll_reactor.install()

# Nothing may import Twisted's reactor before ours is installed.
# ruff: noqa: E402, I001
from twisted.internet import defer, reactor

from lotusroute.fleet import config, lease_service, shared_discovery
from lotusroute.net import structured_log
from lotusroute.net.discovery import Discovery


def member(
    told: config.FleetConfig, name: str, where: tuple[str, int], seed: int, counters: structured_log.Counters
) -> None:
    """Start one hollow balancer."""
    fleet = lease_service.LeaseService(reactor, told, name, counters)
    following = Discovery(
        where, 0, seed, lambda news: counters.update(lists_taken=1), counters, 2_000.0, False
    )
    if told.tasks:
        following.watch = shared_discovery.SharedDiscovery(fleet)
        following.watch.discovery = following
    fleet.start().addErrback(
        lambda reason: structured_log.log_event("no address", name=name, why=str(reason.value))
    )
    defer.ensureDeferred(following.follow())


def main(file: str) -> int:
    """Run until killed."""
    told = json.loads(pathlib.Path(file).read_text(encoding="utf-8"))
    structured_log.configure_logging("WARNING")
    structured_log.LOGGER.setLevel("INFO")
    counters = structured_log.Counters()
    fleet = config.load_fleet_config(told["fleet"])
    host, _, port = told["discovery"].rpartition(":")
    for at, name in enumerate(told["names"]):
        # Not all in one turn: a process that starts a hundred stands still for as long.
        reactor.callLater(0.01 * at, member, fleet, name, (host, int(port)), at, counters)
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(counters.print))
    reactor.callLater(0.01 * len(told["names"]), structured_log.log_event, "ready")
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
