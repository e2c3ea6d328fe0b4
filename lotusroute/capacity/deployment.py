"""Processes and operators' files that several measured roles set up, all on loopback."""

import contextlib
import pathlib
import tempfile
from collections.abc import Iterator, Mapping, Sequence

from lotusroute.address import Address, parse_address
from lotusroute.capacity.processes import MeasuredProcess
from lotusroute.process_control.config_files import BalancerConfig, FleetConfig, JsonObject, RelaysConfig
from lotusroute.process_control.free_ports import LOOPBACK, PortAllocator
from lotusroute.process_control.logged_process import TIMEOUT_S
from lotusroute.process_control.readiness import wait_until_ready

FLEET_NAME = "scale"
UNLIMITED_ANSWERS = "1e6"  # a second, of a discovery stub
NO_CHANGES = "0"  # s between changes that a discovery stub makes by itself
DISCARD_PORT = 9  # of servers to which nothing connects
BALANCER_SETTINGS: JsonObject = {
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800, "effect": "read_like"}],
    "limits": {"max_connects": 4, "connect_timeout": 250},
    "siblings": 1,
    "me": 0,
}
BALANCER_LIMITS = {"sockets": 16_384, "memory_mb": 4_096}

_ports = PortAllocator()


def allocate_port() -> int:
    """Return a free port for a process that is still to start, which was not returned lately."""
    return _ports.allocate()


def address(port: int) -> str:
    """Return the address of a port on loopback, as operators' files hold it."""
    return f"{LOOPBACK}:{port}"


@contextlib.contextmanager
def run_folder() -> Iterator[pathlib.Path]:
    """Yield a folder for the files of a run, which is removed at the end."""
    with tempfile.TemporaryDirectory(prefix="lotusroute-scale-") as name:
        yield pathlib.Path(name)


@contextlib.contextmanager
def run_discovery(hosts: int, server_port: int = DISCARD_PORT) -> Iterator[tuple[MeasuredProcess, int]]:
    """Run a discovery stub that lists `hosts` servers, all on one port; yields the process and its port."""
    port = allocate_port()
    arguments = [str(port), str(hosts), UNLIMITED_ANSWERS, NO_CHANGES, str(server_port)]
    with MeasuredProcess("lotusroute.capacity.discovery_stub", arguments) as process:
        process.wait_for_line("event=ready")
        yield process, port


def start_balancer(
    folder: pathlib.Path,
    name: str,
    listen_port: int,
    discovery_port: int,
    environment: Mapping[str, str],
    hosts: Sequence[JsonObject] = (),
) -> MeasuredProcess:
    """Start a balancer, the program itself, that knows `hosts` before it has polled discovery."""
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
    """Wait until a balancer answers a health check; raises NotReadyError."""
    wait_until_ready(port, TIMEOUT_S)


def fleet_config(peer_ports: Mapping[str, int], acceptors: Sequence[str], lease: str) -> FleetConfig:
    """Return the configuration of a fleet whose members compete for one lease."""
    peers = {name: Address(LOOPBACK, port) for name, port in peer_ports.items()}
    return FleetConfig(name=FLEET_NAME, acceptors=acceptors, tasks=[lease], peers=peers)


def write_relays_file(file: pathlib.Path, zone: str, relays: Mapping[str, Mapping[str, str]]) -> str:
    """Write an operator's file that names the relays, by zone, to a balancer of a zone; returns its path."""
    addresses = {
        relay_zone: {name: parse_address(relay) for name, relay in zone_relays.items()}
        for relay_zone, zone_relays in relays.items()
    }
    return RelaysConfig(name=FLEET_NAME, zone=zone, relays=addresses).write(file)
