"""Stand-in peers for the benchmark: servers that give receipts, a server list, clients that open flows.

Owns the far ends of every connection that the benchmark makes, each role in a process of its own, so that
their work is not counted as the balancer's. It must never import the balancer, connect beyond loopback, or
run on without a bound in count and time.

    python benchmarks/peers.py servers '{"setups": [1, 1], "spread": "light", "seed": 1}'
    python benchmarks/peers.py clients '{"port": 9000, "flows": 100, "at_once": 4, "seed": 1}'
"""

import itertools
import json
import os
import random
import sys
import time

from twisted.internet import protocol, reactor, task
from twisted.protocols.basic import LineReceiver

LONGEST = 300.0  # s that any role lives at most, whatever becomes of its parent
HEAVY = 1.0  # sigma of the logarithm of a heavy-tailed set-up: one in 40 takes seven times the median
CAPPED = 5.0  # times the median that a heavy-tailed set-up takes at most, still well
WILD = 20.0  # the same where some take longer than a balancer waits
LIGHT = 0.1  # share by which a light spread varies
WAIT = 3_000  # ms that a client waits for its receipt
KEYS = 1_000  # keys that skewed clients draw from, the n-th in proportion to 1/n
HOLD_LEAST = 0.05  # s that a watch is held at least, so that a hasty balancer costs the stand-in little


class Draw:
    """How long a set-up takes, in ms around a median, from a chance of its own."""

    def __init__(self, spread: str, chance: random.Random) -> None:
        self.spread, self.chance = spread, chance

    def __call__(self, median: float) -> float:
        if self.spread in ("heavy", "wild"):
            cap = WILD if self.spread == "wild" else CAPPED
            return median * min(cap, self.chance.lognormvariate(0.0, HEAVY))
        return median * self.chance.uniform(1 - LIGHT, 1 + LIGHT)


class Server(LineReceiver):
    """Gives a receipt after its set-up time and sends later lines back."""

    delimiter = b"\r\n"
    factory: "Servers"

    def __init__(self) -> None:
        self.up, self.timer = False, None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def lineReceived(self, line: bytes) -> None:
        if self.up:
            self.sendLine(line)
            return
        wait = self.factory.wait()
        if wait > 0:
            self.timer = reactor.callLater(wait / 1000, self._receipt)
        else:
            self._receipt()

    def _receipt(self) -> None:
        self.up, self.timer = True, None
        self.sendLine(b"UP 1")

    def connectionLost(self, reason=None) -> None:
        if self.timer is not None:
            self.timer.cancel()


class Servers(protocol.ServerFactory):
    """One server: `setup` ms to a receipt; ten times as long between the seconds of `slow`."""

    noisy = False
    protocol = Server

    def __init__(self, setup: float, draw: Draw, slow: tuple[float, float] | None = None) -> None:
        self.setup, self.draw, self.slow = setup, draw, slow
        self.began = time.monotonic()

    def wait(self) -> float:
        """Draw the ms that this receipt takes."""
        wait = self.draw(self.setup) if self.setup else 0.0
        if self.slow and self.slow[0] <= time.monotonic() - self.began < self.slow[1]:
            wait = max(wait, 1.0) * 10
        return wait


class List(LineReceiver):
    """The server list over HTTP, as far as the benchmark needs it: all of it, then watches without news."""

    delimiter = b"\r\n"
    factory: "Lists"

    def lineReceived(self, line: bytes) -> None:
        if line.startswith(b"GET "):
            path = line.split(b" ")[1].decode()
            asked = dict(pair.split("=") for pair in path.partition("?")[2].split("&") if pair)
            if "from" in asked:
                hold = max(HOLD_LEAST, float(asked.get("hold_ms", 0)) / 1000)
                reactor.callLater(hold, self._tell, False)
            else:
                self._tell(True)

    def _tell(self, whole: bool) -> None:
        hosts = self.factory.hosts if whole else []
        body = json.dumps({"seq": 1, "whole": whole, "hosts": hosts}).encode()
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)


class Lists(protocol.ServerFactory):
    """Serves one list."""

    noisy = False
    protocol = List

    def __init__(self, hosts: list[dict]) -> None:
        self.hosts = hosts


class Client(LineReceiver):
    """One flow: asks, notes when its receipt comes, then leaves, or stands and counts what moves it."""

    delimiter = b"\r\n"
    factory: "Clients"

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.began, self.answer = time.monotonic(), b""
        self.sendLine(self.factory.crowd.ask())

    def lineReceived(self, line: bytes) -> None:
        crowd = self.factory.crowd
        if self.answer:
            crowd.told(self, line)
            return
        self.answer = line
        crowd.answered(self, line, (time.monotonic() - self.began) * 1000)

    def connectionLost(self, reason=None) -> None:
        self.factory.crowd.lost(self)


class Clients(protocol.ClientFactory):
    """Makes the clients of a crowd."""

    noisy = False
    protocol = Client

    def __init__(self, crowd: "Crowd") -> None:
        self.crowd = crowd

    def clientConnectionFailed(self, connector, reason) -> None:
        self.crowd.lost(None)


