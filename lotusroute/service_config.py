"""Decodes what is known of a virtual ip at the start, for every host of the decisions.

The settings come as a flat table of paths and texts; `flatten` makes one of nested JSON.
"""

import math
from collections.abc import Iterator, Mapping

from lotusroute.errors import InvalidValueError
from lotusroute.routing import events

FLAGS = {"true": True, "false": False}
UNTOLD = "non_idempotent"  # the effect where none is told: the one that is never repeated in error
KINDS = {
    "read_like": events.IDEMPOTENT,
    "idempotency_key": events.IDEMPOTENCY_KEY,
    "non_idempotent": events.NON_IDEMPOTENT,
}


def parse_number(text: str) -> float:
    """Read a finite number; `-` is 0.

    >>> parse_number("8652.25"), parse_number("-")
    (8652.25, 0.0)
    """
    if text == "-":
        return 0.0
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise InvalidValueError(f"'{text}' is not a number")
    return value


def look_up(table: Mapping, text: str, what: str):
    """Translate a word by a table."""
    try:
        return table[text]
    except KeyError:
        raise InvalidValueError(f"unknown {what} '{text}'") from None


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


def parse_service_config(env: Mapping[str, str]) -> events.ServiceConfig:
    """Decode the settings; unknown ones are passed over, a bad one is named.

    >>> parse_service_config({"service_types.count": "1", "service_types.0.name": "live"}).service_types
    {'live': ServiceType(setup_target=0.0, effect='once-only', dedup_scope='all', dedup_window=0.0)}
    """

    def figure(path: str, text: str, least: float = 0.0, most: float = math.inf) -> float:
        try:
            value = parse_number(text)
        except InvalidValueError as fault:
            raise InvalidValueError(f"{path}: {fault}") from None
        if not least <= value <= most:
            raise InvalidValueError(f"{path}: {value:g} is not between {least:g} and {most:g}")
        return value

    def get(path: str, default: float = 0.0, **bounds: float) -> float:
        return figure(path, env[path], **bounds) if path in env else default

    def flag(path: str) -> bool:
        return look_up(FLAGS, env.get(path, "false"), f"{path}, which is true or false:")

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
            effect=look_up(KINDS, env.get(path + "effect", UNTOLD), path + "effect"),
            dedup_scope=env.get(path + "group", "all"),
            dedup_window=get(path + "window"),
        )
    return events.ServiceConfig(
        service_types=service_types,
        instance_index=int(get("me")),
        instance_count=int(get("siblings", 1, least=1)),
        groups_share_work=flag("family_info.groups"),
        trusts_weights=env.get("weights", "silent") in ("nominal", "rough"),
        reports_latency=flag("family_info.tells_delay"),
        latency_objective=message_target,
        polls_discovery=env.get("discovery") == "ask",
        poll_interval=get("rules.ask_every", 10_000.0),
        max_attempts=int(get("limits.max_connects", 1, least=1)),
        max_retry_after=get("limits.max_retry_after") if flag("limits.retry_after") else 0.0,
        slow_start_share=get("rules.cold_from", 1.0, most=1.0),
        slow_start_duration=get("rules.warm_after"),
        slow_start_burst=get("rules.tip_multiple", 1.0),
    )
