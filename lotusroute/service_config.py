"""Decodes what is known of a virtual ip at the start, for every host of the decisions.

The settings come as a flat table of paths and texts; `flatten` makes one of nested JSON.
"""

import math
from collections.abc import Iterator, Mapping

from lotusroute.routing import events

FLAGS = {"true": True, "false": False}
UNTOLD = "non_idempotent"  # the effect where none is told: the one that is never repeated in error
KINDS = {
    "read_like": events.REPEATABLE,
    "idempotency_key": events.REFERENCED,
    "non_idempotent": events.ONCE_ONLY,
}


class Malformed(Exception):
    """A text that does not belong where it was read; says where and why."""


def number(text: str) -> float:
    """Read a finite number; `-` is 0.

    >>> number("8652.25"), number("-")
    (8652.25, 0.0)
    """
    if text == "-":
        return 0.0
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise Malformed(f"'{text}' is not a number")
    return value


def one_of(table: Mapping, text: str, what: str):
    """Translate a word by a table."""
    try:
        return table[text]
    except KeyError:
        raise Malformed(f"unknown {what} '{text}'") from None


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Write nested JSON as paths and texts; a list has its length under `.count`.

    >>> dict(flatten({"a": {"b": True, "c": None}, "d": [{"e": 1.5}], "f": ["x", "y"]}))
    {'a.b': 'true', 'd.count': '1', 'd.0.e': '1.5', 'f.count': '2', 'f.0': 'x', 'f.1': 'y'}
    """
    if isinstance(value, dict):
        inner = value.items()
    elif isinstance(value, list):
        yield f"{path}.count", str(len(value))
        inner = enumerate(value)
    else:
        if value is not None:
            yield path, str(value).lower() if isinstance(value, bool) else str(value)
        return
    for key, item in inner:
        yield from flatten(item, f"{path}.{key}" if path else str(key))


def vip(env: Mapping[str, str]) -> events.Vip:
    """Decode the settings; unknown ones are passed over, a bad one is named.

    >>> vip({"service_types.count": "1", "service_types.0.name": "live"}).service_types
    {'live': ServiceType(setup_target=0.0, kind='once-only', group='all', window=0.0)}
    """

    def figure(path: str, text: str, least: float = 0.0, most: float = math.inf) -> float:
        try:
            value = number(text)
        except Malformed as fault:
            raise Malformed(f"{path}: {fault}") from None
        if not least <= value <= most:
            raise Malformed(f"{path}: {value:g} is not between {least:g} and {most:g}")
        return value

    def get(path: str, default: float = 0.0, **bounds: float) -> float:
        return figure(path, env[path], **bounds) if path in env else default

    def flag(path: str) -> bool:
        return one_of(FLAGS, env.get(path, "false"), f"{path}, which is true or false:")

    # One figure a service type: the wire joins them with commas, nested JSON tells their number.
    path = "family_info.message_aim"
    targets = env.get(path, "").split(",")
    targets += [env.get(f"{path}.{at}", "") for at in range(int(get(f"{path}.count")))]
    message_target = min((figure(path, text) for text in targets if text), default=0.0)
    service_types = {}
    for at in range(int(get("service_types.count"))):
        path = f"service_types.{at}."
        service_types[env.get(path + "name", "")] = events.ServiceType(
            setup_target=get(path + "setup_target"),
            kind=one_of(KINDS, env.get(path + "effect", UNTOLD), path + "effect"),
            group=env.get(path + "group", "all"),
            window=get(path + "window"),
        )
    return events.Vip(
        service_types=service_types,
        me=int(get("me")),
        siblings=int(get("siblings", 1, least=1)),
        shares_work=flag("family_info.groups"),
        sizes_hold=env.get("weights", "silent") in ("nominal", "rough"),
        tells_delay=flag("family_info.tells_delay"),
        message_target=message_target,
        must_ask=env.get("discovery") == "ask",
        ask_every=get("rules.ask_every", 10_000.0),
        max_connects=int(get("limits.max_connects", 1, least=1)),
        max_retry_after=get("limits.max_retry_after") if flag("limits.retry_after") else 0.0,
        cold_from=get("rules.cold_from", 1.0, most=1.0),
        warm_after=get("rules.warm_after"),
        tip_multiple=get("rules.tip_multiple", 1.0),
    )
