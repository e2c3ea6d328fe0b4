"""The fleet's configuration file, `deploy/fleet.toml`, named by the environment variable LB_FLEET.

The file is validated and defaults are applied. Every error is a `ConfigError` that names the file, the key
and the correction. The keys `keepers`, `term_ms` and `guests` are older names for the acceptors, the maximum
tenure and the maximum number of subscribers.
"""

import os
from typing import NamedTuple

from lotusroute.address import Address
from lotusroute.config_validation import (
    Document,
    check_known_keys,
    load_toml_config,
    parse_address_entry,
    parse_count,
    parse_fleet_name,
    parse_milliseconds,
    parse_name_list,
)
from lotusroute.errors import ConfigError
from lotusroute.leases.messages import LEASE_DURATION_MS, MAX_TENURE_MS, LeaseTerms

# An even number of acceptors tolerates no more failures than the odd number below it, but takes more
# messages.
ACCEPTOR_COUNTS = (3, 5, 7)
SHORTEST_LEASE_MS = 500.0  # a shorter lease would expire during a stall of its holder
# After its holder fails, a task may have no holder for the lease duration; a longer lease would leave it
# without one for minutes.
LONGEST_LEASE_MS = 60_000.0
SHORTEST_MAX_TENURE_MS = 1_000.0
LONGEST_MAX_TENURE_MS = 1e9
TASKS = ("watch", "cold", "check", "origin")  # the tasks that a process may request
# The largest number of processes of one fleet. For leases, a process connects to the acceptors only; the
# holder of the task `watch` connects to all processes.
MAX_PEERS = 1_024
MAX_SUBSCRIBERS = 4_096  # each connection of a subscriber occupies a file descriptor
KEYS = {"name", "state", "keepers", "tasks", "lease_ms", "term_ms", "peers", "guests"}


class FleetConfig(NamedTuple):
    """The configuration of the fleet at one process."""

    name: str  # the name of the fleet; connections of processes of another fleet are rejected
    state_dir: str  # the acceptor's persistent directory; may be empty if this process is not an acceptor
    peers: dict[str, Address]  # the address at which this process reaches each peer, by the peer's name
    tasks: tuple[str, ...]  # the tasks whose leases this process requests
    terms: LeaseTerms
    max_subscribers: int = 0  # the limit of relay subscribers, which connect without being peers


def load_fleet_config(path: str | os.PathLike[str]) -> FleetConfig:
    """Read and validate the file."""
    return load_toml_config("LB_FLEET", path, parse_fleet_config)


def parse_fleet_config(document: Document) -> FleetConfig:
    """Validate the parsed file.

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


def _parse_state_dir(document: Document) -> str:
    state_dir = document.get("state", "")
    if not isinstance(state_dir, str):
        raise ConfigError(f"state: {state_dir!r} is not a string; give the path of a directory")
    return state_dir


def _parse_peers(document: Document) -> dict[str, Address]:
    table = document.get("peers")
    if not isinstance(table, dict) or not 0 < len(table) <= MAX_PEERS:
        count = len(table) if isinstance(table, dict) else 0
        raise ConfigError(
            f'peers: {count} named; give 1 to {MAX_PEERS} balancers, each as NAME = "HOST:PORT"'
        )
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


def _parse_terms(document: Document, acceptors: list[str]) -> LeaseTerms:
    lease_duration = parse_milliseconds(
        document, "lease_ms", LEASE_DURATION_MS, SHORTEST_LEASE_MS, LONGEST_LEASE_MS
    )
    max_tenure = parse_milliseconds(
        document, "term_ms", MAX_TENURE_MS, SHORTEST_MAX_TENURE_MS, LONGEST_MAX_TENURE_MS
    )
    return LeaseTerms(tuple(acceptors), lease_duration=lease_duration, max_tenure=max_tenure)
