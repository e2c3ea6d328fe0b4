"""What a balancer is told at its start, and anew while it runs.

Owns the LB_* variables and the file that LB_CONFIG names: the one place where they are read, checked and
given defaults. It must never open a socket, and nothing else may look at the environment.
"""

import json
import os
import re
from collections.abc import Mapping
from typing import NamedTuple

from lotusroute.errors import InvalidValueError
from lotusroute.routing.events import ServiceConfig
from lotusroute.service_config import flatten, parse_number, parse_service_config

SOCKETS = 1024.0  # descriptors, where no limit is told: what a process usually may hold
MEMORY = 1024.0  # MB, where no limit is told: more than all descriptors can fill
COME_UP = 250.0  # ms for a connection to come up, where none is told: a far site and one lost packet
GRACE = 500.0  # ms after news of a drain in which a server may be sent to, where none is told: the least met
LONGEST = 3_000.0  # ms, the connect timeout of a service type for which none is told
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
APPLIED = {"discovery", "sockets", "memory_mb"}  # what a running balancer takes over; else it must restart
FRESH = {"seed", "cached_list"}  # new at each start, and nothing to one that runs
# The name of each field in the log's `needs_restart=`, which operators read: it outlives a renamed field.
LOGGED_NAMES = {
    "name": "name",
    "listen": "listen",
    "discovery": "discovery",
    "seed": "seed",
    "sockets": "sockets",
    "memory_mb": "memory_mb",
    "tenants": "tenants",
    "cached_list": "known",
    "service": "vip",
    "connect_timeout": "come_up",
    "longest_connect_timeout": "longest",
    "drain_grace": "grace",
    "discovery_pushed": "pushed",
    "log_level": "log_level",
}


class BalancerConfig(NamedTuple):
    """Where this balancer stands and what it serves."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    tenants: frozenset[str]  # those that may ask; empty where none are told
    cached_list: dict  # the server list as last held, in discovery's form
    service: ServiceConfig
    connect_timeout: float  # ms for a connection to a server to come up
    longest_connect_timeout: float  # connect timeout of the most patient service type
    drain_grace: float  # ms after news of a drain until nothing may be sent to the server any more
    discovery_pushed: bool  # an agent of this machine has the server list
    log_level: str


def parse_address(text: str) -> tuple[str, int]:
    """Read host:port.

    >>> parse_address("10.0.0.4:9000")
    ('10.0.0.4', 9000)
    """
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise InvalidValueError(f"'{text}' is not host:port")
    return host, int(port)


def load_config(environ: Mapping[str, str], anew: bool = False) -> BalancerConfig:
    """Read all that the balancer is told; a key that is missing or bad is named.

    Read `anew`, the file goes before the environment: that is still the one of the start, and following its
    address of discovery after the file has named another left a balancer with a list that nobody renews.
    """
    path = environ.get("LB_CONFIG")
    if not path:
        raise InvalidValueError("LB_CONFIG: not set")
    try:
        told = read_json_object(path)
    except InvalidValueError as fault:
        raise InvalidValueError(f"LB_CONFIG: {fault}") from None
    return parse_config(told, environ, anew)


def fleet_config_path(environ: Mapping[str, str]) -> str:
    """The operator's file on the fleet; empty where the fleet's parts are off, as on the platform."""
    return environ.get("LB_FLEET", "")


def relays_config_path(environ: Mapping[str, str]) -> str:
    """The operator's file on relays; empty where they are off, as on the platform."""
    return environ.get("LB_RELAYS", "")


def read_json_object(path: str | os.PathLike) -> dict:
    """Read the file, as far as that it is a JSON object."""
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError) as fault:
        raise InvalidValueError(str(fault)) from None
    if not isinstance(told, dict):
        raise InvalidValueError("not a JSON object")
    return told


def parse_config(told: dict, environ: Mapping[str, str], anew: bool = False) -> BalancerConfig:
    """Check what a file tells, beside what the environment does."""
    settings = told.get("settings") or {}
    if not isinstance(settings, dict):
        raise InvalidValueError("settings: not a JSON object")
    env = dict(flatten(settings))

    def text(key: str) -> str:
        said = environ.get(f"LB_{key.upper()}"), told.get(key)
        value = (said[1] or said[0]) if anew else (said[0] or said[1])
        if not isinstance(value, str):
            raise InvalidValueError(f"LB_{key.upper()}: not set, and no {key} in LB_CONFIG")
        return value

    def checked(key: str, read, value: object):
        try:
            return read(value)
        except InvalidValueError as fault:
            raise InvalidValueError(f"{key}: {fault}") from None

    def figure(key: str, value: object, default: float, none: bool = False) -> float:
        value = default if value is None else checked(key, parse_number, str(value))
        if value < 0 or not (value or none):
            raise InvalidValueError(f"{key}: {value:g} is not above 0")
        return value

    vip = checked("settings", parse_service_config, env)
    types = settings.get("service_types")
    if not (vip.service_types and isinstance(types, list)):
        raise InvalidValueError("settings.service_types: none given")
    if "" in vip.service_types or len(vip.service_types) < len(types):
        raise InvalidValueError("settings.service_types: each needs a name of its own")
    deadlines = (f"service_types.{at}.deadline" for at in range(len(types)))
    known = told.get("known") or {"seq": 0, "hosts": []}
    if not (isinstance(known, dict) and isinstance(known.get("hosts"), list)):
        raise InvalidValueError("known: not a server list")
    limits = told.get("limits") or {}
    if not isinstance(limits, dict):
        raise InvalidValueError("limits: not a JSON object")
    level = environ.get("LB_LOG", "INFO").upper()
    if level not in LEVELS:
        raise InvalidValueError(f"LB_LOG: '{level}' is none of {', '.join(LEVELS)}")
    return BalancerConfig(
        name=text("name"),
        listen=checked("LB_LISTEN", parse_address, text("listen")),
        discovery=checked("LB_DISCOVERY", parse_address, text("discovery")),
        seed=int.from_bytes(str(told.get("seed", "")).encode()),
        sockets=int(figure("limits.sockets", limits.get("sockets"), SOCKETS)),
        memory_mb=figure("limits.memory_mb", limits.get("memory_mb"), MEMORY),
        tenants=frozenset(env[key] for key in env if re.fullmatch(r"tenants\.\d+\.name", key)),
        cached_list=known,
        # The protocol has no frame in which a server says it is slow.
        service=vip._replace(reports_latency=False),
        connect_timeout=figure("settings.limits.connect_timeout", env.get("limits.connect_timeout"), COME_UP),
        longest_connect_timeout=max(figure(f"settings.{path}", env.get(path), LONGEST) for path in deadlines),
        drain_grace=figure(
            "settings.rules.stop_sending_within", env.get("rules.stop_sending_within"), GRACE, none=True
        ),
        discovery_pushed=env.get("discovery") == "push",
        log_level=level,
    )


def settings_needing_restart(old: BalancerConfig, new: BalancerConfig) -> list[str]:
    """Name what has changed and cannot be taken over by a balancer that runs."""
    changed = (name for name in BalancerConfig._fields if getattr(old, name) != getattr(new, name))
    return [LOGGED_NAMES[name] for name in changed if name not in APPLIED | FRESH]
