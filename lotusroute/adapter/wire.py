"""The bench's wire: lines of text in, lines of text out, and the names that end here."""

from lotusroute.errors import InvalidValueError
from lotusroute.routing import events
from lotusroute.service_config import look_up, parse_number, parse_service_config

STATES = {"IN": events.READY, "LAME": events.DRAINING, "OUT": events.REMOVED}
SCOPES = {
    "changes": events.CHANGES,
    "all": events.COMPLETE,
    "remembered": events.CACHED,
    "refused": events.REFUSED,
}
RESULTS = {
    "S": events.OK,
    "E": events.ERROR,
    "F": events.FULL,
    "T": events.TIMEOUT,
    "C": events.UNREACHABLE,
    "R": events.RESET,
    "X": events.CANCELLED,
    "N": events.UNSENT,
}
REPEAT, MID_FLOW, RETURNED = 2, 8, 16
LOAD_CHANGED, MESSAGES_SLOW = 1, 2


def integer(text: str) -> int:
    """Read a whole number of 0 or more."""
    if not (text.isascii() and text.isdigit()):
        raise InvalidValueError(f"'{text}' is not a whole number")
    return int(text)


def boolean(text: str) -> bool:
    """Read 1 or 0."""
    if text not in ("1", "0"):
        raise InvalidValueError(f"'{text}' is neither 1 nor 0")
    return text == "1"


def text_or_none(text: str) -> str | None:
    """Read a text that may be absent."""
    return None if text == "-" else text


def vip(parts: list[str]) -> events.ServiceConfig:
    """Decode the settings of an instance."""
    env: dict[str, str] = {}
    for part in parts:
        path, equals, value = part.partition("=")
        if not equals:
            raise InvalidValueError(f"'{part}' is not a setting")
        if value not in ("null", "-"):
            env[path] = value
    return parse_service_config(env)


def row(parts: list[str]) -> events.Server:
    """Decode one line of a server list."""
    if len(parts) != 7:
        raise InvalidValueError(f"a row has 7 values, not {len(parts)}")
    server, zone, _, cell, state, size, started = parts
    return events.Server(
        server,
        zone,
        integer(cell),
        look_up(STATES, state, "lifecycle"),
        parse_number(size),
        parse_number(started),
    )


def _ask(v: list[str]) -> events.Flow:
    marks = integer(v[4])
    return events.Flow(
        integer(v[0]),
        v[1],
        text_or_none(v[2]),
        text_or_none(v[3]),
        text_or_none(v[5]),
        parse_number(v[7]),
        bool(marks & MID_FLOW),
        bool(marks & (REPEAT | RETURNED)),
    )


def _already_open(v: list[str]) -> events.ExistingConnection:
    tenant, key, group = map(text_or_none, (v[2], v[3], v[6]))
    flow = events.Flow(integer(v[0]), v[1], tenant, group, key, parse_number(v[4]))
    return events.ExistingConnection(flow, v[8])


def _resolved(v: list[str]) -> events.ConnectionEnded:
    parse_number(v[3]), integer(v[4])
    return events.ConnectionEnded(integer(v[0]), v[2], boolean(v[1]), look_up(RESULTS, v[5], "outcome"))


def _notice(v: list[str]) -> events.LoadReport | events.LatencyReport | None:
    topic, value = integer(v[3]), parse_number(v[4])
    if topic == LOAD_CHANGED:
        return events.LoadReport(integer(v[0]), value)
    return events.LatencyReport(v[2], value) if topic == MESSAGES_SLOW else None


# name of the message: how many values it has, and how they are read
EVENTS = {
    "ask": (8, _ask),
    "already_open": (9, _already_open),
    "under_way": (4, lambda v: events.Established(integer(v[0]), v[2])),
    "notice": (5, _notice),
    "resolved": (7, _resolved),
    "withdrawn": (1, lambda v: events.ClientDisconnected(integer(v[0]))),
    "alarm": (1, lambda v: events.TimerFired(v[0])),
    "checked": (4, lambda v: None),  # probes and messages of siblings: none are asked for
    "from_peer": (2, lambda v: None),
}


def event(name: str, values: list[str]) -> events.Event | None:
    """Decode one event; None for what this balancer has no use for.

    >>> event("withdrawn", ["242166553"])
    ClientDisconnected(id=242166553)
    """
    try:
        count, read = EVENTS[name]
    except KeyError:
        raise InvalidValueError(f"unknown message '{name}'") from None
    if len(values) != count:
        raise InvalidValueError(f"{name} has {count} values, not {len(values)}")
    return read(values)


ACTIONS = {
    events.Connect: lambda a: f"pass_on {a.id} {a.server} {a.within:.3f}",
    events.Reject: lambda a: f"not_now {a.id} {a.retry_after:.3f}",
    events.Abort: lambda a: f"abort {a.id}",
    events.Migrate: lambda a: f"relocate {a.id}",
    events.SetTimer: lambda a: f"remind {a.delay:.3f} {a.mark}",
    events.Subscribe: lambda a: "listen 1",
    events.OutlierEjected: lambda a: f"remark set aside {a.server}",
}


def line(action: events.Action) -> str:
    """Write one action.

    >>> line(events.Connect(7, "10.0.0.1:80", 80.0))
    'pass_on 7 10.0.0.1:80 80.000'
    """
    return ACTIONS[type(action)](action)
