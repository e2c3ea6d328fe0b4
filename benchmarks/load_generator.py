"""Clients that open flows and measure set-up times and the round trips of lines.

A client requests a flow with its first line. The first line that comes back is either a receipt (`UP ...`),
by which the server accepts the flow, or a rejection.
"""

import itertools
import random
import time
from collections.abc import Callable

from line_connection import LineConnection
from peer_messages import ClientsResult, ClientsSettings, FlowsEstablished, Message
from twisted.internet import protocol
from twisted.internet.interfaces import IConnector
from twisted.python.failure import Failure

from lotusroute.net.reactor import reactor
from lotusroute.process_control.free_ports import LOOPBACK

FLOW_TIMEOUT_MS = 3_000
KEY_COUNT = 1_000  # distinct keys of skewed clients; the n-th is used in proportion to 1/n
KEY_BITS = 64  # length of the random keys of other clients
CONNECT_TIMEOUT_S = 5.0


class Client(LineConnection):
    """One flow: requested, then established by a receipt; then it ends, or stays open and exchanges lines."""

    factory: "ClientFactory"

    def __init__(self) -> None:
        self.response = b""

    def connectionMade(self) -> None:
        """Request the flow."""
        super().connectionMade()
        self.requested_at = time.monotonic()
        self.sendLine(self.factory.generator.next_request())

    def lineReceived(self, line: bytes) -> None:
        """Handle the response to the request, or a later line."""
        generator = self.factory.generator
        if self.response:
            generator.line_received(self, line)
            return
        self.response = line
        generator.response_received(self, (time.monotonic() - self.requested_at) * 1000)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Tell the load generator that the flow has ended."""
        self.factory.generator.connection_lost(self)

    def close(self) -> None:
        """End the flow."""
        self.connection.loseConnection()


class ClientFactory(protocol.ClientFactory):
    """Creates the clients of a load generator."""

    noisy = False
    protocol = Client

    def __init__(self, generator: "LoadGenerator") -> None:
        self.generator = generator

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Tell the load generator that a connection could not be made."""
        self.generator.connection_lost(None)


class LoadGenerator:
    """Opens `flows` flows, `concurrency` at a time, passes results to `report`, then stops the reactor.

    A flow ends at its receipt. With `hold_s`, it stays open for that many seconds after all flows have been
    answered; with `line_count`, it stays open until that many lines have been echoed.
    """

    def __init__(self, settings: ClientsSettings, report: Callable[[Message], None]) -> None:
        self.settings = settings
        self.report = report
        self.rng = random.Random(settings.seed)
        self.flow_numbers = itertools.count()
        self.flow_id_prefix = f"{settings.seed:x}x"
        self.key_weights = list(itertools.accumulate(1 / rank for rank in range(1, KEY_COUNT + 1)))
        self.factory = ClientFactory(self)
        self.opened = 0
        self.connection_count = 0
        self.rejected = 0
        self.failed = 0
        self.migrated = 0
        self.established: set[Client] = set()  # clients whose established flows stay open
        self.setups_ms: list[float] = []
        self.line_delays_ms: list[float] = []
        self.line_sent_at = 0.0
        self.started_at = time.monotonic()
        self.ended_at = self.started_at
        self.all_established = False
        self.closing = False

    def start(self) -> None:
        """Open the first flows."""
        for _ in range(min(self.settings.concurrency, self.settings.flows)):
            self._open_flow()

    def _open_flow(self) -> None:
        self.opened += 1
        self.connection_count += 1
        reactor.connectTCP(LOOPBACK, self.settings.port, self.factory, timeout=CONNECT_TIMEOUT_S)

    def next_request(self) -> bytes:
        """Return the first line of the next flow."""
        if self.settings.skewed:
            key = f"k{self.rng.choices(range(KEY_COUNT), cum_weights=self.key_weights)[0]}"
        else:
            key = f"{self.rng.getrandbits(KEY_BITS):x}"
        return (
            f"OPEN {self.flow_id_prefix}{next(self.flow_numbers):x} {key} c=live,d={FLOW_TIMEOUT_MS}".encode()
        )

    def response_received(self, client: Client, setup_ms: float) -> None:
        """Handle the response to a request, a receipt or a rejection, which came after `setup_ms`."""
        if not client.response.startswith(b"UP"):
            self.rejected += 1
            client.close()
            return
        self.setups_ms.append(setup_ms)
        if self.settings.line_count:
            self.established.add(client)
            self._send_line(client)
        elif self.settings.hold_s:
            self.established.add(client)
            if self.opened < self.settings.flows:
                self._open_flow()
            else:
                self._check_all_established()
        else:
            client.close()

    def _check_all_established(self) -> None:
        """Once each flow has been answered or has failed, report how many are established."""
        answered = len(self.setups_ms) + self.rejected + self.failed
        if self.all_established or answered < self.settings.flows:
            return
        self.all_established = True
        self.ended_at = time.monotonic()
        self.report(FlowsEstablished(count=len(self.established)))
        reactor.callLater(self.settings.hold_s, self._close_all)

    def _close_all(self) -> None:
        self.closing = True
        for client in list(self.established):
            client.close()
        if not self.established:
            self._finish()

    def _send_line(self, client: Client) -> None:
        self.line_sent_at = time.monotonic()
        client.sendLine(b"M %d" % len(self.line_delays_ms))

    def line_received(self, client: Client, line: bytes) -> None:
        """Handle a line after the receipt: a request to migrate, or the echo of a line."""
        if line.startswith(b"MOVE"):
            self.migrated += 1
        elif line.startswith(b"M "):
            self.line_delays_ms.append((time.monotonic() - self.line_sent_at) * 1000)
            if len(self.line_delays_ms) < self.settings.line_count:
                self._send_line(client)
            else:
                client.close()

    def connection_lost(self, client: Client | None) -> None:
        """Handle the end of a connection; `client` is None for one that could not be made."""
        self.connection_count -= 1
        if client is None or not client.response:
            self.failed += 1
        if client is not None:
            self.established.discard(client)
        if self.closing:
            if not self.established:
                self._finish()
        elif self.opened < self.settings.flows:
            self._open_flow()
        elif self.settings.hold_s:
            self._check_all_established()
        elif not self.connection_count:
            self.ended_at = time.monotonic()
            self._finish()

    def _finish(self) -> None:
        """Report the result and stop the reactor."""
        self.report(
            ClientsResult(
                opened=self.opened,
                rejected=self.rejected,
                lost=self.failed,
                migrated=self.migrated,
                seconds=self.ended_at - self.started_at,
                setups_ms=self.setups_ms,
                line_delays_ms=self.line_delays_ms,
            )
        )
        reactor.stop()
