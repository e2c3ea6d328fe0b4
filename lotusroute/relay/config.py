"""The configuration file with the relays that a balancer may subscribe to (`LB_RELAYS`)."""

import os
from typing import Any, NamedTuple

from lotusroute.address import Address
from lotusroute.config_validation import (
    check_known_keys,
    load_toml_config,
    parse_address_entry,
    parse_fleet_name,
)
from lotusroute.errors import ConfigError

KEYS = {"name", "zone", "relays"}

# The unvalidated addresses of the relays: a table for each zone, with an address for each relay name.
ZoneTables = dict[str, dict[str, object]]


class RelaysConfig(NamedTuple):
    """The addresses of the relays by name, those in the balancer's zone separate from all others."""

    fleet: str  # name of the fleet; processes of different fleets do not connect to each other
    local: dict[str, Address]
    remote: dict[str, Address]


def load_relays_config(path: str | os.PathLike[str]) -> RelaysConfig:
    """Read and validate the file; raises `ConfigError`, which names the file, the key and the correction."""
    return load_toml_config("LB_RELAYS", path, parse_relays_config)


def parse_relays_config(settings: dict[str, Any]) -> RelaysConfig:
    """Validate the parsed file; raises `ConfigError`, which names the key and the correction.

    >>> tables = {"a": {"r1": "127.0.0.1:1"}, "b": {"r2": "127.0.0.1:2"}}
    >>> parse_relays_config({"name": "f", "zone": "a", "relays": tables}).local
    {'r1': Address(host='127.0.0.1', port=1)}
    """
    check_known_keys(settings, KEYS)
    fleet = parse_fleet_name(settings)
    own_zone = settings.get("zone")
    if own_zone is None:
        raise ConfigError("zone: not set; give the name of this balancer's zone")
    if not isinstance(own_zone, str):
        raise ConfigError(f"zone: {own_zone!r} is not a string; give the name of this balancer's zone")
    config = RelaysConfig(fleet, {}, {})
    for zone, table in _zone_tables(settings.get("relays")).items():
        for relay, address in table.items():
            key = f"relays.{zone}.{relay}"
            if relay in config.local or relay in config.remote:
                raise ConfigError(f"{key}: another relay has this name; give each relay its own name")
            relays = config.local if zone == own_zone else config.remote
            relays[relay] = parse_address_entry(key, address)
    return config


def _zone_tables(zones: object) -> ZoneTables:
    tables = zones if isinstance(zones, dict) else {}
    if not tables or not all(isinstance(table, dict) and table for table in tables.values()):
        raise ConfigError('relays: give a table for each zone, as [relays.a] with r1 = "HOST:PORT"')
    return tables
