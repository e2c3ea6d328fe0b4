"""The form of news on the link.

Owns how news, their acknowledgement and a wish to follow are written and read, and how large one may be. It
must never hold state, or take what does not fit for news.
"""

import msgspec

from lotusroute.relay.fanout import Heartbeat
from lotusroute.relay.versioned_store import Delta, Snapshot, Version, parts

PART = 40_000  # bytes of items in one call: the link takes 60,000
KEYS = 1_000_000  # items of one snapshot at most: more is a defect or a liar


class Message(msgspec.Struct, array_like=True):
    """What is sent to a subscriber: a beat, a delta, or a part of a snapshot."""

    version: tuple[int, int]
    age: float  # ms: how old what the sender rests on is
    digest: int = 0
    since: tuple[int, int] | None = None  # of a delta
    part: int = 0
    parts: int = 0  # of a snapshot; 0 where this is none
    items: dict[str, bytes | None] = {}


def written(news: Snapshot | Delta | Heartbeat, age: float) -> list[bytes]:
    """The calls that carry news, in order; none where a delta is too large for one: tell a snapshot then."""
    version = tuple(news.version)
    if isinstance(news, Heartbeat):
        return [msgspec.msgpack.encode(Message(version, age))]
    if isinstance(news, Delta):
        size = sum(len(key) + len(value or b"") + 8 for key, value in news.changed.items())
        if size > PART:
            return []
        message = Message(version, age, news.digest, tuple(news.since), items=news.changed)
        return [msgspec.msgpack.encode(message)]
    return [
        msgspec.msgpack.encode(Message(version, age, news.digest, None, at, of, items))
        for at, of, items in parts(news, PART)
    ]


def read(body: bytes) -> Message:
    """Read a call; raises msgspec.MsgspecError where it is none."""
    return msgspec.msgpack.decode(body, type=Message)


class Assembly:
    """Puts the parts of a snapshot together, one snapshot at a time."""

    def __init__(self) -> None:
        self.version: tuple[int, int] | None = None
        self.items: dict[str, bytes] = {}  # KEYS at most; emptied with the last part
        self.next = 0

    def take(self, message: Message) -> Snapshot | Delta | None:
        """The news that are whole with this message; None where more is to come or it does not follow."""
        if message.since is not None:
            return Delta(Version(*message.since), Version(*message.version), message.digest, message.items)
        if message.part == 0:
            self.version, self.items, self.next = message.version, {}, 0
        if message.version != self.version or message.part != self.next or len(self.items) > KEYS:
            self.version = None
            return None
        self.items.update((key, value) for key, value in message.items.items() if value is not None)
        self.next += 1
        if self.next < message.parts:
            return None
        items, self.items, self.version = self.items, {}, None
        return Snapshot(Version(*message.version), message.digest, items)


def acknowledged(version: Version) -> bytes:
    """The answer to a call: where the subscriber is now."""
    return msgspec.msgpack.encode(tuple(version))


def at(body: bytes) -> Version:
    """Read such an answer; raises msgspec.MsgspecError where it is none."""
    return Version(*msgspec.msgpack.decode(body, type=tuple[int, int]))
