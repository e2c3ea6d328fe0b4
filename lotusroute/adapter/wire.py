"""The simulator's text protocol: parses its messages into events, and formats actions as lines.

The names of messages, codes and flags are defined by the protocol and not used outside this package. Values
are separated by single spaces, `-` stands for an absent value, and times are in milliseconds. Input that
violates the protocol raises `InvalidValueError` or one of its subclasses.
"""

from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

from lotusroute.errors import ProtocolError
from lotusroute.routing import events
from lotusroute.service_config import look_up, parse_number, parse_service_config

ABSENT = "-"
NO_FLAGS = "0"
UNSET_SETTINGS = ("null", ABSENT)
SERVER_VALUE_COUNT = 7
STATES: dict[str, events.EndpointState] = {
    "IN": events.EndpointState.READY,
    "LAME": events.EndpointState.DRAINING,
    "OUT": events.EndpointState.REMOVED,
}
SCOPES: dict[str, events.ListScope] = {
    "changes": events.ListScope.CHANGES,
    "all": events.ListScope.COMPLETE,
    "remembered": events.ListScope.CACHED,
    "refused": events.ListScope.REJECTED,
}
RESULTS: dict[str, events.ConnectionResult] = {
    "S": events.ConnectionResult.OK,
    "E": events.ConnectionResult.ERROR,
    "F": events.ConnectionResult.FULL,
    "T": events.ConnectionResult.TIMEOUT,
    "C": events.ConnectionResult.UNREACHABLE,
    "R": events.ConnectionResult.RESET,
    "X": events.ConnectionResult.CANCELLED,
    "N": events.ConnectionResult.UNSENT,
}
# Bits of the flags of a new flow. They are plain integers, since an IntFlag is too slow to be parsed for
# every flow of a simulated day.
RETRY_FLAG = 2
MID_FLOW_FLAG = 8
RECONNECTING_FLAG = 16


class NoticeTopic(IntEnum):
    """The topics of `notice` messages on an open connection that are used; other topics are ignored."""

    LOAD = 1
    LATENCY = 2


def check_value_count(name: str, values: list[str], expected: int) -> None:
    """Raise `ProtocolError` if the number of values of a message is not the expected one."""
    if len(values) != expected:
        raise ProtocolError(f"'{name}' has {len(values)} values; expected {expected}")


def parse_integer(text: str) -> int:
    """Parse a non-negative integer."""
    if not (text.isascii() and text.isdigit()):
        raise ProtocolError(f"'{text}' is not a non-negative integer")
    return int(text)


def parse_boolean(text: str) -> bool:
    """Parse `1` or `0`."""
    if text not in ("1", "0"):
        raise ProtocolError(f"'{text}' is not a boolean; expected 1 or 0")
    return text == "1"


def parse_optional(text: str) -> str | None:
    """Return the text, or None if it is absent."""
    return None if text == ABSENT else text


def parse_settings(pairs: list[str]) -> events.ServiceConfig:
    """Parse the settings of an instance, each given as PATH=VALUE."""
    settings: dict[str, str] = {}
    for pair in pairs:
        path, equals, value = pair.partition("=")
        if not equals:
            raise ProtocolError(f"setting '{pair}' is not of the form PATH=VALUE")
        if value not in UNSET_SETTINGS:
            settings[path] = value
    return parse_service_config(settings)


def parse_server(values: list[str]) -> events.Server:
    """Parse one row of a server list."""
    check_value_count("row", values, SERVER_VALUE_COUNT)
    server, zone, _kind, cell, state, weight, started = values
    return events.Server(
        server,
        zone,
        parse_integer(cell),
        look_up(STATES, state, "lifecycle"),
        parse_number(weight),
        parse_number(started),
    )


