"""The balancer's configuration: the LB_* environment variables and the JSON file that LB_CONFIG names.

No other module of the balancer process validates them or sets defaults. An invalid value raises a
`ConfigError`, whose message starts with the key at fault.
"""

import json
import os
import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeAlias, TypeVar

from lotusroute.address import Address, parse_address
from lotusroute.errors import ConfigError, InvalidValueError
from lotusroute.routing.events import ServiceConfig
from lotusroute.service_config import flatten, parse_number, parse_service_config

Value = TypeVar("Value")
Parsed = TypeVar("Parsed")
# A JSON object from a file, whose values have not been validated yet.
JsonObject: TypeAlias = dict[str, Any]

DEFAULT_SOCKETS = 1024  # number of descriptors that a process may usually have open
# More memory than connections on the default number of descriptors can use.
DEFAULT_MEMORY_MB = 1024.0
DEFAULT_CONNECT_TIMEOUT_MS = 250.0  # enough for a distant location and one lost packet
DEFAULT_DRAIN_GRACE_MS = 500.0  # the shortest grace that any deployment requires
# Time to establish a flow of a service type whose `deadline` is not set.
DEFAULT_FLOW_TIMEOUT_MS = 3_000.0
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
TENANT_NAME_PATH = re.compile(r"tenants\.\d+\.name")

# On a reload, a changed field is applied, is ignored because only the start uses it, or else needs a restart.
APPLIED_ON_RELOAD = frozenset({"discovery", "sockets", "memory_mb"})
USED_AT_START_ONLY = frozenset({"seed", "cached_list"})
# The key of the file, or the environment variable, that sets each field, as it is logged for operators.
CONFIGURATION_KEYS = {
    "name": "name",
    "listen": "listen",
    "discovery": "discovery",
    "seed": "seed",
    "sockets": "limits.sockets",
    "memory_mb": "limits.memory_mb",
    "tenants": "settings.tenants",
    "cached_list": "known",
    "service": "settings",
    "connect_timeout": "settings.limits.connect_timeout",
    "longest_connect_timeout": "settings.service_types",
    "drain_grace": "settings.rules.stop_sending_within",
    "discovery_is_local_agent": "settings.discovery",
    "log_level": "LB_LOG",
}


class BalancerConfig(NamedTuple):
    """The configuration of one balancer process, validated and with all defaults set."""

    name: str
    listen: Address
    discovery: Address
    seed: int  # seed of the random number generators
    sockets: int  # limit on open file descriptors
    memory_mb: float
    tenants: frozenset[str]  # the tenants whose flows are accepted; if empty, all flows are accepted
    cached_list: JsonObject  # the endpoint list of an earlier run, in discovery's format
    service: ServiceConfig
    connect_timeout: float  # ms; longest duration of one connection attempt to a server
    longest_connect_timeout: float  # ms; the longest time that any service type has to establish a flow
    drain_grace: float  # ms from the announcement of a drain until nothing may be sent to that server
    discovery_is_local_agent: bool  # an agent on this machine serves the endpoint list
    log_level: str


def load_config(environ: Mapping[str, str], reloading: bool = False) -> BalancerConfig:
    """Read the file that LB_CONFIG names and the environment.

    At the start, the environment takes precedence over the file. On a reload the file does, because a process
    keeps the environment of its start, which may name a discovery address that is no longer in service. A
    balancer that followed that address would keep an endpoint list that nothing updates.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: not set; set it to the path of the configuration file")
    try:
        document = read_json_object(path)
    except ConfigError as error:
        raise ConfigError(f"LB_CONFIG: {error}") from None
    return parse_config(document, environ, reloading)


def fleet_config_path(environ: Mapping[str, str]) -> str:
    """Return the path of the fleet's configuration file; empty if the fleet's features are off."""
    return environ.get("LB_FLEET", "")


def relays_config_path(environ: Mapping[str, str]) -> str:
    """Return the path of the relays' configuration file; empty if relays are off."""
    return environ.get("LB_RELAYS", "")


def read_json_object(path: str | os.PathLike[str]) -> JsonObject:
    """Read a file that holds a JSON object; its contents are not validated."""
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(str(error)) from None
    if not isinstance(document, dict):
        raise ConfigError(f"expected a JSON object, got a value of type {type(document).__name__}")
    return document


