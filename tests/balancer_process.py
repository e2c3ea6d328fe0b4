"""Runs a balancer as a separate process for tests, with a fake discovery service and client connections."""

import json
import pathlib
import resource
import signal
import socket
import subprocess
import tempfile
from collections.abc import Iterable
from typing import Any, Self, cast

from fake_discovery import FakeDiscovery
from fake_servers import FakeServer
from waiting import TIMEOUT_S, wait_until

from lotusroute.address import Address
from lotusroute.process_control.config_files import BalancerConfig, JsonObject, JsonValue
from lotusroute.process_control.errors import NotReadyError
from lotusroute.process_control.free_ports import LOOPBACK, PortAllocator
from lotusroute.process_control.process_start import PROGRAM, ProcessOptions, module_command, start_process
from lotusroute.process_control.readiness import wait_until_ready

SETTINGS: dict[str, Any] = {
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800, "effect": "read_like"}],
    "limits": {"max_connects": 4, "connect_timeout": 250, "retry_after": True, "max_retry_after": 1000},
    "siblings": 1,
    "me": 0,
}
PORTS = PortAllocator()


def free_port() -> int:
    """Return a free port for a process that has not started yet."""
    return PORTS.allocate()


class ClientConnection(socket.SocketIO):
    """A client's connection as an unbuffered file; `conn` is its socket."""

    conn: socket.socket


class Balancer:
    """A balancer process and its fake discovery; opens clients' connections to it.

    The process starts at once; the context manager waits until the balancer is ready and kills it at the end.
    """

    def __init__(
        self,
        *servers: FakeServer,
        settings: JsonObject = SETTINGS,
        sockets: int = 1024,
        memory_mb: int = 1024,
        available: bool = True,
        env: Iterable[tuple[str, str]] = (),
        cached_version: int = 0,
        **discovery_state: object,
    ) -> None:
        """Start the processes.

        `cached_version` is the version of the cached list; `discovery_state` sets attributes of `discovery`.
        """
        self.discovery = FakeDiscovery(*servers, available=available)
        vars(self.discovery).update(discovery_state)
        self.flow_count = 0
        self.port = free_port()
        self.config = BalancerConfig(
            name="n1",
            listen=Address(LOOPBACK, self.port),
            discovery=Address(LOOPBACK, self.discovery.server_port),
            settings=settings,
            seed="5eed",
            limits={"sockets": sockets, "memory_mb": memory_mb},
            cached_list={"seq": cached_version, "hosts": [server.entry() for server in servers]},
        ).document()
        self.folder = tempfile.TemporaryDirectory()
        self.config_file = pathlib.Path(self.folder.name, "config.json")
        self.config_file.write_text(json.dumps(self.config))
        options = ProcessOptions(
            environment={"LB_CONFIG": str(self.config_file), **dict(env)},
            initialize=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            stderr=subprocess.PIPE,
        )
        self.process = start_process(module_command(PROGRAM), options)

    def __enter__(self) -> Self:
        try:
            wait_until_ready(self.port, TIMEOUT_S, check_timeout=TIMEOUT_S)
        except NotReadyError as error:
            raise AssertionError(f"{error}: {self.terminate()}") from error
        return self

    def __exit__(self, *_: object) -> None:
        self.terminate()
        self.discovery.shutdown()

    def connect_and_send(self, line: bytes) -> ClientConnection:
        """Open a connection and send its first line."""
        file = self.connect()
        file.conn.sendall(line + b"\r\n")
        return file

    def connect(self) -> ClientConnection:
        """Open a connection without sending anything."""
        conn = socket.create_connection((LOOPBACK, self.port), timeout=TIMEOUT_S)
        file = cast(ClientConnection, conn.makefile("rwb", buffering=0))
        file.conn = conn
        return file

    def open_flow(
        self, key: str = "k", timeout_ms: int = 1800, id: str | None = None, **parameters: object
    ) -> ClientConnection:
        """Request a flow that is to be answered within `timeout_ms`."""
        self.flow_count += 1
        flow_id = id or f"id{self.flow_count}"
        pairs = {"c": "live", "d": timeout_ms, **parameters}
        text = ",".join(f"{name}={value}" for name, value in pairs.items())
        return self.connect_and_send(f"OPEN {flow_id} {key} {text}".encode())

    def reload(self, text: str | None = None, **changes: JsonValue) -> None:
        """Apply `changes` to the configuration file, or write `text` instead, and send SIGHUP."""
        self.config.update(changes)
        self.config_file.write_text(json.dumps(self.config) if text is None else text)
        self.process.send_signal(signal.SIGHUP)

    def suspend(self) -> None:
        """Suspend the process (SIGSTOP) and return once it has stopped."""
        self.process.send_signal(signal.SIGSTOP)
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat")
        wait_until(lambda: stat.read_text().rsplit(")", 1)[1].split()[0] == "T")

    def resume(self) -> None:
        """Let the suspended process continue."""
        self.process.send_signal(signal.SIGCONT)

    def terminate(self, signal_number: int = signal.SIGKILL) -> str:
        """Send the signal if the process still runs, wait for its exit and return its log."""
        if self.process.poll() is None:
            self.process.send_signal(signal_number)
        return self.process.communicate(timeout=TIMEOUT_S)[1]
