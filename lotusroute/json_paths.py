"""Access to the values of nested JSON objects by dotted paths."""

from collections.abc import Container, Iterator
from typing import TypeAlias

from lotusroute.errors import ConfigError

JsonObject: TypeAlias = dict[str, object]


def get_path(document: JsonObject, path: str) -> object:
    """Return the value at a dotted path; None if there is none.

    >>> get_path({"a": {"b": 3}}, "a.b"), get_path({"a": 3}, "a.b")
    (3, None)
    """
    value: object = document
    for key in path.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return value


def set_path(document: JsonObject, path: str, value: object) -> None:
    """Set the value at a dotted path; raises `ConfigError` if a parent on the path is not an object."""
    *parents, last = path.split(".")
    for key in parents:
        child = document.setdefault(key, {})
        if not isinstance(child, dict):
            raise ConfigError(f"{path}: {key} is not a JSON object")
        document = child
    document[last] = value


def delete_path(document: JsonObject, path: str) -> None:
    """Delete the value at a dotted path, if there is one."""
    parent_path, _, last = path.rpartition(".")
    parent = get_path(document, parent_path) if parent_path else document
    if isinstance(parent, dict):
        parent.pop(last, None)


def all_paths(document: JsonObject, leaves: Container[str] = (), prefix: str = "") -> Iterator[str]:
    """Yield the dotted paths of all values; an object at a path in `leaves` counts as a single value.

    >>> list(all_paths({"a": {"b": 1, "c": [{"d": 2}]}, "known": {"seq": 1}}, {"known"}))
    ['a.b', 'a.c.0.d', 'known']
    """
    for key, value in document.items():
        path = f"{prefix}{key}"
        children = _children(value)
        if children and path not in leaves:
            yield from all_paths(children, leaves, f"{path}.")
        else:
            yield path


def _children(value: object) -> JsonObject:
    """Return the members of an object, or of a list of objects by index; nothing for any other value."""
    if isinstance(value, list) and value and isinstance(value[0], dict):
        return {str(index): item for index, item in enumerate(value)}
    return value if isinstance(value, dict) else {}
