"""Conversion between endpoint lists and the items of a versioned store: one item for each endpoint.

One more item holds the metadata of the list: the address of the discovery service that sent it, and the
version that this service gave it. Endpoints are stored as discovery describes them, without validation: each
balancer validates them in the same way as a response of discovery itself.
"""

import json
from typing import Any, NamedTuple

from lotusroute.net.discovery.endpoint_list import EndpointListMessage
from lotusroute.relay.versioned_store import Changes, VersionedStore

LIST_METADATA_KEY = "#list"
REMOVED_HEALTH = "DELETED"  # the `health` of a removed endpoint in a list of changes

EndpointDocument = dict[str, Any]  # an endpoint as discovery describes it


class EndpointListUpdate(NamedTuple):
    """A response of discovery: the complete endpoint list, or the endpoints that have changed."""

    seq: int | None  # discovery's version of the list
    complete: bool
    entries: list[EndpointDocument]

    @classmethod
    def from_message(cls, message: EndpointListMessage) -> "EndpointListUpdate":
        """Convert a response of discovery.

        >>> EndpointListUpdate.from_message({"seq": 4, "whole": True, "hosts": []})
        EndpointListUpdate(seq=4, complete=True, entries=[])
        """
        return cls(message["seq"], message["whole"], message["hosts"])

    def to_message(self) -> EndpointListMessage:
        """Convert to the form of a response of discovery."""
        return {"seq": self.seq, "whole": self.complete, "hosts": self.entries}


class ListMetadata(NamedTuple):
    """The discovery service that sent an endpoint list, and the list's version there."""

    discovery_address: str  # HOST:PORT; empty if the store is empty
    seq: int | None  # discovery's version of the list


def item_changes(store: VersionedStore, update: EndpointListUpdate, discovery_address: str) -> Changes:
    """Return the changes that bring the store's items up to date with an update of the endpoint list.

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
    """Return the metadata of the list in the store."""
    if LIST_METADATA_KEY not in store.items:
        return ListMetadata("", None)
    document = json.loads(store.items[LIST_METADATA_KEY])
    return ListMetadata(document["where"], document["seq"])


def complete_list(store: VersionedStore) -> EndpointListUpdate:
    """Return the complete endpoint list in the store."""
    entries = [json.loads(value) for name, value in store.items.items() if name != LIST_METADATA_KEY]
    return EndpointListUpdate(list_metadata(store).seq, True, entries)


def list_changes(store: VersionedStore, changes: Changes) -> EndpointListUpdate:
    """Return changes that have been applied to the store as an update of the endpoint list."""
    entries = [_changed_entry(name, value) for name, value in changes.items() if name != LIST_METADATA_KEY]
    return EndpointListUpdate(list_metadata(store).seq, False, entries)


def _changed_entry(name: str, value: bytes | None) -> EndpointDocument:
    if value is None:
        return {"host": name, "health": REMOVED_HEALTH}
    entry: EndpointDocument = json.loads(value)
    return entry


def _encode_metadata(metadata: ListMetadata) -> bytes:
    return json.dumps({"where": metadata.discovery_address, "seq": metadata.seq}).encode()
