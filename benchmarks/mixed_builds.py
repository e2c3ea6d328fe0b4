"""Runs processes of two builds in one fleet, as during a rolling upgrade, and checks that they interoperate.

    python benchmarks/mixed_builds.py --other ../lotusroute-964a6b3

Two arrangements are played: one process of the other build beside two of this one, and the other way round.
In each, a lease is granted and handed over when its holder shuts down, the shared discovery task carries an
endpoint list, and relays carry it to balancers of both builds. Then this build starts on the state folders
that the processes before it left behind. Exit 0 where all of that was seen, 1 where something was not, 2 on
wrong use. All processes stay on loopback.
"""

import argparse
import contextlib
import http.server
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
from collections.abc import Callable, Iterator

THIS_BUILD = pathlib.Path(__file__).resolve().parent.parent
TIMEOUT = 20.0  # s for any one step
LEASE_MS = 1_000
SETTINGS = {
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800, "effect": "read_like"}],
    "limits": {"max_connects": 4, "connect_timeout": 250},
}
# Both builds' names of what is looked for, in that order: builds up to 964a6b3, later ones.
LEASE_ACQUIRED = ("lease held", "lease acquired")
SHARED_UPDATES = ("watch_taken", "shared_discovery_applied")
RELAY_UPDATES = ("news_taken", "updates_applied")


class StepFailedError(Exception):
    """Something that both builds have to do together was not seen in time."""


class DiscoveryHandler(http.server.BaseHTTPRequestHandler):
    """Answers requests for the endpoint list; a long poll waits for the next version."""

    protocol_version = "HTTP/1.1"
    server: "DiscoveryServer"

    def do_GET(self) -> None:
        """Answer one request."""
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query)
        known = int(query.get("from", ["-1"])[0])
        until = time.monotonic() + float(query.get("hold_ms", ["0"])[0]) / 1000
        while self.server.version <= known and time.monotonic() < until:
            time.sleep(0.02)
        hosts = self.server.entries if self.server.version > known else []
        document = {"seq": self.server.version, "whole": known < 0, "hosts": hosts}
        body = json.dumps(document).encode()
        with contextlib.suppress(OSError):
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Write nothing."""


class DiscoveryServer(http.server.ThreadingHTTPServer):
    """A discovery with one server in its list."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), DiscoveryHandler)
        self.version = 1
        entry = {"host": "s-1", "dial": "127.0.0.1:9", "health": "SERVING", "share": 1.0, "born_ms": 0}
        self.entries = [entry]
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """HOST:PORT."""
        return f"127.0.0.1:{self.server_port}"

    def publish_change(self) -> None:
        """Make a new version of the list."""
        self.entries = [{**self.entries[0], "block": self.version}]
        self.version += 1


class Process:
    """One process of a build and its log."""

    def __init__(self, name: str, build: pathlib.Path, arguments: list[str], env: dict[str, str]) -> None:
        self.name = name
        self.lines: list[str] = []
        command = [sys.executable, "-m", "lotusroute", *arguments]
        self._process = subprocess.Popen(
            command, cwd=build, env={**os.environ, **env}, stderr=subprocess.PIPE, text=True
        )
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self) -> None:
        assert self._process.stderr is not None
        for line in self._process.stderr:
            self.lines.append(line)

    def fences(self) -> list[int]:
        """Fencing tokens of the leases that it acquired, in order."""
        names = "|".join(LEASE_ACQUIRED)
        pattern = re.compile(rf'event="(?:{names})" .*(?:fence|fencing_token)=(\d+)')
        return [int(match[1]) for line in list(self.lines) if (match := pattern.search(line))]

    def counter(self, names: tuple[str, ...]) -> int:
        """The present value of a counter, under either of its names."""
        # Until it has logged something it may not handle the signal yet, and would be ended by it.
        wait_for(lambda: self.lines, f"{self.name}: its first log line")
        before = len(self.lines)
        self._process.send_signal(signal.SIGUSR1)
        line = wait_for(
            lambda: next((line for line in self.lines[before:] if "event=counters" in line), ""),
            f"{self.name}: counters",
        )
        found = [re.search(rf"\b{name}=(\d+)", line) for name in names]
        return sum(int(match[1]) for match in found if match)

    def stop(self, number: int = signal.SIGTERM) -> None:
        """End it and wait."""
        if self._process.poll() is None:
            self._process.send_signal(number)
        self._process.wait(TIMEOUT)