class Crowd:
    """Opens so many flows, so many at once; each leaves at its receipt, or stands where `hold` s are told.

    `told` has `port`, `flows`, `at_once`, `seed`, and may have `skewed`, `hold`, `lines`. The result has
    `asked`, `established`, `refused`, `lost`, `moved`, `setups` (ms), `delays` (ms) and `seconds`.
    """

    def __init__(self, told: dict) -> None:
        self.port, self.flows, self.at_once = told["port"], told["flows"], told["at_once"]
        self.hold, self.lines, self.skewed = told.get("hold", 0.0), told.get("lines", 0), told.get("skewed")
        self.chance = random.Random(told["seed"])
        self.ids = itertools.count()
        self.name = f"{told['seed']:x}x"
        self.weights = list(itertools.accumulate(1 / n for n in range(1, KEYS + 1)))
        self.asked = self.open = self.refused = self.failed = self.moved = 0
        self.standing: set[Client] = set()  # leave as they are lost
        self.setups: list[float] = []
        self.delays: list[float] = []
        self.sent = 0.0
        self.factory = Clients(self)
        self.started = self.done = time.monotonic()
        self.stood = self.leaving = False

    def begin(self) -> None:
        for _ in range(min(self.at_once, self.flows)):
            self._next()

    def _next(self) -> None:
        self.asked += 1
        self.open += 1
        reactor.connectTCP("127.0.0.1", self.port, self.factory, timeout=5)

    def ask(self) -> bytes:
        """Write the first line of the next flow."""
        if self.skewed:
            key = f"k{self.chance.choices(range(KEYS), cum_weights=self.weights)[0]}"
        else:
            key = f"{self.chance.getrandbits(64):x}"
        return f"OPEN {self.name}{next(self.ids):x} {key} c=live,d={WAIT}".encode()

    def answered(self, client: Client, line: bytes, took: float) -> None:
        if not line.startswith(b"UP"):
            self.refused += 1
        else:
            self.setups.append(took)
            if self.hold or self.lines:
                self.standing.add(client)
                if self.lines:
                    self._speak(client)
                elif self.asked < self.flows:
                    self._next()
                else:
                    self._stand()
                return
        client.transport.loseConnection()

    def _stand(self) -> None:
        if self.stood or len(self.setups) + self.refused + self.failed < self.flows:
            return
        self.stood, self.done = True, time.monotonic()
        say({"standing": len(self.standing)})
        reactor.callLater(self.hold, self._leave)

    def _leave(self) -> None:
        self.leaving = True
        for client in list(self.standing):
            client.transport.loseConnection()
        if not self.standing:
            self.end()

    def _speak(self, client: Client) -> None:
        self.sent = time.monotonic()
        client.sendLine(b"M %d" % len(self.delays))

    def told(self, client: Client, line: bytes) -> None:
        """Take a line after the receipt."""
        if line.startswith(b"MOVE"):
            self.moved += 1
        elif line.startswith(b"M "):
            self.delays.append((time.monotonic() - self.sent) * 1000)
            if len(self.delays) < self.lines:
                self._speak(client)
            else:
                client.transport.loseConnection()

    def lost(self, client: Client | None) -> None:
        """A connection is over, or never came up."""
        self.open -= 1
        self.failed += client is None or not client.answer
        self.standing.discard(client)
        if self.leaving:
            if not self.standing:
                self.end()
        elif self.asked < self.flows:
            self._next()
        elif self.hold:
            self._stand()
        elif not self.open:
            self.done = time.monotonic()
            self.end()

    def end(self) -> None:
        """Print the result and stop."""
        say(
            {
                "asked": self.asked,
                "established": len(self.setups),
                "refused": self.refused,
                "lost": self.failed,
                "moved": self.moved,
                "setups": self.setups,
                "delays": self.delays,
                "seconds": self.done - self.started,
            }
        )
        reactor.stop()


def orphaned(parent: int) -> None:
    """End this process where its parent has ended without it."""
    if os.getppid() != parent:
        reactor.stop()


def say(result: dict) -> None:
    """Tell the parent one object."""
    print(json.dumps(result), flush=True)


def serve(told: dict) -> None:
    """Start the servers and their list; `setups` has the ms of each, `slow` a server's number and seconds."""
    chance = random.Random(told["seed"])
    hosts, slow = [], told.get("slow")
    for at, setup in enumerate(told["setups"]):
        draw = Draw(told["spread"], random.Random(chance.getrandbits(64)))
        factory = Servers(setup, draw, tuple(slow[1:]) if slow and slow[0] == at else None)
        port = reactor.listenTCP(0, factory, backlog=1024, interface="127.0.0.1")
        hosts.append(
            {
                "host": f"{told.get('name', 's')}-{at}",
                "dial": f"127.0.0.1:{port.getHost().port}",
                "health": "SERVING",
                "share": 1.0,
                "born_ms": 0,
            }
        )
    say({"hosts": hosts})


def serve_list(told: dict) -> None:
    """Start the server list for `hosts`."""
    port = reactor.listenTCP(0, Lists(told["hosts"]), interface="127.0.0.1")
    say({"port": port.getHost().port})


def main() -> int:
    roles = {"servers": serve, "list": serve_list, "clients": lambda told: Crowd(told).begin()}
    if len(sys.argv) != 3 or sys.argv[1] not in roles:
        print(f"peers.py: a role of {', '.join(roles)} and its JSON are wanted", file=sys.stderr)
        return 2
    reactor.callLater(LONGEST, reactor.stop)
    reactor.callWhenRunning(roles[sys.argv[1]], json.loads(sys.argv[2]))
    task.LoopingCall(orphaned, os.getppid()).start(1.0)
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
