"""A fleet's configuration and helper functions that the tests of the fleet share."""

import subprocess
import sys

FLEET_DOCUMENT = {
    "name": "f",
    "keepers": ["a", "b", "c"],
    "peers": {"a": "127.0.0.1:1", "b": "127.0.0.1:2", "c": "127.0.0.1:3"},
}


def run_program(*arguments):
    """Run the Python interpreter with the arguments until it exits, for at most 20 s."""
    command = [sys.executable, *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=20, check=False)


def first_record(records, event, process=None, after=0.0):
    """Return the first log record of an event after a time, of one process or any; None if there is none."""
    for record in records:
        if record.event == event and record.time > after and process in (None, record.process):
            return record
    return None


def other_processes(fleet, *excluded):
    return tuple(name for name in fleet.names if name not in excluded)