def _parse_flow(values: list[str]) -> events.FlowRequest:
    flow, service_type, tenant, group, flag_bits, key, _hint, deadline = values
    flags = parse_integer(flag_bits)
    return events.FlowRequest(
        parse_integer(flow),
        service_type,
        parse_optional(tenant),
        parse_optional(group),
        parse_optional(key),
        parse_number(deadline),
        mid_flow=bool(flags & MID_FLOW_FLAG),
        reconnecting=bool(flags & (RETRY_FLAG | RECONNECTING_FLAG)),
    )


def _parse_existing_connection(values: list[str]) -> events.ExistingConnection:
    flow, service_type, tenant, key, deadline, _hint, group, _flags, server = values
    request = _parse_flow([flow, service_type, tenant, group, NO_FLAGS, key, ABSENT, deadline])
    return events.ExistingConnection(request, server)


def _parse_established(values: list[str]) -> events.Established:
    flow, _attempt, server, _latency = values
    return events.Established(parse_integer(flow), server)


def _parse_connection_ended(values: list[str]) -> events.ConnectionEnded:
    flow, final, server, latency, attempt, result, _load_report = values
    # The routing logic uses neither the latency nor the attempt, but a malformed value is still an error.
    parse_number(latency)
    parse_integer(attempt)
    return events.ConnectionEnded(
        parse_integer(flow), server, parse_boolean(final), look_up(RESULTS, result, "outcome")
    )


def _parse_notice(values: list[str]) -> events.LoadReport | events.LatencyReport | None:
    flow, _attempt, server, topic, amount = values
    number = parse_integer(topic)
    value = parse_number(amount)
    match number:
        case NoticeTopic.LOAD:
            return events.LoadReport(parse_integer(flow), value)
        case NoticeTopic.LATENCY:
            return events.LatencyReport(server, value)
        case _:
            return None


def _parse_client_disconnected(values: list[str]) -> events.ClientDisconnected:
    (flow,) = values
    return events.ClientDisconnected(parse_integer(flow))


def _parse_timer_fired(values: list[str]) -> events.TimerFired:
    (name,) = values
    return events.TimerFired(name)


def _ignore_message(_values: list[str]) -> None:
    """Ignore the result of a health check or a message from a peer; this balancer requests neither."""


class EventFormat(NamedTuple):
    """The number of values of a message, and the function that parses them."""

    value_count: int
    parse: Callable[[list[str]], events.Event | None]


EVENT_FORMATS: dict[str, EventFormat] = {
    "ask": EventFormat(8, _parse_flow),
    "already_open": EventFormat(9, _parse_existing_connection),
    "under_way": EventFormat(4, _parse_established),
    "notice": EventFormat(5, _parse_notice),
    "resolved": EventFormat(7, _parse_connection_ended),
    "withdrawn": EventFormat(1, _parse_client_disconnected),
    "alarm": EventFormat(1, _parse_timer_fired),
    "checked": EventFormat(4, _ignore_message),
    "from_peer": EventFormat(2, _ignore_message),
}


def parse_event(name: str, values: list[str]) -> events.Event | None:
    """Parse one message into an event; return None if the routing logic does not use it.

    >>> parse_event("withdrawn", ["242166553"])
    ClientDisconnected(id=242166553)
    """
    event_format = EVENT_FORMATS.get(name)
    if event_format is None:
        raise ProtocolError(f"unknown message '{name}'")
    check_value_count(name, values, event_format.value_count)
    return event_format.parse(values)


def format_action(action: events.Action) -> str:
    """Format one action as a line.

    >>> format_action(events.Connect(7, "10.0.0.1:80", 80.0))
    'pass_on 7 10.0.0.1:80 80.000'
    """
    match action:
        case events.Connect():
            return f"pass_on {action.id} {action.server} {action.timeout:.3f}"
        case events.Reject():
            return f"not_now {action.id} {action.retry_after:.3f}"
        case events.Abort():
            return f"abort {action.id}"
        case events.Migrate():
            return f"relocate {action.id}"
        case events.SetTimer():
            return f"remind {action.delay:.3f} {action.name}"
        case events.Subscribe():
            return "listen 1"
        case events.OutlierEjected():
            return f"remark set aside {action.server}"
