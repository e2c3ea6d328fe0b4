"""Errors of starting and observing child processes."""

from collections.abc import Sequence

from lotusroute.errors import LotusrouteError

LINES_SHOWN = 20  # number of last log lines that an error message includes


class ProcessControlError(LotusrouteError):
    """A child process did not reach an expected state."""


class LogTimeoutError(ProcessControlError):
    """An expected log line did not appear before the timeout."""

    def __init__(self, awaited: str, timeout: float, lines: Sequence[object]) -> None:
        super().__init__(
            f"timed out after {timeout:g} s waiting for {awaited}; last lines of the log:\n"
            f"{_format_last_lines(lines)}"
        )
        self.awaited = awaited
        self.timeout = timeout


class ProcessEndedError(ProcessControlError):
    """A process exited before an expected log line appeared."""

    def __init__(self, awaited: str, exit_code: int | None, lines: Sequence[object]) -> None:
        super().__init__(
            f"process exited with code {exit_code} before logging {awaited}; last lines of the log:\n"
            f"{_format_last_lines(lines)}"
        )
        self.awaited = awaited
        self.exit_code = exit_code


class NotReadyError(ProcessControlError):
    """No balancer on a port answered a health check before the timeout."""

    def __init__(self, port: int, timeout: float) -> None:
        super().__init__(f"port {port}: no health check was answered with PONG within {timeout:g} s")
        self.port = port
        self.timeout = timeout


def _format_last_lines(lines: Sequence[object]) -> str:
    return "\n".join(str(line).rstrip("\n") for line in lines[-LINES_SHOWN:])


class NoFreePortsError(ProcessControlError):
    """All ports from which processes may be given one are in use or reserved."""

    def __init__(self, blocks: int) -> None:
        super().__init__(f"no free port; all of {blocks} blocks of ports are reserved")
        self.blocks = blocks
