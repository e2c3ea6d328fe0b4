"""The wire format between relays and their subscribers.

Messages are encoded as msgpack arrays: the order of the fields is the format. The decoding functions raise
`msgspec.MsgspecError` for a body that does not follow it.
"""

import msgspec

from lotusroute.relay.fanout import Heartbeat, Message
from lotusroute.relay.versioned_store import Delta, Snapshot, Update, Version, split_snapshot

# Kind of the call that carries the version of a process that subscribes, encoded as an acknowledgement.
SUBSCRIBE_CALL = "follow"
# Kind of the call that carries an UpdateMessage, and is answered with an acknowledgement.
UPDATE_CALL = "news"
# Largest size of the items in one call. The transport accepts calls of at most 60,000 bytes.
MAX_PART_BYTES = 40_000
# Number of items in an incomplete snapshot above which no further part is accepted. It bounds the memory that
# a faulty or malicious sender can make a receiver use.
MAX_SNAPSHOT_ITEMS = 1_000_000
MAX_ITEM_OVERHEAD_BYTES = 8  # upper bound of the bytes that the encoding adds to an item

EncodedVersion = tuple[int, int]  # a fencing token and a sequence number


class UpdateMessage(msgspec.Struct, array_like=True):
    """A heartbeat, a delta, or a part of a snapshot."""

    version: EncodedVersion
    age_ms: float  # time since discovery confirmed the sender's list to the origin
    digest: int = 0
    base_version: EncodedVersion | None = None  # set only in a delta
    part_index: int = 0
    part_count: int = 0  # set only in a part of a snapshot
    items: dict[str, bytes | None] = {}

    @property
    def is_heartbeat(self) -> bool:
        """Return whether this is neither a delta nor a part of a snapshot."""
        return not self.part_count and self.base_version is None


def encode_update(message: Message, age_ms: float) -> list[bytes]:
    """Return the bodies of the calls that carry a message, in order.

    Returns an empty list for a delta that is too large for one call: the caller has to send a snapshot.
    """
    match message:
        case Heartbeat(version):
            return [msgspec.msgpack.encode(UpdateMessage(version, age_ms))]
        case Delta():
            return _encode_delta(message, age_ms)
        case Snapshot():
            return _encode_snapshot(message, age_ms)


def _encode_delta(delta: Delta, age_ms: float) -> list[bytes]:
    sizes = (len(key) + len(value or b"") + MAX_ITEM_OVERHEAD_BYTES for key, value in delta.changes.items())
    if sum(sizes) > MAX_PART_BYTES:
        return []
    message = UpdateMessage(delta.version, age_ms, delta.digest, delta.base_version, items=delta.changes)
    return [msgspec.msgpack.encode(message)]


def _encode_snapshot(snapshot: Snapshot, age_ms: float) -> list[bytes]:
    bodies = []
    for part in split_snapshot(snapshot, MAX_PART_BYTES):
        message = UpdateMessage(
            snapshot.version,
            age_ms,
            snapshot.digest,
            part_index=part.index,
            part_count=part.count,
            items=part.items,
        )
        bodies.append(msgspec.msgpack.encode(message))
    return bodies


def decode_update(body: bytes) -> UpdateMessage:
    """Decode the body of an update call."""
    return msgspec.msgpack.decode(body, type=UpdateMessage)


class SnapshotAssembler:
    """Assembles a snapshot from its parts, one snapshot at a time."""

    def __init__(self) -> None:
        # The version of the incomplete snapshot; None if there is no incomplete snapshot.
        self.version: EncodedVersion | None = None
        self.items: dict[str, bytes] = {}  # at most MAX_SNAPSHOT_ITEMS and the items of one part
        self.next_index = 0  # index of the part that has to follow

    def add(self, message: UpdateMessage) -> Update | None:
        """Add a message and return the update that it completes; a delta is complete by itself.

        Returns None if parts are still missing, or if this part does not follow the previous one.
        """
        if message.base_version is not None:
            base_version = Version(*message.base_version)
            return Delta(base_version, Version(*message.version), message.digest, message.items)
        if message.part_index == 0:
            self.version = message.version
            self.items = {}
            self.next_index = 0
        if not self._is_next(message):
            self.version = None
            return None
        self.items.update((key, value) for key, value in message.items.items() if value is not None)
        self.next_index += 1
        if self.next_index < message.part_count:
            return None
        snapshot = Snapshot(Version(*message.version), message.digest, self.items)
        self.version = None
        self.items = {}
        return snapshot

    def _is_next(self, message: UpdateMessage) -> bool:
        return (
            message.version == self.version
            and message.part_index == self.next_index
            and len(self.items) <= MAX_SNAPSHOT_ITEMS
        )


def encode_acknowledgement(version: Version) -> bytes:
    """Encode an acknowledgement, which consists of the version that the subscriber has."""
    return msgspec.msgpack.encode(version)


def decode_acknowledgement(body: bytes) -> Version:
    """Decode an acknowledgement and return the version that the subscriber has."""
    return Version(*msgspec.msgpack.decode(body, type=EncodedVersion))
