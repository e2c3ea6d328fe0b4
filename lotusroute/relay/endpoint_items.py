"""Conversion between endpoint lists and the items of a versioned store: one item for each endpoint.

A further item holds the metadata of the list: the discovery service that it is from, and its version there.
Endpoints are carried as discovery describes them: each balancer validates them as if discovery itself had
answered.
"""

import json
from typing import Any, NamedTuple

from lotusroute.relay.versioned_store import Changes, VersionedStore

LIST_METADATA_KEY = "#list"
REMOVED_HEALTH = "DELETED"  # health of an endpoint that has left the list, in changes to a list

DiscoveryMessage = dict[str, Any]  # a decoded answer of discovery, with its keys `seq`, `whole` and `hosts`
EndpointEntry = dict[str, Any]  # an endpoint as discovery describes it


class EndpointListUpdate(NamedTuple):
    """An answer of discovery: the complete endpoint list, or the endpoints that have changed."""

    seq: int | None  # discovery's version of the list
    complete: bool
    entries: list[EndpointEntry]

    @classmethod
    def from_message(cls, message: DiscoveryMessage) -> "EndpointListUpdate":
        """Convert an answer of discovery.

        >>> EndpointListUpdate.from_message({"seq": 4, "whole": True, "hosts": []})
        EndpointListUpdate(seq=4, complete=True, entries=[])
        """
        return cls(message["seq"], message["whole"], message["hosts"])

    def to_message(self) -> DiscoveryMessage:
        """Convert to the form of an answer of discovery."""
        return {"seq": self.seq, "whole": self.complete, "hosts": self.entries}


class ListMetadata(NamedTuple):
    """Where an endpoint list is from."""

    discovery_address: str  # HOST:PORT; empty if the store is empty
    seq: int | None  # discovery's version of the list


def item_changes(store: VersionedStore, update: EndpointListUpdate, discovery_address: str) -> Changes:
    """Return the changes to the store's items that an update of the endpoint list makes.

    >>> store = VersionedStore()
    >>> update = EndpointListUpdate(4, True, [{"host": "a"}, {"host": "b"}])
    >>> store.publish(1, item_changes(store, update, "d"))
    True
    >>> sorted(item_changes(store, EndpointListUpdate(5, True, [{"host": "b"}]), "d"))
    ['#list', 'a', 'b']
    >>> list_metadata(store)
    ListMetadata(discovery_address='d', seq=4)
    """
    changes: Changes = {}
    if update.complete:
        changes.update(dict.fromkeys(store.items))
    for entry in update.entries:
        removed = entry.get("health") == REMOVED_HEALTH
        changes[str(entry["host"])] = None if removed else json.dumps(entry, sort_keys=True).encode()
    changes[LIST_METADATA_KEY] = _encode_metadata(ListMetadata(discovery_address, update.seq))
    return changes


def list_metadata(store: VersionedStore) -> ListMetadata:
    """Return where the list in the store is from."""
    if LIST_METADATA_KEY not in store.items:
        return ListMetadata("", None)
    document = json.loads(store.items[LIST_METADATA_KEY])
    return ListMetadata(document["where"], document["seq"])


def complete_list(store: VersionedStore) -> EndpointListUpdate:
    """Return the complete endpoint list in the store."""
    entries = [json.loads(value) for name, value in store.items.items() if name != LIST_METADATA_KEY]
    return EndpointListUpdate(list_metadata(store).seq, True, entries)


def list_changes(store: VersionedStore, changes: Changes) -> EndpointListUpdate:
    """Return the endpoints that the last update of the store changed."""
    entries = [_changed_entry(name, value) for name, value in changes.items() if name != LIST_METADATA_KEY]
    return EndpointListUpdate(list_metadata(store).seq, False, entries)


def _changed_entry(name: str, value: bytes | None) -> EndpointEntry:
    if value is None:
        return {"host": name, "health": REMOVED_HEALTH}
    entry: EndpointEntry = json.loads(value)
    return entry


def _encode_metadata(metadata: ListMetadata) -> bytes:
    return json.dumps({"where": metadata.discovery_address, "seq": metadata.seq}).encode()
