"""A stub of the discovery service that runs as a process on loopback.

    python -m lotusroute.capacity.discovery_stub PORT HOSTS ANSWERS [INTERVAL [SERVER_PORT]]

The endpoint list has HOSTS servers, all on SERVER_PORT. At most ANSWERS polls are answered per second. Every
INTERVAL seconds one entry of the list changes; 0 means never. SIGUSR1 logs the counters, SIGUSR2 makes one
change, SIGHUP makes a burst of changes. Each change is logged with its number and with the time on the
monotonic clock, which all processes share.
"""

import itertools
import signal
import sys
import time

from twisted.internet import task
from twisted.web import server

from lotusroute.capacity.discovery_resource import DiscoveryResource
from lotusroute.capacity.signals import call_on_signal
from lotusroute.capacity.stubs import BURST_CHANGES, CHANGED_HOST, DISCARD_PORT
from lotusroute.net import structured_log
from lotusroute.net.reactor import reactor
from lotusroute.process_control.config_files import endpoint_entry
from lotusroute.process_control.free_ports import LOOPBACK


class DiscoveryStub:
    """The discovery resource with the changes that are made to its list."""

    def __init__(self, hosts: int, answers_per_s: float, server_port: int) -> None:
        self.server_port = server_port
        self.resource = DiscoveryResource(
            [endpoint_entry(f"s-{index}", server_port) for index in range(hosts)], answers_per_s
        )
        self.counters = structured_log.Counters()
        self._change_numbers = itertools.count(1)

    def log_counters(self) -> None:
        """Log how many polls were received and how many bytes were sent."""
        self.counters["polls"] = len(self.resource.poll_times)
        self.counters["bytes_sent"] = self.resource.bytes_sent
        self.counters.print()

    def change(self) -> None:
        """Change one entry of the list; its field `block` carries the number of the change."""
        number = next(self._change_numbers)
        self.resource.change([{**endpoint_entry(CHANGED_HOST, self.server_port), "block": number}])
        structured_log.log_event("changed", change=number, at=time.monotonic(), server=CHANGED_HOST)

    def change_in_burst(self) -> None:
        """Change the same entry BURST_CHANGES times, spread over one second."""
        for index in range(BURST_CHANGES):
            reactor.callLater(index / BURST_CHANGES, self.change)


def main(
    port: str, hosts: str, answers: str, interval: str = "0", server_port: str = str(DISCARD_PORT)
) -> None:
    """Run until the process is killed."""
    structured_log.configure_logging("INFO")
    stub = DiscoveryStub(int(hosts), float(answers), int(server_port))
    reactor.listenTCP(int(port), server.Site(stub.resource), interface=LOOPBACK)
    if float(interval):
        task.LoopingCall(stub.change).start(float(interval), now=False)
    call_on_signal(reactor, signal.SIGUSR1, stub.log_counters)
    call_on_signal(reactor, signal.SIGUSR2, stub.change)
    call_on_signal(reactor, signal.SIGHUP, stub.change_in_burst)
    reactor.callWhenRunning(structured_log.log_event, "ready")
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main(*sys.argv[1:])
