"""The acceptor's file on disk, which holds a ballot: every ballot below it may have been promised.

The file has one line: the ballot and its CRC-32 in hexadecimal. The functions block on the disk. Once the
process has started, they must be called on a worker thread, not on the reactor's.
"""

import os
import pathlib
import zlib

from lotusroute.errors import ConfigError

FILE_NAME = "promised"  # the name of the acceptor's file in the state directory
MAX_QUOTED_LENGTH = 64  # the longest part of a corrupt file that an error quotes, in characters


class CorruptBallotFileError(ConfigError):
    """The acceptor's file does not contain a ballot and its checksum."""

    def __init__(self, path: pathlib.Path, text: str) -> None:
        super().__init__(
            f"{path}: corrupt: expected a ballot and its CRC-32, read {text[:MAX_QUOTED_LENGTH]!r}; "
            "restore a backup, or remove the file while no process of the fleet is running"
        )
        self.path = path
        self.text = text


def load(state_dir: str | os.PathLike[str]) -> int:
    """Read the persisted ballot; 0 if there is no file yet.

    Raises `ConfigError` if the file is unreadable or corrupt, because an acceptor that treated it as missing
    could promise a ballot twice.
    """
    path = pathlib.Path(state_dir, FILE_NAME)
    try:
        text = path.read_text(encoding="ascii")
    except FileNotFoundError:
        return 0
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    ballot, _, checksum = text.strip().partition(" ")
    if not ballot.isdecimal() or checksum != _checksum(ballot):
        raise CorruptBallotFileError(path, text)
    return int(ballot)


def store(state_dir: str | os.PathLike[str], ballot: int) -> None:
    """Write the ballot durably; after a crash at any moment the file holds the old ballot or the new one."""
    text = str(ballot)
    path = pathlib.Path(state_dir, FILE_NAME)
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


def _checksum(text: str) -> str:
    return f"{zlib.crc32(text.encode()):08x}"
