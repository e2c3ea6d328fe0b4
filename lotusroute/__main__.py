"""Starts one balancer: reads what it is told, opens its sockets, ends in order.

Owns the order of the start and of the end, and the signals. It must never hold state of a flow.
"""

import os
import signal
import sys

from twisted.internet import defer, error, reactor

from lotusroute import interface
from lotusroute.net import log, startup
from lotusroute.net.clients import Clients
from lotusroute.net.discovery import Discovery, listed
from lotusroute.net.owner import Owner
from lotusroute.vip import Malformed

BACKLOG = 1024  # connections that may wait to be accepted when all clients of a peer come at once


def main() -> int:
    """Run until told to stop; 0 after an orderly end, 2 where the start is faulty."""
    try:
        posting = startup.read(os.environ)
        remembered = _remembered(posting)
    except Malformed as fault:
        print(f"lotusroute: {fault}", file=sys.stderr)
        return 2
    log.start(posting.log_level)
    counts = log.Counts()
    owner = Owner(posting, counts)
    owner.put(remembered)
    clients = Clients(owner.put, owner.clock, owner.ready, posting.sockets, counts)
    try:
        reactor.listenTCP(posting.listen[1], clients, backlog=BACKLOG, interface=posting.listen[0])
    except error.CannotListenError as fault:
        print(f"lotusroute: LB_LISTEN: {fault}", file=sys.stderr)
        return 2
    discovery = Discovery(posting.discovery, posting.seed, owner.put, counts)
    reactor.callWhenRunning(lambda: defer.ensureDeferred(discovery.follow()))

    def finish() -> None:
        if reactor.running:
            reactor.stop()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(owner.stop, finish))
    signal.signal(signal.SIGUSR1, lambda *_: reactor.callFromThread(counts.print))
    reactor.run(installSignalHandlers=False)
    counts.print()
    return 0


def _remembered(posting: startup.Posting):
    try:
        return listed(posting.known, interface.REMEMBERED)
    except (KeyError, TypeError, ValueError, AttributeError, Malformed) as fault:
        raise Malformed(f"known: {type(fault).__name__} {fault}") from None


if __name__ == "__main__":
    sys.exit(main())
