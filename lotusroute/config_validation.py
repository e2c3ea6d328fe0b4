"""Reading and validation of the operators' TOML files, for the fleet and the relay configuration.

Every error is a `ConfigError` whose message names the key and says how to correct it. `load_toml_config`
prepends the environment variable and the file name.
"""

import os
import pathlib
import tomllib
from collections.abc import Callable, Collection
from typing import Any, TypeVar

from lotusroute.address import Address, parse_address
from lotusroute.errors import ConfigError, InvalidValueError

Document = dict[str, Any]  # a parsed file, or one of its tables
ConfigT = TypeVar("ConfigT")


def load_toml_config(
    variable: str, path: str | os.PathLike[str], parse: Callable[[Document], ConfigT]
) -> ConfigT:
    """Read a TOML file and pass it to `parse`; `variable` is the environment variable that names the file."""
    try:
        document = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise ConfigError(f"{variable}: {path}: {error}") from None
    try:
        return parse(document)
    except InvalidValueError as error:
        raise ConfigError(f"{variable}: {path}: {error}") from None


def check_known_keys(document: Document, known: Collection[str]) -> None:
    """Raise `ConfigError` if the document has an unknown key.

    >>> check_known_keys({"nmae": "f"}, {"name", "zone"})
    Traceback (most recent call last):
    lotusroute.errors.ConfigError: nmae: no such key; the keys are name, zone
    """
    unknown = sorted(set(document) - set(known))
    if unknown:
        raise ConfigError(f"{unknown[0]}: no such key; the keys are {', '.join(sorted(known))}")


def parse_fleet_name(document: Document) -> str:
    """Return the required name of the fleet."""
    name = document.get("name")
    if not isinstance(name, str) or not name:
        raise ConfigError("name: not set to a non-empty string; give the name of the fleet")
    return name


def parse_name_list(document: Document, key: str) -> list[str]:
    """Return a list of distinct, non-empty names; the list is empty if the key is missing.

    >>> parse_name_list({"tasks": ["watch", "watch"]}, "tasks")
    Traceback (most recent call last):
    lotusroute.errors.ConfigError: tasks: the name 'watch' is given twice
    """
    names = document.get(key, [])
    if not isinstance(names, list) or not all(isinstance(name, str) and name for name in names):
        raise ConfigError(f"{key}: give a list of non-empty names, not {names!r}")
    for index, name in enumerate(names):
        if name in names[:index]:
            raise ConfigError(f"{key}: the name '{name}' is given twice")
    return names


def parse_milliseconds(document: Document, key: str, default: float, low: float, high: float) -> float:
    """Return a duration in ms from `low` to `high`, or the default if the key is missing."""
    value = document.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        raise ConfigError(f"{key}: give milliseconds from {low:g} to {high:g}, not {value!r}")
    return float(value)


def parse_count(document: Document, key: str, high: int) -> int:
    """Return a whole number from 0 to `high`; 0 if the key is missing."""
    value = document.get(key, 0)
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= high:
        raise ConfigError(f"{key}: give a whole number from 0 to {high}, not {value!r}")
    return value


def parse_address_entry(key: str, value: object) -> Address:
    """Return the address that is given as HOST:PORT; errors name the key.

    >>> parse_address_entry("peers.a", "127.0.0.1:1")
    Address(host='127.0.0.1', port=1)
    """
    try:
        return parse_address(str(value))
    except InvalidValueError as error:
        raise ConfigError(f"{key}: {error}") from None
