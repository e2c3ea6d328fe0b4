"""The processes of the loopback benchmark: the balancer, pinned to one core, and its peers on the others."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

import checkout_path  # noqa: F401  lotusroute is imported from this checkout
import click
from peer_messages import (
    ClientsResult,
    EndpointListStarted,
    FlowsEstablished,
    ServersStarted,
    Settings,
    to_json,
)

from lotusroute.address import Address
from lotusroute.process_control.config_files import BalancerConfig, JsonObject, JsonValue
from lotusroute.process_control.errors import NotReadyError
from lotusroute.process_control.free_ports import LOOPBACK, system_assigned_port
from lotusroute.process_control.log_fields import COUNTERS_EVENT, parse_counters
from lotusroute.process_control.process_start import PROGRAM, ProcessOptions, module_command, start_process
from lotusroute.process_control.readiness import wait_until_ready

PEERS_SCRIPT = pathlib.Path(__file__).resolve().with_name("peers.py")
# Longest time until the balancer must answer its first health check after its start, and until it must log
# its counters after the signal for them.
READY_TIMEOUT_S = 10.0
COUNTERS_CHECK_INTERVAL_S = 0.01
MAX_SOCKETS = 16_384  # limit of the balancer's open sockets
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_SIZE_BYTES = os.sysconf("SC_PAGE_SIZE")
LOG_TAIL_LENGTH = 300  # number of characters at the end of the log that an error message shows
SETTINGS: JsonObject = {
    "limits": {"max_connects": 4, "connect_timeout": 250},
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 3000}],
}

MessageType = TypeVar("MessageType", ServersStarted, EndpointListStarted, FlowsEstablished, ClientsResult)


def pin_to(cores: set[int]) -> Callable[[], None]:
    """Return a function that pins the process in which it is called to these cores."""
    return lambda: os.sched_setaffinity(0, cores)


class PeerProcess:
    """A process of `peers.py`, which runs peers of one kind: servers, the endpoint list, or clients."""

    def __init__(self, peer_kind: str, settings: Settings, cores: set[int]) -> None:
        command = [sys.executable, str(PEERS_SCRIPT), peer_kind, to_json(settings)]
        options = ProcessOptions(initialize=pin_to(cores), stdin=subprocess.DEVNULL, stdout=subprocess.PIPE)
        self.process = start_process(command, options)
        assert self.process.stdout is not None
        self._messages = self.process.stdout

    def read_message(self, message_type: type[MessageType]) -> MessageType:
        """Wait for the next message and return it; raises ClickException if the process ends first."""
        line = self._messages.readline()
        if not line:
            raise click.ClickException(
                f"a peer process ended with exit code {self.process.wait()} before it sent "
                f"{message_type.__name__}; its error output is above"
            )
        return message_type(**json.loads(line))

    def close(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()
        self._messages.close()


class BalancerProcess:
    """The balancer of the checkout at `root`, pinned to one core, with its log file in `folder`."""

    def __init__(
        self,
        root: pathlib.Path,
        hosts: Sequence[Mapping[str, JsonValue]],
        discovery_port: int,
        core: int,
        folder: pathlib.Path,
    ) -> None:
        self.root = root
        self.port = system_assigned_port()
        config = BalancerConfig(
            name="n1",
            listen=Address(LOOPBACK, self.port),
            discovery=Address(LOOPBACK, discovery_port),
            settings=SETTINGS,
            seed="5eed",
            limits={"sockets": MAX_SOCKETS},
            cached_list={"seq": 0, "whole": True, "hosts": hosts},
        )
        environment = {"LB_CONFIG": config.write(folder / "config.json"), "PYTHONPATH": str(root)}
        self.log_file = folder / "log"
        with self.log_file.open("w") as log:
            options = ProcessOptions(
                environment=environment, working_directory=root, initialize=pin_to({core}), stderr=log
            )
            self.process = start_process(module_command(PROGRAM), options)

    def wait_ready(self) -> None:
        """Wait until the balancer answers a health check; raises ClickException at the timeout."""
        try:
            wait_until_ready(self.port, READY_TIMEOUT_S)
        except NotReadyError as error:
            log_tail = self.log_file.read_text()[-LOG_TAIL_LENGTH:]
            raise click.ClickException(f"{self.root}: {error}: {log_tail}") from error

    def cpu_ms(self) -> float:
        """Return the CPU time that the process has used, of user and system together."""
        stat = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        user_ticks = int(fields[11])
        system_ticks = int(fields[12])
        return (user_ticks + system_ticks) * 1000 / CLOCK_TICKS_PER_S

    def memory_kb(self) -> float:
        """Return the resident memory of the process."""
        resident_pages = int(pathlib.Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return resident_pages * PAGE_SIZE_BYTES / 1024

    def counters(self) -> dict[str, int]:
        """Have the balancer log its counters and return them; raises ClickException at the timeout."""
        printed_before = len(self._counter_lines())
        self.process.send_signal(signal.SIGUSR1)
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            lines = self._counter_lines()
            if len(lines) > printed_before:
                return parse_counters(lines[-1])
            time.sleep(COUNTERS_CHECK_INTERVAL_S)
        raise click.ClickException(
            f"{self.root}: the balancer logged no counters within {READY_TIMEOUT_S:g} s"
        )

    def _counter_lines(self) -> list[str]:
        """Return the complete lines with counters in the log."""
        lines = self.log_file.read_text().splitlines(keepends=True)
        return [line for line in lines if COUNTERS_EVENT in line and line.endswith("\n")]

    def close(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()
