"""The endpoint list in discovery's format: JSON with one entry for each server.

Decodes a list, or changes to one, into an `EndpointUpdate`. Times in a list are Unix time in ms. An unusable
list raises one of `MALFORMED_LIST_ERRORS`; individual malformed entries are counted, logged and skipped.
"""

import logging
from collections import Counter
from typing import Any, NamedTuple, TypeAlias

from lotusroute.address import Address, parse_address
from lotusroute.errors import InvalidValueError, ProtocolError
from lotusroute.net.structured_log import log_event
from lotusroute.routing.events import EndpointState, ListScope, Server
from lotusroute.service_config import look_up, parse_number

STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
# The errors that decoding raises if keys are missing or values have unexpected types.
MALFORMED_LIST_ERRORS = (KeyError, TypeError, ValueError, AttributeError, InvalidValueError)
MAX_LOGGED_ENTRY_LENGTH = 200  # characters

# A list as discovery sends it, not validated yet: `seq` is its version, `whole` says whether it is complete
# or only changes, and `hosts` has an entry for each server.
EndpointListMessage: TypeAlias = dict[str, Any]


class EndpointUpdate(NamedTuple):
    """A list of servers, or changes to it, with the addresses of the servers."""

    scope: ListScope
    servers: tuple[Server, ...]
    addresses: dict[str, Address]  # address of each server by its id, without removed servers
    # When the list before this update was last known to be current, in seconds of the monotonic clock; None
    # if there was no list.
    previous_list_at: float | None = None


class EndpointEntry(NamedTuple):
    """One server of a list, and its address unless the server was removed."""

    server: Server
    address: Address | None


def parse_endpoint_list(
    message: EndpointListMessage, scope: ListScope, counters: Counter[str] | None = None
) -> EndpointUpdate:
    """Decode a list in discovery's format.

    Malformed entries are counted, logged and skipped: one of them must not hide that other servers drain.
    Raises ProtocolError if there are entries and all of them are malformed.

    >>> entry = {"host": "s-1", "dial": "10.1.0.18:9000", "health": "SERVING", "born_ms": 0}
    >>> parse_endpoint_list({"hosts": [entry, 7]}, ListScope.COMPLETE).addresses
    {'s-1': Address(host='10.1.0.18', port=9000)}
    """
    servers: list[Server] = []
    addresses: dict[str, Address] = {}
    malformed: list[str] = []
    for value in message["hosts"]:
        try:
            server, address = _parse_entry(value)
        except (*MALFORMED_LIST_ERRORS, OverflowError) as error:
            malformed.append(f"{type(error).__name__}: {error} in {value!r}"[:MAX_LOGGED_ENTRY_LENGTH])
            continue
        servers.append(server)
        if address is not None:
            addresses[server.id] = address
    if malformed:
        if counters is not None:
            counters["malformed_list_entries"] += len(malformed)
        log_event("malformed list entries", logging.WARNING, entries=len(malformed), first=malformed[0])
        if not servers:
            raise ProtocolError(malformed[0])
    return EndpointUpdate(scope, tuple(servers), addresses)


def _parse_entry(value: dict[str, Any]) -> EndpointEntry:
    state = look_up(STATES, value["health"], "health")
    name = value["host"]
    if not (isinstance(name, str) and name):
        raise ProtocolError(f"host: expected a non-empty string, got {name!r}")
    address = None if state == EndpointState.REMOVED else parse_address(value["dial"])
    server = Server(
        id=name,
        zone=str(value.get("site", "")),
        cell=int(value.get("block") or 0),
        state=state,
        weight=parse_number(str(value.get("share", 1.0))),
        started_at=parse_number(str(value.get("born_ms") or 0)),
    )
    return EndpointEntry(server, address)


def parse_version(seq: object) -> int:
    """Return the version of a list; raises ProtocolError unless it is a non-negative integer.

    >>> parse_version(41)
    41
    """
    if isinstance(seq, bool) or not isinstance(seq, int) or seq < 0:
        raise ProtocolError(f"seq: expected a non-negative integer, got {seq!r}")
    return seq
