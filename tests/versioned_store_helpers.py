"""Versioned stores for several test modules."""

from lotusroute.relay.versioned_store import VersionedStore


def origin_store(fencing_token=1, versions=3):
    """Return a store in which an origin has published a number of versions."""
    store = VersionedStore()
    for number in range(versions):
        store.publish(fencing_token, {"a": b"%d" % number, f"k{number}": b"x"})
    return store
