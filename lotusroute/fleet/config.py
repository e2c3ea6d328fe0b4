"""The operator's file on the fleet, `deploy/fleet.toml`, named by LB_FLEET.

Owns how it is read, checked and given defaults. It must never open a socket, and an error names the file, the
key and the mend.
"""

import os
import pathlib
import tomllib
from typing import NamedTuple

from lotusroute.errors import InvalidValueError
from lotusroute.leases.messages import LEASE_DURATION, MAX_TENURE, LeaseTerms
from lotusroute.net.config import parse_address

ACCEPTOR_COUNTS = 3, 5, 7  # an even set bears no more losses than the odd one below it, and asks one more
LEASE_DURATION_LIMITS = (
    500.0,
    60_000.0,
)  # ms: shorter ones end in a stall of ours, longer ones are a failure of minutes
TASKS = ("watch", "cold", "check", "origin")  # what a balancer may ask for
MAX_PEERS = 1_024  # balancers of one fleet: each keeps a connection to the keepers only
MAX_SUBSCRIBERS = 4_096  # that may come in without being peers, at most: each holds a descriptor
KEYS = {"name", "state", "keepers", "tasks", "lease_ms", "term_ms", "peers", "guests"}


class FleetConfig(NamedTuple):
    """The fleet, as one balancer is told of it."""

    name: str  # of the fleet: who says another is a stranger
    state_dir: str  # folder that outlives the process; empty where this balancer keeps nothing
    peers: dict[str, tuple[str, int]]  # by balancer's name, where this balancer reaches it
    tasks: tuple[str, ...]
    terms: LeaseTerms
    max_subscribers: int = 0  # that may come in without being peers: who follows a relay


def load_fleet_config(path: str | os.PathLike) -> FleetConfig:
    """Read and check the file."""
    try:
        document = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as fault:
        raise InvalidValueError(f"LB_FLEET: {path}: {fault}") from None
    try:
        return parse_fleet_config(document)
    except InvalidValueError as fault:
        raise InvalidValueError(f"LB_FLEET: {path}: {fault}") from None


def parse_fleet_config(document: dict) -> FleetConfig:
    """Check what the file tells.

    >>> peers = {"a": "127.0.0.1:1", "b": "127.0.0.1:2"}
    >>> parse_fleet_config({"name": "f", "keepers": ["a", "b", "c"], "peers": peers})
    Traceback (most recent call last):
    lotusroute.errors.InvalidValueError: keepers: 'c' is not among peers; add its address there
    """
    unknown = sorted(set(document) - KEYS)
    if unknown:
        raise InvalidValueError(f"{unknown[0]}: no such key; there are {', '.join(sorted(KEYS))}")

    def words(key: str) -> list[str]:
        value = document.get(key, [])
        if not isinstance(value, list) or not all(isinstance(word, str) and word for word in value):
            raise InvalidValueError(f"{key}: give a list of names")
        if len(set(value)) < len(value):
            raise InvalidValueError(f"{key}: a name stands twice")
        return value

    def ms(key: str, default: float, least: float, most: float) -> float:
        value = document.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise InvalidValueError(f"{key}: give milliseconds from {least:g} to {most:g}")
        return float(value)

    name, state_dir, peers = document.get("name"), document.get("state", ""), document.get("peers")
    if not isinstance(name, str) or not name:
        raise InvalidValueError("name: not set; give the fleet's")
    if not isinstance(state_dir, str):
        raise InvalidValueError("state: give the path of a folder")
    if not isinstance(peers, dict) or not 0 < len(peers) <= MAX_PEERS:
        raise InvalidValueError(f'peers: give 1 to {MAX_PEERS} balancers, each as NAME = "HOST:PORT"')
    found = {}
    for peer, where in peers.items():
        try:
            found[peer] = parse_address(str(where))
        except InvalidValueError as fault:
            raise InvalidValueError(f"peers.{peer}: {fault}") from None
    acceptors, tasks = words("keepers"), words("tasks")
    if len(acceptors) not in ACCEPTOR_COUNTS:
        raise InvalidValueError(f"keepers: {len(acceptors)} named; give 3, 5 or 7")
    for acceptor in acceptors:
        if acceptor not in found:
            raise InvalidValueError(f"keepers: '{acceptor}' is not among peers; add its address there")
    for task in tasks:
        if task not in TASKS:
            raise InvalidValueError(f"tasks: '{task}' is none of {', '.join(TASKS)}")
    max_subscribers = document.get("guests", 0)
    if (
        isinstance(max_subscribers, bool)
        or not isinstance(max_subscribers, int)
        or not 0 <= max_subscribers <= MAX_SUBSCRIBERS
    ):
        raise InvalidValueError(f"guests: give a number from 0 to {MAX_SUBSCRIBERS}")
    lease_duration, max_tenure = (
        ms("lease_ms", LEASE_DURATION, *LEASE_DURATION_LIMITS),
        ms("term_ms", MAX_TENURE, 1_000.0, 1e9),
    )
    terms = LeaseTerms(tuple(acceptors), lease_duration=lease_duration, max_tenure=max_tenure)
    return FleetConfig(name, state_dir, found, tuple(tasks), terms, max_subscribers)
