"""A wall clock that a test can step, for processes that it starts (see wall_clock_shim/sitecustomize.py)."""

import mmap
import os
import pathlib
import struct

SHIM_FOLDER = pathlib.Path(__file__).parent / "wall_clock_shim"
OFFSET = struct.Struct("d")


class SteppableWallClock:
    """The wall clock of all processes that are started with `environment`."""

    def __init__(self, path):
        """`path` is a file that is not there yet, by which the processes share the offset."""
        self._path = path
        path.write_bytes(OFFSET.pack(0.0))
        with path.open("r+b") as file:
            self._offset = mmap.mmap(file.fileno(), OFFSET.size)

    @property
    def environment(self):
        """Variables for the processes, as pairs."""
        search_path = [str(SHIM_FOLDER), *filter(None, [os.environ.get("PYTHONPATH")])]
        return (
            ("PYTHONPATH", os.pathsep.join(search_path)),
            ("WALL_CLOCK_OFFSET_FILE", str(self._path)),
        )

    def step(self, seconds):
        """Set the wall clock forward, or back where `seconds` is negative."""
        (offset,) = OFFSET.unpack_from(self._offset)
        OFFSET.pack_into(self._offset, 0, offset + seconds)
