"""Starts balancers of the real program, linked on loopback, and hurts them.

Owns the processes that it starts: their files, ports, signals, and what they logged, by one clock. It must
never signal a process that it did not start, leave one behind, or judge what it saw.
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
from collections.abc import Callable, Iterator
from typing import NamedTuple

from lotusroute.fault_injection.network_proxy import Wires

PATIENCE = 15.0  # s for anything that is waited for: a start takes half a second on a free core
RIG = "rig"  # the name under which faults stand among the lines
FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
SETTINGS = {
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800}],
    "limits": {"max_connects": 4, "connect_timeout": 250},
}


class Line(NamedTuple):
    """What one process logged, and when the rig read it."""

    at: float  # s of the rig's clock
    name: str
    event: str
    fields: dict[str, str]


def free_port() -> int:
    """A port that nobody has at the moment."""
    with socket.create_server(("127.0.0.1", 0)) as found:
        return found.getsockname()[1]


class Fleet:
    """Some balancers whose names are n1, n2, and so on; the first `keepers` of them keep leases.

    Between every two of them stands a way of the rig's own, `wires`.
    """

    def __init__(
        self,
        count: int,
        keepers: int = 3,
        tasks: tuple[str, ...] = ("watch",),
        lease_ms: float = 3_000.0,
        discovery: int = 0,
        log: str = "INFO",
    ) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="lotusroute-rig-")
        self.names = [f"n{n + 1}" for n in range(count)]
        self.ports = {name: free_port() for name in self.names}
        self.keepers, self.tasks, self.lease_ms = self.names[:keepers], tasks, lease_ms
        self.discovery = discovery or free_port()  # where there is none, nobody is there
        self.log = log
        self.wires = Wires(self.names, self.ports)
        self.running: dict[str, subprocess.Popen] = {}  # by name; leave when they have ended
        self.readers: dict[str, threading.Thread] = {}  # by name; leave with their process
        self.lines: list[Line] = []  # all that was logged, as it was read; a scenario's length bounds it
        self.news = threading.Condition()

    def __enter__(self) -> "Fleet":
        for name in self.names:
            self.start(name)
        return self

    def __exit__(self, *_: object) -> None:
        for name in list(self.running):
            self.kill(name)
        self.wires.close()
        self.folder.cleanup()

    def start(self, name: str) -> None:
        """Start a balancer; what it had on disk is still there."""
        home = pathlib.Path(self.folder.name, name)
        home.mkdir(exist_ok=True)
        told = {
            "name": name,
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": f"127.0.0.1:{self.discovery}",
            "seed": name,
            "settings": SETTINGS,
            "known": {"seq": 0, "hosts": []},
        }
        (home / "config.json").write_text(json.dumps(told))
        (home / "fleet.toml").write_text(self.plan(name, home))
        process = subprocess.Popen(
            [sys.executable, "-m", "lotusroute"],
            stderr=subprocess.PIPE,
            text=True,
            env={
                **os.environ,
                "LB_CONFIG": str(home / "config.json"),
                "LB_FLEET": self.file(name),
                "LB_LOG": self.log,
            },
        )
        self.running[name] = process
        self.readers[name] = threading.Thread(target=self._read, args=(name, process), daemon=True)
        self.readers[name].start()

    def plan(self, name: str, home: pathlib.Path) -> str:
        """The operator's file, as this balancer has it."""
        peers = "\n".join(
            f'{peer} = "127.0.0.1:{self.ports[peer] if peer == name else self.wires.address(peer, name)}"'
            for peer in self.names
        )
        head = f'name = "rig"\nstate = "{home}"\nlease_ms = {self.lease_ms}\n'
        lists = f"keepers = {json.dumps(self.keepers)}\ntasks = {json.dumps(self.tasks)}\n"
        return f"{head}{lists}[peers]\n{peers}\n"

    def file(self, name: str) -> str:
        """Where a balancer's file on the fleet is."""
        return str(pathlib.Path(self.folder.name, name, "fleet.toml"))

    def _read(self, name: str, process: subprocess.Popen) -> None:
        with contextlib.suppress(ValueError):
            for text in process.stderr:
                fields = {key: value.strip('"') for key, value in FIELD.findall(text)}
                line = Line(time.monotonic(), name, fields.get("event", text.strip()), fields)
                with self.news:
                    self.lines.append(line)
                    self.news.notify_all()

    # Faults

    def note(self, event: str, **fields: str) -> None:
        """Put a fault among the lines."""
        with self.news:
            self.lines.append(Line(time.monotonic(), RIG, event, fields))
            self.news.notify_all()

    def signal(self, name: str, number: int) -> None:
        """Signal a balancer of this fleet."""
        self.running[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill it outright."""
        self._end(name, signal.SIGKILL)

    def end(self, name: str) -> int:
        """End it in order; returns its exit code."""
        return self._end(name, signal.SIGTERM)

    def _end(self, name: str, number: int) -> int:
        process = self.running.pop(name)
        process.send_signal(number)
        code = process.wait(PATIENCE)
        # What it logged before is read first: the judge goes by the order of lines.
        self.readers.pop(name).join(PATIENCE)
        self.note("kill" if number == signal.SIGKILL else "end", of=name)
        return code

    @contextlib.contextmanager
    def stopped(self, name: str) -> Iterator[None]:
        """It stands still, and goes on with all that it had in hand."""
        self.signal(name, signal.SIGSTOP)
        self.note("stop", of=name)
        try:
            yield
        finally:
            self.note("continue", of=name)
            self.signal(name, signal.SIGCONT)

    # What was seen

    def wait(self, true: Callable[[list[Line]], object], patience: float = PATIENCE):
        """Wait until what was logged makes something so; returns what `true` does."""
        until = time.monotonic() + patience
        with self.news:
            while not (found := true(self.lines)):
                left = until - time.monotonic()
                if left <= 0:
                    tail = "\n".join(map(str, self.lines[-20:]))
                    raise AssertionError(f"not so within {patience:g} s; the last lines:\n{tail}")
                self.news.wait(left)
            return found

    def held(self, after: float = 0.0, by: tuple[str, ...] = ()) -> Line:
        """Wait for a lease that is held after a moment, by one of these if any are named."""
        return self.wait(
            lambda lines: next(
                (
                    line
                    for line in lines
                    if line.event == "lease acquired" and line.at > after and (not by or line.name in by)
                ),
                None,
            )
        )
