"""The server list as news: one item a server, and one that says which list it is.

Owns how an answer of discovery becomes changes of items, and items an answer. It must never judge an entry:
each balancer checks what it is told as if discovery had told it.
"""

import json

from lotusroute.relay.versioned_store import VersionedStore

ABOUT = "#list"  # the item that says where the list is from and which version of discovery's it is


def changes(store: VersionedStore, told: dict, where: str) -> dict[str, bytes | None]:
    """What an answer of discovery changes: the whole list, or some entries.

    >>> store = VersionedStore()
    >>> told = {"seq": 4, "whole": True, "hosts": [{"host": "a"}, {"host": "b"}]}
    >>> store.publish(1, changes(store, told, "d"))
    True
    >>> sorted(changes(store, {"seq": 5, "whole": True, "hosts": [{"host": "b"}]}, "d"))
    ['#list', 'a', 'b']
    >>> about(store)
    ('d', 4)
    """
    changed: dict[str, bytes | None] = {}
    if told["whole"]:
        changed.update(dict.fromkeys(store.items))
    for entry in told["hosts"]:
        name = str(entry["host"])
        gone = entry.get("health") == "DELETED"
        changed[name] = None if gone else json.dumps(entry, sort_keys=True).encode()
    changed[ABOUT] = json.dumps({"where": where, "seq": told["seq"]}).encode()
    return changed


def about(store: VersionedStore) -> tuple[str, int | None]:
    """Where the list held is from, and its version there; none where nothing is held."""
    if ABOUT not in store.items:
        return "", None
    told = json.loads(store.items[ABOUT])
    return told["where"], told["seq"]


def answer(store: VersionedStore, changed: dict[str, bytes | None] | None) -> dict:
    """What is held, or what has changed in it, as an answer of discovery."""
    _, seq = about(store)
    items = store.items if changed is None else changed
    hosts = [
        json.loads(value) if value is not None else {"host": name, "health": "DELETED"}
        for name, value in items.items()
        if name != ABOUT
    ]
    return {"seq": seq, "whole": changed is None, "hosts": hosts}
