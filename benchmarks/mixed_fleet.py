"""A fleet whose processes are of two builds, for `mixed_builds.py`.

A build is a checkout of the project. Older builds use other names for some log events, log fields and
counters. Here, a tuple holds all names of one event, field or counter, the oldest first.
"""

import contextlib
import pathlib
import signal
import tempfile
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from typing import TypeVar

import checkout_path  # noqa: F401  lotusroute is imported from this checkout

from lotusroute.address import Address
from lotusroute.process_control.config_files import (
    BalancerConfig,
    FleetConfig,
    JsonObject,
    RelaysConfig,
    endpoint_entry,
)
from lotusroute.process_control.discovery_server import DiscoveryServer
from lotusroute.process_control.errors import ProcessControlError
from lotusroute.process_control.free_ports import LOOPBACK, PortAllocator
from lotusroute.process_control.log_fields import parse_fields
from lotusroute.process_control.logged_process import LoggedProcess
from lotusroute.process_control.process_start import PROGRAM, ProcessOptions, module_command

STEP_TIMEOUT_S = 20.0
CHECK_INTERVAL_S = 0.05  # time between two checks of an awaited condition
APPLY_DELAY_S = 0.3  # time within which a published change usually reaches the whole fleet
LEASE_MS = 1_000
MAX_SUBSCRIBERS = 8  # limit of the subscribers of one relay
DISCARD_PORT = 9  # port of the only server in the endpoint list; nothing connects to it
FLEET_NAME = "mixed"
ZONE = "a"
SETTINGS: JsonObject = {
    "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800, "effect": "read_like"}],
    "limits": {"max_connects": 4, "connect_timeout": 250},
}
LEASE_ACQUIRED_EVENTS = ("lease held", "lease acquired")
FENCING_TOKEN_KEYS = ("fence", "fencing_token")

Result = TypeVar("Result")


class StepFailedError(ProcessControlError):
    """A step that both builds take together was not observed in time, or had a wrong result."""


def wait_for(condition: Callable[[], Result], awaited: str) -> Result:
    """Wait until the condition returns a true value and return it; raises StepFailedError at the timeout."""
    deadline = time.monotonic() + STEP_TIMEOUT_S
    while not (result := condition()):
        if time.monotonic() > deadline:
            raise StepFailedError(f"not observed within {STEP_TIMEOUT_S:g} s: {awaited}")
        time.sleep(CHECK_INTERVAL_S)
    return result


class BuildProcess(LoggedProcess):
    """A process of the program, run from the checkout of a build."""

    def __init__(
        self, build: pathlib.Path, arguments: Sequence[str] = (), environment: Mapping[str, str] | None = None
    ) -> None:
        options = ProcessOptions(environment=environment or {}, working_directory=build)
        super().__init__(module_command(PROGRAM, *arguments), options)

    def fencing_tokens(self) -> list[int]:
        """Return the fencing tokens of the leases that the process has acquired, in order."""
        records = [parse_fields(line) for line in self.lines]
        return [
            int(record[key])
            for record in records
            if record.get("event") in LEASE_ACQUIRED_EVENTS
            for key in FENCING_TOKEN_KEYS
            if key in record
        ]

    def counter(self, names: Sequence[str]) -> int:
        """Return the value of the counter that has one of these names; 0 if it was never incremented."""
        # Until a process has logged its first line, it may not have installed its handler of SIGUSR1, and the
        # signal would end it.
        self.wait_for_line("")
        counters = self.counters()
        return sum(counters.get(name, 0) for name in names)


