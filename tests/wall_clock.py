"""A wall clock that a test can step, for processes that it starts (see wall_clock_shim/sitecustomize.py)."""

import mmap
import os
import pathlib
import struct

SHIM_DIRECTORY = pathlib.Path(__file__).parent / "wall_clock_shim"
OFFSET_FORMAT = struct.Struct("d")  # the format of the offset in the file


class SteppableWallClock:
    """The wall clock of all processes that are started with `environment`."""

    def __init__(self, path: pathlib.Path) -> None:
        """`path` names a file to create, through which the processes share the offset."""
        self._path = path
        path.write_bytes(OFFSET_FORMAT.pack(0.0))
        with path.open("r+b") as file:
            self._offset = mmap.mmap(file.fileno(), OFFSET_FORMAT.size)

    @property
    def environment(self) -> tuple[tuple[str, str], ...]:
        """The environment variables of the processes, as pairs of name and value."""
        search_path = [str(SHIM_DIRECTORY), *filter(None, [os.environ.get("PYTHONPATH")])]
        return (
            ("PYTHONPATH", os.pathsep.join(search_path)),
            ("WALL_CLOCK_OFFSET_FILE", str(self._path)),
        )

    def step(self, seconds: float) -> None:
        """Set the wall clock forward, or back where `seconds` is negative."""
        (offset_s,) = OFFSET_FORMAT.unpack_from(self._offset)
        OFFSET_FORMAT.pack_into(self._offset, 0, offset_s + seconds)
