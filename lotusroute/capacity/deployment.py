"""Starts the processes of a capacity run on loopback and writes their configuration files."""

import contextlib
import pathlib
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from lotusroute.address import Address, parse_address
from lotusroute.capacity.errors import NoLeaseHolderError
from lotusroute.capacity.processes import MeasuredProcess
from lotusroute.capacity.stubs import DISCARD_PORT, EndpointDocument
from lotusroute.process_control.config_files import BalancerConfig, FleetConfig, JsonObject, RelaysConfig
from lotusroute.process_control.free_ports import LOOPBACK, PortAllocator
from lotusroute.process_control.logged_process import TIMEOUT_S
from lotusroute.process_control.readiness import wait_until_ready

FLEET_NAME = "scale"
LEASE_CHECK_INTERVAL_S = 0.05
# Command-line arguments of `discovery_stub`.
UNLIMITED_ANSWERS_PER_S = "1e6"  # a limit on the rate of answers that no run reaches
NO_CHANGES = "0"  # an interval of 0, which turns periodic changes off
BALANCER_SETTINGS: JsonObject = {
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800, "effect": "read_like"}],
    "limits": {"max_connects": 4, "connect_timeout": 250},
    "siblings": 1,
    "me": 0,
}
BALANCER_LIMITS = {"sockets": 16_384, "memory_mb": 4_096}


class RunningDiscovery(NamedTuple):
    """The process of a discovery stub and its port."""

    process: MeasuredProcess
    port: int


_ports = PortAllocator()


def allocate_port() -> int:
    """Return a free port for a process that has not started yet."""
    return _ports.allocate()


def loopback_address(port: int) -> str:
    """Return a loopback port as HOST:PORT, the form that configuration files use."""
    return f"{LOOPBACK}:{port}"


@contextlib.contextmanager
def temporary_folder() -> Iterator[pathlib.Path]:
    """Provide a temporary folder for the files of a run; it is removed at the end."""
    with tempfile.TemporaryDirectory(prefix="lotusroute-scale-") as name:
        yield pathlib.Path(name)


@contextlib.contextmanager
def run_discovery(hosts: int, server_port: int = DISCARD_PORT) -> Iterator[RunningDiscovery]:
    """Run a discovery stub whose list has `hosts` servers, all on `server_port`."""
    port = allocate_port()
    arguments = [str(port), str(hosts), UNLIMITED_ANSWERS_PER_S, NO_CHANGES, str(server_port)]
    with MeasuredProcess("lotusroute.capacity.discovery_stub", arguments) as process:
        process.wait_for_line("event=ready")
        yield RunningDiscovery(process, port)


def start_balancer(
    folder: pathlib.Path,
    name: str,
    listen_port: int,
    discovery_port: int,
    environment: Mapping[str, str],
    hosts: Sequence[EndpointDocument] = (),
) -> MeasuredProcess:
    """Start the real balancer program with `hosts` as its cached endpoint list."""
    config = BalancerConfig(
        name=name,
        listen=Address(LOOPBACK, listen_port),
        discovery=Address(LOOPBACK, discovery_port),
        settings=BALANCER_SETTINGS,
        seed=name,
        limits=BALANCER_LIMITS,
        cached_list={"seq": 0, "hosts": hosts},
    )
    file = config.write(folder / f"{name}.json")
    return MeasuredProcess("lotusroute", environment={"LB_CONFIG": file, "LB_LOG": "INFO", **environment})


def wait_until_listening(port: int) -> None:
    """Wait until a balancer answers health checks; raises `NotReadyError`."""
    wait_until_ready(port, TIMEOUT_S)


def fleet_config(peer_ports: Mapping[str, int], acceptors: Sequence[str], lease: str) -> FleetConfig:
    """Return the configuration of a fleet whose members compete for one lease."""
    peers = {name: Address(LOOPBACK, port) for name, port in peer_ports.items()}
    return FleetConfig(name=FLEET_NAME, acceptors=acceptors, tasks=[lease], peers=peers)


def wait_for_lease_holder(members: Mapping[str, MeasuredProcess], lease: str, timeout_s: float) -> str:
    """Wait until a member logs that it acquired the lease, and return its name.

    `lease` appears in the error only: the members compete for one lease, so any acquisition counts.
    Raises `NoLeaseHolderError` after `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() <= deadline:
        for name, member in members.items():
            if any("lease acquired" in line for line in member.lines):
                return name
        time.sleep(LEASE_CHECK_INTERVAL_S)
    raise NoLeaseHolderError(lease, timeout_s)


def write_relays_file(file: pathlib.Path, zone: str, relays: Mapping[str, Mapping[str, str]]) -> str:
    """Write the configuration file that lists the relays for a balancer in `zone`; return its path.

    `relays` maps a zone and a relay's name to the relay's address.
    """
    addresses = {
        relay_zone: {name: parse_address(relay) for name, relay in zone_relays.items()}
        for relay_zone, zone_relays in relays.items()
    }
    return RelaysConfig(name=FLEET_NAME, zone=zone, relays=addresses).write(file)
