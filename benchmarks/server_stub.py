"""Stubs of servers, which give receipts after a random set-up time, and of discovery's endpoint list."""

import json
import random
import time

from peer_messages import (
    EndpointListSettings,
    EndpointListStarted,
    ServersSettings,
    ServersStarted,
    SlowPeriod,
)
from twisted.internet import protocol, reactor
from twisted.internet.interfaces import IDelayedCall
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

HEAVY_SIGMA = 1.0  # of the logarithm of a heavy-tailed set-up: one in 40 takes seven times the median
# Times the median that a heavy-tailed set-up takes at most: heavy is still healthy, wild is longer than a
# balancer waits.
MAX_FACTORS = {"heavy": 5.0, "wild": 20.0}
LIGHT_VARIATION = 0.1  # share by which a light spread varies
SLOW_FACTOR = 10
MIN_POLL_S = 0.05  # that a poll waits at least, so that an eager balancer costs the stub little
BACKLOG = 1024


class SetupTimes:
    """Samples set-up times around a median."""

    def __init__(self, spread: str, rng: random.Random) -> None:
        self.spread = spread
        self.rng = rng

    def sample(self, median_ms: float) -> float:
        """Sample one set-up time in ms."""
        if self.spread in MAX_FACTORS:
            return median_ms * min(MAX_FACTORS[self.spread], self.rng.lognormvariate(0.0, HEAVY_SIGMA))
        return median_ms * self.rng.uniform(1 - LIGHT_VARIATION, 1 + LIGHT_VARIATION)


class ServerConnection(LineReceiver):
    """Sends a receipt after the set-up time, and echoes later lines."""

    delimiter = b"\r\n"
    factory: "Server"

    def __init__(self) -> None:
        self.established = False
        self.timer: IDelayedCall | None = None

    def connectionMade(self) -> None:
        """Send small writes at once."""
        self.transport.setTcpNoDelay(True)

    def lineReceived(self, line: bytes) -> None:
        """Take the opening of the flow, or a line to echo."""
        if self.established:
            self.sendLine(line)
            return
        setup_ms = self.factory.sample_setup()
        if setup_ms > 0:
            self.timer = reactor.callLater(setup_ms / 1000, self._establish)
        else:
            self._establish()

    def _establish(self) -> None:
        self.established = True
        self.timer = None
        self.sendLine(b"UP 1")

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Cancel a receipt that is not sent yet."""
        if self.timer is not None:
            self.timer.cancel()


class Server(protocol.ServerFactory):
    """One server, whose set-ups take SLOW_FACTOR times as long during a slow period."""

    noisy = False
    protocol = ServerConnection

    def __init__(self, setup_ms: float, setup_times: SetupTimes, slow: SlowPeriod | None = None) -> None:
        self.setup_ms = setup_ms
        self.setup_times = setup_times
        self.slow = slow
        self.started_at = time.monotonic()

    def sample_setup(self) -> float:
        """Sample the ms that the next receipt takes."""
        setup_ms = self.setup_times.sample(self.setup_ms) if self.setup_ms else 0.0
        age = time.monotonic() - self.started_at
        if self.slow and self.slow.start_s <= age < self.slow.end_s:
            setup_ms = max(setup_ms, 1.0) * SLOW_FACTOR
        return setup_ms


class EndpointListConnection(LineReceiver):
    """The endpoint list over HTTP, as far as the benchmark needs it: one full list, then empty updates."""

    delimiter = b"\r\n"
    factory: "EndpointList"

    def lineReceived(self, line: bytes) -> None:
        """Answer a request by its first line; headers are ignored."""
        if not line.startswith(b"GET "):
            return
        path = line.split(b" ")[1].decode()
        query = path.partition("?")[2]
        parameters = dict(pair.split("=") for pair in query.split("&") if pair)
        if "from" in parameters:
            poll_s = max(MIN_POLL_S, float(parameters.get("hold_ms", 0)) / 1000)
            reactor.callLater(poll_s, self._respond, False)
        else:
            self._respond(True)

    def _respond(self, complete: bool) -> None:
        hosts = self.factory.hosts if complete else []
        body = json.dumps({"seq": 1, "whole": complete, "hosts": hosts}).encode()
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class EndpointList(protocol.ServerFactory):
    """Serves one endpoint list."""

    noisy = False
    protocol = EndpointListConnection

    def __init__(self, hosts: list[dict]) -> None:
        self.hosts = hosts


def start_servers(settings: ServersSettings) -> ServersStarted:
    """Start all servers; returns their entries of the endpoint list."""
    rng = random.Random(settings.seed)
    hosts = []
    for index, setup_ms in enumerate(settings.setups_ms):
        setup_times = SetupTimes(settings.spread, random.Random(rng.getrandbits(64)))
        is_slow = settings.slow is not None and settings.slow.server == index
        server = Server(setup_ms, setup_times, settings.slow if is_slow else None)
        port = reactor.listenTCP(0, server, backlog=BACKLOG, interface="127.0.0.1")
        hosts.append(
            {
                "host": f"{settings.name}-{index}",
                "dial": f"127.0.0.1:{port.getHost().port}",
                "health": "SERVING",
                "share": 1.0,
                "born_ms": 0,
            }
        )
    return ServersStarted(hosts=hosts)


def start_endpoint_list(settings: EndpointListSettings) -> EndpointListStarted:
    """Start to serve the endpoint list."""
    port = reactor.listenTCP(0, EndpointList(settings.hosts), interface="127.0.0.1")
    return EndpointListStarted(port=port.getHost().port)
