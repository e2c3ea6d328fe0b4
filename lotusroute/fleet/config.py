"""The operator's file on the fleet, `deploy/fleet.toml`, named by LB_FLEET.

Owns how it is read, checked and given defaults. It must never open a socket, and an error names the file, the
key and the mend.
"""

import os
import pathlib
import tomllib
from typing import NamedTuple

from lotusroute.leases.messages import LEASE, TERM, Terms
from lotusroute.net.config import address
from lotusroute.service_config import Malformed

KEEPERS = 3, 5, 7  # an even set bears no more losses than the odd one below it, and asks one more
LEASES = 500.0, 60_000.0  # ms: shorter ones end in a stall of ours, longer ones are a failure of minutes
TASKS = ("watch", "cold", "check", "origin")  # what a balancer may ask for
PEERS = 1_024  # balancers of one fleet: each keeps a connection to the keepers only
GUESTS = 4_096  # that may come in without being peers, at most: each holds a descriptor
KEYS = {"name", "state", "keepers", "tasks", "lease_ms", "term_ms", "peers", "guests"}


class Plan(NamedTuple):
    """The fleet, as one balancer is told of it."""

    name: str  # of the fleet: who says another is a stranger
    state: str  # folder that outlives the process; empty where this balancer keeps nothing
    peers: dict[str, tuple[str, int]]  # by balancer's name, where this balancer reaches it
    tasks: tuple[str, ...]
    terms: Terms
    guests: int = 0  # that may come in without being peers: who follows a relay


def read(path: str | os.PathLike) -> Plan:
    """Read and check the file."""
    try:
        told = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as fault:
        raise Malformed(f"LB_FLEET: {path}: {fault}") from None
    try:
        return plan(told)
    except Malformed as fault:
        raise Malformed(f"LB_FLEET: {path}: {fault}") from None


def plan(told: dict) -> Plan:
    """Check what the file tells.

    >>> plan({"name": "f", "keepers": ["a", "b", "c"], "peers": {"a": "127.0.0.1:1", "b": "127.0.0.1:2"}})
    Traceback (most recent call last):
    lotusroute.service_config.Malformed: keepers: 'c' is not among peers; add its address there
    """
    unknown = sorted(set(told) - KEYS)
    if unknown:
        raise Malformed(f"{unknown[0]}: no such key; there are {', '.join(sorted(KEYS))}")

    def words(key: str) -> list[str]:
        value = told.get(key, [])
        if not isinstance(value, list) or not all(isinstance(word, str) and word for word in value):
            raise Malformed(f"{key}: give a list of names")
        if len(set(value)) < len(value):
            raise Malformed(f"{key}: a name stands twice")
        return value

    def ms(key: str, default: float, least: float, most: float) -> float:
        value = told.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
            raise Malformed(f"{key}: give milliseconds from {least:g} to {most:g}")
        return float(value)

    name, state, peers = told.get("name"), told.get("state", ""), told.get("peers")
    if not isinstance(name, str) or not name:
        raise Malformed("name: not set; give the fleet's")
    if not isinstance(state, str):
        raise Malformed("state: give the path of a folder")
    if not isinstance(peers, dict) or not 0 < len(peers) <= PEERS:
        raise Malformed(f'peers: give 1 to {PEERS} balancers, each as NAME = "HOST:PORT"')
    found = {}
    for peer, where in peers.items():
        try:
            found[peer] = address(str(where))
        except Malformed as fault:
            raise Malformed(f"peers.{peer}: {fault}") from None
    keepers, tasks = words("keepers"), words("tasks")
    if len(keepers) not in KEEPERS:
        raise Malformed(f"keepers: {len(keepers)} named; give 3, 5 or 7")
    for keeper in keepers:
        if keeper not in found:
            raise Malformed(f"keepers: '{keeper}' is not among peers; add its address there")
    for task in tasks:
        if task not in TASKS:
            raise Malformed(f"tasks: '{task}' is none of {', '.join(TASKS)}")
    guests = told.get("guests", 0)
    if isinstance(guests, bool) or not isinstance(guests, int) or not 0 <= guests <= GUESTS:
        raise Malformed(f"guests: give a number from 0 to {GUESTS}")
    lease, term = ms("lease_ms", LEASE, *LEASES), ms("term_ms", TERM, 1_000.0, 1e9)
    terms = Terms(tuple(keepers), lease=lease, term=term)
    return Plan(name, state, found, tuple(tasks), terms, guests)
