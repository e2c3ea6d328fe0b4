"""Parses the settings of a service into the configuration of its director.

Settings are a flat mapping from dotted paths to strings, which `flatten` creates from nested JSON. Unknown
settings are ignored. An invalid value raises `ConfigError` with its path. Times are in milliseconds.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from typing import TypeVar

from lotusroute.errors import ConfigError, MalformedNumberError, UnknownNameError
from lotusroute.routing import events

Key = TypeVar("Key")
Value = TypeVar("Value")

BOOLEANS = {"true": True, "false": False}
IDEMPOTENCY_SETTINGS: dict[str, events.Idempotency] = {
    "read_like": events.Idempotency.IDEMPOTENT,
    "idempotency_key": events.Idempotency.IDEMPOTENCY_KEY,
    "non_idempotent": events.Idempotency.NON_IDEMPOTENT,
}
DEFAULT_IDEMPOTENCY_SETTING = "non_idempotent"  # the safest setting: a flow never runs twice by mistake
STABLE_WEIGHTS = ("nominal", "rough")  # kinds of weights that do not change between endpoint lists
DEFAULT_POLL_INTERVAL_MS = 10_000.0
# Below it a set-up target is taken for a mistake: with 0, every attempt would be slow.
MIN_SETUP_TARGET_MS = 1.0
LATENCY_OBJECTIVES_PATH = "family_info.message_aim"


def parse_number(text: str) -> float:
    """Parse a finite number; `-` stands for 0. Raises `MalformedNumberError`.

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
        raise MalformedNumberError(text)
    return value


