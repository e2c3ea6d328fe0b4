"""Processes and operators' files that several measured roles set up, all on loopback."""

import contextlib
import json
import pathlib
import random
import socket
import tempfile
import time
from collections.abc import Iterator, Mapping, Sequence

from lotusroute.capacity.processes import LOG_TIMEOUT, MeasuredProcess, write_json

LOOPBACK = "127.0.0.1"
FLEET_NAME = "scale"
# Below the range from which the system takes local ports of connections: a port of that range could be taken
# by another process's connection before the process that it is meant for has started.
PORT_RANGE = range(10_000, 32_000)
UNLIMITED_ANSWERS = "1e6"  # a second, of a discovery stub
NO_CHANGES = "0"  # s between changes that a discovery stub makes by itself
DISCARD_PORT = 9  # of servers to which nothing connects
BALANCER_SETTINGS = {
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800, "effect": "read_like"}],
    "limits": {"max_connects": 4, "connect_timeout": 250},
    "siblings": 1,
    "me": 0,
}
BALANCER_LIMITS = {"sockets": 16_384, "memory_mb": 4_096}

_rng = random.SystemRandom()
_allocated_ports: set[int] = set()  # bounded by the number of processes of a run


def allocate_port() -> int:
    """Return a free port for a process that is still to start; no port is returned twice."""
    while True:
        port = _rng.randrange(PORT_RANGE.start, PORT_RANGE.stop)
        if port in _allocated_ports:
            continue
        _allocated_ports.add(port)
        with contextlib.suppress(OSError), socket.create_server((LOOPBACK, port)):
            return port


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
    hosts: Sequence[dict] = (),
) -> MeasuredProcess:
    """Start a balancer, the program itself, that knows `hosts` before it has polled discovery."""
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
    """Wait until a balancer answers PING with PONG; raises RuntimeError."""
    deadline = time.monotonic() + LOG_TIMEOUT
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError), socket.create_connection((LOOPBACK, port), 1.0) as connection:
            connection.sendall(b"PING\r\n")
            if connection.recv(64) == b"PONG\r\n":
                return
        time.sleep(0.05)
    raise RuntimeError("no PONG")


def write_fleet_file(
    file: pathlib.Path,
    peer_ports: Mapping[str, int],
    acceptors: Sequence[str],
    lease: str,
    **settings: str | int,
) -> str:
    """Write an operator's file for a fleet whose members compete for one lease; returns its path."""
    document = {"name": FLEET_NAME, "keepers": list(acceptors), "tasks": [lease], **settings}
    lines = [f"{key} = {json.dumps(value)}" for key, value in document.items()]  # valid TOML as well
    lines.append("[peers]")
    lines += [f"{name} = {json.dumps(address(port))}" for name, port in peer_ports.items()]
    file.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return str(file)


def write_relays_file(file: pathlib.Path, zone: str, relays: Mapping[str, Mapping[str, str]]) -> str:
    """Write an operator's file that names the relays, by zone, to a balancer of a zone; returns its path."""
    lines = [f"name = {json.dumps(FLEET_NAME)}", f"zone = {json.dumps(zone)}"]
    for relay_zone, addresses in relays.items():
        lines.append(f"[relays.{relay_zone}]")
        lines += [f"{name} = {json.dumps(relay)}" for name, relay in addresses.items()]
    file.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return str(file)