def parse_config(document: JsonObject, environ: Mapping[str, str], reloading: bool = False) -> BalancerConfig:
    """Validate a file's contents together with the environment."""
    settings = _parse_section(document, "settings")
    flat_settings = dict(flatten(settings))
    service = _parse_service(settings, flat_settings)
    cached_list = _parse_cached_list(document)
    limits = _parse_section(document, "limits")
    log_level = _parse_log_level(environ)

    def text(key: str) -> str:
        return _parse_text(key, document, environ, reloading)

    return BalancerConfig(
        name=text("name"),
        listen=_parse_keyed("LB_LISTEN", parse_address, text("listen")),
        discovery=_parse_keyed("LB_DISCOVERY", parse_address, text("discovery")),
        seed=int.from_bytes(str(document.get("seed", "")).encode()),
        sockets=int(_parse_amount("limits.sockets", limits.get("sockets"), DEFAULT_SOCKETS)),
        memory_mb=_parse_amount("limits.memory_mb", limits.get("memory_mb"), DEFAULT_MEMORY_MB),
        tenants=_parse_tenants(flat_settings),
        cached_list=cached_list,
        service=service,
        connect_timeout=_parse_setting(flat_settings, "limits.connect_timeout", DEFAULT_CONNECT_TIMEOUT_MS),
        longest_connect_timeout=_parse_longest_timeout(settings, flat_settings),
        drain_grace=_parse_setting(
            flat_settings, "rules.stop_sending_within", DEFAULT_DRAIN_GRACE_MS, zero_allowed=True
        ),
        discovery_is_local_agent=flat_settings.get("discovery") == "push",
        log_level=log_level,
    )


def settings_needing_restart(old: BalancerConfig, new: BalancerConfig) -> list[str]:
    """Return the keys of the changed fields that take effect only after a restart."""
    changed = [field for field in BalancerConfig._fields if getattr(old, field) != getattr(new, field)]
    without_restart = APPLIED_ON_RELOAD | USED_AT_START_ONLY
    return [CONFIGURATION_KEYS[field] for field in changed if field not in without_restart]


def _parse_section(document: JsonObject, key: str) -> JsonObject:
    section = document.get(key) or {}
    if not isinstance(section, dict):
        raise ConfigError(f"{key}: expected a JSON object, got a value of type {type(section).__name__}")
    return section


def _parse_service(settings: JsonObject, flat_settings: Mapping[str, str]) -> ServiceConfig:
    service = _parse_keyed("settings", parse_service_config, flat_settings)
    service_types = settings.get("service_types")
    if not (service.service_types and isinstance(service_types, list)):
        raise ConfigError("settings.service_types: none given; expected a list of at least one service type")
    if "" in service.service_types or len(service.service_types) < len(service_types):
        raise ConfigError("settings.service_types: names must be non-empty and distinct")
    # The line protocol has no message in which a server reports its latency.
    return service._replace(reports_latency=False)


def _parse_cached_list(document: JsonObject) -> JsonObject:
    cached_list = document.get("known") or {"seq": 0, "hosts": []}
    if not (isinstance(cached_list, dict) and isinstance(cached_list.get("hosts"), list)):
        raise ConfigError("known: not an endpoint list; expected a JSON object with a list under 'hosts'")
    return cached_list


def _parse_log_level(environ: Mapping[str, str]) -> str:
    level = environ.get("LB_LOG", "INFO").upper()
    if level not in LOG_LEVELS:
        raise ConfigError(f"LB_LOG: '{level}' is not one of {', '.join(LOG_LEVELS)}")
    return level


def _parse_tenants(flat_settings: Mapping[str, str]) -> frozenset[str]:
    return frozenset(name for path, name in flat_settings.items() if TENANT_NAME_PATH.fullmatch(path))


def _parse_longest_timeout(settings: JsonObject, flat_settings: Mapping[str, str]) -> float:
    paths = [f"service_types.{index}.deadline" for index in range(len(settings["service_types"]))]
    return max(_parse_setting(flat_settings, path, DEFAULT_FLOW_TIMEOUT_MS) for path in paths)


def _parse_text(key: str, document: JsonObject, environ: Mapping[str, str], reloading: bool) -> str:
    """Return a string from the file or from its environment variable, by their precedence."""
    variable = f"LB_{key.upper()}"
    from_environment = environ.get(variable)
    from_file = document.get(key)
    value = (from_file or from_environment) if reloading else (from_environment or from_file)
    if not isinstance(value, str):
        raise ConfigError(f"{variable}: not set, and the file of LB_CONFIG has no string under '{key}'")
    return value


def _parse_setting(
    flat_settings: Mapping[str, str], path: str, default: float, zero_allowed: bool = False
) -> float:
    return _parse_amount(f"settings.{path}", flat_settings.get(path), default, zero_allowed)


def _parse_amount(key: str, value: object, default: float, zero_allowed: bool = False) -> float:
    """Parse a number that must be positive, or 0 if `zero_allowed`."""
    amount = default if value is None else _parse_keyed(key, parse_number, str(value))
    if amount < 0 or (amount == 0 and not zero_allowed):
        raise ConfigError(f"{key}: {amount:g} is not {'0 or above' if zero_allowed else 'above 0'}")
    return amount


def _parse_keyed(key: str, parse: Callable[[Value], Parsed], value: Value) -> Parsed:
    """Parse a value; prefix the message of an error with the key."""
    try:
        return parse(value)
    except InvalidValueError as error:
        raise ConfigError(f"{key}: {error}") from None
