"""Conversion between discovery's answers and the items of a versioned store: one item an endpoint.

A further item says which discovery the endpoint list is from, and its version there. Entries are carried as
they are: each balancer validates them as if discovery itself had answered.
"""

import json
from typing import Any, NamedTuple

from lotusroute.relay.versioned_store import Changes, VersionedStore

LIST_METADATA_KEY = "#list"


class ListMetadata(NamedTuple):
    """Where an endpoint list is from."""

    discovery_address: str  # "" where the store is empty
    seq: int | None  # discovery's version of the list


def item_changes(store: VersionedStore, answer: dict[str, Any], discovery_address: str) -> Changes:
    """Return what an answer of discovery, the full list or some entries of it, changes in the store.

    >>> store = VersionedStore()
    >>> answer = {"seq": 4, "whole": True, "hosts": [{"host": "a"}, {"host": "b"}]}
    >>> store.publish(1, item_changes(store, answer, "d"))
    True
    >>> sorted(item_changes(store, {"seq": 5, "whole": True, "hosts": [{"host": "b"}]}, "d"))
    ['#list', 'a', 'b']
    >>> list_metadata(store)
    ListMetadata(discovery_address='d', seq=4)
    """
    changes: Changes = {}
    if answer["whole"]:
        changes.update(dict.fromkeys(store.items))
    for entry in answer["hosts"]:
        name = str(entry["host"])
        if entry.get("health") == "DELETED":
            changes[name] = None
        else:
            changes[name] = json.dumps(entry, sort_keys=True).encode()
    changes[LIST_METADATA_KEY] = json.dumps({"where": discovery_address, "seq": answer["seq"]}).encode()
    return changes


def list_metadata(store: VersionedStore) -> ListMetadata:
    """Return where the list in the store is from."""
    if LIST_METADATA_KEY not in store.items:
        return ListMetadata("", None)
    metadata = json.loads(store.items[LIST_METADATA_KEY])
    return ListMetadata(metadata["where"], metadata["seq"])


def discovery_answer(store: VersionedStore, changes: Changes | None) -> dict[str, Any]:
    """Return the list in the store, or some changes to it, in the form of an answer of discovery.

    `changes`: what the last update changed; None for the full list.
    """
    items = store.items if changes is None else changes
    hosts = []
    for name, value in items.items():
        if name == LIST_METADATA_KEY:
            continue
        hosts.append({"host": name, "health": "DELETED"} if value is None else json.loads(value))
    return {"seq": list_metadata(store).seq, "whole": changes is None, "hosts": hosts}