def look_up(table: Mapping[Key, Value], key: Key, kind: str) -> Value:
    """Return the value of a key; if it is missing, raise `UnknownNameError`, which calls it a `kind`."""
    try:
        return table[key]
    except KeyError:
        raise UnknownNameError(kind, key, table) from None


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield the dotted path and the text of each value of nested JSON; a list's length is under `.count`.

    >>> dict(flatten({"a": {"b": True, "c": None}, "d": [{"e": 1.5}], "f": ["x", "y"]}))
    {'a.b': 'true', 'd.count': '1', 'd.0.e': '1.5', 'f.count': '2', 'f.0': 'x', 'f.1': 'y'}
    """
    items: Iterable[tuple[object, object]]
    match value:
        case None:
            return
        case dict():
            items = value.items()
        case list():
            yield f"{path}.count", str(len(value))
            items = enumerate(value)
        case bool():
            yield path, str(value).lower()
            return
        case _:
            yield path, str(value)
            return
    for key, item in items:
        yield from flatten(item, f"{path}.{key}" if path else str(key))


def parse_service_config(settings: Mapping[str, str]) -> events.ServiceConfig:
    """Parse the settings of a service.

    >>> parse_service_config({"limits.max_connects": "4", "discovery": "ask"}).max_attempts
    4
    """
    latency_objective = _parse_latency_objective(settings)
    service_types = _parse_service_types(settings)
    reports_latency = _parse_boolean(settings, "family_info.tells_delay")
    if reports_latency and not latency_objective:
        _require_setup_targets(service_types)
    return events.ServiceConfig(
        service_types=service_types,
        instance_index=int(_parse_setting(settings, "me")),
        instance_count=int(_parse_setting(settings, "siblings", 1, minimum=1)),
        groups_share_work=_parse_boolean(settings, "family_info.groups"),
        trusts_weights=settings.get("weights", "silent") in STABLE_WEIGHTS,
        reports_latency=reports_latency,
        latency_objective=latency_objective,
        polls_discovery=settings.get("discovery") == "ask",
        poll_interval=_parse_setting(settings, "rules.ask_every", DEFAULT_POLL_INTERVAL_MS),
        max_attempts=int(_parse_setting(settings, "limits.max_connects", 1, minimum=1)),
        max_retry_after=_parse_max_retry_after(settings),
        slow_start_share=_parse_setting(settings, "rules.cold_from", 1.0, maximum=1.0),
        slow_start_duration=_parse_setting(settings, "rules.warm_after"),
        slow_start_burst=_parse_setting(settings, "rules.tip_multiple", 1.0),
    )


def _parse_service_types(settings: Mapping[str, str]) -> dict[str, events.ServiceType]:
    service_types = {}
    for index in range(int(_parse_setting(settings, "service_types.count"))):
        prefix = f"service_types.{index}"
        name = settings.get(f"{prefix}.name", "")
        service_types[name] = _parse_service_type(settings, prefix)
    return service_types


def _require_setup_targets(service_types: Mapping[str, events.ServiceType]) -> None:
    """Raise ConfigError if a service type lacks the target that reported latencies are compared with."""
    for index, service_type in enumerate(service_types.values()):
        if not service_type.setup_target:
            raise ConfigError(
                f"service_types.{index}.setup_target: required if servers report latencies and "
                f"{LATENCY_OBJECTIVES_PATH} is not set"
            )


def _parse_service_type(settings: Mapping[str, str], prefix: str) -> events.ServiceType:
    idempotency = settings.get(f"{prefix}.effect", DEFAULT_IDEMPOTENCY_SETTING)
    return events.ServiceType(
        setup_target=_parse_setting(settings, f"{prefix}.setup_target", minimum=MIN_SETUP_TARGET_MS),
        idempotency=_parse_choice(IDEMPOTENCY_SETTINGS, idempotency, f"{prefix}.effect"),
        dedup_scope=_parse_dedup_scope(settings.get(f"{prefix}.group", "all")),
        dedup_window=_parse_setting(settings, f"{prefix}.window"),
    )


def _parse_dedup_scope(text: str) -> events.DedupScope:
    """Parse a deduplication scope; an unknown text means that no server recognizes a repeated key."""
    try:
        return events.DedupScope(text)
    except ValueError:
        return events.DedupScope.NONE


def _parse_latency_objective(settings: Mapping[str, str]) -> float:
    """Return the strictest latency objective of the service types; 0 if none is set.

    The simulator joins the objectives with commas; in nested JSON they are a list.
    """
    path = LATENCY_OBJECTIVES_PATH
    texts = settings.get(path, "").split(",")
    for index in range(int(_parse_setting(settings, f"{path}.count"))):
        texts.append(settings.get(f"{path}.{index}", ""))
    return min((_parse_bounded_number(path, text) for text in texts if text), default=0.0)


def _parse_max_retry_after(settings: Mapping[str, str]) -> float:
    """Return the longest Retry-After that clients honour; 0 if they ignore Retry-After."""
    if not _parse_boolean(settings, "limits.retry_after"):
        return 0.0
    return _parse_setting(settings, "limits.max_retry_after")


def _parse_boolean(settings: Mapping[str, str], path: str) -> bool:
    return _parse_choice(BOOLEANS, settings.get(path, "false"), path)


def _parse_choice(choices: Mapping[str, Value], text: str, path: str) -> Value:
    try:
        return look_up(choices, text, "value")
    except UnknownNameError as error:
        raise ConfigError(f"{path}: {error}") from None


def _parse_setting(
    settings: Mapping[str, str],
    path: str,
    default: float = 0.0,
    minimum: float = 0.0,
    maximum: float = math.inf,
) -> float:
    if path not in settings:
        return default
    return _parse_bounded_number(path, settings[path], minimum, maximum)


def _parse_bounded_number(path: str, text: str, minimum: float = 0.0, maximum: float = math.inf) -> float:
    try:
        value = parse_number(text)
    except MalformedNumberError as error:
        raise ConfigError(f"{path}: {error}") from None
    if value < minimum:
        raise ConfigError(f"{path}: {value:g} is too small; must be at least {minimum:g}")
    if value > maximum:
        raise ConfigError(f"{path}: {value:g} is too large; must be at most {maximum:g}")
    return value
