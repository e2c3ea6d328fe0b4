"""The file that names the relays to a balancer (`LB_RELAYS`)."""

import os
import pathlib
import tomllib
from typing import Any, NamedTuple

from lotusroute.errors import ConfigError, InvalidValueError
from lotusroute.net.config import parse_address

KEYS = {"name", "zone", "relays"}

Address = tuple[str, int]


class RelaysConfig(NamedTuple):
    """The relays as one balancer sees them."""

    fleet: str  # the name that peers of one fleet check when they connect
    local: dict[str, Address]  # those of the balancer's zone
    remote: dict[str, Address]


def load_relays_config(path: str | os.PathLike) -> RelaysConfig:
    """Read the file; raises ConfigError, which names the file, the key and the correction."""
    try:
        settings = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
        return parse_relays_config(settings)
    except (OSError, ValueError, InvalidValueError) as error:
        raise ConfigError(f"LB_RELAYS: {path}: {error}") from None


def parse_relays_config(settings: dict[str, Any]) -> RelaysConfig:
    """Validate the contents of the file; raises ConfigError.

    >>> tables = {"a": {"r1": "127.0.0.1:1"}, "b": {"r2": "127.0.0.1:2"}}
    >>> parse_relays_config({"name": "f", "zone": "a", "relays": tables}).local
    {'r1': ('127.0.0.1', 1)}
    """
    unknown = sorted(set(settings) - KEYS)
    if unknown:
        raise ConfigError(f"{unknown[0]}: no such key; there are {', '.join(sorted(KEYS))}")
    fleet = settings.get("name")
    if not isinstance(fleet, str) or not fleet:
        raise ConfigError("name: not set; give the fleet's")
    own_zone = settings.get("zone")
    if not isinstance(own_zone, str):
        raise ConfigError("zone: give this balancer's")
    config = RelaysConfig(fleet, {}, {})
    for zone, table in _zone_tables(settings.get("relays")).items():
        for relay, address in table.items():
            key = f"relays.{zone}.{relay}"
            if relay in config.local or relay in config.remote:
                raise ConfigError(f"{key}: the name stands twice")
            relays = config.local if zone == own_zone else config.remote
            relays[relay] = _parse_relay_address(key, address)
    return config


def _zone_tables(zones: object) -> dict[str, dict[str, object]]:
    tables = zones if isinstance(zones, dict) else {}
    if not tables or not all(isinstance(table, dict) and table for table in tables.values()):
        raise ConfigError('relays: give a table for each zone, as [relays.a] with r1 = "HOST:PORT"')
    return tables


def _parse_relay_address(key: str, address: object) -> Address:
    try:
        return parse_address(str(address))
    except InvalidValueError as error:
        raise ConfigError(f"{key}: {error}") from None
