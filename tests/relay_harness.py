"""A cluster of relay processes with discovery and balancers, for the tests of relays."""

import contextlib
import json
import signal
import subprocess
import sys
import time
from dataclasses import dataclass
from http.server import ThreadingHTTPServer

from harness import DEADLINE, Balancer, FakeDiscovery, FakeHost, FakeServer, free_port, wait_until

from lotusroute.capacity.processes import log_field

RELAYS = ["r1", "r2", "r3"]  # all of them are acceptors of the lease
ZONES = ["a", "b"]
SERVERS = 4
BALANCERS = 2

# Client keys by their default server: a balancer that does not know that it is draining sends them there.
KEYS_BY_SERVER = {
    f"s{index}": [
        key for key in map(str, range(200)) if FakeHost(servers=SERVERS).default_server(key) == f"s{index}"
    ]
    for index in range(SERVERS)
}


class RelayCluster:
    """Relay processes of the real program."""

    def __init__(self, directory, discovery_address):
        self.directory = directory
        self.discovery_address = discovery_address
        self.ports = {name: free_port() for name in RELAYS}
        self.processes = {}

    def __enter__(self):
        for name in RELAYS:
            self.start(name)
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            process.kill()
            process.wait()

    def start(self, name):
        """Start one relay."""
        peers = "".join(f'{peer} = "127.0.0.1:{port}"\n' for peer, port in self.ports.items())
        state = self.directory / name
        state.mkdir(exist_ok=True)
        self._fleet_file(name).write_text(
            f'name = "f"\nstate = "{state}"\nkeepers = {json.dumps(RELAYS)}\n'
            f'lease_ms = 1500\ntasks = ["origin"]\nguests = 50\n[peers]\n{peers}'
        )
        arguments = ["run", "--fleet", self._fleet_file(name), "--name", name]
        arguments += ["--discovery", self.discovery_address]
        with self._log_file(name).open("ab") as log:
            self.processes[name] = subprocess.Popen(_relay_command(*arguments), stderr=log)

    def send_signal(self, name, number):
        """Send a signal to a relay; one that is killed is gone when this returns."""
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes.pop(name).wait()

    def origin(self):
        """The relay that holds the lease, by the logs; None while there is none."""
        acquired = []
        for name in self.processes:
            events = [
                line
                for line in self._log_file(name).read_text().splitlines()
                if "lease acquired" in line or "lease lost" in line
            ]
            if events and "lease acquired" in events[-1]:
                acquired.append((float(log_field(events[-1], "mono")), name))
        return max(acquired)[1] if acquired else None

    def balancer_file(self, zone):
        """A balancer's file: relays are assigned to the zones in turn."""
        lines = ['name = "f"', f'zone = "{zone}"']
        for offset, relay_zone in enumerate(ZONES):
            lines.append(f"[relays.{relay_zone}]")
            lines += [f'{name} = "127.0.0.1:{self.ports[name]}"' for name in RELAYS[offset :: len(ZONES)]]
        file = self.directory / f"balancer-{zone}.toml"
        file.write_text("\n".join(lines) + "\n")
        return str(file)

    def status(self):
        """The status of all relays, by `relay show`."""
        name = next(iter(self.processes))
        command = _relay_command("show", "--fleet", self._fleet_file(name), "--json")
        done = subprocess.run(command, capture_output=True, timeout=30, check=False)
        return {name: state["updates"] for name, state in json.loads(done.stdout)["balancers"].items()}

    def subscriber_count(self):
        """How many subscribers all relays have together; the other relays are subscribers of the origin."""
        return sum(state["subscribers"] for state in self.status().values())

    def _fleet_file(self, name):
        return self.directory / f"{name}.toml"

    def _log_file(self, name):
        return self.directory / f"{name}.log"


def _relay_command(*arguments):
    return [sys.executable, "-m", "lotusroute", "relay", *map(str, arguments)]


@dataclass
class Deployment:
    """Servers, their discovery, relays, and balancers that are subscribed to the relays."""

    servers: list[FakeServer]
    discovery: ThreadingHTTPServer
    relays: RelayCluster
    balancers: list[Balancer]

    def drain(self, count):
        """Make the first servers drain; returns when the change was made."""
        self.discovery.entries = [
            server.entry("DRAINING" if index < count else "SERVING")
            for index, server in enumerate(self.servers)
        ]
        self.discovery.seq += 1
        return time.monotonic()

    def wait_until_drained(self, count, changed_at, balancers=None):
        """Wait until balancers send nothing to the last of the draining servers; returns for how long."""
        for balancer in self.balancers if balancers is None else balancers:
            while not _avoids(balancer, f"s{count - 1}"):
                assert time.monotonic() < changed_at + DEADLINE, "the change was never in force"
                time.sleep(0.1)
        return time.monotonic() - changed_at

    def poll_count(self):
        """How often discovery has been polled."""
        return len(self.discovery.polls)

    def wait_until_subscribed(self):
        """Wait until all balancers are subscribed, and all relays but the origin."""
        wait_until(lambda: self.relays.subscriber_count() >= len(self.balancers) + len(RELAYS) - 1)


def _avoids(balancer, server):
    """Whether clients whose default is this server are all sent elsewhere; a single one may be by chance."""
    replies = [balancer.open_flow(key).readline() for key in KEYS_BY_SERVER[server][:4]]
    return all(reply.startswith(b"UP ") and reply != f"UP {server}\r\n".encode() for reply in replies)


@contextlib.contextmanager
def running_deployment(directory):
    """Start everything and wait until it is connected."""
    servers = [FakeServer(f"s{index}", f"UP s{index}\r\n".encode()) for index in range(SERVERS)]
    with contextlib.ExitStack() as stack:
        fake_discovery = FakeDiscovery(*servers)
        stack.callback(fake_discovery.shutdown)
        address = f"127.0.0.1:{fake_discovery.server_port}"
        relays = stack.enter_context(RelayCluster(directory, address))
        wait_until(relays.origin)
        balancers = []
        for index in range(BALANCERS):
            environment = {
                "LB_RELAYS": relays.balancer_file(ZONES[index % len(ZONES)]),
                "LB_DISCOVERY": address,
                "LB_NAME": f"n{index}",
            }
            balancers.append(stack.enter_context(Balancer(*servers, env=environment.items())))
        deployment = Deployment(servers, fake_discovery, relays, balancers)
        deployment.wait_until_subscribed()
        yield deployment
