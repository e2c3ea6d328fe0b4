"""Tests of the versioned store: publishing, snapshots, deltas, and the outcomes of updates."""

import pytest
from versioned_store_helpers import origin_store

from lotusroute.relay import versioned_store
from lotusroute.relay.errors import DeposedError
from lotusroute.relay.versioned_store import (
    Delta,
    Snapshot,
    UpdateOutcome,
    Version,
    VersionedStore,
)


@pytest.fixture
def origin():
    return origin_store()


@pytest.fixture
def replica():
    return VersionedStore()


def test_update_outcomes_have_the_values_used_in_counter_names():
    assert [str(outcome) for outcome in UpdateOutcome] == ["applied", "duplicate", "stale", "gap", "corrupt"]


def test_an_empty_replica_gets_a_snapshot(origin, replica):
    update = origin.update_since(replica.version)
    assert isinstance(update, Snapshot)
    assert replica.apply(update) == UpdateOutcome.APPLIED
    assert replica.items == origin.items


def test_a_lagging_replica_gets_one_delta_with_all_changes(origin, replica):
    replica.apply(origin.update_since(replica.version))
    for _ in range(50):
        origin.publish(1, {"a": b"new", "k0": None})
        origin.publish(1, {"a": b"newer", "b": b"1"})
    update = origin.update_since(replica.version)
    assert isinstance(update, Delta)
    assert len(update.changes) == 3
    assert replica.apply(update) == UpdateOutcome.APPLIED
    assert replica.items == origin.items
    assert (replica.version, replica.digest) == (origin.version, origin.digest)
    assert origin.update_since(replica.version) is None
    assert replica.apply(update) == UpdateOutcome.DUPLICATE


def test_stale_gap_and_corrupt_updates_change_nothing(origin, replica):
    old = origin.update_since(Version())
    origin.publish(1, {"a": b"9"})
    replica.apply(origin.update_since(Version()))
    before = dict(replica.items), replica.version
    assert replica.apply(old) == UpdateOutcome.STALE
    origin.publish(1, {"b": b"1"})
    later = origin.version
    origin.publish(1, {"b": b"2"})
    assert replica.apply(origin.update_since(later)) == UpdateOutcome.GAP
    update = origin.update_since(replica.version)
    corrupt = update._replace(changes={**update.changes, "b": b"3"})
    assert replica.apply(corrupt) == UpdateOutcome.CORRUPT
    assert (dict(replica.items), replica.version) == before
    assert replica.apply(update) == UpdateOutcome.APPLIED


def test_a_deposed_origin_cannot_publish_and_its_versions_are_replaced(replica):
    deposed = origin_store(fencing_token=3)
    successor = VersionedStore()
    successor.apply(deposed.update_since(Version()))
    successor.publish(4, {})  # the successor has acquired the lease
    deposed.publish(3, {"a": b"too late"})
    assert replica.apply(deposed.update_since(Version())) == UpdateOutcome.APPLIED
    update = successor.update_since(replica.version)
    assert isinstance(update, Snapshot)  # the replica's version is not in the history of the successor
    assert replica.apply(update) == UpdateOutcome.APPLIED
    assert replica.items == successor.items
    assert replica.apply(deposed.update_since(Version())) == UpdateOutcome.STALE
    assert deposed.apply(successor.update_since(deposed.version)) == UpdateOutcome.APPLIED
    with pytest.raises(DeposedError):
        deposed.publish(3, {"a": b"still"})


def test_a_version_older_than_the_tombstones_is_updated_by_a_snapshot(origin, monkeypatch):
    monkeypatch.setattr(versioned_store, "TOMBSTONE_LIMIT", 3)
    keys = [f"g{index}" for index in range(9)]
    origin.publish(1, dict.fromkeys(keys, b"x"))
    early = origin.version
    for key in keys:
        origin.publish(1, {key: None})
    assert isinstance(origin.update_since(early), Snapshot)
    assert len(origin.tombstones) == 3
    assert isinstance(origin.update_since(Version(1, origin.version.sequence_number - 1)), Delta)
