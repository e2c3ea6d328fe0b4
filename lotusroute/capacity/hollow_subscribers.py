"""A process of hollow subscribers: the program's own `Subscription` and `Discovery`, without flows.

Owns how many share the process, and when each of them had which change. It must never hold a copy of what
they are made of. SIGUSR1 writes what came to the file that it was told, SIGUSR2 ends all ways at once and
begins anew.

    python -m lotusroute.capacity.hollow_subscribers subscribers.json
"""

import json
import pathlib
import signal
import sys
import time

from lotusroute.net import epoll_reactor

epoll_reactor.install()

# Nothing may import Twisted's reactor before ours is installed.
# ruff: noqa: E402, I001
from twisted.internet import defer, reactor

from lotusroute.net import structured_log
from lotusroute.net.discovery import Discovery
from lotusroute.relay import config, subscription

EACH = 0.15  # s between the starts of two in a process: thousands that start at once on one machine's cores
#             all fell back on discovery, whose one process then kept them from joining a relay


class Hollow:
    """All subscribers of one process."""

    def __init__(self, told: dict) -> None:
        self.told, self.counters = told, structured_log.Counters()
        self.came: dict[str, dict[int, float]] = {name: {} for name in told["names"]}  # by name: change, when
        self.subscriptions: dict[str, subscription.Subscription] = {}
        host, _, port = told["discovery"].rpartition(":")
        self.where = host, int(port)

    def begin(self, name: str, seed: int) -> None:
        """Start one."""
        zone = self.told["zones"][name]
        relays = config.parse_relays_config({"name": "scale", "zone": zone, "relays": self.told["relays"]})
        one = subscription.Subscription(reactor, relays, name, self.counters)
        following = Discovery(self.where, 0, seed, lambda news: self.heard(name, news), self.counters, 500.0)
        following.watch, one.discovery = one, following
        self.subscriptions[name] = one
        one.start()
        defer.ensureDeferred(following.follow())

    def heard(self, name: str, news) -> None:
        """One has a list or a change of it; `cell` says which change it is."""
        now, came = time.monotonic(), self.came[name]
        for server in news.servers:
            if server.id == "s-0":
                came.setdefault(server.cell, now)

    def write(self) -> None:
        """Write what came, and the digests."""
        stores = {name: f"{one.store.version} {one.store.digest}" for name, one in self.subscriptions.items()}
        file = pathlib.Path(self.told["file"])
        part = file.with_suffix(".part")
        part.write_text(json.dumps({"came": self.came, "stores": stores, "counts": self.counters}))
        part.rename(file)
        structured_log.log_event("written")

    def restart(self) -> None:
        """All lose what they have and come back at once."""
        for name, one in self.subscriptions.items():
            one.transport.close()
            one.transport.closed = True
            one.discovery.close()
            one.start = lambda: None
            self.came[name] = {}
        for at, name in enumerate(list(self.subscriptions)):
            self.begin(name, 1_000 + at)


def main(file: str) -> int:
    """Run until killed."""
    told = json.loads(pathlib.Path(file).read_text(encoding="utf-8"))
    structured_log.configure_logging("ERROR")
    structured_log.LOGGER.setLevel("WARNING")
    hollow = Hollow(told)
    for at, name in enumerate(told["names"]):
        reactor.callLater(EACH * at, hollow.begin, name, at)
    for number, call in ((signal.SIGUSR1, hollow.write), (signal.SIGUSR2, hollow.restart)):
        signal.signal(number, lambda *_, call=call: reactor.callFromThread(call))
    reactor.callLater(EACH * len(told["names"]), print, "event=ready", file=sys.stderr, flush=True)
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
