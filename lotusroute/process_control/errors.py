"""The errors of controlled processes."""

from collections.abc import Sequence

from lotusroute.errors import LotusrouteError

LINES_SHOWN = 20  # in a message


class ProcessControlError(LotusrouteError):
    """A controlled process did not do what its controller waited for."""


class LogTimeoutError(ProcessControlError):
    """What was awaited in a log was not seen before the timeout."""

    def __init__(self, awaited: str, timeout: float, lines: Sequence[object]) -> None:
        super().__init__(
            f"{awaited} not seen within {timeout:g} s; the last lines:\n{_format_last_lines(lines)}"
        )
        self.awaited = awaited
        self.timeout = timeout


class ProcessEndedError(ProcessControlError):
    """A process ended before what was awaited in its log was seen."""

    def __init__(self, awaited: str, exit_code: int | None, lines: Sequence[object]) -> None:
        super().__init__(
            f"{awaited} not seen before the process ended with {exit_code}; "
            f"the last lines:\n{_format_last_lines(lines)}"
        )
        self.awaited = awaited
        self.exit_code = exit_code


class NotReadyError(ProcessControlError):
    """A balancer did not answer a health check before the timeout."""

    def __init__(self, port: int, timeout: float) -> None:
        super().__init__(f"port {port}: no balancer answered a health check within {timeout:g} s")
        self.port = port
        self.timeout = timeout


def _format_last_lines(lines: Sequence[object]) -> str:
    return "\n".join(str(line).rstrip("\n") for line in lines[-LINES_SHOWN:])