class MixedFleet:
    """The processes of a fleet, each run from the build for its name. Their state folders outlive them."""

    def __init__(
        self, folder: pathlib.Path, builds: Mapping[str, pathlib.Path], discovery: DiscoveryServer
    ) -> None:
        self.folder = folder
        self.builds = builds
        self.discovery = discovery
        self.running: dict[str, BuildProcess] = {}
        self._ports = PortAllocator()
        self._addresses = {name: self._allocate_address() for name in builds}
        for name in builds:
            self._state_folder(name).mkdir()

    def start_balancer(self, name: str) -> None:
        """Start a balancer that takes part in the lease of the shared discovery task."""
        environment = {
            "LB_CONFIG": self._write_balancer_config(name),
            "LB_FLEET": self._write_fleet_config(name, "watch"),
        }
        self.running[name] = BuildProcess(self.builds[name], environment=environment)

    def start_relay(self, name: str) -> None:
        """Start a relay, which takes part in the lease of the origin task."""
        fleet_file = self._write_fleet_config(name, "origin")
        options = ["--fleet", fleet_file, "--name", name, "--discovery", str(self.discovery.address)]
        self.running[name] = BuildProcess(self.builds[name], ["relay", "run", *options])

    def start_subscriber(self, name: str, build: pathlib.Path) -> None:
        """Start a balancer that gets the endpoint list from the relays."""
        config = RelaysConfig(name=FLEET_NAME, zone=ZONE, relays={ZONE: self._addresses})
        environment = {
            "LB_CONFIG": self._write_balancer_config(name),
            "LB_RELAYS": config.write(self.folder / "relays.toml"),
        }
        self.running[name] = BuildProcess(build, environment=environment)

    def stop(self, name: str) -> None:
        """Shut a process down gracefully and wait until it ends; its log can still be read."""
        self.running[name].stop(signal.SIGTERM)

    def stop_all(self) -> None:
        """Shut all processes down."""
        for name in self.running:
            self.stop(name)
        self.running.clear()

    def highest_token(self) -> int:
        """Return the highest fencing token in the logs of the processes; 0 if there is none."""
        return max(
            (token for process in self.running.values() for token in process.fencing_tokens()), default=0
        )

    def wait_for_holder(self) -> str:
        """Return the process that acquired the lease last; raises StepFailedError if none acquires it."""
        wait_for(self.highest_token, "a lease is acquired")
        return max(self.running, key=lambda name: max(self.running[name].fencing_tokens(), default=0))

    def publish_change(self) -> None:
        """Have discovery publish a new version of the endpoint list."""
        version = self.discovery.seq
        self.discovery.publish([{**entry, "block": version} for entry in self.discovery.entries])

    def wait_until_applied(self, name: str, counter_names: Sequence[str]) -> None:
        """Publish changes until a process has applied one that the lease holder sent."""

        def publish_and_check() -> bool:
            self.publish_change()
            time.sleep(APPLY_DELAY_S)
            return self.running[name].counter(counter_names) > 0

        wait_for(publish_and_check, f"{name} applies a list")

    def _allocate_address(self) -> Address:
        return Address(LOOPBACK, self._ports.allocate())

    def _state_folder(self, name: str) -> pathlib.Path:
        return self.folder / f"state-{name}"

    def _write_fleet_config(self, name: str, task: str) -> str:
        return FleetConfig(
            name=FLEET_NAME,
            acceptors=list(self._addresses),
            tasks=[task],
            peers=self._addresses,
            state_directory=self._state_folder(name),
            lease_ms=LEASE_MS,
            max_subscribers=MAX_SUBSCRIBERS,
        ).write(self.folder / f"{name}.toml")

    def _write_balancer_config(self, name: str) -> str:
        return BalancerConfig(
            name=name,
            listen=self._allocate_address(),
            discovery=self.discovery.address,
            settings=SETTINGS,
        ).write(self.folder / f"{name}.json")


@contextlib.contextmanager
def run_mixed_fleet(builds: Mapping[str, pathlib.Path]) -> Iterator[MixedFleet]:
    """Yield a fleet and a discovery that lists one server; at the end, stop them and delete all files."""
    with tempfile.TemporaryDirectory(prefix="lotusroute-mixed-") as folder:
        discovery = DiscoveryServer([endpoint_entry("s-1", DISCARD_PORT)])
        fleet = MixedFleet(pathlib.Path(folder), builds, discovery)
        try:
            yield fleet
        finally:
            fleet.stop_all()
            discovery.shutdown()
