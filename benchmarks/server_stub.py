"""Stubs of servers: each accepts a flow with a receipt after a random set-up time and echoes later lines."""

import random
import time

from line_connection import LineConnection
from peer_messages import ServersSettings, ServersStarted, SlowPeriod
from twisted.internet import protocol
from twisted.internet.base import DelayedCall
from twisted.python.failure import Failure

from lotusroute.net.reactor import reactor
from lotusroute.process_control.config_files import endpoint_entry
from lotusroute.process_control.free_ports import LOOPBACK

# Standard deviation of the logarithm of a heavy-tailed set-up time. One in 40 is at least seven times
# the median before MAX_FACTORS limits it.
HEAVY_SIGMA = 1.0
# The longest heavy-tailed set-up time, as a multiple of the median. A "heavy" spread is still that of a
# healthy server. With a "wild" spread and a median of 100 ms, a set-up may take 2 s, nearly the 2.4 s (80 %
# of a flow's 3 s) that the balancer waits in a first attempt.
MAX_FACTORS = {"heavy": 5.0, "wild": 20.0}
# Largest difference of a light set-up time from the median in either direction, as a fraction of the median.
LIGHT_VARIATION_FRACTION = 0.1
SLOW_FACTOR = 10.0  # factor by which a slow period lengthens set-up times
# Shortest set-up time in a slow period before it is multiplied by SLOW_FACTOR, so that a server whose set-ups
# take no time also becomes slow.
MIN_SLOW_SETUP_MS = 1.0
BACKLOG = 1_024  # limit of the connections that wait to be accepted by one server


class SetupTimes:
    """Samples set-up times, with a light, heavy or wild spread around a median."""

    def __init__(self, spread: str, rng: random.Random) -> None:
        self.spread = spread
        self.rng = rng

    def sample(self, median_ms: float) -> float:
        """Sample one set-up time in ms."""
        if self.spread in MAX_FACTORS:
            return median_ms * min(MAX_FACTORS[self.spread], self.rng.lognormvariate(0.0, HEAVY_SIGMA))
        return median_ms * self.rng.uniform(1 - LIGHT_VARIATION_FRACTION, 1 + LIGHT_VARIATION_FRACTION)


class ServerConnection(LineConnection):
    """Sends a receipt after the set-up time, and echoes later lines."""

    factory: "Server"

    def __init__(self) -> None:
        self.established = False
        self.timer: DelayedCall | None = None  # timer that sends the receipt, while it is pending

    def lineReceived(self, line: bytes) -> None:
        """Handle the request of the flow, or echo a line."""
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
        """Cancel the receipt if it has not been sent yet."""
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
        """Sample the time in ms until the receipt of the next flow."""
        setup_ms = self.setup_times.sample(self.setup_ms) if self.setup_ms else 0.0
        age = time.monotonic() - self.started_at
        if self.slow and self.slow.start_s <= age < self.slow.end_s:
            setup_ms = max(setup_ms, MIN_SLOW_SETUP_MS) * SLOW_FACTOR
        return setup_ms


def start_servers(settings: ServersSettings) -> ServersStarted:
    """Start all servers and return their entries of the endpoint list."""
    rng = random.Random(settings.seed)
    hosts = []
    for index, setup_ms in enumerate(settings.setups_ms):
        setup_times = SetupTimes(settings.spread, random.Random(rng.getrandbits(64)))
        is_slow = settings.slow is not None and settings.slow.server == index
        server = Server(setup_ms, setup_times, settings.slow if is_slow else None)
        port = reactor.listenTCP(0, server, backlog=BACKLOG, interface=LOOPBACK)
        hosts.append(endpoint_entry(f"{settings.name}-{index}", port.getHost().port))
    return ServersStarted(hosts=hosts)
