"""A stand-in discovery as a process.

    python -m lotusroute.capacity.discovery_stub PORT HOSTS ANSWERS [EVERY [DIAL]]

Owns its start and its counters. It must never listen anywhere but on loopback.
"""

import itertools
import signal
import sys
import time

from twisted.internet import reactor, task
from twisted.web import server

from lotusroute.capacity.stubs import Targets, entry
from lotusroute.net import structured_log

BURST = 50  # changes in a second, on SIGHUP; SIGUSR2 makes one


def main(port: str, hosts: str, answers: str, every: str = "0", dial: str = "9") -> int:
    """Run until killed; with `every`, an entry is told anew each so many seconds. `dial` is all's port."""
    structured_log.configure_logging("WARNING")
    structured_log.LOGGER.setLevel("INFO")
    targets = Targets([entry(f"s-{at}", int(dial)) for at in range(int(hosts))], float(answers))
    reactor.listenTCP(int(port), server.Site(targets), interface="127.0.0.1")
    counters = structured_log.Counters()

    def tell() -> None:
        counters.update(calls=len(targets.calls) - counters["calls"], bytes=targets.bytes - counters["bytes"])
        counters.print()

    changes = itertools.count(1)

    def change() -> None:
        number = next(changes)
        targets.change([{**entry("s-0", int(dial)), "block": number}])
        structured_log.log_event("changed", change=number, at=time.monotonic(), of="s-0")

    def burst() -> None:
        for at in range(BURST):
            reactor.callLater(at / BURST, change)

    if float(every):
        task.LoopingCall(change).start(float(every), now=False)
    for number, call in ((signal.SIGUSR1, tell), (signal.SIGUSR2, change), (signal.SIGHUP, burst)):
        signal.signal(number, lambda *_, call=call: reactor.callFromThread(call))
    reactor.callWhenRunning(structured_log.log_event, "ready")
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
