"""Starts real balancer processes on the loopback interface, injects faults into them and collects their logs.

The records of all processes and of the injected faults are kept in one list, in the order in which this
process read or injected them. Only processes that were started here are signalled; all are killed at the end.
"""

import contextlib
import pathlib
import signal
import subprocess
import tempfile
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple, Self, TypeVar

from lotusroute.address import Address
from lotusroute.fault_injection.log_records import (
    INJECTOR,
    LEASE_ACQUIRED,
    FaultKind,
    LogRecord,
    parse_log_line,
)
from lotusroute.fault_injection.network_proxy import Link, NetworkProxy
from lotusroute.process_control.config_files import BalancerConfig, FleetConfig, JsonObject
from lotusroute.process_control.errors import LogTimeoutError
from lotusroute.process_control.free_ports import LOOPBACK, PortAllocator
from lotusroute.process_control.log_follower import WaitableList, follow_lines
from lotusroute.process_control.process_start import PROGRAM, ProcessOptions, module_command, start_process

# Longest time for a log record to appear and for a process to exit. A process starts in about half a second
# on an idle core, and takes longer on a busy machine.
TIMEOUT_S = 15.0
TASKS = ("watch",)
SETTINGS: JsonObject = {
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800}],
    "limits": {"max_connects": 4, "connect_timeout": 250},
}

Result = TypeVar("Result")

_port_allocator = PortAllocator()


class RunningProcess(NamedTuple):
    """A running balancer and the thread that reads its log."""

    process: subprocess.Popen[str]
    log_reader: threading.Thread


class ProcessFleet:
    """Context manager of balancers named n1, n2, and so on, the first of which are the lease acceptors.

    They connect to each other only through `proxy`.
    """

    def __init__(
        self,
        count: int,
        acceptor_count: int = 3,
        lease_ms: float = 3_000.0,
        discovery_port: int = 0,
        log_level: str = "INFO",
        environments: Mapping[str, Mapping[str, str]] | None = None,
    ) -> None:
        """`environments` has additional environment variables for individual balancers, by name.

        Without a `discovery_port`, the balancers poll a port that no process listens on.
        """
        self.names = [f"n{number + 1}" for number in range(count)]
        self.acceptors = self.names[:acceptor_count]
        self.lease_ms = lease_ms
        self.discovery_port = discovery_port or _port_allocator.allocate()
        self.log_level = log_level
        self.environments = environments or {}
        self._records: WaitableList[LogRecord] = WaitableList()
        self._directory = tempfile.TemporaryDirectory(prefix="lotusroute-fault-injection-")
        self._ports = {name: _port_allocator.allocate() for name in self.names}
        self._running: dict[str, RunningProcess] = {}
        self.proxy = NetworkProxy(self.names, self._ports)

    def __enter__(self) -> Self:
        with contextlib.ExitStack() as stack:
            stack.callback(self.close)
            for name in self.names:
                self.start(name)
            stack.pop_all()
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill all balancers, close the proxy and remove all files."""
        for name in list(self._running):
            self.kill(name)
        self.proxy.close()
        self._directory.cleanup()

    def start(self, name: str) -> None:
        """Start a balancer; it loads the state that an earlier process of the same name persisted."""
        state_directory = pathlib.Path(self._directory.name, name)
        state_directory.mkdir(exist_ok=True)
        environment = {
            "LB_CONFIG": self._config(name).write(state_directory / "config.json"),
            "LB_FLEET": self._fleet_config(name, state_directory).write(pathlib.Path(self.fleet_file(name))),
            "LB_LOG": self.log_level,
            **self.environments.get(name, {}),
        }
        options = ProcessOptions(environment=environment, stderr=subprocess.PIPE)
        process = start_process(module_command(PROGRAM), options)
        assert process.stderr is not None
        log_reader = follow_lines(
            process.stderr, lambda line: self._records.append(parse_log_line(name, line))
        )
        self._running[name] = RunningProcess(process, log_reader)

    def fleet_file(self, name: str) -> str:
        """Return the path of a balancer's fleet configuration, which commands that query the fleet need."""
        return str(pathlib.Path(self._directory.name, name, "fleet.toml"))

    def _config(self, name: str) -> BalancerConfig:
        return BalancerConfig(
            name=name,
            listen=Address(LOOPBACK, _port_allocator.allocate()),
            discovery=Address(LOOPBACK, self.discovery_port),
            settings=SETTINGS,
            seed=name,
        )

    def _fleet_config(self, name: str, state_directory: pathlib.Path) -> FleetConfig:
        ports = {peer: self.proxy.port(Link(name, peer)) for peer in self.names if peer != name}
        ports[name] = self._ports[name]
        return FleetConfig(
            name="fault-injection",
            acceptors=self.acceptors,
            tasks=TASKS,
            peers={peer: Address(LOOPBACK, ports[peer]) for peer in self.names},
            state_directory=state_directory,
            lease_ms=self.lease_ms,
        )

    # Faults

    def record_fault(self, kind: FaultKind, **fields: str) -> None:
        """Append an injected fault to the records."""
        self._records.append(LogRecord(time.monotonic(), INJECTOR, kind, fields))

    def kill(self, name: str) -> None:
        """Kill a balancer with SIGKILL."""
        self._end(name, signal.SIGKILL)
        self.record_fault(FaultKind.KILL, target=name)

    def terminate(self, name: str) -> int:
        """Shut down a balancer gracefully with SIGTERM; returns its exit code."""
        exit_code = self._end(name, signal.SIGTERM)
        self.record_fault(FaultKind.TERMINATE, target=name)
        return exit_code

    def _end(self, name: str, signal_number: signal.Signals) -> int:
        process, log_reader = self._running.pop(name)
        process.send_signal(signal_number)
        exit_code = process.wait(TIMEOUT_S)
        # The invariants depend on the order of the records: the whole log must be read before the fault is
        # recorded.
        log_reader.join(TIMEOUT_S)
        return exit_code

    @contextlib.contextmanager
    def paused(self, name: str) -> Iterator[None]:
        """Pause a balancer with SIGSTOP, and resume it with SIGCONT on exit from the context."""
        process = self._running[name].process
        process.send_signal(signal.SIGSTOP)
        self.record_fault(FaultKind.PAUSE, target=name)
        try:
            yield
        finally:
            self.record_fault(FaultKind.RESUME, target=name)
            process.send_signal(signal.SIGCONT)

    # Observations

    @property
    def records(self) -> list[LogRecord]:
        """A copy of the current records, in the order in which they were read or injected."""
        return self._records.copy()

    def wait_for(
        self,
        condition: Callable[[list[LogRecord]], Result | None],
        timeout: float = TIMEOUT_S,
        awaited: str = "matching log records",
    ) -> Result:
        """Wait until `condition`, called with all records, returns a true value, and return that value.

        Raises LogTimeoutError, with `awaited` and the last records, after `timeout` seconds.
        """
        result = self._records.wait_for(condition, timeout)
        if result is None:
            raise LogTimeoutError(awaited, timeout, self.records)
        return result

    def wait_for_holder(self, after: float = 0.0, among: tuple[str, ...] = ()) -> LogRecord:
        """Wait for the first lease acquired after a time, by a process in `among` if any are given."""

        def find(records: list[LogRecord]) -> LogRecord | None:
            for record in records:
                matches = not among or record.process in among
                if matches and record.event == LEASE_ACQUIRED and record.time > after:
                    return record
            return None

        processes = " or ".join(among) or "any process"
        return self.wait_for(find, awaited=f"'{LEASE_ACQUIRED}' logged by {processes} after {after:.3f} s")
