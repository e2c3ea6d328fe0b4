"""Starts a process. All other modules start processes of the program through this one."""

import os
import pathlib
import subprocess
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import IO

PROGRAM = "lotusroute"
Stream = int | IO[str] | IO[bytes] | None  # as `subprocess` takes them; None: the stream of this process


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessOptions:
    """Where and how a process runs."""

    environment: Mapping[str, str] = field(default_factory=dict)  # in addition to this process's own
    working_folder: pathlib.Path | None = None  # None: the one of this process
    initialize: Callable[[], object] | None = None  # called in the new process before its program starts
    stdin: Stream = None
    stdout: Stream = None
    stderr: Stream = None


def module_command(module: str, *arguments: str) -> list[str]:
    """Return the command that runs a Python module with the interpreter of this process."""
    return [sys.executable, "-m", module, *arguments]


def start_process(command: Sequence[str], options: ProcessOptions) -> subprocess.Popen[str]:
    """Start a process whose pipes carry text. The caller ends it and waits for it."""
    return subprocess.Popen(
        command,
        cwd=options.working_folder,
        env={**os.environ, **options.environment},
        preexec_fn=options.initialize,
        stdin=options.stdin,
        stdout=options.stdout,
        stderr=options.stderr,
        text=True,
    )