def wait_for(condition: Callable[[], object], what: str) -> object:
    """Wait until the condition holds and return its value; raises StepFailedError."""
    until = time.monotonic() + TIMEOUT
    while not (value := condition()):
        if time.monotonic() > until:
            raise StepFailedError(f"not seen within {TIMEOUT:g} s: {what}")
        time.sleep(0.05)
    return value


def free_port() -> int:
    """A port below the range that the system hands out by itself."""
    sample = random.SystemRandom()
    while True:
        port = sample.randrange(10_000, 32_000)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return port


class MixedFleet:
    """Three linked processes, each of the build given for it, with state folders that outlive them."""

    def __init__(
        self, folder: pathlib.Path, builds: dict[str, pathlib.Path], discovery: DiscoveryServer
    ) -> None:
        self.folder, self.builds, self.discovery = folder, builds, discovery
        self.addresses = {name: f"127.0.0.1:{free_port()}" for name in builds}
        self.running: dict[str, Process] = {}
        for name in builds:
            (folder / f"state-{name}").mkdir()

    def fleet_file(self, name: str, task: str) -> str:
        """Write the operator's file of one process; returns its path."""
        names = json.dumps(list(self.addresses))
        peers = "\n".join(f'{peer} = "{address}"' for peer, address in self.addresses.items())
        file = self.folder / f"{name}.toml"
        file.write_text(
            f'name = "mixed"\nstate = "{self.folder}/state-{name}"\nkeepers = {names}\ntasks = ["{task}"]\n'
            f"lease_ms = {LEASE_MS}\nguests = 8\n[peers]\n{peers}\n"
        )
        return str(file)

    def balancer_env(self, name: str, **extra: str) -> dict[str, str]:
        """The environment of a balancer, whose configuration file is written here."""
        document = {
            "name": name,
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": self.discovery.address,
            "settings": SETTINGS,
            "known": {"seq": 0, "hosts": []},
        }
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(document))
        return {"LB_CONFIG": str(file), **extra}

    def start_balancer(self, name: str) -> None:
        """Start one balancer with the shared discovery task."""
        env = self.balancer_env(name, LB_FLEET=self.fleet_file(name, "watch"))
        self.running[name] = Process(name, self.builds[name], [], env)

    def start_relay(self, name: str) -> None:
        """Start one relay."""
        file = self.fleet_file(name, "origin")
        arguments = ["relay", "run", "--fleet", file, "--name", name, "--discovery", self.discovery.address]
        self.running[name] = Process(name, self.builds[name], arguments, {})

    def highest_fence(self) -> int:
        """The highest fencing token seen so far."""
        return max((fence for process in self.running.values() for fence in process.fences()), default=0)

    def holder(self) -> str:
        """Who acquired the lease last; raises StepFailedError where nobody does."""
        wait_for(self.highest_fence, "a lease is acquired")
        return max(self.running, key=lambda name: max(self.running[name].fences(), default=0))

    def change_applied(self, name: str) -> bool:
        """Publish a change and look whether a process has applied any that the lease holder sent."""
        self.discovery.publish_change()
        time.sleep(0.3)
        return self.running[name].counter(SHARED_UPDATES) > 0

    def stop_all(self) -> None:
        """End all processes."""
        for process in self.running.values():
            process.stop()
        self.running.clear()


