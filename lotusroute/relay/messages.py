"""The wire format between relays and their subscribers: msgpack arrays, so the order of fields is the format.

Decoding functions raise msgspec.MsgspecError for a body that does not follow the format.
"""

import msgspec

from lotusroute.relay.fanout import Heartbeat, Message
from lotusroute.relay.versioned_store import Delta, Snapshot, Update, Version, split_snapshot

SUBSCRIBE_CALL = "follow"  # kind of the call by which a subscriber joins; its body is an acknowledgement
UPDATE_CALL = "news"  # kind of the call that carries an UpdateMessage; answered by an acknowledgement
MAX_PART_BYTES = 40_000  # of items in one call; the transport accepts 60,000 bytes a call
MAX_SNAPSHOT_ITEMS = 1_000_000  # bounds the memory that a faulty sender can make a receiver use
MAX_ITEM_OVERHEAD_BYTES = 8  # that the encoding adds to an item


class UpdateMessage(msgspec.Struct, array_like=True):
    """A heartbeat, a delta, or a part of a snapshot."""

    version: tuple[int, int]
    age_ms: float  # how long ago discovery confirmed to the origin what the sender has
    digest: int = 0
    base_version: tuple[int, int] | None = None  # set in a delta only
    part_index: int = 0
    part_count: int = 0  # set in a part of a snapshot only
    items: dict[str, bytes | None] = {}

    @property
    def is_heartbeat(self) -> bool:
        """Whether this is neither a delta nor a part of a snapshot."""
        return not self.part_count and self.base_version is None


def encode_update(message: Message, age_ms: float) -> list[bytes]:
    """Return the bodies of the calls that carry a message, in order.

    Empty where a delta is too large for one call: a snapshot has to be sent in its place.
    """
    version = message.version
    if isinstance(message, Heartbeat):
        return [msgspec.msgpack.encode(UpdateMessage(version, age_ms))]
    if isinstance(message, Delta):
        size = sum(
            len(key) + len(value or b"") + MAX_ITEM_OVERHEAD_BYTES for key, value in message.changes.items()
        )
        if size > MAX_PART_BYTES:
            return []
        delta = UpdateMessage(version, age_ms, message.digest, message.base_version, items=message.changes)
        return [msgspec.msgpack.encode(delta)]
    return [
        msgspec.msgpack.encode(
            UpdateMessage(version, age_ms, message.digest, None, part.index, part.count, part.items)
        )
        for part in split_snapshot(message, MAX_PART_BYTES)
    ]


def decode_update(body: bytes) -> UpdateMessage:
    """Decode the body of an update call."""
    return msgspec.msgpack.decode(body, type=UpdateMessage)


class SnapshotAssembler:
    """Puts the parts of a snapshot together, one snapshot at a time."""

    def __init__(self) -> None:
        self.version: tuple[int, int] | None = None  # of the snapshot that is incomplete; None: there is none
        self.items: dict[str, bytes] = {}  # at most MAX_SNAPSHOT_ITEMS and one part
        self.next_index = 0

    def add(self, message: UpdateMessage) -> Update | None:
        """Return the update that is complete with this message; a delta is complete by itself.

        None where more parts are to come, or where this part does not follow the last one.
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
    """Encode the version that a subscriber has."""
    return msgspec.msgpack.encode(version)


def decode_acknowledgement(body: bytes) -> Version:
    """Decode the version that a subscriber has."""
    return Version(*msgspec.msgpack.decode(body, type=tuple[int, int]))
