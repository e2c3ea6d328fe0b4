"""The bench's wire: lines of text in, lines of text out, and the names that end here."""

from lotusroute import interface as i
from lotusroute.vip import Malformed, number, one_of
from lotusroute.vip import vip as decode_vip

STATES = {"IN": i.READY, "LAME": i.DRAINING, "OUT": i.GONE}
SCOPES = {"changes": i.CHANGES, "all": i.WHOLE, "remembered": i.REMEMBERED, "refused": i.REFUSED}
RESULTS = {
    "S": i.OK,
    "E": i.ERROR,
    "F": i.FULL,
    "T": i.TIMEOUT,
    "C": i.UNREACHABLE,
    "R": i.RESET,
    "X": i.CANCELLED,
    "N": i.UNSENT,
}
REPEAT, MID_FLOW, RETURNED = 2, 8, 16
LOAD_CHANGED, MESSAGES_SLOW = 1, 2


def integer(text: str) -> int:
    """Read a whole number of 0 or more."""
    if not (text.isascii() and text.isdigit()):
        raise Malformed(f"'{text}' is not a whole number")
    return int(text)


def boolean(text: str) -> bool:
    """Read 1 or 0."""
    if text not in ("1", "0"):
        raise Malformed(f"'{text}' is neither 1 nor 0")
    return text == "1"


def text_or_none(text: str) -> str | None:
    """Read a text that may be absent."""
    return None if text == "-" else text


def vip(parts: list[str]) -> i.Vip:
    """Decode the settings of an instance."""
    env: dict[str, str] = {}
    for part in parts:
        path, equals, value = part.partition("=")
        if not equals:
            raise Malformed(f"'{part}' is not a setting")
        if value not in ("null", "-"):
            env[path] = value
    return decode_vip(env)


def row(parts: list[str]) -> i.Server:
    """Decode one line of a server list."""
    if len(parts) != 7:
        raise Malformed(f"a row has 7 values, not {len(parts)}")
    server, zone, _, cell, state, size, started = parts
    return i.Server(
        server, zone, integer(cell), one_of(STATES, state, "lifecycle"), number(size), number(started)
    )


def _ask(v: list[str]) -> i.Flow:
    marks = integer(v[4])
    return i.Flow(
        integer(v[0]),
        v[1],
        text_or_none(v[2]),
        text_or_none(v[3]),
        text_or_none(v[5]),
        number(v[7]),
        bool(marks & MID_FLOW),
        bool(marks & (REPEAT | RETURNED)),
    )


def _already_open(v: list[str]) -> i.AlreadyOpen:
    tenant, key, group = map(text_or_none, (v[2], v[3], v[6]))
    flow = i.Flow(integer(v[0]), v[1], tenant, group, key, number(v[4]))
    return i.AlreadyOpen(flow, v[8])


def _resolved(v: list[str]) -> i.Ended:
    number(v[3]), integer(v[4])
    return i.Ended(integer(v[0]), v[2], boolean(v[1]), one_of(RESULTS, v[5], "outcome"))


def _notice(v: list[str]) -> i.LoadNoted | i.DelayNoted | None:
    topic, value = integer(v[3]), number(v[4])
    if topic == LOAD_CHANGED:
        return i.LoadNoted(integer(v[0]), value)
    return i.DelayNoted(v[2], value) if topic == MESSAGES_SLOW else None


# name of the message: how many values it has, and how they are read
EVENTS = {
    "ask": (8, _ask),
    "already_open": (9, _already_open),
    "under_way": (4, lambda v: i.Established(integer(v[0]), v[2])),
    "notice": (5, _notice),
    "resolved": (7, _resolved),
    "withdrawn": (1, lambda v: i.Withdrawn(integer(v[0]))),
    "alarm": (1, lambda v: i.Wake(v[0])),
    "checked": (4, lambda v: None),  # probes and messages of siblings: none are asked for
    "from_peer": (2, lambda v: None),
}


def event(name: str, values: list[str]) -> i.Event | None:
    """Decode one event; None for what this balancer has no use for.

    >>> event("withdrawn", ["242166553"])
    Withdrawn(id=242166553)
    """
    try:
        count, read = EVENTS[name]
    except KeyError:
        raise Malformed(f"unknown message '{name}'") from None
    if len(values) != count:
        raise Malformed(f"{name} has {count} values, not {len(values)}")
    return read(values)


ACTIONS = {
    i.Connect: lambda a: f"pass_on {a.id} {a.server} {a.within:.3f}",
    i.Reject: lambda a: f"not_now {a.id} {a.retry_after:.3f}",
    i.Abort: lambda a: f"abort {a.id}",
    i.Move: lambda a: f"relocate {a.id}",
    i.WakeMe: lambda a: f"remind {a.delay:.3f} {a.mark}",
    i.Subscribe: lambda a: "listen 1",
    i.Say: lambda a: f"remark {a.line}",
}


def line(action: i.Action) -> str:
    """Write one action.

    >>> line(i.Connect(7, "10.0.0.1:80", 80.0))
    'pass_on 7 10.0.0.1:80 80.000'
    """
    return ACTIONS[type(action)](action)
