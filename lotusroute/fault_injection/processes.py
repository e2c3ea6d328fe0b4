"""Starts balancers of the real program on loopback, injects faults into them and collects their logs.

Records of all processes and of the injected faults stand in one list, by one clock. Only processes that were
started here are signalled, and all of them are killed at the end.
"""

import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from typing import NamedTuple, TypeVar

from lotusroute.fault_injection.network_proxy import NetworkProxy

TIMEOUT = 15.0  # s for anything that is waited for: a start takes half a second on a free core
INJECTOR = "injector"  # the process name of the records of injected faults
FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
RECORDS_SHOWN = 20  # in the message of a timeout
SETTINGS = {
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800}],
    "limits": {"max_connects": 4, "connect_timeout": 250},
}

Result = TypeVar("Result")


class LogRecord(NamedTuple):
    """One line of a process's log, or one injected fault."""

    time: float  # s of time.monotonic(), when it was read
    process: str
    event: str
    fields: dict[str, str]


def free_port() -> int:
    """Return a port of loopback on which nobody listens at the moment."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()[1]


class ProcessFleet:
    """Balancers named n1, n2, and so on, the first of which are the lease acceptors; a context manager.

    They reach each other through `proxy` only.
    """

    def __init__(
        self,
        count: int,
        acceptor_count: int = 3,
        tasks: tuple[str, ...] = ("watch",),
        lease_ms: float = 3_000.0,
        discovery_port: int = 0,
        log_level: str = "INFO",
        environments: Mapping[str, Mapping[str, str]] | None = None,
    ) -> None:
        """`environments` has further variables of single balancers, by name."""
        self.names = [f"n{number + 1}" for number in range(count)]
        self.acceptors = self.names[:acceptor_count]
        self.tasks = tasks
        self.lease_ms = lease_ms
        self.discovery_port = discovery_port or free_port()  # without a port given, nobody answers there
        self.log_level = log_level
        self.environments = environments or {}
        self.records: list[LogRecord] = []  # in the order of reading; bounded by a scenario's duration
        self._records_changed = threading.Condition()
        self._folder = tempfile.TemporaryDirectory(prefix="lotusroute-fault-injection-")
        self._ports = {name: free_port() for name in self.names}
        self._processes: dict[str, subprocess.Popen[str]] = {}  # the running ones
        self._log_readers: dict[str, threading.Thread] = {}  # of the running ones
        self.proxy = NetworkProxy(self.names, self._ports)

    def __enter__(self) -> "ProcessFleet":
        with contextlib.ExitStack() as stack:
            stack.callback(self.close)
            for name in self.names:
                self.start(name)
            stack.pop_all()
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill all balancers and remove their files."""
        for name in list(self._processes):
            self.kill(name)
        self.proxy.close()
        self._folder.cleanup()

    def start(self, name: str) -> None:
        """Start a balancer; the files of an earlier process of that name are still there."""
        home = pathlib.Path(self._folder.name, name)
        home.mkdir(exist_ok=True)
        config_file = home / "config.json"
        config_file.write_text(json.dumps(self._config(name)))
        pathlib.Path(self.fleet_file(name)).write_text(self._fleet_config(name, home))
        environment = {
            **os.environ,
            "LB_CONFIG": str(config_file),
            "LB_FLEET": self.fleet_file(name),
            "LB_LOG": self.log_level,
            **self.environments.get(name, {}),
        }
        process = subprocess.Popen(
            [sys.executable, "-m", "lotusroute"], stderr=subprocess.PIPE, text=True, env=environment
        )
        reader = threading.Thread(target=self._read_log, args=(name, process), daemon=True)
        self._processes[name] = process
        self._log_readers[name] = reader
        reader.start()

    def fleet_file(self, name: str) -> str:
        """Return the path of a balancer's fleet configuration, for commands that query the fleet."""
        return str(pathlib.Path(self._folder.name, name, "fleet.toml"))

    def _config(self, name: str) -> dict:
        return {
            "name": name,
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": f"127.0.0.1:{self.discovery_port}",
            "seed": name,
            "settings": SETTINGS,
            "known": {"seq": 0, "hosts": []},
        }

    def _fleet_config(self, name: str, home: pathlib.Path) -> str:
        lines = [
            'name = "fault-injection"',
            f'state = "{home}"',
            f"lease_ms = {self.lease_ms}",
            f"keepers = {json.dumps(self.acceptors)}",
            f"tasks = {json.dumps(self.tasks)}",
            "[peers]",
        ]
        for peer in self.names:
            port = self._ports[peer] if peer == name else self.proxy.address(peer, name)
            lines.append(f'{peer} = "127.0.0.1:{port}"')
        return "\n".join(lines) + "\n"

    def _read_log(self, name: str, process: subprocess.Popen[str]) -> None:
        assert process.stderr is not None
        with contextlib.suppress(ValueError):  # the pipe was closed
            for line in process.stderr:
                fields = {key: value.strip('"') for key, value in FIELD.findall(line)}
                self._append(LogRecord(time.monotonic(), name, fields.get("event", line.strip()), fields))

    def _append(self, record: LogRecord) -> None:
        with self._records_changed:
            self.records.append(record)
            self._records_changed.notify_all()

    # Faults

    def record_fault(self, event: str, **fields: str) -> None:
        """Append a fault to the records."""
        self._append(LogRecord(time.monotonic(), INJECTOR, event, fields))

    def kill(self, name: str) -> None:
        """End a balancer by SIGKILL."""
        self._end(name, signal.SIGKILL)
        self.record_fault("kill", of=name)

    def terminate(self, name: str) -> int:
        """Shut a balancer down gracefully by SIGTERM; returns its exit code."""
        code = self._end(name, signal.SIGTERM)
        self.record_fault("end", of=name)
        return code

    def _end(self, name: str, number: signal.Signals) -> int:
        process = self._processes.pop(name)
        process.send_signal(number)
        code = process.wait(TIMEOUT)
        # All that it logged has to be read before the fault is recorded: the invariants go by this order.
        self._log_readers.pop(name).join(TIMEOUT)
        return code

    @contextlib.contextmanager
    def paused(self, name: str) -> Iterator[None]:
        """Pause a balancer by SIGSTOP and let it continue at the end."""
        process = self._processes[name]
        process.send_signal(signal.SIGSTOP)
        self.record_fault("stop", of=name)
        try:
            yield
        finally:
            self.record_fault("continue", of=name)
            process.send_signal(signal.SIGCONT)

    # Observations

    def copy_records(self) -> list[LogRecord]:
        """Return the records up to now."""
        with self._records_changed:
            return list(self.records)

    def wait_for(self, condition: Callable[[list[LogRecord]], Result], timeout: float = TIMEOUT) -> Result:
        """Wait until `condition` of the records returns something true, and return that.

        Raises AssertionError, with the last records, after `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        with self._records_changed:
            while not (result := condition(self.records)):
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    tail = "\n".join(map(str, self.records[-RECORDS_SHOWN:]))
                    raise AssertionError(f"not so within {timeout:g} s; the last lines:\n{tail}")
                self._records_changed.wait(remaining)
            return result

    def wait_for_holder(self, after: float = 0.0, among: tuple[str, ...] = ()) -> LogRecord:
        """Wait for a lease that is acquired after a time, by one of these processes if any are given."""

        def find(records: list[LogRecord]) -> LogRecord | None:
            for record in records:
                matches = not among or record.process in among
                if matches and record.event == "lease acquired" and record.time > after:
                    return record
            return None

        record = self.wait_for(find)
        assert record is not None  # wait_for returns true results only
        return record
