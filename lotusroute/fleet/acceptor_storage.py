"""What a keeper has on disk: the number under which it may have promised all.

Owns the one file in the state folder and its form. It must never be called on the reactor's thread but at the
start, say that a number is kept before the disk has it, or start from a file that it can't read.
"""

import os
import pathlib
import zlib

from lotusroute.errors import InvalidValueError

FILE = "promised"  # in the state folder


def load(folder: str) -> int:
    """Read the number; 0 where there is no file yet. Raises InvalidValueError where the file is spoilt.

    A keeper that took a spoilt file for none could promise a number again.
    """
    path = pathlib.Path(folder, FILE)
    try:
        text = path.read_text(encoding="ascii")
    except FileNotFoundError:
        return 0
    except (OSError, ValueError) as fault:
        raise InvalidValueError(f"{path}: {fault}") from None
    number, _, check = text.strip().partition(" ")
    if not number.isdecimal() or check != f"{zlib.crc32(number.encode()):08x}":
        raise InvalidValueError(
            f"{path}: spoilt; put back a copy, or remove it while no balancer of the fleet runs"
        )
    return int(number)


def store(folder: str, number: int) -> None:
    """Write the number, wait for the disk; a crash at any moment leaves the old one or the new one."""
    text = str(number)
    path = pathlib.Path(folder, FILE)
    fresh = path.with_suffix(".new")
    with open(fresh, "w", encoding="ascii") as file:
        file.write(f"{text} {zlib.crc32(text.encode()):08x}\n")
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, path)
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
