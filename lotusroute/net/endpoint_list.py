"""The endpoint list in discovery's format: JSON with one entry for each server.

Decodes a list, or changes to one, into an `EndpointUpdate`. Times in it are Unix time in ms. Input that
cannot be used raises one of `MALFORMED_LIST_ERRORS`; single malformed entries are counted, logged and left
out.
"""

import logging
from collections import Counter
from typing import NamedTuple

from lotusroute.address import Address, parse_address
from lotusroute.errors import InvalidValueError, ProtocolError
from lotusroute.net.structured_log import log_event
from lotusroute.routing import events
from lotusroute.service_config import look_up, parse_number

STATES = {
    "SERVING": events.EndpointState.READY,
    "DRAINING": events.EndpointState.DRAINING,
    "DELETED": events.EndpointState.REMOVED,
}
# What decoding raises where keys lack or values have other types than expected.
MALFORMED_LIST_ERRORS = (KeyError, TypeError, ValueError, AttributeError, InvalidValueError)
MAX_LOGGED_ENTRY = 200  # characters of a malformed entry in the log


class EndpointUpdate(NamedTuple):
    """A list of servers, or changes to it, with the address of each server."""

    scope: str  # a scope of `routing.events`
    servers: tuple[events.Server, ...]
    dials: dict[str, Address]
    # s of the monotonic clock at which the list before this update was last known to be current; None where
    # there was none
    previous_list_at: float | None = None


def parse_endpoint_list(message: dict, scope: str, counters: Counter | None = None) -> EndpointUpdate:
    """Decode a list in discovery's format.

    Malformed entries are counted and logged, the others used: one of them must not hide that servers drain.
    Raises ProtocolError where there are entries and all are malformed.

    >>> entry = {"host": "s-1", "dial": "10.1.0.18:9000", "health": "SERVING", "born_ms": 0}
    >>> parse_endpoint_list({"hosts": [entry, 7]}, events.ListScope.COMPLETE).dials
    {'s-1': Address(host='10.1.0.18', port=9000)}
    """
    servers: list[events.Server] = []
    dials: dict[str, Address] = {}
    malformed: list[str] = []
    for entry in message["hosts"]:
        try:
            server, address = _parse_entry(entry)
        except (*MALFORMED_LIST_ERRORS, OverflowError) as error:
            malformed.append(f"{type(error).__name__}: {error} in {entry!r}"[:MAX_LOGGED_ENTRY])
            continue
        servers.append(server)
        if address is not None:
            dials[server.id] = address
    if malformed:
        if counters is not None:
            counters["malformed_list_entries"] += len(malformed)
        log_event("malformed list entries", logging.WARNING, entries=len(malformed), first=malformed[0])
        if not servers:
            raise ProtocolError(malformed[0])
    return EndpointUpdate(scope, tuple(servers), dials)


def _parse_entry(entry: dict) -> tuple[events.Server, Address | None]:
    """Decode one entry; the address is None for a server that was removed."""
    state = look_up(STATES, entry["health"], "health")
    name = entry["host"]
    if not (isinstance(name, str) and name):
        raise ProtocolError(f"host: {name!r} is no name")
    address = None if state == events.EndpointState.REMOVED else parse_address(entry["dial"])
    server = events.Server(
        name,
        str(entry.get("site", "")),
        int(entry.get("block") or 0),
        state,
        parse_number(str(entry.get("share", 1.0))),
        parse_number(str(entry.get("born_ms") or 0)),
    )
    return server, address


def parse_version(seq: object) -> int:
    """Check a list's version.

    >>> parse_version(41)
    41
    """
    if isinstance(seq, bool) or not isinstance(seq, int) or seq < 0:
        raise ProtocolError(f"seq: {seq!r} is no version")
    return seq
