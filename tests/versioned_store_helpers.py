"""Versioned stores that several test modules use."""

from lotusroute.relay.versioned_store import VersionedStore


def origin_store(fencing_token=1, versions=3):
    """A store in which an origin has published so many versions."""
    store = VersionedStore()
    for number in range(versions):
        store.publish(fencing_token, {"a": b"%d" % number, f"k{number}": b"x"})
    return store
