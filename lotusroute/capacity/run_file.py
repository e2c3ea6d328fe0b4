"""The file that `capacity measure --json` writes and `capacity compare` reads."""

import pathlib

import msgspec

from lotusroute.capacity.errors import RunFileError
from lotusroute.capacity.measurement import Series

# Present names of figures, by the names that earlier builds wrote.
RENAMED_FIGURES = {
    "decisions.flow": "routing.flow",
    "discovery.alone.calls": "direct_discovery.polls",
    "discovery.alone.cpu": "direct_discovery.cpu",
    "discovery.calls": "discovery.polls",
    "follower.cpu": "direct_clients.cpu",
    "keeper.cpu": "acceptor.cpu",
    "keeper.memory": "acceptor.memory",
    "keeper.messages": "acceptor.messages",
    "list.change": "list.apply_change",
    "list.read": "list.parse",
    "list.take": "list.apply",
    "standing.cpu": "idle_connection.cpu",
    "standing.memory": "idle_connection.memory",
}


class Run(msgspec.Struct, frozen=True):
    """The figures of one run of a role."""

    lines: list[Series]
    role: str = ""
    seconds: float = 0.0  # duration of the measurement at each size


def write_run(file: str, run: Run) -> None:
    """Write a run to a file."""
    document = {"role": run.role, "seconds": run.seconds, "lines": run.lines}
    pathlib.Path(file).write_bytes(msgspec.json.format(msgspec.json.encode(document), indent=1))


def read_run(file: str) -> Run:
    """Read a run, with figures under their present names; raises `RunFileError`."""
    try:
        run = msgspec.json.decode(pathlib.Path(file).read_bytes(), type=Run)
    except (OSError, msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RunFileError(f"{file}: not a run of `capacity measure --json`: {error}") from None
    lines = [
        Series(RENAMED_FIGURES.get(series.name, series.name), series.unit, series.points)
        for series in run.lines
    ]
    return Run(lines, run.role, run.seconds)
