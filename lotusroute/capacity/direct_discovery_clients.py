"""A process of followers that call discovery by themselves, as each balancer does in `run`.

Owns how many share the process. It must never hold a copy of what follows: that is the program's own
`Discovery`.

    python -m lotusroute.capacity.direct_discovery_clients followers.json
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

from lotusroute.net import structured_log
from lotusroute.net.discovery import Discovery


def main(file: str) -> int:
    """Run until killed."""
    told = json.loads(pathlib.Path(file).read_text(encoding="utf-8"))
    structured_log.configure_logging("WARNING")
    structured_log.LOGGER.setLevel("INFO")
    counters = structured_log.Counters()
    host, _, port = told["discovery"].rpartition(":")

    def begin(seed: int) -> None:
        one = Discovery((host, int(port)), 0, seed, lambda news: counters.update(lists_taken=1), counters)
        defer.ensureDeferred(one.follow())

    for at in range(len(told["names"])):
        reactor.callLater(0.005 * at, begin, at)
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(counters.print))
    reactor.callLater(0.005 * len(told["names"]), structured_log.log_event, "ready")
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
