"""Tests of the messages between relays and subscribers: splitting and assembling of snapshots."""

import msgspec
import pytest
from versioned_store_helpers import origin_store

from lotusroute.relay import messages
from lotusroute.relay.versioned_store import Version


@pytest.fixture
def origin():
    return origin_store()


@pytest.fixture
def snapshot(origin):
    """A snapshot that is too large for one call."""
    origin.publish(1, {f"s{index}": b"x" * 1_000 for index in range(200)})
    return origin.update_since(Version())


def snapshot_parts(snapshot):
    return [messages.decode_update(body) for body in messages.encode_update(snapshot, 5.0)]


def test_a_large_snapshot_is_split_into_calls_that_the_transport_accepts(snapshot):
    bodies = messages.encode_update(snapshot, 5.0)
    assert len(bodies) > 4
    assert all(len(body) < 60_000 for body in bodies)


def test_parts_in_order_are_assembled_into_the_snapshot(snapshot):
    assembler = messages.SnapshotAssembler()
    assert [assembler.add(part) for part in snapshot_parts(snapshot)][-1] == snapshot


def test_a_snapshot_with_a_missing_part_is_not_assembled(snapshot):
    """The first part is received and the second is lost, so that none of the later parts may be used."""
    assembler = messages.SnapshotAssembler()
    first, _, *others = snapshot_parts(snapshot)
    assert [assembler.add(part) for part in [first, *others]] == [None] * (1 + len(others))


def test_parts_of_two_versions_are_not_assembled(snapshot):
    """A part of another version arrives in place of the second part, which ends the assembly."""
    assembler = messages.SnapshotAssembler()
    first, second, third, *_ = snapshot_parts(snapshot)
    other_version = msgspec.structs.replace(second, version=(9, 9))
    assert assembler.add(first) is None
    assert assembler.add(other_version) is None
    assert assembler.add(third) is None
