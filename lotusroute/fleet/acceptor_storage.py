"""The acceptor's file on disk: the ballot below which it may have promised any.

The file has one line, the ballot and its CRC-32 in hexadecimal. Calls block on the disk: after the start they
belong on a thread, not on the reactor.
"""

import os
import pathlib
import zlib

from lotusroute.errors import ConfigError

FILE = "promised"  # in the state directory


def _checksum(text: str) -> str:
    return f"{zlib.crc32(text.encode()):08x}"


def load(state_dir: str | os.PathLike[str]) -> int:
    """Read the persisted ballot; 0 if there is no file yet.

    Raises ConfigError for an unreadable or corrupt file: an acceptor that took it for a missing one could
    promise a ballot twice.
    """
    path = pathlib.Path(state_dir, FILE)
    try:
        text = path.read_text(encoding="ascii")
    except FileNotFoundError:
        return 0
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    ballot, _, checksum = text.strip().partition(" ")
    if not ballot.isdecimal() or checksum != _checksum(ballot):
        raise ConfigError(
            f"{path}: spoilt; put back a copy, or remove it while no balancer of the fleet runs"
        )
    return int(ballot)


def store(state_dir: str | os.PathLike[str], ballot: int) -> None:
    """Write the ballot and wait for the disk; after a crash at any moment the old or the new one is there."""
    text = str(ballot)
    path = pathlib.Path(state_dir, FILE)
    temporary = path.with_suffix(".new")
    with open(temporary, "w", encoding="ascii") as file:
        file.write(f"{text} {_checksum(text)}\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    _sync_directory(state_dir)


def _sync_directory(path: str | os.PathLike[str]) -> None:
    """Make a rename in the directory durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
