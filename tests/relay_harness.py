"""A cluster of relay processes with discovery and balancers, for the tests of relays."""

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
SHOW_TIMEOUT_S = 30.0  # for the status command
RELAYS = ["r1", "r2", "r3"]  # all of them are acceptors of the lease
ZONES = ["a", "b"]
SERVERS = 4
BALANCERS = 2
DRAIN_CHECK_CLIENTS = 4  # that have a draining server as their default
DRAIN_CHECK_INTERVAL_S = 0.1

# Client keys by their default server: a balancer sends them there until it knows that the server drains.
KEYS_BY_SERVER = {
    f"s{index}": [
        key for key in map(str, range(200)) if FakeHost(servers=SERVERS).default_server(key) == f"s{index}"
    ]
    for index in range(SERVERS)
}


class RelayCluster:
    """Relay processes of the real program, by name, with a log file each."""

    def __init__(self, directory: pathlib.Path, discovery: Address) -> None:
        self.directory = directory
        self.discovery = discovery
        self.addresses = {name: Address(LOOPBACK, free_port()) for name in RELAYS}
        self.processes: dict[str, subprocess.Popen[str]] = {}  # the running ones

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
        """Send a signal to a relay; one that is killed has ended when this returns."""
        self.processes[name].send_signal(number)
        if number == signal.SIGKILL:
            self.processes.pop(name).wait()

    def origin(self) -> str | None:
        """Return the relay that holds the lease, by the logs; None while there is none."""
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

    def balancer_file(self, zone: str) -> str:
        """Write a balancer's file, which assigns the relays to the zones in turn; returns its path."""
        relays = {
            relay_zone: {name: self.addresses[name] for name in RELAYS[offset :: len(ZONES)]}
            for offset, relay_zone in enumerate(ZONES)
        }
        config = RelaysConfig(name=FLEET_NAME, zone=zone, relays=relays)
        return config.write(self.directory / f"balancer-{zone}.toml")

    def status(self) -> dict[str, Any]:
        """Return the status of each relay, as `relay show` prints it."""
        name = next(iter(self.processes))
        command = _relay_command("show", "--fleet", str(self._fleet_file(name)), "--json")
        done = subprocess.run(command, capture_output=True, timeout=SHOW_TIMEOUT_S, check=False)
        return {name: state["updates"] for name, state in json.loads(done.stdout)["balancers"].items()}

    def subscriber_count(self) -> int:
        """Return how many subscribers all relays have; the other relays are subscribers of the origin."""
        return sum(state["subscribers"] for state in self.status().values())

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
        """Make the first servers drain; returns when the change was made."""
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
        """Wait until balancers send nothing to the last of the draining servers.

        Return the s since the change.
        """
        for balancer in self.balancers if balancers is None else balancers:
            while not _avoids(balancer, f"s{count - 1}"):
                assert time.monotonic() < changed_at + TIMEOUT_S, "the change was never in force"
                time.sleep(DRAIN_CHECK_INTERVAL_S)
        return time.monotonic() - changed_at

    def poll_count(self) -> int:
        """Return how often discovery has been polled."""
        return len(self.discovery.polls)

    def wait_until_subscribed(self) -> None:
        """Wait until all balancers are subscribed, and all relays but the origin."""
        wait_until(lambda: self.relays.subscriber_count() >= len(self.balancers) + len(RELAYS) - 1)


def _avoids(balancer: Balancer, server: str) -> bool:
    """Return whether clients whose default server this is are all sent elsewhere.

    Several clients are tried, since a single one may be sent elsewhere by chance.
    """
    replies = [balancer.open_flow(key).readline() for key in KEYS_BY_SERVER[server][:DRAIN_CHECK_CLIENTS]]
    return all(reply.startswith(b"UP ") and reply != f"UP {server}\r\n".encode() for reply in replies)


@contextlib.contextmanager
def running_deployment(directory: pathlib.Path) -> Iterator[Deployment]:
    """Start everything and wait until it is connected."""
    servers = [FakeServer(f"s{index}", f"UP s{index}\r\n".encode()) for index in range(SERVERS)]
    with contextlib.ExitStack() as stack:
        fake_discovery = FakeDiscovery(*servers)
        stack.callback(fake_discovery.shutdown)
        relays = stack.enter_context(RelayCluster(directory, fake_discovery.address))
        wait_until(relays.origin)
        balancers = []
        for index in range(BALANCERS):
            environment = {
                "LB_RELAYS": relays.balancer_file(ZONES[index % len(ZONES)]),
                "LB_DISCOVERY": str(fake_discovery.address),
                "LB_NAME": f"n{index}",
            }
            balancers.append(stack.enter_context(Balancer(*servers, env=environment.items())))
        deployment = Deployment(servers, fake_discovery, relays, balancers)
        deployment.wait_until_subscribed()
        yield deployment
