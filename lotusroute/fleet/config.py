"""The fleet's configuration file, `deploy/fleet.toml`, named by the environment variable LB_FLEET.

Reads and checks the file and applies defaults. Every error is a `ConfigError` that names the file, the key
and the correction.
"""

import os
from typing import Any, NamedTuple

from lotusroute.address import Address
from lotusroute.config_validation import (
    check_known_keys,
    load_toml_config,
    parse_address_entry,
    parse_count,
    parse_fleet_name,
    parse_milliseconds,
    parse_name_list,
)
from lotusroute.errors import ConfigError
from lotusroute.leases.messages import LEASE_DURATION, MAX_TENURE, LeaseTerms

ACCEPTOR_COUNTS = (
    3,
    5,
    7,
)  # an even number tolerates no more failures than the odd one below, at more messages
LEASE_DURATION_LIMITS = (
    500.0,
    60_000.0,
)  # ms: a stall ends shorter leases; longer ones mean minutes of failure
MAX_TENURE_LIMITS = 1_000.0, 1e9  # ms
TASKS = ("watch", "cold", "check", "origin")  # the tasks that a balancer may request
MAX_PEERS = 1_024  # balancers of one fleet: each keeps connections to the acceptors only
MAX_SUBSCRIBERS = 4_096  # connections of processes that are not peers: each occupies a descriptor
KEYS = {"name", "state", "keepers", "tasks", "lease_ms", "term_ms", "peers", "guests"}


class FleetConfig(NamedTuple):
    """The fleet as configured at one balancer."""

    name: str  # of the fleet: connections of processes that name another are rejected
    state_dir: str  # directory that outlives the process; empty if this balancer stores nothing
    peers: dict[str, Address]  # by the balancer's name, the address at which this balancer reaches it
    tasks: tuple[str, ...]
    terms: LeaseTerms
    max_subscribers: int = 0  # processes that may connect without being peers: subscribers of a relay


def load_fleet_config(path: str | os.PathLike[str]) -> FleetConfig:
    """Read and check the file."""
    return load_toml_config("LB_FLEET", path, parse_fleet_config)


def parse_fleet_config(document: dict[str, Any]) -> FleetConfig:
    """Check the parsed file.

    >>> peers = {"a": "127.0.0.1:1", "b": "127.0.0.1:2"}
    >>> parse_fleet_config({"name": "f", "keepers": ["a", "b", "c"], "peers": peers})
    Traceback (most recent call last):
    lotusroute.errors.ConfigError: keepers: 'c' is not among peers; add its address there
    """
    check_known_keys(document, KEYS)
    name = parse_fleet_name(document)
    state_dir = _parse_state_dir(document)
    peers = _parse_peers(document)
    acceptors = parse_name_list(document, "keepers")
    tasks = parse_name_list(document, "tasks")
    _check_acceptors(acceptors, peers)
    _check_tasks(tasks)
    max_subscribers = parse_count(document, "guests", MAX_SUBSCRIBERS)
    terms = _parse_terms(document, acceptors)
    return FleetConfig(name, state_dir, peers, tuple(tasks), terms, max_subscribers)


def _parse_state_dir(document: dict[str, Any]) -> str:
    state_dir = document.get("state", "")
    if not isinstance(state_dir, str):
        raise ConfigError("state: give the path of a folder")
    return state_dir


def _parse_peers(document: dict[str, Any]) -> dict[str, Address]:
    table = document.get("peers")
    if not isinstance(table, dict) or not 0 < len(table) <= MAX_PEERS:
        raise ConfigError(f'peers: give 1 to {MAX_PEERS} balancers, each as NAME = "HOST:PORT"')
    return {peer: parse_address_entry(f"peers.{peer}", address) for peer, address in table.items()}


def _check_acceptors(acceptors: list[str], peers: dict[str, Address]) -> None:
    if len(acceptors) not in ACCEPTOR_COUNTS:
        raise ConfigError(f"keepers: {len(acceptors)} named; give 3, 5 or 7")
    for acceptor in acceptors:
        if acceptor not in peers:
            raise ConfigError(f"keepers: '{acceptor}' is not among peers; add its address there")


def _check_tasks(tasks: list[str]) -> None:
    for task in tasks:
        if task not in TASKS:
            raise ConfigError(f"tasks: '{task}' is none of {', '.join(TASKS)}")


def _parse_terms(document: dict[str, Any], acceptors: list[str]) -> LeaseTerms:
    lease_duration = parse_milliseconds(document, "lease_ms", LEASE_DURATION, *LEASE_DURATION_LIMITS)
    max_tenure = parse_milliseconds(document, "term_ms", MAX_TENURE, *MAX_TENURE_LIMITS)
    return LeaseTerms(tuple(acceptors), lease_duration=lease_duration, max_tenure=max_tenure)