@contextlib.contextmanager
def mixed_fleet(builds: dict[str, pathlib.Path]) -> Iterator[MixedFleet]:
    """A fleet in a folder of its own; all of it is gone afterwards."""
    with tempfile.TemporaryDirectory(prefix="lotusroute-mixed-") as folder:
        discovery = DiscoveryServer()
        fleet = MixedFleet(pathlib.Path(folder), builds, discovery)
        try:
            yield fleet
        finally:
            fleet.stop_all()
            discovery.shutdown()


def check_leases(builds: dict[str, pathlib.Path], report: Callable[[str], None]) -> None:
    """A lease is granted, carries the list, is handed over, and goes on after a start on the same state."""
    with mixed_fleet(builds) as fleet:
        for name in builds:
            fleet.start_balancer(name)
        for _ in builds:
            holder, fence = fleet.holder(), fleet.highest_fence()
            others = [name for name in builds if name != holder]
            for name in others:
                wait_for(lambda name=name: fleet.change_applied(name), f"{name} applies a list")
            report(f"lease: {holder} holds under {fence}; {' and '.join(others)} apply its list")
            fleet.running[holder].stop()
            wait_for(lambda fence=fence: fleet.highest_fence() > fence, f"a successor of {holder}")
            fleet.start_balancer(holder)
        fence = fleet.highest_fence()
        fleet.stop_all()
        fleet.builds = dict.fromkeys(builds, THIS_BUILD)
        for name in builds:
            fleet.start_balancer(name)
        holder = fleet.holder()
        if fleet.highest_fence() <= fence:
            raise StepFailedError(f"{holder} holds under {fleet.highest_fence()} after {fence}")
        report(
            f"state: this build starts on all state folders and goes from {fence} to {fleet.highest_fence()}"
        )


def check_relays(builds: dict[str, pathlib.Path], other: pathlib.Path, report: Callable[[str], None]) -> None:
    """Relays of both builds carry a change of the list to balancers of both."""
    with mixed_fleet(builds) as fleet:
        for name in builds:
            fleet.start_relay(name)
        fleet.holder()
        relays = "\n".join(f'{name} = "{address}"' for name, address in fleet.addresses.items())
        file = fleet.folder / "relays.toml"
        file.write_text(f'name = "mixed"\nzone = "a"\n[relays.a]\n{relays}\n')
        balancers = {"balancer-this": THIS_BUILD, "balancer-other": other}
        for name, build in balancers.items():
            env = fleet.balancer_env(name, LB_RELAYS=str(file))
            fleet.running[name] = Process(name, build, [], env)
        for name in balancers:
            wait_for(
                lambda name=name: fleet.running[name].counter(RELAY_UPDATES), f"{name} applies an update"
            )
        before = {name: fleet.running[name].counter(RELAY_UPDATES) for name in balancers}
        fleet.discovery.publish_change()
        for name in balancers:
            wait_for(
                lambda name=name: fleet.running[name].counter(RELAY_UPDATES) > before[name],
                f"{name} applies the change",
            )
        report("relays: balancers of both builds apply a snapshot and a change")


def main(arguments: list[str]) -> int:
    """Play both arrangements; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--other", type=pathlib.Path, required=True, help="checkout of the other build")
    options = parser.parse_args(arguments)
    other = options.other.resolve()
    if not (other / "lotusroute/__main__.py").is_file():
        parser.error(f"--other {options.other}: no checkout of lotusroute")
    arrangements = {
        "one of the other build, two of this one": {"n1": other, "n2": THIS_BUILD, "n3": THIS_BUILD},
        "one of this build, two of the other one": {"n1": THIS_BUILD, "n2": other, "n3": other},
    }
    failed = 0
    for title, builds in arrangements.items():
        try:
            check_leases(builds, lambda text, title=title: print(f"{title}: {text}", flush=True))
            check_relays(builds, other, lambda text, title=title: print(f"{title}: {text}", flush=True))
        except StepFailedError as error:
            print(f"{title}: FAILED: {error}", file=sys.stderr)
            failed += 1
    return min(failed, 1)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
