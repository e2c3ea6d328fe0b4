"""Starts the processes of measured roles and writes their operators' files, all on loopback."""

import contextlib
import json
import pathlib
import random
import socket
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from lotusroute.capacity.errors import NotListeningError
from lotusroute.capacity.processes import LOG_TIMEOUT, MeasuredProcess, write_json
from lotusroute.capacity.stubs import DISCARD_PORT, EndpointEntry

LOOPBACK = "127.0.0.1"
FLEET_NAME = "scale"
# Below the range of ephemeral ports: another process's connection could use one of those before the process
# that it is allocated for has started.
PORT_RANGE = range(10_000, 32_000)
UNLIMITED_ANSWERS_PER_S = "1e6"  # argument of a discovery stub
NO_CHANGES = "0"  # argument of a discovery stub: it makes no changes by itself
READY_CHECK_INTERVAL_S = 0.05
READY_CHECK_TIMEOUT_S = 1.0
BALANCER_SETTINGS = {
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800, "effect": "read_like"}],
    "limits": {"max_connects": 4, "connect_timeout": 250},
    "siblings": 1,
    "me": 0,
}
BALANCER_LIMITS = {"sockets": 16_384, "memory_mb": 4_096}


class RunningDiscovery(NamedTuple):
    """A discovery stub."""

    process: MeasuredProcess
    port: int


_rng = random.SystemRandom()
_allocated_ports: set[int] = set()


def allocate_port() -> int:
    """Return a free port for a process that has not started yet; no port is returned twice."""
    while True:
        port = _rng.randrange(PORT_RANGE.start, PORT_RANGE.stop)
        if port in _allocated_ports:
            continue
        _allocated_ports.add(port)
        with contextlib.suppress(OSError), socket.create_server((LOOPBACK, port)):
            return port


def address(port: int) -> str:
    """Return the address of a port on loopback in the form of operators' files."""
    return f"{LOOPBACK}:{port}"


@contextlib.contextmanager
def run_folder() -> Iterator[pathlib.Path]:
    """Provide a folder for the files of a run, and remove it at the end."""
    with tempfile.TemporaryDirectory(prefix="lotusroute-scale-") as name:
        yield pathlib.Path(name)


@contextlib.contextmanager
def run_discovery(hosts: int, server_port: int = DISCARD_PORT) -> Iterator[RunningDiscovery]:
    """Run a discovery stub that lists `hosts` servers, all on one port."""
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
    hosts: Sequence[EndpointEntry] = (),
) -> MeasuredProcess:
    """Start a balancer, the program itself, that has `hosts` as its endpoint list at the start."""
    config = {
        "name": name,
        "listen": address(listen_port),
        "discovery": address(discovery_port),
        "seed": name,
        "settings": BALANCER_SETTINGS,
        "known": {"seq": 0, "hosts": list(hosts)},
        "limits": BALANCER_LIMITS,
    }
    file = write_json(folder / f"{name}.json", config)
    return MeasuredProcess("lotusroute", environment={"LB_CONFIG": file, "LB_LOG": "INFO", **environment})


def wait_until_listening(port: int) -> None:
    """Wait until a balancer answers health checks; raises `NotListeningError`."""
    deadline = time.monotonic() + LOG_TIMEOUT
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError), _connect(port) as connection:
            connection.sendall(b"PING\r\n")
            if connection.recv(64) == b"PONG\r\n":
                return
        time.sleep(READY_CHECK_INTERVAL_S)
    raise NotListeningError(port, LOG_TIMEOUT)


def _connect(port: int) -> socket.socket:
    return socket.create_connection((LOOPBACK, port), READY_CHECK_TIMEOUT_S)


def write_fleet_file(
    file: pathlib.Path,
    peer_ports: Mapping[str, int],
    acceptors: Sequence[str],
    lease: str,
    **settings: str | int,
) -> str:
    """Write an operator's file of a fleet whose members compete for one lease; return its path."""
    document = {"name": FLEET_NAME, "keepers": list(acceptors), "tasks": [lease], **settings}
    # JSON is valid TOML for these values.
    lines = [f"{key} = {json.dumps(value)}" for key, value in document.items()]
    lines.append("[peers]")
    lines += [f"{name} = {json.dumps(address(port))}" for name, port in peer_ports.items()]
    file.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return str(file)


def write_relays_file(file: pathlib.Path, zone: str, relays: Mapping[str, Mapping[str, str]]) -> str:
    """Write an operator's file that names the relays to a balancer of a zone; return its path.

    `relays` are addresses by zone and name.
    """
    lines = [f"name = {json.dumps(FLEET_NAME)}", f"zone = {json.dumps(zone)}"]
    for relay_zone, addresses in relays.items():
        lines.append(f"[relays.{relay_zone}]")
        lines += [f"{name} = {json.dumps(relay)}" for name, relay in addresses.items()]
    file.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return str(file)
