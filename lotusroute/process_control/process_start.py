"""Starts child processes; all other modules use this one to start lotusroute processes."""

import os
import pathlib
import subprocess
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import IO

PROGRAM = "lotusroute"
# A standard stream as `subprocess.Popen` accepts it; None inherits the stream of the current process.
Stream = int | IO[str] | IO[bytes] | None


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessOptions:
    """The environment, working directory and standard streams of a new process."""

    environment: Mapping[str, str] = field(default_factory=dict)  # variables added to the inherited ones
    working_directory: pathlib.Path | None = None  # None inherits the current directory
    initialize: Callable[[], object] | None = None  # called in the child process before exec
    stdin: Stream = None
    stdout: Stream = None
    stderr: Stream = None


def module_command(module: str, *arguments: str) -> list[str]:
    """Return the command that runs a Python module with the current interpreter."""
    return [sys.executable, "-m", module, *arguments]


def start_process(command: Sequence[str], options: ProcessOptions) -> subprocess.Popen[str]:
    """Start a process with text-mode pipes; the caller must stop it and wait for it."""
    return subprocess.Popen(
        command,
        cwd=options.working_directory,
        env={**os.environ, **options.environment},
        preexec_fn=options.initialize,
        stdin=options.stdin,
        stdout=options.stdout,
        stderr=options.stderr,
        text=True,
    )
