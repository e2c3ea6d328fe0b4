"""Relay processes with a fake discovery service, fake servers and balancers, for tests of relays."""

import contextlib
import json
import pathlib
import signal
import subprocess
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Self

from balancer_process import Balancer, free_port
from director_host import FakeHost
from fake_discovery import FakeDiscovery
from fake_servers import FakeServer
from waiting import TIMEOUT_S, wait_until

from lotusroute.address import Address
from lotusroute.process_control.config_files import FleetConfig, RelaysConfig
from lotusroute.process_control.free_ports import LOOPBACK
from lotusroute.process_control.log_fields import log_field
from lotusroute.process_control.process_start import PROGRAM, ProcessOptions, module_command, start_process

FLEET_NAME = "f"
LEASE_MS = 1_500
MAX_SUBSCRIBERS = 50
SHOW_TIMEOUT_S = 30.0  # longest run time of the status command
RELAYS = ["r1", "r2", "r3"]  # names of the relays, all of which are acceptors of the lease
ZONES = ["a", "b"]
SERVERS = 4
BALANCERS = 2
DRAIN_CHECK_CLIENTS = 4  # clients that test whether a server drains; it is the default server of all
DRAIN_CHECK_INTERVAL_S = 0.1

# Client keys by default server: a balancer sends these clients there until it knows that the server drains.
KEYS_BY_SERVER = {
    f"s{index}": [
        key for key in map(str, range(200)) if FakeHost(servers=SERVERS).default_server(key) == f"s{index}"
    ]
    for index in range(SERVERS)
}


class RelayCluster:
    """Relays that run as processes of the actual program, each with a log file."""

    def __init__(self, directory: pathlib.Path, discovery: Address) -> None:
        self.directory = directory
        self.discovery = discovery
        self.addresses = {name: Address(LOOPBACK, free_port()) for name in RELAYS}
        self.processes: dict[str, subprocess.Popen[str]] = {}  # the running processes by relay name

    def __enter__(self) -> Self:
        for name in RELAYS:
            self.start(name)
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()

    def start(self, name: str) -> None:
        """Start one relay."""
        state_folder = self.directory / name
        state_folder.mkdir(exist_ok=True)
        fleet_file = FleetConfig(
            name=FLEET_NAME,
            acceptors=RELAYS,
            tasks=["origin"],
            peers=self.addresses,
            state_directory=state_folder,
            lease_ms=LEASE_MS,
            max_subscribers=MAX_SUBSCRIBERS,
        ).write(self._fleet_file(name))
        command = _relay_command(
            "run", "--fleet", fleet_file, "--name", name, "--discovery", str(self.discovery)
        )
        with self._log_file(name).open("ab") as log:
            self.processes[name] = start_process(command, ProcessOptions(stderr=log))

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a relay; after SIGKILL, wait until the process has ended."""
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes.pop(name).wait()

    def origin(self) -> str | None:
        """Return the relay that holds the lease according to the logs; None if no relay holds it."""
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

    def write_balancer_config(self, zone: str) -> str:
        """Write the relays' configuration file for balancers in a zone and return its path.

        The relays are assigned to the zones in turn.
        """
        relays = {
            relay_zone: {name: self.addresses[name] for name in RELAYS[offset :: len(ZONES)]}
            for offset, relay_zone in enumerate(ZONES)
        }
        config = RelaysConfig(name=FLEET_NAME, zone=zone, relays=relays)
        return config.write(self.directory / f"balancer-{zone}.toml")

    def status(self) -> dict[str, Any]:
        """Return the status of each relay by name, as `relay show` prints it."""
        name = next(iter(self.processes))
        command = _relay_command("show", "--fleet", str(self._fleet_file(name)), "--json")
        completed = subprocess.run(command, capture_output=True, timeout=SHOW_TIMEOUT_S, check=False)
        processes = json.loads(completed.stdout)["balancers"]
        return {name: process_status["updates"] for name, process_status in processes.items()}

    def subscriber_count(self) -> int:
        """Return the total number of subscribers of all relays; the origin counts the other relays."""
        return sum(status["subscribers"] for status in self.status().values())

    def _fleet_file(self, name: str) -> pathlib.Path:
        return self.directory / f"{name}.toml"

    def _log_file(self, name: str) -> pathlib.Path:
        return self.directory / f"{name}.log"


def _relay_command(*arguments: str) -> list[str]:
    return module_command(PROGRAM, "relay", *arguments)


@dataclass
class Deployment:
    """Servers, their discovery, relays, and balancers that are subscribed to the relays."""

    servers: list[FakeServer]
    discovery: FakeDiscovery
    relays: RelayCluster
    balancers: list[Balancer]

    def drain(self, count: int) -> float:
        """Make the first `count` servers drain and return the time of the change."""
        self.discovery.publish(
            [
                server.entry("DRAINING" if index < count else "SERVING")
                for index, server in enumerate(self.servers)
            ]
        )
        return time.monotonic()

    def wait_until_drained(
        self, count: int, changed_at: float, balancers: Sequence[Balancer] | None = None
    ) -> float:
        """Wait until balancers no longer send flows to the last of the draining servers.

        Returns the seconds since the change. By default, all balancers are checked.
        """
        server = f"s{count - 1}"
        for balancer in self.balancers if balancers is None else balancers:
            while not _avoids(balancer, server):
                assert time.monotonic() < changed_at + TIMEOUT_S, f"a balancer still sends flows to {server}"
                time.sleep(DRAIN_CHECK_INTERVAL_S)
        return time.monotonic() - changed_at

    def poll_count(self) -> int:
        """Return how many polls discovery has received."""
        return len(self.discovery.polls)

    def wait_until_subscribed(self) -> None:
        """Wait until all balancers, and all relays except the origin, are subscribed."""
        wait_until(lambda: self.relays.subscriber_count() >= len(self.balancers) + len(RELAYS) - 1)


def _avoids(balancer: Balancer, server: str) -> bool:
    """Return whether the tested clients with this default server are all sent to other servers.

    Several clients are tested, since a single one may be sent to another server by chance.
    """
    replies = [balancer.open_flow(key).readline() for key in KEYS_BY_SERVER[server][:DRAIN_CHECK_CLIENTS]]
    return all(reply.startswith(b"UP ") and reply != f"UP {server}\r\n".encode() for reply in replies)


@contextlib.contextmanager
def running_deployment(directory: pathlib.Path) -> Iterator[Deployment]:
    """Run a deployment, entered once its balancers and relays are subscribed."""
    servers = [FakeServer(f"s{index}", f"UP s{index}\r\n".encode()) for index in range(SERVERS)]
    with contextlib.ExitStack() as stack:
        fake_discovery = FakeDiscovery(*servers)
        stack.callback(fake_discovery.shutdown)
        relays = stack.enter_context(RelayCluster(directory, fake_discovery.address))
        wait_until(relays.origin)
        balancers = []
        for index in range(BALANCERS):
            environment = {
                "LB_RELAYS": relays.write_balancer_config(ZONES[index % len(ZONES)]),
                "LB_DISCOVERY": str(fake_discovery.address),
                "LB_NAME": f"n{index}",
            }
            balancers.append(stack.enter_context(Balancer(*servers, env=environment.items())))
        deployment = Deployment(servers, fake_discovery, relays, balancers)
        deployment.wait_until_subscribed()
        yield deployment
