"""Writes the configuration files of processes: the balancer's, the fleet's and the list of relays.

The keys are those that `lotusroute.net.config`, `lotusroute.fleet.config` and `lotusroute.relay.config` read.
"""

import json
import pathlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from lotusroute.address import Address

JsonValue = None | bool | int | float | str | Sequence["JsonValue"] | Mapping[str, "JsonValue"]
JsonObject = Mapping[str, JsonValue]

# Cached endpoint list in the configuration of a balancer that has not received a list yet.
EMPTY_ENDPOINT_LIST: JsonObject = {"seq": 0, "hosts": []}


def endpoint_entry(name: str, port: int, health: str = "SERVING") -> dict[str, JsonValue]:
    """Return an entry of the endpoint list for a server on the loopback interface."""
    return {"host": name, "dial": f"127.0.0.1:{port}", "health": health, "share": 1.0, "born_ms": 0}


@dataclass(frozen=True, slots=True, kw_only=True)
class BalancerConfig:
    """The configuration of one balancer, written as JSON; options that are None are left out."""

    name: str
    listen: Address
    discovery: Address
    settings: JsonObject
    seed: str | None = None
    limits: JsonObject | None = None
    cached_list: JsonObject = field(default_factory=lambda: EMPTY_ENDPOINT_LIST)

    def document(self) -> dict[str, JsonValue]:
        """Return the contents of the configuration file as a JSON object."""
        document: dict[str, JsonValue] = {
            "name": self.name,
            "listen": str(self.listen),
            "discovery": str(self.discovery),
            "settings": self.settings,
            "known": self.cached_list,
        }
        if self.seed is not None:
            document["seed"] = self.seed
        if self.limits is not None:
            document["limits"] = self.limits
        return document

    def write(self, file: pathlib.Path) -> str:
        """Write the configuration file; returns its path."""
        return write_json(file, self.document())


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetConfig:
    """The fleet configuration of one process, written as TOML; options that are None keep their defaults."""

    name: str
    acceptors: Sequence[str]
    tasks: Sequence[str]
    peers: Mapping[str, Address]
    state_directory: pathlib.Path | None = None
    lease_ms: float | None = None
    max_subscribers: int | None = None

    def write(self, file: pathlib.Path) -> str:
        """Write the configuration file; returns its path."""
        settings: dict[str, JsonValue] = {
            "name": self.name,
            "keepers": list(self.acceptors),
            "tasks": list(self.tasks),
            "state": None if self.state_directory is None else str(self.state_directory),
            "lease_ms": self.lease_ms,
            "guests": self.max_subscribers,
        }
        lines = [_toml_pair(key, value) for key, value in settings.items() if value is not None]
        lines.append("[peers]")
        lines += _toml_addresses(self.peers)
        return _write_lines(file, lines)


@dataclass(frozen=True, slots=True, kw_only=True)
class RelaysConfig:
    """The list of relays for one balancer, written as TOML."""

    name: str
    zone: str  # zone of the balancer
    relays: Mapping[str, Mapping[str, Address]]  # address by zone and relay name

    def write(self, file: pathlib.Path) -> str:
        """Write the configuration file; returns its path."""
        lines = [_toml_pair("name", self.name), _toml_pair("zone", self.zone)]
        for zone, addresses in self.relays.items():
            lines.append(f"[relays.{zone}]")
            lines += _toml_addresses(addresses)
        return _write_lines(file, lines)


def write_json(file: pathlib.Path, document: JsonObject) -> str:
    """Write a JSON object to a file; returns the file's path."""
    file.write_text(json.dumps(document), encoding="utf-8")
    return str(file)


def _toml_pair(key: str, value: JsonValue) -> str:
    """Return a key-value line of TOML, whose strings, numbers and arrays have the syntax of JSON."""
    return f"{key} = {json.dumps(value)}"


def _toml_addresses(addresses: Mapping[str, Address]) -> list[str]:
    return [_toml_pair(name, str(address)) for name, address in addresses.items()]


def _write_lines(file: pathlib.Path, lines: Iterable[str]) -> str:
    file.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return str(file)
